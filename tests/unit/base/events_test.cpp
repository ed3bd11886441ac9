// Checks that the documentation lists all log events.
#include "base/events.hpp"

#include <fstream>
#include <sstream>

#include "unit/catch.hpp"

TEST_CASE("docs/events.md lists every event with its number and text") {
  std::ifstream file(SOURCE_DIR "/docs/events.md");
  REQUIRE(file);
  std::stringstream catalogue;
  catalogue << file.rdbuf();

#define X(name, number, text) \
  CHECK(catalogue.str().find("| " + std::to_string(number) + " | " + text) != std::string::npos);
  MOSSKEEL_EVENTS(X)
#undef X
}
