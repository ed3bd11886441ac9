#pragma once
// The interface that translates a platform's HTTP headers; each platform's codec is a plug-in that registers itself.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// One header field of an HTTP message.
struct HeaderField {
  std::string name, value;
  bool operator==(const HeaderField&) const = default;
};
/// In message order; names may repeat.
using HeaderFields = std::vector<HeaderField>;

/// Returns the value of the first field with that name, ignoring case; empty if there is none.
std::string_view header_value(const HeaderFields& fields, std::string_view name);

/// A complete request as received from a caller.
struct HttpRequest {
  std::string method;
  /// Path and query, unmodified.
  std::string target;
  /// In lower case, without the port.
  std::string host;
  HeaderFields fields;
  std::string body;
};

/// A part of a prompt that replicas may have in their prefix cache.
struct PromptPart {
  std::string id;
  uint64_t tokens = 0;
  bool operator==(const PromptPart&) const = default;
};

/// Parsed headers of a caller's request. A string is empty if its header is missing.
struct RequestHeaders {
  std::string attempt_id, program_id, session_id;
  /// The turn that this request continues.
  std::string previous_turn;
  /// Requests with the same key go to the same replica where possible.
  std::string affinity_key;
  /// Id of the last event that the caller has received, if it resumes a stream.
  std::string last_event_id;
  /// Maximum number of tokens that the program may use.
  std::optional<uint64_t> token_budget;
  uint64_t prompt_tokens = 0, max_output_tokens = 0;
  /// Remaining time of the request and of its whole program, if the caller states it.
  std::optional<Duration> time_left, program_time_left;
  /// In prompt order.
  std::vector<PromptPart> prompt_parts;
};

/// The load reported by a replica, as numbers of requests.
struct ReplicaLoad {
  uint32_t running = 0, waiting = 0, capacity = 0;
  bool operator==(const ReplicaLoad&) const = default;
};

/// Parsed headers of a replica's response.
struct ResponseHeaders {
  std::string attempt_id;
  /// The replica has not run the request and never will.
  bool not_run = false;
  /// Whether the response has the replica's seal.
  bool sealed = false;
  /// No value if the replica does not report it.
  std::optional<ReplicaLoad> load;
};

/// Translates between a platform's headers and this product's types. Stateless and thread-safe.
class ProtocolCodec {
 public:
  virtual ~ProtocolCodec() = default;
  virtual const char* name() const = 0;
  /// @return errors by header name if the headers cannot be parsed.
  virtual Result<RequestHeaders> parse_request(const HttpRequest& request) const = 0;
  virtual ResponseHeaders parse_response(uint32_t status, const HeaderFields& fields) const = 0;
  /// Sets the fields meant for the replica, replacing those that the caller sent.
  /// @param replica the replica that the request is meant for.
  /// @param time_left the time until the caller's deadline; no value if there is none.
  /// @param urgency 0 is served first and 9 last.
  virtual void set_upstream_headers(HeaderFields& fields, const std::string& replica, std::optional<Duration> time_left,
                                    std::optional<uint32_t> urgency) const = 0;
  /// Returns the header fields of a rejection.
  /// @param retry_after the delay after which the caller may retry; 0 omits it.
  virtual HeaderFields rejection_headers(Duration retry_after) const = 0;
  /// Whether the request is a readiness probe of this gateway.
  virtual bool is_readiness_probe(const HttpRequest& request) const = 0;
};

/// Returns the registered codec with that name, or null.
const ProtocolCodec* find_protocol_codec(const std::string& name);

/// A static object of this type registers a codec; the registry keeps the pointer.
struct ProtocolCodecRegistration {
  explicit ProtocolCodecRegistration(const ProtocolCodec* codec);
};

}  // namespace mosskeel
