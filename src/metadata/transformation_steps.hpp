#pragma once
// What the transformations share; only src/metadata includes this.
#include "metadata/transformation.hpp"

namespace mosskeel::steps {

using R = Result<Metadata>;

inline Errors no(std::string place, std::string reason) {
  return {{std::move(place), std::move(reason)}};
}
inline std::string who(DaemonId id) {
  return "daemon " + std::to_string(id.value());
}

R go(Metadata m, const FoundCluster& f);
R go(Metadata m, const AddCoreMember& a);
R go(Metadata m, const ReplaceCoreMember& r);
R go(Metadata m, const RefoundCluster& t);
R go(Metadata m, const ApplyConfiguration& t);
R go(Metadata m, const SetReplica& t);
R go(Metadata m, const RemoveReplica& t);
R go(Metadata m, const BeginQuorumChange& t);
R go(Metadata m, const FinishQuorumChange& t);
R go(Metadata m, const UpdateReplicas& t);
R go(Metadata m, const RemoveCoreMember& t);

}  // namespace mosskeel::steps
