#include "base/log.hpp"

#include <glog/logging.h>

namespace mosskeel {

void start_log(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

const char* meaning(Event e) {
  switch (e) {
#define X(name, number, text) \
  case Event::name:           \
    return text;
    MOSSKEEL_EVENTS(X)
#undef X
  }
  return "";
}

void note(Event e, const std::string& text) {
  auto n = static_cast<int>(e);
  bool tombstone = e == Event::corrupt || e == Event::disk_failed || e == Event::disk_full || e == Event::bad_settings;
  if (tombstone)
    LOG(ERROR) << "event=" << n << " " << meaning(e) << ": " << text;
  else
    LOG(INFO) << "event=" << n << " " << meaning(e) << ": " << text;
}

}  // namespace mosskeel
