#include "metadata/configuration.hpp"

namespace mosskeel {
namespace {

/// The shortest retention that a cell may have.
constexpr Duration kMinCellRetention = 1000ms;

/// Validates one configuration. Each check appends to `errors_`, in document order.
class Validator {
 public:
  explicit Validator(const Configuration& configuration) : configuration_(configuration) {}

  Errors run() {
    check_cells();
    check_services();
    check_paths();
    return std::move(errors_);
  }

 private:
  void check_cells() {
    std::set<std::string> names;
    for (size_t i = 0; i < configuration_.cells.size(); ++i) {
      auto& cell = configuration_.cells[i];
      auto location = "cells[" + std::to_string(i) + "]";
      if (cell.name.empty() || cell.name.find('/') != std::string::npos)
        add(location + ".name", "must be a word without '/'");
      check_unique(names, location, cell.name);
      if (cell.budget == 0)
        add(location + ".budget", "must be above 0 tokens");
      if (cell.turn_limit == 0)
        add(location + ".turn_limit", "must be above 0 tokens");
      if (cell.turn_limit > cell.budget)
        add(location + ".turn_limit", "exceeds the budget");
      if (Duration(cell.retention_ms) < kMinCellRetention)
        add(location + ".retention_ms", "must be at least " + std::to_string(kMinCellRetention.count()) + " ms");
      check_routes(cell, location);
    }
  }

  void check_routes(const Cell& cell, const std::string& cell_location) {
    std::set<std::string> names;
    for (size_t i = 0; i < cell.routes.size(); ++i) {
      auto& route = cell.routes[i];
      auto location = cell_location + ".routes[" + std::to_string(i) + "]";
      if (route.name.empty())
        add(location + ".name", "is empty");
      check_unique(names, location, route.name);
      if (route.kind != "model" && route.kind != "app")
        add(location + ".kind", "is neither model nor app");
    }
  }

  void check_services() {
    for (size_t i = 0; i < configuration_.services.size(); ++i) {
      auto& service = configuration_.services[i];
      auto location = "services[" + std::to_string(i) + "]";
      if (service.name.empty())
        add(location + ".name", "is empty");
      check_unique(services_, location, service.name);
      if (service.cold_ms < 0)
        add(location + ".cold_ms", "is below 0");
      // Written as a negation to reject NaN as well.
      if (!(service.cold_per_s >= 0))
        add(location + ".cold_per_s", "is below 0");
    }
  }

  void check_paths() {
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
    for (size_t i = 0; i < configuration_.paths.size(); ++i) {
      auto& path = configuration_.paths[i];
      auto location = "paths[" + std::to_string(i) + "]";
      if (path.name.empty())
        add(location + ".name", "is empty");
      check_unique(names, location, path.name);
      if (path.host.empty())
        add(location + ".host", "is empty");
      if (!path.prefix.starts_with("/") || !path.prefix.ends_with("/"))
        add(location + ".prefix", "must begin and end with '/'");
      if (!hosts_and_prefixes.insert({path.host, path.prefix}).second)
        add(location + ".prefix", "another path has this host and prefix");
      if (path.kind != "safe" && path.kind != "unsafe" && path.kind != "streaming")
        add(location + ".kind", "is none of safe, unsafe, streaming");
      if (path.timeout_ms <= 0)
        add(location + ".timeout_ms", "must be above 0 ms");
      if (path.retention_ms < 0)
        add(location + ".retention_ms", "is below 0");
      check_shares(path, location);
    }
  }

  void check_shares(const Path& path, const std::string& location) {
    uint64_t total_weight = 0;
    for (auto& share : path.shares) {
      total_weight += share.weight;
      if (!services_.count(share.service))
        add(location + ".shares", "service '" + share.service + "' is unknown");
    }
    if (total_weight == 0)
      add(location + ".shares", "the weights add up to 0");
  }

  void check_unique(std::set<std::string>& names, const std::string& location, const std::string& name) {
    if (!names.insert(name).second)
      add(location + ".name", "'" + name + "' is there twice");
  }

  void add(std::string location, std::string message) { errors_.push_back({std::move(location), std::move(message)}); }

  const Configuration& configuration_;
  /// Names of the services, filled in by `check_services`.
  std::set<std::string> services_;
  Errors errors_;
};

}  // namespace

PathKind Path::path_kind() const {
  if (kind == "safe")
    return PathKind::safe;
  return kind == "unsafe" ? PathKind::unsafe : PathKind::streaming;
}

const Cell* Configuration::cell(const std::string& name) const {
  for (auto& cell : cells)
    if (cell.name == name)
      return &cell;
  return nullptr;
}

const Service* Configuration::service(const std::string& name) const {
  for (auto& service : services)
    if (service.name == name)
      return &service;
  return nullptr;
}

Errors validate(const Configuration& configuration) {
  return Validator(configuration).run();
}

}  // namespace mosskeel
