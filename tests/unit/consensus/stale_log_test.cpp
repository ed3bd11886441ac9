// A controller that starts again with an old log decides and answers nothing before it holds the newest epoch.
#include <catch2/catch.hpp>

#include "base/codec.hpp"
#include "consensus/controller_machine.hpp"
#include "messages/constants.hpp"
#include "runtime/constants.hpp"

using namespace mosskeel;

namespace {

constexpr Millis start = kProcessClockStart;
constexpr Millis long_enough = 10000;  // ms; several leases

Candidate controller(uint64_t n) {
  auto a = "controller" + std::to_string(n);
  return {Incarnation{n}, Role::controller, "zone", a, "", "http-" + a, a};
}

/// The first of three controllers, started again with a log that lacks what the other two have.
struct Restarted {
  Metadata old{}, newest{};
  std::vector<Entry> lacking;
  std::unique_ptr<ControllerMachine> machine;
  Millis now = start;

  static void commit(Metadata& m, const Entry& e) {
    auto r = apply(m, e);
    REQUIRE(r.ok());
    m = r.value();
  }
  Restarted() {
    commit(old, {Epoch{1}, "", FoundCluster{7, 3, {controller(1), controller(2), controller(3)}}});
    newest = old;
    for (uint64_t n = 11; n <= 13; ++n) {
      Candidate store{Incarnation{n}, Role::store, "zone", "store" + std::to_string(n), "", "", ""};
      lacking.push_back({next(newest.epoch), "", Register{store}});
      commit(newest, lacking.back());
    }
    ControllerCheckpoint c{};
    c.metadata = old;
    machine = std::make_unique<ControllerMachine>(Identity{controller(1), {}},
                                                  Recovered{Incarnation{1}, codec::pack(c), {}}, start);
  }
  Actions from(uint64_t n, Epoch epoch, Message body) {
    Envelope e{
        kProtocolRevision, 7, epoch, 1, "controller" + std::to_string(n), Incarnation{n}, "controller1", Incarnation{1},
        std::move(body)};
    return machine->step(e, now);
  }
  /// Lets time pass; the others grant each lease asked for, stamped with `epoch`, and say nothing else.
  bool supervises_with_grants_at(Epoch epoch) {
    for (auto end = now + long_enough; now < end; now += kTickInterval) {
      auto a = machine->tick(now);
      for (auto& e : a.now)
        if (auto* r = std::get_if<LeaseRequest>(&e.body)) {
          auto by = e.to_inc.value();
          from(by, by == 1 ? machine->view()->epoch : epoch, LeaseGrant{r->request_id, true, {}});
        }
      if (machine->is_supervisor(now))
        return true;
    }
    return false;
  }
};

template <class T>
const T* sent(const std::vector<Envelope>& v) {
  for (auto& e : v)
    if (auto* x = std::get_if<T>(&e.body))
      return x;
  return nullptr;
}

}  // namespace

TEST_CASE("a controller with an old log supervises nothing, whoever grants it the lease, until it has caught up") {
  Restarted r;
  CHECK_FALSE(r.supervises_with_grants_at(r.newest.epoch));
  r.from(2, r.newest.epoch, CatchupReply{r.newest.epoch, std::nullopt, r.lacking});
  REQUIRE(r.machine->view()->epoch == r.newest.epoch);
  CHECK(r.supervises_with_grants_at(r.newest.epoch));
}

TEST_CASE("a controller with an old log refuses no change by it: it reads from a majority first") {
  Restarted r;
  // By the old log that daemon is unknown, by the newest one it is there.
  DaemonId store{4};
  REQUIRE(r.newest.find(store) != nullptr);
  auto a = r.from(2, r.old.epoch, Commit{"change", MarkDown{store}, {}});
  CHECK(sent<CommitReply>(a.synced) == nullptr);
  auto* read = sent<QuorumRead>(a.now);
  REQUIRE(read != nullptr);
  auto id = read->id;
  r.from(1, r.old.epoch, QuorumReadReply{id, r.old.epoch, false});
  a = r.from(2, r.newest.epoch, QuorumReadReply{id, r.newest.epoch, false});
  CHECK(sent<CommitReply>(a.synced) == nullptr);
  a = r.from(2, r.newest.epoch, CatchupReply{r.newest.epoch, std::nullopt, r.lacking});
  CHECK(sent<CommitReply>(a.synced) == nullptr);
  auto* prepare = sent<Prepare>(a.now);
  REQUIRE(prepare != nullptr);
  CHECK(prepare->epoch == next(r.newest.epoch));
}

TEST_CASE("what a controller with an old log answers to a laggard takes nobody back") {
  Restarted r;
  auto a = r.from(2, r.newest.epoch, Catchup{r.newest.epoch});
  auto* reply = sent<CatchupReply>(a.now);
  REQUIRE(reply != nullptr);
  CHECK_FALSE(reply->checkpoint);
  CHECK(reply->entries.empty());
  MetadataLog ledger;
  REQUIRE(ledger.install_snapshot(r.newest));
  CHECK_FALSE(ledger.install_snapshot(r.old));
  CHECK(ledger.add(r.lacking.front()).empty());
  CHECK(*ledger.view() == r.newest);
}

TEST_CASE("a value of a generation that is over is not taken, and a later one is") {
  Restarted r;
  auto over = r.newest;
  over.cluster = 6;
  over.epoch = Epoch{100};
  r.from(2, r.old.epoch, CatchupReply{over.epoch, over, {}});
  CHECK(r.machine->view()->cluster == 7);
  CHECK(r.machine->view()->epoch == r.old.epoch);
}

TEST_CASE("a jump that died before it was synced leaves the old value, after that the new one, never a mixture") {
  Restarted r;
  auto a = r.from(2, r.newest.epoch, CatchupReply{r.newest.epoch, r.newest, {}});
  REQUIRE_FALSE(a.journal.empty());
  ControllerCheckpoint c{};
  c.metadata = r.old;
  c.open = next(r.old.epoch);
  c.promised = {9, 9};
  c.accepted = AcceptedProposal{{9, 9}, {next(r.old.epoch), "open", Register{controller(4)}}};
  auto starts_with = [&](std::vector<std::string> journal) {
    return ControllerMachine(Identity{controller(1), {}}, Recovered{Incarnation{1}, codec::pack(c), std::move(journal)},
                             start);
  };
  auto before = starts_with({});
  auto after = starts_with(a.journal);
  CHECK(*before.view() == r.old);
  CHECK(*after.view() == r.newest);
  // The instance that was open at the old epoch is over with the jump: its promise and acceptance count no more.
  auto kept = codec::unpack<ControllerCheckpoint>(after.checkpoint());
  REQUIRE(kept);
  CHECK(kept->open == next(r.newest.epoch));
  CHECK_FALSE(kept->accepted);
  CHECK(kept->promised == Ballot{});
}
