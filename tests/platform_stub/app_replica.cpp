#include "platform_stub/app_replica.hpp"

namespace mosskeel::platform_stub {

namespace {

constexpr Duration kMinExecutionTime = 5ms;
/// Added at random, exclusive.
constexpr uint64_t kExecutionTimeRangeMs = 30;
/// Of this many random numbers one is an abort, one a body larger than any buffer, one an error, and the ones below
/// `kMediumBodyDraws` are bodies that take several packets.
constexpr uint64_t kResponseDraws = 400;
constexpr uint64_t kAbortDraw = 0;
constexpr uint64_t kLargeBodyDraw = 1;
constexpr uint64_t kServerErrorDraw = 2;
constexpr uint64_t kMediumBodyDraws = 20;
constexpr uint64_t kUsualDraw = kResponseDraws - 1;
/// Bytes of the filling of a body.
constexpr size_t kLargeBodyBytes = 400000;
constexpr size_t kMediumBodyBytes = 20000;
constexpr size_t kSmallBodyBytes = 200;

size_t body_bytes(uint64_t draw) {
  if (draw == kLargeBodyDraw)
    return kLargeBodyBytes;
  return draw < kMediumBodyDraws ? kMediumBodyBytes : kSmallBodyBytes;
}

}  // namespace

void AppReplica::on_request(uint64_t exchange, HttpRequest&& request) {
  auto attempt = admit(exchange, request);
  if (!attempt)
    return;
  if (executing_.size() >= kReplicaCapacity) {
    send_not_executed(exchange, 503, *attempt);
    return;
  }
  environment_.checker.on_executed(*attempt, listed.service, request);
  executing_.insert(exchange);
  auto draw = environment_.is_calm ? kUsualDraw : environment_.random_below(kResponseDraws);
  auto execution_time =
      kMinExecutionTime + Duration(environment_.random_below(kExecutionTimeRangeMs)) + extra_execution_time;
  environment_.loop.run_after(execution_time, [this, exchange, attempt = *attempt, draw] {
    if (executing_.erase(exchange) > 0)
      respond(exchange, attempt, draw);
  });
}

void AppReplica::respond(uint64_t exchange, const std::string& attempt, uint64_t draw) {
  if (draw == kAbortDraw) {
    listener_->abort(exchange);
    return;
  }
  auto seal = environment_.random_name();
  auto fields = response_fields(attempt, seal);
  auto body = attempt + " by " + listed.id + " ";
  body.append(body_bytes(draw), 'x');
  if (draw == kServerErrorDraw) {
    listener_->send_response(exchange, 500, fields, body);
    return;
  }
  environment_.checker.on_response_made(attempt, seal, body);
  listener_->send_response(exchange, 200, fields, body);
}

}  // namespace mosskeel::platform_stub
