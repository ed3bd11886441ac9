#include "metadata/transformation.hpp"

#include "metadata/constants.hpp"
#include "metadata/transformation_steps.hpp"

namespace mosskeel {
namespace {

/// Records the commit, so that a retry finds its outcome. Only the most recent ones are kept.
void remember_commit(Metadata& metadata, const Entry& entry) {
  if (entry.commit_id.empty())
    return;
  auto& commits = metadata.applied_commits;
  commits.push_back({entry.commit_id, entry.epoch});
  if (commits.size() > kRememberedCommits)
    commits.erase(commits.begin());

  auto* change = std::get_if<ApplyConfiguration>(&entry.change);
  if (!change)
    return;
  auto& configurations = metadata.applied_configurations;
  configurations.push_back({change->base, entry.epoch, digest(entry.commit_id)});
  if (configurations.size() > kRememberedConfigurationChanges)
    configurations.erase(configurations.begin());
}

}  // namespace

Result<Metadata> apply(const Metadata& metadata, const Entry& entry) {
  if (entry.epoch != next(metadata.epoch)) {
    auto epochs = std::to_string(entry.epoch.value()) + " does not follow " + std::to_string(metadata.epoch.value());
    return transformations::reject("epoch", epochs);
  }
  auto changed = metadata;
  changed.epoch = entry.epoch;
  remember_commit(changed, entry);
  return std::visit([&](auto& change) { return transformations::transform(std::move(changed), change); }, entry.change);
}

namespace transformations {

Result<Metadata> transform(Metadata metadata, const std::monostate&) {
  return metadata;
}

void set_state(Metadata& metadata, Daemon& daemon, DaemonState state) {
  daemon.state = state;
  daemon.since = metadata.epoch;
}

}  // namespace transformations
}  // namespace mosskeel
