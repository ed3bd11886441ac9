// The number of replicas of each history, given the losses that it must survive.
#include "metadata/constants.hpp"
#include "metadata/metadata.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("A majority of a history's replicas survives the tolerated losses of machines and zones") {
  CHECK(replication_factor_for(0, 0) == kDefaultHistoryReplicas);
  CHECK(replication_factor_for(1, 1) == 3);
  CHECK(replication_factor_for(2, 1) == 5);
  CHECK(replication_factor_for(0, 2) == 5);
}
