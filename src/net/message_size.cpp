#include "net/message_size.hpp"

namespace mosskeel {
namespace {

size_t bytes_of(const Records& v) {
  size_t n = 0;
  for (auto& r : v)
    n += sizeof r + r.input.size() + r.output.size();
  return n;
}

size_t bytes_of(const std::vector<HistoryCopy>& v) {
  size_t n = 0;
  for (auto& l : v)
    n += bytes_of(l.records);
  return n;
}

}  // namespace

size_t history_bytes(const Message& m) {
  return std::visit(overload{[](const ReadHistoryReply& r) { return bytes_of(r.records); },
                             [](const AppendHistory& w) { return bytes_of(w.records); },
                             [](const StreamPartitionReply& r) { return bytes_of(r.histories); },
                             [](const FetchHistoriesReply& r) { return bytes_of(r.histories); },
                             [](const FindChainReply& f) { return f.text.size(); },
                             [](const auto&) {
                               return size_t{0};
                             }},
                    m);
}

}  // namespace mosskeel
