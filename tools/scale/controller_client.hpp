#pragma once
// A client of the controllers that reads the metadata and commits changes as any daemon would.
#include "base/queue.hpp"
#include "net/transport.hpp"
#include "replication/metadata_log.hpp"
#include "scale/fleet_options.hpp"

namespace mosskeel::scale {

/// What became of a commit, and when; times are of the machine's clock.
struct CommitResult {
  bool committed = false;
  Epoch epoch{};
  TimePoint requested_at{};
  TimePoint answered_at{};
  /// Why it was rejected.
  std::string reason;

  Duration duration() const { return answered_at - requested_at; }
};

/// Belongs to one thread, which waits for each answer.
class ControllerClient {
 public:
  explicit ControllerClient(const FleetOptions& options);
  /// Begins to listen; must be called first.
  Errors open();
  /// The metadata as the controllers have it now.
  MetadataSnapshot view();
  /// Tries the controllers one after the other until one knows the outcome.
  CommitResult commit(Transformation change);

  /// The controllers that are asked.
  Addresses controllers;

 private:
  void send(const Address& controller, Message body);
  /// The next message, or nothing at that time of this process's clock.
  std::optional<Envelope> receive_until(TimePoint deadline);
  void catch_up(const Address& controller);
  std::optional<CommitReply> try_commit(const Address& controller, const Commit& commit);
  void update(const std::optional<Metadata>& checkpoint, const Entries& entries);

  Address address_;
  MetadataLog metadata_log_;
  Queue<Envelope> received_;
  std::unique_ptr<Transport> transport_;
  uint64_t last_id_ = 0;
};

}  // namespace mosskeel::scale
