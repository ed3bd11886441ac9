// Fields of messages, records and settings are initialized by default.
#include <array>
#include <cstring>
#include <new>

#include "consensus/controller_records.hpp"
#include "history/store_records.hpp"
#include "messages/message.hpp"
#include "metadata/transformation.hpp"
#include "runtime/settings_file.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

/// Default-initializes, as a declaration without an initializer does. Not inlined, since the optimizer could otherwise
/// remove the writes to the memory that precede it.
template <class Value>
__attribute__((noipa)) Value* construct(void* memory) {
  return new (memory) Value;
}

/// Whether a value default-initialized in memory with non-zero content equals a value-initialized one.
template <class Value>
bool is_zero_when_declared() {
  alignas(Value) std::array<unsigned char, sizeof(Value)> memory;
  std::memset(memory.data(), 0xa5, memory.size());
  auto* value = construct<Value>(memory.data());
  bool is_equal = codec::encode(*value) == codec::encode(Value{});
  value->~Value();
  return is_equal;
}

template <class... Alternatives>
size_t count_not_zero(const std::variant<Alternatives...>*) {
  return (0 + ... + (is_zero_when_declared<Alternatives>() ? 0 : 1));
}

}  // namespace

TEST_CASE("Fields of messages and records are zero or empty until they are set") {
  CHECK(count_not_zero(static_cast<const Message*>(nullptr)) == 0);
  CHECK(count_not_zero(static_cast<const Transformation*>(nullptr)) == 0);
  CHECK(count_not_zero(static_cast<const ControllerRecord*>(nullptr)) == 0);
  CHECK(count_not_zero(static_cast<const StoreRecord*>(nullptr)) == 0);
}

TEST_CASE("Fields of the metadata, its parts and the settings are zero or empty until they are set") {
  CHECK(is_zero_when_declared<Metadata>());
  CHECK(is_zero_when_declared<Configuration>());
  CHECK(is_zero_when_declared<Daemon>());
  CHECK(is_zero_when_declared<Partition>());
  CHECK(is_zero_when_declared<Replica>());
  CHECK(is_zero_when_declared<Envelope>());
  CHECK(is_zero_when_declared<Record>());
  CHECK(is_zero_when_declared<SettingsFile>());
}
