#include "consensus/acceptor.hpp"
#include "history/store_machine.hpp"
#include "storage/constants.hpp"
#include "storage/log_frame.hpp"
#include "unit/storage/disk_fixture.hpp"

using namespace mosskeel;
namespace fs = std::filesystem;

TEST_CASE("what was synced is found again, under the same identity") {
  Folder f;
  fill(f, 3);
  fill(f, 2, 3);
  auto d = f.open();
  CHECK(d->recovered().incarnation == Incarnation{42});
  CHECK(d->recovered().journal.size() == 5);
  CHECK(d->recovered().journal.back() == "record 4");
}

TEST_CASE("a torn tail is cut and the log goes on behind it") {
  for (size_t torn : {1, 5, 11, 13, 18}) {
    Folder f;
    fill(f, 2);
    REQUIRE(f.open()->append({"record 2"}));
    auto p = f.only("log-");
    fs::resize_file(p, fs::file_size(p) - torn);
    fill(f, 1, 9);
    auto d = f.open();
    REQUIRE(d->recovered().journal.size() == 3);
    CHECK(d->recovered().journal[1] == "record 1");
    CHECK(d->recovered().journal[2] == "record 9");
  }
}

TEST_CASE("damage in the middle is refused aloud") {
  Folder f;
  fill(f, 3);
  f.damage(f.only("log-"), 14);
  auto d = Disk::open(f.path, 1);
  REQUIRE_FALSE(d.ok());
  CHECK(to_string(d.errors()).find("is damaged at byte 0") != std::string::npos);
}

TEST_CASE("a checkpoint stands for all before it, and a damaged one is refused") {
  Folder f;
  fill(f, 3);
  {
    auto d = f.open();
    REQUIRE(d->checkpoint("all so far"));
    REQUIRE(d->append({"later"}));
    REQUIRE(d->sync());
  }
  {
    auto d = f.open();
    CHECK(d->recovered().checkpoint == "all so far");
    CHECK(d->recovered().journal == std::vector<std::string>{"later"});
  }
  fs::resize_file(f.only("checkpoint-"), 5);
  CHECK_FALSE(Disk::open(f.path, 1).ok());
}

TEST_CASE("two daemons cannot hold one folder, and a lost segment is noticed") {
  Folder f;
  auto d = f.open();
  CHECK_FALSE(Disk::open(f.path, 1).ok());
  std::string big(kSegmentBytes, 'x');
  for (int i = 0; i < 4; ++i)
    REQUIRE(d->append({big}));
  REQUIRE(d->sync());
  d.reset();
  std::vector<std::string> logs;
  for (auto& x : fs::directory_iterator(f.path))
    if (x.path().filename().string().starts_with("log-"))
      logs.push_back(x.path());
  REQUIRE(logs.size() >= 3);
  std::sort(logs.begin(), logs.end());
  fs::remove(logs[1]);
  CHECK_FALSE(Disk::open(f.path, 1).ok());
}

TEST_CASE("a hole in what was not synced is cut with all behind it, and the log goes on") {
  Folder f;
  fill(f, 2);
  auto p = f.only("log-");
  auto synced = fs::file_size(p);
  {
    auto d = f.open();
    for (auto s : {"lost", "there", "there too"})
      REQUIRE(d->append({s}));
  }
  f.damage(p, synced + 13);
  CHECK(f.open()->recovered().journal == std::vector<std::string>{"record 0", "record 1"});
  CHECK(fs::file_size(p) == synced);
  fill(f, 1, 2);
  auto d = f.open();
  CHECK(d->truncated_bytes() == 0);
  CHECK(d->recovered().journal == std::vector<std::string>{"record 0", "record 1", "record 2"});
}

TEST_CASE("damage before a mark that says it was synced is refused aloud, wherever it is") {
  for (int n : {0, 1, 2}) {
    Folder f;
    fill(f, 2);
    fill(f, 1, 2);
    auto p = f.only("log-");
    std::string s(fs::file_size(p), 0);
    std::ifstream(p, std::ios::binary).read(s.data(), static_cast<std::streamsize>(s.size()));
    f.damage(p, s.find("record " + std::to_string(n)));
    auto d = Disk::open(f.path, 1);
    REQUIRE_FALSE(d.ok());
    CHECK(to_string(d.errors()).find("is damaged at byte") != std::string::npos);
  }
}

TEST_CASE("a folder of the form without marks loads, is judged as before and goes on in a new segment") {
  Folder f;
  fill(f, 1);
  auto p = f.only("log-");
  auto old = frame("old 0") + frame("old 1") + frame("old 2");
  std::ofstream(p, std::ios::binary) << old << "torn";
  fill(f, 1, 3);
  CHECK(f.only("log-") != p);
  CHECK(fs::file_size(p) == old.size());
  CHECK(f.open()->recovered().journal == std::vector<std::string>{"old 0", "old 1", "old 2", "record 3"});
  fs::remove(f.only("log-"));
  f.damage(p, 14);
  CHECK_FALSE(Disk::open(f.path, 1).ok());
}

TEST_CASE("daemons that do not know marks pass over them") {
  auto m = codec::encode(SyncMark{SyncMark::kMagic, Incarnation{1}, 2, 3});
  CHECK(m.size() == SyncMark::kBytes);
  CHECK_FALSE(codec::decode<StoreRecord>(m));
  CHECK_FALSE(codec::decode<ControllerRecord>(m));
  CHECK(mark_of(m, Incarnation{1}, 2)->synced == 3);
  CHECK_FALSE(mark_of(m, Incarnation{1}, 3));
}
