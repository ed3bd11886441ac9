#pragma once
// A replica of a model.
#include <list>

#include "platform_stub/replica.hpp"

namespace mosskeel::platform_stub {

/// Executes up to `kReplicaCapacity` requests in one batch: each step brings all of them forward by a piece of their
/// prompt or by one event. Parts of prompts that it has read before are cached and not read again.
class ModelReplica : public Replica {
 public:
  ModelReplica(Environment& environment, ListedReplica listed_replica);

 private:
  struct Generation {
    std::string attempt;
    std::string seal;
    /// The events sent so far.
    std::string body;
    uint64_t unread_prompt_tokens = 0;
    uint64_t next_event = 1;
    uint64_t last_event = 0;
    bool is_head_sent = false;
  };
  enum class Fault { none, server_error, abort };

  void on_request(uint64_t exchange, HttpRequest&& request) override;
  void on_disconnected(uint64_t exchange) override;
  /// Takes the parts of a prompt into the cache.
  /// @param parts "id:tokens" with commas between.
  /// @return the tokens from the first part on that was not cached.
  uint64_t read_prompt(const std::string& parts);
  /// Brings the batch one step forward, and goes on doing so.
  void step();
  /// @return whether the generation goes on.
  bool advance(uint64_t exchange, Generation& generation);
  /// False where the response ends here with an error.
  bool send_head(uint64_t exchange, const Generation& generation, Fault fault);
  /// False where this was the last event.
  bool send_next_event(uint64_t exchange, Generation& generation);
  Fault random_fault();

  /// By exchange.
  std::map<uint64_t, Generation> batch_;
  std::map<uint64_t, Generation> queue_;
  /// The part that was used last is in front.
  std::list<std::string> cached_parts_;
};

}  // namespace mosskeel::platform_stub
