#include "control/control_protocol.hpp"

namespace mosskeel {
namespace {

/// A function-local static, because registrations run before `main` in unspecified order.
std::vector<const ControlProtocol*>& registered_control_protocols() {
  static std::vector<const ControlProtocol*> protocols;
  return protocols;
}

}  // namespace

const ControlProtocol* find_control_protocol(const std::string& name) {
  for (const auto* protocol : registered_control_protocols()) {
    if (name == protocol->name())
      return protocol;
  }
  return nullptr;
}

ControlProtocolRegistration::ControlProtocolRegistration(const ControlProtocol* protocol) {
  registered_control_protocols().push_back(protocol);
}

}  // namespace mosskeel
