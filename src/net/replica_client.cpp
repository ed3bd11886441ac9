#include "net/replica_client.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

#include "base/queue.hpp"
#include "net/replica_call_transfer.hpp"

namespace mosskeel {
namespace {

/// Bounds only the delay caused by a missed wake-up.
constexpr Duration kPollTimeout = 100ms;
/// How often it is checked whether reading may go on.
constexpr Duration kPausedPollTimeout = 5ms;

}  // namespace

/// The client's thread and its state.
class ReplicaClient::Worker {
 public:
  Worker(MessageCallback on_message, const ReplicaCallLimits& limits, const Backlog& backlog)
      : on_message_(std::move(on_message)),
        limits_(limits),
        held_(limits.total_bytes),
        context_{on_message_, limits_, held_,
                 [this, backlog] {
                   return backlog() > limits_.backlog_bytes;
                 }},
        multi_(curl_multi_init()),
        thread_([this] { run(); }) {}
  ~Worker() {
    stop_requested_ = true;
    wake();
    thread_.join();
  }
  void send(const ReplicaCall& request) {
    commands_.push(request);
    wake();
  }
  void cancel(const std::string& attempt) {
    commands_.push(CancelCommand{attempt});
    wake();
  }

 private:
  struct CancelCommand {
    std::string attempt;
  };
  void wake() { curl_multi_wakeup(multi_.get()); }
  void run();
  void run_commands();
  void report_finished();
  /// Ends the transfers that were abandoned, also those that receive nothing more.
  void report_abandoned();
  /// Reads on where reading was paused, if no more messages wait than may.
  void resume_paused();
  bool any_paused() const;
  void start(const ReplicaCall& request);
  void remove(const std::string& attempt);

  MessageCallback on_message_;
  const ReplicaCallLimits limits_;
  HeldTransfers held_;
  const ReplicaCallTransfer::Context context_;
  CurlMultiHandle multi_;
  Queue<std::variant<ReplicaCall, CancelCommand>> commands_;
  /// By attempt; used only on the worker's thread.
  std::map<std::string, std::unique_ptr<ReplicaCallTransfer>> transfers_;
  std::atomic<bool> stop_requested_{false};
  /// Declared last, because the thread uses all other members.
  std::thread thread_;
};

void ReplicaClient::Worker::start(const ReplicaCall& request) {
  auto transfer = std::make_unique<ReplicaCallTransfer>(request, context_);
  curl_multi_add_handle(multi_.get(), transfer->handle());
  transfers_[request.attempt] = std::move(transfer);
}

void ReplicaClient::Worker::remove(const std::string& attempt) {
  auto found = transfers_.find(attempt);
  if (found == transfers_.end()) {
    return;
  }
  curl_multi_remove_handle(multi_.get(), found->second->handle());
  transfers_.erase(found);
}

void ReplicaClient::Worker::run_commands() {
  for (const auto& command : commands_.take(0ms)) {
    if (const auto* request = std::get_if<ReplicaCall>(&command)) {
      start(*request);
    } else {
      remove(std::get<CancelCommand>(command).attempt);
    }
  }
}

void ReplicaClient::Worker::report_finished() {
  int remaining = 0;
  while (auto* message = curl_multi_info_read(multi_.get(), &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    auto result = message->data.result;
    ReplicaCallTransfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    auto attempt = transfer->attempt();
    on_message_(transfer->finish(result));
    remove(attempt);
  }
}

void ReplicaClient::Worker::report_abandoned() {
  std::vector<std::string> abandoned;
  for (const auto& [attempt, transfer] : transfers_) {
    if (transfer->is_abandoned()) {
      abandoned.push_back(attempt);
    }
  }
  for (const auto& attempt : abandoned) {
    on_message_(transfers_.at(attempt)->finish(CURLE_ABORTED_BY_CALLBACK));
    remove(attempt);
  }
}

bool ReplicaClient::Worker::any_paused() const {
  return std::any_of(transfers_.begin(), transfers_.end(), [](const auto& entry) { return entry.second->is_paused(); });
}

void ReplicaClient::Worker::resume_paused() {
  if (context_.is_backlogged()) {
    return;
  }
  for (const auto& [_, transfer] : transfers_) {
    if (transfer->is_paused()) {
      transfer->resume();
    }
  }
}

void ReplicaClient::Worker::run() {
  while (!stop_requested_) {
    run_commands();
    resume_paused();
    int running = 0;
    curl_multi_perform(multi_.get(), &running);
    report_finished();
    report_abandoned();
    auto timeout = any_paused() ? kPausedPollTimeout : kPollTimeout;
    curl_multi_poll(multi_.get(), nullptr, 0, static_cast<int>(timeout.count()), nullptr);
  }
  while (!transfers_.empty()) {
    remove(transfers_.begin()->first);
  }
}

ReplicaClient::ReplicaClient(MessageCallback on_message, const ReplicaCallLimits& limits, Backlog backlog)
    : worker_(std::make_unique<Worker>(std::move(on_message), limits, std::move(backlog))) {}

ReplicaClient::~ReplicaClient() = default;

void ReplicaClient::send(const ReplicaCall& request) {
  worker_->send(request);
}

void ReplicaClient::cancel(const std::string& attempt) {
  worker_->cancel(attempt);
}

}  // namespace mosskeel
