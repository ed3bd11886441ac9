#include "replication/follower.hpp"

#include <algorithm>

#include "replication/constants.hpp"

namespace mosskeel {

bool Follower::is_foreign(const Envelope& envelope) const {
  if (envelope.to_incarnation.value() && envelope.to_incarnation != outbox_.id().self.incarnation)
    return true;
  return envelope.cluster && outbox_.cluster && envelope.cluster != outbox_.cluster &&
         !is_successor_cluster(*metadata_log_.view(), envelope.cluster);
}

void Follower::apply_updates(const Entries& entries, const std::optional<Metadata>& snapshot) {
  if (snapshot && metadata_log_.install_snapshot(*snapshot)) {
    outbox_.log_event(Event::caught_up, "checkpoint at epoch " + std::to_string(snapshot->epoch.value()));
    if (callbacks_.on_snapshot)
      callbacks_.on_snapshot(*snapshot);
  }
  for (auto& entry : entries)
    for (auto& applied : metadata_log_.add(entry))
      if (callbacks_.on_entry)
        callbacks_.on_entry(applied);
  outbox_.cluster = metadata_log_.view()->cluster;
  outbox_.epoch = metadata_log_.epoch();
  acknowledgements_.on_log_advanced();
}

void Follower::request_catchup(const Address& from, TimePoint now) {
  if (catchup_limiter_.may_request(metadata_log_.epoch(), now))
    outbox_.send(from, Catchup{metadata_log_.epoch()});
}

void Follower::send_report(const Address& to, Message message) {
  if (is_durable_)
    outbox_.send_synced(to, std::move(message));
  else
    outbox_.send(to, std::move(message));
}

bool Follower::handle(const Envelope& envelope, TimePoint now) {
  auto update = [&](auto& reply) {
    apply_updates(reply.entries, reply.checkpoint);
    return true;
  };
  return std::visit(overload{
                        [&](const Discover&) { return handle_discover(envelope); },
                        [&](const DiscoverReply& reply) { return handle_discover_reply(envelope, reply); },
                        [&](const Decided& decided) { return handle_decided(envelope, decided, now); },
                        [&](const Catchup& request) { return handle_catchup(envelope, request); },
                        [&](const CatchupReply& reply) { return update(reply); },
                        [&](const CommitReply& reply) { return update(reply); },
                        [&](const Heartbeat& heartbeat) { return handle_heartbeat(envelope, heartbeat, now); },
                        [&](const HeartbeatReply& reply) { return handle_heartbeat_reply(envelope, reply, now); },
                        // The daemon handles all other messages itself.
                        [&](const auto&) { return false; },
                    },
                    envelope.body);
}

bool Follower::handle_discover(const Envelope& envelope) {
  auto& metadata = *metadata_log_.view();
  DiscoverReply reply{outbox_.id().self, outbox_.cluster, metadata_log_.epoch(), {}, {}};
  for (auto id : metadata.members)
    reply.core.push_back(metadata.find(id)->self.address);
  outbox_.send(envelope.from, reply);
  return true;
}

bool Follower::handle_discover_reply(const Envelope& envelope, const DiscoverReply& reply) {
  bool has_found_cluster = !outbox_.cluster && reply.cluster;
  if (!has_found_cluster)
    return true;
  outbox_.send(envelope.from, Catchup{metadata_log_.epoch()});
  for (auto& address : reply.core)
    if (address != envelope.from)
      outbox_.send(address, Catchup{metadata_log_.epoch()});
  return true;
}

bool Follower::handle_decided(const Envelope& envelope, const Decided& decided, TimePoint now) {
  apply_updates({decided.entry}, std::nullopt);
  if (metadata_log_.has_gap())
    request_catchup(envelope.from, now);
  return true;
}

bool Follower::handle_catchup(const Envelope& envelope, const Catchup& request) {
  auto updates = metadata_log_.updates_since(request.known);
  if (updates.snapshot || !updates.entries.empty())
    outbox_.send(envelope.from, CatchupReply{metadata_log_.epoch(), updates.snapshot, updates.entries});
  return true;
}

bool Follower::handle_heartbeat(const Envelope& envelope, const Heartbeat& heartbeat, TimePoint now) {
  auto updates = metadata_log_.small_updates_since(heartbeat.known);
  auto since_contact = now - acknowledgements_.last_majority_contact();
  send_report(envelope.from, HeartbeatReply{metadata_log_.epoch(), updates.snapshot, updates.entries,
                                            since_contact.count(), reports_stable_epoch(), heartbeat.sent});
  if (heartbeat.known > metadata_log_.epoch())
    request_catchup(envelope.from, now);
  return true;
}

bool Follower::handle_heartbeat_reply(const Envelope& envelope, const HeartbeatReply& reply, TimePoint now) {
  apply_updates(reply.entries, reply.checkpoint);
  if (reply.epoch > metadata_log_.epoch())
    request_catchup(envelope.from, now);
  if (reply.confirmed)
    acknowledgements_.record(envelope.from, envelope.from_incarnation, reply.epoch, from_milliseconds(reply.sent));
  return true;
}

bool Follower::defer(const Envelope& envelope, TimePoint now) {
  if (envelope.epoch <= metadata_log_.epoch() || !outbox_.cluster)
    return false;
  if (deferred_.size() < kLogEntriesKept)
    deferred_.push_back(envelope);
  request_catchup(envelope.from, now);
  return true;
}

std::vector<Envelope> Follower::take_deferred() {
  std::vector<Envelope> ready;
  std::erase_if(deferred_, [&](auto& envelope) {
    if (envelope.epoch > metadata_log_.epoch())
      return false;
    ready.push_back(envelope);
    return true;
  });
  return ready;
}

void Follower::tick(TimePoint now, const Heartbeat* own_heartbeat) {
  auto& metadata = *metadata_log_.view();
  bool is_isolated = !metadata.cluster || now - acknowledgements_.last_majority_contact() > kIsolationTimeout;
  if (now >= next_discovery_at_ && is_isolated)
    send_discovery(now);
  if (!metadata.cluster)
    return;
  if (own_heartbeat)
    registration_.tick(now, own_heartbeat->self);
  if (now < next_heartbeat_at_ && last_heartbeat_epoch_ == metadata_log_.epoch())
    return;
  Heartbeat heartbeat{};
  if (own_heartbeat)
    heartbeat = *own_heartbeat;
  else
    heartbeat.self = outbox_.id().self;
  send_heartbeats(heartbeat, now);
}

void Follower::send_discovery(TimePoint now) {
  next_discovery_at_ = now + kDiscoveryInterval;
  for (auto& seed : outbox_.id().seeds)
    if (seed != outbox_.id().self.address)
      outbox_.send(seed, Discover{outbox_.id().self});
}

void Follower::send_heartbeats(const Heartbeat& own_heartbeat, TimePoint now) {
  auto& metadata = *metadata_log_.view();
  next_heartbeat_at_ = now + kHeartbeatInterval;
  last_heartbeat_epoch_ = metadata_log_.epoch();
  auto heartbeat = own_heartbeat;
  heartbeat.known = metadata_log_.epoch();
  heartbeat.sent = to_milliseconds(now);
  for (auto id : metadata.members)
    send_report(metadata.find(id)->self.address, heartbeat);

  // While the core is unreachable, contact with a majority of the fleet keeps a daemon in service.
  auto core_contact = std::max(started_at_, acknowledgements_.last_core_contact());
  bool core_is_silent = now - core_contact >= kCoreSilenceTimeout;
  if (now < next_fleet_heartbeat_at_ || !core_is_silent || !reports_stable_epoch())
    return;
  next_fleet_heartbeat_at_ = now + kHeartbeatInterval * 2;
  for (auto& [id, daemon] : metadata.directory) {
    bool is_in_service = daemon.state != DaemonState::left && daemon.state != DaemonState::down;
    bool is_self = heartbeat_address(daemon) == outbox_.id().self.address;
    if (daemon.self.role != Role::controller && is_in_service && !is_self)
      send_report(heartbeat_address(daemon), heartbeat);
  }
}

}  // namespace mosskeel
