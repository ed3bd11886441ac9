#pragma once
// How the heads of callers and replicas are spelt; a platform's dialect is a plug-in that registers itself.
#include "mosskeel/common.hpp"

namespace mosskeel {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// The value of a header field, whatever the case of its name; empty where there is none.
std::string_view header_value(const HeaderFields& f, std::string_view name);

/// One whole request as a caller sent it; `target` is the path with the query as it came.
struct HttpRequest {
  std::string method, target, host;
  HeaderFields fields;
  std::string body;
};

/// What a caller's head says. Times in ms, -1 where it says nothing; counts in tokens.
struct RequestHeaders {
  std::string attempt_id, program_id, session_id, previous_turn, affinity_key, last_event_id;
  std::optional<uint64_t> token_budget;
  uint64_t prompt_tokens = 0, max_output_tokens = 0;
  Millis time_left = -1, program_time_left = -1;
  /// The parts of the prompt in order, with their tokens.
  std::vector<std::pair<std::string, uint64_t>> prompt_parts;
};

/// What the head of a replica's answer says. `not_run`: this replica has not run it and never will.
struct ResponseHeaders {
  std::string attempt_id;
  bool not_run = false, sealed = false;
  /// Running, waiting, places; where the replica tells.
  std::optional<std::array<uint32_t, 3>> load;
};

class ProtocolCodec {
 public:
  virtual ~ProtocolCodec() = default;
  virtual const char* name() const = 0;
  /// Errors where the head can't be understood.
  virtual Result<RequestHeaders> parse_request(const HttpRequest& r) const = 0;
  virtual ResponseHeaders parse_response(uint32_t status, const HeaderFields& f) const = 0;
  /// Puts what is for the replica into a request's fields: the one meant, the time left, how urgent (0 first, 9 last).
  virtual void set_upstream_headers(HeaderFields& f, const std::string& replica, Millis left,
                                    std::optional<uint32_t> urgency) const = 0;
  /// The fields of a refusal, for a caller that may come back after `retry_ms` (0: says nothing).
  virtual HeaderFields rejection_headers(Millis retry_ms) const = 0;
  /// Whether this is the question if the front is ready.
  virtual bool is_readiness_probe(const HttpRequest& r) const = 0;
};

/// The registered dialect of that name, or nothing.
const ProtocolCodec* find_protocol_codec(const std::string& name);

/// A static object of this type puts a dialect into the registry.
struct ProtocolCodecRegistration {
  explicit ProtocolCodecRegistration(const ProtocolCodec* d);
};

}  // namespace mosskeel
