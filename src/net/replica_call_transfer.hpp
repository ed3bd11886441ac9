#pragma once
// A single libcurl transfer of a request to a replica over this product's own interface.
#include "messages/message.hpp"
#include "net/curl_handles.hpp"
#include "net/replica_call_limits.hpp"

namespace mosskeel {

/// A request in progress and the part of its response received so far. Used only on the thread that drives its libcurl
/// handle. The handle points to this object, which therefore cannot be moved.
class ReplicaCallTransfer {
 public:
  using MessageCallback = std::function<void(Message)>;
  /// What a transfer shares with the other ones of its client; all of it must outlive the transfer.
  struct Context {
    /// Called with a ReplicaCallChunk for each piece of a model's response.
    const MessageCallback& on_message;
    const ReplicaCallLimits& limits;
    HeldTransfers& held;
    /// Whether so many messages wait for the state machine that nothing must be read.
    std::function<bool()> is_backlogged;
  };
  ReplicaCallTransfer(const ReplicaCall& request, const Context& context);
  ~ReplicaCallTransfer() { context_.held.remove(*this); }
  ReplicaCallTransfer(const ReplicaCallTransfer&) = delete;
  ReplicaCallTransfer& operator=(const ReplicaCallTransfer&) = delete;
  CURL* handle() const { return handle_.get(); }
  const std::string& attempt() const { return request_.attempt; }
  /// Bytes that are held, or were passed on as messages.
  size_t held_bytes() const { return held_bytes_; }
  void add_held_bytes(size_t bytes) { held_bytes_ += bytes; }
  /// Drops what is held; the transfer must be ended.
  void abandon(const char* error);
  bool is_abandoned() const { return is_abandoned_; }
  bool is_paused() const { return is_paused_; }
  /// Reads on.
  void resume();
  /// Returns the outcome, once libcurl has finished the transfer.
  ReplicaCallResponse finish(CURLcode result);

 private:
  static size_t on_body(char* bytes, size_t size, size_t count, void* transfer);
  static size_t on_header(char* bytes, size_t size, size_t count, void* transfer);
  bool is_model_stream() const;
  /// Returns false to end the transfer with `error_`.
  bool handle_body(std::string_view bytes);
  bool handle_stream_bytes(std::string_view bytes);
  bool handle_stream_line(const std::string& line);
  /// Counts the piece in `incomplete_line_`.
  bool count_piece();
  void read_seal(const std::string& header_line);
  bool fail(const char* error);
  void set_options();
  void set_headers();

  ReplicaCall request_{};
  const Context& context_;
  size_t held_bytes_ = 0;
  bool is_abandoned_ = false;
  bool is_paused_ = false;
  CurlEasyHandle handle_;
  CurlHeaderList headers_;
  /// 0 until the head has been received.
  long status_ = 0;
  /// The incomplete last line of the stream.
  std::string incomplete_line_;
  /// The sum of the stream's pieces with what they cost in memory.
  size_t stream_bytes_ = 0;
  std::string body_;
  /// Why the response is unusable; empty if there is no error.
  std::string error_;
  ReplicaCallResponse outcome_{};
};

}  // namespace mosskeel
