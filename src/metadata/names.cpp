// Names of enumeration values, as shown in logs, replies to operators and JSON.
#include "metadata/metadata.hpp"

namespace mosskeel {

const char* name(Role role) {
  switch (role) {
    case Role::controller:
      return "controller";
    case Role::gateway:
      return "front";
    case Role::store:
      return "store";
  }
  return "?";
}

const char* name(DaemonState state) {
  switch (state) {
    case DaemonState::registered:
      return "registered";
    case DaemonState::up:
      return "up";
    case DaemonState::draining:
      return "draining";
    case DaemonState::down:
      return "down";
    case DaemonState::left:
      return "left";
  }
  return "?";
}

const char* name(ReplicaHealth health) {
  // These names are part of the admin API's JSON.
  switch (health) {
    case ReplicaHealth::warming_up:
      return "cold";
    case ReplicaHealth::ready:
      return "ready";
    case ReplicaHealth::draining:
      return "leaving";
  }
  return "?";
}

const char* name(SequenceKind kind) {
  switch (kind) {
    case SequenceKind::join:
      return "join";
    case SequenceKind::drain:
      return "drain";
    case SequenceKind::repair:
      return "repair";
  }
  return "?";
}

const char* name(SequenceStep step) {
  switch (step) {
    case SequenceStep::start:
      return "start";
    case SequenceStep::mid:
      return "mid";
    case SequenceStep::finish:
      return "finish";
  }
  return "?";
}

const char* name(PathKind kind) {
  switch (kind) {
    case PathKind::safe:
      return "safe";
    case PathKind::unsafe:
      return "unsafe";
    case PathKind::streaming:
      return "streaming";
  }
  return "?";
}

}  // namespace mosskeel
