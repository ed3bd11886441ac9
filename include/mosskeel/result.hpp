#pragma once
// Errors with a code, a location and a message, and results that hold a value or errors.
#include <concepts>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace mosskeel {

enum class ErrorCode : uint8_t {
  invalid_argument,  ///< input that can never be accepted as it is
  rejected,          ///< valid input that the present state does not allow
  corruption,        ///< stored bytes that are damaged
  io_error,          ///< the operating system refused a call
};

/// One thing that is wrong.
struct Error {
  /// Where: a field of the input ("cells[0].name"), a file, or the object concerned.
  std::string location;
  /// What is wrong, to follow the location in a sentence.
  std::string message;
  ErrorCode code = ErrorCode::invalid_argument;
  bool operator==(const Error&) const = default;
};
/// Everything that was found wrong, in the order in which it was found.
using Errors = std::vector<Error>;

/// All errors on one line, "location: message; location: message".
std::string to_string(const Errors& errors);

/// A value, or everything that was found wrong on the way to it. Must be looked at.
template <class T>
class [[nodiscard]] Result {
 public:
  template <class U>
  requires(!std::same_as<std::remove_cvref_t<U>, Result> && std::constructible_from<std::variant<T, Errors>, U&&>)
      Result(U&& outcome)  // NOLINT(bugprone-forwarding-reference-overload): the constraint keeps copies out
      : outcome_(std::forward<U>(outcome)) {}

  bool operator==(const Result&) const = default;
  bool ok() const { return outcome_.index() == 0; }
  /// The value; only valid where `ok()`.
  const T& value() const& { return std::get<0>(outcome_); }
  T& value() & { return std::get<0>(outcome_); }
  T&& value() && { return std::get<0>(std::move(outcome_)); }
  /// The errors; only valid where not `ok()`.
  const Errors& errors() const { return std::get<1>(outcome_); }

 private:
  std::variant<T, Errors> outcome_;
};

}  // namespace mosskeel
