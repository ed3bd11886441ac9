#include "platform_stub/event_stream.hpp"

#include <string_view>
#include <utility>

namespace mosskeel::platform_stub {

std::vector<StreamEvent> parse_events(const std::string& body) {
  constexpr std::string_view id_field = "id: ";
  constexpr std::string_view data_field = "data: ";
  std::vector<StreamEvent> events;
  StreamEvent event;
  size_t line_begin = 0;
  for (;;) {
    auto line_end = body.find('\n', line_begin);
    if (line_end == std::string::npos)
      return events;
    auto line = body.substr(line_begin, line_end - line_begin);
    line_begin = line_end + 1;
    if (line.starts_with(id_field))
      event.id = std::stoull(line.substr(id_field.size()));
    if (line.starts_with(data_field))
      event.data = line.substr(data_field.size());
    if (line.empty())
      events.push_back(std::exchange(event, {}));
  }
}

}  // namespace mosskeel::platform_stub
