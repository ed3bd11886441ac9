// Simulated replicas and the checks at the replica, where it is known what really runs and when.
#include <nlohmann/json.hpp>

#include "metadata/constants.hpp"
#include "programs/constants.hpp"
#include "simulation/callers.hpp"

namespace mosskeel::sim {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kReplicaPrefix = "replica:";
/// Upper bound of the random delay of a call to its replica.
constexpr Duration kMaxCallDelay = 15ms;
/// Minimum time for an answer or chunk, to which a random part is added.
constexpr Duration kMinWork = 5ms;
constexpr Duration kAppWork = 20ms;
/// A draining replica must get no new calls after `kDrainLimit`, a replica in an evacuated zone after
/// `kEvacuationLimit`.
constexpr Duration kDrainLimit = 3000ms;
constexpr Duration kEvacuationLimit = 5000ms;
/// Calls dispatched before the replica was marked cold may still arrive for this long.
constexpr Duration kWarmingGrace = 2000ms;
/// Turns that may run on a cold replica beyond what its ramp allows.
constexpr int64_t kTurnsAboveRamp = 2;
constexpr uint32_t kMinChunks = 3;
/// A response has fewer than this many chunks beyond `kMinChunks`.
constexpr uint64_t kChunkVariation = 5;
/// Probability that a call to a faulty application fails, and that the failure is a reset.
constexpr double kBrokenAppCalls = 0.3;
constexpr double kResetsAmongBroken = 0.5;

ReplicaCallResponse reset_response(const std::string& attempt, bool request_sent, const std::string& reason) {
  return {attempt, request_sent, 0, false, 0, 0, 0, "", reason};
}

/// A response whose head arrived but whose seal did not.
ReplicaCallResponse unsealed_response(const std::string& attempt, uint32_t chunks, const std::string& text,
                                      const std::string& reason) {
  return {attempt, true, kStatusOk, false, chunks, chunks, chunks ? digest(text) : 0, "", reason};
}

ReplicaCallResponse sealed_response(const std::string& attempt, uint32_t chunks, uint64_t checksum) {
  return {attempt, true, kStatusOk, true, chunks, chunks, checksum, "", ""};
}

}  // namespace

void Callers::handle_replica_call(const Node& gateway, const Envelope& envelope) {
  auto name = envelope.to.substr(kReplicaPrefix.size());
  auto& replica = replicas[name];
  if (const auto* cancelled = std::get_if<CancelReplicaCall>(&envelope.body)) {
    replica.cancelled.insert(cancelled->attempt);
    return;
  }
  const auto* call = std::get_if<ReplicaCall>(&envelope.body);
  if (!call)
    return;
  auto arrival = world_.now() + 1ms + world_.below(kMaxCallDelay);
  world_.at(arrival, [this, gateway = gateway.name, process_id = gateway.process_id, name, call = *call] {
    start_call(gateway, process_id, name, call);
  });
}

/// A call has arrived at its replica. The drain limits are checked at this moment.
void Callers::start_call(const std::string& gateway, uint64_t process_id, const std::string& name,
                         const ReplicaCall& call) {
  auto& replica = replicas[name];
  if (!replica.up)
    return respond(gateway, process_id, 1ms, reset_response(call.attempt, false, "refused"));
  check_drain_limits(replica);
  if (replica.kind == "app")
    run_app_call(replica, gateway, process_id, call);
  else
    run_model_call(replica, gateway, process_id, call);
}

/// Delivers a response to the gateway process that made the call, if it still runs.
void Callers::respond(const std::string& gateway, uint64_t process_id, Duration delay,
                      const ReplicaCallResponse& response) {
  world_.at(world_.now() + delay, [this, gateway, process_id, response] {
    const auto& node = world_.node(gateway);
    if (node.process_id != process_id || !node.machine)
      return;
    Envelope envelope{};
    envelope.from = kReplicaPrefix;
    envelope.body = response;
    world_.post(gateway, std::move(envelope));
  });
}

