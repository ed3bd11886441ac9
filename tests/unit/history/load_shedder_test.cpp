// What a store rejects while it is short of memory or its disk is behind.
#include "history/load_shedder.hpp"
#include "unit/catch.hpp"

#include "unit/history/store_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

constexpr StoreLoad kMemoryShort{true, false};
constexpr StoreLoad kDiskBehind{false, true};

/// Whether the store rejects the write immediately, without waiting for a sync.
bool is_rejected(StoreMachine& store, const AppendHistory& request) {
  auto actions = store.step(from_owner(request), kStart + 1ms);
  return actions.synced.empty() && actions.now.size() == 1 &&
         !std::get<AppendHistoryReply>(actions.now[0].body).granted;
}

}  // namespace

TEST_CASE("A store that is short of memory rejects new turns and new histories, but takes what ends or deletes one") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 2, 1, 100), kStart);
  auto name = history_name(0);
  HistoryName new_history{"cell", "new"};
  store.set_load(kMemoryShort);

  CHECK(is_rejected(store, append_of(name, kFirstTerm, 1, reservation("next", 1000))));
  CHECK(is_rejected(store, replacement(new_history, kFirstTerm, {outcome("turn", 100)})));
  CHECK_FALSE(is_rejected(store, replacement(name, Epoch{3}, outcomes(1, 100))));
  CHECK_FALSE(is_rejected(store, append_of(name, Epoch{3}, 1, end_of_history())));

  store.step(from_owner(tombstone_request(history_name(1), Epoch{3})), kStart + 2ms);

  CHECK(store.history_count() == 1);
  CHECK(store.shed_messages() == 2);

  store.set_load({});

  CHECK_FALSE(is_rejected(store, append_of(name, Epoch{3}, 2, reservation("next", 1000))));
}

TEST_CASE("A store takes new turns once it has memory again") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 2, 1, 100), kStart);
  auto new_turn = append_of(history_name(0), kFirstTerm, 1, reservation("next", 1000));
  store.set_load(kMemoryShort);
  REQUIRE(is_rejected(store, new_turn));

  store.set_load({});

  CHECK_FALSE(is_rejected(store, new_turn));
}

TEST_CASE("A store that is short of memory takes the outcome of a turn that it admitted before") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 1, 1, 100), kStart);
  store.set_load(kMemoryShort);

  auto actions = store.step(from_owner(append_of(history_name(0), kFirstTerm, 1, outcome("next", 1000))), kStart + 1ms);

  REQUIRE(actions.synced.size() == 1);
  CHECK(std::get<AppendHistoryReply>(actions.synced[0].body).length == 2);
}

TEST_CASE("A store whose disk is behind answers no reads, but takes writes") {
  StoreMachine store(identity_of(2), recovered_store(2, joining_cluster(), 1, 1, 100), kStart);
  auto read = from_owner(read_request(history_name(0), kFirstTerm));
  auto write = from_owner(append_of(history_name(0), kFirstTerm, 1, outcome("next", 1000)));

  store.set_load(kDiskBehind);

  CHECK(store.step(read, kStart + 1ms).synced.empty());
  CHECK(store.step(write, kStart + 2ms).synced.size() == 1);

  store.set_load({});

  CHECK(store.step(read, kStart + 3ms).synced.size() == 1);
}
