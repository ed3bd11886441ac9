#pragma once
// Messages between the gateways that serve callers' turns, the owners of the programs and the stores.
#include "base/codec.hpp"

namespace mosskeel {

/// A gateway that received a turn from a caller asks the program's owner to reserve it: the owner checks the budget,
/// finds the chain and makes a durable reservation of `max_tokens`. `parent` is the turn to continue, `budget` the
/// program's token budget; times in ms.
struct ReserveTurn {
  MOSSKEEL_FIELDS(ReserveTurn, (std::string, attempt), (std::string, program), (std::string, parent),
                  (std::string, input), (uint64_t, budget), (uint64_t, max_tokens), (bool, keep_history),
                  (int64_t, retention_ms), (int64_t, timeout_ms));
};

/// Status 200 grants the turn, with the text of the chain before the input. Any other status is final: the turn has not
/// run.
struct ReserveTurnReply {
  MOSSKEEL_FIELDS(ReserveTurnReply, (std::string, attempt), (uint32_t, status), (uint32_t, retry_after_ms),
                  (std::string, reason), (std::string, chain));
};

/// The outcome of a granted turn: status 200 complete, 0 not run, 502 unknown or interrupted. `tokens` is the number of
/// tokens delivered to the caller.
struct CommitTurn {
  MOSSKEEL_FIELDS(CommitTurn, (std::string, attempt), (std::string, program), (uint32_t, status), (uint64_t, tokens),
                  (bool, keep_output), (std::string, output));
};

/// The reply to CommitTurn. The outcome is on a quorum of stores or, if not `committed`, it never will be.
struct CommitTurnReply {
  MOSSKEEL_FIELDS(CommitTurnReply, (std::string, attempt), (bool, committed));
};

/// Asks a store for the text of the chain that ends with this turn, whichever program it belongs to.
struct FindChain {
  MOSSKEEL_FIELDS(FindChain, (std::string, turn));
};

/// `text` is the chain, from its first turn to the one asked for.
struct FindChainReply {
  MOSSKEEL_FIELDS(FindChainReply, (std::string, turn), (bool, found), (std::string, text));
};

}  // namespace mosskeel
