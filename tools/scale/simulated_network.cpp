// The network of a simulated fleet: delays, cuts, and the bytes of each message.
#include "net/wire.hpp"
#include "scale/simulated_fleet.hpp"

namespace mosskeel::scale {
namespace {

Duration network_delay(const ProcessSpec& sender, const ProcessSpec& receiver) {
  if (sender.region != receiver.region)
    return kRegionDelay;
  return sender.zone == receiver.zone ? kZoneInternalDelay : kZoneDelay;
}

/// A number for messages that many receive with the same content but for the addresses; 0 for any other.
uint64_t shared_message_key(const Message& message) {
  constexpr uint64_t kinds = 4;
  if (auto* decided = std::get_if<Decided>(&message))
    return decided->entry.epoch.value() * kinds + 1;
  if (auto* reply = std::get_if<HeartbeatReply>(&message); reply && reply->checkpoint)
    return reply->checkpoint->epoch.value() * kinds + 2;
  if (auto* reply = std::get_if<CatchupReply>(&message); reply && reply->checkpoint)
    return reply->checkpoint->epoch.value() * kinds + 3;
  return 0;
}

}  // namespace

void SimulatedFleet::send(SimulatedProcess& sender, Envelope message) {
  if (message.to.starts_with("local:")) {
    if (on_local_message)
      on_local_message(sender, message);
  } else if (message.to.starts_with("replica:")) {
    if (on_replica_message)
      on_replica_message(sender, message);
  } else {
    send_over_network(sender, std::move(message));
  }
}

void SimulatedFleet::send_over_network(SimulatedProcess& sender, Envelope message) {
  auto kind = kind_name(message.body);
  Traffic traffic{.messages = 1, .bytes = encoded_size(message)};
  bool stays_on_machine = message.to == sender.spec.identity.self.address || message.to == sender.spec.companion;
  auto& sent = stays_on_machine ? sender.counters.machine_local : sender.counters.sent;
  sent[kind] += traffic;
  auto found = index_by_address_.find(message.to);
  if (found == index_by_address_.end())
    return;
  auto& receiver = processes_[found->second];
  if (!receiver.machine)
    return;
  if (!stays_on_machine && is_cut && is_cut(sender, receiver))
    return;
  if (!stays_on_machine)
    receiver.counters.received[kind] += traffic;
  auto delay = stays_on_machine ? 0ms : network_delay(sender.spec, receiver.spec);
  auto shared_message = std::make_shared<const Envelope>(std::move(message));
  events_[now_ + delay].push_back({.action = nullptr, .receiver = found->second, .message = std::move(shared_message)});
}

/// Messages that go to many are encoded once; only their addresses differ in length.
size_t SimulatedFleet::encoded_size(const Envelope& message) {
  auto key = shared_message_key(message.body);
  if (key == 0)
    return encode(message).size();
  auto address_bytes = message.from.size() + message.to.size();
  auto [size, is_new] = shared_message_sizes_.emplace(key, 0);
  if (is_new)
    size->second = encode(message).size() - address_bytes;
  return size->second + address_bytes;
}

}  // namespace mosskeel::scale
