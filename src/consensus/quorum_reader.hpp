#pragma once
// Quorum reads: whether this controller's newest epoch is the newest of all.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// The one quorum read of a proposer that may be in flight: asks the core's members for their epochs.
///
/// Invariant: a result stands only for requests that had come before the read began. Owned by `Proposer` and used on
/// its thread only; nothing of it is on disk.
class QuorumReader {
 public:
  /// What a majority of the members has confirmed.
  struct Result {
    /// No member that answered knows a later one.
    Epoch epoch;
    /// Whether a member has accepted a proposal for the next epoch, which may be decided already.
    bool instance_open = false;
    /// The last commit request that had come when the read began.
    uint64_t last_ticket{};
  };

  QuorumReader(Outbox& outbox, const MetadataLog& metadata_log) : outbox_(outbox), metadata_log_(metadata_log) {}

  /// Asks the members whether the present epoch is the newest.
  void begin(std::map<Incarnation, Address> members, uint64_t last_ticket, TimePoint now);
  /// The result, where this reply completes a majority; the read is over then.
  std::optional<Result> handle(const Envelope& envelope, const QuorumReadReply& reply);
  bool in_progress() const { return read_.has_value(); }
  bool is_timed_out(TimePoint now) const { return read_ && now >= read_->deadline; }
  /// Whether the metadata log has moved on since the read began.
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
