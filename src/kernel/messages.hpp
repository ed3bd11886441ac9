#pragma once
// What daemons say to each other. Append only: the index in Message is the kind on the wire.
#include "kernel/codec.hpp"
#include "kernel/turn_messages.hpp"
#include "metadata/transform.hpp"

namespace mosskeel {

struct Ballot {
  BOOST_HANA_DEFINE_STRUCT(Ballot, (uint64_t, round), (uint64_t, proposer));
  auto operator<=>(const Ballot&) const = default;
};
using Candidates = std::vector<Candidate>;
using Addresses = std::vector<Address>;
using Entries = std::vector<Entry>;

struct Discover {
  BOOST_HANA_DEFINE_STRUCT(Discover, (Candidate, self));
};
/// Who is here: a founded daemon names the core, an unfounded controller its fellow candidates.
struct DiscoverReply {
  BOOST_HANA_DEFINE_STRUCT(DiscoverReply, (Candidate, self), (uint64_t, cluster), (Epoch, epoch), (Addresses, core),
                           (Candidates, candidates));
};
struct Prepare {
  BOOST_HANA_DEFINE_STRUCT(Prepare, (Epoch, epoch), (Ballot, ballot));
};
using Accept_ = std::pair<Ballot, Entry>;
struct Promise {
  BOOST_HANA_DEFINE_STRUCT(Promise, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised),
                           (std::optional<Accept_>, accepted));
};
struct Accept {
  BOOST_HANA_DEFINE_STRUCT(Accept, (Ballot, ballot), (Entry, entry));
};
struct Accepted {
  BOOST_HANA_DEFINE_STRUCT(Accepted, (Epoch, epoch), (Ballot, ballot), (bool, granted), (Ballot, promised));
};
/// The design's single push of a new entry.
struct Decided {
  BOOST_HANA_DEFINE_STRUCT(Decided, (Entry, entry));
};
struct Catchup {
  BOOST_HANA_DEFINE_STRUCT(Catchup, (Epoch, known));
};
struct CatchupReply {
  BOOST_HANA_DEFINE_STRUCT(CatchupReply, (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries));
};
struct QuorumRead {
  BOOST_HANA_DEFINE_STRUCT(QuorumRead, (uint64_t, id));
};
struct QuorumReadReply {
  BOOST_HANA_DEFINE_STRUCT(QuorumReadReply, (uint64_t, id), (Epoch, epoch), (bool, open));
};
enum class Outcome : uint8_t { yes, no, unknown };
struct Commit {
  BOOST_HANA_DEFINE_STRUCT(Commit, (std::string, id), (Transformation, change), (Epoch, known));
};
struct CommitReply {
  BOOST_HANA_DEFINE_STRUCT(CommitReply, (std::string, id), (Outcome, outcome), (std::string, reason), (Epoch, epoch),
                           (std::optional<Metadata>, checkpoint), (Entries, entries));
};
/// A daemon's sign of life; an agent's speaks for its gateway too.
struct Heartbeat {
  BOOST_HANA_DEFINE_STRUCT(Heartbeat, (Candidate, self), (Epoch, known), (uint32_t, load), (Epoch, streamed),
                           (uint32_t, running), (int64_t, sent), (bool, leaving), (uint32_t, lacking));
};
struct HeartbeatReply {
  BOOST_HANA_DEFINE_STRUCT(HeartbeatReply, (Epoch, epoch), (std::optional<Metadata>, checkpoint), (Entries, entries),
                           (int64_t, touched_ms), (bool, confirmed), (int64_t, sent));
};
/// How long each daemon has been silent, as one controller hears it.
using Silences = std::map<DaemonId, int64_t>;
struct LeaseRequest {
  BOOST_HANA_DEFINE_STRUCT(LeaseRequest, (uint64_t, number));
};
struct LeaseGrant {
  BOOST_HANA_DEFINE_STRUCT(LeaseGrant, (uint64_t, number), (bool, granted), (Silences, silences));
};

