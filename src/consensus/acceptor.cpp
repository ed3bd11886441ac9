#include "consensus/acceptor.hpp"

namespace mosskeel {

bool Acceptor::current(const Envelope& e, Epoch epoch) {
  if (epoch <= metadata_log_.epoch()) {
    auto [c, v] = metadata_log_.updates_since(Epoch{epoch.value() - 1});
    out_.send(e.from, CatchupReply{metadata_log_.epoch(), c, v});
    return false;
  }
  if (epoch != next(metadata_log_.epoch())) {
    out_.send(e.from, Catchup{metadata_log_.epoch()});
    return false;
  }
  auto& m = *metadata_log_.view();
  auto& me = out_.id().self;
  return m.cluster == 0 ? me.role == Role::controller : m.is_core_member(me.incarnation) || m.replaces_member(me);
}

void Acceptor::on(const Envelope& e, const Prepare& p) {
  if (!current(e, p.epoch))
    return;
  bool yes = p.ballot >= promised_;
  if (p.ballot > promised_) {
    promised_ = p.ballot;
    out_.write(codec::pack(ControllerRecord{PromiseRecord{p.epoch, p.ballot}}));
  }
  out_.send_synced(e.from, Promise{p.epoch, p.ballot, yes, promised_, accepted_}, e.from_inc);
}

void Acceptor::on(const Envelope& e, const Accept& a) {
  if (!current(e, a.entry.epoch))
    return;
  bool yes = a.ballot >= promised_;
  if (yes) {
    promised_ = a.ballot;
    accepted_ = {a.ballot, a.entry};
    out_.write(codec::pack(ControllerRecord{AcceptRecord{a.ballot, a.entry}}));
  }
  out_.send_synced(e.from, Accepted{a.entry.epoch, a.ballot, yes, promised_}, e.from_inc);
}

void Acceptor::recover(const ControllerCheckpoint& c) {
  promised_ = c.promised;
  accepted_ = c.accepted;
}
void Acceptor::recover(const PromiseRecord& r) {
  if (r.epoch == next(metadata_log_.epoch()) && r.ballot > promised_)
    promised_ = r.ballot;
}
void Acceptor::recover(const AcceptRecord& r) {
  if (r.entry.epoch != next(metadata_log_.epoch()) || r.ballot < promised_)
    return;
  promised_ = r.ballot;
  accepted_ = {r.ballot, r.entry};
}
void Acceptor::save(ControllerCheckpoint& c) const {
  c.open = next(metadata_log_.epoch());
  c.promised = promised_;
  c.accepted = accepted_;
}

}  // namespace mosskeel
