#include "control/cluster_control.hpp"

namespace mosskeel {
namespace {

std::vector<const ControlProtocol*>& control_dialects() {
  static std::vector<const ControlProtocol*> v;
  return v;
}

}  // namespace

const ControlProtocol* find_control_protocol(const std::string& name) {
  for (auto* d : control_dialects())
    if (name == d->name())
      return d;
  return nullptr;
}

ControlProtocolRegistration::ControlProtocolRegistration(const ControlProtocol* d) {
  control_dialects().push_back(d);
}

}  // namespace mosskeel
