#pragma once
// Simulated callers, replicas and operators. They check the fleet's behaviour independently of the daemons' state.
#include "simulation/world.hpp"

namespace mosskeel::sim {

/// One turn of a program, from its first attempt until its outcome is known or the caller gives up.
struct Turn {
  std::string program, thread, key, input, output;
  /// Concatenated text of the chunks received in this attempt.
  std::string text;
  /// `sure_not_run`: every attempt was answered, and every answer said "not executed".
  bool done = false, sure_not_run = true, success = false;
  /// Number of turns that the caller expects in the thread; unset if it states no expectation.
  std::optional<uint32_t> expected_turns;
  uint32_t chunks = 0, tries = 0, status = 0;
  /// Position in the order in which turns were started.
  uint64_t ordinal = 0;
};

/// Fault injected into a replica's responses.
enum class ReplicaFault {
  none,
  cut,         ///< the connection is reset half-way through the response
  lost,        ///< the connection is reset after the last chunk
  unsealed,    ///< the response ends without its seal
  stall,       ///< no response comes
  skip,        ///< a chunk has the number of the next one
  false_seal,  ///< the seal has another checksum
};

/// A process that runs requests: a model or a plain application.
struct SimReplica {
  std::string name, zone, kind = "model";
  bool up = true;
  ReplicaFault fault = ReplicaFault::none;
  /// The fault affects one in this many calls; 0 disables it.
  int fault_every = 0;
  /// Turns running now.
  int running = 0;
  /// Calls per gateway since the replica was marked cold.
  std::map<std::string, int> calls_while_cold;
  /// When the state was acknowledged; unset while the replica is not in it.
  TimePoint draining_since{}, evacuated_since{}, cold_since{};
  /// Ids of cancelled attempts.
  std::set<std::string> cancelled;
};

/// A plain application request that is not idempotent, with or without an idempotency key.
struct Count {
  std::string path, key;
  bool done = false, success = false, sure_not_run = true;
  uint32_t tries = 0;
  /// Attempts in flight.
  int in_flight = 0;
};

/// How callers behave; scenarios change it during a run.
struct CallerSettings {
  /// Whether programs have sub-agents.
  bool sub_agents = true;
  /// Whether the platform routes callers only to ready gateways.
  bool only_ready = false;
  /// Upper bound of the random part of a model's time per chunk.
  Duration chunk_time = 40ms;
  /// One in this many turns is urgent; 0 for none.
  uint64_t urgent_share = 0;
  /// One in this many programs is long and has many sub-agents; 0 for none.
  uint64_t long_program_share = 0;
  /// Minimum size of a turn's input in bytes.
  size_t input_bytes = 0;
  /// Number of attempts after which a caller gives up.
  uint32_t max_tries = 12;
};

/// Outcomes reported to callers so far.
struct CallerTotals {
  uint64_t successes = 0, refusals = 0, unknowns = 0, unknown_counts = 0, resumed = 0;
  uint64_t urgent_done = 0, urgent_requested = 0;
  Duration slowest_refusal{};
  /// Number of unknown outcomes by reason.
  std::map<std::string, uint64_t> reasons;
};

/// The status of a success.
constexpr uint32_t kStatusOk = 200;

/// The environment of a fleet: callers, replicas and operators. It does not use the daemons' internal state to judge.
///
/// Invariants, checked throughout the run and at its end: a turn or count runs at most once; a success carries the
/// complete answer of the replica that ran it; a request rejected as not executed did not run; an acknowledged turn can
/// be read back and is part of the chain of each later turn; a program gets no more tokens than its budget plus one
/// turn's limit; drains and evacuations take effect within their limits; at most one change per base revision is
/// acknowledged.
class Callers {
 public:
  using TurnHandler = std::function<void(const Turn&)>;
  using CommitHandler = std::function<void(const CommitReply&)>;
  using MessageHandler = std::function<void(const Message&)>;

