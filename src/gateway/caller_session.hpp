#pragma once
// Lets an HTTP thread wait for the state machine's replies to one caller's request.
#include <optional>

#include "net/http_server.hpp"
#include "net/local_mailboxes.hpp"

namespace mosskeel {

/// A mailbox with its own local address that the state machine replies to. The mailbox is closed on destruction, and
/// later messages are dropped. Must be used by one thread at a time.
class CallerSession {
 public:
  CallerSession(LocalMailboxes& mailboxes, TimePoint deadline);
  ~CallerSession() { mailboxes_.close(opened_.address); }
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  const Address& address() const { return opened_.address; }
  /// Waits for the next message. Returns no value if none arrives before the deadline.
  std::optional<Message> receive();

 private:
  LocalMailboxes& mailboxes_;
  TimePoint deadline_{};
  LocalMailboxes::Opened opened_;
};

/// A streamed response in JSON lines: one object per chunk, and a last one with the outcome of the request.
class ProgramResponseStream {
 public:
  /// @param timeout the response to report if the session ends without a final response.
  ProgramResponseStream(std::shared_ptr<CallerSession> session, ProgramResponseChunk first, ProgramResponse timeout)
      : session_(std::move(session)), first_(std::move(first)), timeout_(std::move(timeout)) {}

  /// Waits for the next line and appends it to `bytes`; `finished` and `aborted` append nothing.
  ApiResponse::StreamState next(std::string& bytes);

 private:
  std::shared_ptr<CallerSession> session_;
  std::optional<ProgramResponseChunk> first_;
  ProgramResponse timeout_{};
  /// The final state, set once the last line is written.
  std::optional<ApiResponse::StreamState> end_;
};

}  // namespace mosskeel
