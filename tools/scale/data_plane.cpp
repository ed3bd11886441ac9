// Experiments of the data plane: conversations through gateways and stores, and what stores hold.
#include <algorithm>
#include <ctime>

#include "history/constants.hpp"
#include "scale/experiments.hpp"
#include "scale/simulated_fleet.hpp"

namespace mosskeel::scale {
namespace {

/// Chunks of a turn's output.
constexpr int kChunkCount = 8;
/// Between two chunks.
constexpr Duration kChunkInterval = 30ms;
/// Virtual time; conversations that take longer have failed.
constexpr Duration kConversationTimeout = 600000ms;
/// The figures are of so many turns at a conversation's end.
constexpr size_t kMeasuredTurns = 5;

std::string random_text(size_t bytes, uint64_t seed) {
  std::string text;
  while (text.size() < bytes)
    text += hex(digest("text", seed + text.size()));
  return text.substr(0, bytes);
}

/// The callers and the replicas of one fleet: each program sends its turns one after the other.
class ConversationDriver {
 public:
  ConversationDriver(SimulatedFleet& fleet, int programs)
      : fleet_(fleet),
        gateways_(fleet.indices_of(ProcessKind::gateway)),
        completed_turns_(static_cast<size_t>(programs)) {
    fleet.on_local_message = [this](SimulatedProcess&, const Envelope& message) {
      if (auto* response = std::get_if<ProgramResponse>(&message.body))
        handle_response(*response);
    };
    fleet.on_replica_message = [this](SimulatedProcess& gateway, const Envelope& message) {
      auto index = static_cast<size_t>(&gateway - fleet_.processes().data());
      if (auto* call = std::get_if<ReplicaCall>(&message.body))
        serve(index, *call);
    };
  }

  /// Lets each program go on until it has so many turns, or until anything fails.
  void run_to(size_t turns) {
    target_turns_ = turns;
    for (size_t program = 0; program < completed_turns_.size(); ++program) {
      if (completed_turns_[program] < turns)
        request_turn(program);
    }
    fleet_.run_until(kConversationTimeout, [&] { return !fleet_.failures.empty() || all_done(); });
  }

  /// Bytes of the bodies that the replicas were sent.
  uint64_t replica_request_bytes = 0;

 private:
  bool all_done() const {
    return std::all_of(completed_turns_.begin(), completed_turns_.end(),
                       [&](size_t turns) { return turns >= target_turns_; });
  }

  void request_turn(size_t program) {
    ProgramRequest request{};
    request.attempt = std::to_string(program) + "-" + std::to_string(completed_turns_[program]);
    request.cell = "tenant-10000";
    request.route = "chat";
    request.program = "program-" + std::to_string(program);
    request.thread = "main";
    request.kind = "model";
    request.method = "POST";
    request.body = random_text(kTurnInputBytes, program);
    Envelope message{};
    message.from = "local:" + request.attempt;
    message.body = request;
    fleet_.deliver_locally(gateways_[program % gateways_.size()], std::move(message));
  }

  void handle_response(const ProgramResponse& response) {
    if (response.status != 200) {
      fleet_.failures.push_back(std::to_string(response.status) + " " + response.reason);
      return;
    }
    // An attempt is called "PROGRAM-TURN".
    auto program = static_cast<size_t>(std::stoul(response.attempt));
    ++completed_turns_[program];
    if (completed_turns_[program] < target_turns_)
      request_turn(program);
  }

  /// Answers a call as a replica does, in chunks.
  void serve(size_t gateway, const ReplicaCall& call) {
    replica_request_bytes += call.body.size();
    constexpr uint64_t chunk_tokens = kTurnOutputTokens / kChunkCount;
    std::string output;
    for (int number = 0; number < kChunkCount; ++number) {
      auto text = random_text(kTurnOutputBytes / kChunkCount, static_cast<uint64_t>(number));
      output += text;
      reply(gateway, number,
            ReplicaCallChunk{
                .attempt = call.attempt, .index = static_cast<uint32_t>(number), .text = text, .tokens = chunk_tokens});
    }
    reply(gateway, kChunkCount,
          ReplicaCallResponse{.attempt = call.attempt,
                              .request_sent = true,
                              .status = 200,
                              .complete = true,
                              .chunks = kChunkCount,
                              .tokens = chunk_tokens * kChunkCount,
                              .checksum = digest(output),
                              .body = "",
                              .reason = ""});
  }

  void reply(size_t gateway, int number, Message body) {
    auto when = fleet_.now() + kChunkInterval * (number + 1);
    fleet_.schedule(when, [this, gateway, body = std::move(body)] {
      Envelope message{};
      message.from = "replica:";
      message.body = body;
      fleet_.deliver_locally(gateway, std::move(message));
    });
  }

