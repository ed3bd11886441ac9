#pragma once
// A replica that answers with bytes without end.
#include <map>
#include <mutex>
#include <thread>

#include "base/fd.hpp"
#include "net/event_loop.hpp"
#include "platform_stub/listed_replica.hpp"

namespace mosskeel::platform_stub {

/// Where in an answer the bytes never end.
enum class EndlessForm {
  header_line,         ///< a header field's value
  interim_responses,   ///< informational responses (1xx)
  chunk_size_junk,     ///< junk where the size of a chunk is due
  one_chunk,           ///< a single chunk of a huge size
  one_byte_chunks,     ///< chunks of one byte
  trailers,            ///< trailer fields after the last chunk
  huge_length,         ///< a body with a huge Content-Length
  without_length,      ///< a body without a length
  lines_of_one_event,  ///< lines of an event that is never finished
  whole_events,        ///< events
};

inline constexpr EndlessForm kEndlessForms[] = {
    EndlessForm::header_line,  EndlessForm::interim_responses, EndlessForm::chunk_size_junk,
    EndlessForm::one_chunk,    EndlessForm::one_byte_chunks,   EndlessForm::trailers,
    EndlessForm::huge_length,  EndlessForm::without_length,    EndlessForm::lines_of_one_event,
    EndlessForm::whole_events,
};

const char* name(EndlessForm form);

/// How a replica answers every request.
struct EndlessAnswer {
  EndlessForm form = EndlessForm::whole_events;
  uint32_t status = 200;
  /// The bytes of the body, after which the answer ends as it should; 0 for no end. Only for forms that are well-formed
  /// answers when they end: `huge_length`, `one_chunk` and `whole_events`.
  size_t body_bytes = 0;
};

/// Listens at one address and sends its answer to each request as fast as its caller reads it, until the caller closes.
/// Runs on its own thread, so that its work does not slow down the clients of a test. The public functions are
/// thread-safe.
class EndlessReplica {
  // Before `listed`, which contains its address.
  Fd listening_socket_;

 public:
  /// @param listed_replica an empty address stands for a free port.
  EndlessReplica(ListedReplica listed_replica, EndlessAnswer answer);
  ~EndlessReplica();
  EndlessReplica(const EndlessReplica&) = delete;
  EndlessReplica& operator=(const EndlessReplica&) = delete;

  /// Replaces the answer to later requests.
  void set_answer(EndlessAnswer answer);
  /// How often each attempt was received.
  std::map<std::string, int> executions() const;
  /// Bytes sent so far.
  uint64_t sent_bytes() const;

  const ListedReplica listed;

 private:
  struct Connection {
    Fd socket;
    std::string received;
    /// What is still to be sent before the repeated bytes.
    std::string head;
    /// Sent again and again; empty before a request.
    std::string repeated;
    size_t offset = 0;
    /// Bytes of `repeated` to be sent, and what follows them; nothing for no end.
    std::optional<size_t> remaining;
    std::string tail;
  };

  static ListedReplica listen(ListedReplica listed_replica, Fd& listening_socket);
  void accept_connections();
  void on_ready(int socket, uint32_t events);
  void receive(int socket);
  void begin_answer(Connection& connection, const std::string& attempt);
  /// False where the connection is lost.
  bool send_more(Connection& connection);
  void close(int socket);

  EventLoop loop_;
  std::map<int, Connection> connections_;
  /// Guards the members below it.
  mutable std::mutex mutex_;
  EndlessAnswer answer_;
  std::map<std::string, int> executions_;
  uint64_t sent_bytes_ = 0;
  std::thread thread_;
};

}  // namespace mosskeel::platform_stub
