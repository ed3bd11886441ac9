// Conversion of structs to and from JSON.
#include "base/json.hpp"
#include "unit/catch.hpp"

#include "metadata/metadata.hpp"

using namespace mosskeel;

TEST_CASE("json::parse restores a configuration written by json::write") {
  auto parsed = json::parse<Configuration>(
      R"({"cells":[{"name":"n","budget":4,"turn_limit":2,"retention_ms":1000,"routes":[{"name":"c","kind":"model"}]}]})");
  REQUIRE(parsed.ok());

  CHECK(json::parse<Configuration>(json::write(parsed.value()).dump()) == parsed);
}

TEST_CASE("json::parse reports every error of a configuration with its location") {
  struct InvalidText {
    const char* text;
    const char* errors;
  };
  auto invalid = GENERATE(values<InvalidText>({
      {"{", "body: is no JSON"},
      {"[]", "body: must be an object"},
      {"{}", "cells: is missing"},
      {R"({"cells":[{"name":1,"budget":-1,"turn_limit":"x","retention_ms":1.5,"routes":{},"more":0}]})",
       "cells[0].name: must be a string; cells[0].budget: must be a whole number; cells[0].turn_limit: must be a whole "
       "number; cells[0].retention_ms: must be a whole number; cells[0].routes: must be a list; cells[0].more: is not "
       "known"},
  }));
  CAPTURE(invalid.text);

  auto parsed = json::parse<Configuration>(invalid.text);

  REQUIRE_FALSE(parsed.ok());
  CHECK(to_string(parsed.errors()) == invalid.errors);
}
