// Answers operators' queries. An error about a number repeats it exactly as the operator typed it.
#include <algorithm>
#include <sstream>

#include "base/json.hpp"
#include "control/command_language.hpp"
#include "control/constants.hpp"

namespace mosskeel::command_language {
namespace {

std::string join_ids(const std::vector<DaemonId>& ids) {
  if (ids.empty())
    return "-";
  std::string joined;
  for (auto id : ids)
    joined += (joined.empty() ? "" : ",") + std::to_string(id.value());
  return joined;
}

void print_fleet(std::ostream& out, const Metadata& metadata) {
  std::map<DaemonId, int> owned_partitions;
  std::map<DaemonId, int> stored_partitions;
  for (const auto& partition : metadata.partitions) {
    ++owned_partitions[partition.owner];
    for (auto store : partition.stores)
      ++stored_partitions[store];
  }
  for (const auto& [id, daemon] : metadata.directory) {
    const auto& self = daemon.self;
    out << id.value() << " " << name(self.role) << " " << name(daemon.state) << " zone " << self.zone << " at "
        << self.address;
    if (!self.http_address.empty())
      out << " http " << self.http_address;
    if (metadata.is_core_member(self.incarnation))
      out << " core";
    if (owned_partitions.count(id))
      out << " owns " << owned_partitions[id];
    if (stored_partitions.count(id))
      out << " keeps " << stored_partitions[id];
    out << "\n";
  }
  for (const auto& zone : metadata.evacuated)
    out << "zone " << zone << " evacuated\n";
}

void print_partition(std::ostream& out, const Metadata& metadata, PartitionId id) {
  const auto& partition = metadata.partitions[id.value()];
  out << "slot " << id.value() << ": owned by daemon " << partition.owner.value() << " since epoch "
      << partition.term.value() << ", kept by " << join_ids(partition.stores) << " since epoch "
      << partition.stores_epoch.value();
  if (!partition.pending_stores.empty())
    out << ", moving to " << join_ids(partition.pending_stores);
  auto lock = metadata.locks.find(id);
  if (lock != metadata.locks.end())
    out << ", locked by the sequence of daemon " << lock->second.value();
  out << "\n";
}

void print_partitions(std::ostream& out, const Metadata& metadata) {
  for (uint32_t i = 0; i < metadata.partitions.size(); ++i)
    print_partition(out, metadata, PartitionId{i});
}

void print_replicas(std::ostream& out, const Metadata& metadata) {
  for (const auto& [replica_name, replica] : metadata.replicas) {
    out << replica_name << " " << replica.kind << " " << name(replica.health) << " zone " << replica.zone << " places "
        << replica.capacity << " at " << replica.url << "\n";
  }
}

void print_sequences(std::ostream& out, const Metadata& metadata) {
  for (const auto& [id, sequence] : metadata.sequences) {
    out << name(sequence.kind) << " of daemon " << id.value() << " since epoch " << sequence.started_epoch.value()
        << ", next step " << name(sequence.next_step) << ", " << sequence.moves.size() << " slots\n";
  }
}

void print_entry(std::ostream& out, const Entry& entry) {
  out << "epoch " << entry.epoch.value() << ": " << describe(entry.change) << "\n";
}

/// Returns whether a change has this daemon as its subject.
bool concerns(const Transformation& change, DaemonId id) {
  return std::visit(
      overload{[&](const MarkDown& mark) { return mark.node == id; },
               [&](const MarkUp& mark) { return mark.node == id; },
               [&](const PrepareJoin& join) { return join.node == id; },
               [&](const PrepareDrain& drain) { return drain.node == id; },
               [&](const PrepareRepair& repair) { return repair.node == id; },
               [&](const ForgetStore& forget) { return forget.node == id; },
               [&](const AdvanceSequence& advance) { return advance.node == id; },
               [&](const CancelSequence& cancel) { return cancel.node == id; },
               [&](const AddCoreMember& admit) { return admit.node == id; },
               [&](const ReplaceCoreMember& replace) { return replace.removed == id || replace.added == id; },
               [&](const MovePartition& move) { return move.owner == id; },
               [&](const MoveAllPartitions& move) { return move.from == id || move.to == id; },
               // All other changes concern the whole cluster, its configuration or its replicas.
               [](const auto&) {
                 return false;
               }},
      change);
}

std::string accepted(const std::ostringstream& out) {
  return "yes\n" + out.str();
}

std::string refused(const std::string& reason) {
  return "no: " + reason;
}

/// Parses a number typed by an operator. Returns nullopt if it is invalid.
std::optional<uint64_t> parse_number(const std::string& text) {
  if (text.empty() || text.size() > kMaxDecimalDigits)
    return std::nullopt;
  if (text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::stoull(text);
}

std::string explain_program(const std::string& program, const Metadata& metadata) {
  auto separator = program.find('/');
  if (separator == std::string::npos || metadata.partitions.empty())
    return refused("a program is named CELL/PROGRAM");
  std::ostringstream out;
  print_partition(out, metadata, partition_of(program.substr(0, separator), program.substr(separator + 1)));
  return accepted(out);
}

std::string explain_daemon(const std::string& typed, DaemonId id, const Metadata& metadata,
                           const std::vector<Entry>& recent_entries) {
  const auto* daemon = metadata.find(id);
  if (!daemon)
    return refused("daemon " + typed + " is unknown");
  std::ostringstream out;
  out << name(daemon->self.role) << " " << name(daemon->state) << " since epoch " << daemon->since.value() << " at "
      << daemon->self.address << " zone " << daemon->self.zone << "\n";
  auto sequence = metadata.sequences.find(id);
  if (sequence != metadata.sequences.end())
    out << "its " << name(sequence->second.kind) << " waits for step " << name(sequence->second.next_step) << "\n";
  for (const auto& entry : recent_entries) {
    if (concerns(entry.change, id))
      print_entry(out, entry);
  }
  return accepted(out);
}

std::string explain_partition(const std::string& typed, uint64_t number, const Metadata& metadata,
                              const std::vector<Entry>& recent_entries) {
  if (number >= metadata.partitions.size())
    return refused("slot " + typed + " is unknown");
  std::ostringstream out;
  const auto& partition = metadata.partitions[number];
  print_partition(out, metadata, PartitionId{static_cast<uint32_t>(number)});
  for (const auto& entry : recent_entries) {
    if (entry.epoch == partition.term || entry.epoch == partition.stores_epoch)
      print_entry(out, entry);
  }
  return accepted(out);
}

std::string explain_epoch(const std::string& typed, Epoch epoch, const Metadata& metadata,
                          const std::vector<Entry>& recent_entries) {
  auto entry = std::find_if(recent_entries.begin(), recent_entries.end(),
                            [&](const Entry& candidate) { return candidate.epoch == epoch; });
  if (entry == recent_entries.end()) {
    bool reached = epoch <= metadata.epoch;
    return refused("epoch " + typed + (reached ? " lies behind the checkpoint" : " is not reached yet"));
  }
  std::ostringstream out;
  print_entry(out, *entry);
  return accepted(out);
}

}  // namespace

std::string show(const ShowQuery& query, const Metadata& metadata) {
  using Subject = ShowQuery::Subject;
  std::ostringstream out;
  switch (query.subject) {
    case Subject::fleet:
      print_fleet(out, metadata);
      break;
    case Subject::epoch:
      out << "epoch " << metadata.epoch.value() << " revision " << metadata.revision.value() << " cluster "
          << hex(metadata.cluster) << "\n";
      break;
    case Subject::cells:
      for (const auto& cell : metadata.configuration.cells)
        out << cell.name << "\n";
      break;
    case Subject::replicas:
      print_replicas(out, metadata);
      break;
    case Subject::partitions:
      print_partitions(out, metadata);
      break;
    case Subject::sequences:
      print_sequences(out, metadata);
      break;
    case Subject::configuration:
      out << "revision " << metadata.revision.value() << "\n" << json::write(metadata.configuration).dump(2) << "\n";
      break;
    case Subject::cell: {
      const auto* cell = metadata.configuration.cell(query.name);
      if (!cell)
        return refused("cell " + query.name + " is unknown");
      out << "revision " << metadata.revision.value() << "\n" << json::write(*cell).dump(2) << "\n";
      break;
    }
  }
  return accepted(out);
}

std::string explain(const ExplainQuery& query, const Metadata& metadata, const std::vector<Entry>& recent_entries) {
  using Subject = ExplainQuery::Subject;
  if (query.subject == Subject::program)
    return explain_program(query.name, metadata);
  auto number = parse_number(query.name);
  if (!number)
    return refused("'" + query.name + "' is no number");
  switch (query.subject) {
    case Subject::node:
      return explain_daemon(query.name, DaemonId{*number}, metadata, recent_entries);
    case Subject::partition:
      return explain_partition(query.name, *number, metadata, recent_entries);
    case Subject::epoch:
      return explain_epoch(query.name, Epoch{*number}, metadata, recent_entries);
    case Subject::program:
      break;  // handled above
  }
  return refused("'" + query.name + "' is no number");
}

}  // namespace mosskeel::command_language
