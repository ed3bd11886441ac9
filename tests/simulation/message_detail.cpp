#include "simulation/message_detail.hpp"

namespace mosskeel::sim {
namespace {

std::string spaced(uint64_t number) {
  return " " + std::to_string(number);
}

std::string spaced(const HistoryName& history) {
  return " " + history.program;
}

std::string describe_term(const HistoryName& history, Epoch term) {
  return spaced(history) + " term" + spaced(term.value());
}

template <class Histories>
std::string describe_histories(const Histories& histories) {
  std::string text;
  for (const auto& history : histories)
    text += spaced(history.history) + spaced(history.history_term.value()) + spaced(history.records.size());
  return text;
}

std::string describe_append_reply(const AppendHistoryReply& reply) {
  std::string result = " denied";
  if (reply.granted)
    result = reply.gap ? " gap" : " length";
  return describe_term(reply.history, reply.term) + result + spaced(reply.length);
}

}  // namespace

std::string describe_contents(const Message& message) {
  return std::visit(
      overload{
          [](const ReadHistory& request) { return describe_term(request.history, request.term); },
          [](const ReadHistoryReply& reply) {
            return describe_term(reply.history, reply.term) + (reply.granted ? " history" : " denied") +
                   spaced(reply.history_term.value()) + spaced(reply.records.size());
          },
          [](const AppendHistory& request) {
            return describe_term(request.history, request.term) + (request.replace ? " adopt" : " from") +
                   spaced(request.from) + " +" + spaced(request.records.size());
          },
          [](const AppendHistoryReply& reply) { return describe_append_reply(reply); },
          [](const ProgramRequest& request) { return " " + request.program + " " + request.key; },
          [](const TransferTurnOutcome& transfer) { return spaced(transfer.history) + " " + transfer.record.key; },
          [](const AdoptHistory& request) { return describe_term(request.history, request.term) + " adopt large"; },
          [](const ReadRecordsReply& page) {
            return describe_term(page.history, page.term) + " from" + spaced(page.from) + " +" +
                   spaced(page.records.size());
          },
          [](const FetchHistoriesReply& reply) { return describe_histories(reply.histories); },
          [](const StreamPartitionReply& reply) { return describe_histories(reply.histories); },
          [](const auto&) {
            return std::string();
          }},
      message);
}

}  // namespace mosskeel::sim
