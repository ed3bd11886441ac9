// Tests that a replica's response is read no faster than the caller reads it.
#include <sys/resource.h>

#include <fstream>

#include "net/backpressure.hpp"
#include "test_server.hpp"

using namespace mosskeel;

namespace {

constexpr size_t kResponseBytes = 1 << 20;
constexpr int kSocketBufferBytes = 32 << 10;
/// The most that the listener may buffer of one response: its high watermark plus one read of the upstream client.
constexpr size_t kMaxUnsentBytes = HttpListener::kHighWatermark + (16 << 10);

/// Returns the resident memory of this process.
size_t resident_bytes() {
  constexpr size_t kPageBytes = 4096;
  size_t total_pages = 0;
  size_t resident_pages = 0;
  std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
  return resident_pages * kPageBytes;
}

/// Callers that do not read, a proxy, and a replica that sends a large response to each request.
struct SlowCallersFixture {
  TestServer replica{kSocketBufferBytes};
  TestServer proxy{kSocketBufferBytes};
  std::map<uint64_t, uint64_t> request_of_exchange;
  std::map<uint64_t, uint64_t> exchange_of_request;
  size_t completions = 0;
  UpstreamClient client{proxy.loop,
                        {[this](uint64_t request, UpstreamClient::ResponseHead&& head) {
                           proxy.listener->send_head(exchange_of_request.at(request), head.status, {},
                                                     head.content_length);
                         },
                         [this](uint64_t request, std::string_view bytes) {
                           auto exchange = exchange_of_request.at(request);
                           proxy.listener->send_body(exchange, bytes);
                           backpressure->on_forwarded(exchange, request);
                         },
                         [this](uint64_t request) {
                           auto exchange = exchange_of_request.at(request);
                           backpressure->on_finished(exchange);
                           proxy.listener->finish(exchange);
                           ++completions;
                         },
                         [](uint64_t, UpstreamClient::Delivery, std::string) {
                         }}};
  std::unique_ptr<Backpressure> backpressure;
  std::vector<std::unique_ptr<SocketPeer>> callers;
  std::thread replica_thread;

  SlowCallersFixture() {
    backpressure = std::make_unique<Backpressure>(*proxy.listener, client);
    proxy.respond = [this](uint64_t exchange) {
      auto request = client.send_request({replica.address(), "GET", "/", {{"Host", "r"}}, "", true});
      request_of_exchange[exchange] = request;
      exchange_of_request[request] = exchange;
    };
    proxy.on_drained = [this](uint64_t exchange) {
      backpressure->on_drained(exchange);
    };
  }

  ~SlowCallersFixture() {
    replica.loop.stop();
    if (replica_thread.joinable()) {
      replica_thread.join();
    }
  }

  void add_caller() {
    callers.push_back(std::make_unique<SocketPeer>(proxy.address()));
    set_socket_option(callers.back()->socket.get(), SOL_SOCKET, SO_RCVBUF, kSocketBufferBytes);
    callers.back()->send(kClosingGetRequest);
  }

  /// Runs the replica on its own thread and responds to its requests.
  void run_replica() {
    replica.respond = [this](uint64_t exchange) {
      replica.listener->send_head(exchange, 200, {}, kResponseBytes);
      replica.listener->send_body(exchange, std::string(kResponseBytes, 'x'));
      replica.listener->finish(exchange);
    };
    replica_thread = std::thread([this] { replica.loop.run(); });
  }

  std::vector<size_t> unsent_bytes() const {
    std::vector<size_t> unsent;
    for (const auto& [exchange, request] : request_of_exchange) {
      unsent.push_back(proxy.listener->unsent_bytes(exchange));
    }
    return unsent;
  }

  size_t most_unsent_bytes() const {
    auto unsent = unsent_bytes();
    return unsent.empty() ? 0 : *std::max_element(unsent.begin(), unsent.end());
  }
};

void raise_descriptor_limit() {
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &descriptors);
}

}  // namespace

TEST_CASE("Backpressure bounds what is buffered for callers that do not read, and they get complete responses later") {
  SlowCallersFixture fixture;
  fixture.run_replica();
  for (int caller = 0; caller < 20; ++caller) {
    fixture.add_caller();
  }
  REQUIRE(run_until(fixture.proxy.loop, [&] { return fixture.backpressure->paused() == fixture.callers.size(); }));
  run_iterations(fixture.proxy.loop, 50);

  CHECK(fixture.most_unsent_bytes() <= kMaxUnsentBytes);
  CHECK(fixture.completions == 0);

  REQUIRE(run_until(fixture.proxy.loop, [&] {
    return std::all_of(fixture.callers.begin(), fixture.callers.end(), [](auto& caller) { return caller->receive(); });
  }));

  for (const auto& caller : fixture.callers) {
    CHECK(count_occurrences(caller->received, "x") == kResponseBytes);
  }

  CHECK(fixture.backpressure->paused() == 0);
}

TEST_CASE("Backpressure buffers a thousand slow streams in bounded memory", "[.memory]") {
  constexpr size_t kStreams = 1000;
  constexpr size_t kPieceBytes = 32 << 10;
  constexpr int kPieces = 32;
  raise_descriptor_limit();
  SlowCallersFixture fixture;
  auto& replica = *fixture.replica.listener;
  HttpListenerLimits limits;
  limits.max_connections = 2 * kStreams;
  fixture.proxy.listener->set_limits(limits);
  fixture.replica.respond = nullptr;
  for (size_t stream = 0; stream < kStreams; ++stream) {
    fixture.add_caller();
    run_iterations(fixture.proxy.loop, 1);
  }
  REQUIRE(run_until(fixture.proxy.loop, [&] { return fixture.request_of_exchange.size() == kStreams; }));
  auto resident_before = resident_bytes();
  REQUIRE(fixture.replica.run_until_requests(kStreams));
  for (const auto& received : fixture.replica.requests) {
    replica.send_head(received.exchange, 200, {}, kResponseBytes);
  }

  // The replica sends the next piece of a stream once the previous one has been sent.
  for (int piece = 0; piece < kPieces; ++piece) {
    for (const auto& received : fixture.replica.requests) {
      if (replica.unsent_bytes(received.exchange) == 0) {
        replica.send_body(received.exchange, std::string(kPieceBytes, 'x'));
      }
    }
    run_iterations(fixture.replica.loop, 2);
    run_iterations(fixture.proxy.loop, 4);
  }

  size_t buffered_bytes = 0;
  for (auto unsent : fixture.unsent_bytes()) {
    buffered_bytes += unsent;
  }
  auto grown_bytes = resident_bytes() - resident_before;
  WARN("1,000 slow streams: " << buffered_bytes / 1024 << " KiB unsent, " << grown_bytes / 1024
                              << " KiB resident, replica included");

  CHECK(fixture.most_unsent_bytes() <= kMaxUnsentBytes);
  CHECK(buffered_bytes <= kStreams * kMaxUnsentBytes);
}
