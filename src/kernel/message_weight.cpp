#include "kernel/message_weight.hpp"

namespace mosskeel {
namespace {

size_t bytes_of(const Records& v) {
  size_t n = 0;
  for (auto& r : v) n += sizeof r + r.input.size() + r.output.size();
  return n;
}

size_t bytes_of(const std::vector<StreamedLine>& v) {
  size_t n = 0;
  for (auto& l : v) n += bytes_of(l.records);
  return n;
}

}  // namespace

size_t text_bytes(const Message& m) {
  return std::visit(overload{[](const LineReadReply& r) { return bytes_of(r.records); },
                             [](const LineWrite& w) { return bytes_of(w.records); },
                             [](const SlotStreamReply& r) { return bytes_of(r.lines); },
                             [](const LinesFetched& r) { return bytes_of(r.lines); },
                             [](const ChainFound& f) { return f.text.size(); }, [](const auto&) { return size_t{0}; }},
                    m);
}

}  // namespace mosskeel
