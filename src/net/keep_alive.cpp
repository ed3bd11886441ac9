#include "net/keep_alive.hpp"

#include <algorithm>

#include "net/http_syntax.hpp"

namespace mosskeel {
namespace {

/// Assumed for replicas that do not state how long they keep idle connections.
constexpr Duration kDefaultKeepAlive = 4000ms;
/// A connection is closed this long before the replica would close it, so that no request crosses the close.
constexpr Duration kKeepAliveMargin = 1000ms;
constexpr Duration kMaxKeepAlive = 600000ms;
/// A number of seconds with more digits than this is far above `kMaxKeepAlive`; with this many it always fits into the
/// integer type.
constexpr size_t kMaxKeepAliveDigits = 6;

Duration parse_timeout(std::string_view seconds) {
  auto digits = seconds.substr(0, seconds.find_first_not_of("0123456789"));
  if (digits.empty()) {
    return 0ms;
  }
  if (digits.size() > kMaxKeepAliveDigits) {
    return kMaxKeepAlive;
  }
  auto replica_timeout = std::chrono::seconds(std::stoll(std::string(digits)));
  return std::min<Duration>(replica_timeout - kKeepAliveMargin, kMaxKeepAlive);
}

}  // namespace

Duration keep_alive_of(const HeaderFields& fields) {
  auto list = header_value(fields, "Keep-Alive");
  while (!list.empty()) {
    auto parameter = next_list_element(list);
    auto equals_sign = parameter.find('=');
    if (equals_sign != std::string_view::npos && equals_ignoring_case(parameter.substr(0, equals_sign), "timeout")) {
      return parse_timeout(parameter.substr(equals_sign + 1));
    }
  }
  return kDefaultKeepAlive;
}

}  // namespace mosskeel
