#pragma once
// The operator: configurations, evacuations, retirements, at whichever daemon answers.
#include <nlohmann/json.hpp>

#include "platform_stub/world.hpp"

namespace mosskeel::standin {

class Operator {
 public:
  using Done = std::function<void(uint32_t status, const std::string& body)>;
  explicit Operator(World& w) : w_(w) {}
  /// Until an answer is clear, or `patience` is over: then with status 0.
  void call(const std::string& method, const std::string& path, const std::string& body, int base, Duration patience,
            Done done);
  /// The first configuration, and what must be refused on top of it.
  void begin(std::function<void()> then);
  /// Changes named items while traffic runs.
  void change(std::function<void()> then);
  void evacuate(const std::string& zone, bool on, std::function<void()> then);
  void retire();
  /// Reads the configuration back.
  void read_back(std::function<void()> then);

 private:
  void expect(const std::string& what, uint32_t status, const std::set<uint32_t>& good);
  World& w_;
  nlohmann::json document_;
};

}  // namespace mosskeel::standin
