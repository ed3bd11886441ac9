#pragma once
// The one loop of the stand-in, its sockets out, its addresses.
#include <random>

#include "net/http_listener.hpp"
#include "net/upstream_client.hpp"
#include "platform_stub/book.hpp"

namespace mosskeel::standin {

/// What comes of one HTTP exchange: `whole` where it ended by its own framing.
struct Reply {
  uint32_t status = 0;
  HeaderFields fields;
  std::string body;
  bool whole = false, unsent = false;
};

/// Addresses of a fleet whose ports begin at `base`; each daemon's machine has its own loopback address.
struct Plan {
  uint16_t base = 0;
  std::string port(int n) const { return ":" + std::to_string(base + n); }
  Address front(int i) const { return "127.0.0." + std::to_string(31 + i) + port(10); }
  Address ready(int i) const { return "127.0.0." + std::to_string(31 + i) + port(11); }
  Address control(int i) const { return "127.0.0." + std::to_string(11 + i) + port(12); }
  Address list() const { return "127.0.0.1" + port(13); }
  Address replica(int i) const { return "127.0.0.1" + port(20 + i); }
};

inline const char* const zones[] = {"zone-a", "zone-b", "zone-c"};

/// Writes a settings file for each daemon of the fleet, with ports that are free.
Plan write_settings(const std::string& dir);

class World {
 public:
  explicit World(Plan p);
  /// `done` is called once, never from within.
  void ask(UpstreamClient::Request a, Duration patience, std::function<void(Reply&&)> done);
  uint64_t roll(uint64_t below) { return dice_() % below; }
  std::string name() { return hex(dice_()); }
  const Plan plan;
  EventLoop loop;
  Book book;
  bool over = false;
  /// Only planned work happens: replicas make no faults, and an answer that was begun may not be lost.
  bool calm = false;

 private:
  struct Talk {
    Reply reply;
    std::function<void(Reply&&)> done;
    uint64_t timer = 0;
  };
  void finish(uint64_t id, bool whole, bool unsent);
  std::mt19937_64 dice_{20261202};
  std::unordered_map<uint64_t, Talk> talks_;
  UpstreamClient out_;
};

}  // namespace mosskeel::standin
