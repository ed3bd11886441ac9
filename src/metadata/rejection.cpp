#include "metadata/rejection.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

Rejection why(const Metadata& m, const ApplyConfiguration& t) {
  if (t.base == m.revision)
    return Rejection::invalid;
  return m.forgotten(t.base) ? Rejection::forgotten : Rejection::revision_conflict;
}

bool known_zone(const Metadata& m, const std::string& zone) {
  return std::any_of(m.directory.begin(), m.directory.end(), [&](auto& d) { return d.second.self.zone == zone; }) ||
         std::any_of(m.replicas.begin(), m.replicas.end(), [&](auto& r) { return r.second.zone == zone; });
}

Rejection why(const Metadata& m, const EvacuateZone& t) {
  if (m.evacuated.count(t.zone))
    return Rejection::already_in_effect;
  return known_zone(m, t.zone) ? Rejection::refused : Rejection::unknown_target;
}

Rejection why(const Metadata& m, const RestoreZone& t) {
  return m.evacuated.count(t.zone) ? Rejection::refused : Rejection::already_in_effect;
}

Rejection why(const Metadata& m, const PrepareDrain& t) {
  auto* d = m.find(t.node);
  if (!d)
    return Rejection::unknown_target;
  auto q = m.sequences.find(t.node);
  bool drains = q != m.sequences.end() && q->second.kind == SequenceKind::drain;
  if (d->state == DaemonState::left || d->state == DaemonState::draining || drains)
    return Rejection::already_in_effect;
  return placement::plan_drain(m, *d).ok() ? Rejection::busy : Rejection::refused;
}

template <class T>
Rejection why(const Metadata&, const T&) {
  return Rejection::refused;
}

}  // namespace

Rejection rejection_reason(const Metadata& m, const Transformation& t) {
  return std::visit([&](auto& x) { return why(m, x); }, t);
}

}  // namespace mosskeel
