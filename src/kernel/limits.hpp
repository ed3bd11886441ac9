#pragma once
// Every constant of the project, with unit and reason.
#include "mosskeel.hpp"

namespace mosskeel::limits {

constexpr Millis process_start = 1000000000000;  // ms; a process's time begins here, so that 0 means never
constexpr Millis tcm_await = 10000;              // ms; a daemon's whole patience for one commit (design)
constexpr Millis tcm_rpc = 2000;                 // ms; a marker's patience inside one commit ask (design)
constexpr Millis tick = 20;                      // ms; how often a state machine sees its schedule
constexpr Millis heartbeat = 300;                // ms; six fit into the 2 s for a manifest to be in force
constexpr Millis discover = 200;                 // ms; between discovery rounds while not yet in touch
constexpr Millis found_pause = 1000;     // ms; three heartbeats of an older cluster's daemons come by before founding
constexpr Millis found_patience = 1500;  // ms; wait for stragglers before founding with a majority
constexpr Millis paxos_round = 300;      // ms; a round without a majority by then starts anew
constexpr Millis paxos_jitter = 120;     // ms; spread of restarts, so that duelling proposers part
constexpr Millis silence = 2500;         // ms; unheard this long by a majority means down
constexpr Millis silence_many = 6000;    // ms; when most are silent it may be us who are cut off: wait longer
constexpr Millis duty_lease = 2000;      // ms; the supervisor's lease
constexpr Millis duty_margin = 400;      // ms; stops this long before its lease ends
constexpr Millis duty_renew = 500;       // ms; between renewals
constexpr Millis isolation = 2000;       // ms; no majority heard this long: stop dispatching
constexpr Millis core_quiet = 900;       // ms; no core majority heard this long: ask everybody, twice before isolation
constexpr Millis line_retry = 250;       // ms; an unanswered recorder is asked again
constexpr Millis line_patience = 4000;   // ms; no majority of recorders by then: 503
constexpr Millis retention_margin = 30000;   // ms; an answer may reach its caller this long after its record was kept
constexpr int64_t retention_slack = 64;      // share; retention is stretched by 1/64, for clocks that run fast
constexpr Millis expiry_pace = 100;          // ms; a recorder looks through one slot for aged lines each
constexpr size_t expiry_batch = 16;          // count; aged lines reported at one look
constexpr size_t graves = 1u << 18;          // count; names of ended lines a slot: the last 2^18 to 2^19, 8 bytes each
constexpr size_t graves_page = 4096;         // count; of them in one message
constexpr Millis repair_pace = 50;           // ms; between two asks of a recorder's repair: 5 MB a second at most
constexpr Millis repair_patience = 1000;     // ms; an unanswered ask of a repair is given up
constexpr Millis repair_age = 5000;          // ms; lines written later than this are not compared yet
constexpr size_t repair_marks = 512;         // count; lines named in one message
constexpr size_t repair_lines = 16;          // count; lines fetched by one message
constexpr Millis line_idle = 60000;          // ms; an idle line leaves the owner's memory
constexpr Millis replica_stall = 10000;      // ms; a replica silent this long has failed its errand
constexpr Millis replica_shun = 2000;        // ms; a replica that could not be reached is avoided
constexpr Millis queue_patience = 5000;      // ms; nobody waits longer for a replica's free place
constexpr Millis end_memory = 30000;         // ms; the final word on an errand is kept for a lost message
constexpr Millis farewell = 600;             // ms; a leaving worker answers for lost last words this long
constexpr Millis agent_beat = 100;           // ms; between a switchboard and its lineman
constexpr Millis handover_patience = 20000;  // ms; a moved turn's outcome is offered this long
constexpr uint32_t retry_ms = 500;           // ms; when a refused caller may come back
constexpr double pace_share = 0.05;          // share; of the newest interval in the measured pace of a queue
constexpr uint32_t thread_queue = 8;         // count; turns waiting for the one before them
constexpr double retry_share = 0.1;          // share; repeatable errands tried anew per first try
constexpr Millis proxy_patience = 1000;      // ms; the owner must show a sign of life by then
constexpr Millis errand_horizon = 60000;     // ms; default patience of a caller
constexpr Millis barrier_horizon = 15000;    // ms; a sequence blocked longer is cancelled
constexpr Millis sequence_retry = 250;       // ms; between tries of a sequence's next step
constexpr Millis attempt_memory = 600000;    // ms; how long settled attempt ids are remembered
constexpr Millis replace_after = 6000;       // ms; a core member down this long is replaced by a spare
constexpr Millis repair_after = 6000;        // ms; a recorder down this long loses its places to a spare
constexpr Millis cold_ramp = 10000;          // ms; a cold replica reaches its full share in this time
constexpr Millis core_loss = 4000;           // ms; a majority silent this long calls for a look at re-founding
constexpr Millis survey = 1000;              // ms; copies are gathered this long before a re-founding
constexpr Millis evidence = 10000;           // ms; no founding this long after a sign of an older cluster
constexpr uint64_t generations_ahead = 4;    // count; re-foundings that a laggard may have missed
constexpr uint32_t slots = 64;               // count; some ten a switchboard at today's sizes
constexpr uint32_t copies = 3;               // count; recorders a line, one per zone where zones allow
constexpr size_t commit_memory = 4096;       // count; commit ids the log remembers for retries
constexpr size_t log_keep = 512;             // count; entries kept behind the checkpoint for catch-up
constexpr size_t log_keep_bytes = 2u << 20;  // bytes; of them, encoded; beyond that the whole value is sent
constexpr size_t beat_bytes = 64u << 10;     // bytes; entries that come with a heartbeat's reply; more only to who asks
constexpr Millis catchup_pace = 500;         // ms; between a laggard's asks, so that large answers are not doubled
constexpr size_t reply_entries = 256;        // count; entries in one reply; more means a checkpoint
constexpr size_t segment_bytes = 4u << 20;   // bytes; a log segment is closed beyond this
constexpr size_t checkpoint_bytes = 16u << 20;  // bytes; journal growth that calls for a checkpoint
constexpr size_t body_bytes = 1u << 20;         // bytes; the largest accepted HTTP body
constexpr size_t queue_errands = 256;           // count; model turns waiting on one switchboard
constexpr size_t urgent_share = 64;             // count; places beyond that for urgent errands alone
constexpr size_t running_errands = 512;         // count; errands in flight on one switchboard
constexpr uint32_t replica_places =
    32;  // count; errands all fronts together run on one replica, unless its record says
constexpr uint32_t replica_places_most = 4096;  // count; more in a record is an error
constexpr uint32_t bulk_pressure = 4;           // count; bulk pulls one switchboard runs at once
constexpr uint32_t cold_fronts = 1;             // count; switchboards that may touch a cold replica
constexpr unsigned http_sessions = 2000;        // count; sessions of one HTTP listener
constexpr int nng_queue = 1024;                 // count; messages waiting for one peer
constexpr uint16_t protocol = 2;                // revision of the daemon protocol

}  // namespace mosskeel::limits