/// An `intent` is there before dispatch with its token reservation, a `settled` before success; `ended` closes a line.
enum class RecordKind : uint8_t { reservation, settled, ended };
struct Record {
  BOOST_HANA_DEFINE_STRUCT(Record, (RecordKind, kind), (std::string, key), (std::string, thread),
                           (uint64_t, body_digest), (uint64_t, tokens), (uint32_t, turn), (uint32_t, status),
                           (DaemonId, runner), (int64_t, keep_ms), (std::string, input), (std::string, output),
                           (std::string, parent));
  bool operator==(const Record&) const = default;
};
using Records = std::vector<Record>;
struct LineName {
  BOOST_HANA_DEFINE_STRUCT(LineName, (std::string, cell), (std::string, program));
  auto operator<=>(const LineName&) const = default;
};
struct LineRead {
  BOOST_HANA_DEFINE_STRUCT(LineRead, (LineName, line), (SlotId, slot), (Epoch, term));
};
struct LineReadReply {
  BOOST_HANA_DEFINE_STRUCT(LineReadReply, (LineName, line), (Epoch, term), (bool, granted), (Epoch, line_term),
                           (bool, buried), (Records, records));
};
/// Appends at `from`, or with `adopt` replaces the whole line by the records.
struct LineWrite {
  BOOST_HANA_DEFINE_STRUCT(LineWrite, (LineName, line), (SlotId, slot), (Epoch, term), (bool, adopt), (uint64_t, from),
                           (Records, records));
};
struct LineWriteReply {
  BOOST_HANA_DEFINE_STRUCT(LineWriteReply, (LineName, line), (Epoch, term), (bool, granted), (bool, gap),
                           (uint64_t, length));
};
/// A store's own clock says that the line of this length has outlived its retention.
struct LineAged {
  BOOST_HANA_DEFINE_STRUCT(LineAged, (LineName, line), (SlotId, slot), (uint64_t, length));
};
/// The line has ended for good: its text may go, its name stays.
struct LineBury {
  BOOST_HANA_DEFINE_STRUCT(LineBury, (LineName, line), (SlotId, slot), (Epoch, term));
};
struct SlotStream {
  BOOST_HANA_DEFINE_STRUCT(SlotStream, (SlotId, slot), (Epoch, sequence), (LineName, after), (uint64_t, tombstone));
};
struct StreamedLine {
  BOOST_HANA_DEFINE_STRUCT(StreamedLine, (LineName, line), (Epoch, line_term), (Records, records));
};
struct SlotStreamReply {
  BOOST_HANA_DEFINE_STRUCT(SlotStreamReply, (SlotId, slot), (Epoch, sequence), (LineName, after), (uint64_t, tombstone),
                           (Epoch, fence), (std::vector<StreamedLine>, lines), (std::vector<uint64_t>, tombstones),
                           (bool, more));
};

/// Stores compare their slots' lines in the background and fetch what they lack.
struct SlotCheck {
  BOOST_HANA_DEFINE_STRUCT(SlotCheck, (SlotId, slot), (Epoch, changed), (uint64_t, sum));
};
struct SlotCheckReply {
  BOOST_HANA_DEFINE_STRUCT(SlotCheckReply, (SlotId, slot), (Epoch, changed), (bool, equal));
};
struct SlotList {
  BOOST_HANA_DEFINE_STRUCT(SlotList, (SlotId, slot), (LineName, after));
};
struct LineMark {
  BOOST_HANA_DEFINE_STRUCT(LineMark, (LineName, line), (Epoch, term), (uint64_t, length));
};
struct SlotListReply {
  BOOST_HANA_DEFINE_STRUCT(SlotListReply, (SlotId, slot), (LineName, after), (std::vector<LineMark>, marks),
                           (bool, more));
};
struct LinesFetch {
  BOOST_HANA_DEFINE_STRUCT(LinesFetch, (SlotId, slot), (std::vector<LineName>, names));
};
struct LinesFetched {
  BOOST_HANA_DEFINE_STRUCT(LinesFetched, (SlotId, slot), (std::vector<StreamedLine>, lines));
};

