// A store's histories: what it journals, how it copies partitions in pages, and the memory that this takes.
#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>

#include "history/constants.hpp"
#include "history/store_machine.hpp"
#include "messages/constants.hpp"
#include "metadata/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/inbox.hpp"

using namespace mosskeel;

namespace {

constexpr Millis start = kProcessClockStart;
constexpr uint64_t cluster = 7;
const Incarnation owner{100};
const Epoch now_epoch{50};

Incarnation store_inc(uint64_t i) {
  return Incarnation{i};
}

Daemon daemon(uint64_t id, Incarnation incarnation, Role role) {
  auto name = std::to_string(incarnation.value());
  return {DaemonId{id}, {incarnation, role, "zone" + name, "daemon" + name, "", "", ""}, DaemonState::up, Epoch{1}};
}

/// Store 1 is about to hold every partition, which lie on stores 2 to 4.
Metadata joining() {
  Metadata m;
  m.epoch = now_epoch;
  m.cluster = cluster;
  for (uint64_t i = 1; i <= 4; ++i)
    m.directory[DaemonId{i}] = daemon(i, store_inc(i), Role::store);
  m.directory[DaemonId{9}] = daemon(9, owner, Role::front);
  std::vector<DaemonId> old{DaemonId{2}, DaemonId{3}, DaemonId{4}}, fresh{DaemonId{1}, DaemonId{3}, DaemonId{4}};
  for (uint32_t i = 0; i < kPartitionCount; ++i)
    m.partitions.push_back({DaemonId{9}, Epoch{2}, old, fresh, Epoch{40}});
  return m;
}

Identity identity(uint64_t i) {
  Identity id;
  id.self = daemon(i, store_inc(i), Role::store).self;
  return id;
}

Record settled(const std::string& key, size_t bytes) {
  Record r{};
  r.kind = RecordKind::outcome;
  r.key = key;
  r.output = std::string(bytes, 'x');
  return r;
}

HistoryName history(size_t n) {
  return {"cell", "program" + std::to_string(n)};
}

PartitionId partition(const HistoryName& n) {
  return partition_of(n.cell, n.program);
}

AppendHistory adoption(const HistoryName& n, Epoch term, Records records) {
  return {n, partition(n), term, true, 0, std::move(records)};
}

Envelope from(Incarnation incarnation, const std::string& address, Message m) {
  return {kProtocolRevision, cluster, now_epoch, 1, address, incarnation, "store", {}, std::move(m)};
}

/// A store with histories of `turns` turns, each `bytes` long, recovered from its journal.
Recovered journal_of(uint64_t store, const Metadata& m, size_t histories, size_t turns, size_t bytes) {
  Recovered r{store_inc(store), {}, {codec::pack(StoreRecord{m})}};
  for (size_t i = 0; i < histories; ++i) {
    Records v;
    for (size_t k = 0; k < turns; ++k)
      v.push_back(settled("turn" + std::to_string(k), bytes));
    r.journal.push_back(codec::pack(StoreRecord{adoption(history(i), Epoch{2}, std::move(v))}));
  }
  return r;
}

size_t journaled(const Actions& a) {
  size_t n = 0;
  for (auto& s : a.journal)
    n += s.size();
  return n;
}

/// Carries asks and pages between a store and its sources until nothing is under way.
struct Copying {
  std::map<Address, std::unique_ptr<StoreMachine>> sources;
  std::unique_ptr<StoreMachine> store;
  size_t pages = 0, journal = 0, most_under_way = 0;
  std::map<Address, size_t> largest_ask;

  std::vector<Envelope> asks(const Actions& a) {
    std::vector<Envelope> v;
    std::map<Address, size_t> by_source;
    journal += journaled(a);
    for (auto* list : {&a.now, &a.synced})
      for (auto& e : *list)
        if (std::holds_alternative<StreamPartition>(e.body))
          v.push_back(e), ++by_source[e.to];
    for (auto& [source, n] : by_source)
      largest_ask[source] = std::max(largest_ask[source], n);
    return v;
  }