  Callers(World& world, int models, int apps, uint64_t budget, uint64_t turn_limit);
  /// Applies the first configuration and registers the replicas; false if the fleet does not become ready.
  bool initialize_fleet();
  /// Starts programs until `end`, on average one about every `gap`.
  void traffic(Duration gap, TimePoint end);
  /// Sends the change to random running controllers until its outcome is known or `timeout` has passed.
  void commit(Transformation change, CommitHandler on_done, std::string id = "", Duration timeout = 10000ms);
  /// Registers a replica with this health or updates it.
  void set_replica(
      const std::string& name, ReplicaHealth health, CommitHandler on_done = [](const CommitReply&) {},
      Duration timeout = 10000ms);
  /// Starts one turn of a program and calls `on_done` at its end. Without `may_retry` the caller makes one attempt
  /// only.
  void turn(const std::string& program, const std::string& thread, TurnHandler on_done, bool may_retry = true);
  /// Sends a request in a session of its own.
  void send(const std::string& gateway, ProgramRequest request, MessageHandler on_message);
  /// Number of times a turn ran.
  int runs(const std::string& program, const std::string& key) { return runs_[turn_name(program, key)]; }
  /// Reads back all programs and checks the invariants that can only be judged at the end of a run.
  void check_at_end();
  /// All programs with a successful turn.
  std::vector<std::string> programs() const;

  std::map<std::string, SimReplica> replicas;
  CallerSettings settings;
  CallerTotals totals;

 private:
  /// A caller's connection to a process.
  struct Session {
    MessageHandler on_message;
    std::function<void()> lost;
  };
  struct SessionKey {
    std::string process;
    Address address;
    auto operator<=>(const SessionKey&) const = default;
  };
  /// One attempt to run a turn.
  struct TurnAttempt {
    std::shared_ptr<Turn> turn;
    TurnHandler on_done;
    bool may_retry = true, urgent = false, settled = false;
    TimePoint begun{};
  };
  struct CountAttempt {
    std::shared_ptr<Count> count;
    bool settled = false;
  };
  /// An operator's change whose outcome is not yet known.
  struct PendingCommit {
    Transformation change;
    std::string id;
    TimePoint deadline;
    CommitHandler on_done;
    bool over = false;
  };
  /// A call that a model runs, chunk by chunk.
  struct ModelCall {
    std::string gateway;
    /// The gateway process that made the call; the response is dropped if it no longer runs.
    uint64_t process_id = 0;
    std::string replica, program, key;
    ReplicaCall call;
    uint32_t chunk_count = 0;
    ReplicaFault fault = ReplicaFault::none;
    uint32_t next_chunk = 0;
    std::string text;
  };
  struct ReadBack {
    std::string program;
    int tries = 0;
  };
  using ReadHandler = std::function<void(uint32_t status, const std::string& body)>;

  static std::string turn_name(const std::string& program, const std::string& key) {
    return "news/" + program + "/" + key;
  }

  // Sessions (callers.cpp).
  Address open_session(const std::string& process, MessageHandler on_message, std::function<void()> lost);
  void on_message(const Node& node, const Envelope& envelope);
  void close_sessions(const Node& node);
  void post(const std::string& gateway, const Address& from, ProgramRequest request);
  std::string pick_gateway();
  Duration session_timeout(const std::string& gateway);

  // Programs and their turns (callers.cpp).
  void continue_program(const std::string& name, int turns, int index);
  std::optional<uint32_t> known_turns(const std::string& program, const std::string& thread);
  void attempt_turn(std::shared_ptr<Turn> turn, TurnHandler on_done, bool may_retry);
  void retry_turn(std::shared_ptr<Turn> turn, TurnHandler on_done, bool may_retry, Duration wait);
  void send_turn(const std::string& gateway, const std::shared_ptr<TurnAttempt>& attempt);
  void handle_turn_message(const std::shared_ptr<TurnAttempt>& attempt, const Message& message);
  void settle_turn(const std::shared_ptr<TurnAttempt>& attempt, const ProgramResponse* response, bool caller_left);
  void succeed(TurnAttempt& attempt, const ProgramResponse& response);
  void count_failure(const TurnAttempt& attempt, const ProgramResponse* response, bool caller_left);
  void check_rejection(const Turn& turn, const ProgramResponse& response);
  bool has_later_turn(const Turn& turn);

