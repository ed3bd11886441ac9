#pragma once
// The kinds of requests that the stub's callers send.

namespace mosskeel::platform_stub {

/// What a request asks for, and with that whether it may be executed twice.
enum class RequestKind {
  /// A plain request that is idempotent.
  safe,
  /// A plain request that is executed at most once.
  unsafe,
  /// An event stream that begins anew with each attempt.
  stream,
  /// An event stream that is resumed behind the last event received.
  resumable,
  /// A turn of a program whose history is kept.
  turn,
  /// A turn of a program whose history is not kept.
  unkept_turn
};

inline bool is_idempotent(RequestKind kind) {
  return kind == RequestKind::safe || kind == RequestKind::resumable;
}

/// Whether the response is an event stream of a model.
inline bool is_stream(RequestKind kind) {
  return kind != RequestKind::safe && kind != RequestKind::unsafe;
}

inline bool is_turn(RequestKind kind) {
  return kind == RequestKind::turn || kind == RequestKind::unkept_turn;
}

}  // namespace mosskeel::platform_stub
