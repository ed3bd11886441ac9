// Operators send concurrent changes through the platform's interface while controllers are cut off, frozen, killed and
// slowed.
#include <algorithm>
#include <memory>

#include "control/constants.hpp"
#include "simulation/operator_request.hpp"
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// An operator sends an order again after this time without an answer.
constexpr Duration kResponseTimeout = 1000ms;
/// Number of attempts after which an operator gives up.
constexpr int kMaxOrderTries = 12;
/// Probability that an answer is lost, a request is late, and a request arrives twice.
constexpr double kAnswerLost = 0.2;
constexpr double kRequestLate = 0.2;
constexpr double kRequestRepeated = 0.2;
/// Probability that an order is invalid, and that one is based on a revision that does not yet exist.
constexpr double kInvalidOrder = 0.05;
constexpr double kEarlyOrder = 0.2;
/// Maximum number of concurrent orders on one revision.
constexpr uint64_t kMaxRivals = 8;
/// An order's own revision, or an early order's base, is too high by less than this, or by up to this, respectively.
constexpr uint64_t kRevisionGuesses = 3;
/// An answer may take this much longer than the operator's timeout, since the state machine checks timers on ticks.
constexpr Duration kAnswerMargin = 100ms;
/// With fewer acknowledged orders the run tests too little.
constexpr size_t kMinAcknowledged = 5;

constexpr int kHttpOk = 200;
constexpr int kHttpRedirect = 307;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;

/// A configuration change by an operator, retried unchanged until its outcome is known or the operator gives up.
struct Order {
  ApiRequest request;
  Revision base;
  uint64_t number = 0;
  bool valid = true;
  /// Based on a revision that does not exist yet; rejected as too early at first, it may be accepted later.
  bool early = false;
  int tries = 0;
  bool acknowledged = false, refused = false, over = false;

  std::string name() const { return "order " + std::to_string(number); }
  /// The id under which the control protocol commits it.
  std::string commit_id() const {
    return "config-" + hex(digest(request.method + " " + std::to_string(base.value()) + "\n" + request.body));
  }
};

/// Sends orders as the platform's operators do and checks every answer, including those that are lost on the way.
///
/// Invariants: at most one order per base revision is acknowledged, an acknowledged order stays in the log, a refused
/// one never enters it, reads never return an older revision, and every answer comes within its time limit.
class Operators {
 public:
  explicit Operators(ScenarioRun& run) : run_(run), world_(run.world), usual_handler_(run.world.local) {
    world_.local = [this](Node& node, const Envelope& envelope) {
      on_message(node, envelope);
    };
  }
  Operators(const Operators&) = delete;
  Operators& operator=(const Operators&) = delete;
  ~Operators() {
    world_.local = usual_handler_;
    requests_.clear();
  }

  /// A new order that adds a service.
  std::shared_ptr<Order> make_order(Revision base, bool patch, bool valid = true);
  /// Makes one attempt; retried at any controller after a failure or after a second without an answer.
  void send(std::shared_ptr<Order> order);
  /// Reads the configuration back from any controller.
  void read();
  /// Compares the log with what was answered.
  void check_at_end();

  uint64_t acknowledged() const { return acknowledged_; }
  uint64_t refused() const { return refused_; }
  uint64_t unknown() const { return unknown_; }

 private:
  void on_message(Node& node, const Envelope& envelope);
  void deliver_order(const std::shared_ptr<Order>& order, const std::string& controller, bool answer_arrives);
  void handle_answer(const std::shared_ptr<Order>& order, int tried, const ApiResponse& answer);
  void retry_after(const std::shared_ptr<Order>& order, int tried, Duration wait);
  void check_answer(const std::shared_ptr<Order>& order, const ApiResponse& answer, Duration took);
  void check_acknowledged(const std::shared_ptr<Order>& order, const std::string& what);
  void check_refused(Order& order, const std::string& what, const ApiResponse& answer);
  void check_read(Revision least, const ApiResponse& answer);
  void check_log(const Metadata& metadata);
  void request(const std::string& controller, ApiRequest request, OperatorRequest::Callback on_done);

