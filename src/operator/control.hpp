#pragma once
// What a platform may order of the core, in the product's words, and how its way of asking plugs in.
#include "kernel/http.hpp"

namespace mosskeel {

/// What became of an order. `unclear`: neither done nor refused yet; asking again under the same words finds out.
struct Verdict {
  enum class Kind { done, other_base, invalid, refused, unknown, unclear } kind = Kind::unclear;
  std::string reason;
};

/// `unclear`: no majority of the core has confirmed any state.
enum class Retirement { unclear, unknown, serving, finished };

/// All calls for one request together end within `limits::operator_patience`.
class Control {
 public:
  virtual ~Control() = default;
  /// Why this controller takes no orders now, or nothing; `other` is where a controller that does may be asked.
  struct Absent {
    Address other;
    std::string reason;
  };
  virtual std::optional<Absent> absent() = 0;
  /// The metadata, confirmed by a majority of the core as the newest; nothing where none answered.
  virtual View newest() = 0;
  /// Done once everything that this controller knows is in force.
  virtual Verdict settled() = 0;
  /// Applies a configuration under its own revision on top of `base`; a repeated `commit` is never applied twice.
  virtual Verdict apply(const std::string& commit, Revision base, Revision own, const Configuration& m) = 0;
  virtual Verdict evacuate(const std::string& zone) = 0;
  virtual Verdict restore(const std::string& zone) = 0;
  /// Empties the store on this machine; refused where too few copies would remain.
  virtual Verdict retire(const std::string& machine) = 0;
  virtual Retirement retirement(const std::string& machine) = 0;
};

/// One page of a list of replicas; `next` is empty on the last.
struct ListPage {
  std::vector<Replica> replicas;
  std::string next;
};

/// A platform's way of ordering and of listing replicas: a plug-in that registers itself.
class ControlDialect {
 public:
  virtual ~ControlDialect() = default;
  virtual const char* name() const = 0;
  /// The answer to what the platform's operator asks, or nothing where it is no such ask.
  virtual std::optional<HttpAnswer> answer(const HttpAsk& a, Control& c) const = 0;
  /// Path and query of the page that `next` of the page before names; empty for the first.
  virtual std::string list_path(const std::string& next) const = 0;
  virtual Result<ListPage> list_page(const std::string& text) const = 0;
};

/// The registered one of that name, or nothing.
const ControlDialect* control_dialect(const std::string& name);

/// A static object of this type puts one into the registry.
struct ControlEnrolled {
  explicit ControlEnrolled(const ControlDialect* d);
};

}  // namespace mosskeel
