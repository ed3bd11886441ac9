// Transformations of the directory: registration, failure and return of daemons.
#include "metadata/transformation_steps.hpp"

namespace mosskeel::transformations {
namespace {

/// Whether a daemon in the directory has provably stopped once another one registers at its address. A gateway has no
/// state on disk, and a controller's disk distinguishes a restart from a new controller; only a store must be marked
/// down first.
bool ends_with_registration(const Daemon& earlier, const DaemonInfo& registering) {
  if (earlier.state == DaemonState::down || earlier.self.role == Role::gateway)
    return true;
  return registering.role == Role::controller && earlier.self.role == Role::controller;
}

/// Marks earlier controllers at this address as stopped: core members become down, the others have left.
void supersede_controllers(Metadata& metadata, const Address& address, DaemonId successor) {
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.address != address || daemon.self.role != Role::controller || daemon.state == DaemonState::left)
      continue;
    bool is_member = metadata.is_core_member(daemon.self.incarnation);
    set_state(metadata, daemon, is_member ? DaemonState::down : DaemonState::left);
    metadata.replace_in_quorum(id, successor);
  }
}

/// Gives a restarted gateway the partitions of its predecessor at the same address; the new term fences off the
/// predecessor.
void supersede_gateways(Metadata& metadata, const Address& address, DaemonId successor) {
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.address != address || daemon.self.role != Role::gateway || daemon.state == DaemonState::left)
      continue;
    set_state(metadata, daemon, DaemonState::left);
    end_sequence(metadata, id);
    transfer_ownership(metadata, id, successor);
  }
}

/// Registers a controller again that was removed from the core while it was silent; it returns as a spare.
Result<Metadata> register_again(Metadata metadata, const Daemon& known, const DaemonInfo& self) {
  if (known.state != DaemonState::left || self.role != Role::controller || known.self != self)
    return reject("register", "incarnation " + hex(self.incarnation.value()) + " is registered already");
  auto* other = metadata.find_at(self.address);
  if (other && other->state != DaemonState::down)
    return reject("register", self.address + " belongs to " + to_text(other->id));
  set_state(metadata, metadata.directory[known.id], DaemonState::up);
  return metadata;
}

}  // namespace

Result<Metadata> transform(Metadata metadata, const Register& change) {
  auto& self = change.self;
  if (auto* known = metadata.find(self.incarnation))
    return register_again(metadata, *known, self);
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.address != self.address || daemon.state == DaemonState::left)
      continue;
    if (!ends_with_registration(daemon, self))
      return reject("register", self.address + " belongs to " + to_text(id) + ", which is not known to be down");
  }

  DaemonId new_id{metadata.next_id++};
  if (self.role == Role::controller)
    supersede_controllers(metadata, self.address, new_id);
  for (auto& [id, daemon] : metadata.directory)
    if (daemon.self.address == self.address && (daemon.state == DaemonState::down || daemon.self.role == Role::gateway))
      metadata.replace_in_quorum(id, new_id);
  supersede_gateways(metadata, self.address, new_id);
  auto state = self.role == Role::controller ? DaemonState::up : DaemonState::registered;
  metadata.directory[new_id] = {new_id, self, state, metadata.epoch};
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const MarkDown& change) {
  auto entry = metadata.directory.find(change.node);
  if (entry == metadata.directory.end())
    return reject(to_text(change.node), "is unknown");
  auto& daemon = entry->second;
  if (daemon.state == DaemonState::down || daemon.state == DaemonState::left)
    return reject(to_text(change.node), std::string("is ") + name(daemon.state) + " already");
  bool is_gateway = daemon.self.role == Role::gateway;
  // A drained gateway runs until its last turns have ended and then stops sending heartbeats.
  bool has_drained = is_gateway && daemon.state == DaemonState::draining && !metadata.sequences.count(change.node);
  set_state(metadata, daemon, has_drained ? DaemonState::left : DaemonState::down);
  if (is_gateway) {
    end_sequence(metadata, change.node);
    redistribute_ownership(metadata, change.node);
  }
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const MarkUp& change) {
  auto entry = metadata.directory.find(change.node);
  if (entry == metadata.directory.end() || entry->second.state != DaemonState::down)
    return reject(to_text(change.node), "is not down");
  auto& daemon = entry->second;
  bool joins_anew =
      daemon.self.role == Role::gateway || (daemon.self.role == Role::store && !metadata.holds_partitions(change.node));
  set_state(metadata, daemon, joins_anew ? DaemonState::registered : DaemonState::up);
  return metadata;
}

Result<Metadata> transform(Metadata metadata, const ForgetStore& change) {
  auto entry = metadata.directory.find(change.node);
  if (entry == metadata.directory.end() || entry->second.self.role != Role::store ||
      entry->second.state != DaemonState::down)
    return reject(to_text(change.node), "is not a store that is down");
  if (metadata.holds_partitions(change.node) || metadata.sequences.count(change.node))
    return reject(to_text(change.node), "still holds partitions");
  set_state(metadata, entry->second, DaemonState::left);
  return metadata;
}

}  // namespace mosskeel::transformations
