// Tests of sending messages to peers that are away, return or do not read.
#include "net/message_sender.hpp"

#include <malloc.h>
#include <sched.h>

#include <deque>
#include <filesystem>
#include <thread>

#include "net/transport.hpp"
#include "socket_peer.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

constexpr SendQueueLimits kLimits{1u << 20, 3u << 20};
constexpr size_t kLargeMessageBytes = 200u << 10;
constexpr Duration kDeliveryTimeout = 10000ms;

/// With which nng's PULL socket begins a connection.
constexpr char kPullHeader[] = {0, 'S', 'P', 0, 0, 0x51, 0, 0};

bool wait_until(const std::function<bool()>& holds) {
  for (auto deadline = monotonic_now() + kDeliveryTimeout; !holds();) {
    if (monotonic_now() >= deadline)
      return false;
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

Address unused_address() {
  auto socket = listening_socket();
  return bound_address(socket.get());
}

Envelope entry_of_epoch(uint64_t epoch, const Address& to, size_t bytes) {
  Envelope envelope{};
  envelope.protocol = kProtocolRevision;
  envelope.epoch = Epoch{epoch};
  envelope.to = to;
  ProgramResponse response{};
  response.body = std::string(bytes, 'x');
  envelope.body = std::move(response);
  return envelope;
}

/// A transport that records the epochs of what it receives.
struct Receiver {
  std::mutex mutex;
  std::vector<uint64_t> epochs;
  std::unique_ptr<Transport> transport;

  explicit Receiver(const Address& address) {
    auto opened = Transport::open(address, kLimits, [this](Envelope envelope, size_t) {
      std::lock_guard lock(mutex);
      epochs.push_back(envelope.epoch.value());
    });
    REQUIRE(opened.ok());
    transport = std::move(opened).value();
  }
  std::vector<uint64_t> received() {
    std::lock_guard lock(mutex);
    return epochs;
  }
  bool has_received(uint64_t epoch) {
    auto all = received();
    return std::find(all.begin(), all.end(), epoch) != all.end();
  }
};

/// Runs all threads of the process on one processor, so that they are interrupted at any point.
class OneProcessor {
 public:
  OneProcessor() {
    ::sched_getaffinity(0, sizeof allowed_, &allowed_);
    cpu_set_t one;
    CPU_ZERO(&one);
    for (int processor = 0; processor < CPU_SETSIZE && CPU_COUNT(&one) == 0; ++processor) {
      if (CPU_ISSET(processor, &allowed_))
        CPU_SET(processor, &one);
    }
    set_all(one);
  }
  ~OneProcessor() { set_all(allowed_); }
  OneProcessor(const OneProcessor&) = delete;

 private:
  static void set_all(const cpu_set_t& processors) {
    for (const auto& thread : std::filesystem::directory_iterator("/proc/self/task"))
      ::sched_setaffinity(std::stoi(thread.path().filename()), sizeof processors, &processors);
  }

  cpu_set_t allowed_;
};

/// A peer that takes connections and resets each after some milliseconds, in the middle of what it is sent.
class ResettingPeer {
 public:
  ResettingPeer() : thread_([this] { run(); }) {}
  ~ResettingPeer() {
    stop_requested_ = true;
    thread_.join();
  }
  Address address() const { return bound_address(listener_.get()); }
  int connections() const { return connections_; }

 private:
  void run() {
    while (!stop_requested_) {
      std::this_thread::sleep_for(1ms);
      if (Fd accepted{::accept(listener_.get(), nullptr, nullptr)})
        read_and_reset(std::move(accepted));
    }
  }
  void read_and_reset(Fd accepted) {
    ::send(accepted.get(), kPullHeader, sizeof kPullHeader, MSG_NOSIGNAL);
    char buffer[4096];
    for (int piece = 0; piece < 1 + connections_ % 8; ++piece) {
      [[maybe_unused]] auto received = ::recv(accepted.get(), buffer, sizeof buffer, MSG_DONTWAIT);
      std::this_thread::sleep_for(1ms);
    }
    reset_on_close(accepted.get());
    ++connections_;
  }

  Fd listener_ = listening_socket();
  std::atomic<bool> stop_requested_{false};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

std::unique_ptr<Transport> open_sender() {
  auto opened = Transport::open("127.0.0.1:0", kLimits, [](Envelope, size_t) {});
  REQUIRE(opened.ok());
  return std::move(opened).value();
}

}  // namespace

// Guards against review case 8: each change of the configuration cost a controller memory for each front that was gone.
TEST_CASE(
    "A transport holds a bounded number of bytes for peers that are gone, and the newest reach one that returns") {
  auto sender = open_sender();
  std::vector<Address> gone;
  for (int i = 0; i < 8; ++i)
    gone.push_back(unused_address());

  constexpr uint64_t kMessages = 60;
  for (uint64_t epoch = 1; epoch <= kMessages; ++epoch) {
    for (const auto& peer : gone)
      sender->send(entry_of_epoch(epoch, peer, kLargeMessageBytes));
    CHECK(sender->queued_bytes() <= kLimits.total_bytes);
  }
  CHECK(sender->dropped() > 0);

  Receiver returned(gone.front());
  REQUIRE(wait_until([&] { return returned.has_received(kMessages); }));
  sender->send(entry_of_epoch(kMessages + 1, gone.front(), 10));

  CHECK(wait_until([&] { return returned.has_received(kMessages + 1); }));
  auto epochs = returned.received();
  CHECK(std::is_sorted(epochs.begin(), epochs.end()));
}

// Guards against a bound that holds for lost connections only: a frozen process keeps its connection and reads nothing.
TEST_CASE("A transport holds a bounded number of bytes for a peer that is connected and does not read") {
  auto sender = open_sender();
  auto listener = listening_socket();
  auto frozen = bound_address(listener.get());
  Fd connection;
  sender->send(entry_of_epoch(1, frozen, 10));
  REQUIRE(wait_until([&] {
    connection = Fd(::accept(listener.get(), nullptr, nullptr));
    return static_cast<bool>(connection);
  }));
  REQUIRE(::send(connection.get(), kPullHeader, sizeof kPullHeader, MSG_NOSIGNAL) == sizeof kPullHeader);

  for (uint64_t epoch = 2; epoch < 200; ++epoch) {
    sender->send(entry_of_epoch(epoch, frozen, kLargeMessageBytes));
    CHECK(sender->queued_bytes() <= kLimits.peer_bytes);
  }

  CHECK(sender->dropped() > 100);
}

TEST_CASE("A transport delivers a burst of messages to a peer in order and without loss") {
  auto sender = open_sender();
  auto address = unused_address();
  Receiver receiver(address);

  constexpr uint64_t kMessages = 2000;
  for (uint64_t epoch = 1; epoch <= kMessages; ++epoch)
    sender->send(entry_of_epoch(epoch, address, 100));

  REQUIRE(wait_until([&] { return receiver.has_received(kMessages); }));
  auto epochs = receiver.received();
  CHECK(epochs.size() == kMessages);
  CHECK(std::is_sorted(epochs.begin(), epochs.end()));
  CHECK(sender->dropped() == 0);
}

// Guards against messages that are lost or stuck when a peer's connection ends while a message is on its way.
TEST_CASE("A transport reaches a peer that goes and returns again and again") {
  auto sender = open_sender();
  auto address = unused_address();
  uint64_t epoch = 0;

  for (int round = 0; round < 8; ++round) {
    for (int i = 0; i < 10; ++i)
      sender->send(entry_of_epoch(++epoch, address, kLargeMessageBytes));
    Receiver receiver(address);
    // A message that was on its way when the connection ended is lost, like one in transit.
    auto sent_before_return = epoch;
    REQUIRE(wait_until([&] {
      sender->send(entry_of_epoch(++epoch, address, 10));
      auto epochs = receiver.received();
      return !epochs.empty() && epochs.back() > sent_before_return;
    }));
    CHECK(sender->queued_bytes() <= kLimits.peer_bytes);
  }
}

// Guards against a crash in nng 1.5, which sends on a connection that it has freed if a send on it completed as it was
// closed.
TEST_CASE("A transport survives connections that are reset in the middle of messages") {
  constexpr int kPeers = 8;
  constexpr int kResets = 1000;
  constexpr auto kSendInterval = std::chrono::microseconds(150);
  constexpr int kFreedMemoryPattern = 165;
  OneProcessor one_processor;
  auto sender = open_sender();
  std::deque<ResettingPeer> peers(kPeers);
  ::mallopt(M_PERTURB, kFreedMemoryPattern);

  auto resets = [&] {
    int count = 0;
    for (const auto& peer : peers)
      count += peer.connections();
    return count;
  };
  auto deadline = monotonic_now() + 2 * kDeliveryTimeout;
  while (resets() < kResets && monotonic_now() < deadline) {
    for (const auto& peer : peers)
      sender->send(entry_of_epoch(1, peer.address(), 100));
    std::this_thread::sleep_for(kSendInterval);
  }
  ::mallopt(M_PERTURB, 0);

  CHECK(resets() >= kResets);
  CHECK(sender->queued_bytes() <= kLimits.total_bytes);
}
