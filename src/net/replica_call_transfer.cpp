#include "net/replica_call_transfer.hpp"

#include <strings.h>

#include <nlohmann/json.hpp>

#include "net/constants.hpp"

namespace mosskeel {
namespace {

constexpr Duration kReplicaConnectTimeout = 1000ms;
/// Of one piece of a model's response, in its JSON.
constexpr size_t kMaxStreamLineBytes = 1u << 20;
/// What a message costs in memory besides its text.
constexpr size_t kMessageOverheadBytes = 512;
constexpr std::string_view kSealHeader = "x-seal:";
constexpr const char* kModelKind = "model";

}  // namespace

ReplicaCallTransfer::ReplicaCallTransfer(const ReplicaCall& request, const Context& context)
    : request_(request), context_(context), handle_(curl_easy_init()) {
  context_.held.add(*this);
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
  auto& self = *static_cast<ReplicaCallTransfer*>(transfer);
  self.is_paused_ = !self.is_abandoned_ && self.context_.is_backlogged();
  if (self.is_paused_)
    return CURL_WRITEFUNC_PAUSE;
  return self.handle_body(body) ? body.size() : abort_request;
}

void ReplicaCallTransfer::resume() {
  is_paused_ = false;
  curl_easy_pause(handle(), CURLPAUSE_CONT);
}

void ReplicaCallTransfer::abandon(const char* error) {
  is_abandoned_ = true;
  error_ = error;
  held_bytes_ = 0;
  std::string().swap(body_);
  std::string().swap(incomplete_line_);
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
  if (is_abandoned_ || !context_.held.count(*this, bytes.size())) {
    return false;
  }
  if (is_model_stream()) {
    return handle_stream_bytes(bytes);
  }
  if (body_.size() + bytes.size() > context_.limits.response_bytes) {
    return fail("the answer is too long");
  }
  body_ += bytes;
  return true;
}

bool ReplicaCallTransfer::handle_stream_bytes(std::string_view bytes) {
  while (!bytes.empty()) {
    auto line_end = bytes.find('\n');
    incomplete_line_ += bytes.substr(0, line_end);
    if (incomplete_line_.size() > kMaxStreamLineBytes) {
      return fail("a piece of the stream is too long");
    }
    if (line_end == std::string_view::npos) {
      return true;
    }
    bytes.remove_prefix(line_end + 1);
    if (!count_piece() || !handle_stream_line(std::exchange(incomplete_line_, {}))) {
      return false;
    }
  }
  return true;
}

bool ReplicaCallTransfer::count_piece() {
  stream_bytes_ += incomplete_line_.size() + kMessageOverheadBytes;
  if (stream_bytes_ > context_.limits.response_bytes) {
    return fail("the stream is too long");
  }
  return context_.held.count(*this, kMessageOverheadBytes);
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
    context_.on_message(ReplicaCallChunk{request_.attempt, json.at("n").get<uint32_t>(),
                                         json.at("text").get<std::string>(), json.at("tokens").get<uint64_t>()});
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
