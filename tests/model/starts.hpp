#pragma once
// States from which a bounded search reaches what matters.
#include "model/cluster.hpp"

namespace mosskeel::model {

/// Three empty controllers and a newcomer, shortly before somebody may found a cluster.
Cluster before_founding(Options options = {});
/// Three members and a newcomer with two orders on one base sent to two of them.
Cluster after_founding(Options options = {});
/// One member has voted for the first order, then its proposer started again; the second order has come.
Cluster open_proposal(Options options = {});
/// One member has lost its disk and the supervisor is about to put another in its place.
Cluster member_replaced(Options options = {});
/// Two of three members have lost their disks, and the third is about to found the core anew.
Cluster before_refounding(Options options = {});

struct Start {
  const char* name;
  Cluster (*make)(Options);
};
const std::vector<Start>& starts();

/// Lets the cluster go on without trouble until the condition holds; false if it does not within so many actions.
bool settle(Cluster& cluster, int actions, const std::function<bool(const Cluster&)>& done);

}  // namespace mosskeel::model