  ScenarioRun& run_;
  World& world_;
  std::function<void(Node&, const Envelope&)> usual_handler_;
  std::vector<std::unique_ptr<OperatorRequest>> requests_;
  std::map<Address, OperatorRequest*> sessions_;
  /// The acknowledged order on each revision.
  std::map<Revision, std::shared_ptr<Order>> winners_;
  std::vector<std::shared_ptr<Order>> orders_;
  /// The newest revision that was read back.
  Revision newest_read_{};
  uint64_t last_number_ = 0;
  uint64_t acknowledged_ = 0, refused_ = 0, unknown_ = 0;
  Duration slowest_{};
};

void Operators::on_message(Node& node, const Envelope& envelope) {
  auto session = sessions_.find(envelope.to);
  if (session == sessions_.end())
    return usual_handler_(node, envelope);
  if (const auto* reply = std::get_if<CommitReply>(&envelope.body))
    session->second->on_message(*reply);
}

std::shared_ptr<Order> Operators::make_order(Revision base, bool patch, bool valid) {
  auto order = std::make_shared<Order>();
  order->base = base;
  order->valid = valid;
  order->number = ++last_number_;
  auto own_revision = std::to_string(base.value() + 1 + world_.next_random() % kRevisionGuesses);
  auto service = R"({"Name":"s)" + std::to_string(order->number) + R"("})";
  std::string routes = "[]";
  if (!valid)
    routes = R"([{"Name":"r","Host":"h","PathPrefix":"/","RouteKind":"safe","TimeoutMs":0,"Service":"x"}])";
  order->request.method = patch ? "PATCH" : "PUT";
  order->request.path = "/v1/config";
  order->request.headers["if-match"] = std::to_string(base.value());
  if (patch)
    order->request.body =
        R"({"Revision":)" + own_revision + R"(,"Upsert":{"Services":[)" + service + R"(],"Routes":)" + routes + "}}";
  else
    order->request.body =
        R"({"Revision":)" + own_revision + R"(,"Routes":)" + routes + R"(,"Services":[)" + service + "]}";
  orders_.push_back(order);
  return order;
}

void Operators::request(const std::string& controller, ApiRequest request, OperatorRequest::Callback on_done) {
  requests_.push_back(std::make_unique<OperatorRequest>(world_, controller, std::move(request), std::move(on_done)));
  auto& added = *requests_.back();
  sessions_[added.session()] = &added;
  added.start();
}

void Operators::send(std::shared_ptr<Order> order) {
  if (order->over)
    return;
  if (++order->tries > kMaxOrderTries) {
    order->over = true;
    return;
  }
  auto controller = run_.any(Kind::controller);
  auto delay = world_.chance(kRequestLate) ? world_.below(1500ms) : world_.below(5ms);
  bool answer_arrives = !world_.chance(kAnswerLost);
  world_.at(world_.now() + delay, [=, this] { deliver_order(order, controller, answer_arrives); });
  if (world_.chance(kRequestRepeated))
    world_.at(world_.now() + world_.below(4000ms),
              [=, this] { deliver_order(order, run_.any(Kind::controller), false); });
  retry_after(order, order->tries, kResponseTimeout);
}

/// Sends the order again after this time, unless it is over or another attempt was made since.
void Operators::retry_after(const std::shared_ptr<Order>& order, int tried, Duration wait) {
  world_.at(world_.now() + wait, [=, this] {
    if (!order->over && order->tries == tried)
      send(order);
  });
}

void Operators::deliver_order(const std::shared_ptr<Order>& order, const std::string& controller, bool answer_arrives) {
  if (!world_.node(controller).machine)
    return;
  auto tried = order->tries;
  request(controller, order->request, [=, this](const std::optional<ApiResponse>& answer, Duration took) {
    if (!answer)
      return;
    check_answer(order, *answer, took);
    if (answer_arrives)
      handle_answer(order, tried, *answer);
  });
}

