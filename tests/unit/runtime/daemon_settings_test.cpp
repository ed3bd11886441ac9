// A daemon's settings from command-line flags.
#include "runtime/settings.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

/// Reads a gateway's settings from these flags, in addition to the required ones.
std::variant<Settings, int> read_gateway_settings(std::vector<const char*> flags) {
  std::vector<const char*> arguments = {"gateway", "--listen",    "127.0.0.1:1", "--http", "127.0.0.1:2",
                                        "--agent", "127.0.0.1:3", "--zone",      "a"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  RequiredSettings required{"gateway", "a gateway", true, true, true, true, false, false, false};
  return read_settings(static_cast<int>(arguments.size()), arguments.data(), required);
}

}  // namespace

TEST_CASE("The shutdown grace period is long by default, when no platform kills the process, and set by its flag") {
  auto without_flag = read_gateway_settings({});
  auto with_flag = read_gateway_settings({"--shutdown-grace-ms", "12000"});

  REQUIRE(std::holds_alternative<Settings>(without_flag));
  CHECK(std::get<Settings>(without_flag).shutdown_grace == kUnforcedShutdownGrace);
  REQUIRE(std::holds_alternative<Settings>(with_flag));
  CHECK(std::get<Settings>(with_flag).shutdown_grace == 12000ms);
}

TEST_CASE("A shutdown grace period too short to answer, or longer than the maximum, is an invalid setting") {
  CHECK(std::get<int>(read_gateway_settings({"--shutdown-grace-ms", "999"})) == kExitBadSettings);
  CHECK(std::get<int>(read_gateway_settings({"--shutdown-grace-ms", "3600001"})) == kExitBadSettings);
}
