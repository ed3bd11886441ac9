#include "consensus/acceptor.hpp"

namespace mosskeel {

bool Acceptor::accepts_instance(const Envelope& envelope, Epoch epoch) {
  if (epoch <= metadata_log_.epoch()) {
    auto [snapshot, entries] = metadata_log_.updates_since(Epoch{epoch.value() - 1});
    outbox_.send(envelope.from, CatchupReply{metadata_log_.epoch(), snapshot, entries});
    return false;
  }
  if (epoch != next(metadata_log_.epoch())) {
    outbox_.send(envelope.from, Catchup{metadata_log_.epoch()});
    return false;
  }
  const Metadata& metadata = *metadata_log_.view();
  const DaemonInfo& self = outbox_.id().self;
  if (metadata.cluster == 0)
    return self.role == Role::controller;
  return metadata.is_core_member(self.incarnation) || metadata.replaces_member(self);
}

void Acceptor::handle(const Envelope& envelope, const Prepare& prepare) {
  if (!accepts_instance(envelope, prepare.epoch))
    return;
  bool granted = prepare.ballot >= promised_;
  if (prepare.ballot > promised_) {
    promised_ = prepare.ballot;
    outbox_.write(codec::encode(ControllerRecord{PromiseRecord{prepare.epoch, prepare.ballot}}));
  }
  outbox_.send_synced(envelope.from, Promise{prepare.epoch, prepare.ballot, granted, promised_, accepted_},
                      envelope.from_incarnation);
}

void Acceptor::handle(const Envelope& envelope, const Accept& accept) {
  if (!accepts_instance(envelope, accept.entry.epoch))
    return;
  bool granted = accept.ballot >= promised_;
  if (granted) {
    promised_ = accept.ballot;
    accepted_ = {accept.ballot, accept.entry};
    outbox_.write(codec::encode(ControllerRecord{AcceptRecord{accept.ballot, accept.entry}}));
  }
  outbox_.send_synced(envelope.from, Accepted{accept.entry.epoch, accept.ballot, granted, promised_},
                      envelope.from_incarnation);
}

void Acceptor::recover(const ControllerCheckpoint& checkpoint) {
  promised_ = checkpoint.promised;
  accepted_ = checkpoint.accepted;
}

void Acceptor::recover(const PromiseRecord& record) {
  if (record.epoch == next(metadata_log_.epoch()) && record.ballot > promised_)
    promised_ = record.ballot;
}

void Acceptor::recover(const AcceptRecord& record) {
  if (record.entry.epoch != next(metadata_log_.epoch()) || record.ballot < promised_)
    return;
  promised_ = record.ballot;
  accepted_ = {record.ballot, record.entry};
}

void Acceptor::save(ControllerCheckpoint& checkpoint) const {
  checkpoint.open = next(metadata_log_.epoch());
  checkpoint.promised = promised_;
  checkpoint.accepted = accepted_;
}

}  // namespace mosskeel
