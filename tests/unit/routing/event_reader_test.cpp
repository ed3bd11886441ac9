// How a stream's events are counted and, where that is wanted, their data kept.
#include "routing/event_reader.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("EventReader reads the same events wherever their bytes are split") {
  const std::string text =
      ": a comment\r\nid: 1\r\ndata: one\r\n\r\n"
      "mosskeel-weight-versions: 3\nid: 2\ndata: two\ndata:lines\n\n"
      "event: x\n\n"
      "data\nid: 3\n\ndata: cut";
  for (size_t split = 0; split <= text.size(); ++split) {
    EventReader reader(true);
    reader.read(std::string_view(text).substr(0, split));
    reader.read(std::string_view(text).substr(split));

    CHECK(reader.events() == 3);
    CHECK(reader.data() == "one\ntwo\nlines\n\n");
    CHECK(reader.last_id() == "3");
  }
  EventReader by_byte(true);
  for (char byte : text)
    by_byte.read(std::string_view(&byte, 1));

  CHECK(by_byte.data() == "one\ntwo\nlines\n\n");

  EventReader counting;
  counting.read(text);

  CHECK(counting.events() == 3);
  CHECK(counting.data().empty());
}
