#pragma once
// Lists the fields of a value by name, so that tests compare and report fields rather than bytes.
#include <algorithm>
#include <string>
#include <vector>

#include "base/codec.hpp"
#include "unit/catch.hpp"

namespace mosskeel::golden {

enum class FieldType { flag, enumerator, number, text, size, alternative };

/// A field without subfields. `path` is for example "body.self.zone"; elements of containers are "name[index]".
struct Field {
  std::string path;
  FieldType type;
  std::string value;
  bool operator==(const Field&) const = default;
};
using Fields = std::vector<Field>;

template <class Value>
void collect_fields(const Value& value, const std::string& path, Fields& fields);
inline void collect_fields(const std::string& value, const std::string& path, Fields& fields);
template <class First, class Second>
void collect_fields(const std::pair<First, Second>& value, const std::string& path, Fields& fields);
template <class Element>
void collect_fields(const std::vector<Element>& value, const std::string& path, Fields& fields);
template <class Element>
void collect_fields(const std::set<Element>& value, const std::string& path, Fields& fields);
template <class Key, class Element>
void collect_fields(const std::map<Key, Element>& value, const std::string& path, Fields& fields);
template <class Element>
void collect_fields(const std::optional<Element>& value, const std::string& path, Fields& fields);
template <class... Alternatives>
void collect_fields(const std::variant<Alternatives...>& value, const std::string& path, Fields& fields);

inline void collect_fields(const std::string& value, const std::string& path, Fields& fields) {
  fields.push_back({path, FieldType::text, value});
}

template <class First, class Second>
void collect_fields(const std::pair<First, Second>& value, const std::string& path, Fields& fields) {
  collect_fields(value.first, path + ".first", fields);
  collect_fields(value.second, path + ".second", fields);
}

template <class Container>
void collect_elements(const Container& container, const std::string& path, Fields& fields) {
  fields.push_back({path, FieldType::size, std::to_string(container.size())});
  size_t index = 0;
  for (const auto& element : container) {
    collect_fields(element, path + "[" + std::to_string(index) + "]", fields);
    ++index;
  }
}
template <class Element>
void collect_fields(const std::vector<Element>& value, const std::string& path, Fields& fields) {
  collect_elements(value, path, fields);
}
template <class Element>
void collect_fields(const std::set<Element>& value, const std::string& path, Fields& fields) {
  collect_elements(value, path, fields);
}
template <class Key, class Element>
void collect_fields(const std::map<Key, Element>& value, const std::string& path, Fields& fields) {
  collect_elements(value, path, fields);
}

template <class Element>
void collect_fields(const std::optional<Element>& value, const std::string& path, Fields& fields) {
  fields.push_back({path, FieldType::size, value ? "present" : "absent"});
  if (value)
    collect_fields(*value, path, fields);
}

template <class... Alternatives>
void collect_fields(const std::variant<Alternatives...>& value, const std::string& path, Fields& fields) {
  fields.push_back({path, FieldType::alternative, std::to_string(value.index())});
  auto collect_alternative = [&](const auto& alternative) {
    collect_fields(alternative, path, fields);
  };
  std::visit(collect_alternative, value);
}

template <class Value>
void collect_fields(const Value& value, const std::string& path, Fields& fields) {
  if constexpr (std::is_same_v<Value, bool>) {
    fields.push_back({path, FieldType::flag, value ? "true" : "false"});
  } else if constexpr (std::is_enum_v<Value>) {
    fields.push_back({path, FieldType::enumerator, std::to_string(static_cast<int>(value))});
  } else if constexpr (std::is_arithmetic_v<Value>) {
    fields.push_back({path, FieldType::number, std::to_string(value)});
  } else if constexpr (codec::is_strong<Value>::value) {
    collect_fields(value.value(), path, fields);
  } else if constexpr (std::is_same_v<Value, Duration>) {
    collect_fields(value.count(), path, fields);
  } else if constexpr (!std::is_empty_v<Value>) {
    namespace hana = boost::hana;
    auto collect_member = [&](auto member) {
      std::string name = hana::to<const char*>(hana::first(member));
      collect_fields(hana::second(member)(value), path.empty() ? name : path + "." + name, fields);
    };
    hana::for_each(hana::accessors<Value>(), collect_member);
  }
}

template <class Value>
Fields fields_of(const Value& value) {
  Fields fields;
  collect_fields(value, "", fields);
  return fields;
}

/// Compares each field with the expected one of the same name.
inline void check_fields(const Fields& actual, const Fields& expected) {
  CHECK(actual.size() == expected.size());
  for (size_t i = 0; i < std::min(actual.size(), expected.size()); ++i) {
    INFO("field " << expected[i].path);
    CHECK(actual[i].path == expected[i].path);
    CHECK(actual[i].value == expected[i].value);
  }
}

}  // namespace mosskeel::golden
