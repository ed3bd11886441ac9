#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "kernel/disk.hpp"

using namespace mosskeel;
namespace fs = std::filesystem;

namespace {

struct Folder {
  std::string path;
  Folder() {
    std::string t = fs::temp_directory_path() / "mosskeel-disk-XXXXXX";
    path = mkdtemp(t.data());
  }
  ~Folder() { fs::remove_all(path); }
  std::string only(const std::string& prefix) const {
    std::string s;
    for (auto& f : fs::directory_iterator(path))
      if (f.path().filename().string().starts_with(prefix)) s = std::max(s, f.path().string());
    return s;
  }
  std::shared_ptr<Disk> open() const {
    auto d = Disk::open(path, 42);
    INFO((ok(d) ? "" : render(findings(d))));
    REQUIRE(ok(d));
    return value(d);
  }
};

void fill(const Folder& f, int n, int from = 0) {
  auto d = f.open();
  for (int i = from; i < from + n; ++i) REQUIRE(d->append({"record " + std::to_string(i)}));
  REQUIRE(d->sync());
}

}  // namespace

TEST_CASE("what was synced is found again, under the same identity") {
  Folder f;
  fill(f, 3);
  fill(f, 2, 3);
  auto d = f.open();
  CHECK(d->recovered().inc == Incarnation{42});
  CHECK(d->recovered().journal.size() == 5);
  CHECK(d->recovered().journal.back() == "record 4");
}

TEST_CASE("a torn tail is cut and the log goes on behind it") {
  for (size_t torn : {1, 5, 11, 13, 18}) {
    Folder f;
    fill(f, 3);
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
  {
    std::fstream s(f.only("log-"), std::ios::in | std::ios::out | std::ios::binary);
    s.seekp(14);
    s.put('#');
  }
  auto d = Disk::open(f.path, 1);
  REQUIRE_FALSE(ok(d));
  CHECK(render(findings(d)).find("is damaged at byte 0") != std::string::npos);
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
  CHECK_FALSE(ok(Disk::open(f.path, 1)));
}

TEST_CASE("two daemons cannot hold one folder, and a lost segment is noticed") {
  Folder f;
  auto d = f.open();
  CHECK_FALSE(ok(Disk::open(f.path, 1)));
  std::string big(limits::segment_bytes, 'x');
  for (int i = 0; i < 4; ++i) REQUIRE(d->append({big}));
  REQUIRE(d->sync());
  d.reset();
  std::vector<std::string> logs;
  for (auto& x : fs::directory_iterator(f.path))
    if (x.path().filename().string().starts_with("log-")) logs.push_back(x.path());
  REQUIRE(logs.size() >= 3);
  std::sort(logs.begin(), logs.end());
  fs::remove(logs[1]);
  CHECK_FALSE(ok(Disk::open(f.path, 1)));
}
