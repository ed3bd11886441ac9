#pragma once
// Simulated callers, replicas and operators, and the independent check of what they saw.
#include "simulation/world.hpp"

namespace mosskeel::sim {

/// One turn of a program, from its first attempt to its known end.
struct Turn {
  std::string program, thread, key, input, output;
  /// The text of the chunks that came so far in this attempt.
  std::string text;
  /// `sure_not_run`: every attempt was answered, each with "not executed".
  bool done = false, sure_not_run = true, success = false;
  /// How many turns the caller says that the thread has; nothing where it does not say.
  std::optional<uint32_t> expected_turns;
  uint32_t chunks = 0, tries = 0, status = 0;
  /// Its place in the order in which turns were begun.
  uint64_t ordinal = 0;
};

/// What a replica does wrong.
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
  /// One call in so many meets the fault; 0 for none.
  int fault_every = 0;
  /// Turns that run now.
  int running = 0;
  /// Calls since it is cold, by gateway.
  std::map<std::string, int> calls_while_cold;
  /// When it was marked so; unset where it is not.
  TimePoint draining_since{}, evacuated_since{}, cold_since{};
  /// Attempts that were cancelled.
  std::set<std::string> cancelled;
};

/// A plain request that is not idempotent, with or without a key.
struct Count {
  std::string path, key;
  bool done = false, success = false, sure_not_run = true;
  uint32_t tries = 0;
  /// Attempts under way.
  int under_way = 0;
};

/// How callers behave; scenarios change it during the day.
struct CallerSettings {
  /// Whether programs have sub-agents.
  bool sub_agents = true;
  /// Whether the platform hands callers to gateways only that are ready.
  bool only_ready = false;
  /// A model needs at most this long for each chunk beyond the fixed part.
  Duration chunk_time = 40ms;
  /// One turn in so many is urgent; 0 for none.
  uint64_t urgent_share = 0;
  /// One program in so many is long and has many sub-agents; 0 for none.
  uint64_t long_program_share = 0;
  /// Bytes that a turn's input has at least.
  size_t input_bytes = 0;
  /// After so many attempts a caller gives up.
  uint32_t most_tries = 12;
};

/// What callers have heard so far.
struct CallerTotals {
  uint64_t successes = 0, refusals = 0, unknowns = 0, unknown_counts = 0, resumed = 0;
  uint64_t urgent_done = 0, urgent_asked = 0;
  Duration slowest_refusal{};
  /// Why answers were not known, by reason.
  std::map<std::string, uint64_t> reasons;
};

/// The status of a success.
constexpr uint32_t kStatusOk = 200;

/// All that surrounds a fleet: callers, replicas, operators. They know nothing of the state of the daemons.
///
/// Checked all the time and in the end: a turn and a count run once at most; a success is the whole answer of the
/// replica that ran it; what was refused as not run did not run; an acknowledged turn can be read back and is part of
/// the chain of each later turn; a program gets no more tokens than its budget and one turn; drains and
/// evacuations are in force within their limits; two changes on one revision are not both acknowledged.
class Callers {
 public:
  using TurnHandler = std::function<void(const Turn&)>;
  using CommitHandler = std::function<void(const CommitReply&)>;
  using MessageHandler = std::function<void(const Message&)>;

  Callers(World& world, int models, int apps, uint64_t budget, uint64_t turn_limit);
  /// Applies the first configuration and lists the replicas; false if the fleet does not come up.
  bool introduce();
  /// Starts programs until `end`, on average one each `gap` and a bit.
  void traffic(Duration gap, TimePoint end);
  /// Commits through random living controllers until there is a verdict or the time is over.
  void commit(Transformation change, CommitHandler then, std::string id = "", Duration patience = 10000ms);
  /// Lists a replica with this health.
  void set_replica(
      const std::string& name, ReplicaHealth health, CommitHandler then = [](const CommitReply&) {},
      Duration patience = 10000ms);
  /// One turn of a program; `then` hears of its end. A caller that is not stubborn tries once only.
  void turn(const std::string& program, const std::string& thread, TurnHandler then, bool stubborn = true);
  /// Any request, by a session of its own.
  void send(const std::string& gateway, ProgramRequest request, MessageHandler hear);
  /// How often a turn ran.
  int runs(const std::string& program, const std::string& key) { return runs_[turn_name(program, key)]; }
  /// Reads back all programs, and checks what can only be judged at the end of a day.
  void check_at_end();
  /// All programs with a successful turn.
  std::vector<std::string> programs() const;

  std::map<std::string, SimReplica> replicas;
  CallerSettings settings;
  CallerTotals totals;

