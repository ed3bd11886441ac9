#pragma once
// A buffer for bytes to be sent to a socket.
#include <string>
#include <string_view>

namespace mosskeel {

/// Buffers bytes until the socket accepts them. Writers append to `tail()`; bytes that the socket has accepted are
/// marked with `consume`, and `compact` frees their memory in steps of `kMaxConsumedBytes`.
class SendBuffer {
 public:
  /// Maximum number of sent bytes kept at the front, and maximum capacity kept for reuse once everything is sent.
  static constexpr size_t kMaxConsumedBytes = 16 << 10;

  std::string& tail() { return bytes_; }
  std::string_view unsent() const { return std::string_view(bytes_).substr(consumed_); }
  void consume(size_t bytes) { consumed_ += bytes; }
  /// To be called after the socket has accepted as much as it can.
  void compact() {
    if (unsent().empty()) {
      consumed_ = 0;
      bytes_.clear();
      if (bytes_.capacity() > kMaxConsumedBytes) {
        std::string().swap(bytes_);
      }
    } else if (consumed_ > kMaxConsumedBytes) {
      bytes_.erase(0, consumed_);
      consumed_ = 0;
    }
  }
  /// Discards all bytes and frees their memory.
  void release() {
    std::string().swap(bytes_);
    consumed_ = 0;
  }

 private:
  std::string bytes_;
  /// Number of bytes at the front that the socket has accepted.
  size_t consumed_ = 0;
};

}  // namespace mosskeel
