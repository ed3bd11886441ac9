#pragma once
// How the headers of callers and replicas are spelt; a platform's codec is a plug-in that registers itself.
#include "mosskeel/common.hpp"

namespace mosskeel {

/// One header field of an HTTP message.
struct HeaderField {
  std::string name, value;
  bool operator==(const HeaderField&) const = default;
};
/// In the order of the message; names may repeat.
using HeaderFields = std::vector<HeaderField>;

/// The value of the first field of that name, in any case; empty where there is none.
std::string_view header_value(const HeaderFields& fields, std::string_view name);

/// A complete request as a caller sent it.
struct HttpRequest {
  std::string method;
  /// Path and query as they came.
  std::string target;
  /// In lower case, without port.
  std::string host;
  HeaderFields fields;
  std::string body;
};

/// A piece of a prompt that replicas may have in their prefix cache.
struct PromptPart {
  std::string id;
  uint64_t tokens = 0;
  bool operator==(const PromptPart&) const = default;
};

/// The headers of a caller's request. Texts are empty where a header is missing.
struct RequestHeaders {
  std::string attempt_id, program_id, session_id;
  /// The turn that this one goes on from.
  std::string previous_turn;
  /// Requests with the same key go to the same replica where possible.
  std::string affinity_key;
  /// The last event of a stream that the caller has, where it resumes one.
  std::string last_event_id;
  /// Tokens that the program may use.
  std::optional<uint64_t> token_budget;
  uint64_t prompt_tokens = 0, max_output_tokens = 0;
  /// Of the request and of its whole program, where the caller says so.
  std::optional<Duration> time_left, program_time_left;
  /// In the order of the prompt.
  std::vector<PromptPart> prompt_parts;
};

/// The load that a replica reports, in requests.
struct ReplicaLoad {
  uint32_t running = 0, waiting = 0, capacity = 0;
  bool operator==(const ReplicaLoad&) const = default;
};

/// The headers of a replica's response.
struct ResponseHeaders {
  std::string attempt_id;
  /// This replica has not run the request and never will.
  bool not_run = false;
  /// The response carries the replica's seal.
  bool sealed = false;
  /// Nothing where the replica does not report it.
  std::optional<ReplicaLoad> load;
};

/// Translates between a platform's headers and the product's own terms. Stateless, and used from every thread.
class ProtocolCodec {
 public:
  virtual ~ProtocolCodec() = default;
  virtual const char* name() const = 0;
  /// @return errors, by header name, where the headers can't be understood.
  virtual Result<RequestHeaders> parse_request(const HttpRequest& request) const = 0;
  virtual ResponseHeaders parse_response(uint32_t status, const HeaderFields& fields) const = 0;
  /// Sets the fields that are meant for the replica, in place of such that the caller sent.
  /// @param replica the one that the request is meant for.
  /// @param time_left until the caller's deadline; nothing where there is none.
  /// @param urgency 0 is served first, 9 last.
  virtual void set_upstream_headers(HeaderFields& fields, const std::string& replica, std::optional<Duration> time_left,
                                    std::optional<uint32_t> urgency) const = 0;
  /// The fields of a rejection.
  /// @param retry_after the time after which the caller may retry; 0 for none.
  virtual HeaderFields rejection_headers(Duration retry_after) const = 0;
  /// Whether the request asks if this gateway is ready.
  virtual bool is_readiness_probe(const HttpRequest& request) const = 0;
};

/// The registered codec of that name, or nothing.
const ProtocolCodec* find_protocol_codec(const std::string& name);

/// A static object of this type puts a codec into the registry, which keeps the pointer.
struct ProtocolCodecRegistration {
  explicit ProtocolCodecRegistration(const ProtocolCodec* codec);
};

}  // namespace mosskeel
