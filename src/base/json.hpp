#pragma once
// JSON to structs and back by Boost.Hana; every finding is collected with its place.
#include <boost/hana.hpp>
#include <nlohmann/json.hpp>

#include "base/codec.hpp"

namespace mosskeel::json {
using Json = nlohmann::json;
namespace hana = boost::hana;

template <class T>
void read(const Json& j, const std::string& at, T& x, Errors& f);
template <class T>
void read(const Json& j, const std::string& at, std::vector<T>& v, Errors& f);

template <class T>
void read(const Json& j, const std::string& at, std::vector<T>& v, Errors& f) {
  if (!j.is_array())
    return f.push_back({at, "must be a list"});
  v.clear();
  for (size_t i = 0; i < j.size(); ++i) {
    v.emplace_back();
    read(j[i], at + "[" + std::to_string(i) + "]", v.back(), f);
  }
}

template <class T>
void read(const Json& j, const std::string& at, T& x, Errors& f) {
  if constexpr (std::is_same_v<T, std::string>) {
    if (j.is_string())
      x = j.get<std::string>();
    else
      f.push_back({at, "must be a string"});
  } else if constexpr (std::is_same_v<T, bool>) {
    if (j.is_boolean())
      x = j.get<bool>();
    else
      f.push_back({at, "must be true or false"});
  } else if constexpr (std::is_integral_v<T>) {
    if (!j.is_number_integer() || (std::is_unsigned_v<T> && !j.is_number_unsigned()))
      f.push_back({at, "must be a whole number"});
    else if (static_cast<Json::number_unsigned_t>(j.get<T>()) != j.get<Json::number_unsigned_t>())
      f.push_back({at, "is out of range"});
    else
      x = j.get<T>();
  } else if constexpr (std::is_floating_point_v<T>) {
    if (j.is_number())
      x = j.get<T>();
    else
      f.push_back({at, "must be a number"});
  } else if constexpr (codec::is_strong<T>::value) {
    std::remove_cvref_t<decltype(x.value())> value{};
    read(j, at, value, f);
    x = T(value);
  } else {
    if (!j.is_object())
      return f.push_back({at.empty() ? "body" : at, "must be an object"});
    std::set<std::string> known;
    hana::for_each(hana::accessors<T>(), [&](auto a) {
      std::string n = hana::to<char const*>(hana::first(a));
      known.insert(n);
      auto p = at.empty() ? n : at + "." + n;
      auto i = j.find(n);
      if (i != j.end())
        read(*i, p, hana::second(a)(x), f);
      else if (!T::optional_fields().count(n))
        f.push_back({p, "is missing"});
    });
    for (auto& [n, v] : j.items())
      if (!known.count(n))
        f.push_back({at.empty() ? n : at + "." + n, "is not known"});
  }
}

template <class T>
Json write(const std::vector<T>& v);
template <class T>
Json write(const T& x) {
  if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    return x;
  } else if constexpr (codec::is_strong<T>::value) {
    return x.value();
  } else {
    Json j = Json::object();
    hana::for_each(hana::accessors<T>(),
                   [&](auto a) { j[hana::to<char const*>(hana::first(a))] = write(hana::second(a)(x)); });
    return j;
  }
}
template <class T>
Json write(const std::vector<T>& v) {
  Json j = Json::array();
  for (auto& x : v)
    j.push_back(write(x));
  return j;
}

/// A whole T out of text, or all findings.
template <class T>
Result<T> parse(const std::string& text) {
  Json j = Json::parse(text, nullptr, false);
  if (j.is_discarded())
    return Errors{{"body", "is no JSON"}};
  T x{};
  Errors f;
  read(j, "", x, f);
  if (!f.empty())
    return f;
  return x;
}

}  // namespace mosskeel::json
