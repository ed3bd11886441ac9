#include "soak/reading_callers.hpp"

namespace mosskeel::soak {

namespace {

/// A slow caller takes one read of its client at a time and pauses for this long.
constexpr Duration kSlowReadPause = 100ms;
/// Longer than any route's time-out.
constexpr Duration kGiveUpAfter = 9000ms;

}  // namespace

ReadingCallers::ReadingCallers()
    : client_(loop_, {[this](uint64_t request, UpstreamClient::ResponseHead&& head) {
                        requests_.at(request).result.status = head.status;
                      },
                      [this](uint64_t request, std::string_view bytes) { on_body(request, bytes.size()); },
                      [this](uint64_t request) { finish(request, true); },
                      [this](uint64_t request, UpstreamClient::Delivery, const std::string&) {
                        finish(request, false);
                      }}) {
  thread_ = std::thread([this] { loop_.run(); });
}

ReadingCallers::~ReadingCallers() {
  loop_.stop();
  thread_.join();
}

void ReadingCallers::send(ReadingRequest request) {
  ++open_requests_;
  loop_.post([this, request = std::move(request)]() mutable { begin(std::move(request)); });
}

void ReadingCallers::begin(ReadingRequest request) {
  request.message.new_connection = true;
  auto id = client_.send_request(std::move(request.message));
  auto& open = requests_[id];
  open.result.attempt = std::move(request.attempt);
  open.speed = request.speed;
  open.sent_at = monotonic_now();
  open.timer = loop_.run_after(kGiveUpAfter, [this, id] {
    client_.cancel(id);
    finish(id, false);
  });
}

void ReadingCallers::on_body(uint64_t request, size_t bytes) {
  auto& open = requests_.at(request);
  open.result.body_bytes += bytes;
  if (open.speed == ReadingSpeed::fast)
    return;
  client_.pause_reading(request);
  loop_.run_after(kSlowReadPause, [this, request] { client_.resume_reading(request); });
}

void ReadingCallers::finish(uint64_t request, bool is_complete) {
  auto found = requests_.find(request);
  if (found == requests_.end())
    return;
  auto open = std::move(found->second);
  requests_.erase(found);
  loop_.cancel(open.timer);
  open.result.is_complete = is_complete;
  open.result.time = monotonic_now() - open.sent_at;
  std::lock_guard lock(mutex_);
  results_.push_back(std::move(open.result));
  --open_requests_;
}

std::vector<ReadingResult> ReadingCallers::take_results() {
  std::lock_guard lock(mutex_);
  return std::exchange(results_, {});
}

}  // namespace mosskeel::soak
