// Operators race through the platform's interface while controllers are cut off, frozen, killed and emptied.
#include <memory>

#include "control/constants.hpp"
#include "simulation/operator_request.hpp"

namespace mosskeel::sim {
namespace {

constexpr Duration caller_silence = 1000ms;

/// One change, sent again word for word until its end is known or its operator gives up.
struct Order {
  ApiRequest ask;
  Revision base;
  uint64_t number = 0;
  bool valid = true;
  /// Built on a revision that may come to be: what was too early once may be taken later.
  bool early = false;
  int tries = 0;
  TimePoint begun{};
  bool acknowledged = false, refused = false, over = false;
};

/// Sends orders as the platform's operator does, and checks every answer, also those that get lost on their way.
class Operators {
 public:
  explicit Operators(Day& d) : d_(d), w_(d.w), before_(d.w.local) {
    w_.local = [this](Node& n, const Envelope& e) {
      auto i = sessions_.find(e.to);
      if (i == sessions_.end())
        return before_(n, e);
      if (auto* r = std::get_if<CommitReply>(&e.body))
        i->second->hear(*r);
    };
  }
  ~Operators() {
    w_.local = before_;
    requests_.clear();
  }
  std::shared_ptr<Order> change(Revision base, bool patch, bool valid = true);
  void send(std::shared_ptr<Order> o);
  void read();
  void judge();
  double answer_lost = 0.2, late = 0.2, repeated = 0.2;
  uint64_t acknowledged = 0, refused = 0, unclear = 0, slowest = 0;