void Callers::check_drain_limits(const SimReplica& replica) {
  auto now = world_.now();
  if (replica.draining_since != TimePoint{} && now > replica.draining_since + kDrainLimit)
    world_.fail("a draining replica received a call " + std::to_string((now - replica.draining_since).count()) +
                " ms after it was marked");
  if (replica.evacuated_since != TimePoint{} && now > replica.evacuated_since + kEvacuationLimit)
    world_.fail("a replica in an evacuated zone received a call after " +
                std::to_string((now - replica.evacuated_since).count()) + " ms");
}

void Callers::run_app_call(SimReplica& replica, const std::string& gateway, uint64_t process_id,
                           const ReplicaCall& call) {
  constexpr size_t after_scheme = 7;
  constexpr size_t broken_size = 3;
  auto path = call.url.substr(call.url.find('/', after_scheme));
  auto body = call.method + " " + path;
  if (call.method == "POST")
    note_count_run(path);
  bool broken = replica.fault_every && world_.chance(kBrokenAppCalls);
  bool reset = broken && world_.chance(kResetsAmongBroken);
  auto delay = kMinWork + world_.below(kAppWork);
  if (reset)
    return respond(gateway, process_id, delay, reset_response(call.attempt, true, "reset after the work"));
  auto sent = broken ? body.substr(0, broken_size) : body;
  respond(gateway, process_id, delay, {call.attempt, true, kStatusOk, !broken, 0, 0, digest(body), sent, ""});
}

void Callers::note_count_run(const std::string& path) {
  if (++runs_["count" + path] > 1)
    world_.fail("counted twice: " + path);
  auto found = counts_.find(path);
  if (found == counts_.end())
    return;
  const auto& count = *found->second;
  if (count.done && count.sure_not_run && !count.success)
    world_.fail("counted after it was rejected as not executed: " + path);
}

void Callers::run_model_call(SimReplica& replica, const std::string& gateway, uint64_t process_id,
                             const ReplicaCall& call) {
  auto body = Json::parse(call.body);
  auto model_call = std::make_shared<ModelCall>();
  model_call->gateway = gateway;
  model_call->process_id = process_id;
  model_call->replica = replica.name;
  model_call->program = body["program"].get<std::string>();
  model_call->key = body["key"].get<std::string>();
  model_call->call = call;
  check_runs_once(*model_call);
  check_chain(model_call->program, body["thread"].get<std::string>(), call.body);
  ++replica.running;
  check_load(replica, gateway);
  bool faulty = replica.fault_every && world_.next_random() % static_cast<uint64_t>(replica.fault_every) == 0;
  if (faulty)
    model_call->fault = replica.fault;
  model_call->chunk_count = kMinChunks + static_cast<uint32_t>(world_.below(kChunkVariation));
  schedule_chunk(model_call);
}

void Callers::check_runs_once(const ModelCall& call) {
  auto name = turn_name(call.program, call.key);
  if (++runs_[name] > 1)
    world_.fail("ran twice: " + name);
  for (const auto& turn : turns_[call.program])
    if (turn->key == call.key && turn->done && turn->sure_not_run)
      world_.fail("ran after it was rejected as not executed: " + name);
}

/// The chain passed to a model must hold all successful turns of the thread in order.
void Callers::check_chain(const std::string& program, const std::string& thread, const std::string& body) {
  auto request = Json::parse(body);
  std::vector<std::string> chain;
  for (const auto& link : request["chain"])
    chain.push_back(link["input"].get<std::string>() + "=" + link["output"].get<std::string>());
  size_t position = 0;
  for (const auto& turn : turns_[program]) {
    if (turn->thread != thread || !turn->success)
      continue;
    auto wanted = turn->input + "=" + turn->output;
    while (position < chain.size() && chain[position] != wanted)
      ++position;
    if (position == chain.size())
      return world_.fail("chain of " + program + "/" + thread + " misses " + turn->key + " or its order");
    ++position;
  }
}

