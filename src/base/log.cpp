#include "base/log.hpp"

#include <glog/logging.h>

namespace mosskeel {

namespace {

bool needs_operator(Event event) {
  return event == Event::corrupt || event == Event::disk_failed || event == Event::disk_full ||
         event == Event::bad_settings || event == Event::start_gave_up;
}

}  // namespace

void start_log(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

const char* meaning(Event event) {
  switch (event) {
#define X(name, number, text) \
  case Event::name:           \
    return text;
    MOSSKEEL_EVENTS(X)
#undef X
  }
  return "";
}

void log_event(Event event, const std::string& text) {
  auto number = static_cast<int>(event);
  if (needs_operator(event))
    LOG(ERROR) << "event=" << number << " " << meaning(event) << ": " << text;
  else
    LOG(INFO) << "event=" << number << " " << meaning(event) << ": " << text;
}

}  // namespace mosskeel
