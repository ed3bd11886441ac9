// The supervisor lease in isolation: a member's grants, and how long the holder considers it valid.
#include "consensus/supervisor_lease.hpp"
#include "unit/catch.hpp"
#include "unit/consensus/controllers_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

constexpr TimePoint kStart{1000ms};

/// The lease state of controller 1 in a core of three.
struct LeaseOfMember {
  Outbox outbox{Identity{controller(1), {}}};
  MetadataLog metadata_log;
  FailureDetector detector{kStart};
  SupervisorLease lease{outbox, metadata_log, detector, kStart};

  LeaseOfMember() {
    FoundCluster founding{7, 3, three_controllers(), 3, 0};
    REQUIRE(metadata_log.add({Epoch{1}, "found", founding}).size() == 1);
  }

  Envelope from(uint64_t member) {
    Envelope envelope{};
    envelope.from = "controller" + std::to_string(member);
    envelope.from_incarnation = Incarnation{member};
    envelope.epoch = metadata_log.epoch();
    return envelope;
  }

  /// Whether this member grants the lease to another controller.
  bool grants(uint64_t requester, TimePoint now) {
    lease.handle(from(requester), LeaseRequest{1}, now);
    Actions actions = outbox.take();
    REQUIRE(actions.now.size() == 1);
    return std::get<LeaseGrant>(actions.now.front().body).granted;
  }

  /// Requests the lease from all members; returns the request's id.
  uint64_t request(TimePoint now) {
    lease.tick(now);
    Actions actions = outbox.take();
    REQUIRE(actions.now.size() == 3);
    return std::get<LeaseRequest>(actions.now.front().body).request_id;
  }

  void receive_grant(uint64_t member, uint64_t request_id, TimePoint now) {
    lease.handle(from(member), LeaseGrant{request_id, true, {}}, now);
  }
};

}  // namespace

TEST_CASE("SupervisorLease is granted to one controller at a time, and to none right after a start") {
  LeaseOfMember member;

  CHECK_FALSE(member.grants(2, kStart + kSupervisorLeaseDuration - 1ms));

  TimePoint granted_at = kStart + kSupervisorLeaseDuration;
  CHECK(member.grants(2, granted_at));

  CHECK_FALSE(member.grants(3, granted_at + kSupervisorLeaseDuration - 1ms));
  CHECK(member.grants(2, granted_at + kSupervisorLeaseDuration - 1ms));
  CHECK(member.grants(3, granted_at + 2 * kSupervisorLeaseDuration));
}

TEST_CASE("SupervisorLease is granted to another controller at once when its holder shuts down") {
  LeaseOfMember member;
  TimePoint granted_at = kStart + kSupervisorLeaseDuration;
  REQUIRE(member.grants(2, granted_at));

  member.lease.on_shutdown_of(Incarnation{2}, granted_at + 1ms);

  CHECK(member.grants(3, granted_at + 1ms));
}

TEST_CASE("SupervisorLease is held from a majority's grants until the safety margin before its end") {
  LeaseOfMember holder;
  TimePoint requested_at = kStart + kSupervisorLeaseDuration;
  uint64_t request_id = holder.request(requested_at);

  holder.receive_grant(1, request_id, requested_at + 10ms);
  CHECK_FALSE(holder.lease.is_held(requested_at + 10ms));

  holder.receive_grant(2, request_id, requested_at + 20ms);

  TimePoint end = requested_at + kSupervisorLeaseDuration - kSupervisorLeaseMargin;
  CHECK(holder.lease.is_held(requested_at + 20ms));
  CHECK(holder.lease.is_held(end - 1ms));
  CHECK_FALSE(holder.lease.is_held(end));
}

TEST_CASE("SupervisorLease counts neither grants of an earlier request nor a second grant of the same member") {
  LeaseOfMember holder;
  TimePoint requested_at = kStart + kSupervisorLeaseDuration;
  uint64_t first_request = holder.request(requested_at);
  holder.receive_grant(1, first_request, requested_at + 10ms);
  uint64_t second_request = holder.request(requested_at + kSupervisorLeaseRenewInterval);
  TimePoint now = requested_at + kSupervisorLeaseRenewInterval + 10ms;

  holder.receive_grant(2, first_request, now);
  holder.receive_grant(3, second_request, now);
  holder.receive_grant(3, second_request, now);

  CHECK_FALSE(holder.lease.is_held(now));
}

TEST_CASE("SupervisorLease that was resigned is not requested again") {
  LeaseOfMember holder;
  TimePoint requested_at = kStart + kSupervisorLeaseDuration;
  uint64_t request_id = holder.request(requested_at);
  holder.receive_grant(1, request_id, requested_at + 10ms);
  holder.receive_grant(2, request_id, requested_at + 10ms);
  REQUIRE(holder.lease.is_held(requested_at + 10ms));

  holder.lease.resign();

  CHECK_FALSE(holder.lease.is_held(requested_at + 10ms));

  holder.lease.tick(requested_at + kSupervisorLeaseRenewInterval);
  CHECK(holder.outbox.take().now.empty());
}
