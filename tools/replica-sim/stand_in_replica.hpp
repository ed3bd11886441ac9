#pragma once
// A replica that stands in for a model or an application in tests: its answers follow from the requests, and faults can
// be scripted.
#include <atomic>
#include <fstream>
#include <mutex>

#include "net/http_server.hpp"

namespace mosskeel::replica_sim {

enum class Fault {
  none,
  cut,       ///< breaks off in the middle
  lost,      ///< runs, and breaks off before the end that says so
  unsealed,  ///< leaves out the checksum
  overlong,  ///< sends more chunks than were allowed
  error,     ///< answers 500
  stall,     ///< waits for a long time before it goes on
  skip,      ///< leaves out a chunk's number
  repeat,    ///< uses a chunk's number twice
};
/// `none` for any other name.
Fault fault_of(const std::string& name);

/// Which of the next requests are hit by a fault.
class FaultScript {
 public:
  /// The fault hits `count` requests, every `every`th; this replaces what was set before.
  void set(Fault fault, uint64_t count, uint64_t every);
  /// The fault of the next request.
  Fault next();

 private:
  std::mutex mutex_;
  Fault fault_ = Fault::none;
  uint64_t left_ = 0;
  uint64_t every_ = 1;
  uint64_t requests_ = 0;
};

struct ReplicaOptions {
  std::string name;
  /// "model" or "app".
  std::string kind;
  /// Each run is appended to this file; empty: none.
  std::string runs_file;
  int chunks = 8;
  /// Milliseconds between a model's chunks, or before an application's answer.
  int chunk_interval_ms = 20;
};

/// Answers HTTP requests on the server's threads.
class StandInReplica {
 public:
  explicit StandInReplica(const ReplicaOptions& options);
  ApiResponse handle(const ApiRequest& request);

 private:
  /// Counts a request as running for as long as it lives.
  class Running;

  ApiResponse handle_control(const ApiRequest& request);
  ApiResponse handle_turn(const ApiRequest& request);
  ApiResponse handle_application(const ApiRequest& request);
  /// Notes in the runs file that a request has run.
  void record_run(const std::string& request, const std::string& kind);

  ReplicaOptions options_;
  FaultScript faults_;
  std::mutex runs_mutex_;
  std::ofstream runs_;
  std::atomic<int> running_{0};
  std::atomic<int> most_running_{0};
};

}  // namespace mosskeel::replica_sim
