#pragma once
// How the heads of callers and replicas are spelt; a platform's dialect is a plug-in that registers itself.
#include "mosskeel.hpp"

namespace mosskeel {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// The value of a header field, whatever the case of its name; empty where there is none.
std::string_view field(const Fields& f, std::string_view name);

/// One whole request as a caller sent it; `target` is the path with the query as it came.
struct HttpRequest {
  std::string method, target, host;
  Fields fields;
  std::string body;
};

/// What a caller's head says. Times in ms, -1 where it says nothing; counts in tokens.
struct CallerWords {
  std::string attempt, program, session, parent, affinity, resume_after;
  std::optional<uint64_t> budget;
  uint64_t prompt_tokens = 0, most_tokens = 0;
  Millis left = -1, program_left = -1;
  /// The parts of the prompt in order, with their tokens.
  std::vector<std::pair<std::string, uint64_t>> parts;
};

/// What the head of a replica's answer says. `not_run`: this replica has not run it and never will.
struct ReplicaWords {
  std::string attempt;
  bool not_run = false, sealed = false;
  /// Running, waiting, places; where the replica tells.
  std::optional<std::array<uint32_t, 3>> load;
};

class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual const char* name() const = 0;
  /// Findings where the head can't be understood.
  virtual Result<CallerWords> caller(const HttpRequest& r) const = 0;
  virtual ReplicaWords replica(uint32_t status, const Fields& f) const = 0;
  /// Puts what is for the replica into a request's fields: the one meant, the time left, how urgent (0 first, 9 last).
  virtual void address(Fields& f, const std::string& replica, Millis left, std::optional<uint32_t> urgency) const = 0;
  /// The fields of a refusal, for a caller that may come back after `retry_ms` (0: says nothing).
  virtual Fields refusal(Millis retry_ms) const = 0;
  /// Whether this is the question if the front is ready.
  virtual bool asks_ready(const HttpRequest& r) const = 0;
};

/// The registered dialect of that name, or nothing.
const Dialect* dialect(const std::string& name);

/// A static object of this type puts a dialect into the registry.
struct DialectEnrolled {
  explicit DialectEnrolled(const Dialect* d);
};

}  // namespace mosskeel