void Operators::handle_answer(const std::shared_ptr<Order>& order, int tried, const ApiResponse& answer) {
  if (order->over)
    return;
  if (answer.status < kHttpServerError && answer.status != kHttpRedirect) {
    order->over = true;
    return;
  }
  retry_after(order, tried, 50ms + world_.below(200ms));
}

/// Checks every answer that a controller gives, whether or not it reaches the operator.
void Operators::check_answer(const std::shared_ptr<Order>& order, const ApiResponse& answer, Duration took) {
  auto what = order->name() + " on " + std::to_string(order->base.value());
  slowest_ = std::max(slowest_, took);
  if (answer.status == kHttpOk)
    check_acknowledged(order, what);
  else if (answer.status == kHttpBadRequest || answer.status == kHttpPreconditionFailed)
    check_refused(*order, what, answer);
  else if (answer.status == kHttpUnavailable || answer.status == kHttpRedirect)
    ++unknown_;
  else
    world_.fail(what + " got " + std::to_string(answer.status));
}

void Operators::check_acknowledged(const std::shared_ptr<Order>& order, const std::string& what) {
  ++acknowledged_;
  if (!order->valid)
    world_.fail(what + " is invalid and was acknowledged");
  if (order->refused && !order->early)
    world_.fail(what + " was acknowledged after it was refused");
  order->acknowledged = true;
  auto [winner, first] = winners_.emplace(order->base, order);
  if (!first && winner->second != order)
    world_.fail(what + " was acknowledged as well as " + winner->second->name());
}

void Operators::check_refused(Order& order, const std::string& what, const ApiResponse& answer) {
  ++refused_;
  if (order.acknowledged)
    world_.fail(what + " was refused after it was acknowledged: " + answer.body);
  if (order.valid && answer.status == kHttpBadRequest)
    world_.fail(what + " is valid and was called invalid: " + answer.body);
  order.refused = true;
}

/// A read must not return a revision older than those read or acknowledged before it started.
void Operators::read() {
  auto least = newest_read_;
  for (const auto& [base, order] : winners_)
    least = std::max(least, Revision{base.value() + 1});
  auto controller = run_.any(Kind::controller);
  if (!world_.node(controller).machine)
    return;
  request(controller, {"GET", "/v1/config", "", {}, {}}, [=, this](const std::optional<ApiResponse>& answer, Duration) {
    if (answer && answer->status == kHttpOk)
      check_read(least, *answer);
  });
}

void Operators::check_read(Revision least, const ApiResponse& answer) {
  const std::string field = "\"Revision\":";
  auto position = answer.body.find(field);
  Revision shown{std::stoull(answer.body.substr(position + field.size()))};
  if (shown < least)
    world_.fail("read back " + std::to_string(shown.value()) + " after " + std::to_string(least.value()));
  newest_read_ = std::max(newest_read_, shown);
}

void Operators::check_at_end() {
  auto metadata = latest(world_);
  if (!metadata)
    return world_.fail("no controller came back");
  check_log(*metadata);
  if (winners_.size() < kMinAcknowledged)
    world_.fail("too few orders were acknowledged: " + std::to_string(winners_.size()));
  if (slowest_ > kOperatorRequestTimeout + kAnswerMargin)
    world_.fail("an answer took " + std::to_string(slowest_.count()) + " ms");
}

/// The log holds each acknowledged order, none that was refused, and one for each base.
void Operators::check_log(const Metadata& metadata) {
  std::set<Revision> bases;
  for (const auto& taken : metadata.applied_configurations)
    if (!bases.insert(taken.base).second)
      world_.fail("two orders were applied on " + std::to_string(taken.base.value()));
  for (const auto& order : orders_) {
    bool taken = metadata.epoch_of_commit(order->commit_id()).has_value();
    if (order->acknowledged && !taken)
      world_.fail(order->name() + " was acknowledged and is lost");
    if (order->refused && taken && !order->early)
      world_.fail(order->name() + " was refused and is in force");
  }
}

