#include "consensus/quorum_reader.hpp"

#include "consensus/constants.hpp"

namespace mosskeel {

void QuorumReader::begin(std::map<Incarnation, Address> members, uint64_t last_ticket, TimePoint now) {
  Read read{};
  read.id = outbox_.next_random();
  read.result.epoch = metadata_log_.epoch();
  read.result.last_ticket = last_ticket;
  read.members = std::move(members);
  read.quorum_size = majority_of(read.members.size());
  read.deadline = now + kProposalTimeout;
  for (const auto& [incarnation, address] : read.members)
    outbox_.send(address, QuorumRead{read.id}, incarnation);
  read_ = std::move(read);
}

std::optional<QuorumReader::Result> QuorumReader::handle(const Envelope& envelope, const QuorumReadReply& reply) {
  if (!read_ || reply.id != read_->id || !read_->members.count(envelope.from_incarnation))
    return std::nullopt;
  if (reply.epoch > metadata_log_.epoch()) {
    outbox_.send(envelope.from, Catchup{metadata_log_.epoch()});
    return std::nullopt;
  }
  if (reply.epoch == metadata_log_.epoch())
    read_->result.instance_open |= reply.open;
  read_->replies.insert(envelope.from_incarnation);
  if (read_->replies.size() < read_->quorum_size)
    return std::nullopt;
  Result result = read_->result;
  read_.reset();
  return result;
}

}  // namespace mosskeel
