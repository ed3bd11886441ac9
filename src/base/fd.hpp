#pragma once
// An owning file descriptor.
#include <unistd.h>

#include <utility>

namespace mosskeel {

/// Owns a file descriptor and closes it on destruction.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) {
      if (fd_ >= 0)
        ::close(fd_);
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Fd() {
    if (fd_ >= 0)
      ::close(fd_);
  }
  int get() const { return fd_; }
  /// Gives up the descriptor without closing it.
  int release() { return std::exchange(fd_, -1); }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_{};
};

}  // namespace mosskeel
