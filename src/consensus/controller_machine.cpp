#include "consensus/controller_machine.hpp"

#include "consensus/constants.hpp"
#include "consensus/in_force.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

ControllerMachine::ControllerMachine(const Identity& id, const Recovered& recovered, TimePoint now)
    : outbox_(id),
      acceptor_(outbox_, metadata_log_),
      journal_(outbox_, metadata_log_, acceptor_),
      filter_(outbox_, metadata_log_),
      detector_(now),
      lease_(outbox_, metadata_log_, detector_, now),
      supervisor_(outbox_, metadata_log_, detector_, lease_),
      proposer_(
          outbox_, metadata_log_, acceptor_, [this](const Entry& entry) { journal_.add_decided(entry); },
          [this](Epoch epoch, TimePoint at) { return missing_acknowledgements(epoch, at); }),
      open_instance_(outbox_, metadata_log_, acceptor_, proposer_),
      discovered_(id.self.incarnation),
      founding_(outbox_, proposer_, discovered_, now),
      refounding_(outbox_, metadata_log_, detector_, proposer_, discovered_),
      registration_(outbox_, metadata_log_),
      shutdown_(outbox_, metadata_log_) {
  recover(recovered);
}

void ControllerMachine::recover(const Recovered& recovered) {
  if (recovered.checkpoint) {
    if (auto checkpoint = codec::decode<ControllerCheckpoint>(*recovered.checkpoint)) {
      metadata_log_.install_snapshot(checkpoint->metadata);
      acceptor_.recover(*checkpoint);
    }
  }
  founding_.initialize(recovered);
  for (const std::string& bytes : recovered.journal)
    if (auto record = codec::decode<ControllerRecord>(bytes))
      recover(*record);
  journal_.stamp_messages();
}

void ControllerMachine::recover(const ControllerRecord& record) {
  std::visit(overload{[&](const PromiseRecord& promise) { acceptor_.recover(promise); },
                      [&](const AcceptRecord& accept) { acceptor_.recover(accept); },
                      [&](const DecidedRecord& decided) { journal_.recover(decided); },
                      [&](const SnapshotRecord& snapshot) { journal_.recover(snapshot); },
                      [&](const FoundersRecord& founders) {
                        founding_.recover(founders);
                      }},
             record);
}

std::string ControllerMachine::checkpoint() const {
  ControllerCheckpoint checkpoint{};
  checkpoint.metadata = *metadata_log_.view();
  acceptor_.save(checkpoint);
  return codec::encode(checkpoint);
}

Actions ControllerMachine::take_actions() {
  for (const std::string& record : outbox_.actions.journal)
    journal_bytes_ += record.size();
  if (journal_bytes_ > kCheckpointJournalBytes) {
    outbox_.actions.checkpoint = checkpoint();
    journal_bytes_ = 0;
  }
  return outbox_.take();
}

std::string ControllerMachine::missing_acknowledgements(Epoch epoch, TimePoint now) const {
  return mosskeel::missing_acknowledgements(*metadata_log_.view(), self().incarnation, detector_, epoch, now);
}

Actions ControllerMachine::step(const Envelope& envelope, TimePoint now) {
  if (!filter_.accepts(envelope)) {
    filter_.answer_rejected(envelope);
    return take_actions();
  }
  if (!outbox_.cluster && envelope.cluster) {
    founding_.record_founded_cluster(now);
    if (!std::holds_alternative<DiscoverReply>(envelope.body))
      outbox_.send(envelope.from, Catchup{metadata_log_.epoch()});
  }
  Epoch before = metadata_log_.epoch();
  request_missing_entries(envelope, now);
  std::visit([&](const auto& message) { handle(envelope, message, now); }, envelope.body);
  react_to_new_epoch(before, now);
  return take_actions();
}

Actions ControllerMachine::tick(TimePoint now) {
  Epoch before = metadata_log_.epoch();
  if (!outbox_.cluster)
    founding_.tick(now);
  if (shutdown_.in_progress() && shutdown_.is_complete(now))
    outbox_.actions.stop = true;
  if (outbox_.cluster && now >= next_heartbeat_at_)
    send_heartbeats(now);
  if (outbox_.cluster)
    refounding_.tick(now);
  lease_.tick(now);
  supervisor_.tick(now);
  open_instance_.tick(now);
  proposer_.tick(now);
  react_to_new_epoch(before, now);
  return take_actions();
}

