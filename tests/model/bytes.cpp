// The encodings of messages, journal records and checkpoints, as far as the model looks into them.
#include "model/bytes.hpp"

#include "net/wire.hpp"

namespace mosskeel::model {

uint64_t hash_of(const Envelope& envelope) {
  auto unnumbered = envelope;
  unnumbered.id = 0;
  return digest(encode(unnumbered));
}

bool is_vote(const std::string& record) {
  auto decoded = codec::decode<ControllerRecord>(record);
  return decoded && (std::holds_alternative<PromiseRecord>(*decoded) || std::holds_alternative<AcceptRecord>(*decoded));
}

Durable durable(const ControllerMachine& machine) {
  auto checkpoint = codec::decode<ControllerCheckpoint>(machine.checkpoint());
  if (!checkpoint)
    return {};
  return {checkpoint->metadata.generation, checkpoint->metadata.epoch, checkpoint->open, checkpoint->promised,
          checkpoint->accepted};
}

}  // namespace mosskeel::model
