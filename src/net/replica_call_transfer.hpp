#pragma once
// One request of the product's own interface to a replica, as libcurl carries it out.
#include "messages/message.hpp"
#include "net/curl_handles.hpp"

namespace mosskeel {

/// One request under way and what has come of its response. It belongs to the thread that drives its libcurl handle.
/// The handle points to this object, which therefore stays where it is.
class ReplicaCallTransfer {
 public:
  using MessageCallback = std::function<void(Message)>;
  /// @param on_message called with ReplicaCallChunk for each piece of a model's response; it has to outlive the
  /// transfer.
  ReplicaCallTransfer(const ReplicaCall& request, const MessageCallback& on_message);
  ReplicaCallTransfer(const ReplicaCallTransfer&) = delete;
  ReplicaCallTransfer& operator=(const ReplicaCallTransfer&) = delete;
  CURL* handle() const { return handle_.get(); }
  const std::string& attempt() const { return request_.attempt; }
  /// The outcome, once libcurl is done with the request.
  ReplicaCallResponse finish(CURLcode result);

 private:
  static size_t on_body(char* bytes, size_t size, size_t count, void* call);
  static size_t on_header(char* bytes, size_t size, size_t count, void* call);
  bool is_model_stream() const;
  /// False ends the request with `error_`.
  bool take_body(std::string_view bytes);
  bool take_stream(std::string_view bytes);
  bool take_line(const std::string& line);
  void take_seal(const std::string& header_line);
  bool fail(const char* error);
  void set_options();
  void set_headers();

  ReplicaCall request_{};
  const MessageCallback& on_message_;
  CurlEasyHandle handle_;
  CurlHeaderList headers_;
  /// 0 until the head has been received.
  long status_ = 0;
  /// The stream's last line, as far as it has come.
  std::string incomplete_line_;
  std::string body_;
  /// Why the response can't be used; empty where nothing is wrong with it.
  std::string error_;
  ReplicaCallResponse outcome_{};
};

}  // namespace mosskeel