/// Handles a new epoch without waiting for the next tick: continues pending commits and reports the epoch to the other
/// members at once.
void ControllerMachine::react_to_new_epoch(Epoch before, TimePoint now) {
  if (metadata_log_.epoch() == before)
    return;
  proposer_.tick(now);
  send_heartbeats(now);
}

/// Requests the missing entries from a sender that knows a later epoch, unless its message carries them.
void ControllerMachine::request_missing_entries(const Envelope& envelope, TimePoint now) {
  bool brings_entries = std::holds_alternative<Decided>(envelope.body) ||
                        std::holds_alternative<CatchupReply>(envelope.body) ||
                        std::holds_alternative<HeartbeatReply>(envelope.body);
  bool is_ahead = outbox_.cluster && envelope.cluster == outbox_.cluster && envelope.epoch > metadata_log_.epoch();
  if (is_ahead && !brings_entries && catch_up_limiter_.may_request(metadata_log_.epoch(), now))
    outbox_.send(envelope.from, Catchup{metadata_log_.epoch()});
}

void ControllerMachine::handle(const Envelope& envelope, const Discover& discover, TimePoint now) {
  const Metadata& metadata = *metadata_log_.view();
  DiscoverReply reply{self(), outbox_.cluster, metadata_log_.epoch(), {}, {}};
  if (outbox_.cluster) {
    for (DaemonId id : metadata.members)
      reply.core.push_back(metadata.find(id)->self.address);
  } else {
    for (const auto& [incarnation, peer] : discovered_.all())
      reply.candidates.push_back(peer.info);
  }
  discovered_.record(discover.self, now);
  outbox_.send(envelope.from, reply);
}

void ControllerMachine::handle(const Envelope& envelope, const DiscoverReply& reply, TimePoint now) {
  if (!outbox_.cluster) {
    if (reply.cluster)
      return outbox_.send(envelope.from, Catchup{metadata_log_.epoch()});
    return founding_.handle_reply(reply, now);
  }
  bool from_successor = reply.cluster != outbox_.cluster && is_successor_cluster(*metadata_log_.view(), reply.cluster);
  if (from_successor && !removed_by_refounding_) {
    removed_by_refounding_ = true;
    outbox_.log_event(Event::lost_identity, "the core was re-founded without this controller; empty its data folder");
  }
  discovered_.record(reply.self, now);
}

/// A controller that was removed by a re-founding may not vote until it has caught up with the new generation.
bool ControllerMachine::may_vote(TimePoint now) const {
  return outbox_.cluster ? !removed_by_refounding_ : founding_.may_vote(now);
}

void ControllerMachine::handle(const Envelope& envelope, const Prepare& prepare, TimePoint now) {
  if (may_vote(now))
    acceptor_.handle(envelope, prepare);
}

void ControllerMachine::handle(const Envelope& envelope, const Accept& accept, TimePoint now) {
  if (may_vote(now))
    acceptor_.handle(envelope, accept);
}

void ControllerMachine::handle(const Envelope& envelope, const Promise& promise, TimePoint now) {
  proposer_.handle(envelope, promise, now);
}

void ControllerMachine::handle(const Envelope& envelope, const Accepted& accepted, TimePoint now) {
  proposer_.handle(envelope, accepted, now);
}

void ControllerMachine::handle(const Envelope& envelope, const Decided& decided, TimePoint) {
  apply_updates({decided.entry}, std::nullopt);
  if (metadata_log_.has_gap())
    outbox_.send(envelope.from, Catchup{metadata_log_.epoch()});
}

void ControllerMachine::handle(const Envelope& envelope, const Catchup& request, TimePoint) {
  auto [snapshot, entries] = metadata_log_.updates_since(request.known);
  outbox_.send(envelope.from, CatchupReply{metadata_log_.epoch(), snapshot, entries});
}

