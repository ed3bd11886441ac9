#include "mosskeel/result.hpp"

namespace mosskeel {

std::string to_string(const Errors& errors) {
  std::string text;
  for (const auto& error : errors) {
    if (!text.empty())
      text += "; ";
    text += error.location + ": " + error.message;
  }
  return text;
}

}  // namespace mosskeel
