#include "net/keep_alive.hpp"

#include <algorithm>

#include "net/http_syntax.hpp"

namespace mosskeel {
namespace {

/// A replica that does not say how long it keeps idle connections is assumed to keep them this long.
constexpr Duration kDefaultKeepAlive = 4000ms;
/// A connection is given up this long before the replica would close it, so that no request crosses the close.
constexpr Duration kKeepAliveMargin = 1000ms;
constexpr Duration kMaxKeepAlive = 600000ms;
/// Digits of a number of seconds below `kMaxKeepAlive` many times over, that surely fits.
constexpr size_t kMaxKeepAliveDigits = 6;

Duration parse_timeout(std::string_view seconds) {
  auto digits = seconds.substr(0, seconds.find_first_not_of("0123456789"));
  if (digits.empty()) {
    return 0ms;
  }
  if (digits.size() > kMaxKeepAliveDigits) {
    return kMaxKeepAlive;
  }
  auto announced = std::chrono::seconds(std::stoll(std::string(digits)));
  return std::min<Duration>(announced - kKeepAliveMargin, kMaxKeepAlive);
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
