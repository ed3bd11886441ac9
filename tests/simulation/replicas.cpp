// Simulated replicas, and the checks that only they can make.
#include <nlohmann/json.hpp>

#include "metadata/constants.hpp"
#include "programs/constants.hpp"
#include "simulation/callers.hpp"

namespace mosskeel::sim {
using Json = nlohmann::json;

void Callers::check_chain(const std::string& program, const std::string& thread, const std::string& body) {
  auto j = Json::parse(body);
  std::vector<std::string> got;
  for (auto& c : j["chain"])
    got.push_back(c["input"].get<std::string>() + "=" + c["output"].get<std::string>());
  size_t at = 0;
  for (auto& t : turns_[program]) {
    if (t->thread != thread || !t->success)
      continue;
    auto want = t->input + "=" + t->output;
    while (at < got.size() && got[at] != want)
      ++at;
    if (at == got.size())
      return w_.fail("chain of " + program + "/" + thread + " misses " + t->key + " or its order");
    ++at;
  }
}

void Callers::on_replica(Node& n, const Envelope& e) {
  auto name = e.to.substr(8);
  auto& r = replicas[name];
  if (auto* s = std::get_if<CancelReplicaCall>(&e.body)) {
    r.stopped.insert(s->attempt);
    return;
  }
  auto* a = std::get_if<ReplicaCall>(&e.body);
  if (a)
    w_.at(w_.now() + 1ms + w_.below(15ms),
          [this, front = n.name, life = n.life, name, a = *a] { arrive(front, life, name, a); });
}

/// What has left a front is at the replica's door; here the limits of drains are measured.
void Callers::arrive(const std::string& front, uint64_t life, const std::string& name, const ReplicaCall& ask) {
  auto& r = replicas[name];
  auto* a = &ask;
  auto say = [this, front, life](Duration d, Message m) {
    w_.at(w_.now() + d, [this, front, life, m] {
      auto& x = w_.node(front);
      if (x.life != life || !x.machine)
        return;
      Envelope e{};
      e.from = "replica:";
      e.body = m;
      w_.post(front, e);
    });
  };
  if (!r.up)
    return say(1ms, ReplicaCallResponse{a->attempt, false, 0, false, 0, 0, 0, "", "refused"});
  if (r.leaving_since != TimePoint{} && w_.now() > r.leaving_since + 3000ms)
    w_.fail("a leaving replica was reached " + std::to_string((w_.now() - r.leaving_since).count()) +
            " ms after its mark");
  if (r.evacuated_since != TimePoint{} && w_.now() > r.evacuated_since + 5000ms)
    w_.fail("an evacuated zone was reached after " + std::to_string((w_.now() - r.evacuated_since).count()) + " ms");
  if (r.kind == "app") {
    auto body = a->method + " " + a->url.substr(a->url.find('/', 7));
    if (a->method == "POST") {
      auto path = body.substr(5);
      if (++runs_["count" + path] > 1)
        w_.fail("counted twice: " + path);
      if (auto c = counts_.find(path);
          c != counts_.end() && c->second->done && c->second->sure_not_run && !c->second->success)
        w_.fail("counted after it was refused as not run: " + path);
    }
    bool broken = r.every && w_.chance(0.3);
    if (broken && w_.chance(0.5))
      return say(5ms + w_.below(20ms),
                 ReplicaCallResponse{a->attempt, true, 0, false, 0, 0, 0, "", "reset after the work"});
    return say(5ms + w_.below(20ms), ReplicaCallResponse{a->attempt, true, 200, !broken, 0, 0, digest(body),
                                                         broken ? body.substr(0, 3) : body, ""});
  }
  auto j = Json::parse(a->body);
  auto program = j["program"].get<std::string>();
  auto key = "news/" + program + "/" + j["key"].get<std::string>();
  if (++runs_[key] > 1)
    w_.fail("ran twice: " + key);
  for (auto& t : turns_[program])
    if ("news/" + program + "/" + t->key == key && t->done && t->sure_not_run)
      w_.fail("ran after it was refused as not run: " + key);
  check_chain(program, j["thread"], a->body);
  ++r.now;
  if (r.cold_since != TimePoint{} && w_.now() > r.cold_since + 2000ms) {
    auto grown = 2 + (w_.now() - r.cold_since).count() * kDefaultReplicaCapacity / kSlowStartDuration.count();
    if (r.now > grown)
      w_.fail("cold " + name + " is flooded: " + std::to_string(r.now) + " turns " +
              std::to_string((w_.now() - r.cold_since).count()) + " ms after its mark");
    ++r.from[front];
    if (r.from.size() > kFrontsPerColdReplica)
      w_.fail("cold " + name + " is reached by " + std::to_string(r.from.size()) + " fronts");
  }
  if (r.cold_since == TimePoint{} && r.now > static_cast<int>(kDefaultReplicaCapacity) * 3 / 2)
    w_.fail(name + " runs " + std::to_string(r.now) + " turns on " + std::to_string(kDefaultReplicaCapacity) +
            " places");
  std::string fault = r.every && w_.next_random() % static_cast<uint64_t>(r.every) == 0 ? r.fault : "";
  piece(front, life, name, *a, 0, 3 + static_cast<uint32_t>(w_.below(uint64_t{5})), fault, "");
}

void Callers::piece(const std::string& front, uint64_t life, const std::string& rep, const ReplicaCall& a, uint32_t k,
                    uint32_t n, std::string fault, std::string text) {
  auto j = Json::parse(a.body);
  auto program = j["program"].get<std::string>();
  w_.at(w_.now() + 5ms + w_.below(pace), [=, this] {
    auto& r = replicas[rep];
    auto& x = w_.node(front);
    bool there = x.life == life && x.machine;
    auto say = [&](Message m) {
      if (!there)
        return;
      Envelope e{};
      e.from = "replica:";
      e.body = std::move(m);
      w_.post(front, e);
    };
    auto over = [&](ReplicaCallResponse e) {
      --r.now;
      say(std::move(e));
    };
    if (!there || r.stopped.count(a.attempt))
      return void(--r.now);
    if (!r.up)
      return over({a.attempt, true, 0, false, 0, 0, 0, "", "reset"});
    if (fault == "stall")
      return void(--r.now);
    if ((fault == "cut" && k == n / 2) || (fault == "lost" && k == n))
      return over({a.attempt, true, 200, false, 0, 0, 0, "", "reset"});
    if (k == n) {
      if (fault == "unsealed")
        return over({a.attempt, true, 200, false, n, n, digest(text), "", "no seal"});
      if (fault == "false seal")
        return over({a.attempt, true, 200, true, n, n, digest(text) + 1, "", ""});
      whole_["news/" + program + "/" + j["key"].get<std::string>()] = text;
      return over({a.attempt, true, 200, true, n, n, digest(text), "", ""});
    }
    handed_[program] += 1;
    if (handed_[program] > budget_ + limit_)
      w_.fail("program " + program + " got " + std::to_string(handed_[program]) + " tokens of " +
              std::to_string(budget_));
    auto t = j["key"].get<std::string>() + "." + std::to_string(k) + " ";
    say(ReplicaCallChunk{a.attempt, fault == "skip" && k == n / 2 ? k + 1 : k, t, 1});
    piece(front, life, rep, a, k + 1, n, fault, text + t);
  });
}

std::vector<std::string> Callers::programs() const {
  std::vector<std::string> v;
  for (auto& [p, t] : turns_)
    for (auto& x : t)
      if (x->success) {
        v.push_back(p);
        break;
      }
  return v;
}

void Callers::judge() {
  int left = 0;
  for (auto& p : programs()) {
    ++left;
    auto tries = std::make_shared<int>(0);
    auto go = std::make_shared<std::function<void()>>();
    *go = [=, this, &left] {
      auto heard = std::make_shared<bool>(false);
      std::vector<std::shared_ptr<Turn>> due;
      for (auto& t : turns_.at(p))
        if (t->success)
          due.push_back(t);
      read_back(p, [=, this, &left](uint32_t status, const std::string& body) {
        if (*heard)
          return;
        *heard = true;
        if (status == 404) {
          w_.fail("a kept program was reported missing: " + p);
          --left;
        } else if (status == 200) {
          --left;
          ++resumed;
          auto j = Json::parse(body);
          std::map<std::string, std::string> kept;
          for (auto& t : j["turns"])
            if (t["status"] == 200)
              kept[t["key"]] = t["output"];
          for (auto& t : due)
            if (kept[t->key] != t->output)
              w_.fail("kept turn " + t->key + " of " + p + " is gone or changed");
        } else if (++*tries > 40) {
          w_.fail("program " + p + " cannot be read back: " + body);
          --left;
        } else {
          w_.at(w_.now() + 250ms, *go);
        }
      });
    };
    (*go)();
  }
  w_.until(30000ms, [&] { return left <= 0; });
  judge_counts();
  if (left > 0)
    w_.fail(std::to_string(left) + " programs could not be read back in time");
  for (auto& [p, v] : turns_)
    for (auto& t : v)
      if (t->done && t->sure_not_run && !t->success && runs_["news/" + p + "/" + t->key])
        w_.fail("refused as not run, yet ran: " + t->key);
}

}  // namespace mosskeel::sim
