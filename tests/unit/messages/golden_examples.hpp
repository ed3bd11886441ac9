#pragma once
// Example values of every kind of message and record; every field of an example has a distinct value.
#include "consensus/acceptor.hpp"
#include "history/store_machine.hpp"
#include "messages/message.hpp"
#include "storage/log_frame.hpp"

namespace mosskeel::golden {

/// An example of the alternative `kind` of a variant, in the file "<kind>-<name>.hex".
template <class Value>
struct Example {
  size_t kind;
  std::string name;
  Value value;
};

/// Messages in their envelopes; `kind` is the index in `Message`.
std::vector<Example<Envelope>> message_examples();
/// Entries of the metadata log; `kind` is the index in `Transformation`.
std::vector<Example<Entry>> entry_examples();
/// Records of a controller's journal.
std::vector<Example<ControllerRecord>> controller_record_examples();
/// Records of a store's journal.
std::vector<Example<StoreRecord>> store_record_examples();

Metadata metadata_example();
ControllerCheckpoint controller_checkpoint_example();
StoreCheckpoint store_checkpoint_example();
SyncMark sync_mark_example();

}  // namespace mosskeel::golden
