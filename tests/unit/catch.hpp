#pragma once
// Catch2 for the unit tests: a check that fails prints both values, also those of the project's own types.
//
// Every unit test includes this header in place of <catch2/catch.hpp>, so that all of them print a type alike.
#define CATCH_CONFIG_ENABLE_CHRONO_STRINGMAKER
#define CATCH_CONFIG_ENABLE_OPTIONAL_STRINGMAKER
#include <catch2/catch.hpp>
#include <optional>

#include "mosskeel/ids.hpp"
#include "mosskeel/time.hpp"

namespace Catch {

/// Prints an identifier or counter as its value.
template <class Tag, class T>
struct StringMaker<mosskeel::Strong<Tag, T>> {
  static std::string convert(const mosskeel::Strong<Tag, T>& strong) {
    return ::Catch::Detail::stringify(strong.value());
  }
};

/// Prints an absent value; Catch2 prints the type of std::nullopt as unknown.
template <>
struct StringMaker<std::nullopt_t> {
  static std::string convert(std::nullopt_t) { return "{ }"; }
};

}  // namespace Catch
