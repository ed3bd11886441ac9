#pragma once
// A single libcurl transfer of a request to a replica over this product's own interface.
#include "messages/message.hpp"
#include "net/curl_handles.hpp"

namespace mosskeel {

/// A request in progress and the part of its response received so far. Used only on the thread that drives its libcurl
/// handle. The handle points to this object, which therefore cannot be moved.
class ReplicaCallTransfer {
 public:
  using MessageCallback = std::function<void(Message)>;
  /// @param on_message called with a ReplicaCallChunk for each piece of a model's response; must outlive the transfer.
  ReplicaCallTransfer(const ReplicaCall& request, const MessageCallback& on_message);
  ReplicaCallTransfer(const ReplicaCallTransfer&) = delete;
  ReplicaCallTransfer& operator=(const ReplicaCallTransfer&) = delete;
  CURL* handle() const { return handle_.get(); }
  const std::string& attempt() const { return request_.attempt; }
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
  void read_seal(const std::string& header_line);
  bool fail(const char* error);
  void set_options();
  void set_headers();

  ReplicaCall request_{};
  const MessageCallback& on_message_;
  CurlEasyHandle handle_;
  CurlHeaderList headers_;
  /// 0 until the head has been received.
  long status_ = 0;
  /// The incomplete last line of the stream.
  std::string incomplete_line_;
  std::string body_;
  /// Why the response is unusable; empty if there is no error.
  std::string error_;
  ReplicaCallResponse outcome_{};
};

}  // namespace mosskeel
