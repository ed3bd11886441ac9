#include "net/replica_client.hpp"

#include <strings.h>

#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/queue.hpp"
#include "net/constants.hpp"
#include "net/curl_handles.hpp"

namespace mosskeel {
namespace {

constexpr Duration kReplicaConnectTimeout = 1000ms;
/// A response may be larger than what callers may send.
constexpr size_t kMaxReplicaResponseBytes = kMaxHttpBodyBytes * 8;
/// Only bounds the time that a missed wake-up costs.
constexpr Duration kPollTimeout = 100ms;
constexpr std::string_view kSealHeader = "x-seal:";
constexpr const char* kModelKind = "model";

/// One request under way and what has come of its response.
class PendingCall {
 public:
  PendingCall(const ReplicaCall& request, const ReplicaClient::MessageCallback& on_message);
  CURL* handle() const { return handle_.get(); }
  const std::string& attempt() const { return request_.attempt; }
  /// The outcome, once libcurl is done with the request.
  ReplicaCallResponse finish(CURLcode result);

 private:
  static size_t on_body(char* bytes, size_t size, size_t count, void* call);
  static size_t on_header(char* bytes, size_t size, size_t count, void* call);
  bool is_model_stream() const { return request_.kind == kModelKind && status_ == 200; }
  /// False ends the request with `error_`.
  bool take_body(std::string_view bytes);
  bool take_stream(std::string_view bytes);
  bool take_line(const std::string& line);
  void take_seal(const std::string& header_line);
  bool fail(const char* error);
  void set_options();
  void set_headers();

  ReplicaCall request_{};
  const ReplicaClient::MessageCallback& on_message_;
  CurlEasyHandle handle_;
  CurlHeaderList headers_;
  /// 0 until the head has been received.
  long status_ = 0;
  /// The stream's last line, as far as it has come.
  std::string incomplete_line_;
  std::string body_;
  /// Why the response can't be used; empty where nothing is wrong with it.
  std::string error_;
  ReplicaCallResponse outcome_{};
};

PendingCall::PendingCall(const ReplicaCall& request, const ReplicaClient::MessageCallback& on_message)
    : request_(request), on_message_(on_message), handle_(curl_easy_init()) {
  outcome_.attempt = request_.attempt;
  set_options();
  set_headers();
}

void PendingCall::set_options() {
  auto* easy = handle();
  curl_easy_setopt(easy, CURLOPT_URL, request_.url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(kReplicaConnectTimeout.count()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request_.deadline_ms));
  if (!request_.idempotent) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (request_.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request_.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request_.body.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
}

void PendingCall::set_headers() {
  append_header(headers_, "Expect:");
  append_header(headers_, "Content-Type: application/json");
  append_header(headers_, ("X-Attempt: " + request_.attempt).c_str());
  curl_easy_setopt(handle(), CURLOPT_HTTPHEADER, headers_.get());
}

size_t PendingCall::on_body(char* bytes, size_t size, size_t count, void* call) {
  std::string_view body(bytes, size * count);
  constexpr size_t abort_request = 0;
  return static_cast<PendingCall*>(call)->take_body(body) ? body.size() : abort_request;
}

size_t PendingCall::on_header(char* bytes, size_t size, size_t count, void* call) {
  std::string line(bytes, size * count);
  auto& self = *static_cast<PendingCall*>(call);
  if (self.request_.kind != kModelKind) {
    self.take_seal(line);
  }
  return line.size();
}

void PendingCall::take_seal(const std::string& header_line) {
  bool is_seal = header_line.size() > kSealHeader.size() + 1 &&
                 strncasecmp(header_line.c_str(), kSealHeader.data(), kSealHeader.size()) == 0;
  if (!is_seal) {
    return;
  }
  auto first = header_line.find_first_not_of(' ', kSealHeader.size());
  auto last = header_line.find_last_not_of("\r\n ");
  if (auto seal = unhex(header_line.substr(first, last - first + 1))) {
    outcome_.checksum = *seal;
    outcome_.complete = true;
  }
}

bool PendingCall::fail(const char* error) {
  error_ = error;
  return false;
}

bool PendingCall::take_body(std::string_view bytes) {
  if (!status_) {
    curl_easy_getinfo(handle(), CURLINFO_RESPONSE_CODE, &status_);
  }
  if (body_.size() + bytes.size() > kMaxReplicaResponseBytes) {
    return fail("the answer is too long");
  }
  if (is_model_stream()) {
    return take_stream(bytes);
  }
  body_ += bytes;
  return true;
}

bool PendingCall::take_stream(std::string_view bytes) {
  incomplete_line_ += bytes;
  size_t line_begin = 0;
  for (auto line_end = incomplete_line_.find('\n'); line_end != std::string::npos;
       line_end = incomplete_line_.find('\n', line_begin)) {
    if (!take_line(incomplete_line_.substr(line_begin, line_end - line_begin))) {
      return false;
    }
    line_begin = line_end + 1;
  }
  incomplete_line_.erase(0, line_begin);
  return true;
}

bool PendingCall::take_line(const std::string& line) {
  auto json = nlohmann::json::parse(line, nullptr, false);
  if (!json.is_object()) {
    return fail("a line of the stream is no JSON");
  }
  try {
    if (json.contains("seal")) {
      outcome_.complete = true;
      outcome_.checksum = unhex(json.at("seal").get<std::string>()).value_or(0);
      outcome_.chunks = json.at("pieces").get<uint32_t>();
      outcome_.tokens = json.at("tokens").get<uint64_t>();
      return true;
    }
    if (outcome_.complete) {
      return fail("pieces came after the seal");
    }
    on_message_(ReplicaCallChunk{request_.attempt, json.at("n").get<uint32_t>(), json.at("text").get<std::string>(),
                                 json.at("tokens").get<uint64_t>()});
  } catch (const nlohmann::json::exception&) {
    return fail("a line of the stream lacks a field");
  }
  return true;
}

ReplicaCallResponse PendingCall::finish(CURLcode result) {
  long sent_bytes = 0;
  curl_easy_getinfo(handle(), CURLINFO_REQUEST_SIZE, &sent_bytes);
  curl_easy_getinfo(handle(), CURLINFO_RESPONSE_CODE, &status_);
  outcome_.request_sent = sent_bytes > 0;
  outcome_.status = static_cast<uint32_t>(status_);
  outcome_.body = std::move(body_);
  bool client_error = outcome_.status >= 400 && outcome_.status < 500;
  if (result != CURLE_OK) {
    outcome_.complete = false;
    outcome_.reason = error_.empty() ? curl_easy_strerror(result) : error_;
  } else if (client_error) {
    outcome_.complete = true;
  } else if (!outcome_.complete) {
    outcome_.reason = "the answer came without its seal";
  }
  return std::move(outcome_);
}

}  // namespace

/// The client's thread and what lives on it.
class ReplicaClient::Worker {
 public:
  explicit Worker(MessageCallback on_message)
      : on_message_(std::move(on_message)), multi_(curl_multi_init()), thread_([this] { run(); }) {}
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
  void take_commands();
  void report_finished();
  void begin(const ReplicaCall& request);
  void drop(const std::string& attempt);

