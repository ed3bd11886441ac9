#include "operator/control.hpp"

namespace mosskeel {
namespace {

std::vector<const ControlDialect*>& control_dialects() {
  static std::vector<const ControlDialect*> v;
  return v;
}

}  // namespace

const ControlDialect* control_dialect(const std::string& name) {
  for (auto* d : control_dialects())
    if (name == d->name()) return d;
  return nullptr;
}

ControlEnrolled::ControlEnrolled(const ControlDialect* d) {
  control_dialects().push_back(d);
}

}  // namespace mosskeel