void ControllerMachine::handle(const Envelope&, const CatchupReply& reply, TimePoint) {
  apply_updates(reply.entries, reply.checkpoint);
}

void ControllerMachine::handle(const Envelope& envelope, const QuorumRead& read, TimePoint) {
  if (metadata_log_.view()->is_core_member(self().incarnation))
    outbox_.send_synced(envelope.from, QuorumReadReply{read.id, metadata_log_.epoch(), acceptor_.has_accepted()},
                        envelope.from_incarnation);
}

void ControllerMachine::handle(const Envelope& envelope, const QuorumReadReply& reply, TimePoint now) {
  proposer_.handle(envelope, reply, now);
}

void ControllerMachine::handle(const Envelope& envelope, const Commit& commit, TimePoint now) {
  if (!removed_by_refounding_)
    return proposer_.handle(envelope, commit, now);
  outbox_.send(envelope.from, CommitReply{commit.id,
                                          CommitOutcome::unknown,
                                          "this controller belongs to an earlier generation",
                                          metadata_log_.epoch(),
                                          std::nullopt,
                                          {},
                                          Rejection::none});
}

void ControllerMachine::handle(const Envelope&, const CommitReply& reply, TimePoint) {
  supervisor_.handle(reply);
  apply_updates(reply.entries, reply.checkpoint);
}

void ControllerMachine::handle(const Envelope& envelope, const Heartbeat& heartbeat, TimePoint now) {
  detector_.record(heartbeat, now);
  if (heartbeat.leaving)
    lease_.on_shutdown_of(heartbeat.self.incarnation, now);
  proposer_.acknowledge_in_force(now);
  if (envelope.from_incarnation == self().incarnation)
    return;
  auto [snapshot, entries] = metadata_log_.small_updates_since(heartbeat.known);
  HeartbeatReply reply{metadata_log_.epoch(), snapshot, entries, 0, metadata_log_.view()->cluster != 0, heartbeat.sent};
  outbox_.send_synced(envelope.from, reply);
}

void ControllerMachine::handle(const Envelope&, const HeartbeatReply& reply, TimePoint) {
  apply_updates(reply.entries, reply.checkpoint);
}

void ControllerMachine::handle(const Envelope& envelope, const LeaseRequest& request, TimePoint now) {
  lease_.handle(envelope, request, now);
}

void ControllerMachine::handle(const Envelope& envelope, const LeaseGrant& grant, TimePoint now) {
  lease_.handle(envelope, grant, now);
}

void ControllerMachine::handle(const Envelope& envelope, const RefoundRequest& request, TimePoint now) {
  refounding_.handle(envelope, request, now);
}

/// A controller that was removed by a re-founding takes part again once it has the new cluster's log.
void ControllerMachine::apply_updates(const Entries& entries, const std::optional<Metadata>& snapshot) {
  if (journal_.apply_updates(entries, snapshot))
    removed_by_refounding_ = false;
}

void ControllerMachine::send_heartbeats(TimePoint now) {
  next_heartbeat_at_ = now + kHeartbeatInterval;
  Heartbeat heartbeat{};
  heartbeat.self = self();
  heartbeat.known = metadata_log_.epoch();
  heartbeat.sent = to_milliseconds(now);
  heartbeat.leaving = shutdown_.in_progress();
  detector_.record(heartbeat, now);
  const Metadata& metadata = *metadata_log_.view();
  for (DaemonId id : metadata.members) {
    const DaemonInfo& member = metadata.find(id)->self;
    if (member.incarnation != self().incarnation)
      outbox_.send_synced(member.address, heartbeat);
  }
  if (!shutdown_.in_progress())
    registration_.request_if_needed(now);
}

/// Announces the shutdown to the other members at once, so that they take over the lease without waiting for the
/// heartbeat timeout.
void ControllerMachine::begin_shutdown(TimePoint now) {
  if (shutdown_.in_progress())
    return;
  shutdown_.begin(now);
  lease_.resign();
  if (!outbox_.cluster || !metadata_log_.view()->find(self().incarnation)) {
    outbox_.actions.stop = true;
    return;
  }
  send_heartbeats(now);
  shutdown_.request_mark_down();
}

}  // namespace mosskeel
