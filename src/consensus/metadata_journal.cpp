#include "consensus/metadata_journal.hpp"

namespace mosskeel {

void MetadataJournal::recover(const DecidedRecord& record) {
  if (!metadata_log_.add(record.entry).empty())
    acceptor_.reset();
}

void MetadataJournal::recover(const SnapshotRecord& record) {
  if (metadata_log_.install_snapshot(record.metadata))
    acceptor_.reset();
}

void MetadataJournal::stamp_messages() {
  outbox_.cluster = metadata_log_.view()->cluster;
  outbox_.epoch = metadata_log_.epoch();
}

/// Journals an entry that the metadata log has applied and opens the acceptor's next instance.
void MetadataJournal::append(const Entry& entry) {
  acceptor_.reset();
  outbox_.write(codec::encode(ControllerRecord{DecidedRecord{entry}}));
}

/// The address of a daemon that is down may be that of its successor, which waits to hear that it may register.
void MetadataJournal::broadcast(const Entry& entry) {
  bool is_large = codec::encode(entry).size() > kMaxHeartbeatReplyBytes;
  for (const auto& [id, daemon] : metadata_log_.view()->directory) {
    bool is_self = daemon.self.incarnation == outbox_.id().self.incarnation;
    bool must_request = is_large && daemon.state == DaemonState::down;
    if (is_self || must_request || daemon.state == DaemonState::left)
      continue;
    const Address& agent = daemon.self.agent_address;
    outbox_.send(agent.empty() ? daemon.self.address : agent, Decided{entry});
  }
}

void MetadataJournal::add_decided(const Entry& entry) {
  for (const Entry& applied : metadata_log_.add(entry)) {
    append(applied);
    stamp_messages();
    outbox_.log_event(applied.epoch.value() == 1 ? Event::founded : Event::decided,
                      std::to_string(applied.epoch.value()) + ": " + describe(applied.change));
    broadcast(applied);
  }
}

bool MetadataJournal::apply_updates(const Entries& entries, const std::optional<Metadata>& snapshot) {
  if (snapshot && metadata_log_.install_snapshot(*snapshot)) {
    acceptor_.reset();
    outbox_.write(codec::encode(ControllerRecord{SnapshotRecord{*snapshot}}));
    outbox_.log_event(Event::caught_up, "checkpoint at epoch " + std::to_string(snapshot->epoch.value()));
  }
  for (const Entry& entry : entries)
    for (const Entry& applied : metadata_log_.add(entry))
      append(applied);
  bool is_another_cluster = outbox_.cluster != metadata_log_.view()->cluster;
  stamp_messages();
  return is_another_cluster;
}

}  // namespace mosskeel
