#include "model/bytes.hpp"

#include "net/wire.hpp"

namespace mosskeel::model {

uint64_t hash_of(const Envelope& e) {
  auto x = e;
  x.id = 0;
  return digest(encode(x));
}

bool is_vote(const std::string& record) {
  auto r = codec::decode<ControllerRecord>(record);
  return r && (std::holds_alternative<PromiseRecord>(*r) || std::holds_alternative<AcceptRecord>(*r));
}

Durable durable(const ControllerMachine& m) {
  auto c = codec::decode<ControllerCheckpoint>(m.checkpoint());
  if (!c)
    return {};
  return {c->metadata.generation, c->metadata.epoch, c->open, c->promised, c->accepted};
}

}  // namespace mosskeel::model
