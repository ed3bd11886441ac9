#include "history/adoptions.hpp"

#include "history/constants.hpp"

namespace mosskeel {
namespace {

Envelope without_body(const Envelope& envelope) {
  Envelope header{};
  header.protocol = envelope.protocol;
  header.cluster = envelope.cluster;
  header.epoch = envelope.epoch;
  header.id = envelope.id;
  header.from = envelope.from;
  header.from_incarnation = envelope.from_incarnation;
  header.to = envelope.to;
  header.to_incarnation = envelope.to_incarnation;
  return header;
}

}  // namespace

void Adoptions::begin(const AdoptHistory& request, const Envelope& envelope, TimePoint now) {
  auto found = adoptions_.find(request.history);
  if (found != adoptions_.end() && found->second.term >= request.term)
    return;
  if (found != adoptions_.end())
    adoptions_.erase(found);
  if (adoptions_.size() >= kMaxAdoptions)
    return;
  HistoryDownload pages(out_, request.history, request.partition, {request.term, request.length}, envelope.from,
                        envelope.from_incarnation, now);
  adoptions_.emplace(request.history, Adoption{request.term, without_body(envelope), std::move(pages)});
}

std::optional<Adoptions::Completed> Adoptions::handle(const ReadRecordsReply& page, const Envelope& envelope,
                                                      TimePoint now) {
  auto found = adoptions_.find(page.history);
  if (found == adoptions_.end() || !found->second.pages.handle(out_, page, envelope, now))
    return std::nullopt;
  auto& adoption = found->second;
  if (adoption.pages.state() == HistoryDownload::State::reading)
    return std::nullopt;
  std::optional<Completed> completed;
  if (adoption.pages.state() == HistoryDownload::State::complete) {
    AppendHistory write{
        page.history, adoption.pages.partition(), adoption.term, true, 0, adoption.pages.take_records()};
    completed = Completed{std::move(write), std::move(adoption.request)};
  }
  adoptions_.erase(found);
  return completed;
}

void Adoptions::tick(TimePoint now) {
  for (auto& [name, adoption] : adoptions_)
    adoption.pages.tick(out_, now);
  std::erase_if(adoptions_, [](auto& entry) { return entry.second.pages.state() == HistoryDownload::State::failed; });
}

}  // namespace mosskeel
