#pragma once
// The header fields of a message: lists in their values, and which fields belong to one connection only.
#include "net/protocol_codec.hpp"

namespace mosskeel {

/// Whether one of the comma-separated lists under this field name contains the token; case does not matter.
bool has_token(const HeaderFields& fields, std::string_view name, std::string_view token);

/// The fields without the hop-by-hop ones, which belong to one connection, and without Content-Length.
HeaderFields end_to_end_fields(const HeaderFields& fields);

/// Whether the field can be written into a head without changing its framing.
bool is_valid_field(const HeaderField& field);

}  // namespace mosskeel