 private:
  void arrive(std::shared_ptr<Order> o, const std::string& controller, bool heard);
  void answered(const std::shared_ptr<Order>& o, const std::optional<ApiResponse>& a, Duration took);
  void request(const std::string& controller, ApiRequest ask, OperatorRequest::Then then);
  std::string any() { return d_.any(Kind::controller); }
  Day& d_;
  World& w_;
  std::function<void(Node&, const Envelope&)> before_;
  std::vector<std::unique_ptr<OperatorRequest>> requests_;
  std::map<Address, OperatorRequest*> sessions_;
  std::map<Revision, std::shared_ptr<Order>> winners_;
  std::vector<std::shared_ptr<Order>> orders_;
  Revision read_{};
  uint64_t numbers_ = 0;
};

std::shared_ptr<Order> Operators::change(Revision base, bool patch, bool valid) {
  auto o = std::make_shared<Order>();
  o->base = base;
  o->valid = valid;
  o->number = ++numbers_;
  auto own = std::to_string(base.value() + 1 + w_.next_random() % 3);
  auto service = R"({"Name":"s)" + std::to_string(o->number) + R"("})";
  auto routes = valid ? std::string("[]")
                      : R"([{"Name":"r","Host":"h","PathPrefix":"/","RouteKind":"safe","TimeoutMs":0,"Service":"x"}])";
  o->ask.method = patch ? "PATCH" : "PUT";
  o->ask.path = "/v1/config";
  o->ask.headers["if-match"] = std::to_string(base.value());
  o->ask.body =
      patch ? R"({"Revision":)" + own + R"(,"Upsert":{"Services":[)" + service + R"(],"Routes":)" + routes + "}}"
            : R"({"Revision":)" + own + R"(,"Routes":)" + routes + R"(,"Services":[)" + service + "]}";
  o->begun = w_.now();
  orders_.push_back(o);
  return o;
}

void Operators::request(const std::string& controller, ApiRequest ask, OperatorRequest::Then then) {
  requests_.push_back(std::make_unique<OperatorRequest>(w_, controller, std::move(ask), std::move(then)));
  sessions_[requests_.back()->session()] = requests_.back().get();
  requests_.back()->start();
}

/// One try; the next follows a failure, or a second of silence, at any controller.
void Operators::send(std::shared_ptr<Order> o) {
  if (o->over)
    return;
  if (++o->tries > 12)
    return void(o->over = true);
  auto to = any();
  auto delay = w_.chance(late) ? w_.below(1500ms) : w_.below(5ms);
  bool heard = !w_.chance(answer_lost);
  w_.at(w_.now() + delay, [=, this] { arrive(o, to, heard); });
  if (w_.chance(repeated))
    w_.at(w_.now() + w_.below(4000ms), [=, this] { arrive(o, any(), false); });
  auto tried = o->tries;
  w_.at(w_.now() + caller_silence, [=, this] {
    if (!o->over && o->tries == tried)
      send(o);
  });
}

void Operators::arrive(std::shared_ptr<Order> o, const std::string& controller, bool heard) {
  if (!w_.node(controller).machine)
    return;
  auto tried = o->tries;
  request(controller, o->ask, [=, this](std::optional<ApiResponse> a, Duration took) {
    answered(o, a, took);
    if (!heard || !a || o->over)
      return;
    if (a->status < 500 && a->status != 307)
      return void(o->over = true);
    w_.at(w_.now() + 50ms + w_.below(200ms), [=, this] {
      if (!o->over && o->tries == tried)
        send(o);
    });
  });
}

/// Whatever a controller says is its word, whether it reaches the operator or not.
void Operators::answered(const std::shared_ptr<Order>& o, const std::optional<ApiResponse>& a, Duration took) {
  if (!a)
    return;
  auto what = "order " + std::to_string(o->number) + " on " + std::to_string(o->base.value());
  slowest = std::max<uint64_t>(slowest, static_cast<uint64_t>(took.count()));
  if (a->status == 200) {
    ++acknowledged;
    if (!o->valid)
      w_.fail(what + " is invalid and was acknowledged");
    if (o->refused && !o->early)
      w_.fail(what + " was acknowledged after it was refused");
    o->acknowledged = true;
    auto [i, first] = winners_.emplace(o->base, o);
    if (!first && i->second != o)
      w_.fail(what + " was acknowledged beside order " + std::to_string(i->second->number));
  } else if (a->status == 400 || a->status == 412) {
    ++refused;
    if (o->acknowledged)
      w_.fail(what + " was refused after it was acknowledged: " + a->body);
    if (o->valid && a->status == 400)
      w_.fail(what + " is valid and was called invalid: " + a->body);
    o->refused = true;
  } else if (a->status == 503 || a->status == 307) {
    ++unclear;
  } else {
    w_.fail(what + " got " + std::to_string(a->status));
  }
}

/// What is read back is not older than what had been read or acknowledged before the reading.
void Operators::read() {
  auto least = read_;
  for (auto& [base, o] : winners_)
    least = std::max(least, Revision{base.value() + 1});
  auto c = any();
  if (!w_.node(c).machine)
    return;
  request(c, {"GET", "/v1/config", "", {}, {}}, [=, this](std::optional<ApiResponse> a, Duration) {
    if (!a || a->status != 200)
      return;
    auto at = a->body.find("\"Revision\":");
    Revision r{std::stoull(a->body.substr(at + 11))};
    if (r < least)
      w_.fail("read back " + std::to_string(r.value()) + " after " + std::to_string(least.value()));
    read_ = std::max(read_, r);
  });
}

/// In the end the log holds each acknowledged order, and none that was refused.
void Operators::judge() {
  auto v = latest(w_);
  if (!v)
    return w_.fail("no controller came back");
  std::set<Revision> bases;
  for (auto& t : v->applied_configurations)
    if (!bases.insert(t.base).second)
      w_.fail("two orders were taken on " + std::to_string(t.base.value()));
  for (auto& o : orders_) {
    auto id = "config-" + hex(digest(o->ask.method + " " + std::to_string(o->base.value()) + "\n" + o->ask.body));
    bool taken = v->epoch_of_commit(id).has_value();
    if (o->acknowledged && !taken)
      w_.fail("order " + std::to_string(o->number) + " was acknowledged and is lost");
    if (o->refused && taken && !o->early)
      w_.fail("order " + std::to_string(o->number) + " was refused and is in force");
  }
  if (winners_.size() < 5)
    w_.fail("hardly an order was acknowledged: " + std::to_string(winners_.size()));
  if (slowest > static_cast<uint64_t>(kOperatorRequestTimeout.count()) + 100)
    w_.fail("an answer took " + std::to_string(slowest) + " ms");
}

/// Cuts, freezes, kills or slows one controller for a while, at any point of what is under way.
void trouble(Day& d) {
  auto& w = d.w;
  auto n = d.any(Kind::controller);
  auto heal = [&w](Duration ms) {
    w.at(w.now() + ms, [&w] { w.heal(); });
  };
  auto others = w.names(Kind::controller);
  switch (w.next_random() % 7) {
    case 0:
      w.isolate(n);
      return heal(100ms + w.below(6000ms));
    case 1:
      for (auto& s : others)
        w.cut(n, s);
      return heal(100ms + w.below(6000ms));
    case 2:
      for (auto& s : others)
        w.cut(s, n);
      return heal(100ms + w.below(6000ms));
    case 3:
      w.freeze(n);
      return w.at(w.now() + 100ms + w.below(4000ms), [&w, n] { w.wake(n); });
    case 4:
      w.kill(n);
      return w.at(w.now() + w.below(3000ms), [&w, n] { w.start(n); });
    case 5:
      w.power_off(n);
      return w.at(w.now() + w.below(3000ms), [&w, n] { w.start(n); });
    default:
      w.node(n).disk.slow = w.below(300ms);
      return w.at(w.now() + w.below(3000ms), [&w, n] { w.node(n).disk.slow = {}; });
  }
}

/// Brings back whatever is cut, frozen or down.
void recover(Day& d) {
  auto& w = d.w;
  w.heal();
  w.net.loss = w.net.twice = 0;
  for (auto& s : w.names(Kind::controller)) {
    w.wake(s);
    w.node(s).disk.slow = {};
    if (!w.node(s).machine)
      w.start(s);
  }
}

}  // namespace

/// Up to eight orders at once on one base, PUT and PATCH mixed, their answers lost, late and doubled.
void orders(Day& d) {
  auto& w = d.w;
  d.closed = true;
  w.run(2000ms);
  Operators ops(d);
  w.net.loss = w.chance(0.5) ? 0.02 : 0;
  w.net.twice = w.chance(0.5) ? 0.05 : 0;
  auto end = w.now() + 60000ms;
  TimePoint next_trouble = w.now() + w.below(2000ms);
  while (w.now() < end) {
    auto newest = latest(w);
    if (!newest) {
      w.run(500ms);
      continue;
    }
    auto base = newest->revision;
    auto rivals = 1 + w.next_random() % 8;
    for (uint64_t i = 0; i < rivals; ++i) {
      auto patch = w.chance(0.5);
      auto valid = !w.chance(0.05);
      auto delay = w.below(700ms);
      w.at(w.now() + delay, [&ops, base, patch, valid] { ops.send(ops.change(base, patch, valid)); });
    }
    if (w.chance(0.2)) {
      auto o = ops.change(Revision{base.value() + 1 + w.next_random() % 3}, false);
      o->early = true;
      ops.send(o);
    }
    if (w.now() >= next_trouble)
      trouble(d), next_trouble = w.now() + 500ms + w.below(5000ms);
    w.run(300ms + w.below(1500ms));
    ops.read();
  }
  recover(d);
  w.run(20000ms);
  ops.judge();
  // No caller is served: the operators' configurations take the introduced cell away.
  d.c.successes += ops.acknowledged;
  d.c.refusals += ops.refused;
  d.c.unknowns += ops.unclear;
}

}  // namespace mosskeel::sim
