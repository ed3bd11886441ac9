#pragma once
// Numbered log events. A test checks that docs/events.md lists all of them.
#include <cstdint>

namespace mosskeel {

#define MOSSKEEL_EVENTS(X)                                                                                          \
  X(started, 100, "a daemon started")                                                                               \
  X(stopping, 101, "a daemon is stopping in order")                                                                 \
  X(stopped, 102, "a daemon has stopped")                                                                           \
  X(bad_settings, 103, "settings are wrong; every finding is listed")                                               \
  X(start_waits, 104, "a start waits for what another process still holds")                                         \
  X(start_gave_up, 105, "a daemon can't start now; it may be started again later")                                  \
  X(torn_tail, 110, "a torn log tail was cut")                                                                      \
  X(corrupt, 111, "a log or checkpoint is damaged; the daemon stops")                                               \
  X(checkpointed, 112, "a checkpoint was written and the log behind it dropped")                                    \
  X(disk_failed, 113, "the disk refused a write or a sync; the daemon stops")                                       \
  X(disk_full, 114, "the disk is full; what it must hold first is not answered")                                    \
  X(disk_room, 115, "the disk has room again; what was held back is on it")                                         \
  X(foreign, 120, "a foreign or damaged message was dropped")                                                       \
  X(memory_high, 130, "a process uses much of its memory; what it is held for is listed")                           \
  X(unsent, 121, "messages to a peer were dropped because its queue is full")                                       \
  X(founding, 200, "a founding is proposed")                                                                        \
  X(founded, 201, "the cluster is founded")                                                                         \
  X(decided, 202, "an epoch is enacted")                                                                            \
  X(rejected, 203, "a change was refused, confirmed at the highest epoch")                                          \
  X(unknown_outcome, 204, "a commit ended without a known outcome")                                                 \
  X(refounding, 207, "a majority of the core is lost; it is founded anew from its survivors")                       \
  X(caught_up, 205, "missing epochs were fetched")                                                                  \
  X(registered, 206, "this daemon is in the directory")                                                             \
  X(lost_identity, 208, "the log says that this daemon has left or been replaced")                                  \
  X(lease_taken, 210, "the supervisor lease was taken")                                                             \
  X(lease_lost, 211, "the supervisor lease ended")                                                                  \
  X(heartbeats_missed, 212, "a majority of controllers misses a daemon's heartbeats")                               \
  X(sequence_step, 213, "a sequence's next step is proposed")                                                       \
  X(sequence_blocked, 214, "a sequence is blocked past its deadline and is cancelled")                              \
  X(reservation_without_outcome, 302, "a reservation without an outcome was found; its turn is never run again")    \
  X(replica_fault, 304, "a replica's response was not complete or its checksum was wrong")                          \
  X(forwarded_response_lost, 305, "a forwarded request was not answered; its outcome is unknown")                   \
  X(stale_epoch_rejected, 306, "a request stamped with too old an epoch was rejected")                              \
  X(majority_contact_lost, 307, "contact with a majority was lost; dispatching stops")                              \
  X(majority_contact_restored, 308, "contact with a majority was restored; dispatching resumes")                    \
  X(turn_outcome_transferred, 309, "a running turn's outcome was handed to the partition's new owner")              \
  X(streamed, 310, "a store has streamed the histories of its new partitions")                                      \
  X(turn_refused, 311, "an owner refused a caller's turn; it has not run")                                          \
  X(replica_ejected, 312, "a replica broke the protocol or sent more than is held; it gets no requests for a time") \
  X(operator_command, 400, "an operator's command and its result")                                                  \
  X(platform_request, 401, "a platform's request and its response")                                                 \
  X(replica_list_unreadable, 402, "the list of replicas could not be read in full; the last known list stays")

enum class Event : uint16_t {
#define X(name, number, text) name = number,  // NOLINT(bugprone-macro-parentheses): an enumerator
  MOSSKEEL_EVENTS(X)
#undef X
};

}  // namespace mosskeel
