#pragma once
// Binary encoding of messages and log records, generated from struct definitions with Boost.Hana.
//
// Numbers are in the machine's byte order, which is little-endian. Strings and containers are prefixed with a 32-bit
// count, variants with the 16-bit index of their alternative. A struct is encoded as its fields in the order of their
// definition. There are no names and no padding, so the order of fields and alternatives defines the format.
#include <boost/hana.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

#include "base/fields.hpp"
#include "mosskeel/common.hpp"

namespace mosskeel::codec {
namespace hana = boost::hana;

/// Reads from an encoding; holds the bytes that have not been read yet.
struct Reader {
  std::string_view remaining;

  /// Copies the next `size` bytes to `target`. Returns false and reads nothing if there are fewer.
  bool take(void* target, size_t size) {
    if (remaining.size() < size)
      return false;
    std::memcpy(target, remaining.data(), size);
    remaining.remove_prefix(size);
    return true;
  }
};

template <class T>
struct is_strong : std::false_type {};
template <class Tag, class T>
struct is_strong<Strong<Tag, T>> : std::true_type {};
template <class T>
constexpr bool kIsDuration = false;
template <class Rep, class Period>
constexpr bool kIsDuration<std::chrono::duration<Rep, Period>> = true;

// `put` appends the encoding of a value. `get` decodes a value and returns false if the bytes are invalid.
template <class T>
void put(std::string& out, const T& value);
template <class T>
bool get(Reader& reader, T& value);
void put(std::string& out, const std::string& value);
bool get(Reader& reader, std::string& value);
template <class First, class Second>
void put(std::string& out, const std::pair<First, Second>& value);
template <class First, class Second>
bool get(Reader& reader, std::pair<First, Second>& value);
template <class T>
void put(std::string& out, const std::vector<T>& values);
template <class T>
bool get(Reader& reader, std::vector<T>& values);
template <class T>
void put(std::string& out, const std::set<T>& values);
template <class T>
bool get(Reader& reader, std::set<T>& values);
template <class Key, class T>
void put(std::string& out, const std::map<Key, T>& values);
template <class Key, class T>
bool get(Reader& reader, std::map<Key, T>& values);
template <class T>
void put(std::string& out, const std::optional<T>& value);
template <class T>
bool get(Reader& reader, std::optional<T>& value);
template <class... T>
void put(std::string& out, const std::variant<T...>& value);
template <class... T>
bool get(Reader& reader, std::variant<T...>& value);

inline void put(std::string& out, const std::string& value) {
  put(out, static_cast<uint32_t>(value.size()));
  out += value;
}

inline bool get(Reader& reader, std::string& value) {
  uint32_t size = 0;
  if (!get(reader, size) || reader.remaining.size() < size)
    return false;
  value.assign(reader.remaining.data(), size);
  reader.remaining.remove_prefix(size);
  return true;
}

template <class First, class Second>
void put(std::string& out, const std::pair<First, Second>& value) {
  put(out, value.first);
  put(out, value.second);
}

template <class First, class Second>
bool get(Reader& reader, std::pair<First, Second>& value) {
  return get(reader, value.first) && get(reader, value.second);
}

template <class Container>
void put_all(std::string& out, const Container& values) {
  put(out, static_cast<uint32_t>(values.size()));
  for (const auto& value : values)
    put(out, value);
}

template <class T>
void put(std::string& out, const std::vector<T>& values) {
  put_all(out, values);
}

template <class T>
void put(std::string& out, const std::set<T>& values) {
  put_all(out, values);
}

template <class Key, class T>
void put(std::string& out, const std::map<Key, T>& values) {
  put_all(out, values);
}

template <class T>
void put(std::string& out, const std::optional<T>& value) {
  put(out, static_cast<uint8_t>(value.has_value()));
  if (value)
    put(out, *value);
}

template <class... T>
void put(std::string& out, const std::variant<T...>& value) {
  put(out, static_cast<uint16_t>(value.index()));
  std::visit([&](const auto& alternative) { put(out, alternative); }, value);
}

template <class T>
bool get(Reader& reader, std::vector<T>& values) {
  uint32_t count = 0;
  // Each element takes at least one byte, so a count above the number of remaining bytes indicates corruption and must
  // not cause an allocation.
  if (!get(reader, count) || count > reader.remaining.size())
    return false;
  values.clear();
  for (uint32_t index = 0; index < count; ++index) {
    values.emplace_back();
    if (!get(reader, values.back()))
      return false;
  }
  return true;
}

template <class T>
bool get(Reader& reader, std::set<T>& values) {
  std::vector<T> elements;
  if (!get(reader, elements))
    return false;
  values = std::set<T>(elements.begin(), elements.end());
  return true;
}

template <class Key, class T>
bool get(Reader& reader, std::map<Key, T>& values) {
  std::vector<std::pair<Key, T>> elements;
  if (!get(reader, elements))
    return false;
  values = std::map<Key, T>(elements.begin(), elements.end());
  return true;
}

template <class T>
bool get(Reader& reader, std::optional<T>& value) {
  uint8_t present = 0;
  if (!get(reader, present) || present > 1)
    return false;
  if (!present) {
    value.reset();
    return true;
  }
  value.emplace();
  return get(reader, *value);
}

template <size_t Index = 0, class... T>
bool get_alternative(Reader& reader, std::variant<T...>& value, size_t index) {
  if constexpr (Index < sizeof...(T)) {
    if (index == Index)
      return get(reader, value.template emplace<Index>());
    return get_alternative<Index + 1>(reader, value, index);
  } else {
    return false;
  }
}

template <class... T>
bool get(Reader& reader, std::variant<T...>& value) {
  uint16_t index = 0;
  return get(reader, index) && get_alternative(reader, value, index);
}

template <class T>
void put(std::string& out, const T& value) {
  if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
    out.append(reinterpret_cast<const char*>(&value), sizeof value);
  } else if constexpr (is_strong<T>::value) {
    put(out, value.value());
  } else if constexpr (kIsDuration<T>) {
    put(out, value.count());
  } else if constexpr (!std::is_empty_v<T>) {
    hana::for_each(hana::accessors<T>(), [&](auto field) { put(out, hana::second(field)(value)); });
  }
}

template <class T>
bool get(Reader& reader, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;
    if (!get(reader, byte) || byte > 1)
      return false;
    value = byte;
    return true;
  } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
    return reader.take(&value, sizeof value);
  } else if constexpr (is_strong<T>::value) {
    std::remove_cvref_t<decltype(value.value())> number{};
    if (!get(reader, number))
      return false;
    value = T(std::move(number));
    return true;
  } else if constexpr (kIsDuration<T>) {
    typename T::rep count{};
    if (!get(reader, count))
      return false;
    value = T(count);
    return true;
  } else if constexpr (std::is_empty_v<T>) {
    return true;
  } else {
    bool complete = true;
    hana::for_each(hana::accessors<T>(),
                   [&](auto field) { complete = complete && get(reader, hana::second(field)(value)); });
    return complete;
  }
}

/// Returns the encoding of a value.
template <class T>
std::string encode(const T& value) {
  std::string out;
  put(out, value);
  return out;
}

/// Decodes a value. Returns nullopt unless `bytes` encode exactly one T.
template <class T>
std::optional<T> decode(std::string_view bytes) {
  Reader reader{bytes};
  T value{};
  if (!get(reader, value) || !reader.remaining.empty())
    return std::nullopt;
  return value;
}

}  // namespace mosskeel::codec
