#include "gateway/caller_session.hpp"

#include <algorithm>

#include "gateway/program_response_json.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

CallerSession::CallerSession(LocalMailboxes& mailboxes, TimePoint deadline)
    : mailboxes_(mailboxes), deadline_(deadline), opened_(mailboxes.open()) {}

std::optional<Message> CallerSession::receive() {
  return opened_.mailbox->pop(std::max<Duration>(1ms, deadline_ - process_now()));
}

ApiResponse::StreamState ProgramResponseStream::next(std::string& bytes) {
  using State = ApiResponse::StreamState;
  if (end_)
    return *end_;
  if (first_) {
    bytes += json_line(chunk_json(*first_));
    first_.reset();
    return State::more;
  }
  auto message = session_->receive();
  if (message) {
    if (const auto* chunk = std::get_if<ProgramResponseChunk>(&*message)) {
      bytes += json_line(chunk_json(*chunk));
      return State::more;
    }
    if (!std::holds_alternative<ProgramResponse>(*message))
      return State::more;
  }
  const auto& response = message ? std::get<ProgramResponse>(*message) : timeout_;
  bool succeeded = message && response.status == 200;
  bytes += json_line(succeeded ? success_json(response) : failure_json(response));
  end_ = succeeded ? State::finished : State::aborted;
  session_.reset();
  return State::more;
}

}  // namespace mosskeel
