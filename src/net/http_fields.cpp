#include "net/http_fields.hpp"

#include <algorithm>

#include "net/http_syntax.hpp"

namespace mosskeel {
namespace {

bool is_hop_by_hop(std::string_view name) {
  constexpr std::string_view names[] = {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE",
                                        "Trailer",    "Upgrade"};
  constexpr std::string_view proxy_prefix = "Proxy-";
  return equals_ignoring_case(name.substr(0, proxy_prefix.size()), proxy_prefix) ||
         std::any_of(std::begin(names), std::end(names),
                     [&](std::string_view hop_by_hop) { return equals_ignoring_case(hop_by_hop, name); });
}

}  // namespace

bool has_token(const HeaderFields& fields, std::string_view name, std::string_view token) {
  for (const auto& field : fields) {
    if (!equals_ignoring_case(field.name, name)) {
      continue;
    }
    std::string_view list = field.value;
    while (!list.empty()) {
      if (equals_ignoring_case(next_list_element(list), token)) {
        return true;
      }
    }
  }
  return false;
}

HeaderFields end_to_end_fields(const HeaderFields& fields) {
  HeaderFields kept;
  for (const auto& field : fields) {
    bool belongs_to_connection = is_hop_by_hop(field.name) || has_token(fields, "Connection", field.name);
    if (!belongs_to_connection) {
      kept.push_back(field);
    }
  }
  return kept;
}

bool is_valid_field(const HeaderField& field) {
  return is_http_token(field.name) && is_field_value(field.value);
}

}  // namespace mosskeel
