#pragma once
// An owning wrapper for sockets of nng.
#include <cstdint>
#include <string>
#include <utility>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// Closes the socket on destruction.
class NngSocket {
 public:
  NngSocket() = default;
  explicit NngSocket(uint32_t id) : id_(id) {}
  NngSocket(NngSocket&& other) noexcept : id_(std::exchange(other.id_, 0)) {}
  NngSocket& operator=(NngSocket&& other) noexcept {
    std::swap(id_, other.id_);
    return *this;
  }
  ~NngSocket();
  /// 0 for none.
  uint32_t id() const { return id_; }

 private:
  uint32_t id_ = 0;
};

/// The address in the form that nng takes.
std::string nng_url(const Address& address);

}  // namespace mosskeel
