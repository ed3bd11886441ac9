#pragma once
// Helpers for header fields: list values, hop-by-hop fields and validation.
#include "net/protocol_codec.hpp"

namespace mosskeel {

/// Whether a field of this name has the token in its comma-separated list; case-insensitive.
bool has_token(const HeaderFields& fields, std::string_view name, std::string_view token);

/// Returns the fields without hop-by-hop fields, which apply to one connection only, and without Content-Length.
HeaderFields end_to_end_fields(const HeaderFields& fields);

/// Whether the field can be written into a head without changing its framing.
bool is_valid_field(const HeaderField& field);

}  // namespace mosskeel
