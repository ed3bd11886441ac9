#pragma once
// Commits: run the transformation, append by Paxos compare-and-set at the strictly next epoch.
#include "consensus/acceptor.hpp"

namespace mosskeel {

class Proposer {
 public:
  /// Called for every entry that this controller comes to know as decided.
  using Enact = std::function<void(const Entry&)>;
  Proposer(Outbox& out, MetadataLog& metadata_log, Acceptor& acc, Enact enact)
      : out_(out), metadata_log_(metadata_log), acc_(acc), enact_(std::move(enact)) {}

  void on(const Envelope& e, const Commit& c, Millis now);
  void on(const Envelope& e, const Promise& p, Millis now);
  void on(const Envelope& e, const Accepted& a, Millis now);
  void on(const Envelope& e, const QuorumReadReply& r, Millis now);
  void tick(Millis now);
  /// Somebody told what it knows: what waited for that may be answered.
  void heard(Millis now) {
    std::erase_if(held_, [&](auto& h) { return release(h, now); });
  }
  /// Proposes the founding entry to these candidates, of whom `votes` must agree.
  void found(const FoundCluster& f, const Candidates& electors, size_t votes, Millis now);
  /// Proposes to found the core anew; every survivor must agree, the lost cannot.
  void refound(const RefoundCluster& t, std::map<Incarnation, Address> survivors, Millis now);
  bool refounding() const { return refound_.has_value(); }
  /// Brings an instance to its end that its proposer left open.
  void finish(Millis now) {
    if (!round_)
      start(Entry{next(metadata_log_.epoch()), "", std::monostate{}}, now, true);
  }
  bool idle() const { return !round_; }
  /// What still hinders that an epoch is in force everywhere in touch and on every disk in touch; empty if nothing.
  std::function<std::string(Epoch, Millis)> missing_acknowledgements;

 private:
  enum class Stage { reading, preparing, accepting };
  /// One asker's commit; a second asker of the same commit waits for itself, and has its own contact with a majority.
  struct Waiting {
    std::string id;
    Transformation change;
    Address asker;
    Epoch known;
    Millis patience;
    Millis deadline;
    uint64_t ticket;
    bool proposed = false;
  };
  struct Round {
    Stage stage;
    Epoch epoch;
    Ballot ballot;
    Entry entry;
    std::optional<AcceptedProposal> best;
    std::map<Incarnation, Address> peers;
    std::set<Incarnation> votes;
    Millis until;
    uint64_t read = 0;
    bool open = false;
    /// A read answers whatever had come when it began.
    uint64_t last_ticket = 0;
    size_t need = 0;
  };
  /// The founding under way: who is asked, and how many must agree.
  struct Founding {
    Entry entry;
    Candidates electors;
    size_t votes;
  };
  /// In the log, and not yet acknowledged.
  struct Held {
    Waiting w;
    Epoch at;
  };
  void run(Millis now);
  bool release(const Held& h, Millis now);
  static bool promised(const Transformation& t);
  void start(Entry e, Millis now, bool finish_only);
  void read(Millis now);
  void conclude(uint64_t last_ticket, Millis now);
  void hold(Waiting w, Millis now);
  void expire(Millis now);
  void answer(const Waiting& w, CommitOutcome o, const std::string& reason, Rejection why = Rejection::none);
  void decided(Millis now);
  void again(Millis now, Ballot seen);
  std::map<Incarnation, Address> members() const;
  size_t votes_needed(size_t peers) const;

  Outbox& out_;
  MetadataLog& metadata_log_;
  Acceptor& acc_;
  Enact enact_;
  std::vector<Waiting> queue_;
  std::optional<Round> round_;
  std::optional<Founding> founding_;
  std::optional<std::pair<RefoundCluster, std::map<Incarnation, Address>>> refound_;
  std::vector<Held> held_;
  uint64_t top_ = 0, tickets_ = 0;
  Millis pause_ = 0;
};

}  // namespace mosskeel