  MessageCallback on_message_;
  CurlMultiHandle multi_;
  Queue<std::variant<ReplicaCall, CancelCommand>> commands_;
  /// By attempt; of the worker's thread alone.
  std::map<std::string, std::unique_ptr<PendingCall>> calls_;
  std::atomic<bool> stop_requested_{false};
  /// Last, for it uses all the others.
  std::thread thread_;
};

void ReplicaClient::Worker::begin(const ReplicaCall& request) {
  auto call = std::make_unique<PendingCall>(request, on_message_);
  curl_multi_add_handle(multi_.get(), call->handle());
  calls_[request.attempt] = std::move(call);
}

void ReplicaClient::Worker::drop(const std::string& attempt) {
  auto found = calls_.find(attempt);
  if (found == calls_.end()) {
    return;
  }
  curl_multi_remove_handle(multi_.get(), found->second->handle());
  calls_.erase(found);
}

void ReplicaClient::Worker::take_commands() {
  for (const auto& command : commands_.take(0ms)) {
    if (const auto* request = std::get_if<ReplicaCall>(&command)) {
      begin(*request);
    } else {
      drop(std::get<CancelCommand>(command).attempt);
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
    PendingCall* call = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
    auto attempt = call->attempt();
    on_message_(call->finish(result));
    drop(attempt);
  }
}

void ReplicaClient::Worker::run() {
  while (!stop_requested_) {
    take_commands();
    int running = 0;
    curl_multi_perform(multi_.get(), &running);
    report_finished();
    curl_multi_poll(multi_.get(), nullptr, 0, static_cast<int>(kPollTimeout.count()), nullptr);
  }
  while (!calls_.empty()) {
    drop(calls_.begin()->first);
  }
}

ReplicaClient::ReplicaClient(MessageCallback on_message) : worker_(std::make_unique<Worker>(std::move(on_message))) {}

ReplicaClient::~ReplicaClient() = default;

void ReplicaClient::send(const ReplicaCall& request) {
  worker_->send(request);
}

void ReplicaClient::cancel(const std::string& attempt) {
  worker_->cancel(attempt);
}

}  // namespace mosskeel
