#pragma once
// A state machine that counts received messages and sends no replies.
#include <atomic>

#include "runtime/state_machine.hpp"

namespace mosskeel::test {

class SilentMachine : public StateMachine {
 public:
  /// @param steps counts the handled messages; must outlive the state machine.
  explicit SilentMachine(std::atomic<int>& steps) : steps_(steps) {}
  mosskeel::Actions step(const Envelope&, TimePoint) override {
    ++steps_;
    return {};
  }
  mosskeel::Actions tick(TimePoint) override { return {}; }
  MetadataSnapshot view() const override { return metadata_; }

 private:
  std::atomic<int>& steps_;
  MetadataSnapshot metadata_ = std::make_shared<Metadata>();
};

}  // namespace mosskeel::test
