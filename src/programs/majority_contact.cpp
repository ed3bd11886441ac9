#include "programs/majority_contact.hpp"

#include <algorithm>

namespace mosskeel {
namespace {

/// How long a gateway continues to dispatch without an epoch that it has seen. Must be shorter than the majority
/// contact timeout, on which the acknowledgement of a configuration relies.
constexpr Duration kMissingEpochTolerance = kIsolationTimeout / 2;

}  // namespace

void MajorityContact::on_heartbeat_reply(const HeartbeatReply& reply, TimePoint now) {
  on_epoch_seen(reply.epoch, now);
  bool knows_epoch = reply.epoch <= metadata_log_.epoch();
  auto contact = from_milliseconds(reply.sent) - Duration(reply.touched_ms);
  if (knows_epoch) {
    last_contact_ = std::max(last_contact_, contact);
  } else if (!early_contact_) {
    early_contact_ = {reply.epoch, contact};
  }
  is_confirmed_ = is_confirmed_ || (reply.confirmed && knows_epoch);
}

void MajorityContact::on_epoch_seen(Epoch epoch, TimePoint now) {
  newest_seen_ = std::max(newest_seen_, epoch);
  if (!missing_epoch_ && newest_seen_ > metadata_log_.epoch())
    missing_epoch_ = {newest_seen_, now};
}

void MajorityContact::on_epochs_applied(TimePoint now) {
  auto known = metadata_log_.epoch();
  if (early_contact_ && early_contact_->epoch <= known) {
    last_contact_ = std::max(last_contact_, early_contact_->at);
    early_contact_.reset();
  }
  if (missing_epoch_ && missing_epoch_->epoch <= known)
    missing_epoch_.reset();
  on_epoch_seen(known, now);
}

TimePoint MajorityContact::valid_until() const {
  auto contact_ends = last_contact_ + kIsolationTimeout;
  if (!missing_epoch_)
    return contact_ends;
  return std::min(contact_ends, missing_epoch_->since + kMissingEpochTolerance);
}

}  // namespace mosskeel
