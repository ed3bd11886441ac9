#include "net/protocol_codec.hpp"

#include <strings.h>

namespace mosskeel {
namespace {

std::vector<const ProtocolCodec*>& registry() {
  static std::vector<const ProtocolCodec*> v;
  return v;
}

}  // namespace

std::string_view header_value(const HeaderFields& f, std::string_view name) {
  for (auto& [k, v] : f)
    if (k.size() == name.size() && strncasecmp(k.data(), name.data(), k.size()) == 0)
      return v;
  return {};
}

const ProtocolCodec* find_protocol_codec(const std::string& name) {
  for (auto* d : registry())
    if (name == d->name())
      return d;
  return nullptr;
}

ProtocolCodecRegistration::ProtocolCodecRegistration(const ProtocolCodec* d) {
  registry().push_back(d);
}

}  // namespace mosskeel
