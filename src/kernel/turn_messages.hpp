#pragma once
// What fronts, owners and stores say to each other of callers' turns.
#include <boost/hana/define_struct.hpp>

#include "mosskeel.hpp"

namespace mosskeel {

/// A front that has a caller's turn asks the program's owner for it: budget, chain, and a durable reservation.
struct TurnAsk {
  BOOST_HANA_DEFINE_STRUCT(TurnAsk, (std::string, attempt), (std::string, program), (std::string, parent),
                           (std::string, input), (uint64_t, budget), (uint64_t, most), (bool, kept),
                           (int64_t, retention_ms), (int64_t, deadline_ms));
};
/// 200 means go, with the text of the chain before the input; anything else is final: the turn has not run.
struct TurnGrant {
  BOOST_HANA_DEFINE_STRUCT(TurnGrant, (std::string, attempt), (uint32_t, status), (uint32_t, retry_ms),
                           (std::string, reason), (std::string, chain));
};
/// What became of a granted turn: 200 whole, 0 not run, 502 unknown or broken off. `tokens` were handed to the caller.
struct TurnSettle {
  BOOST_HANA_DEFINE_STRUCT(TurnSettle, (std::string, attempt), (std::string, program), (uint32_t, status),
                           (uint64_t, tokens), (bool, kept), (std::string, output));
};
/// The outcome lies on a majority, or `kept` is false and it can't be there any more.
struct TurnSettled {
  BOOST_HANA_DEFINE_STRUCT(TurnSettled, (std::string, attempt), (bool, kept));
};
/// Asks a store for the chain that ends with this turn, whichever program it was of.
struct ChainFind {
  BOOST_HANA_DEFINE_STRUCT(ChainFind, (std::string, turn));
};
struct ChainFound {
  BOOST_HANA_DEFINE_STRUCT(ChainFound, (std::string, turn), (bool, found), (std::string, text));
};

}  // namespace mosskeel
