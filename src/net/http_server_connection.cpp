#include "net/http_server_connection.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>

#include "net/endpoint.hpp"

namespace mosskeel {
namespace {

/// How long a caller may take to close its side after this side was shut down.
constexpr Duration kLingerTimeout = 1000ms;
/// Sent with 503: bodies are held no longer than their requests take.
constexpr int kRetryAfterSeconds = 1;

}  // namespace

HttpServerConnection::HttpServerConnection(EventLoop& loop, HttpConnectionOwner& owner, Fd socket)
    : loop_(loop), owner_(owner), socket_(std::move(socket)), deadline_(loop, [this] {
        auto self = shared_from_this();
        on_deadline();
      }) {}

void HttpServerConnection::start() {
  watched_events_ = EPOLLIN;
  loop_.watch(socket_.get(), watched_events_, [weak = weak_from_this()](uint32_t events) {
    if (auto self = weak.lock()) {
      self->on_ready(events);
    }
  });
  deadline_.set(owner_.limits().idle_timeout);
}

void HttpServerConnection::on_ready(uint32_t events) {
  bool connection_lost = events & (EPOLLERR | EPOLLHUP);
  bool caller_has_shut_down = events & EPOLLRDHUP;
  if (connection_lost || (phase_ == Phase::responding && caller_has_shut_down)) {
    disconnect();
    return;
  }
  if (phase_ == Phase::lingering_unread && caller_has_shut_down) {
    close();
    return;
  }
  if (events & EPOLLOUT) {
    flush();
  }
  if ((events & EPOLLIN) && (phase_ == Phase::reading || phase_ == Phase::lingering)) {
    receive();
  }
}

void HttpServerConnection::receive() {
  auto& buffer = owner_.read_buffer();
  auto received = ::recv(socket_.get(), buffer.data(), buffer.size(), 0);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (received <= 0) {
    close();
    return;
  }
  if (phase_ == Phase::lingering) {
    return;
  }
  reader_.append({buffer.data(), static_cast<size_t>(received)});
  read_request();
}

void HttpServerConnection::read_request() {
  using Progress = HttpRequestReader::Progress;
  auto progress = reader_.read(owner_.limits());
  if (progress != Progress::rejected && !count_body(reader_.body_bytes())) {
    reject_request(503);
  } else if (progress == Progress::incomplete) {
    on_incomplete_request();
  } else if (progress == Progress::complete) {
    begin_exchange();
  } else {
    reject_request(reader_.rejection_status());
  }
  update_watched_events();
}

void HttpServerConnection::on_incomplete_request() {
  if (reader_.in_body()) {
    head_deadline_set_ = false;
    deadline_.set(owner_.limits().idle_timeout);
    if (reader_.take_expects_continue()) {
      sender_.write_continue();
      schedule_flush();
    }
  } else if (reader_.has_unread_bytes() && !std::exchange(head_deadline_set_, true)) {
    deadline_.set(owner_.limits().head_timeout);
  }
}

void HttpServerConnection::begin_exchange() {
  phase_ = Phase::responding;
  head_deadline_set_ = false;
  deadline_.clear();
  keep_alive_ = !reader_.closes_connection();
  sender_.begin(reader_.http_1_0(), reader_.is_head_method());
  exchange_ = owner_.open_exchange(shared_from_this());
  owner_.on_request(exchange_, reader_.take_request());
}

bool HttpServerConnection::count_body(size_t bytes) {
  bool fits = owner_.count_body_bytes(counted_body_bytes_, bytes);
  counted_body_bytes_ = bytes;
  return fits;
}

void HttpServerConnection::reject_request(uint32_t status) {
  constexpr std::string_view body = "refused\n";
  HeaderFields fields{{"Content-Type", "text/plain"}};
  if (status == 503) {
    fields.push_back({"Retry-After", std::to_string(kRetryAfterSeconds)});
  }
  phase_ = Phase::responding;
  keep_alive_ = false;
  reader_.discard();
  sender_.begin(false, reader_.is_head_method());
  exchange_ = owner_.open_exchange(shared_from_this());
  send_head(status, fields, body.size());
  send_body(body);
  finish_response();
}

void HttpServerConnection::send_head(uint32_t status, const HeaderFields& fields,
                                     std::optional<uint64_t> content_length) {
  if (sender_.head_written()) {
    return;
  }
  keep_alive_ = keep_alive_ && !owner_.closes_after_responses();
  sender_.write_head(status, fields, content_length, keep_alive_);
  schedule_flush();
}

void HttpServerConnection::send_body(std::string_view bytes) {
  if (!sender_.head_written()) {
    return;
  }
  if (!sender_.write_body(bytes)) {
    reset();
    return;
  }
  schedule_flush();
}

void HttpServerConnection::finish_response() {
  if (!sender_.write_end()) {
    reset();
    return;
  }
  owner_.close_exchange(std::exchange(exchange_, 0));
  (void)count_body(0);
  phase_ = Phase::finishing;
  deadline_.set(owner_.limits().idle_timeout);
  schedule_flush();
}

void HttpServerConnection::schedule_flush() {
  if (!std::exchange(flush_scheduled_, true)) {
    owner_.schedule_flush(shared_from_this());
  }
}

void HttpServerConnection::flush_now() {
  flush_scheduled_ = false;
  flush();
}

void HttpServerConnection::flush() {
  if (phase_ == Phase::closed) {
    return;
  }
  auto progress = sender_.send_to(socket_.get());
  if (progress == HttpResponseSender::Progress::connection_lost) {
    disconnect();
    return;
  }
  if (phase_ == Phase::finishing && progress == HttpResponseSender::Progress::some) {
    deadline_.set(owner_.limits().idle_timeout);
  }
  if (phase_ == Phase::finishing && unsent_bytes() == 0) {
    on_response_sent();
    return;
  }
  update_watched_events();
  if (phase_ == Phase::responding && sender_.take_drained()) {
    owner_.on_drained(exchange_);
  }
}

void HttpServerConnection::on_response_sent() {
  if (!keep_alive_) {
    linger();
    return;
  }
  if (owner_.draining() && !reader_.has_unread_bytes()) {
    linger_unread();
    return;
  }
  phase_ = Phase::reading;
  deadline_.set(owner_.limits().idle_timeout);
  // A pipelined request may already have been received.
  read_request();
}

void HttpServerConnection::linger() {
  reader_.discard();
  shut_down(Phase::lingering);
}

void HttpServerConnection::linger_unread() {
  shut_down(Phase::lingering_unread);
}

void HttpServerConnection::shut_down(Phase phase) {
  phase_ = phase;
  ::shutdown(socket_.get(), SHUT_WR);
  deadline_.set(kLingerTimeout);
  update_watched_events();
}

void HttpServerConnection::close_if_idle() {
  if (phase_ == Phase::reading && !reader_.in_body() && !reader_.has_unread_bytes()) {
    linger_unread();
  }
}

void HttpServerConnection::on_deadline() {
  switch (phase_) {
    case Phase::reading:
      if (!reader_.in_body() && !reader_.has_unread_bytes()) {
        linger_unread();
      } else {
        reject_request(408);
      }
      return;
    case Phase::finishing:
    case Phase::lingering:
    case Phase::lingering_unread:
      close();
      return;
    case Phase::responding:
    case Phase::closed:
      return;
  }
}

void HttpServerConnection::disconnect() {
  auto exchange = phase_ == Phase::responding ? exchange_ : 0;
  close();
  if (exchange) {
    owner_.on_disconnected(exchange);
  }
}

void HttpServerConnection::close() {
  if (std::exchange(phase_, Phase::closed) == Phase::closed) {
    return;
  }
  if (exchange_) {
    owner_.close_exchange(exchange_);
  }
  (void)count_body(0);
  deadline_.cancel();
  loop_.unwatch(socket_.get());
  socket_ = Fd();
  reader_.discard();
  sender_.release();
  owner_.on_closed(*this);
}

void HttpServerConnection::reset() {
  reset_on_close(socket_.get());
  close();
}

void HttpServerConnection::update_watched_events() {
  // A scheduled flush runs before the loop's next wait and updates the events then.
  if (phase_ == Phase::closed || flush_scheduled_) {
    return;
  }
  uint32_t events = 0;
  if (unsent_bytes() > 0) {
    events |= EPOLLOUT;
  }
  if (phase_ == Phase::responding || phase_ == Phase::lingering_unread) {
    events |= EPOLLRDHUP;
  }
  if (phase_ == Phase::reading || phase_ == Phase::lingering) {
    events |= EPOLLIN;
  }
  if (events != watched_events_) {
    watched_events_ = events;
    loop_.set_events(socket_.get(), events);
  }
}

}  // namespace mosskeel
