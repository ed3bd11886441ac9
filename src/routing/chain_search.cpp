#include "routing/chain_search.hpp"

#include "history/constants.hpp"
#include "routing/constants.hpp"

namespace mosskeel {

ChainSearch::State ChainSearch::advance(Outbox& outbox, const Metadata& metadata, const std::string& turn,
                                        TimePoint started_at, TimePoint now) {
  active_ = true;
  bool send_now = now - last_sent_at_ >= kStoreRetryInterval;
  size_t unanswered = 0;
  for (auto& [id, daemon] : metadata.directory) {
    if (daemon.self.role != Role::store || daemon.state == DaemonState::left || stores_without_turn_.count(id))
      continue;
    ++unanswered;
    if (send_now)
      outbox.send(daemon.self.address, FindChain{turn}, daemon.self.incarnation);
  }
  if (send_now)
    last_sent_at_ = now;
  if (unanswered == 0)
    return State::missing;
  return now - started_at > kChainSearchTimeout ? State::timed_out : State::searching;
}

}  // namespace mosskeel
