#pragma once
// What the model reads out of messages and journals; the one file of it that needs their encodings.
#include "model/observer.hpp"

namespace mosskeel::model {

/// A message's meaning without its number, which differs where nothing else does.
uint64_t hash_of(const Envelope& envelope);
/// Whether a journal record is an acceptor's promise or vote.
bool is_vote(const std::string& record);
/// What a controller would find on its disk, as the machine itself reads it.
Durable durable(const ControllerMachine& machine);

}  // namespace mosskeel::model
