#include "net/replica_call_transfer.hpp"

#include <strings.h>

#include <nlohmann/json.hpp>

#include "net/constants.hpp"

namespace mosskeel {
namespace {

constexpr Duration kReplicaConnectTimeout = 1000ms;
/// Responses may be larger than the requests of callers.
constexpr size_t kMaxReplicaResponseBytes = kMaxHttpBodyBytes * 8;
constexpr std::string_view kSealHeader = "x-seal:";
constexpr const char* kModelKind = "model";

}  // namespace

ReplicaCallTransfer::ReplicaCallTransfer(const ReplicaCall& request, const MessageCallback& on_message)
    : request_(request), on_message_(on_message), handle_(curl_easy_init()) {
  outcome_.attempt = request_.attempt;
  set_options();
  set_headers();
}

void ReplicaCallTransfer::set_options() {
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

void ReplicaCallTransfer::set_headers() {
  append_header(headers_, "Expect:");
  append_header(headers_, "Content-Type: application/json");
  append_header(headers_, ("X-Attempt: " + request_.attempt).c_str());
  curl_easy_setopt(handle(), CURLOPT_HTTPHEADER, headers_.get());
}

size_t ReplicaCallTransfer::on_body(char* bytes, size_t size, size_t count, void* transfer) {
  std::string_view body(bytes, size * count);
  constexpr size_t abort_request = 0;
  return static_cast<ReplicaCallTransfer*>(transfer)->handle_body(body) ? body.size() : abort_request;
}

size_t ReplicaCallTransfer::on_header(char* bytes, size_t size, size_t count, void* transfer) {
  std::string line(bytes, size * count);
  auto& self = *static_cast<ReplicaCallTransfer*>(transfer);
  if (self.request_.kind != kModelKind) {
    self.read_seal(line);
  }
  return line.size();
}

void ReplicaCallTransfer::read_seal(const std::string& header_line) {
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

bool ReplicaCallTransfer::is_model_stream() const {
  return request_.kind == kModelKind && status_ == 200;
}

bool ReplicaCallTransfer::fail(const char* error) {
  error_ = error;
  return false;
}

bool ReplicaCallTransfer::handle_body(std::string_view bytes) {
  if (!status_) {
    curl_easy_getinfo(handle(), CURLINFO_RESPONSE_CODE, &status_);
  }
  if (body_.size() + bytes.size() > kMaxReplicaResponseBytes) {
    return fail("the answer is too long");
  }
  if (is_model_stream()) {
    return handle_stream_bytes(bytes);
  }
  body_ += bytes;
  return true;
}

bool ReplicaCallTransfer::handle_stream_bytes(std::string_view bytes) {
  incomplete_line_ += bytes;
  size_t line_begin = 0;
  for (auto line_end = incomplete_line_.find('\n'); line_end != std::string::npos;
       line_end = incomplete_line_.find('\n', line_begin)) {
    if (!handle_stream_line(incomplete_line_.substr(line_begin, line_end - line_begin))) {
      return false;
    }
    line_begin = line_end + 1;
  }
  incomplete_line_.erase(0, line_begin);
  return true;
}

bool ReplicaCallTransfer::handle_stream_line(const std::string& line) {
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

ReplicaCallResponse ReplicaCallTransfer::finish(CURLcode result) {
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

}  // namespace mosskeel
