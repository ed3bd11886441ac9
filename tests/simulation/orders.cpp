// Operators race through the platform's interface while controllers are cut off, frozen, killed and slowed.
#include <algorithm>
#include <memory>

#include "control/constants.hpp"
#include "simulation/operator_request.hpp"
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

/// When an operator sends an order again that got no answer.
constexpr Duration kCallerSilence = 1000ms;
/// After so many tries an operator gives up.
constexpr int kMostOrderTries = 12;
/// How likely an answer is lost, a request is late, and a request arrives twice.
constexpr double kAnswerLost = 0.2;
constexpr double kRequestLate = 0.2;
constexpr double kRequestRepeated = 0.2;
/// How likely an order is invalid, and how likely one builds on a revision that does not yet exist.
constexpr double kInvalidOrder = 0.05;
constexpr double kEarlyOrder = 0.2;
/// Up to so many orders race on one revision.
constexpr uint64_t kMostRivals = 8;
/// An order's own revision, or an early order's base, is up to so many too high.
constexpr uint64_t kRevisionGuesses = 3;
/// An answer may take this much longer than the operator's time-out: the state machine looks at timers in steps.
constexpr Duration kAnswerMargin = 100ms;
/// With fewer acknowledged orders the day shows nothing.
constexpr size_t kFewestAcknowledged = 5;

constexpr int kHttpOk = 200;
constexpr int kHttpRedirect = 307;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;

/// One change, sent again word for word until its end is known or its operator gives up.
struct Order {
  ApiRequest request;
  Revision base;
  uint64_t number = 0;
  bool valid = true;
  /// Built on a revision that may come to be: what was too early once may be taken later.
  bool early = false;
  int tries = 0;
  bool acknowledged = false, refused = false, over = false;

  std::string name() const { return "order " + std::to_string(number); }
  /// The id under which the control protocol commits it.
  std::string commit_id() const {
    return "config-" + hex(digest(request.method + " " + std::to_string(base.value()) + "\n" + request.body));
  }
};

