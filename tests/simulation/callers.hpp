#pragma once
// Simulated callers, replicas and operators; and the independent checker of what they saw.
#include "simulation/world.hpp"

namespace mosskeel::sim {

struct Turn {
  std::string program, thread, key, input, output, front, attempt, text;
  bool asked = false, done = false, sure_not_run = true, success = false, broken = false;
  std::optional<uint32_t> after;
  uint32_t pieces = 0, tries = 0, status = 0;
  uint64_t ordinal = 0;
};

struct SimReplica {
  std::string name, zone, fault, kind = "model";
  bool up = true;
  int now = 0, peak_cold = 0, every = 0;
  std::map<std::string, int> from;
  TimePoint leaving_since{}, evacuated_since{}, cold_since{};
  std::set<std::string> stopped;
};

/// A plain request that may not be repeated, keyed or not.
struct Count {
  std::string path, key, fault;
  bool done = false, success = false, sure_not_run = true;
  uint32_t tries = 0;
  int asked = 0;
};

class Callers {
 public:
  Callers(World& w, int models, int apps, uint64_t budget, uint64_t turn_limit);
  /// Founds the configuration and lists the replicas; false if the cluster does not come up.
  bool introduce();
  /// Starts programs every `gap` ms until `end`.
  void traffic(Duration gap, TimePoint end);
  /// Commits through a random living controller until there is a verdict or the time is out.
  void commit(Transformation t, std::function<void(const CommitReply&)> then, std::string id = "",
              Duration patience = 10000ms);
  /// One turn on a program; `then` once it is done.
  void turn(const std::string& program, const std::string& thread, std::function<void(const Turn&)> then,
            bool stubborn = true);
  /// Any request, by a session of its own.
  void send(const std::string& front, ProgramRequest e, std::function<void(const Message&)> hear);
  int runs(const std::string& program, const std::string& key) { return runs_["news/" + program + "/" + key]; }
  /// One repeatable request of the plain application service.
  void fetch();
  /// One plain request that may not be repeated; with a key it is asked again elsewhere until its end is known.
  void count();
  void read_back(const std::string& program, std::function<void(uint32_t status, const std::string& body)> then);
  /// Checks all that can only be judged at the end.
  void judge();
  bool served_since(TimePoint t) const { return last_success_ >= t; }
  std::map<std::string, SimReplica> replicas;
  uint64_t counted = 0, count_unknown = 0, lost_sessions = 0, stood_after = 0;
  uint64_t successes = 0, refusals = 0, unknowns = 0, resumed = 0, commits_yes = 0;
  bool helpers = true;
  Duration pace = 40ms, slowest_refusal{};
  uint64_t urgent_done = 0, urgent_asked = 0;
  uint64_t urgent_share = 0;
  /// One program in so many is a long dive with helpers; 0 for none.
  uint64_t dives = 0;
  /// The platform hands callers to ready fronts only.
  bool only_ready = false;
  uint32_t tries = 12;
  std::map<std::string, uint64_t> reasons;
  std::vector<std::string> programs() const;

 private:
  struct Open {
    std::string front;
    std::function<void(const Message&)> hear;
    std::function<void()> lost;
  };
  void on_local(Node& n, const Envelope& e);
  void on_replica(Node& n, const Envelope& e);
  void arrive(const std::string& front, uint64_t life, const std::string& name, const ReplicaCall& a);
  void acknowledged(const Transformation& t);
  void asked(const Transformation& t);
  void ask(std::shared_ptr<Turn> t, std::function<void(const Turn&)> then, bool stubborn);
  void program(const std::string& name, int turns, int i);
  void piece(const std::string& front, uint64_t life, const std::string& rep, const ReplicaCall& a, uint32_t k,
             uint32_t n, std::string fault, std::string text);
  std::string pick_front();
  /// How long a caller keeps its session open: sometimes it loses it, and nobody waits for a frozen front.
  Duration patience(const std::string& front);
  std::optional<uint32_t> known_turns(const std::string& program, const std::string& thread);
  Address session(const std::string& front, std::function<void(const Message&)> hear, std::function<void()> lost);
  void check_chain(const std::string& program, const std::string& thread, const std::string& body);
  World& w_;
  uint64_t budget_, limit_, next_ = 0;
  std::map<std::pair<std::string, Address>, Open> open_;
  std::map<std::string, int> runs_;
  std::map<std::string, uint64_t> handed_;
  std::map<std::string, std::string> whole_;
  std::map<std::string, std::vector<std::shared_ptr<Turn>>> turns_;
  std::map<Revision, std::string> acked_;
  TimePoint last_success_{};
  std::map<std::string, std::shared_ptr<Count>> counts_;
  void ask(std::shared_ptr<Count> c);
  void judge_counts();
};

}  // namespace mosskeel::sim
