// The data plane's slopes: conversations through fronts and stores, and what stores keep.
#include <algorithm>

#include "history/constants.hpp"
#include "scale/experiments.hpp"
#include "scale/field.hpp"

namespace mosskeel::scale {
namespace {

constexpr int pieces = 8;
constexpr Millis piece_pace = 30, patience = 600000;
constexpr size_t last_turns = 5;

std::string text(size_t n, uint64_t seed) {
  std::string s;
  while (s.size() < n)
    s += hex(digest("text", seed + s.size()));
  return s.substr(0, n);
}

/// Callers and replicas of one world: each program asks its turns one after the other.
class Talk {
 public:
  Talk(Field& f, int programs) : f_(f), fronts_(f.all(Part::gateway)), done_(static_cast<size_t>(programs)) {
    f.local = [this](Station&, const Envelope& e) {
      auto* x = std::get_if<ProgramResponse>(&e.body);
      if (!x)
        return;
      auto p = static_cast<size_t>(std::stoul(x->attempt));
      if (x->status == 200)
        ++done_[p];
      else
        f_.failures.push_back(std::to_string(x->status) + " " + x->reason);
      if (done_[p] < upto_ && x->status == 200)
        ask(p);
    };
    f.replica = [this](Station& s, const Envelope& e) {
      if (auto* a = std::get_if<ReplicaCall>(&e.body))
        serve(static_cast<size_t>(&s - f_.stations().data()), *a);
    };
  }
  bool run(size_t upto) {
    upto_ = upto;
    for (size_t p = 0; p < done_.size(); ++p)
      if (done_[p] < upto)
        ask(p);
    return f_.until(patience, [&] {
      return !f_.failures.empty() || std::all_of(done_.begin(), done_.end(), [&](auto n) { return n >= upto_; });
    });
  }
  uint64_t asked_bytes = 0;

