#pragma once
// Bodies of messages and log records, generated from structs by Boost.Hana.
#include <boost/hana.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

#include "mosskeel/common.hpp"

namespace mosskeel::codec {
namespace hana = boost::hana;

struct Reader {
  std::string_view s;
  bool take(void* p, size_t n) {
    if (s.size() < n)
      return false;
    std::memcpy(p, s.data(), n);
    s.remove_prefix(n);
    return true;
  }
};

template <class T>
struct is_strong : std::false_type {};
template <class G, class T>
struct is_strong<Strong<G, T>> : std::true_type {};

template <class T>
void put(std::string& o, const T& x);
template <class T>
bool get(Reader& r, T& x);
void put(std::string& o, const std::string& x);
bool get(Reader& r, std::string& x);
template <class A, class B>
void put(std::string& o, const std::pair<A, B>& x);
template <class A, class B>
bool get(Reader& r, std::pair<A, B>& x);
template <class T>
void put(std::string& o, const std::vector<T>& x);
template <class T>
bool get(Reader& r, std::vector<T>& x);
template <class T>
void put(std::string& o, const std::set<T>& x);
template <class T>
bool get(Reader& r, std::set<T>& x);
template <class K, class V>
void put(std::string& o, const std::map<K, V>& x);
template <class K, class V>
bool get(Reader& r, std::map<K, V>& x);
template <class T>
void put(std::string& o, const std::optional<T>& x);
template <class T>
bool get(Reader& r, std::optional<T>& x);
template <class... T>
void put(std::string& o, const std::variant<T...>& x);
template <class... T>
bool get(Reader& r, std::variant<T...>& x);

inline void put(std::string& o, const std::string& x) {
  put(o, static_cast<uint32_t>(x.size()));
  o += x;
}
inline bool get(Reader& r, std::string& x) {
  uint32_t n;
  if (!get(r, n) || r.s.size() < n)
    return false;
  x.assign(r.s.data(), n);
  r.s.remove_prefix(n);
  return true;
}

template <class A, class B>
void put(std::string& o, const std::pair<A, B>& x) {
  put(o, x.first);
  put(o, x.second);
}
template <class A, class B>
bool get(Reader& r, std::pair<A, B>& x) {
  return get(r, x.first) && get(r, x.second);
}

template <class C>
void put_all(std::string& o, const C& c) {
  put(o, static_cast<uint32_t>(c.size()));
  for (auto& e : c)
    put(o, e);
}
template <class T>
void put(std::string& o, const std::vector<T>& x) {
  put_all(o, x);
}
template <class T>
void put(std::string& o, const std::set<T>& x) {
  put_all(o, x);
}
template <class K, class V>
void put(std::string& o, const std::map<K, V>& x) {
  put_all(o, x);
}
template <class T>
void put(std::string& o, const std::optional<T>& x) {
  put(o, static_cast<uint8_t>(x.has_value()));
  if (x)
    put(o, *x);
}
template <class... T>
void put(std::string& o, const std::variant<T...>& x) {
  put(o, static_cast<uint16_t>(x.index()));
  std::visit([&](auto& v) { put(o, v); }, x);
}

template <class T>
bool get(Reader& r, std::vector<T>& x) {
  uint32_t n;
  if (!get(r, n) || n > r.s.size())
    return false;
  x.clear();
  for (uint32_t i = 0; i < n; ++i) {
    x.emplace_back();
    if (!get(r, x.back()))
      return false;
  }
  return true;
}
template <class T>
bool get(Reader& r, std::set<T>& x) {
  std::vector<T> v;
  if (!get(r, v))
    return false;
  x = std::set<T>(v.begin(), v.end());
  return true;
}
template <class K, class V>
bool get(Reader& r, std::map<K, V>& x) {
  std::vector<std::pair<K, V>> v;
  if (!get(r, v))
    return false;
  x = std::map<K, V>(v.begin(), v.end());
  return true;
}
template <class T>
bool get(Reader& r, std::optional<T>& x) {
  uint8_t b;
  if (!get(r, b) || b > 1)
    return false;
  if (!b) {
    x.reset();
    return true;
  }
  x.emplace();
  return get(r, *x);
}
template <size_t I = 0, class... T>
bool get_at(Reader& r, std::variant<T...>& x, size_t i) {
  if constexpr (I < sizeof...(T)) {
    if (i == I)
      return get(r, x.template emplace<I>());
    return get_at<I + 1>(r, x, i);
  } else {
    return false;
  }
}
template <class... T>
bool get(Reader& r, std::variant<T...>& x) {
  uint16_t i;
  return get(r, i) && get_at(r, x, i);
}

template <class T>
void put(std::string& o, const T& x) {
  if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
    o.append(reinterpret_cast<const char*>(&x), sizeof x);
  } else if constexpr (is_strong<T>::value) {
    put(o, x.value());
  } else if constexpr (!std::is_empty_v<T>) {
    hana::for_each(hana::accessors<T>(), [&](auto a) { put(o, hana::second(a)(x)); });
  }
}
template <class T>
bool get(Reader& r, T& x) {
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t b;
    if (!get(r, b) || b > 1)
      return false;
    x = b;
    return true;
  } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
    return r.take(&x, sizeof x);
  } else if constexpr (is_strong<T>::value) {
    std::remove_cvref_t<decltype(x.value())> value{};
    if (!get(r, value))
      return false;
    x = T(value);
    return true;
  } else if constexpr (std::is_empty_v<T>) {
    return true;
  } else {
    bool good = true;
    hana::for_each(hana::accessors<T>(), [&](auto a) { good = good && get(r, hana::second(a)(x)); });
    return good;
  }
}

template <class T>
std::string pack(const T& x) {
  std::string o;
  put(o, x);
  return o;
}
/// Nothing unless the bytes are exactly one T.
template <class T>
std::optional<T> unpack(std::string_view s) {
  Reader r{s};
  T x{};
  if (!get(r, x) || !r.s.empty())
    return std::nullopt;
  return x;
}

}  // namespace mosskeel::codec
