#pragma once
// Messages between controllers, and between controllers and their clients: discovery, Paxos, quorum reads, commits and
// the supervisor lease.
#include "base/codec.hpp"
#include "metadata/rejection.hpp"

namespace mosskeel {

/// Paxos ballot number, ordered by round, then by proposer, which is a random number of one controller process. No two
/// processes ever use the same ballot.
struct Ballot {
  MOSSKEEL_FIELDS(Ballot, (uint64_t, round), (uint64_t, proposer));
  auto operator<=>(const Ballot&) const = default;
};
using DaemonInfos = std::vector<DaemonInfo>;
using Addresses = std::vector<Address>;
using Entries = std::vector<Entry>;

/// Sent by a daemon without contact to the cluster: asks a seed node, or another known controller, about the cluster.
struct Discover {
  MOSSKEEL_FIELDS(Discover, (DaemonInfo, self));
};

/// The reply to Discover. A member of a founded cluster returns the cluster, its epoch and the addresses of the core; a
/// controller before the founding returns `cluster` 0 and the candidates that it knows.
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

/// The reply to Prepare. If `granted`, the acceptor no longer accepts any ballot below `ballot`, and `accepted` is the
/// proposal with the highest ballot that it has accepted at this epoch; otherwise `promised` is the higher ballot that
/// it has promised. Sent once the promise is durable.
struct Promise {
  MOSSKEEL_FIELDS(Promise, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised),
                  (std::optional<AcceptedProposal>, accepted));
};

/// Paxos phase 2: asks an acceptor to accept `entry` under `ballot`; the instance is the entry's epoch.
struct Accept {
  MOSSKEEL_FIELDS(Accept, (Ballot, ballot), (Entry, entry));
};

/// The reply to Accept. If not `granted`, `promised` is the higher ballot that the acceptor has promised. Sent once the
/// acceptance is durable.
struct Accepted {
  MOSSKEEL_FIELDS(Accepted, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised));
};

/// Asks a core member for the newest epoch that it knows.
struct QuorumRead {
  MOSSKEEL_FIELDS(QuorumRead, (uint64_t, id));
};

/// The reply to QuorumRead. `open` means that the member has accepted a proposal for the epoch after `epoch` and does
/// not know its outcome.
struct QuorumReadReply {
  MOSSKEEL_FIELDS(QuorumReadReply, (uint64_t, id), (Epoch, epoch), (bool, open));
};

/// The outcome of a commit: in the log and in effect, rejected at an epoch that a majority confirmed, or unknown.
enum class CommitOutcome : uint8_t { committed, rejected, unknown };

/// Asks a controller to commit `change`. `id` makes the request idempotent. `known_epoch` is the sender's epoch, so
/// that the reply contains the entries that it lacks. `timeout_ms` (0: the controller's default) expires before the
/// sender tries another controller: the change is not proposed after that.
struct Commit {
  MOSSKEEL_FIELDS(Commit, (std::string, id), (Transformation, change), (Epoch, known_epoch), (int64_t, timeout_ms));
};

/// The reply to Commit, with the part of the log that the sender lacks. For `rejected`, `rejection` and `reason` state
/// the cause, evaluated at `epoch`, which a majority has confirmed as the newest since the request arrived.
struct CommitReply {
  MOSSKEEL_FIELDS(CommitReply, (std::string, id), (CommitOutcome, outcome), (std::string, reason), (Epoch, epoch),
                  (std::optional<Metadata>, checkpoint), (Entries, entries), (Rejection, rejection));
};

/// Time since each daemon's last heartbeat (ms), as observed by one controller.
using HeartbeatAges = std::map<DaemonId, int64_t>;

/// Asks a core member to grant or renew the supervisor lease; `request_id` matches the grant to its request.
struct LeaseRequest {
  MOSSKEEL_FIELDS(LeaseRequest, (uint64_t, request_id));
};

/// The reply to LeaseRequest. `heartbeat_ages` are the member's observations, from which the lease holder detects
/// failures by majority.
struct LeaseGrant {
  MOSSKEEL_FIELDS(LeaseGrant, (uint64_t, request_id), (bool, granted), (HeartbeatAges, heartbeat_ages));
};

/// Sent when an operator declares these core members permanently lost: the surviving members may re-found the core.
struct RefoundRequest {
  MOSSKEEL_FIELDS(RefoundRequest, (std::string, id), (std::vector<DaemonId>, lost));
};

}  // namespace mosskeel
