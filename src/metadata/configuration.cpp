#include "metadata/configuration.hpp"

namespace mosskeel {
namespace {

/// The shortest retention that a cell may have.
constexpr Duration kMinCellRetention = 1000ms;

/// Finds what is wrong with one configuration. Each check appends to `errors_`, in the order of the document.
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
      auto place = "cells[" + std::to_string(i) + "]";
      if (cell.name.empty() || cell.name.find('/') != std::string::npos)
        add(place + ".name", "must be a word without '/'");
      check_unique(names, place, cell.name);
      if (cell.budget == 0)
        add(place + ".budget", "must be above 0 tokens");
      if (cell.turn_limit == 0)
        add(place + ".turn_limit", "must be above 0 tokens");
      if (cell.turn_limit > cell.budget)
        add(place + ".turn_limit", "exceeds the budget");
      if (Duration(cell.retention_ms) < kMinCellRetention)
        add(place + ".retention_ms", "must be at least " + std::to_string(kMinCellRetention.count()) + " ms");
      check_routes(cell, place);
    }
  }

  void check_routes(const Cell& cell, const std::string& cell_place) {
    std::set<std::string> names;
    for (size_t i = 0; i < cell.routes.size(); ++i) {
      auto& route = cell.routes[i];
      auto place = cell_place + ".routes[" + std::to_string(i) + "]";
      if (route.name.empty())
        add(place + ".name", "is empty");
      check_unique(names, place, route.name);
      if (route.kind != "model" && route.kind != "app")
        add(place + ".kind", "is neither model nor app");
    }
  }

  void check_services() {
    for (size_t i = 0; i < configuration_.services.size(); ++i) {
      auto& service = configuration_.services[i];
      auto place = "services[" + std::to_string(i) + "]";
      if (service.name.empty())
        add(place + ".name", "is empty");
      check_unique(services_, place, service.name);
      if (service.cold_ms < 0)
        add(place + ".cold_ms", "is below 0");
      // Not a number is wrong, too.
      if (!(service.cold_per_s >= 0))
        add(place + ".cold_per_s", "is below 0");
    }
  }

  void check_paths() {
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
    for (size_t i = 0; i < configuration_.paths.size(); ++i) {
      auto& path = configuration_.paths[i];
      auto place = "paths[" + std::to_string(i) + "]";
      if (path.name.empty())
        add(place + ".name", "is empty");
      check_unique(names, place, path.name);
      if (path.host.empty())
        add(place + ".host", "is empty");
      if (!path.prefix.starts_with("/") || !path.prefix.ends_with("/"))
        add(place + ".prefix", "must begin and end with '/'");
      if (!hosts_and_prefixes.insert({path.host, path.prefix}).second)
        add(place + ".prefix", "another path has this host and prefix");
      if (path.kind != "safe" && path.kind != "unsafe" && path.kind != "streaming")
        add(place + ".kind", "is none of safe, unsafe, streaming");
      if (path.timeout_ms <= 0)
        add(place + ".timeout_ms", "must be above 0 ms");
      if (path.retention_ms < 0)
        add(place + ".retention_ms", "is below 0");
      check_shares(path, place);
    }
  }

  void check_shares(const Path& path, const std::string& place) {
    uint64_t total_weight = 0;
    for (auto& share : path.shares) {
      total_weight += share.weight;
      if (!services_.count(share.service))
        add(place + ".shares", "service '" + share.service + "' is unknown");
    }
    if (total_weight == 0)
      add(place + ".shares", "the weights add up to 0");
  }

  void check_unique(std::set<std::string>& names, const std::string& place, const std::string& name) {
    if (!names.insert(name).second)
      add(place + ".name", "'" + name + "' is there twice");
  }

  void add(std::string place, std::string message) { errors_.push_back({std::move(place), std::move(message)}); }

  const Configuration& configuration_;
  /// Names of the services, once these were checked.
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
