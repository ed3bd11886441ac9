#include <time.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "load.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
using Json = nlohmann::json;

uint64_t random() {
  static thread_local std::mt19937_64 d{std::random_device{}() ^ (static_cast<uint64_t>(std::random_device{}()) << 32)};
  return d();
}
double clock_ms() {
  timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) * 1000.0 + static_cast<double>(t.tv_nsec) / 1e6;
}
void nap(Millis ms) {
  timespec t{ms / 1000, (ms % 1000) * 1000000};
  nanosleep(&t, nullptr);
}

double Series::at(double share) const {
  if (ms.empty())
    return 0;
  auto v = ms;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<size_t>(share * static_cast<double>(v.size())))];
}

void Book::violation(const std::string& what) {
  std::lock_guard l(m_);
  ++violation_count_;
  if (violations_.size() < 50)
    violations_.push_back(what);
}
void Book::count(const std::string& what, uint64_t n) {
  std::lock_guard l(m_);
  counts_[what] += n;
}
void Book::time(const std::string& what, double ms) {
  std::lock_guard l(m_);
  series_[what].ms.push_back(ms);
}
size_t Book::violations() const {
  std::lock_guard l(m_);
  return violation_count_;
}
uint64_t Book::counted(const std::string& what) const {
  std::lock_guard l(m_);
  auto i = counts_.find(what);
  return i == counts_.end() ? 0 : i->second;
}

std::string Book::text() const {
  std::lock_guard l(m_);
  std::ostringstream o;
  for (auto& [n, c] : counts_)
    o << n << ": " << c << "\n";
  o.precision(1);
  o << std::fixed;
  for (auto& [n, s] : series_)
    o << n << ": " << s.ms.size() << " done, p50 " << s.at(0.5) << " ms, p99 " << s.at(0.99) << " ms, max " << s.at(1)
      << " ms\n";
  for (auto& v : violations_)
    o << "VIOLATION " << v << "\n";
  o << violation_count_ << " violations\n";
  return o.str();
}

std::string Book::json() const {
  std::lock_guard l(m_);
  Json j{{"counts", counts_}, {"violations", violations_}, {"violation_count", violation_count_}};
  for (auto& [n, s] : series_)
    j["latency_ms"][n] = {{"n", s.ms.size()}, {"p50", s.at(0.5)}, {"p99", s.at(0.99)}, {"max", s.at(1)}};
  return j.dump(2) + "\n";
}

Fronts::Fronts(const std::vector<Address>& m) : controllers_(m) {
  refresh();
  thread_ = std::thread([this] {
    while (!stop_) {
      nap(250);
      refresh();
    }
  });
}
Fronts::~Fronts() {
  stop_ = true;
  thread_.join();
}

void Fronts::refresh() {
  for (auto& m : controllers_) {
    FetchRequest a;
    a.url = "http://" + m + "/v1/fronts";
    a.timeout_ms = 1000;
    auto j = Json::parse(http_fetch(a).body, nullptr, false);
    if (!j.is_object() || !j.contains("fronts"))
      continue;
    std::vector<Address> v;
    for (auto& f : j["fronts"])
      if (f["ready"] == true)
        v.push_back(f["http"]);
    std::lock_guard l(m_);
    ready_ = std::move(v);
    return;
  }
}

Address Fronts::any() {
  std::lock_guard l(m_);
  return ready_.empty() ? "" : ready_[random() % ready_.size()];
}

void Load::check_history(const std::string& program, const std::vector<TurnSeen>& seen) {
  if (std::none_of(seen.begin(), seen.end(), [](auto& t) { return t.success; }))
    return;
  std::string why;
  for (int i = 0; i < 60; ++i, nap(250)) {
    FetchRequest a;
    a.url = "http://" + fronts_.any() + "/v1/cells/" + plan_.cell + "/programs/" + program;
    auto r = http_fetch(a);
    if (r.status == 404)
      return book_.violation("a kept program was reported missing: " + program);
    auto j = Json::parse(r.body, nullptr, false);
    why = r.error.empty() ? r.body : r.error;
    if (r.status != 200 || !j.is_object())
      continue;
    std::map<std::string, std::string> kept;
    for (auto& t : j["turns"])
      if (t["status"] == 200)
        kept[t["key"]] = t["output"];
    for (auto& t : seen)
      if (t.success && kept[t.key] != t.output)
        book_.violation("kept turn " + t.key + " of " + program + " is gone or changed");
    auto spent = j["tokens"]["spent"].get<uint64_t>() + j["tokens"]["reserved"].get<uint64_t>();
    if (spent > plan_.budget + plan_.turn_limit)
      book_.violation("program " + program + " spent " + std::to_string(spent) + " tokens");
    return book_.count("programs read back");
  }
  book_.violation("program " + program + " cannot be read back: " + why);
}

void Load::check_runs() {
  if (plan_.runs.empty())
    return;
  std::map<std::string, int> n;
  for (auto& f : std::filesystem::directory_iterator(plan_.runs)) {
    if (!f.path().filename().string().starts_with("runs-"))
      continue;
    std::ifstream s(f.path());
    for (std::string l; std::getline(s, l);)
      ++n[l.substr(0, l.find('\t'))];
  }
  for (auto& [k, c] : n)
    if (c > 1)
      book_.violation("ran " + std::to_string(c) + " times: " + k);
  for (auto& [k, x] : not_run_)
    if (n.count(k))
      book_.violation("refused as not run, yet ran: " + k);
  for (auto& [p, seen] : programs_)
    for (auto& t : seen)
      if (t.success && !n.count(plan_.cell + "/" + p + "/" + t.key))
        book_.violation("a success that no replica ran: " + t.key);
  book_.count("runs checked", n.size());
}

}  // namespace mosskeel::loadgen
