#pragma once
// The one immutable metadata value, and what it is made of.
#include <boost/hana/define_struct.hpp>

#include "mosskeel.hpp"

namespace mosskeel {

enum class Role : uint8_t { marker, front, recorder };
enum class DaemonState : uint8_t { registered, up, draining, down, left };
enum class Fitness : uint8_t { cold, ready, leaving };
enum class SequenceKind : uint8_t { join, drain };
enum class Step : uint8_t { start, mid, finish };

const char* name(Role r);
const char* name(DaemonState s);
const char* name(Fitness f);
const char* name(SequenceKind k);
const char* name(Step s);

/// What a daemon says of itself before the log knows it.
struct Candidate {
  BOOST_HANA_DEFINE_STRUCT(Candidate, (Incarnation, inc), (Role, role), (std::string, zone),
                           (Address, addr), (Address, agent), (Address, http));
  bool operator==(const Candidate&) const = default;
};

struct Daemon {
  BOOST_HANA_DEFINE_STRUCT(Daemon, (DaemonId, id), (Candidate, self), (DaemonState, state),
                           (Epoch, since));
  bool operator==(const Daemon&) const = default;
};

struct Replica {
  BOOST_HANA_DEFINE_STRUCT(Replica, (std::string, name), (std::string, kind), (std::string, zone),
                           (std::string, url), (Fitness, fitness), (Epoch, since), (uint32_t, places));
  bool operator==(const Replica&) const = default;
};

/// Who owns a slot's programs, since when, and where their lines lie.
struct Slot {
  BOOST_HANA_DEFINE_STRUCT(Slot, (DaemonId, owner), (Epoch, term), (std::vector<DaemonId>, recorders),
                           (std::vector<DaemonId>, pending), (Epoch, changed));
  bool operator==(const Slot&) const = default;
};

struct Move {
  BOOST_HANA_DEFINE_STRUCT(Move, (SlotId, slot), (DaemonId, owner),
                           (std::vector<DaemonId>, recorders));
  bool operator==(const Move&) const = default;
};

/// A join or a drain under way; `last` is the epoch that enacted the previous step.
struct Sequence {
  BOOST_HANA_DEFINE_STRUCT(Sequence, (DaemonId, node), (SequenceKind, kind), (Step, due),
                           (Epoch, started), (Epoch, last), (std::vector<Move>, moves));
  bool operator==(const Sequence&) const = default;
};

struct Route {
  BOOST_HANA_DEFINE_STRUCT(Route, (std::string, name), (std::string, kind),
                           (std::vector<std::string>, replicas));
  bool operator==(const Route&) const = default;
  static std::set<std::string> optional_fields() { return {"replicas"}; }
};

struct Cell {
  BOOST_HANA_DEFINE_STRUCT(Cell, (std::string, name), (uint64_t, budget), (uint64_t, turn_limit),
                           (int64_t, retention_ms), (std::vector<Route>, routes));
  bool operator==(const Cell&) const = default;
  static std::set<std::string> optional_fields() { return {}; }
};

struct Manifest {
  BOOST_HANA_DEFINE_STRUCT(Manifest, (std::vector<Cell>, cells));
  bool operator==(const Manifest&) const = default;
  static std::set<std::string> optional_fields() { return {}; }
  const Cell* cell(const std::string& n) const;
};

/// What became of a commit id.
struct Remembered {
  BOOST_HANA_DEFINE_STRUCT(Remembered, (std::string, id), (Epoch, epoch));
  bool operator==(const Remembered&) const = default;
};

using Directory = std::map<DaemonId, Daemon>;
using Replicas = std::map<std::string, Replica>;
using Locks = std::map<SlotId, DaemonId>;
using Sequences = std::map<DaemonId, Sequence>;

struct Metadata {
  BOOST_HANA_DEFINE_STRUCT(Metadata, (Epoch, epoch), (uint64_t, cluster), (uint32_t, core_size),
                           (uint64_t, generation), (std::vector<DaemonId>, members),
                           (Directory, directory), (uint64_t, next_id), (Replicas, replicas),
                           (std::vector<Slot>, slots), (Locks, locks), (Sequences, sequences),
                           (Revision, revision), (Manifest, manifest),
                           (std::set<std::string>, evacuated), (std::vector<Remembered>, remembered),
                           (std::vector<uint64_t>, former), (std::vector<DaemonId>, quorum),
                           (std::vector<DaemonId>, incoming), (Epoch, recounted));
  bool operator==(const Metadata&) const = default;

  const Daemon* find(DaemonId id) const;
  const Daemon* find(Incarnation inc) const;
  /// Who has this address now: the last that came there.
  const Daemon* at(const Address& a) const;
  bool member(Incarnation inc) const;
  /// An empty marker at the address of a member: it may help to found anew a core of which nobody is left.
  bool heir(const Candidate& c) const;
  /// Lets a daemon count in place of one that lost its address to it, and so provably runs no more.
  void succeed(DaemonId old, DaemonId fresh);
  /// Whether those for whom `has` holds are a majority of everybody who counts, before and after a recount.
  bool quorate(const std::function<bool(const Daemon&)>& has) const;
  std::optional<Epoch> outcome(const std::string& commit) const;
};
using View = std::shared_ptr<const Metadata>;

/// The cluster's id after its next re-founding; the old one is fenced off by it.
uint64_t successor(uint64_t cluster, uint64_t generation);
/// Whether `later` is what `m`'s cluster becomes by a few re-foundings.
bool succeeds(const Metadata& m, uint64_t later);

/// The slot of a program, by its root's id.
SlotId slot_of(const std::string& cell, const std::string& program);

/// How many of a set must agree; never fewer than a majority of the full number of copies.
size_t majority_of(size_t n);

}  // namespace mosskeel
