#pragma once
// Bytes on their way to a socket.
#include <string>
#include <string_view>

namespace mosskeel {

/// Bytes that a socket takes at its own pace. Writers append to `tail()`; what the socket has taken is consumed, and
/// its memory given back in steps of `kMaxConsumedBytes`.
class SendBuffer {
 public:
  /// So much may be held that was sent already, and be kept for reuse once everything is sent.
  static constexpr size_t kMaxConsumedBytes = 16 << 10;

  std::string& tail() { return bytes_; }
  std::string_view unsent() const { return std::string_view(bytes_).substr(consumed_); }
  void consume(size_t bytes) { consumed_ += bytes; }
  /// To be called after the socket has taken what it could.
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
  /// Drops everything, and its memory.
  void release() {
    std::string().swap(bytes_);
    consumed_ = 0;
  }

 private:
  std::string bytes_;
  /// Bytes at the front that the socket has taken.
  size_t consumed_ = 0;
};

}  // namespace mosskeel
