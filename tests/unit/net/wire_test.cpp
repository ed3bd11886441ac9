// Tests of the encoding of messages between daemons.
#include "net/wire.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

Envelope sample_envelope() {
  AppendHistory append{};
  append.history = {"news", "p"};
  append.partition = PartitionId{3};
  append.term = Epoch{4};
  append.from = 2;
  append.records = {Record{RecordKind::reservation, "k", "main", 1, 2, 3, 0, DaemonId{4}, 5, "in", ""}};
  Envelope envelope{};
  envelope.protocol = kProtocolRevision;
  envelope.cluster = 9;
  envelope.from = "127.0.0.1:1";
  envelope.body = std::move(append);
  return envelope;
}

std::string with_checksum(std::string bytes) {
  codec::put(bytes, digest(bytes));
  return bytes;
}

/// Returns the encoded envelope with its message kind replaced by an unknown one.
std::string with_unknown_kind(const Envelope& envelope) {
  auto bytes = codec::encode(envelope);
  auto body = codec::encode(envelope.body);
  std::string unknown_kind;
  codec::put(unknown_kind, static_cast<uint16_t>(std::variant_size_v<Message>));
  auto kind = body.substr(0, unknown_kind.size());
  auto kind_offset = bytes.rfind(kind, bytes.size() - body.size());
  REQUIRE(kind_offset != std::string::npos);
  bytes.replace(kind_offset, unknown_kind.size(), unknown_kind);
  return bytes;
}

}  // namespace

TEST_CASE("decode returns the message that was encoded") {
  auto envelope = sample_envelope();

  auto decoded = decode(encode(envelope));

  REQUIRE(decoded);
  CHECK(encode(*decoded) == encode(envelope));
  CHECK(std::get<AppendHistory>(decoded->body).records.at(0).input == "in");
}

TEST_CASE("decode rejects a message that was truncated at any byte") {
  auto bytes = encode(sample_envelope());

  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(decode(bytes.substr(0, size)));
  }
}

TEST_CASE("decode rejects a message with a damaged byte") {
  auto bytes = encode(sample_envelope());

  for (size_t offset = 0; offset < bytes.size(); ++offset) {
    auto damaged = bytes;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x41);
    CHECK_FALSE(decode(damaged));
  }
}

TEST_CASE("decode rejects another revision of the protocol") {
  auto envelope = sample_envelope();
  envelope.protocol = 7;

  CHECK_FALSE(decode(encode(envelope)));
}

TEST_CASE("decode rejects a message of an unknown kind") {
  auto envelope = sample_envelope();
  REQUIRE(decode(with_checksum(codec::encode(envelope))));

  CHECK_FALSE(decode(with_checksum(with_unknown_kind(envelope))));
}