void cut_one_way(World& world, const std::string& name, bool outward) {
  for (const auto& other : world.names(Kind::controller)) {
    if (outward)
      world.cut(name, other);
    else
      world.cut(other, name);
  }
}

/// Cuts off, freezes, kills or slows one controller for a while, whatever it is doing.
void inject_controller_fault(ScenarioRun& run) {
  auto& world = run.world;
  auto name = run.any(Kind::controller);
  auto start = [&world, name] {
    world.start(name);
  };
  auto heal_later = [&world] {
    world.at(world.now() + 100ms + world.below(6000ms), [&world] { world.heal(); });
  };
  switch (world.next_random() % 7) {
    case 0:
      world.isolate(name);
      return heal_later();
    case 1:
      cut_one_way(world, name, true);
      return heal_later();
    case 2:
      cut_one_way(world, name, false);
      return heal_later();
    case 3:
      world.freeze(name);
      return world.at(world.now() + 100ms + world.below(4000ms), [&world, name] { world.wake(name); });
    case 4:
      world.kill(name);
      return world.at(world.now() + world.below(3000ms), start);
    case 5:
      world.power_off(name);
      return world.at(world.now() + world.below(3000ms), start);
    default:
      world.node(name).disk.slow = world.below(300ms);
      return world.at(world.now() + world.below(3000ms), [&world, name] { world.node(name).disk.slow = {}; });
  }
}

/// Ends all faults: cut links, frozen, slow or stopped controllers.
void recover_controllers(World& world) {
  world.heal();
  world.net.loss = 0;
  world.net.twice = 0;
  for (const auto& name : world.names(Kind::controller)) {
    world.wake(name);
    world.node(name).disk.slow = {};
    if (!world.node(name).machine)
      world.start(name);
  }
}

/// Sends several orders on one base, PUT and PATCH mixed.
void send_rivals(World& world, Operators& operators, Revision base) {
  auto rivals = 1 + world.next_random() % kMaxRivals;
  for (uint64_t i = 0; i < rivals; ++i) {
    auto patch = world.chance(0.5);
    auto valid = !world.chance(kInvalidOrder);
    auto delay = world.below(700ms);
    world.at(world.now() + delay,
             [&operators, base, patch, valid] { operators.send(operators.make_order(base, patch, valid)); });
  }
}

void send_early_order(World& world, Operators& operators, Revision base) {
  Revision guess{base.value() + 1 + world.next_random() % kRevisionGuesses};
  auto order = operators.make_order(guess, false);
  order->early = true;
  operators.send(order);
}

}  // namespace

/// Up to eight concurrent orders on one base, with lost answers and late or repeated requests, while controllers fail.
void orders(ScenarioRun& run) {
  auto& world = run.world;
  run.closed = true;
  world.run(2000ms);
  Operators operators(run);
  world.net.loss = world.chance(0.5) ? 0.02 : 0;
  world.net.twice = world.chance(0.5) ? 0.05 : 0;
  auto end = world.now() + 60000ms;
  auto next_fault = world.now() + world.below(2000ms);
  while (world.now() < end) {
    auto newest = latest(world);
    if (!newest) {
      world.run(500ms);
      continue;
    }
    send_rivals(world, operators, newest->revision);
    if (world.chance(kEarlyOrder))
      send_early_order(world, operators, newest->revision);
    if (world.now() >= next_fault) {
      inject_controller_fault(run);
      next_fault = world.now() + 500ms + world.below(5000ms);
    }
    world.run(300ms + world.below(1500ms));
    operators.read();
  }
  recover_controllers(world);
  world.run(20000ms);
  operators.check_at_end();
  // No caller is served, since the operators' configurations remove the initial cell.
  run.callers.totals.successes += operators.acknowledged();
  run.callers.totals.refusals += operators.refused();
  run.callers.totals.unknowns += operators.unknown();
}

}  // namespace mosskeel::sim
