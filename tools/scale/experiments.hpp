#pragma once
// What `scale slopes` measures: each experiment gives a row of figures for one size and one seed.
#include "scale/plan.hpp"

namespace mosskeel::scale {

struct Row {
  std::string what;
  double size = 0;
  uint64_t seed = 0;
  std::map<std::string, double> counts, times;
};

/// A fleet at rest, per process and second.
Row at_rest(const Plan& p, uint64_t seed, double size);
/// One configuration more, from its commit to everywhere.
Row change(const Plan& p, uint64_t seed, double size);
/// The value itself: bytes by table, processor time to apply an entry, to encode and to decode it, memory.
Row whole_value(const Plan& p, uint64_t seed, double size);
/// Choosing a replica for one request.
Row selection(const Plan& p, uint64_t seed, double size);
/// `programs` conversations at once, each of `turns` turns; the figures are of the last five turns of each.
Row conversation(int programs, int turns, uint64_t seed, double size);
/// Stores at rest that hold so many histories of so many turns.
Row stored_histories(int histories, int turns, uint64_t seed, double size);
/// A front that comes new, and one that is started again: what it takes until it is in touch and joined.
Row newcomer(const Plan& p, uint64_t seed, double size);
Row restarts(const Plan& p, int count, uint64_t seed, double size);
Row zone_lost(const Plan& p, uint64_t seed, double size);
/// `changes` changes are made while the second region is cut off.
Row region_cut(const Plan& p, int changes, uint64_t seed, double size);

/// Bytes of text of a turn, in and out: 1440 tokens of four bytes, a 250th of 360,000 tokens.
constexpr size_t turn_in = 1200, turn_out = 4560;
constexpr uint64_t turn_tokens = 1140;

/// The line of the page's table of counts for a fleet of so many daemons.
std::string page_row(int daemons, uint64_t seed);

}  // namespace mosskeel::scale
