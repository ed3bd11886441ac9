#pragma once
// The driver's side of a fleet run: processes of hollow daemons, and a voice of its own towards the controllers.
#include <sys/types.h>

#include "base/queue.hpp"
#include "net/transport.hpp"
#include "replication/metadata_log.hpp"
#include "scale/fleet.hpp"

namespace mosskeel::scale {

/// One process of hollow daemons.
class Crew {
 public:
  Crew(const FleetAsk& a, int first);
  ~Crew();
  Crew(const Crew&) = delete;
  std::string ask(const std::string& line);
  int size() const { return size_; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
  int in_ = -1, out_ = -1, size_ = 0;
  std::string rest_;
};

struct Use {
  double cpu_s = 0, rss_mb = 0, peak_mb = 0;
};
Use use_of(pid_t pid);

/// Asks the controllers as any daemon would, and keeps up with the log.
class Voice {
 public:
  explicit Voice(const FleetAsk& a);
  Errors open();
  /// The value as the controllers have it now.
  View view();
  struct Verdict {
    bool yes = false;
    Epoch at{};
    Millis begun = 0, acked = 0;
    std::string reason;
  };
  Verdict commit(Transformation t);
  Addresses controllers;

 private:
  std::optional<Message> ask(const Address& to, Message m, Millis patience);
  Address self_;
  MetadataLog metadata_log_;
  Queue<Envelope> in_;
  std::unique_ptr<Transport> post_;
  uint64_t next_ = 0;
};

}  // namespace mosskeel::scale