 private:
  void ask(size_t p) {
    ProgramRequest x{};
    x.attempt = std::to_string(p) + "-" + std::to_string(done_[p]);
    x.cell = "tenant-10000";
    x.route = "chat";
    x.program = "program-" + std::to_string(p);
    x.thread = "main";
    x.kind = "model";
    x.method = "POST";
    x.body = text(turn_in, p);
    Envelope e{};
    e.from = "local:" + x.attempt;
    e.body = x;
    f_.post(fronts_[p % fronts_.size()], std::move(e));
  }
  void serve(size_t front, const ReplicaCall& a) {
    asked_bytes += a.body.size();
    std::string all;
    auto say = [&](int i, Message m) {
      f_.at(f_.now() + piece_pace * (i + 1), [this, front, m = std::move(m)] {
        Envelope e{};
        e.from = "replica:";
        e.body = m;
        f_.post(front, std::move(e));
      });
    };
    for (int i = 0; i < pieces; ++i) {
      auto s = text(turn_out / pieces, static_cast<uint64_t>(i));
      all += s;
      say(i, ReplicaCallChunk{a.attempt, static_cast<uint32_t>(i), s, turn_tokens / pieces});
    }
    say(pieces,
        ReplicaCallResponse{a.attempt, true, 200, true, pieces, turn_tokens / pieces * pieces, digest(all), "", ""});
  }
  Field& f_;
  std::vector<size_t> fronts_;
  std::vector<size_t> done_;
  size_t upto_ = 0;
};

Plan small() {
  Plan p;
  p.daemons = 6, p.replicas = 4, p.paths = 1, p.cells = 1, p.services = 1, p.zones = 3;
  return p;
}

}  // namespace

Row conversation(int programs, int turns, uint64_t seed, double size) {
  Row r{"conversation", size, seed, {}, {}};
  Field f(small(), seed);
  f.until(patience, [&] { return f.fronts_in_touch(); });
  Talk t(f, programs);
  auto before = static_cast<size_t>(turns) - std::min<size_t>(static_cast<size_t>(turns), last_turns);
  if (before)
    t.run(before);
  f.run(kStoreRetryInterval);
  f.forget();
  t.asked_bytes = 0;
  auto begun = f.now();
  t.run(static_cast<size_t>(turns));
  auto asked = static_cast<double>(static_cast<size_t>(turns) - before) * programs;
  for (auto p : {Part::gateway, Part::store}) {
    auto s = f.sum(p);
    std::string who = name(p);
    Tally all;
    for (auto& [k, x] : s.out) {
      if (k.starts_with("heartbeat") || k.starts_with("stream-partition") || k.starts_with("partition-checksum") ||
          k.starts_with("list-histories"))
        continue;
      all += x;
      r.counts[who + "." + k + ".msg"] = static_cast<double>(x.count) / asked;
      r.counts[who + "." + k + ".byte"] = static_cast<double>(x.bytes) / asked;
    }
    r.counts[who + ".out.msg"] = static_cast<double>(all.count) / asked;
    r.counts[who + ".out.byte"] = static_cast<double>(all.bytes) / asked;
    r.counts[who + ".journal.byte"] = static_cast<double>(s.journal) / asked;
    r.counts[who + ".syncs"] = static_cast<double>(s.syncs) / asked;
    r.counts[who + ".checkpoint.byte"] = static_cast<double>(s.checkpoint_bytes) / asked;
    r.times[who + ".ms"] = static_cast<double>(s.nanos) / 1e6 / asked;
  }
  r.counts["replica.ask.byte"] = static_cast<double>(t.asked_bytes) / asked;
  r.counts["turn.ms"] = static_cast<double>(f.now() - begun) / (static_cast<double>(turns) - before);
  r.counts["failures"] = static_cast<double>(f.failures.size());
  for (auto& x : f.failures)
    fprintf(stderr, "conversation: %s\n", x.c_str());
  return r;
}

Row stored_histories(int histories, int turns, uint64_t seed, double size) {
  Row r{"histories", size, seed, {}, {}};
  StoredPartitions slots;
  for (int i = 0; i < histories; ++i) {
    HistoryName n{"tenant-10000", "program-" + std::to_string(i)};
    History l{Epoch{1}, {}, 0};
    for (int k = 0; k < turns; ++k) {
      auto key = std::to_string(i) + "-" + std::to_string(k);
      l.records.push_back({RecordKind::reservation, key, "main", 1, 8192, static_cast<uint32_t>(k), 0, DaemonId{4},
                           3600000, text(turn_in, 1), "", ""});
      l.records.push_back({RecordKind::outcome, key, "main", 1, turn_tokens, static_cast<uint32_t>(k), 200, DaemonId{4},
                           3600000, "", text(turn_out, 2), ""});
    }
    slots[partition_of(n.cell, n.program)].histories[n] = std::move(l);
  }
  Field f(small(), seed, slots);
  f.run(kRepairMinimumAge * 2);
  f.forget();
  f.run(kRepairMinimumAge);
  auto s = f.sum(Part::store);
  auto n = static_cast<double>(f.all(Part::store).size()), seconds = kRepairMinimumAge / 1000.0;
  r.times["store.core_percent"] = static_cast<double>(s.nanos) / 1e7 / n / seconds;
  Tally wire;
  for (auto& [k, x] : s.out)
    wire += x;
  r.counts["store.out.byte"] = static_cast<double>(wire.bytes) / n / seconds;
  auto& one = f.stations()[f.all(Part::store).front()];
  auto bytes = static_cast<StoreMachine&>(*one.machine).checkpoint().size();
  auto begun = clock();
  for (int i = 0; i < 3; ++i)
    static_cast<StoreMachine&>(*one.machine).checkpoint();
  r.times["checkpoint.ms"] = static_cast<double>(clock() - begun) * 1e3 / CLOCKS_PER_SEC / 3;
  r.counts["checkpoint.byte"] = static_cast<double>(bytes);
  r.counts["histories"] = static_cast<double>(static_cast<StoreMachine&>(*one.machine).history_count());
  return r;
}

}  // namespace mosskeel::scale
