#pragma once
// Messages between controllers, and with those who ask for commits: discovery, Paxos, quorum reads, commits, the
// supervisor lease.
#include "base/codec.hpp"
#include "metadata/rejection.hpp"

namespace mosskeel {

/// Number of a proposal: ordered by round, then by proposer, a random number of one controller process. No two
/// processes ever use the same ballot.
struct Ballot {
  MOSSKEEL_FIELDS(Ballot, (uint64_t, round), (uint64_t, proposer));
  auto operator<=>(const Ballot&) const = default;
};
using DaemonInfos = std::vector<DaemonInfo>;
using Addresses = std::vector<Address>;
using Entries = std::vector<Entry>;

/// A daemon without contact asks a seed, or a controller that it has heard of, for the cluster.
struct Discover {
  MOSSKEEL_FIELDS(Discover, (DaemonInfo, self));
};

/// Who is here: a founded daemon names the cluster, its epoch and the addresses of the core; a controller before the
/// founding has `cluster` 0 and names the candidates that it knows.
struct DiscoverReply {
  MOSSKEEL_FIELDS(DiscoverReply, (DaemonInfo, self), (uint64_t, cluster), (Epoch, epoch), (Addresses, core),
                  (DaemonInfos, candidates));
};

/// Paxos phase 1: asks an acceptor to promise `ballot` for the instance of `epoch`.
struct Prepare {
  MOSSKEEL_FIELDS(Prepare, (Epoch, epoch), (Ballot, ballot));
};

/// A proposal that an acceptor has accepted.
struct AcceptedProposal {
  MOSSKEEL_FIELDS(AcceptedProposal, (Ballot, ballot), (Entry, entry));
};

/// The reply to Prepare. Where `granted`, the acceptor accepts nothing below `ballot` any more, and `accepted` is the
/// proposal with the highest ballot that it has accepted at this epoch; else `promised` is the ballot that forbids
/// it. Sent once the promise is durable.
struct Promise {
  MOSSKEEL_FIELDS(Promise, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised),
                  (std::optional<AcceptedProposal>, accepted));
};

/// Paxos phase 2: asks an acceptor to accept `entry` under `ballot`; the instance is the entry's epoch.
struct Accept {
  MOSSKEEL_FIELDS(Accept, (Ballot, ballot), (Entry, entry));
};

/// The reply to Accept; where not `granted`, `promised` is the higher ballot that forbids it. Sent once it is
/// durable.
struct Accepted {
  MOSSKEEL_FIELDS(Accepted, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised));
};

/// Asks a core member for the newest epoch that it knows.
struct QuorumRead {
  MOSSKEEL_FIELDS(QuorumRead, (uint64_t, id));
};

/// `open` says that the member has accepted a proposal for the epoch after `epoch`, whose outcome it does not know.
struct QuorumReadReply {
  MOSSKEEL_FIELDS(QuorumReadReply, (uint64_t, id), (Epoch, epoch), (bool, open));
};

/// What became of a commit: in the log and in force, refused at an epoch that a majority confirmed, or neither is
/// known.
enum class CommitOutcome : uint8_t { committed, rejected, unknown };

/// Asks a controller to commit `change`. `id` makes the request idempotent. `known_epoch` is what the sender has, so
/// that the reply brings what it lacks. `timeout_ms` (0 for the controller's own) ends before the sender turns to
/// another controller: the change is not proposed later than that.
struct Commit {
  MOSSKEEL_FIELDS(Commit, (std::string, id), (Transformation, change), (Epoch, known_epoch), (int64_t, timeout_ms));
};

/// What became of a commit, with the log that the sender lacks. For `rejected`, `rejection` and `reason` tell why, at
/// `epoch`, which a majority has confirmed as the newest since the commit came.
struct CommitReply {
  MOSSKEEL_FIELDS(CommitReply, (std::string, id), (CommitOutcome, outcome), (std::string, reason), (Epoch, epoch),
                  (std::optional<Metadata>, checkpoint), (Entries, entries), (Rejection, rejection));
};

/// Time since each daemon's last heartbeat (ms), as one controller has received them.
using HeartbeatAges = std::map<DaemonId, int64_t>;

/// Asks a core member to grant or renew the supervisor lease; `request_id` matches the grant to its request.
struct LeaseRequest {
  MOSSKEEL_FIELDS(LeaseRequest, (uint64_t, request_id));
};

/// The reply; `heartbeat_ages` are what the member observes, for the holder to judge failures by a majority.
struct LeaseGrant {
  MOSSKEEL_FIELDS(LeaseGrant, (uint64_t, request_id), (bool, granted), (HeartbeatAges, heartbeat_ages));
};

/// An operator states that these core members are lost for good; their survivors may re-found the core.
struct RefoundRequest {
  MOSSKEEL_FIELDS(RefoundRequest, (std::string, id), (std::vector<DaemonId>, lost));
};

}  // namespace mosskeel