  void run(Millis now, const std::set<Address>& silent = {}) {
    auto queue = asks(store->tick(now));
    while (!queue.empty()) {
      most_under_way = std::max(most_under_way, store->streams().under_way(now));
      std::vector<Envelope> next;
      for (auto& ask : queue) {
        if (silent.count(ask.to))
          continue;
        for (auto& reply : sources.at(ask.to)->step(ask, now).now) {
          ++pages;
          auto more = asks(store->step(reply, now));
          next.insert(next.end(), more.begin(), more.end());
        }
      }
      queue = next;
    }
  }
};

Copying copying(size_t histories, size_t turns, size_t bytes) {
  Copying c;
  for (uint64_t i = 2; i <= 4; ++i)
    c.sources["daemon" + std::to_string(i)] =
        std::make_unique<StoreMachine>(identity(i), journal_of(i, joining(), histories, turns, bytes), start);
  c.store = std::make_unique<StoreMachine>(identity(1), journal_of(1, joining(), 0, 0, 0), start);
  return c;
}

/// A number of kilobytes from this process's status, as "VmHWM".
size_t status_kilobytes(const std::string& key) {
  std::ifstream f("/proc/self/status");
  for (std::string line; std::getline(f, line);)
    if (line.starts_with(key + ":"))
      return std::stoul(line.substr(key.size() + 1));
  return 0;
}

struct Usage {
  size_t state_kb, peak_kb, recovery_ms, checkpoint_ms;
};

/// Runs `f` in a child, so that its peak of memory is its own.
Usage in_child(const std::function<Usage()>& f) {
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  auto pid = ::fork();
  if (pid == 0) {
    auto u = f();
    auto n = ::write(ends[1], &u, sizeof u);
    ::_exit(n == sizeof u ? 0 : 1);
  }
  Usage u{};
  auto n = ::read(ends[0], &u, sizeof u);
  int status = 0;
  ::waitpid(pid, &status, 0);
  ::close(ends[0]), ::close(ends[1]);
  REQUIRE(n == sizeof u);
  REQUIRE(status == 0);
  return u;
}

size_t milliseconds(const std::function<void()>& f) {
  auto from = std::chrono::steady_clock::now();
  f();
  return static_cast<size_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - from).count());
}

/// What it takes to start from a checkpoint of these histories and a journal, and to write the next checkpoint.
Usage start_and_checkpoint(size_t histories, size_t turns, size_t bytes) {
  std::string checkpoint =
      StoreMachine(identity(1), journal_of(1, joining(), histories, turns, bytes), start).checkpoint();
  checkpoint.shrink_to_fit();
  malloc_trim(0);
  std::ofstream("/proc/self/clear_refs") << "5";
  auto before = status_kilobytes("VmRSS") - checkpoint.size() / 1024;
  Recovered r{store_inc(1), std::move(checkpoint), {}};
  std::unique_ptr<StoreMachine> m;
  Usage u{};
  u.recovery_ms = milliseconds([&] { m = std::make_unique<StoreMachine>(identity(1), std::move(r), start); });
  size_t size = 0;
  u.checkpoint_ms = milliseconds([&] { size = m->checkpoint().size(); });
  u.state_kb = size / 1024;
  u.peak_kb = status_kilobytes("VmHWM") - before;
  return u;
}

}  // namespace

TEST_CASE("a store that takes over partitions copies them in few pages at a time") {
  auto c = copying(400, 4, 4000);
  c.run(start + kTickInterval);
  CHECK(c.store->streams().complete() == Epoch{40});
  CHECK(c.store->history_count() == 400);
  CHECK(c.most_under_way <= 3);
  for (auto& [source, n] : c.largest_ask)
    CHECK(n == 1);
}

TEST_CASE("what two stores both sent is journaled once") {
  auto c = copying(200, 2, 4000);
  c.run(start + kTickInterval);
  CHECK(c.journal > 200 * 2 * 4000);
  CHECK(c.journal < 200 * 2 * 4000 * 5 / 4);
}

TEST_CASE("a page that is under way is not asked for again until it is given up") {
  auto c = copying(50, 2, 1000);
  auto first = c.asks(c.store->tick(start + kTickInterval));
  CHECK(first.size() == 3);
  for (Millis t = 2 * kTickInterval; t < kTransferPageTimeout; t += kTickInterval)
    CHECK(c.asks(c.store->tick(start + t)).empty());
  CHECK(c.asks(c.store->tick(start + kTickInterval + kTransferPageTimeout)).size() == 3);
}

TEST_CASE("partitions are copied though one of their stores is silent") {
  auto c = copying(100, 2, 4000);
  for (Millis t = kTickInterval; t < 4 * kTransferPageTimeout; t += kTickInterval)
    c.run(start + t, {"daemon3"});
  CHECK(c.store->streams().complete() == Epoch{40});
  CHECK(c.store->history_count() == 100);
}

