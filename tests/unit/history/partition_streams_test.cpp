// Streaming of partitions to a joining store.
#include "history/partition_streams.hpp"
#include "unit/catch.hpp"

#include "history/constants.hpp"
#include "net/wire.hpp"
#include "unit/history/store_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// Number of stores from which the joining one streams; one page of each is in flight at a time.
constexpr size_t kSources = 3;

/// Store 1, which joins, and its sources, stores 2 to 4, which all have the same histories.
class StreamingStore {
 public:
  StreamingStore(size_t histories, size_t turns, size_t output_bytes) {
    for (uint64_t source = 2; source <= 4; ++source) {
      auto disk = recovered_store(source, joining_cluster(), histories, turns, output_bytes);
      sources_["daemon" + std::to_string(source)] =
          std::make_unique<StoreMachine>(identity_of(source), std::move(disk), kStart);
    }
  }

  /// Runs the joining store's timers. Returns the page requests that it sends.
  std::vector<Envelope> tick(TimePoint now) { return take_requests(store_.tick(now)); }

  /// Runs the joining store's timers, and delivers requests and pages until none is in flight.
  /// @param lost_sources stores that never answer.
  void tick_and_stream(TimePoint now, const std::set<Address>& lost_sources = {}) {
    auto requests = tick(now);
    while (!requests.empty()) {
      most_pages_in_flight_ = std::max(most_pages_in_flight_, store_.streams().pages_in_flight(now));
      std::erase_if(requests, [&](const Envelope& request) { return lost_sources.count(request.to) > 0; });
      requests = stream_pages(requests, now);
    }
  }

  const StoreMachine& store() const { return store_; }
  size_t journaled() const { return journaled_bytes_; }
  /// Bytes of the largest message that any source has sent.
  size_t largest_page() const { return largest_page_; }
  size_t most_pages_in_flight() const { return most_pages_in_flight_; }
  /// The maximum number of pages that one step requested from each source.
  const std::map<Address, size_t>& most_requests_at_once() const { return most_requests_at_once_; }

 private:
  /// Delivers the requests to their sources and the pages to the joining store. Returns the next requests.
  std::vector<Envelope> stream_pages(const std::vector<Envelope>& requests, TimePoint now) {
    std::vector<Envelope> next_requests;
    for (auto& request : requests) {
      for (auto& page : sources_.at(request.to)->step(request, now).now) {
        largest_page_ = std::max(largest_page_, encode(page).size());
        auto more = take_requests(store_.step(page, now));
        next_requests.insert(next_requests.end(), more.begin(), more.end());
      }
    }
    return next_requests;
  }

  std::vector<Envelope> take_requests(const Actions& actions) {
    std::vector<Envelope> requests;
    std::map<Address, size_t> by_source;
    journaled_bytes_ += journaled_bytes(actions);
    for (auto* messages : {&actions.now, &actions.synced}) {
      for (auto& envelope : *messages) {
        bool is_request = std::holds_alternative<StreamPartition>(envelope.body) ||
                          std::holds_alternative<ReadRecords>(envelope.body);
        if (!is_request)
          continue;
        requests.push_back(envelope);
        ++by_source[envelope.to];
      }
    }
    for (auto& [source, count] : by_source)
      most_requests_at_once_[source] = std::max(most_requests_at_once_[source], count);
    return requests;
  }

  std::map<Address, std::unique_ptr<StoreMachine>> sources_;
  StoreMachine store_{identity_of(1), recovered_store(1, joining_cluster(), 0, 0, 0), kStart};
  size_t journaled_bytes_ = 0;
  size_t most_pages_in_flight_ = 0;
  size_t largest_page_ = 0;
  std::map<Address, size_t> most_requests_at_once_;
};

}  // namespace

TEST_CASE("A joining store streams its partitions with few pages in flight and one of each source") {
  StreamingStore streaming(400, 4, 4000);

  streaming.tick_and_stream(kStart + kTickInterval);

  CHECK(streaming.store().streams().completed_sequence() == kPendingEpoch);
  CHECK(streaming.store().history_count() == 400);
  CHECK(streaming.most_pages_in_flight() <= kSources);
  for (auto& [source, count] : streaming.most_requests_at_once())
    CHECK(count == 1);
}

TEST_CASE("A history that two sources sent is journaled once") {
  constexpr size_t kHistories = 200;
  constexpr size_t kTurns = 2;
  constexpr size_t kOutputBytes = 4000;
  constexpr size_t kAllOutputBytes = kHistories * kTurns * kOutputBytes;
  StreamingStore streaming(kHistories, kTurns, kOutputBytes);

  streaming.tick_and_stream(kStart + kTickInterval);

  CHECK(streaming.journaled() > kAllOutputBytes);
  CHECK(streaming.journaled() < kAllOutputBytes * 5 / 4);
}

TEST_CASE("A page in flight is not requested again before its time-out") {
  StreamingStore streaming(50, 2, 1000);

  CHECK(streaming.tick(kStart + kTickInterval).size() == kSources);
  for (Duration elapsed = 2 * kTickInterval; elapsed < kStreamPageTimeout; elapsed += kTickInterval)
    CHECK(streaming.tick(kStart + elapsed).empty());
  CHECK(streaming.tick(kStart + kTickInterval + kStreamPageTimeout).size() == kSources);
}

TEST_CASE("Partitions are streamed though one of their sources does not answer") {
  StreamingStore streaming(100, 2, 4000);

  for (Duration elapsed = kTickInterval; elapsed < 4 * kStreamPageTimeout; elapsed += kTickInterval)
    streaming.tick_and_stream(kStart + elapsed, {"daemon3"});

  CHECK(streaming.store().streams().completed_sequence() == kPendingEpoch);
  CHECK(streaming.store().history_count() == 100);
}

// Guards against a history too large for any message, because of which its partition could never move between stores.
TEST_CASE("Histories that are too large for a page are streamed in bounded pages, one after the other") {
  constexpr size_t kHistories = 3;
  constexpr size_t kTurns = 170;
  constexpr size_t kOutputBytes = 31000;
  StreamingStore streaming(kHistories, kTurns, kOutputBytes);

  // A source that waited for another large history is asked again after the time-out.
  auto now = kStart + kTickInterval;
  for (size_t round = 0; round < 2 * kHistories; ++round) {
    streaming.tick_and_stream(now);
    now += kStreamPageTimeout;
  }

  CHECK(streaming.store().streams().completed_sequence() == kPendingEpoch);
  REQUIRE(streaming.store().history_count() == kHistories);
  for (size_t i = 0; i < kHistories; ++i) {
    auto name = history_name(i);
    auto& history = streaming.store().partitions().at(partition_of(name)).histories.at(name);
    CHECK(history.records == outcomes(kTurns, kOutputBytes));
    CHECK(history.term == kFirstTerm);
  }
  CHECK(streaming.largest_page() < kRecordsPageBytes + 2 * kOutputBytes);
}