 private:
  /// A caller's connection to a process.
  struct Session {
    MessageHandler hear;
    std::function<void()> lost;
  };
  struct SessionKey {
    std::string process;
    Address address;
    auto operator<=>(const SessionKey&) const = default;
  };
  /// One sending of a turn's request.
  struct TurnAttempt {
    std::shared_ptr<Turn> turn;
    TurnHandler then;
    bool stubborn = true, urgent = false, settled = false;
    TimePoint begun{};
  };
  struct CountAttempt {
    std::shared_ptr<Count> count;
    bool settled = false;
  };
  /// An operator's change until its end is known.
  struct PendingCommit {
    Transformation change;
    std::string id;
    TimePoint deadline;
    CommitHandler then;
    bool over = false;
  };
  /// A call that a model runs, chunk by chunk.
  struct ModelCall {
    std::string gateway;
    /// The gateway's process, which alone hears the response.
    uint64_t life = 0;
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
  Address open_session(const std::string& process, MessageHandler hear, std::function<void()> lost);
  void hear(const Node& node, const Envelope& envelope);
  void lose_sessions(const Node& node);
  void post(const std::string& gateway, const Address& from, ProgramRequest request);
  std::string pick_gateway();
  Duration patience(const std::string& gateway);

  // Programs and their turns (callers.cpp).
  void continue_program(const std::string& name, int turns, int index);
  std::optional<uint32_t> known_turns(const std::string& program, const std::string& thread);
  void attempt_turn(std::shared_ptr<Turn> turn, TurnHandler then, bool stubborn);
  void retry_turn(std::shared_ptr<Turn> turn, TurnHandler then, bool stubborn, Duration wait);
  void send_turn(const std::string& gateway, const std::shared_ptr<TurnAttempt>& attempt);
  void hear_turn(const std::shared_ptr<TurnAttempt>& attempt, const Message& message);
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
  void hear_commit(const std::shared_ptr<PendingCommit>& pending, const CommitReply& reply);
  void note_asked(const Transformation& change);
  void note_acknowledged(const Transformation& change);
  void check_one_change_per_base(const Transformation& change, const std::string& id);
  bool is_up();

  // Replicas (replicas.cpp).
  void hear_call(const Node& gateway, const Envelope& envelope);
  void arrive(const std::string& gateway, uint64_t life, const std::string& name, const ReplicaCall& call);
  void respond(const std::string& gateway, uint64_t life, Duration delay, const ReplicaCallResponse& response);
  void check_limits_of_drains(const SimReplica& replica);
  void check_load(SimReplica& replica, const std::string& gateway);
  void check_chain(const std::string& program, const std::string& thread, const std::string& body);
  void check_runs_once(const ModelCall& call);
  void run_app_call(SimReplica& replica, const std::string& gateway, uint64_t life, const ReplicaCall& call);
  void note_count_run(const std::string& path);
  void run_model_call(SimReplica& replica, const std::string& gateway, uint64_t life, const ReplicaCall& call);
  void schedule_chunk(const std::shared_ptr<ModelCall>& call);
  void run_chunk(const std::shared_ptr<ModelCall>& call);
  void end_model_call(const ModelCall& call);
  void say(const ModelCall& call, Message message);
  void finish(const ModelCall& call, ReplicaCallResponse response);
  void hand_token(const std::string& program);

  // The end of the day (readback.cpp).
  void read_back(const std::string& program, ReadHandler then);
  void try_read_back(const std::shared_ptr<ReadBack>& reading);
  void hear_read_back(const std::shared_ptr<ReadBack>& reading, const std::vector<std::shared_ptr<Turn>>& due,
                      uint32_t status, const std::string& body);
  void check_kept(const std::string& program, const std::vector<std::shared_ptr<Turn>>& due, const std::string& body);

  World& world_;
  uint64_t budget_, turn_limit_;
  /// The last number that was given to a session, program, key or path.
  uint64_t last_number_ = 0;
  std::map<SessionKey, Session> sessions_;
  /// How often each turn and each count ran on any replica.
  std::map<std::string, int> runs_;
  /// Tokens that replicas have handed out, by program.
  std::map<std::string, uint64_t> handed_tokens_;
  /// The sealed answer of each turn that ran to its end.
  std::map<std::string, std::string> sealed_;
  std::map<std::string, std::vector<std::shared_ptr<Turn>>> turns_;
  std::map<std::string, std::shared_ptr<Count>> counts_;
  /// The id of the acknowledged change that made each revision.
  std::map<Revision, std::string> acknowledged_;
  /// Programs that are not yet read back.
  int unread_ = 0;
};

}  // namespace mosskeel::sim
