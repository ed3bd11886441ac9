#include "storage/constants.hpp"
#include "storage/journal_writer.hpp"
#include "unit/storage/disk_fixture.hpp"

using namespace mosskeel;

namespace {

Batch batch(std::vector<std::string> journal, uint64_t send = 0, std::optional<std::string> checkpoint = {}) {
  Batch b{std::move(journal), std::move(checkpoint), {}};
  if (send) {
    Envelope e{};
    e.id = send;
    b.sends.push_back(std::move(e));
  }
  return b;
}

std::vector<uint64_t> sent(const JournalWriter::Written& w) {
  std::vector<uint64_t> v;
  for (auto& e : w.sends)
    v.push_back(e.id);
  return v;
}

std::vector<Event> said(const JournalWriter::Written& w) {
  std::vector<Event> v;
  for (auto& n : w.notes)
    v.push_back(n.event);
  return v;
}

using Ids = std::vector<uint64_t>;
using Events = std::vector<Event>;
using Journal = std::vector<std::string>;
constexpr DiskResult full{DiskResult::full}, failed{DiskResult::failed}, done{};

}  // namespace

TEST_CASE("a short write is cut back to whole records, and what has room is written behind them") {
  Folder f;
  SmallDisk s{f};
  {
    auto d = f.open(s.calls());
    REQUIRE(d->append({"one"}));
    REQUIRE(d->sync());
    auto before = s.used();
    for (size_t room : {0, 1, 11, 12, 500}) {
      s.size = before + room;
      CHECK(d->append({std::string(1000, 'x')}) == full);
      CHECK(s.used() == before);
    }
    s.size = before + 200;
    REQUIRE(d->append({"two"}));
    REQUIRE(d->sync());
  }
  s.size = s.used();
  auto d = f.open(s.calls());
  CHECK(d->truncated_bytes() == 0);
  CHECK(d->recovered().journal == Journal{"one", "two"});
  CHECK(d->append({"three"}) == full);
}

TEST_CASE("a sync without room takes back what it should have synced; a broken disk stops the daemon") {
  Folder f;
  SmallDisk s{f};
  auto d = f.open(s.calls());
  JournalWriter w(*d);
  REQUIRE(w.write({batch({"one"}, 1)}).result == done);
  s.sync_error = ENOSPC;
  CHECK(w.write({batch({"two"}, 2), batch({"three"}, 3)}).result == full);
  s.sync_error = 0;
  CHECK(sent(w.write({batch({"four"}, 4)})) == Ids{4});
  s.write_error = EIO;
  auto r = w.write({batch({"five"}, 5)});
  CHECK(r.result == failed);
  CHECK(sent(r).empty());
  d.reset();
  s.write_error = 0;
  CHECK(f.open()->recovered().journal == Journal{"one", "two", "three", "four"});
}

TEST_CASE("while the disk is full nothing is answered; with room all is written in order") {
  Folder f;
  SmallDisk s{f};
  auto d = f.open(s.calls());
  JournalWriter w(*d);
  CHECK(sent(w.write({batch({"one"}, 1)})) == Ids{1});
  s.size = s.used();
  auto r = w.write({batch({"two"}, 2), batch({}, 3)});
  CHECK(r.result == full);
  CHECK(sent(r).empty());
  CHECK(said(r) == Events{Event::disk_full});
  r = w.write({batch({}, 4)});
  CHECK(sent(r).empty());
  CHECK(said(r).empty());
  CHECK(sent(w.write({batch({"three", "four"}, 5)})).empty());
  CHECK(w.full());
  CHECK(w.pending_bytes() == 12);
  s.size += 1000;
  r = w.write({batch({"five"}, 6)});
  CHECK(r.result == done);
  CHECK(sent(r) == Ids{6});
  CHECK(said(r) == Events{Event::disk_room});
  CHECK_FALSE(w.full());
  CHECK(w.pending_bytes() == 0);
  d.reset();
  CHECK(f.open()->recovered().journal == Journal{"one", "two", "three", "four", "five"});
}

TEST_CASE("what fits is on disk though not all fits, and too much held back stops the daemon") {
  Folder f;
  SmallDisk s{f};
  auto d = f.open(s.calls());
  JournalWriter w(*d, 3000);
  REQUIRE(w.write({batch({"one"})}).result == done);
  s.size = s.used() + 200;
  CHECK(w.write({batch({"two"}), batch({std::string(2500, 'x')})}).result == full);
  CHECK(w.pending_bytes() == 2500);
  auto r = w.write({batch({std::string(600, 'x')}, 1)});
  CHECK(r.result == failed);
  CHECK(sent(r).empty());
  d.reset();
  CHECK(f.open()->recovered().journal == Journal{"one", "two"});
}

TEST_CASE("a full disk is cleared by a checkpoint that has room in the reserve") {
  Folder f;
  SmallDisk s{f};
  auto d = f.open(s.calls());
  JournalWriter w(*d);
  CHECK_FALSE(w.wants_checkpoint(TimePoint{1ms}));
  for (int i = 0; i < 8; ++i)
    REQUIRE(w.write({batch({std::string(100000, 'x')})}).result == done);
  s.size = s.used();
  REQUIRE(w.write({batch({"held"}, 1)}).result == full);
  CHECK(w.wants_checkpoint(TimePoint{1ms}));
  CHECK_FALSE(w.wants_checkpoint(TimePoint{kFullDiskCheckpointInterval}));
  auto r = w.write({batch({}, 0, std::string(900000, 'y'))});
  CHECK(r.result == full);
  CHECK(w.unwritten_checkpoints() == 1);
  r = w.write({batch({}, 0, std::string(300000, 'y')), batch({"later"}, 2)});
  CHECK(r.result == done);
  CHECK(sent(r) == Ids{2});
  CHECK(said(r) == Events{Event::checkpointed, Event::disk_room});
  CHECK_FALSE(w.wants_checkpoint(TimePoint{kFullDiskCheckpointInterval * 3}));
  d.reset();
  d = f.open(s.calls());
  CHECK(d->recovered().checkpoint == std::string(300000, 'y'));
  CHECK(d->recovered().journal == Journal{"later"});
}

TEST_CASE("a checkpoint without room leaves the log as it is") {
  Folder f;
  SmallDisk s{f, kDiskReserveBytes * 2};
  auto d = f.open(s.calls());
  CHECK(f.only("reserve").empty());
  JournalWriter w(*d);
  REQUIRE(w.write({batch({std::string(5000, 'x')})}).result == done);
  s.size = s.used() + 1000;
  auto r = w.write({batch({"one"}, 1, std::string(3000, 'y'))});
  CHECK(r.result == done);
  CHECK(sent(r) == Ids{1});
  CHECK(w.wants_checkpoint(TimePoint{1ms}));
  CHECK(f.only("reserve").empty());
  d.reset();
  d = f.open(s.calls());
  CHECK_FALSE(d->recovered().checkpoint);
  CHECK(d->recovered().journal == Journal{std::string(5000, 'x'), "one"});
}