/// A caller's request, from HTTP or proxied by another gateway.
struct Request {
  BOOST_HANA_DEFINE_STRUCT(Request, (std::string, attempt), (std::string, cell), (std::string, route),
                           (std::string, program), (std::string, thread), (std::string, key), (std::string, kind),
                           (std::string, method), (std::string, path), (std::string, prefix), (std::string, body),
                           (uint64_t, max_tokens), (std::optional<uint32_t>, after), (bool, urgent), (bool, bulk),
                           (bool, repeatable), (int64_t, deadline_ms));
};
struct RequestSeen {
  BOOST_HANA_DEFINE_STRUCT(RequestSeen, (std::string, attempt));
};
struct RequestPiece {
  BOOST_HANA_DEFINE_STRUCT(RequestPiece, (std::string, attempt), (uint32_t, n), (std::string, text));
};
/// The last word on a request. `ran` is what is known of it: no, yes, or unknown.
struct RequestEnd {
  BOOST_HANA_DEFINE_STRUCT(RequestEnd, (std::string, attempt), (uint32_t, status), (Outcome, ran),
                           (std::string, reason), (std::string, body), (uint32_t, turn), (uint64_t, tokens),
                           (uint32_t, retry_ms), (bool, elsewhere), (uint32_t, pieces));
};
/// The outcome of a turn that was running when its slot moved.
struct LateSettle {
  BOOST_HANA_DEFINE_STRUCT(LateSettle, (std::string, attempt), (LineName, line), (Record, record));
};
struct LateSettled {
  BOOST_HANA_DEFINE_STRUCT(LateSettled, (std::string, attempt), (Outcome, outcome));
};
/// What the gateway asks of a replica, and hears from it.
struct ReplicaAsk {
  BOOST_HANA_DEFINE_STRUCT(ReplicaAsk, (std::string, attempt), (std::string, kind), (std::string, url),
                           (std::string, method), (std::string, body), (int64_t, deadline_ms), (bool, repeatable));
};
struct ReplicaPiece {
  BOOST_HANA_DEFINE_STRUCT(ReplicaPiece, (std::string, attempt), (uint32_t, n), (std::string, text),
                           (uint64_t, tokens));
};
/// `sent` tells whether anything may have reached the replica; `sealed` its own closing word.
struct ReplicaEnd {
  BOOST_HANA_DEFINE_STRUCT(ReplicaEnd, (std::string, attempt), (bool, sent), (uint32_t, status), (bool, sealed),
                           (uint32_t, pieces), (uint64_t, tokens), (uint64_t, seal), (std::string, body),
                           (std::string, reason));
};
struct ReplicaStop {
  BOOST_HANA_DEFINE_STRUCT(ReplicaStop, (std::string, attempt));
};
/// Asks the front that wrote an intent whether it still runs it; only its own word counts.
struct RunnerAsk {
  BOOST_HANA_DEFINE_STRUCT(RunnerAsk, (LineName, line), (std::string, key));
};
struct RunnerWord {
  BOOST_HANA_DEFINE_STRUCT(RunnerWord, (LineName, line), (std::string, key), (bool, running));
};
/// The operator's word that these core members are lost for good.
struct Rebuild {
  BOOST_HANA_DEFINE_STRUCT(Rebuild, (std::string, id), (std::vector<DaemonId>, lost));
};

using Message =
    std::variant<std::monostate, Discover, DiscoverReply, Prepare, Promise, Accept, Accepted, Decided, Catchup,
                 CatchupReply, QuorumRead, QuorumReadReply, Commit, CommitReply, Heartbeat, HeartbeatReply,
                 LeaseRequest, LeaseGrant, LineRead, LineReadReply, LineWrite, LineWriteReply, SlotStream,
                 SlotStreamReply, Request, RequestSeen, RequestPiece, RequestEnd, LateSettle, LateSettled, ReplicaAsk,
                 ReplicaPiece, ReplicaEnd, ReplicaStop, Rebuild, RunnerAsk, RunnerWord, LineAged, LineBury, SlotCheck,
                 SlotCheckReply, SlotList, SlotListReply, LinesFetch, LinesFetched, TurnAsk, TurnGrant, TurnSettle,
                 TurnSettled, ChainFind, ChainFound>;

/// A framed message: kind and body are the variant, the rest is what every daemon checks first.
struct Envelope {
  BOOST_HANA_DEFINE_STRUCT(Envelope, (uint16_t, protocol), (uint64_t, cluster), (Epoch, epoch), (uint64_t, id),
                           (Address, from), (Incarnation, from_inc), (Address, to), (Incarnation, to_inc),
                           (Message, body));
};

}  // namespace mosskeel
