#include "net/http_response_sender.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace mosskeel {

void HttpResponseSender::begin(bool http_1_0, bool is_head_method) {
  writer_.begin(http_1_0, is_head_method);
  above_high_watermark_ = false;
}

void HttpResponseSender::write_head(uint32_t status, const HeaderFields& fields, std::optional<uint64_t> content_length,
                                    bool keep_alive) {
  writer_.write_head(status, fields, content_length, keep_alive, buffer_.tail());
}

bool HttpResponseSender::write_body(std::string_view bytes) {
  if (!writer_.write_body(bytes, buffer_.tail())) {
    return false;
  }
  if (unsent_bytes() > kHighWatermark) {
    above_high_watermark_ = true;
  }
  return true;
}

HttpResponseSender::Progress HttpResponseSender::send_to(int socket) {
  auto progress = Progress::none;
  while (unsent_bytes() > 0) {
    auto unsent = buffer_.unsent();
    auto sent = ::send(socket, unsent.data(), unsent.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0 && errno == EAGAIN) {
      break;
    }
    if (sent <= 0) {
      return Progress::connection_lost;
    }
    buffer_.consume(static_cast<size_t>(sent));
    progress = Progress::some;
  }
  buffer_.compact();
  return progress;
}

bool HttpResponseSender::take_drained() {
  if (!above_high_watermark_ || unsent_bytes() >= kLowWatermark) {
    return false;
  }
  above_high_watermark_ = false;
  return true;
}

}  // namespace mosskeel
