#pragma once
// A program whose history outgrows one message between daemons.
#include "soak/fleet_under_test.hpp"

namespace mosskeel::soak {

/// How much a program's turns bring in.
struct ProgramSize {
  /// Lines of turns: the program's helpers, each with a chain of its own.
  int lines = 1;
  int turns_a_line = 1;
  /// Bytes of each turn's input.
  size_t input_bytes = 0;

  size_t total_bytes() const { return static_cast<size_t>(lines * turns_a_line) * input_bytes; }
};

/// A program with many lines of turns, all of whose histories its owner and stores keep together.
class LargeProgram {
 public:
  LargeProgram(FleetUnderTest& fleet, ProgramSize size);
  /// Sends all turns. Whether each was served within the time.
  bool build(Duration time);
  /// Sends the next turn of the line, again where it is not served. Whether it was served within the time.
  bool continue_line(size_t line, Duration time);
  /// Sends the next turn of the line once, unless one is under way.
  void continue_line_once(size_t line);
  size_t lines() const { return lines_.size(); }

 private:
  struct Line {
    std::string session;
    /// The last turn that was served; empty for none.
    std::string last_turn;
    int served_turns = 0;
    bool is_busy = false;
  };
  /// @param on_done hears whether it was served.
  void send_turn(Line& line, size_t input_bytes, std::function<void(bool is_served)> on_done);
  /// Sends the turns that the line still lacks, one after the other, and again where they are not served.
  void build_line(Line& line);

  FleetUnderTest& fleet_;
  const ProgramSize size_;
  const std::string id_;
  std::vector<Line> lines_;
};

}  // namespace mosskeel::soak
