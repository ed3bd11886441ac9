#pragma once
// What the transformations share; only src/metadata includes this.
#include "kernel/limits.hpp"
#include "metadata/transform.hpp"

namespace mosskeel::steps {

using R = Result<Metadata>;

inline Findings no(std::string place, std::string reason) {
  return {{std::move(place), std::move(reason)}};
}
inline std::string who(DaemonId id) {
  return "daemon " + std::to_string(id.v);
}

R go(Metadata m, const Found& f);
R go(Metadata m, const AdmitCore& a);
R go(Metadata m, const ReplaceCore& r);
R go(Metadata m, const Refound& t);
R go(Metadata m, const ApplyConfiguration& t);
R go(Metadata m, const SetReplica& t);
R go(Metadata m, const DropReplica& t);
R go(Metadata m, const Recount& t);
R go(Metadata m, const Recounted& t);
R go(Metadata m, const ListReplicas& t);
R go(Metadata m, const DropCore& t);

}  // namespace mosskeel::steps
