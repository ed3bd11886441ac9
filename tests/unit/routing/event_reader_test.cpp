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

    CHECK(reader.read(kStream.substr(0, split)));
    CHECK(reader.read(kStream.substr(split)));

    CHECK(reader.events() == 3);
    CHECK(reader.data() == kData);
    CHECK(reader.last_id() == "3");
  }
}

TEST_CASE("EventReader reads a stream that arrives byte by byte") {
  EventReader reader(true);

  for (char byte : kStream)
    CHECK(reader.read(std::string_view(&byte, 1)));

  CHECK(reader.data() == kData);
}

TEST_CASE("EventReader stores no data when it only counts events") {
  EventReader reader;

  CHECK(reader.read(kStream));

  CHECK(reader.events() == 3);
  CHECK(reader.data().empty());
}

TEST_CASE("EventReader refuses lines, events and data without end, which took all of a gateway's memory") {
  constexpr size_t kMaxBytes = 10000;
  const std::string endless_forms[] = {std::string(100, 'x'), "data: a line of an event that never ends\n",
                                       "data: an event\n\n", "data\n\n", "id: " + std::string(100, 'i')};
  for (const auto& unit : endless_forms) {
    INFO("repeated: " << unit);
    EventReader reader(true, kMaxBytes);

    size_t read = 0;
    while (read < 100 * kMaxBytes && reader.read(unit))
      read += unit.size();

    CHECK(read < 100 * kMaxBytes);
    CHECK(reader.held_bytes() <= kMaxBytes + unit.size());
  }
}

TEST_CASE("EventReader that only counts events holds no more than the beginning of a line") {
  EventReader reader;

  CHECK(reader.read("data: "));
  for (int piece = 0; piece < 1000; ++piece)
    CHECK(reader.read(std::string(1000, 'x')));
  CHECK(reader.held_bytes() < 2000);
  CHECK(reader.read("\n\n"));

  CHECK(reader.events() == 1);
}
