#pragma once
// Converts structs to and from JSON with Boost.Hana. Struct fields have the same names in JSON. All errors are
// collected, each with the path of its field ("cells[0].routes[1].kind").
#include <boost/hana.hpp>
#include <nlohmann/json.hpp>

#include "base/codec.hpp"

namespace mosskeel::json {
using Json = nlohmann::json;
namespace hana = boost::hana;

// Reads `json`, which is located at `path`, into `value` and appends errors to `errors`. A struct lists the fields that
// may be omitted in `optional_fields()`.
template <class T>
void read(const Json& json, const std::string& path, T& value, Errors& errors);
template <class T>
void read(const Json& json, const std::string& path, std::vector<T>& values, Errors& errors);

inline std::string field_path(const std::string& parent, const std::string& name) {
  return parent.empty() ? name : parent + "." + name;
}

template <class T>
void read_integer(const Json& json, const std::string& path, T& value, Errors& errors) {
  if (!json.is_number_integer() || (std::is_unsigned_v<T> && !json.is_number_unsigned())) {
    errors.push_back({path, "must be a whole number"});
    return;
  }
  bool fits = static_cast<Json::number_unsigned_t>(json.get<T>()) == json.get<Json::number_unsigned_t>();
  if (!fits) {
    errors.push_back({path, "is out of range"});
    return;
  }
  value = json.get<T>();
}

template <class T>
void read_struct(const Json& json, const std::string& path, T& value, Errors& errors) {
  if (!json.is_object()) {
    errors.push_back({path.empty() ? "body" : path, "must be an object"});
    return;
  }
  std::set<std::string> known;
  hana::for_each(hana::accessors<T>(), [&](auto field) {
    std::string name = hana::to<char const*>(hana::first(field));
    known.insert(name);
    auto member_path = field_path(path, name);
    auto member = json.find(name);
    if (member != json.end())
      read(*member, member_path, hana::second(field)(value), errors);
    else if (!T::optional_fields().count(name))
      errors.push_back({member_path, "is missing"});
  });
  for (const auto& [name, member] : json.items()) {
    if (!known.count(name))
      errors.push_back({field_path(path, name), "is not known"});
  }
}

template <class T>
void read(const Json& json, const std::string& path, std::vector<T>& values, Errors& errors) {
  if (!json.is_array()) {
    errors.push_back({path, "must be a list"});
    return;
  }
  values.clear();
  for (size_t index = 0; index < json.size(); ++index) {
    values.emplace_back();
    read(json[index], path + "[" + std::to_string(index) + "]", values.back(), errors);
  }
}

template <class T>
void read(const Json& json, const std::string& path, T& value, Errors& errors) {
  if constexpr (std::is_same_v<T, std::string>) {
    if (json.is_string())
      value = json.get<std::string>();
    else
      errors.push_back({path, "must be a string"});
  } else if constexpr (std::is_same_v<T, bool>) {
    if (json.is_boolean())
      value = json.get<bool>();
    else
      errors.push_back({path, "must be true or false"});
  } else if constexpr (std::is_integral_v<T>) {
    read_integer(json, path, value, errors);
  } else if constexpr (std::is_floating_point_v<T>) {
    if (json.is_number())
      value = json.get<T>();
    else
      errors.push_back({path, "must be a number"});
  } else if constexpr (codec::is_strong<T>::value) {
    auto number = value.value();
    read(json, path, number, errors);
    value = T(number);
  } else {
    read_struct(json, path, value, errors);
  }
}

template <class T>
Json write(const std::vector<T>& values);

/// Converts a value to JSON.
template <class T>
Json write(const T& value) {
  if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    return value;
  } else if constexpr (codec::is_strong<T>::value) {
    return value.value();
  } else {
    Json object = Json::object();
    hana::for_each(hana::accessors<T>(), [&](auto field) {
      object[hana::to<char const*>(hana::first(field))] = write(hana::second(field)(value));
    });
    return object;
  }
}

template <class T>
Json write(const std::vector<T>& values) {
  Json array = Json::array();
  for (const auto& value : values)
    array.push_back(write(value));
  return array;
}

/// Parses a complete T from JSON text. Returns all errors if it is invalid.
template <class T>
Result<T> parse(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded())
    return Errors{{"body", "is no JSON"}};
  T value{};
  Errors errors;
  read(json, "", value, errors);
  if (!errors.empty())
    return errors;
  return value;
}

}  // namespace mosskeel::json
