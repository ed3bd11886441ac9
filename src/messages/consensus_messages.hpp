#pragma once
// What controllers say to each other and to those who ask for commits: discovery, Paxos, quorum reads, commits, the
// supervisor lease.
#include "base/codec.hpp"
#include "metadata/rejection.hpp"

namespace mosskeel {

struct Ballot {
  BOOST_HANA_DEFINE_STRUCT(Ballot, (uint64_t, round), (uint64_t, proposer));
  auto operator<=>(const Ballot&) const = default;
};
using Candidates = std::vector<Candidate>;
using Addresses = std::vector<Address>;
using Entries = std::vector<Entry>;

struct Discover {
  BOOST_HANA_DEFINE_STRUCT(Discover, (Candidate, self));
};

/// Who is here: a founded daemon names the core, an unfounded controller its fellow candidates.
struct DiscoverReply {
  BOOST_HANA_DEFINE_STRUCT(DiscoverReply, (Candidate, self), (uint64_t, cluster), (Epoch, epoch), (Addresses, core),
                           (Candidates, candidates));
};

struct Prepare {
  BOOST_HANA_DEFINE_STRUCT(Prepare, (Epoch, epoch), (Ballot, ballot));
};

/// A proposal that an acceptor has accepted.
struct AcceptedProposal {
  BOOST_HANA_DEFINE_STRUCT(AcceptedProposal, (Ballot, ballot), (Entry, entry));
};

struct Promise {
  BOOST_HANA_DEFINE_STRUCT(Promise, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised),
                           (std::optional<AcceptedProposal>, accepted));
};

struct Accept {
  BOOST_HANA_DEFINE_STRUCT(Accept, (Ballot, ballot), (Entry, entry));
};

struct Accepted {
  BOOST_HANA_DEFINE_STRUCT(Accepted, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised));
};

struct QuorumRead {
  BOOST_HANA_DEFINE_STRUCT(QuorumRead, (uint64_t, id));
};

struct QuorumReadReply {
  BOOST_HANA_DEFINE_STRUCT(QuorumReadReply, (uint64_t, id), (Epoch, epoch), (bool, open));
};

/// What became of a commit: in the log and in force, refused at an epoch that a majority confirmed, or neither is
/// known.
enum class CommitOutcome : uint8_t { committed, rejected, unknown };

/// `patience` (ms, 0 for a controller's own) ends before its asker turns to another controller: it is not proposed
/// later.
struct Commit {
  BOOST_HANA_DEFINE_STRUCT(Commit, (std::string, id), (Transformation, change), (Epoch, known_epoch),
                           (int64_t, timeout_ms));
};

/// `rejection` says why it is a no, at `epoch`, which a majority has confirmed as the newest since the commit came.
struct CommitReply {
  BOOST_HANA_DEFINE_STRUCT(CommitReply, (std::string, id), (CommitOutcome, outcome), (std::string, reason),
                           (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries),
                           (Rejection, rejection));
};

/// Time since each daemon's last heartbeat (ms), as one controller has received them.
using HeartbeatAges = std::map<DaemonId, int64_t>;

struct LeaseRequest {
  BOOST_HANA_DEFINE_STRUCT(LeaseRequest, (uint64_t, request_id));
};

struct LeaseGrant {
  BOOST_HANA_DEFINE_STRUCT(LeaseGrant, (uint64_t, request_id), (bool, granted), (HeartbeatAges, heartbeat_ages));
};

/// The operator's word that these core members are lost for good.
struct RefoundRequest {
  BOOST_HANA_DEFINE_STRUCT(RefoundRequest, (std::string, id), (std::vector<DaemonId>, lost));
};

}  // namespace mosskeel