  SimulatedFleet& fleet_;
  std::vector<size_t> gateways_;
  /// By program.
  std::vector<size_t> completed_turns_;
  size_t target_turns_ = 0;
};

Plan small_plan() {
  Plan plan;
  plan.daemons = 6;
  plan.replicas = 4;
  plan.paths = 1;
  plan.cells = 1;
  plan.services = 1;
  plan.zones = 3;
  return plan;
}

bool is_background(const std::string& kind) {
  return kind.starts_with("heartbeat") || kind.starts_with("stream-partition") ||
         kind.starts_with("partition-checksum") || kind.starts_with("list-histories");
}

/// What all processes of a kind did for one turn.
void add_turn_cost(Measurement& measurement, const SimulatedFleet& fleet, ProcessKind kind, double turns) {
  auto counters = fleet.sum(kind);
  std::string prefix = name(kind);
  Traffic sent;
  for (const auto& [message_kind, traffic] : counters.sent) {
    if (is_background(message_kind))
      continue;
    sent += traffic;
    measurement.counts[prefix + "." + message_kind + ".msg"] = static_cast<double>(traffic.messages) / turns;
    measurement.counts[prefix + "." + message_kind + ".byte"] = static_cast<double>(traffic.bytes) / turns;
  }
  measurement.counts[prefix + ".out.msg"] = static_cast<double>(sent.messages) / turns;
  measurement.counts[prefix + ".out.byte"] = static_cast<double>(sent.bytes) / turns;
  measurement.counts[prefix + ".journal.byte"] = static_cast<double>(counters.journal_bytes) / turns;
  measurement.counts[prefix + ".syncs"] = static_cast<double>(counters.syncs) / turns;
  measurement.counts[prefix + ".checkpoint.byte"] = static_cast<double>(counters.checkpoint_bytes) / turns;
  measurement.times[prefix + ".ms"] = static_cast<double>(counters.cpu_nanoseconds) / 1e6 / turns;
}

/// A history of so many turns, each with its reservation and its outcome.
History make_history(int number, int turns) {
  History history{.term = Epoch{1}, .records = {}, .written_at = {}};
  for (int turn = 0; turn < turns; ++turn) {
    Record reservation{.kind = RecordKind::reservation,
                       .key = std::to_string(number) + "-" + std::to_string(turn),
                       .thread = "main",
                       .body_digest = 1,
                       .tokens = 8192,
                       .turn = static_cast<uint32_t>(turn),
                       .status = 0,
                       .runner = DaemonId{4},
                       .retention_ms = 3600000,
                       .input = random_text(kTurnInputBytes, 1),
                       .output = "",
                       .parent = ""};
    auto outcome = reservation;
    outcome.kind = RecordKind::outcome;
    outcome.tokens = kTurnOutputTokens;
    outcome.status = 200;
    outcome.input = "";
    outcome.output = random_text(kTurnOutputBytes, 2);
    history.records.push_back(std::move(reservation));
    history.records.push_back(std::move(outcome));
  }
  return history;
}

StoredPartitions make_partitions(int histories, int turns) {
  StoredPartitions partitions;
  for (int number = 0; number < histories; ++number) {
    HistoryName history_name{.cell = "tenant-10000", .program = "program-" + std::to_string(number)};
    auto partition = partition_of(history_name.cell, history_name.program);
    partitions[partition].histories[history_name] = make_history(number, turns);
  }
  return partitions;
}

void measure_checkpoints(Measurement& measurement, const StoreMachine& store) {
  constexpr int repetitions = 3;
  auto bytes = store.checkpoint().size();
  auto begun = clock();
  for (int repetition = 0; repetition < repetitions; ++repetition)
    store.checkpoint();
  auto seconds = static_cast<double>(clock() - begun) / CLOCKS_PER_SEC;
  measurement.times["checkpoint.ms"] = seconds * 1e3 / repetitions;
  measurement.counts["checkpoint.byte"] = static_cast<double>(bytes);
  measurement.counts["histories"] = static_cast<double>(store.history_count());
}

}  // namespace

Measurement conversations(int programs, int turns, uint64_t seed, double size) {
  Measurement measurement{.experiment = "conversation", .size = size, .seed = seed, .counts = {}, .times = {}};
  SimulatedFleet fleet(small_plan(), seed);
  fleet.run_until(kConversationTimeout, [&] { return fleet.all_gateways_ready(); });
  ConversationDriver driver(fleet, programs);
  auto all_turns = static_cast<size_t>(turns);
  auto turns_before = all_turns - std::min(all_turns, kMeasuredTurns);
  if (turns_before > 0)
    driver.run_to(turns_before);
  fleet.run(kStoreRetryInterval);
  fleet.reset_counters();
  driver.replica_request_bytes = 0;
  auto begun = fleet.now();
  driver.run_to(all_turns);
  auto turns_each = static_cast<double>(all_turns - turns_before);
  auto measured = turns_each * programs;
  for (auto kind : {ProcessKind::gateway, ProcessKind::store})
    add_turn_cost(measurement, fleet, kind, measured);
  measurement.counts["replica.ask.byte"] = static_cast<double>(driver.replica_request_bytes) / measured;
  measurement.counts["turn.ms"] = as_milliseconds(fleet.now() - begun) / turns_each;
  add_failures(measurement, fleet);
  return measurement;
}

Measurement stored_histories(int histories, int turns, uint64_t seed, double size) {
  Measurement measurement{.experiment = "histories", .size = size, .seed = seed, .counts = {}, .times = {}};
  SimulatedFleet fleet(small_plan(), seed, make_partitions(histories, turns));
  fleet.run(kRepairMinimumAge * 2);
  fleet.reset_counters();
  fleet.run(kRepairMinimumAge);
  auto counters = fleet.sum(ProcessKind::store);
  auto store_seconds = static_cast<double>(fleet.indices_of(ProcessKind::store).size()) * as_seconds(kRepairMinimumAge);
  measurement.times["store.core_percent"] = static_cast<double>(counters.cpu_nanoseconds) / 1e7 / store_seconds;
  measurement.counts["store.out.byte"] = static_cast<double>(total(counters.sent).bytes) / store_seconds;
  auto& store = fleet.process(ProcessKind::store, 0);
  measure_checkpoints(measurement, static_cast<const StoreMachine&>(*store.machine));
  return measurement;
}

}  // namespace mosskeel::scale
