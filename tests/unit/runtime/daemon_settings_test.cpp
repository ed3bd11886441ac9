// The settings that a daemon is given by flags.
#include "runtime/settings.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

/// What a gateway makes of these flags beside those that it needs.
std::variant<Settings, int> read_gateway_settings(std::vector<const char*> flags) {
  std::vector<const char*> arguments = {"gateway", "--listen",    "127.0.0.1:1", "--http", "127.0.0.1:2",
                                        "--agent", "127.0.0.1:3", "--zone",      "a"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  RequiredSettings needs{"gateway", "a gateway", true, true, true, true, false, false, false};
  return read_settings(static_cast<int>(arguments.size()), arguments.data(), needs);
}

}  // namespace

TEST_CASE("The time for a graceful stop is long where no platform kills the process, or as the flag says") {
  auto without_flag = read_gateway_settings({});
  auto with_flag = read_gateway_settings({"--shutdown-grace-ms", "12000"});

  REQUIRE(std::holds_alternative<Settings>(without_flag));
  CHECK(std::get<Settings>(without_flag).shutdown_grace == kUnforcedShutdownGrace);
  REQUIRE(std::holds_alternative<Settings>(with_flag));
  CHECK(std::get<Settings>(with_flag).shutdown_grace == 12000ms);
}

TEST_CASE("A time for a graceful stop that leaves no time to answer is a wrong setting") {
  CHECK(std::get<int>(read_gateway_settings({"--shutdown-grace-ms", "999"})) == kExitBadSettings);
  CHECK(std::get<int>(read_gateway_settings({"--shutdown-grace-ms", "3600001"})) == kExitBadSettings);
}