  // Plain requests (counts.cpp).
  void fetch();
  void count();
  void attempt_count(std::shared_ptr<Count> count);
  void settle_count(const std::shared_ptr<CountAttempt>& attempt, const ProgramResponse* response, bool caller_left);
  void succeed(Count& count, const ProgramResponse& response);
  void check_counts();

  // Operators (operators.cpp).
  void try_commit(const std::shared_ptr<PendingCommit>& pending);
  void send_commit(const std::shared_ptr<PendingCommit>& pending, const std::shared_ptr<bool>& answered);
  void handle_commit_reply(const std::shared_ptr<PendingCommit>& pending, const CommitReply& reply);
  void on_commit_requested(const Transformation& change);
  void on_commit_acknowledged(const Transformation& change);
  void check_one_change_per_base(const Transformation& change, const std::string& id);
  bool is_up();

  // Replicas (replicas.cpp).
  void handle_replica_call(const Node& gateway, const Envelope& envelope);
  void start_call(const std::string& gateway, uint64_t process_id, const std::string& name, const ReplicaCall& call);
  void respond(const std::string& gateway, uint64_t process_id, Duration delay, const ReplicaCallResponse& response);
  void check_drain_limits(const SimReplica& replica);
  void check_load(SimReplica& replica, const std::string& gateway);
  void check_chain(const std::string& program, const std::string& thread, const std::string& body);
  void check_runs_once(const ModelCall& call);
  void run_app_call(SimReplica& replica, const std::string& gateway, uint64_t process_id, const ReplicaCall& call);
  void note_count_run(const std::string& path);
  void run_model_call(SimReplica& replica, const std::string& gateway, uint64_t process_id, const ReplicaCall& call);
  void schedule_chunk(const std::shared_ptr<ModelCall>& call);
  void run_chunk(const std::shared_ptr<ModelCall>& call);
  void end_model_call(const ModelCall& call);
  void post_to_gateway(const ModelCall& call, Message message);
  void finish(const ModelCall& call, ReplicaCallResponse response);
  void count_token(const std::string& program);

  // Final checks (readback.cpp).
  void read_back(const std::string& program, ReadHandler on_done);
  void try_read_back(const std::shared_ptr<ReadBack>& reading);
  void handle_read_back(const std::shared_ptr<ReadBack>& reading, const std::vector<std::shared_ptr<Turn>>& expected,
                        uint32_t status, const std::string& body);
  void check_recorded_turns(const std::string& program, const std::vector<std::shared_ptr<Turn>>& expected,
                            const std::string& body);

  World& world_;
  uint64_t budget_, turn_limit_;
  /// The last number assigned to a session, program, key or path.
  uint64_t last_number_ = 0;
  std::map<SessionKey, Session> sessions_;
  /// Number of times each turn and each count ran on any replica.
  std::map<std::string, int> runs_;
  /// Tokens generated by replicas, by program.
  std::map<std::string, uint64_t> issued_tokens_;
  /// The sealed answer of each turn that ran to its end.
  std::map<std::string, std::string> sealed_;
  std::map<std::string, std::vector<std::shared_ptr<Turn>>> turns_;
  std::map<std::string, std::shared_ptr<Count>> counts_;
  /// The id of the acknowledged change that made each revision.
  std::map<Revision, std::string> acknowledged_;
  /// Number of programs that are not yet read back.
  int unread_ = 0;
};

}  // namespace mosskeel::sim
