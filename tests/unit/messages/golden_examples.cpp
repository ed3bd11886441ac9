// The examples are built with designated initializers, so that each field gets its value by name. Numbers and texts are
// distinct within an example; any two flags of a struct differ in at least one example.
#include "unit/messages/golden_examples.hpp"

namespace mosskeel::golden {
namespace {

/// The daemon protocol revision of the golden messages. A literal, since they are readable only under this revision.
constexpr uint16_t kGoldenProtocol = 2;

std::string text(const char* prefix, uint64_t base) {
  return prefix + std::string("-") + std::to_string(base);
}

DaemonInfo candidate(uint64_t base, Role role) {
  return {.incarnation = Incarnation{base + 1},
          .role = role,
          .zone = text("zone", base),
          .address = text("address", base),
          .agent_address = text("agent", base),
          .http_address = text("http", base),
          .machine = text("machine", base)};
}

Ballot ballot(uint64_t base) {
  return {.round = base + 1, .proposer = base + 2};
}

Entry entry(uint64_t base) {
  return {.epoch = Epoch{base + 1},
          .commit_id = text("commit", base),
          .change = CancelSequence{.node = DaemonId{base + 2}, .reason = text("reason", base)}};
}

HistoryName history_name(uint64_t base) {
  return {.cell = text("cell", base), .program = text("program", base)};
}

Record record(uint64_t base, RecordKind kind) {
  return {.kind = kind,
          .key = text("key", base),
          .thread = text("thread", base),
          .body_digest = base + 1,
          .tokens = base + 2,
          .turn = static_cast<uint32_t>(base + 3),
          .status = static_cast<uint32_t>(base + 4),
          .runner = DaemonId{base + 5},
          .retention_ms = static_cast<int64_t>(base + 6),
          .input = text("input", base),
          .output = text("output", base),
          .parent = text("parent", base)};
}

Records records(uint64_t base) {
  return {record(base + 100, RecordKind::reservation), record(base + 200, RecordKind::outcome),
          record(base + 300, RecordKind::ended)};
}

HistoryCopy history_copy(uint64_t base) {
  return {.history = history_name(base), .history_term = Epoch{base + 1}, .records = records(base)};
}

std::vector<HistoryCopy> history_copies(uint64_t base) {
  return {history_copy(base + 1000), history_copy(base + 2000)};
}

Replica replica(uint64_t base, ReplicaHealth health) {
  return {.name = text("replica", base),
          .kind = text("kind", base),
          .zone = text("replica-zone", base),
          .url = text("url", base),
          .health = health,
          .since = Epoch{base + 1},
          .capacity = static_cast<uint32_t>(base + 2),
          .service = text("service", base),
          .warm_up_ms = static_cast<int64_t>(base + 3)};
}

Daemon daemon(uint64_t base, Role role, DaemonState state) {
  return {.id = DaemonId{base + 11}, .self = candidate(base, role), .state = state, .since = Epoch{base + 12}};
}

Directory directory(uint64_t base) {
  Directory daemons;
  daemons[DaemonId{base + 13}] = daemon(base, Role::controller, DaemonState::registered);
  daemons[DaemonId{base + 113}] = daemon(base + 100, Role::gateway, DaemonState::up);
  daemons[DaemonId{base + 213}] = daemon(base + 200, Role::store, DaemonState::draining);
  daemons[DaemonId{base + 313}] = daemon(base + 300, Role::gateway, DaemonState::down);
  daemons[DaemonId{base + 413}] = daemon(base + 400, Role::store, DaemonState::left);
  return daemons;
}

Replicas replicas(uint64_t base) {
  Replicas by_name;
  by_name[text("name", base)] = replica(base, ReplicaHealth::warming_up);
  by_name[text("name", base + 10)] = replica(base + 10, ReplicaHealth::ready);
  by_name[text("name", base + 20)] = replica(base + 20, ReplicaHealth::draining);
  return by_name;
}

Partition partition(uint64_t base) {
  return {.owner = DaemonId{base + 1},
          .term = Epoch{base + 2},
          .stores = {DaemonId{base + 3}, DaemonId{base + 4}},
          .pending_stores = {DaemonId{base + 5}, DaemonId{base + 6}},
          .stores_epoch = Epoch{base + 7}};
}

PartitionMove partition_move(uint64_t base) {
  return {.partition = PartitionId{static_cast<uint32_t>(base + 1)},
          .owner = DaemonId{base + 2},
          .stores = {DaemonId{base + 3}, DaemonId{base + 4}}};
}

Sequence sequence(uint64_t base, SequenceKind kind, SequenceStep next_step) {
  return {.node = DaemonId{base + 1},
          .kind = kind,
          .next_step = next_step,
          .started_epoch = Epoch{base + 2},
          .last_step_epoch = Epoch{base + 3},
          .moves = {partition_move(base + 10), partition_move(base + 20)}};
}

Sequences sequences(uint64_t base) {
  Sequences by_daemon;
  by_daemon[DaemonId{base + 9}] = sequence(base, SequenceKind::join, SequenceStep::start);
  by_daemon[DaemonId{base + 109}] = sequence(base + 100, SequenceKind::drain, SequenceStep::mid);
  by_daemon[DaemonId{base + 209}] = sequence(base + 200, SequenceKind::repair, SequenceStep::finish);
  return by_daemon;
}

Route route(uint64_t base) {
  return {.name = text("route", base),
          .kind = text("route-kind", base),
          .replicas = {text("first-replica", base), text("second-replica", base)}};
}

Cell cell(uint64_t base) {
  return {.name = text("configured-cell", base),
          .budget = base + 1,
          .turn_limit = base + 2,
          .retention_ms = static_cast<int64_t>(base + 3),
          .routes = {route(base + 10), route(base + 20)}};
}

Share share(uint64_t base) {
  return {.service = text("share-service", base), .weight = static_cast<uint32_t>(base + 1)};
}

Path path(uint64_t base, bool kept, bool sticky, bool resumable) {
  return {.name = text("path", base),
          .host = text("host", base),
          .prefix = text("prefix", base),
          .kind = text("path-kind", base),
          .timeout_ms = static_cast<int64_t>(base + 1),
          .target_ms = static_cast<int64_t>(base + 2),
          .rank = static_cast<uint32_t>(base + 3),
          .attempts = static_cast<uint32_t>(base + 4),
          .kept = kept,
          .retention_ms = static_cast<int64_t>(base + 5),
          .sticky = sticky,
          .resumable = resumable,
          .gap_ms = static_cast<int64_t>(base + 6),
          .shares = {share(base + 10), share(base + 20)}};
}

Service service(uint64_t base, double cold_per_s) {
  return {.name = text("configured-service", base),
          .health_path = text("health-path", base),
          .sessions = static_cast<uint32_t>(base + 1),
          .cold_ms = static_cast<int64_t>(base + 2),
          .cold_per_s = cold_per_s,
          .slots = static_cast<uint32_t>(base + 3),
          .cache_tokens = base + 4,
          .event_tokens = static_cast<uint32_t>(base + 5)};
}

Configuration configuration(uint64_t base) {
  return {.cells = {cell(base + 100), cell(base + 200)},
          .paths = {path(base + 300, false, true, true), path(base + 400, true, false, true),
                    path(base + 500, true, true, false)},
          .services = {service(base + 600, 0.75), service(base + 700, 2.5)},
          .callers = {.head_bytes = static_cast<uint32_t>(base + 1),
                      .body_bytes = static_cast<uint32_t>(base + 2),
                      .head_ms = static_cast<int64_t>(base + 3),
                      .idle_ms = static_cast<int64_t>(base + 4)},
          .document = text("document", base)};
}

Metadata metadata(uint64_t base) {
  return {
      .epoch = Epoch{base + 1},
      .cluster = 0xfedcba9876543210,
      .core_size = static_cast<uint32_t>(base + 2),
      .generation = base + 3,
      .members = {DaemonId{base + 4}, DaemonId{base + 5}},
      .directory = directory(base + 1000),
      .next_id = base + 6,
      .replicas = replicas(base + 2000),
      .partitions = {partition(base + 2100), partition(base + 2200)},
      .locks = {{PartitionId{static_cast<uint32_t>(base + 7)}, DaemonId{base + 8}},
                {PartitionId{static_cast<uint32_t>(base + 9)}, DaemonId{base + 10}}},
      .sequences = sequences(base + 3000),
      .revision = Revision{base + 11},
      .configuration = configuration(base + 4000),
      .evacuated = {text("evacuated-a", base), text("evacuated-b", base)},
      .applied_commits = {{.id = text("remembered-a", base), .epoch = Epoch{base + 12}},
                          {.id = text("remembered-b", base), .epoch = Epoch{base + 13}}},
      .former_clusters = {base + 14, base + 15},
      .quorum_members = {DaemonId{base + 16}, DaemonId{base + 17}},
      .incoming_quorum_members = {DaemonId{base + 18}, DaemonId{base + 19}},
      .quorum_change_epoch = Epoch{base + 20},
      .max_core_size = static_cast<uint32_t>(base + 21),
      .configured_replication_factor = static_cast<uint32_t>(base + 22),
      .applied_configurations = {{.base = Revision{base + 23}, .epoch = Epoch{base + 24}, .commit_digest = base + 25},
                                 {.base = Revision{base + 26}, .epoch = Epoch{base + 27}, .commit_digest = base + 28}}};
}

Envelope message(Message body) {
  return {.protocol = kGoldenProtocol,
          .cluster = 0x0123456789abcdef,
          .epoch = Epoch{900001},
          .id = 900002,
          .from = "sender-address",
          .from_incarnation = Incarnation{900003},
          .to = "receiver-address",
          .to_incarnation = Incarnation{900004},
          .body = std::move(body)};
}

Entries entries(uint64_t base) {
  return {entry(base), entry(base + 10)};
}

std::vector<Example<Envelope>> consensus_message_examples() {
  return {
      {1, "discover", message(Discover{.self = candidate(300, Role::store)})},
      {2, "discover-reply",
       message(DiscoverReply{.self = candidate(300, Role::controller),
                             .cluster = 401,
                             .epoch = Epoch{402},
                             .core = {"core-a", "core-b"},
                             .candidates = {candidate(500, Role::controller), candidate(600, Role::gateway)}})},
      {3, "prepare", message(Prepare{.epoch = Epoch{301}, .ballot = ballot(400)})},
      {4, "promise",
       message(Promise{.epoch = Epoch{301},
                       .ballot = ballot(400),
                       .granted = true,
                       .promised = ballot(500),
                       .accepted = AcceptedProposal{ballot(600), entry(700)}})},
      {4, "promise-nothing-accepted",
       message(Promise{.epoch = Epoch{302},
                       .ballot = ballot(410),
                       .granted = false,
                       .promised = ballot(510),
                       .accepted = std::nullopt})},
      {5, "accept", message(Accept{.ballot = ballot(300), .entry = entry(400)})},
      {6, "accepted",
       message(Accepted{.epoch = Epoch{301}, .ballot = ballot(400), .granted = true, .promised = ballot(500)})},
      {7, "decided", message(Decided{.entry = entry(300)})},
      {8, "catchup", message(Catchup{.known = Epoch{301}})},
      {9, "catchup-reply",
       message(CatchupReply{.epoch = Epoch{301}, .checkpoint = metadata(10000), .entries = entries(400)})},
      {9, "catchup-reply-entries-only",
       message(CatchupReply{.epoch = Epoch{302}, .checkpoint = std::nullopt, .entries = entries(500)})},
      {10, "quorum-read", message(QuorumRead{.id = 301})},
      {11, "quorum-read-reply", message(QuorumReadReply{.id = 301, .epoch = Epoch{302}, .open = true})},
      {16, "lease-ask", message(LeaseRequest{.request_id = 301})},
      {17, "lease-grant",
       message(LeaseGrant{
           .request_id = 301, .granted = true, .heartbeat_ages = {{DaemonId{302}, 303}, {DaemonId{304}, 305}}})},
      {34, "rebuild", message(RefoundRequest{.id = "rebuild-id", .lost = {DaemonId{301}, DaemonId{302}}})},
  };
}

std::vector<Example<Envelope>> follower_message_examples() {
  return {
      {12, "commit",
       message(Commit{.id = "commit-id",
                      .change =
                          ApplyConfiguration{
                              .base = Revision{301}, .configuration = configuration(10000), .revision = Revision{302}},
                      .known_epoch = Epoch{303},
                      .timeout_ms = 304})},
      {13, "commit-reply",
       message(CommitReply{.id = "commit-id",
                           .outcome = CommitOutcome::rejected,
                           .reason = "commit-reason",
                           .epoch = Epoch{301},
                           .checkpoint = metadata(10000),
                           .entries = entries(400),
                           .rejection = Rejection::unknown_target})},
      {13, "commit-reply-unknown",
       message(CommitReply{.id = "second-commit-id",
                           .outcome = CommitOutcome::unknown,
                           .reason = "second-commit-reason",
                           .epoch = Epoch{302},
                           .checkpoint = std::nullopt,
                           .entries = {},
                           .rejection = Rejection::revision_conflict})},
      {14, "heartbeat",
       message(Heartbeat{.self = candidate(300, Role::gateway),
                         .known = Epoch{401},
                         .load = 402,
                         .streamed = Epoch{403},
                         .running = 404,
                         .sent = 405,
                         .leaving = true,
                         .incomplete_comparisons = 406})},
      {15, "heartbeat-reply",
       message(HeartbeatReply{.epoch = Epoch{301},
                              .checkpoint = metadata(10000),
                              .entries = entries(400),
                              .touched_ms = 302,
                              .confirmed = true,
                              .sent = 303})},
  };
}

std::vector<Example<Envelope>> history_message_examples() {
  return {
      {18, "line-read",
       message(ReadHistory{.history = history_name(300), .partition = PartitionId{301}, .term = Epoch{302}})},
      {19, "line-read-reply",
       message(ReadHistoryReply{.history = history_name(300),
                                .term = Epoch{301},
                                .granted = true,
                                .history_term = Epoch{302},
                                .has_tombstone = false,
                                .records = records(1000)})},
      {20, "line-write",
       message(AppendHistory{.history = history_name(300),
                             .partition = PartitionId{301},
                             .term = Epoch{302},
                             .replace = true,
                             .from = 303,
                             .records = records(1000)})},
      {21, "line-write-reply",
       message(AppendHistoryReply{
           .history = history_name(300), .term = Epoch{301}, .granted = true, .gap = false, .length = 302})},
      {22, "slot-stream",
       message(StreamPartition{
           .partition = PartitionId{301}, .sequence = Epoch{302}, .after = history_name(400), .after_tombstone = 303})},
      {23, "slot-stream-reply",
       message(StreamPartitionReply{.partition = PartitionId{301},
                                    .sequence = Epoch{302},
                                    .after = history_name(400),
                                    .after_tombstone = 303,
                                    .fence = Epoch{304},
                                    .histories = history_copies(10000),
                                    .tombstones = {305, 306},
                                    .more = true})},
      {37, "line-aged",
       message(HistoryExpired{.history = history_name(300), .partition = PartitionId{301}, .length = 302})},
      {38, "line-bury",
       message(WriteTombstone{.history = history_name(300), .partition = PartitionId{301}, .term = Epoch{302}})},
      {39, "slot-check",
       message(PartitionChecksum{
           .partition = PartitionId{301}, .stores_epoch = Epoch{302}, .checksum = 0x1122334455667788})},
      {40, "slot-check-reply",
       message(PartitionChecksumReply{.partition = PartitionId{301}, .stores_epoch = Epoch{302}, .equal = true})},
      {41, "slot-list", message(ListHistories{.partition = PartitionId{301}, .after = history_name(400)})},
      {42, "slot-list-reply",
       message(ListHistoriesReply{.partition = PartitionId{301},
                                  .after = history_name(400),
                                  .summaries = {{.history = history_name(500), .term = Epoch{501}, .length = 502},
                                                {.history = history_name(600), .term = Epoch{601}, .length = 602}},
                                  .more = true})},
      {43, "lines-fetch",
       message(FetchHistories{.partition = PartitionId{301}, .names = {history_name(400), history_name(500)}})},
      {44, "lines-fetched",
       message(FetchHistoriesReply{.partition = PartitionId{301}, .histories = history_copies(10000)})},
      {49, "chain-find", message(FindChain{.turn = "turn-id"})},
      {50, "chain-found", message(FindChainReply{.turn = "turn-id", .found = true, .text = "chain-text"})},
      {51, "read-records",
       message(ReadRecords{.history = history_name(300),
                           .partition = PartitionId{301},
                           .term = Epoch{302},
                           .length = 303,
                           .from = 304})},
      {52, "read-records-reply",
       message(ReadRecordsReply{.history = history_name(300),
                                .term = Epoch{301},
                                .length = 302,
                                .from = 303,
                                .available = true,
                                .records = records(1000)})},
      {53, "large-history-reply",
       message(LargeHistoryReply{
           .history = history_name(300), .term = Epoch{301}, .history_term = Epoch{302}, .length = 303})},
      {54, "stream-large-history",
       message(StreamLargeHistory{.partition = PartitionId{301},
                                  .sequence = Epoch{302},
                                  .after = history_name(400),
                                  .after_tombstone = 303,
                                  .fence = Epoch{304},
                                  .next = {.history = history_name(500), .term = Epoch{501}, .length = 502}})},
      {55, "fetch-large-history",
       message(FetchLargeHistory{.partition = PartitionId{301},
                                 .next = {.history = history_name(500), .term = Epoch{501}, .length = 502}})},
      {56, "adopt-history",
       message(AdoptHistory{.history = history_name(300),
                            .partition = PartitionId{301},
                            .term = Epoch{302},
                            .replica_term = Epoch{303},
                            .replica_length = 304,
                            .length = 305})},
  };
}

std::vector<Example<Envelope>> request_message_examples() {
  return {
      {24, "request",
       message(ProgramRequest{.attempt = "attempt-id",
                              .cell = "cell-name",
                              .route = "route-name",
                              .program = "program-name",
                              .thread = "thread-name",
                              .key = "request-key",
                              .kind = "request-kind",
                              .method = "request-method",
                              .path = "request-path",
                              .prefix = "request-prefix",
                              .body = "request-body",
                              .max_tokens = 301,
                              .expected_turns = 302,
                              .urgent = true,
                              .bulk = false,
                              .idempotent = true,
                              .deadline_ms = 303})},
      {24, "request-without-after",
       message(ProgramRequest{.attempt = "second-attempt-id",
                              .cell = "second-cell-name",
                              .route = "second-route-name",
                              .program = "second-program-name",
                              .thread = "second-thread-name",
                              .key = "second-request-key",
                              .kind = "second-request-kind",
                              .method = "second-request-method",
                              .path = "second-request-path",
                              .prefix = "second-request-prefix",
                              .body = "second-request-body",
                              .max_tokens = 401,
                              .expected_turns = std::nullopt,
                              .urgent = false,
                              .bulk = true,
                              .idempotent = true,
                              .deadline_ms = 403})},
      {25, "request-seen", message(ProgramRequestAcknowledgement{.attempt = "attempt-id"})},
      {26, "request-piece", message(ProgramResponseChunk{.attempt = "attempt-id", .index = 301, .text = "piece-text"})},
      {27, "request-end",
       message(ProgramResponse{.attempt = "attempt-id",
                               .status = 301,
                               .executed = Outcome::unknown,
                               .reason = "end-reason",
                               .body = "end-body",
                               .turn = 302,
                               .tokens = 303,
                               .retry_ms = 304,
                               .wrong_owner = true,
                               .chunks = 305})},
      {28, "late-settle",
       message(TransferTurnOutcome{
           .attempt = "attempt-id", .history = history_name(300), .record = record(400, RecordKind::outcome)})},
      {29, "late-settled", message(TransferTurnOutcomeReply{.attempt = "attempt-id", .outcome = Outcome::no})},
      {35, "runner-ask", message(QueryTurnRunner{.history = history_name(300), .key = "runner-key"})},
      {36, "runner-word",
       message(QueryTurnRunnerReply{.history = history_name(300), .key = "runner-key", .running = true})},
  };
}

std::vector<Example<Envelope>> replica_message_examples() {
  return {
      {30, "replica-ask",
       message(ReplicaCall{.attempt = "attempt-id",
                           .kind = "replica-kind",
                           .url = "replica-url",
                           .method = "replica-method",
                           .body = "replica-body",
                           .deadline_ms = 301,
                           .idempotent = true})},
      {31, "replica-piece",
       message(ReplicaCallChunk{.attempt = "attempt-id", .index = 301, .text = "piece-text", .tokens = 302})},
      {32, "replica-end",
       message(ReplicaCallResponse{.attempt = "attempt-id",
                                   .request_sent = true,
                                   .status = 301,
                                   .complete = false,
                                   .chunks = 302,
                                   .tokens = 303,
                                   .checksum = 0x8877665544332211,
                                   .body = "end-body",
                                   .reason = "end-reason"})},
      {33, "replica-stop", message(CancelReplicaCall{.attempt = "attempt-id"})},
  };
}

std::vector<Example<Envelope>> turn_message_examples() {
  return {
      {45, "turn-ask",
       message(ReserveTurn{.attempt = "attempt-id",
                           .program = "program-name",
                           .parent = "parent-turn",
                           .input = "turn-input",
                           .budget = 301,
                           .max_tokens = 302,
                           .keep_history = true,
                           .retention_ms = 303,
                           .timeout_ms = 304})},
      {46, "turn-grant",
       message(ReserveTurnReply{.attempt = "attempt-id",
                                .status = 301,
                                .retry_after_ms = 302,
                                .reason = "grant-reason",
                                .chain = "chain-text"})},
      {47, "turn-settle",
       message(CommitTurn{.attempt = "attempt-id",
                          .program = "program-name",
                          .status = 301,
                          .tokens = 302,
                          .keep_output = true,
                          .output = "turn-output"})},
      {48, "turn-settled", message(CommitTurnReply{.attempt = "attempt-id", .committed = true})},
  };
}

Entry entry_with(Transformation change) {
  return {.epoch = Epoch{900001}, .commit_id = "entry-commit", .change = std::move(change)};
}

std::vector<Example<Entry>> membership_entry_examples() {
  return {
      {1, "found",
       entry_with(FoundCluster{.cluster = 0x0123456789abcdef,
                               .core_size = 301,
                               .members = {candidate(400, Role::controller), candidate(500, Role::store)},
                               .max_core_size = 302,
                               .replication_factor = 303})},
      {2, "register", entry_with(Register{.self = candidate(300, Role::store)})},
      {3, "admit-core", entry_with(AddCoreMember{.node = DaemonId{301}})},
      {4, "replace-core", entry_with(ReplaceCoreMember{.removed = DaemonId{301}, .added = DaemonId{302}})},
      {5, "mark-down", entry_with(MarkDown{.node = DaemonId{301}})},
      {6, "mark-up", entry_with(MarkUp{.node = DaemonId{301}})},
      {18, "refound",
       entry_with(RefoundCluster{.generation = 301,
                                 .lost = {DaemonId{302}, DaemonId{303}},
                                 .fresh = {candidate(400, Role::controller), candidate(500, Role::gateway)}})},
      {19, "recount", entry_with(BeginQuorumChange{})},
      {20, "recounted", entry_with(FinishQuorumChange{.since = Epoch{301}})},
      {22, "drop-core", entry_with(RemoveCoreMember{.node = DaemonId{301}})},
      {24, "forget-store", entry_with(ForgetStore{.node = DaemonId{301}})},
  };
}

std::vector<Example<Entry>> placement_entry_examples() {
  return {
      {7, "prepare-join", entry_with(PrepareJoin{.node = DaemonId{301}})},
      {8, "prepare-drain", entry_with(PrepareDrain{.node = DaemonId{301}})},
      {9, "advance", entry_with(AdvanceSequence{.node = DaemonId{301}, .step = SequenceStep::mid})},
      {10, "cancel-sequence", entry_with(CancelSequence{.node = DaemonId{301}, .reason = "cancel-reason"})},
      {14, "evacuate-zone", entry_with(EvacuateZone{.zone = "evacuated-zone"})},
      {15, "restore-zone", entry_with(RestoreZone{.zone = "restored-zone"})},
      {16, "move-slot", entry_with(MovePartition{.partition = PartitionId{301}, .owner = DaemonId{302}})},
      {17, "move-routes", entry_with(MoveAllPartitions{.from = DaemonId{301}, .to = DaemonId{302}})},
      {23, "prepare-repair", entry_with(PrepareRepair{.node = DaemonId{301}})},
  };
}

std::vector<Example<Entry>> configuration_entry_examples() {
  return {
      {11, "apply-configuration",
       entry_with(
           ApplyConfiguration{.base = Revision{301}, .configuration = configuration(1000), .revision = Revision{302}})},
      {12, "set-replica", entry_with(SetReplica{.replica = replica(300, ReplicaHealth::draining)})},
      {13, "drop-replica", entry_with(RemoveReplica{.name = "dropped-replica"})},
      {21, "list-replicas",
       entry_with(
           UpdateReplicas{.updated = {replica(300, ReplicaHealth::warming_up), replica(400, ReplicaHealth::ready)},
                          .removed = {"gone-a", "gone-b"}})},
  };
}

template <class Value>
void append(std::vector<Example<Value>>& all, std::vector<Example<Value>> more) {
  all.insert(all.end(), more.begin(), more.end());
}

History history(uint64_t base) {
  return {.term = Epoch{base + 1}, .records = records(base), .written_at = Duration(base + 2)};
}

StoredPartition stored_partition(uint64_t base) {
  return {.fence = Epoch{base + 1},
          .histories = {{history_name(base + 1000), history(base + 1000)},
                        {history_name(base + 2000), history(base + 2000)}},
          .tombstones = {.young = {base + 2, base + 3}, .old = {base + 4, base + 5}}};
}

}  // namespace

std::vector<Example<Envelope>> message_examples() {
  std::vector<Example<Envelope>> all{{0, "none", message(std::monostate{})}};
  append(all, consensus_message_examples());
  append(all, follower_message_examples());
  append(all, history_message_examples());
  append(all, request_message_examples());
  append(all, replica_message_examples());
  append(all, turn_message_examples());
  return all;
}

std::vector<Example<Entry>> entry_examples() {
  std::vector<Example<Entry>> all{{0, "none", entry_with(std::monostate{})}};
  append(all, membership_entry_examples());
  append(all, placement_entry_examples());
  append(all, configuration_entry_examples());
  return all;
}

std::vector<Example<ControllerRecord>> controller_record_examples() {
  return {
      {0, "promise", PromiseRecord{.epoch = Epoch{301}, .ballot = ballot(400)}},
      {1, "accept", AcceptRecord{.ballot = ballot(300), .entry = entry(400)}},
      {2, "decided", DecidedRecord{.entry = entry(300)}},
      {3, "jump", SnapshotRecord{.metadata = metadata(10000)}},
      {4, "founders", FoundersRecord{.addresses = {"founder-a", "founder-b"}}},
  };
}

std::vector<Example<StoreRecord>> store_record_examples() {
  return {
      {0, "fence", FenceRecord{.partition = PartitionId{301}, .term = Epoch{302}}},
      {1, "line-write",
       AppendHistory{.history = history_name(300),
                     .partition = PartitionId{301},
                     .term = Epoch{302},
                     .replace = true,
                     .from = 303,
                     .records = records(1000)}},
      {2, "stream",
       MergeRecord{.partition = PartitionId{301},
                   .fence = Epoch{302},
                   .histories = history_copies(10000),
                   .tombstones = {303, 304}}},
      {3, "bury", TombstoneRecord{.partition = PartitionId{301}, .history = history_name(400)}},
      {4, "entry", entry(300)},
      {5, "metadata", metadata(10000)},
      {6, "adopt", HistoryTermRecord{.partition = PartitionId{301}, .history = history_name(400), .term = Epoch{302}}},
      {7, "drop", DropPartitionRecord{.partition = PartitionId{301}}},
  };
}

Metadata metadata_example() {
  return metadata(10000);
}

ControllerCheckpoint controller_checkpoint_example() {
  return {.metadata = metadata(10000),
          .recent = entries(400),
          .open = Epoch{301},
          .promised = ballot(500),
          .accepted = AcceptedProposal{ballot(600), entry(700)}};
}

StoreCheckpoint store_checkpoint_example() {
  return {.metadata = metadata(10000),
          .partitions = {{PartitionId{301}, stored_partition(30000)}, {PartitionId{302}, stored_partition(40000)}},
          .uptime = 303ms};
}

SyncMark sync_mark_example() {
  return {.magic = 0x6b72616d2d79ffff, .incarnation = Incarnation{301}, .sequence = 302, .synced = 303};
}

}  // namespace mosskeel::golden
