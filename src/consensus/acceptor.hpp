#pragma once
// The Paxos acceptor of the one open instance: the epoch after the last decided one.
#include "replication/metadata_log.hpp"

namespace mosskeel {

/// What a controller keeps on disk between checkpoints.
struct PromiseRecord {
  BOOST_HANA_DEFINE_STRUCT(PromiseRecord, (Epoch, epoch), (Ballot, ballot));
};
struct AcceptRecord {
  BOOST_HANA_DEFINE_STRUCT(AcceptRecord, (Ballot, ballot), (Entry, entry));
};
struct DecidedRecord {
  BOOST_HANA_DEFINE_STRUCT(DecidedRecord, (Entry, entry));
};
struct JumpRecord {
  BOOST_HANA_DEFINE_STRUCT(JumpRecord, (Metadata, metadata));
};
/// The addresses whose controllers may found the cluster, as the first start's seeds named them.
struct FoundersRecord {
  BOOST_HANA_DEFINE_STRUCT(FoundersRecord, (Addresses, addresses));
};
/// Append only: the index is what the disk keeps.
using ControllerRecord = std::variant<PromiseRecord, AcceptRecord, DecidedRecord, JumpRecord, FoundersRecord>;

struct ControllerCheckpoint {
  BOOST_HANA_DEFINE_STRUCT(ControllerCheckpoint, (Metadata, metadata), (Entries, recent), (Epoch, open),
                           (Ballot, promised), (std::optional<AcceptedProposal>, accepted));
};

class Acceptor {
 public:
  Acceptor(Outbox& out, MetadataLog& metadata_log) : out_(out), metadata_log_(metadata_log) {}
  void on(const Envelope& e, const Prepare& p);
  void on(const Envelope& e, const Accept& a);
  /// Whether something is accepted in the open instance, decided or not.
  bool open() const { return accepted_.has_value(); }
  Ballot promised() const { return promised_; }
  void moved_on() { promised_ = {}, accepted_.reset(); }
  void recover(const ControllerCheckpoint& c);
  void recover(const PromiseRecord& r);
  void recover(const AcceptRecord& r);
  void save(ControllerCheckpoint& c) const;

 private:
  bool current(const Envelope& e, Epoch epoch);
  Outbox& out_;
  MetadataLog& metadata_log_;
  Ballot promised_{};
  std::optional<AcceptedProposal> accepted_;
};

}  // namespace mosskeel
