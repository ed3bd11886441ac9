// How a store streams the partitions that it is about to hold.
#include "history/partition_streams.hpp"
#include "unit/catch.hpp"

#include "history/constants.hpp"
#include "unit/history/store_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// Store 1, which joins, and its sources 2 to 4, which all hold the same histories.
class StreamingStore {
 public:
  StreamingStore(size_t histories, size_t turns, size_t output_bytes) {
    for (uint64_t source = 2; source <= 4; ++source) {
      auto disk = recovered_store(source, joining_fleet(), histories, turns, output_bytes);
      sources_["daemon" + std::to_string(source)] =
          std::make_unique<StoreMachine>(identity_of(source), std::move(disk), kStart);
    }
  }

  /// Lets the store's timers run; the pages that it requests.
  std::vector<Envelope> tick(TimePoint now) { return take_requests(store_.tick(now)); }

  /// The same, and carries requests and pages until none is in flight. Silent sources answer nothing.
  void tick_and_stream(TimePoint now, const std::set<Address>& silent_sources = {}) {
    auto requests = tick(now);
    while (!requests.empty()) {
      most_pages_in_flight_ = std::max(most_pages_in_flight_, store_.streams().pages_in_flight(now));
      std::vector<Envelope> next_requests;
      for (auto& request : requests) {
        if (silent_sources.count(request.to))
          continue;
        for (auto& page : sources_.at(request.to)->step(request, now).now) {
          auto more = take_requests(store_.step(page, now));
          next_requests.insert(next_requests.end(), more.begin(), more.end());
        }
      }
      requests = std::move(next_requests);
    }
  }

  const StoreMachine& store() const { return store_; }
  size_t journaled() const { return journaled_bytes_; }
  size_t most_pages_in_flight() const { return most_pages_in_flight_; }
  /// The most pages that one step requested of each source.
  const std::map<Address, size_t>& most_requests_at_once() const { return most_requests_at_once_; }

 private:
  std::vector<Envelope> take_requests(const Actions& actions) {
    std::vector<Envelope> requests;
    std::map<Address, size_t> by_source;
    journaled_bytes_ += journaled_bytes(actions);
    for (auto* messages : {&actions.now, &actions.synced})
      for (auto& envelope : *messages) {
        if (!std::holds_alternative<StreamPartition>(envelope.body))
          continue;
        requests.push_back(envelope);
        ++by_source[envelope.to];
      }
    for (auto& [source, count] : by_source)
      most_requests_at_once_[source] = std::max(most_requests_at_once_[source], count);
    return requests;
  }

  std::map<Address, std::unique_ptr<StoreMachine>> sources_;
  StoreMachine store_{identity_of(1), recovered_store(1, joining_fleet(), 0, 0, 0), kStart};
  size_t journaled_bytes_ = 0;
  size_t most_pages_in_flight_ = 0;
  std::map<Address, size_t> most_requests_at_once_;
};

}  // namespace

TEST_CASE("A joining store streams its partitions with few pages in flight and one of each source") {
  StreamingStore streaming(400, 4, 4000);

  streaming.tick_and_stream(kStart + kTickInterval);

  CHECK(streaming.store().streams().completed_sequence() == kPendingEpoch);
  CHECK(streaming.store().history_count() == 400);
  CHECK(streaming.most_pages_in_flight() <= 3);
  for (auto& [source, count] : streaming.most_requests_at_once())
    CHECK(count == 1);
}

TEST_CASE("A history that two sources sent is journaled once") {
  StreamingStore streaming(200, 2, 4000);

  streaming.tick_and_stream(kStart + kTickInterval);

  CHECK(streaming.journaled() > 200 * 2 * 4000);
  CHECK(streaming.journaled() < 200 * 2 * 4000 * 5 / 4);
}

TEST_CASE("A page in flight is not requested again before its time-out") {
  StreamingStore streaming(50, 2, 1000);

  CHECK(streaming.tick(kStart + kTickInterval).size() == 3);
  for (Duration elapsed = 2 * kTickInterval; elapsed < kStreamPageTimeout; elapsed += kTickInterval)
    CHECK(streaming.tick(kStart + elapsed).empty());
  CHECK(streaming.tick(kStart + kTickInterval + kStreamPageTimeout).size() == 3);
}

TEST_CASE("Partitions are streamed though one of their stores is silent") {
  StreamingStore streaming(100, 2, 4000);

  for (Duration elapsed = kTickInterval; elapsed < 4 * kStreamPageTimeout; elapsed += kTickInterval)
    streaming.tick_and_stream(kStart + elapsed, {"daemon3"});

  CHECK(streaming.store().streams().completed_sequence() == kPendingEpoch);
  CHECK(streaming.store().history_count() == 100);
}
