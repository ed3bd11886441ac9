// What a daemon finds in its folder, and what of it is whole.
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "storage/disk.hpp"
#include "storage/log_frame.hpp"

namespace mosskeel {
namespace fs = std::filesystem;

namespace {

/// The whole file, in memory once.
std::string slurp(const std::string& p) {
  std::error_code ec;
  auto size = fs::file_size(p, ec);
  std::string s(ec ? 0 : size, '\0');
  std::ifstream f(p, std::ios::binary);
  f.read(s.data(), static_cast<std::streamsize>(s.size()));
  s.resize(static_cast<size_t>(f.gcount()));
  return s;
}

/// Whether something behind the first damaged byte `at` shows that the damage is not an unsynced tail: a mark which
/// says that this byte was synced or, in a segment without marks, any whole record.
bool proves_rot(codec::Reader r, size_t at, bool marked, Incarnation incarnation, uint64_t seq) {
  for (auto p = at; r.s.size() > 12; ++p) {
    auto probe = r;
    uint32_t n = 0;
    codec::get(probe, n);
    probe = r;
    if (!marked || n == SyncMark::bytes)
      if (auto x = unframe(probe)) {
        auto m = mark_of(*x, incarnation, seq);
        if (!marked || (m && m->synced > at && m->synced <= p))
          return true;
      }
    r.s.remove_prefix(1);
  }
  return false;
}

}  // namespace

Result<std::shared_ptr<Disk>> Disk::open(const std::string& folder, uint64_t dice, DiskCalls calls) {
  std::shared_ptr<Disk> d(new Disk(folder, std::move(calls)));
  if (auto f = d->load(dice); !f.empty())
    return f;
  return d;
}

Errors Disk::load(uint64_t dice) {
  std::error_code ec;
  fs::create_directories(folder_, ec);
  if (ec)
    return {{folder_, "cannot be created: " + ec.message()}};
  lock_ = Fd(::open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (!lock_ || ::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    return {{folder_, "is not writable or another daemon holds it"}};
  auto id = folder_ + "/identity";
  if (!fs::exists(id) && !write_whole(id, hex(dice ? dice : 1)))
    return {{id, "cannot be written"}};
  auto incarnation = unhex(slurp(id));
  if (!incarnation)
    return {{id, "is damaged; empty the folder to start as a new member"}};
  found_.incarnation = Incarnation{*incarnation};
  std::vector<uint64_t> segs, points;
  for (auto& f : fs::directory_iterator(folder_, ec)) {
    auto n = f.path().filename().string();
    if (n.starts_with("log-"))
      if (auto x = unhex(n.substr(4)))
        segs.push_back(*x);
    if (n.starts_with("checkpoint-"))
      if (auto x = unhex(n.substr(11)))
        points.push_back(*x);
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
    kept_ = point_ = s.size();
  }
  std::erase_if(segs, [&](auto s) { return s < from; });
  for (size_t i = 0; i < segs.size(); ++i) {
    if (i && segs[i] != segs[i - 1] + 1)
      return {{path("log", segs[i - 1] + 1), "is missing from the log"}};
    if (auto f = load_segment(segs[i], i + 1 == segs.size()); !f.empty())
      return f;
  }
  if (!open_segment(segs.empty() ? from : segs.back()))
    return {{folder_, "its log cannot be opened for writing"}};
  return hold_found();
}

/// What was read may still be on its way to the disk, and the daemon answers for it from now on.
Errors Disk::hold_found() {
  loose_ = true;
  auto r = settle();
  if (r && size_ && marked_ && !ends_in_mark_)
    r = mark();
  if (r.kind == DiskResult::failed)
    return {{path("log", seq_), "cannot be synced"}};
  dirty_ = loose_;
  reserve();
  return {};
}

Errors Disk::load_segment(uint64_t seq, bool last) {
  auto s = slurp(path("log", seq));
  codec::Reader r{s};
  kept_ += s.size();
  marked_ = false;
  while (!r.s.empty()) {
    auto at = s.size() - r.s.size();
    auto x = unframe(r);
    if (!x) {
      if (!last || proves_rot(r, at, marked_, found_.incarnation, seq))
        return {{path("log", seq),
                 "is damaged at byte " + std::to_string(at) +
                     "; restore the disk or empty the folder so that this machine joins as a new member"}};
      return cut_tail(seq, at, r.s.size());
    }
    ends_in_mark_ = mark_of(*x, found_.incarnation, seq).has_value();
    if (at == 0)
      marked_ = ends_in_mark_;
    if (!ends_in_mark_)
      found_.journal.push_back(std::move(*x));
  }
  return {};
}

Errors Disk::cut_tail(uint64_t seq, size_t at, size_t bytes) {
  cut_ = bytes;
  kept_ -= bytes;
  Fd f(calls_.open(path("log", seq).c_str(), O_WRONLY | O_CLOEXEC));
  if (!f || calls_.truncate(f.get(), static_cast<off_t>(at)) != 0 || calls_.sync(f.get()) != 0)
    return {{path("log", seq), "its torn tail cannot be cut"}};
  return {};
}

}  // namespace mosskeel
