#include "metadata/rejection.hpp"

#include <algorithm>

#include "metadata/placement.hpp"

namespace mosskeel {
namespace {

/// Unlike for `apply`, a zone whose daemons have all left is known: it was evacuated before and may be again.
bool is_known_zone(const Metadata& metadata, const std::string& zone) {
  auto in_zone = [&](auto& daemon) {
    return daemon.second.self.zone == zone;
  };
  auto replica_in_zone = [&](auto& replica) {
    return replica.second.zone == zone;
  };
  return std::any_of(metadata.directory.begin(), metadata.directory.end(), in_zone) ||
         std::any_of(metadata.replicas.begin(), metadata.replicas.end(), replica_in_zone);
}

Rejection reason(const Metadata& metadata, const ApplyConfiguration& change) {
  if (change.base == metadata.revision)
    return Rejection::invalid;
  return metadata.forgotten(change.base) ? Rejection::forgotten : Rejection::revision_conflict;
}

Rejection reason(const Metadata& metadata, const EvacuateZone& change) {
  if (metadata.evacuated.count(change.zone))
    return Rejection::already_in_effect;
  // A known zone is rejected only while it has the last gateways in service. Others may come back, so the operator may
  // retry.
  return is_known_zone(metadata, change.zone) ? Rejection::busy : Rejection::unknown_target;
}

Rejection reason(const Metadata& metadata, const RestoreZone& change) {
  return metadata.evacuated.count(change.zone) ? Rejection::refused : Rejection::already_in_effect;
}

Rejection reason(const Metadata& metadata, const PrepareDrain& change) {
  auto* daemon = metadata.find(change.node);
  if (!daemon)
    return Rejection::unknown_target;
  auto sequence = metadata.sequences.find(change.node);
  bool drains = sequence != metadata.sequences.end() && sequence->second.kind == SequenceKind::drain;
  if (drains || daemon->state == DaemonState::left || daemon->state == DaemonState::draining)
    return Rejection::already_in_effect;
  return placement::plan_drain(metadata, *daemon).ok() ? Rejection::busy : Rejection::refused;
}

/// For all other transformations no caller needs a more specific reason.
template <class Change>
Rejection reason(const Metadata&, const Change&) {
  return Rejection::refused;
}

}  // namespace

Rejection rejection_reason(const Metadata& metadata, const Transformation& transformation) {
  return std::visit([&](auto& change) { return reason(metadata, change); }, transformation);
}

}  // namespace mosskeel
