#include "net/http_response_reader.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

/// Parsing a head costs far more than its bytes.
constexpr size_t kMaxInterimResponses = 16;
/// With the interim responses before it. As many heads may be incomplete at once as there are connections.
constexpr size_t kMaxResponseHeadBytes = 32 << 10;

}  // namespace

void HttpResponseReader::begin(bool to_head_method) {
  to_head_method_ = to_head_method;
  in_body_ = false;
  interim_bytes_ = 0;
  interim_responses_ = 0;
}

void HttpResponseReader::discard() {
  std::string().swap(received_);
  scanned_ = 0;
}

HttpResponseReader::Progress HttpResponseReader::fail(std::string error) {
  error_ = std::move(error);
  return Progress::malformed;
}

HttpResponseReader::Progress HttpResponseReader::read() {
  return in_body_ ? read_body() : read_head();
}

HttpResponseReader::Progress HttpResponseReader::read_head() {
  while (true) {
    auto scan = scan_head(received_, scanned_);
    if (scan == HeadScan::malformed || interim_bytes_ + scanned_ > kMaxResponseHeadBytes) {
      return fail("head malformed or too long");
    }
    if (scan == HeadScan::incomplete) {
      return Progress::incomplete;
    }
    head_ = parse_response_head(std::string_view(received_).substr(0, scanned_));
    interim_bytes_ += scanned_;
    received_.erase(0, std::exchange(scanned_, 0));
    if (head_.rejection_status) {
      return fail("head: " + head_.rejection_reason);
    }
    if (head_.status == 101) {
      return fail("switched protocols unasked");
    }
    bool interim = head_.status < 200;
    if (!interim) {
      break;
    }
    if (++interim_responses_ > kMaxInterimResponses) {
      return fail("too many interim responses");
    }
  }
  in_body_ = true;
  interim_bytes_ = 0;
  interim_responses_ = 0;
  without_body_ = to_head_method_ || head_.status == 204 || head_.status == 304;
  chunked_ = head_.chunked;
  body_remaining_ = head_.content_length;
  decoder_ = ChunkedDecoder();
  return Progress::head;
}

HttpResponseReader::Progress HttpResponseReader::read_body() {
  if (!without_body_) {
    if (chunked_) {
      received_.erase(0, decoder_.decode(received_, body_));
    } else {
      read_sized_body();
    }
    if (!body_.empty()) {
      return Progress::body;
    }
    if (chunked_ && decoder_.malformed()) {
      return fail("chunk malformed");
    }
    bool complete = chunked_ ? decoder_.done() : body_remaining_ == uint64_t{0};
    if (!complete) {
      return Progress::incomplete;
    }
  }
  in_body_ = false;
  return Progress::complete;
}

bool HttpResponseReader::completed_by_close() {
  bool lasts_until_close = in_body_ && !without_body_ && !chunked_ && !body_remaining_;
  if (lasts_until_close) {
    in_body_ = false;
  }
  return lasts_until_close;
}

void HttpResponseReader::read_sized_body() {
  auto size = std::min<uint64_t>(received_.size(), body_remaining_.value_or(received_.size()));
  if (size == received_.size()) {
    body_ = std::exchange(received_, {});
  } else {
    body_ = received_.substr(0, size);
    received_.erase(0, size);
  }
  if (body_remaining_) {
    *body_remaining_ -= size;
  }
}

}  // namespace mosskeel
