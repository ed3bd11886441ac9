#include "platform_stub/model_replica.hpp"

namespace mosskeel::platform_stub {

namespace {

/// Requests that wait for capacity; more are rejected.
constexpr size_t kMaxQueued = 4;
constexpr size_t kMaxCachedParts = 200;
/// A step lasts this long, and `kStepTimePerRequest` longer for each request in the batch.
constexpr Duration kStepTime = 20ms;
constexpr Duration kStepTimePerRequest = 1ms;
constexpr uint64_t kPromptTokensPerStep = 400;
/// Each event of this number's multiples says that the model's weights have changed.
constexpr uint64_t kWeightChangeEvents = 5;
/// Of this many random numbers for each step, the first ones are errors and one is an abort.
constexpr uint64_t kFaultDraws = 1500;
constexpr uint64_t kServerErrorDraws = 2;
constexpr uint64_t kAbortDraw = 3;

}  // namespace

ModelReplica::ModelReplica(Environment& environment, ListedReplica listed_replica)
    : Replica(environment, std::move(listed_replica)) {
  step();
}

uint64_t ModelReplica::read_prompt(const std::string& parts) {
  uint64_t unread_tokens = 0;
  bool is_behind_gap = false;
  size_t begin = 0;
  while (begin < parts.size()) {
    auto end = std::min(parts.find(',', begin), parts.size());
    auto part = parts.substr(begin, end - begin);
    begin = end + 1;
    auto cached = std::find(cached_parts_.begin(), cached_parts_.end(), part);
    if (cached == cached_parts_.end())
      is_behind_gap = true;
    else
      cached_parts_.erase(cached);
    if (is_behind_gap)
      unread_tokens += std::stoull(part.substr(part.find(':') + 1));
    cached_parts_.push_front(part);
  }
  if (cached_parts_.size() > kMaxCachedParts)
    cached_parts_.resize(kMaxCachedParts);
  return unread_tokens;
}

void ModelReplica::on_request(uint64_t exchange, HttpRequest&& request) {
  auto attempt = admit(exchange, request);
  if (!attempt)
    return;
  if (batch_.size() + queue_.size() >= kReplicaCapacity + kMaxQueued) {
    send_not_executed(exchange, 503, *attempt);
    return;
  }
  Generation generation;
  generation.attempt = *attempt;
  generation.seal = environment_.random_name();
  std::string token_counts(header_value(request.fields, "Mosskeel-Token-Count"));
  auto output_tokens = std::stoull(token_counts.substr(token_counts.find(',') + 1));
  generation.last_event = output_tokens / kTokensPerEvent;
  std::string last_event_id(header_value(request.fields, "Last-Event-Id"));
  if (!last_event_id.empty())
    generation.next_event = std::stoull(last_event_id) + 1;
  generation.unread_prompt_tokens = read_prompt(std::string(header_value(request.fields, "Mosskeel-Prompt-Prefix")));
  environment_.checker.on_executed(*attempt, listed.service, request);
  queue_[exchange] = std::move(generation);
}

void ModelReplica::on_disconnected(uint64_t exchange) {
  batch_.erase(exchange);
  queue_.erase(exchange);
}

void ModelReplica::step() {
  while (batch_.size() < kReplicaCapacity && !queue_.empty())
    batch_.insert(queue_.extract(queue_.begin()));
  for (auto entry = batch_.begin(); entry != batch_.end();) {
    bool goes_on = advance(entry->first, entry->second);
    entry = goes_on ? std::next(entry) : batch_.erase(entry);
  }
  auto duration = kStepTime + kStepTimePerRequest * static_cast<int64_t>(batch_.size());
  environment_.loop.run_after(duration, [this] { step(); });
}

bool ModelReplica::advance(uint64_t exchange, Generation& generation) {
  if (generation.unread_prompt_tokens > 0) {
    generation.unread_prompt_tokens -= std::min(generation.unread_prompt_tokens, kPromptTokensPerStep);
    return true;
  }
  auto fault = random_fault();
  if (!std::exchange(generation.is_head_sent, true) && !send_head(exchange, generation, fault))
    return false;
  if (fault == Fault::abort) {
    listener_->abort(exchange);
    return false;
  }
  return send_next_event(exchange, generation);
}

ModelReplica::Fault ModelReplica::random_fault() {
  if (environment_.is_calm)
    return Fault::none;
  auto draw = environment_.random_below(kFaultDraws);
  if (draw < kServerErrorDraws)
    return Fault::server_error;
  return draw == kAbortDraw ? Fault::abort : Fault::none;
}

bool ModelReplica::send_head(uint64_t exchange, const Generation& generation, Fault fault) {
  auto fields = response_fields(generation.attempt, generation.seal);
  if (fault == Fault::server_error) {
    listener_->send_response(exchange, 500, fields, "broken");
    return false;
  }
  fields.push_back({"Content-Type", "text/event-stream"});
  listener_->send_head(exchange, 200, fields, std::nullopt);
  return true;
}

bool ModelReplica::send_next_event(uint64_t exchange, Generation& generation) {
  auto id = std::to_string(generation.next_event);
  std::string event;
  if (generation.next_event % kWeightChangeEvents == 0)
    event += "mosskeel-weight-versions: 2\n";
  event += "id: " + id + "\n";
  event += "data: " + generation.attempt.substr(0, 4) + "-" + id + "\n\n";
  generation.body += event;
  bool is_last = generation.next_event >= generation.last_event;
  if (is_last)
    environment_.checker.on_response_made(generation.attempt, generation.seal, generation.body);
  listener_->send_body(exchange, event);
  ++generation.next_event;
  if (is_last)
    listener_->finish(exchange);
  return !is_last;
}

}  // namespace mosskeel::platform_stub