/// A cold replica gets as many turns as its ramp allows, from few gateways. A warm one gets at most 1.5 times its
/// capacity, since gateways learn of each other's load with a delay.
void Callers::check_load(SimReplica& replica, const std::string& gateway) {
  auto cold_for = world_.now() - replica.cold_since;
  bool is_cold = replica.cold_since != TimePoint{};
  if (is_cold && cold_for > kWarmingGrace) {
    auto allowed = kTurnsAboveRamp + cold_for.count() * kDefaultReplicaCapacity / kSlowStartDuration.count();
    if (replica.running > allowed)
      world_.fail("cold " + replica.name + " is overloaded: " + std::to_string(replica.running) + " turns " +
                  std::to_string(cold_for.count()) + " ms after it was marked");
    ++replica.calls_while_cold[gateway];
    if (replica.calls_while_cold.size() > kGatewaysPerColdReplica)
      world_.fail("cold " + replica.name + " receives calls from " + std::to_string(replica.calls_while_cold.size()) +
                  " gateways");
  }
  if (!is_cold && replica.running > static_cast<int>(kDefaultReplicaCapacity) * 3 / 2)
    world_.fail(replica.name + " runs " + std::to_string(replica.running) + " turns on " +
                std::to_string(kDefaultReplicaCapacity) + " places");
}

void Callers::schedule_chunk(const std::shared_ptr<ModelCall>& call) {
  world_.at(world_.now() + kMinWork + world_.below(settings.chunk_time), [=, this] { run_chunk(call); });
}

/// Sends the next chunk or ends the call, depending on the injected fault.
void Callers::run_chunk(const std::shared_ptr<ModelCall>& call) {
  auto& replica = replicas[call->replica];
  const auto& node = world_.node(call->gateway);
  const auto& attempt = call->call.attempt;
  bool caller_runs = node.process_id == call->process_id && node.machine;
  if (!caller_runs || replica.cancelled.count(attempt)) {
    --replica.running;
    return;
  }
  if (!replica.up)
    return finish(*call, reset_response(attempt, true, "reset"));
  if (call->fault == ReplicaFault::stall) {
    --replica.running;
    return;
  }
  bool half_way = call->next_chunk == call->chunk_count / 2;
  bool at_end = call->next_chunk == call->chunk_count;
  if ((call->fault == ReplicaFault::cut && half_way) || (call->fault == ReplicaFault::lost && at_end))
    return finish(*call, unsealed_response(attempt, 0, "", "reset"));
  if (at_end)
    return end_model_call(*call);
  count_token(call->program);
  auto text = call->key + "." + std::to_string(call->next_chunk) + " ";
  bool skips = call->fault == ReplicaFault::skip && half_way;
  post_to_gateway(*call, ReplicaCallChunk{attempt, call->next_chunk + (skips ? 1 : 0), text, 1});
  ++call->next_chunk;
  call->text += text;
  schedule_chunk(call);
}

void Callers::end_model_call(const ModelCall& call) {
  const auto& attempt = call.call.attempt;
  auto checksum = digest(call.text);
  if (call.fault == ReplicaFault::unsealed)
    return finish(call, unsealed_response(attempt, call.chunk_count, call.text, "no seal"));
  if (call.fault == ReplicaFault::false_seal)
    return finish(call, sealed_response(attempt, call.chunk_count, checksum + 1));
  sealed_[turn_name(call.program, call.key)] = call.text;
  finish(call, sealed_response(attempt, call.chunk_count, checksum));
}

/// Posts a message to the gateway process that made the call, which must be running.
void Callers::post_to_gateway(const ModelCall& call, Message message) {
  Envelope envelope{};
  envelope.from = kReplicaPrefix;
  envelope.body = std::move(message);
  world_.post(call.gateway, std::move(envelope));
}

void Callers::finish(const ModelCall& call, ReplicaCallResponse response) {
  --replicas[call.replica].running;
  post_to_gateway(call, std::move(response));
}

/// The budget is reserved before a turn runs, so a program may exceed it by at most one turn's tokens.
void Callers::count_token(const std::string& program) {
  auto& issued = issued_tokens_[program];
  ++issued;
  if (issued > budget_ + turn_limit_)
    world_.fail("program " + program + " got " + std::to_string(issued) + " tokens of " + std::to_string(budget_));
}

}  // namespace mosskeel::sim
