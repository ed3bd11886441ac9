#pragma once
// One caller's wait for what the state machine says of its request.
#include <optional>

#include "net/http_server.hpp"
#include "net/local_mailboxes.hpp"

namespace mosskeel {

/// A mailbox of this process under an address of its own, to which the state machine replies. Closed on destruction;
/// what comes later is dropped. Used by one thread at a time.
class CallerSession {
 public:
  CallerSession(LocalMailboxes& mailboxes, TimePoint deadline);
  ~CallerSession() { mailboxes_.close(opened_.address); }
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  const Address& address() const { return opened_.address; }
  /// The next message, or nothing where none comes before the deadline.
  std::optional<Message> receive();

 private:
  LocalMailboxes& mailboxes_;
  TimePoint deadline_{};
  LocalMailboxes::Opened opened_;
};

/// A streamed response: one JSON object a line for each chunk, and a last line on how the request ended.
class ProgramResponseStream {
 public:
  /// `timeout` is reported where the session's deadline passes first.
  ProgramResponseStream(std::shared_ptr<CallerSession> session, ProgramResponseChunk first, ProgramResponse timeout)
      : session_(std::move(session)), first_(std::move(first)), timeout_(std::move(timeout)) {}

  /// Waits for the next line and appends it to `bytes`; `finished` and `aborted` append nothing.
  ApiResponse::StreamState next(std::string& bytes);

 private:
  std::shared_ptr<CallerSession> session_;
  std::optional<ProgramResponseChunk> first_;
  ProgramResponse timeout_{};
  /// How the stream ended, once its last line is written.
  std::optional<ApiResponse::StreamState> end_;
};

}  // namespace mosskeel
