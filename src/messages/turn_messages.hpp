#pragma once
// What fronts, owners and stores say to each other of callers' turns.
#include <boost/hana/define_struct.hpp>

#include "mosskeel/common.hpp"

namespace mosskeel {

/// A front that has a caller's turn asks the program's owner for it: budget, chain, and a durable reservation.
struct ReserveTurn {
  BOOST_HANA_DEFINE_STRUCT(ReserveTurn, (std::string, attempt), (std::string, program), (std::string, parent),
                           (std::string, input), (uint64_t, budget), (uint64_t, max_tokens), (bool, keep_history),
                           (int64_t, retention_ms), (int64_t, timeout_ms));
};
/// 200 means go, with the text of the chain before the input; anything else is final: the turn has not run.
struct ReserveTurnReply {
  BOOST_HANA_DEFINE_STRUCT(ReserveTurnReply, (std::string, attempt), (uint32_t, status), (uint32_t, retry_after_ms),
                           (std::string, reason), (std::string, chain));
};
/// What became of a granted turn: 200 whole, 0 not run, 502 unknown or broken off. `tokens` were handed to the caller.
struct CommitTurn {
  BOOST_HANA_DEFINE_STRUCT(CommitTurn, (std::string, attempt), (std::string, program), (uint32_t, status),
                           (uint64_t, tokens), (bool, keep_output), (std::string, output));
};
/// The outcome lies on a majority, or `committed` is false and it can't be there any more.
struct CommitTurnReply {
  BOOST_HANA_DEFINE_STRUCT(CommitTurnReply, (std::string, attempt), (bool, committed));
};
/// Asks a store for the text of the chain that ends with this turn, whichever program it belongs to.
struct FindChain {
  BOOST_HANA_DEFINE_STRUCT(FindChain, (std::string, turn));
};
struct FindChainReply {
  BOOST_HANA_DEFINE_STRUCT(FindChainReply, (std::string, turn), (bool, found), (std::string, text));
};

}  // namespace mosskeel
