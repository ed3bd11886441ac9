#include "net/protocol_codec.hpp"

#include <strings.h>

namespace mosskeel {
namespace {

std::vector<const ProtocolCodec*>& protocol_codecs() {
  static std::vector<const ProtocolCodec*> codecs;
  return codecs;
}

}  // namespace

std::string_view header_value(const HeaderFields& fields, std::string_view name) {
  for (const auto& field : fields) {
    if (field.name.size() == name.size() && strncasecmp(field.name.data(), name.data(), name.size()) == 0) {
      return field.value;
    }
  }
  return {};
}

const ProtocolCodec* find_protocol_codec(const std::string& name) {
  for (const auto* codec : protocol_codecs()) {
    if (name == codec->name()) {
      return codec;
    }
  }
  return nullptr;
}

ProtocolCodecRegistration::ProtocolCodecRegistration(const ProtocolCodec* codec) {
  protocol_codecs().push_back(codec);
}

}  // namespace mosskeel
