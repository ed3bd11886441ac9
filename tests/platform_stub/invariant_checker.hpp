#pragma once
// Compares what the callers sent and received with what the replicas executed.
#include "net/event_loop.hpp"
#include "net/protocol_codec.hpp"
#include "platform_stub/request_kind.hpp"

namespace mosskeel::platform_stub {

/// One attempt of a caller, as sent.
struct SentAttempt {
  RequestKind kind = RequestKind::safe;
  /// Path and query.
  std::string target;
  std::string body;
  /// The turn that this one goes on from; empty for none.
  std::string previous_turn;
  /// The id of the last event that the caller has, where it resumes a stream.
  uint64_t resume_after = 0;
  MonotonicTime sent_at{};
};

/// Keeps every attempt, every execution and every response of a run, and reports each promise that was broken:
///
/// - what is executed was sent, unchanged, and with the text of the turns before it;
/// - what is not idempotent is executed at most once, and never when its caller was told that it was not executed;
/// - a successful response is one that a replica made for this attempt, whole, and its events are without a gap;
/// - a program receives no more tokens than its budget allows;
/// - soon after a change of routes nothing runs where only the configuration before it sends it.
///
/// Used on the event loop's thread alone.
class InvariantChecker {
 public:
  /// Counts a broken promise, and prints it unless many were printed before.
  void report_violation(const std::string& what);
  int violations() const { return violations_; }

  /// A caller is about to send an attempt.
  void on_sent(const std::string& attempt, SentAttempt sent) { sent_[attempt] = std::move(sent); }
  /// A replica of the service begins to execute an attempt.
  void on_executed(const std::string& attempt, const std::string& service, const HttpRequest& request);
  /// A replica made a whole response to an attempt, under this seal.
  void on_response_made(const std::string& attempt, const std::string& seal, const std::string& body);
  /// A caller received a response which promises that the attempt was not executed.
  void on_rejected(const std::string& attempt, uint32_t status);
  /// A caller received a successful response that is complete by its framing.
  void on_completed(const std::string& attempt, const HeaderFields& fields, const std::string& body);
  /// A caller received tokens of a program, in a response complete or not.
  void on_tokens_received(const std::string& program, uint64_t tokens) { tokens_[program].received += tokens; }

  /// @param max_excess tokens that a program may receive beyond its budget: those of the turn that exhausts it.
  void set_token_budget(const std::string& program, uint64_t budget, uint64_t max_excess);
  /// What is sent from then on to paths with this prefix may be executed by this service alone; empty: by none.
  void set_route(const std::string& prefix, const std::string& service, MonotonicTime valid_from);

  /// The attempt as sent; nothing where no caller sent it.
  const SentAttempt* find_sent(const std::string& attempt) const;
  /// The inputs and outputs of a turn and of those before it, in order.
  std::string chain_text(const std::string& turn) const;
  bool was_executed(const std::string& attempt) const { return executions_.count(attempt) > 0; }
  /// Whether a caller received this turn whole.
  bool was_completed(const std::string& turn) const { return completed_turns_.count(turn) > 0; }

  /// Checks what is only known at the end of a run.
  void check_totals();

 private:
  /// A turn that its caller received whole.
  struct CompletedTurn {
    std::string previous_turn;
    std::string input;
    std::string output;
  };
  struct ProgramTokens {
    uint64_t received = 0;
    std::optional<uint64_t> budget;
    uint64_t max_excess = 0;
  };
  struct RouteRule {
    std::string service;
    MonotonicTime valid_from{};
  };
  using BodyBySeal = std::map<std::string, std::string>;

  void check_request(const std::string& attempt, const SentAttempt& sent, const HttpRequest& request);
  void check_route(const std::string& attempt, const SentAttempt& sent, const std::string& service);
  void check_seal(const std::string& attempt, const std::string& seal, const std::string& body);
  /// Reports gaps between the events; returns their data, one line each.
  std::string check_events(const std::string& attempt, uint64_t resume_after, const std::string& body);

  std::map<std::string, SentAttempt> sent_;
  /// How often each attempt was executed.
  std::map<std::string, int> executions_;
  /// The responses that replicas made, by attempt.
  std::map<std::string, BodyBySeal> made_;
  /// The status of each attempt that was said not to be executed.
  std::map<std::string, uint32_t> rejected_;
  std::map<std::string, CompletedTurn> completed_turns_;
  std::map<std::string, ProgramTokens> tokens_;
  std::map<std::string, RouteRule> routes_;
  int violations_ = 0;
};

}  // namespace mosskeel::platform_stub