TEST_CASE("an adoption of what a store holds costs a line of its journal, and holds after a start") {
  auto m = joining();
  auto r = journal_of(2, m, 1, 10, 10000);
  StoreMachine store(identity(2), r, start);
  Records v;
  for (size_t k = 0; k < 10; ++k)
    v.push_back(settled("turn" + std::to_string(k), 10000));
  auto a = store.step(from(owner, "front", adoption(history(0), Epoch{3}, v)), start + 1);
  REQUIRE(a.synced.size() == 1);
  CHECK(std::get<AppendHistoryReply>(a.synced[0].body).granted);
  CHECK(journaled(a) < 200);
  CHECK(journaled(a) > 0);
  auto again = store.step(from(owner, "front", adoption(history(0), Epoch{3}, v)), start + 2);
  CHECK(again.journal.empty());
  r.journal.insert(r.journal.end(), a.journal.begin(), a.journal.end());
  StoreMachine restarted(identity(2), r, start);
  auto& kept = restarted.partitions().at(partition(history(0)));
  CHECK(kept.fence == Epoch{3});
  CHECK(kept.histories.at(history(0)).term == Epoch{3});
  CHECK(kept.histories.at(history(0)).records == v);
}

TEST_CASE("a write that is sent again is answered, and journaled once") {
  StoreMachine store(identity(2), journal_of(2, joining(), 1, 1, 100), start);
  AppendHistory w{history(0), partition(history(0)), Epoch{2}, false, 1, {settled("next", 10000)}};
  auto a = store.step(from(owner, "front", w), start + 1);
  CHECK(journaled(a) > 10000);
  auto again = store.step(from(owner, "front", w), start + 2);
  REQUIRE(again.synced.size() == 1);
  CHECK(std::get<AppendHistoryReply>(again.synced[0].body).length == 2);
  CHECK(again.journal.empty());
}

TEST_CASE("a start counts the journal that it read, so that restarts do not let it grow") {
  auto r = journal_of(2, joining(), 20, 1, kMinCheckpointJournalBytes / 10);
  StoreMachine store(identity(2), r, start);
  CHECK(store.tick(start + kTickInterval).checkpoint);
  CHECK_FALSE(store.tick(start + 2 * kTickInterval).checkpoint);
}

TEST_CASE("a checkpoint read partition by partition gives the same histories") {
  StoreMachine store(identity(2), journal_of(2, joining(), 300, 3, 500), start);
  auto whole = codec::unpack<StoreCheckpoint>(store.checkpoint());
  REQUIRE(whole);
  StoreMachine restarted(identity(2), Recovered{store_inc(2), store.checkpoint(), {}}, start);
  CHECK(codec::pack(restarted.partitions()) == codec::pack(whole->partitions));
  CHECK(restarted.view()->epoch == now_epoch);
  auto torn = store.checkpoint();
  torn.pop_back();
  CHECK(StoreMachine(identity(2), Recovered{store_inc(2), torn, {}}, start).history_count() == 0);
}

TEST_CASE("a store drops the histories of partitions whose places went elsewhere, for good and not at once") {
  auto r = journal_of(2, joining(), 100, 1, 1000);
  auto m = joining();
  m.epoch = Epoch{now_epoch.value() + 1};
  for (auto& s : m.partitions)
    s.stores = std::exchange(s.pending_stores, {}), s.term = Epoch{3};
  StoreMachine store(identity(2), r, start);
  auto learned = store.step(from(owner, "front", CatchupReply{m.epoch, m, {}}), start + 1);
  CHECK(store.tick(start + kTickInterval).journal.empty());
  CHECK(store.tick(start + kMovedPartitionKeepTime / 2).journal.empty());
  CHECK(store.history_count() == 100);
  auto a = store.tick(start + kMovedPartitionKeepTime + kMovedPartitionScanInterval);
  CHECK(store.history_count() == 0);
  CHECK(journaled(a) < 64 * 100);
  r.journal.insert(r.journal.end(), learned.journal.begin(), learned.journal.end());
  r.journal.insert(r.journal.end(), a.journal.begin(), a.journal.end());
  CHECK(StoreMachine(identity(2), r, start).history_count() == 0);
}

TEST_CASE("a store keeps the histories of partitions that are on their way elsewhere") {
  StoreMachine store(identity(2), journal_of(2, joining(), 100, 1, 1000), start);
  for (Millis t = 0; t < 3 * kMovedPartitionKeepTime; t += kMovedPartitionScanInterval)
    store.tick(start + t);
  CHECK(store.history_count() == 100);
}

