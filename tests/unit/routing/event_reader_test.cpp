// Tests that events of a stream are counted, and that their data is collected on request.
#include "routing/event_reader.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

namespace {

/// Three complete events with data, one without data, and the beginning of another one.
constexpr std::string_view kStream =
    ": a comment\r\nid: 1\r\ndata: one\r\n\r\n"
    "mosskeel-weight-versions: 3\nid: 2\ndata: two\ndata:lines\n\n"
    "event: x\n\n"
    "data\nid: 3\n\ndata: cut";
constexpr const char* kData = "one\ntwo\nlines\n\n";

}  // namespace

TEST_CASE("EventReader reads the same events wherever their bytes are split") {
  for (size_t split = 0; split <= kStream.size(); ++split) {
    EventReader reader(true);

    reader.read(kStream.substr(0, split));
    reader.read(kStream.substr(split));

    CHECK(reader.events() == 3);
    CHECK(reader.data() == kData);
    CHECK(reader.last_id() == "3");
  }
}

TEST_CASE("EventReader reads a stream that arrives byte by byte") {
  EventReader reader(true);

  for (char byte : kStream)
    reader.read(std::string_view(&byte, 1));

  CHECK(reader.data() == kData);
}

TEST_CASE("EventReader stores no data when it only counts events") {
  EventReader reader;

  reader.read(kStream);

  CHECK(reader.events() == 3);
  CHECK(reader.data().empty());
}
