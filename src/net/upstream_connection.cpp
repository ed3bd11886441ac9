#include "net/upstream_connection.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "net/http_fields.hpp"
#include "net/keep_alive.hpp"

namespace mosskeel {
namespace {

/// Whether the socket is open and has no unread input.
bool is_open_without_input(int socket) {
  char byte = 0;
  return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

}  // namespace

UpstreamConnection::UpstreamConnection(EventLoop& loop, UpstreamConnectionOwner& owner, Address address, Fd socket)
    : loop_(loop), owner_(owner), address_(std::move(address)), socket_(std::move(socket)) {}

void UpstreamConnection::assign(uint64_t id, const UpstreamRequest& request, std::string bytes) {
  request_ = id;
  request_bytes_ = std::move(bytes);
  possibly_sent_ = false;
  send_error_ = 0;
  reader_.begin(request.method == "HEAD");
  reusable_ = !has_token(request.fields, "Connection", "close");
  previous_tag_ = std::exchange(tag_, request.tag);
  skipping_ = false;
}

void UpstreamConnection::connect(Duration timeout) {
  update_watched_events();
  connect_deadline_ = monotonic_now() + timeout;
  start_timer(timeout, &UpstreamConnection::on_connect_timeout);
}

void UpstreamConnection::send() {
  cancel_timer();
  phase_ = Phase::active;
  send_unsent();
}

void UpstreamConnection::pause_reading() {
  reading_paused_ = true;
  update_watched_events();
}

void UpstreamConnection::resume_reading() {
  reading_paused_ = false;
  update_watched_events();
}

bool UpstreamConnection::usable() const {
  return monotonic_now() < idle_until_ && is_open_without_input(socket_.get());
}

void UpstreamConnection::update_watched_events() {
  uint32_t events = 0;
  switch (phase_) {
    case Phase::connecting:
      events = EPOLLOUT;
      break;
    case Phase::active:
      if (!reading_paused_) {
        events |= EPOLLIN;
      }
      if (sent_bytes_ < request_bytes_.size()) {
        events |= EPOLLOUT;
      }
      break;
    case Phase::idle:
      events = EPOLLIN | EPOLLRDHUP;
      break;
    case Phase::closed:
      return;
  }
  if (!watched_) {
    watched_ = true;
    loop_.watch(socket_.get(), events, [weak = weak_from_this()](uint32_t ready_events) {
      if (auto self = weak.lock()) {
        self->on_ready(ready_events);
      }
    });
  } else if (events != watched_events_) {
    loop_.set_events(socket_.get(), events);
  }
  watched_events_ = events;
}

void UpstreamConnection::on_ready(uint32_t events) {
  if (phase_ == Phase::idle) {
    close();
    return;
  }
  if (phase_ == Phase::connecting) {
    on_connected();
    return;
  }
  bool connection_lost = events & (EPOLLERR | EPOLLHUP);
  if (reading_paused_ && connection_lost) {
    // EPOLLERR and EPOLLHUP are reported even if not requested, and the loop would spin on them. Bytes received before
    // are read when reading resumes.
    loop_.unwatch(socket_.get());
    watched_ = false;
    return;
  }
  if (events & EPOLLOUT) {
    send_unsent();
  }
  if (phase_ == Phase::active && ((events & EPOLLIN) || connection_lost)) {
    receive();
  }
}

void UpstreamConnection::on_connected() {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error) {
    fail(std::string("connect: ") + std::strerror(error));
    return;
  }
  if (monotonic_now() > connect_deadline_) {
    fail("connect: woken too late");
    return;
  }
  cancel_timer();
  if (!is_open_without_input(socket_.get())) {
    fail("closed, or spoke before it was asked");
    return;
  }
  phase_ = Phase::active;
  send_unsent();
}

void UpstreamConnection::on_connect_timeout() {
  fail("connect: no answer in time");
}

void UpstreamConnection::send_unsent() {
  while (sent_bytes_ < request_bytes_.size()) {
    auto unsent = std::string_view(request_bytes_).substr(sent_bytes_);
    auto sent = ::send(socket_.get(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0 && errno == EAGAIN) {
      break;
    }
    if (sent <= 0) {
      // The replica may have sent a response with a length before that; the next read shows it.
      send_error_ = sent < 0 ? errno : EPIPE;
      reusable_ = false;
      sent_bytes_ = request_bytes_.size();
      break;
    }
    possibly_sent_ = true;
    sent_bytes_ += static_cast<size_t>(sent);
  }
  if (sent_bytes_ == request_bytes_.size()) {
    std::string().swap(request_bytes_);
    sent_bytes_ = 0;
  }
  update_watched_events();
}

void UpstreamConnection::receive() {
  auto& buffer = owner_.read_buffer();
  auto received = ::recv(socket_.get(), buffer.data(), buffer.size(), 0);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (received < 0) {
    fail(std::string("receive: ") + std::strerror(errno));
    return;
  }
  if (received == 0) {
    on_end_of_stream();
    return;
  }
  reader_.append({buffer.data(), static_cast<size_t>(received)});
  while (phase_ == Phase::active && read_response()) {}
}

void UpstreamConnection::on_end_of_stream() {
  if (send_error_) {
    fail(std::string("send: ") + std::strerror(send_error_));
    return;
  }
  // The close completes neither a skipped response to an earlier request nor the response to a request that was not
  // sent completely.
  bool may_complete = !skipping_ && request_bytes_.empty();
  if (!may_complete || !reader_.completed_by_close()) {
    fail("closed before the answer was whole");
    return;
  }
  reusable_ = false;
  on_response_complete();
}

bool UpstreamConnection::read_response() {
  switch (reader_.read()) {
    case HttpResponseReader::Progress::incomplete:
      return false;
    case HttpResponseReader::Progress::head:
      on_head(reader_.take_head());
      return true;
    case HttpResponseReader::Progress::body: {
      auto bytes = reader_.take_body();
      if (!skipping_) {
        owner_.on_body(request_, bytes);
      }
      return true;
    }
    case HttpResponseReader::Progress::complete:
      return on_response_complete();
    case HttpResponseReader::Progress::malformed:
      owner_.on_malformed(request_);
      fail(reader_.error());
      return false;
  }
  return false;
}

void UpstreamConnection::on_head(HttpHead head) {
  if (head.closes_connection) {
    reusable_ = false;
  }
  keep_alive_ = keep_alive_of(head.fields);
  owner_.on_head(request_, {head.status, std::move(head.fields), head.chunked, head.content_length, previous_tag_});
}

bool UpstreamConnection::on_response_complete() {
  if (std::exchange(skipping_, false)) {
    return true;
  }
  auto request = std::exchange(request_, 0);
  // After surplus bytes, or a request that was not sent completely, the two sides may disagree about the framing.
  bool framing_in_sync = !reader_.has_unread_bytes() && request_bytes_.empty();
  if (framing_in_sync && reusable_ && keep_alive_ > 0ms) {
    become_idle();
  } else {
    close();
  }
  owner_.on_complete(request);
  return false;
}

void UpstreamConnection::become_idle() {
  phase_ = Phase::idle;
  reading_paused_ = false;
  reader_.discard();
  idle_since_ = monotonic_now();
  idle_until_ = idle_since_ + keep_alive_;
  update_watched_events();
  start_timer(keep_alive_, &UpstreamConnection::close);
  owner_.on_idle(shared_from_this());
}

void UpstreamConnection::fail(std::string reason) {
  auto request = std::exchange(request_, 0);
  auto delivery = possibly_sent_ ? UpstreamDelivery::possibly_sent : UpstreamDelivery::not_sent;
  close();
  if (request) {
    owner_.on_failure(request, delivery, std::move(reason));
  }
}

void UpstreamConnection::close() {
  if (std::exchange(phase_, Phase::closed) == Phase::closed) {
    return;
  }
  request_ = 0;
  cancel_timer();
  loop_.unwatch(socket_.get());
  socket_ = Fd();
  reader_.discard();
  std::string().swap(request_bytes_);
  owner_.on_closed(*this);
}

void UpstreamConnection::start_timer(Duration delay, void (UpstreamConnection::*on_timer)()) {
  timer_ = loop_.run_after(delay, [weak = weak_from_this(), on_timer] {
    if (auto self = weak.lock()) {
      self->timer_ = 0;
      (*self.*on_timer)();
    }
  });
}

void UpstreamConnection::cancel_timer() {
  if (timer_) {
    loop_.cancel(std::exchange(timer_, 0));
  }
}

}  // namespace mosskeel