TEST_CASE("a store that is short of memory refuses new turns and takes ends, and takes both again later") {
  StoreMachine store(identity(2), journal_of(2, joining(), 2, 1, 100), start);
  store.set_load({true, false});
  auto append = [](Record r, uint64_t at) {
    return AppendHistory{history(0), partition(history(0)), Epoch{2}, false, at, {std::move(r)}};
  };
  Record turn{};
  turn.kind = RecordKind::reservation;
  turn.key = "next", turn.input = std::string(1000, 'x');
  auto refused = [&](const AppendHistory& w) {
    auto a = store.step(from(owner, "front", w), start + 1);
    return a.synced.empty() && a.now.size() == 1 && !std::get<AppendHistoryReply>(a.now[0].body).granted;
  };
  CHECK(refused(append(turn, 1)));
  CHECK(refused(adoption(HistoryName{"cell", "new"}, Epoch{2}, {settled("turn", 100)})));
  Record end{};
  end.kind = RecordKind::ended;
  CHECK_FALSE(refused(adoption(history(0), Epoch{3}, {settled("turn0", 100)})));
  CHECK_FALSE(refused(AppendHistory{history(0), partition(history(0)), Epoch{3}, false, 1, {end}}));
  store.step(from(owner, "front", WriteTombstone{history(1), partition(history(1)), Epoch{3}}), start + 2);
  CHECK(store.history_count() == 1);
  CHECK(store.refused() == 2);
  store.set_load({});
  CHECK_FALSE(refused(AppendHistory{history(0), partition(history(0)), Epoch{3}, false, 2, {turn}}));
}

TEST_CASE("a store that is short of memory takes the outcome of a turn that it took before") {
  StoreMachine store(identity(2), journal_of(2, joining(), 1, 1, 100), start);
  store.set_load({true, false});
  AppendHistory w{history(0), partition(history(0)), Epoch{2}, false, 1, {settled("next", 1000)}};
  auto a = store.step(from(owner, "front", w), start + 1);
  REQUIRE(a.synced.size() == 1);
  CHECK(std::get<AppendHistoryReply>(a.synced[0].body).length == 2);
}

TEST_CASE("a store whose disk is behind sends no histories, but takes writes") {
  StoreMachine store(identity(2), journal_of(2, joining(), 1, 1, 100), start);
  ReadHistory r{history(0), partition(history(0)), Epoch{2}};
  store.set_load({false, true});
  CHECK(store.step(from(owner, "front", r), start + 1).synced.empty());
  AppendHistory w{history(0), partition(history(0)), Epoch{2}, false, 1, {settled("next", 1000)}};
  CHECK(store.step(from(owner, "front", w), start + 2).synced.size() == 1);
  store.set_load({});
  CHECK(store.step(from(owner, "front", r), start + 3).synced.size() == 1);
}

TEST_CASE("an inbox drops large messages beyond its bound, and takes them when there is room") {
  Inbox inbox(10000);
  auto e = from(owner, "front", Discover{});
  CHECK(inbox.hear(e, 6000));
  CHECK_FALSE(inbox.hear(e, 6000));
  CHECK(inbox.hear(e, Inbox::kSmallMessageBytes));
  CHECK(inbox.refused() == 1);
  auto items = inbox.take(0);
  REQUIRE(items.size() == 2);
  CHECK(inbox.bytes() == 6000 + Inbox::kSmallMessageBytes);
  for (auto& x : items)
    inbox.done(x);
  CHECK(inbox.bytes() == 0);
  CHECK(inbox.hear(e, 6000));
}

#ifndef __SANITIZE_ADDRESS__
TEST_CASE("a start and a checkpoint take no more than three and a half times the histories") {
  auto u = in_child([] { return start_and_checkpoint(2000, 2, 2000); });
  INFO("state " << u.state_kb << " KB, peak " << u.peak_kb << " KB");
  CHECK(u.state_kb > 7000);
  CHECK(u.peak_kb < u.state_kb * 7 / 2);
}
#endif

TEST_CASE("measured: memory and pauses of a store by the size of its histories", "[.measure]") {
  for (size_t factor : {1, 4, 16}) {
    auto u = in_child([&] { return start_and_checkpoint(1000 * factor, 2, 2000); });
    WARN("histories " << u.state_kb << " KB: peak " << u.peak_kb << " KB, start " << u.recovery_ms
                      << " ms, checkpoint (the longest pause) " << u.checkpoint_ms << " ms");
  }
}
