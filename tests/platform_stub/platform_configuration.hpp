#pragma once
// The configuration documents of the stub's operator.
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "platform_stub/request_kind.hpp"

namespace mosskeel::platform_stub {

inline constexpr int kFirstRevision = 5;
inline constexpr int kChangedRevision = 8;
/// The time of the route "slow"; the other routes have 4 s.
inline constexpr std::chrono::milliseconds kSlowRouteTimeout{6000};

/// The configuration that a run begins with.
nlohmann::json first_configuration();

/// A change of named items of a configuration, and the document that it leads to.
struct ConfigurationChange {
  nlohmann::json patch;
  nlohmann::json result;
};

/// Moves the route "safe" to another service, adds the route "new" and removes the route "old".
ConfigurationChange change_routes(const nlohmann::json& configuration);

/// A route on which nobody sends.
nlohmann::json unused_route(size_t number);

/// A route "r-NAME" with the prefix "/NAME/", of the kind that requests of this kind need.
nlohmann::json route_for(const std::string& name, RequestKind kind, const std::string& service);

/// A service of models.
nlohmann::json model_service(const std::string& name);

/// A later revision in which a route leads to a service that does not exist.
nlohmann::json invalid_configuration(const nlohmann::json& configuration);

/// A valid later revision.
nlohmann::json later_configuration(const nlohmann::json& configuration);

}  // namespace mosskeel::platform_stub
