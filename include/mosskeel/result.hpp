#pragma once
// Errors with a code, location and message, and results that hold either a value or errors.
#include <concepts>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace mosskeel {

enum class ErrorCode : uint8_t {
  invalid_argument,  ///< the input is invalid regardless of the state
  rejected,          ///< the input is valid, but the current state does not allow it
  corruption,        ///< stored data is damaged
  io_error,          ///< a system call failed
  unavailable,       ///< another process holds what is needed, or the machine lacks it: it may work later
};

/// A single error.
struct Error {
  /// The field of the input ("cells[0].name"), file or object that the error concerns.
  std::string location;
  /// What is wrong, phrased to follow the location in a sentence.
  std::string message;
  ErrorCode code = ErrorCode::invalid_argument;
  bool operator==(const Error&) const = default;
};
/// All errors of an operation, in the order in which they were detected.
using Errors = std::vector<Error>;

/// Formats all errors on one line: "location: message; location: message".
std::string to_string(const Errors& errors);

/// A value, or the errors that prevented computing it. Must not be discarded.
template <class T>
class [[nodiscard]] Result {
 public:
  template <class U>
  requires(!std::same_as<std::remove_cvref_t<U>, Result> && std::constructible_from<std::variant<T, Errors>, U&&>)
      Result(U&& outcome)  // NOLINT(bugprone-forwarding-reference-overload): the constraint keeps copies out
      : outcome_(std::forward<U>(outcome)) {}

  bool operator==(const Result&) const = default;
  bool ok() const { return outcome_.index() == 0; }
  /// Returns the value; only valid if `ok()`.
  const T& value() const& { return std::get<0>(outcome_); }
  T& value() & { return std::get<0>(outcome_); }
  T&& value() && { return std::get<0>(std::move(outcome_)); }
  /// Returns the errors; only valid if not `ok()`.
  const Errors& errors() const { return std::get<1>(outcome_); }

 private:
  std::variant<T, Errors> outcome_;
};

}  // namespace mosskeel