/// Sends orders as the platform's operator does, and checks every answer, also those that get lost on their way.
///
/// Checked: of the orders on one revision one at most is acknowledged, an acknowledged order is in the log for ever, a
/// refused one never gets in, reading back never shows an older revision, and every answer comes in time.
class Operators {
 public:
  explicit Operators(Day& day) : day_(day), world_(day.world), usual_handler_(day.world.local) {
    world_.local = [this](Node& node, const Envelope& envelope) {
      hear(node, envelope);
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
  /// One try; the next follows a failure, or a second of silence, at any controller.
  void send(std::shared_ptr<Order> order);
  /// Reads the configuration back from any controller.
  void read();
  /// Compares the log with what was answered.
  void check_at_end();

  uint64_t acknowledged() const { return acknowledged_; }
  uint64_t refused() const { return refused_; }
  uint64_t unclear() const { return unclear_; }

 private:
  void hear(Node& node, const Envelope& envelope);
  void arrive(const std::shared_ptr<Order>& order, const std::string& controller, bool is_heard);
  void hear_answer(const std::shared_ptr<Order>& order, int tried, const ApiResponse& answer);
  void retry_after(const std::shared_ptr<Order>& order, int tried, Duration wait);
  void check_answer(const std::shared_ptr<Order>& order, const ApiResponse& answer, Duration took);
  void check_acknowledged(const std::shared_ptr<Order>& order, const std::string& what);
  void check_refused(Order& order, const std::string& what, const ApiResponse& answer);
  void check_read(Revision least, const ApiResponse& answer);
  void check_log(const Metadata& metadata);
  void request(const std::string& controller, ApiRequest request, OperatorRequest::Then then);

  Day& day_;
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
  uint64_t acknowledged_ = 0, refused_ = 0, unclear_ = 0;
  Duration slowest_{};
};

void Operators::hear(Node& node, const Envelope& envelope) {
  auto session = sessions_.find(envelope.to);
  if (session == sessions_.end())
    return usual_handler_(node, envelope);
  if (const auto* reply = std::get_if<CommitReply>(&envelope.body))
    session->second->hear(*reply);
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

void Operators::request(const std::string& controller, ApiRequest request, OperatorRequest::Then then) {
  requests_.push_back(std::make_unique<OperatorRequest>(world_, controller, std::move(request), std::move(then)));
  auto& added = *requests_.back();
  sessions_[added.session()] = &added;
  added.start();
}

void Operators::send(std::shared_ptr<Order> order) {
  if (order->over)
    return;
  if (++order->tries > kMostOrderTries) {
    order->over = true;
    return;
  }
  auto controller = day_.any(Kind::controller);
  auto delay = world_.chance(kRequestLate) ? world_.below(1500ms) : world_.below(5ms);
  bool is_heard = !world_.chance(kAnswerLost);
  world_.at(world_.now() + delay, [=, this] { arrive(order, controller, is_heard); });
  if (world_.chance(kRequestRepeated))
    world_.at(world_.now() + world_.below(4000ms), [=, this] { arrive(order, day_.any(Kind::controller), false); });
  retry_after(order, order->tries, kCallerSilence);
}

/// Sends the order again after this time, unless something else has come of that try.
void Operators::retry_after(const std::shared_ptr<Order>& order, int tried, Duration wait) {
  world_.at(world_.now() + wait, [=, this] {
    if (!order->over && order->tries == tried)
      send(order);
  });
}

void Operators::arrive(const std::shared_ptr<Order>& order, const std::string& controller, bool is_heard) {
  if (!world_.node(controller).machine)
    return;
  auto tried = order->tries;
  request(controller, order->request, [=, this](const std::optional<ApiResponse>& answer, Duration took) {
    if (!answer)
      return;
    check_answer(order, *answer, took);
    if (is_heard)
      hear_answer(order, tried, *answer);
  });
}

void Operators::hear_answer(const std::shared_ptr<Order>& order, int tried, const ApiResponse& answer) {
  if (order->over)
    return;
  if (answer.status < kHttpServerError && answer.status != kHttpRedirect) {
    order->over = true;
    return;
  }
  retry_after(order, tried, 50ms + world_.below(200ms));
}

/// Whatever a controller says is its word, whether it reaches the operator or not.
void Operators::check_answer(const std::shared_ptr<Order>& order, const ApiResponse& answer, Duration took) {
  auto what = order->name() + " on " + std::to_string(order->base.value());
  slowest_ = std::max(slowest_, took);
  if (answer.status == kHttpOk)
    check_acknowledged(order, what);
  else if (answer.status == kHttpBadRequest || answer.status == kHttpPreconditionFailed)
    check_refused(*order, what, answer);
  else if (answer.status == kHttpUnavailable || answer.status == kHttpRedirect)
    ++unclear_;
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
    world_.fail(what + " was acknowledged beside " + winner->second->name());
}

void Operators::check_refused(Order& order, const std::string& what, const ApiResponse& answer) {
  ++refused_;
  if (order.acknowledged)
    world_.fail(what + " was refused after it was acknowledged: " + answer.body);
  if (order.valid && answer.status == kHttpBadRequest)
    world_.fail(what + " is valid and was called invalid: " + answer.body);
  order.refused = true;
}

/// What is read back is not older than what had been read or acknowledged before the reading.
void Operators::read() {
  auto least = newest_read_;
  for (const auto& [base, order] : winners_)
    least = std::max(least, Revision{base.value() + 1});
  auto controller = day_.any(Kind::controller);
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
  if (winners_.size() < kFewestAcknowledged)
    world_.fail("hardly an order was acknowledged: " + std::to_string(winners_.size()));
  if (slowest_ > kOperatorRequestTimeout + kAnswerMargin)
    world_.fail("an answer took " + std::to_string(slowest_.count()) + " ms");
}

/// The log holds each acknowledged order, none that was refused, and one for each base.
void Operators::check_log(const Metadata& metadata) {
  std::set<Revision> bases;
  for (const auto& taken : metadata.applied_configurations)
    if (!bases.insert(taken.base).second)
      world_.fail("two orders were taken on " + std::to_string(taken.base.value()));
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

/// Cuts, freezes, kills or slows one controller for a while, at any point of what is under way.
void disturb_controller(Day& day) {
  auto& world = day.world;
  auto name = day.any(Kind::controller);
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

/// Brings back whatever is cut, frozen or down.
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

/// Several orders on one base, PUT and PATCH mixed.
void send_rivals(World& world, Operators& operators, Revision base) {
  auto rivals = 1 + world.next_random() % kMostRivals;
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

/// Up to eight orders at once on one base, their answers lost, late and doubled, while controllers are in trouble.
void orders(Day& day) {
  auto& world = day.world;
  day.closed = true;
  world.run(2000ms);
  Operators operators(day);
  world.net.loss = world.chance(0.5) ? 0.02 : 0;
  world.net.twice = world.chance(0.5) ? 0.05 : 0;
  auto end = world.now() + 60000ms;
  auto next_trouble = world.now() + world.below(2000ms);
  while (world.now() < end) {
    auto newest = latest(world);
    if (!newest) {
      world.run(500ms);
      continue;
    }
    send_rivals(world, operators, newest->revision);
    if (world.chance(kEarlyOrder))
      send_early_order(world, operators, newest->revision);
    if (world.now() >= next_trouble) {
      disturb_controller(day);
      next_trouble = world.now() + 500ms + world.below(5000ms);
    }
    world.run(300ms + world.below(1500ms));
    operators.read();
  }
  recover_controllers(world);
  world.run(20000ms);
  operators.check_at_end();
  // No caller is served: the operators' configurations take the introduced cell away.
  day.callers.totals.successes += operators.acknowledged();
  day.callers.totals.refusals += operators.refused();
  day.callers.totals.unknowns += operators.unclear();
}

}  // namespace mosskeel::sim
