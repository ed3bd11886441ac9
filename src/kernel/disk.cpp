#include "kernel/disk.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace mosskeel {
namespace fs = std::filesystem;

namespace {

bool write_all(int fd, std::string_view s) {
  while (!s.empty()) {
    auto n = ::write(fd, s.data(), s.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    s.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

std::string slurp(const std::string& p) {
  std::ifstream f(p, std::ios::binary);
  std::stringstream s;
  s << f.rdbuf();
  return s.str();
}

std::string frame(const std::string& r) {
  std::string o;
  codec::put(o, static_cast<uint32_t>(r.size()));
  codec::put(o, digest(r, r.size()));
  return o + r;
}

/// The record at the reader's place, or nothing, leaving the reader where it was.
std::optional<std::string> unframe(codec::Reader& r) {
  auto at = r;
  uint32_t n;
  uint64_t sum;
  if (!codec::get(at, n) || !codec::get(at, sum) || at.s.size() < n) return std::nullopt;
  std::string x(at.s.substr(0, n));
  if (digest(x, n) != sum) return std::nullopt;
  at.s.remove_prefix(n);
  r = at;
  return x;
}

}  // namespace

std::string Disk::path(const char* kind, uint64_t seq) const {
  return folder_ + "/" + kind + "-" + hex(seq);
}

Result<std::shared_ptr<Disk>> Disk::open(const std::string& folder, uint64_t dice) {
  std::shared_ptr<Disk> d(new Disk(folder));
  if (auto f = d->load(dice); !f.empty()) return f;
  return d;
}

bool Disk::sync_folder() {
  Fd d(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return d && ::fsync(d.get()) == 0;
}

bool Disk::write_whole(const std::string& name, const std::string& bytes) {
  auto tmp = folder_ + "/unfinished";
  {
    Fd f(::open(tmp.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (!f || !write_all(f.get(), bytes) || ::fsync(f.get()) != 0) return false;
  }
  return ::rename(tmp.c_str(), name.c_str()) == 0 && sync_folder();
}

Findings Disk::load(uint64_t dice) {
  std::error_code ec;
  fs::create_directories(folder_, ec);
  if (ec) return {{folder_, "cannot be created: " + ec.message()}};
  lock_ = Fd(::open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (!lock_ || ::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    return {{folder_, "is not writable or another daemon holds it"}};
  auto id = folder_ + "/identity";
  if (!fs::exists(id) && !write_whole(id, hex(dice ? dice : 1))) return {{id, "cannot be written"}};
  auto inc = unhex(slurp(id));
  if (!inc) return {{id, "is damaged; empty the folder to start as a new member"}};
  found_.inc = Incarnation{*inc};
  std::vector<uint64_t> segs, points;
  for (auto& f : fs::directory_iterator(folder_, ec)) {
    auto n = f.path().filename().string();
    if (n.starts_with("log-"))
      if (auto x = unhex(n.substr(4))) segs.push_back(*x);
    if (n.starts_with("checkpoint-"))
      if (auto x = unhex(n.substr(11))) points.push_back(*x);
  }
  std::sort(segs.begin(), segs.end());
  uint64_t from = points.empty() ? 0 : *std::max_element(points.begin(), points.end());
  if (!points.empty()) {
    auto s = slurp(path("checkpoint", from));
    codec::Reader r{s};
    auto x = unframe(r);
    if (!x || !r.s.empty())
      return {{path("checkpoint", from),
               "is damaged; restore the disk or empty the folder so that this machine joins as a new member"}};
    found_.checkpoint = std::move(*x);
  }
  std::erase_if(segs, [&](auto s) { return s < from; });
  for (size_t i = 0; i < segs.size(); ++i) {
    if (i && segs[i] != segs[i - 1] + 1) return {{path("log", segs[i - 1] + 1), "is missing from the log"}};
    if (auto f = load_segment(segs[i], i + 1 == segs.size()); !f.empty()) return f;
  }
  if (!start_segment(segs.empty() ? from : segs.back())) return {{folder_, "its log cannot be opened for writing"}};
  return {};
}

Findings Disk::load_segment(uint64_t seq, bool last) {
  auto s = slurp(path("log", seq));
  codec::Reader r{s};
  while (!r.s.empty()) {
    if (auto x = unframe(r)) {
      found_.journal.push_back(std::move(*x));
      continue;
    }
    auto at = s.size() - r.s.size();
    codec::Reader probe = r;
    bool later = !last;
    while (!later && probe.s.size() > 12) {
      probe.s.remove_prefix(1);
      auto p = probe;
      if (auto x = unframe(p); x && !x->empty()) later = true;
    }
    if (later)
      return {
          {path("log", seq), "is damaged at byte " + std::to_string(at) +
                                 "; restore the disk or empty the folder so that this machine joins as a new member"}};
    cut_ = r.s.size();
    Fd f(::open(path("log", seq).c_str(), O_WRONLY | O_CLOEXEC));
    if (!f || ::ftruncate(f.get(), static_cast<off_t>(at)) != 0 || ::fsync(f.get()) != 0)
      return {{path("log", seq), "its torn tail cannot be cut"}};
    break;
  }
  return {};
}

bool Disk::start_segment(uint64_t seq) {
  segment_ = Fd(::open(path("log", seq).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
  seq_ = seq;
  struct stat st {};
  if (!segment_ || ::fstat(segment_.get(), &st) != 0) return false;
  size_ = static_cast<size_t>(st.st_size);
  return sync_folder();
}

bool Disk::append(const std::vector<std::string>& records) {
  if (records.empty()) return true;
  if (size_ > limits::segment_bytes && (!sync() || !start_segment(seq_ + 1))) return false;
  std::string s;
  for (auto& r : records) s += frame(r);
  size_ += s.size();
  dirty_ = true;
  return write_all(segment_.get(), s);
}

bool Disk::sync() {
  if (!dirty_) return true;
  dirty_ = false;
  ++syncs_;
  return ::fdatasync(segment_.get()) == 0;
}

bool Disk::checkpoint(const std::string& bytes) {
  if (!sync() || !start_segment(seq_ + 1) || !write_whole(path("checkpoint", seq_), frame(bytes))) return false;
  std::error_code ec;
  for (auto& f : fs::directory_iterator(folder_, ec)) {
    auto n = f.path().filename().string();
    auto dash = n.find('-');
    if (dash == std::string::npos) continue;
    if (auto x = unhex(n.substr(dash + 1)); x && *x < seq_) fs::remove(f.path(), ec);
  }
  return true;
}

}  // namespace mosskeel
