#pragma once
// Callers that read answers of any size.
#include <atomic>
#include <mutex>
#include <thread>

#include "net/upstream_client.hpp"

namespace mosskeel::soak {

/// How fast a caller reads its answer.
enum class ReadingSpeed { fast, slow };

/// A request and how its answer is read.
struct ReadingRequest {
  std::string attempt;
  UpstreamClient::Request message;
  ReadingSpeed speed = ReadingSpeed::fast;
};

/// How such a request ended.
struct ReadingResult {
  std::string attempt;
  /// 0 where no head was received.
  uint32_t status = 0;
  bool is_complete = false;
  size_t body_bytes = 0;
  Duration time{};
};

/// Sends requests, reads their answers on a thread of its own and keeps nothing of them, so that answers without end
/// cost neither the memory nor the time of the other callers. The public functions are thread-safe.
class ReadingCallers {
 public:
  ReadingCallers();
  ~ReadingCallers();
  ReadingCallers(const ReadingCallers&) = delete;
  ReadingCallers& operator=(const ReadingCallers&) = delete;

  void send(ReadingRequest request);
  size_t open_requests() const { return open_requests_; }
  /// The requests that have ended since the last call.
  std::vector<ReadingResult> take_results();

 private:
  struct OpenRequest {
    ReadingResult result;
    ReadingSpeed speed = ReadingSpeed::fast;
    MonotonicTime sent_at{};
    uint64_t timer = 0;
  };
  void begin(ReadingRequest request);
  void on_body(uint64_t request, size_t bytes);
  void finish(uint64_t request, bool is_complete);

  EventLoop loop_;
  /// By the client's id.
  std::map<uint64_t, OpenRequest> requests_;
  UpstreamClient client_;
  std::atomic<size_t> open_requests_{0};
  std::mutex mutex_;
  /// Guarded by `mutex_`.
  std::vector<ReadingResult> results_;
  std::thread thread_;
};

}  // namespace mosskeel::soak
