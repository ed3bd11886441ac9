#pragma once
// Quorum reads: confirm that this controller's epoch is the newest in the core.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// Asks the core members for their epochs. A proposer has at most one read in flight.
///
/// Invariant: a result is valid only for requests that arrived before the read began. Owned by `Proposer` and used on
/// its thread only; not persisted.
class QuorumReader {
 public:
  /// What a majority of the members has confirmed.
  struct Result {
    /// No member that answered knows a later epoch.
    Epoch epoch;
    /// Whether a member has accepted a proposal for the next epoch, which may already be decided.
    bool instance_open = false;
    /// The ticket of the last commit request that had arrived when the read began.
    uint64_t last_ticket{};
  };

  QuorumReader(Outbox& outbox, const MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  /// Asks the members whether this controller's epoch is the newest.
  void begin(std::map<Incarnation, Address> members, uint64_t last_ticket, TimePoint now);
  /// Returns the result and ends the read if this reply completes a majority.
  std::optional<Result> handle(const Envelope& envelope, const QuorumReadReply& reply);
  bool in_progress() const { return read_.has_value(); }
  bool is_timed_out(TimePoint now) const { return read_ && now >= read_->deadline; }
  /// Whether the metadata log has advanced since the read began.
  bool is_outdated() const { return read_ && read_->result.epoch < metadata_log_.epoch(); }
  void abandon() { read_.reset(); }

 private:
  struct Read {
    uint64_t id{};
    Result result{};
    std::map<Incarnation, Address> members;
    size_t quorum_size{};
    std::set<Incarnation> replies;
    TimePoint deadline{};
  };

  Outbox& outbox_;
  const MetadataLog& metadata_log_;
  std::optional<Read> read_;
};

}  // namespace mosskeel
