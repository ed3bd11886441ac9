#include <nlohmann/json.hpp>
#include <random>

#include "load.hpp"
#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {

Harm::Harm(const Plan& p, Book& b) : plan_(p), book_(b), thread_([this] { work(); }) {}
Harm::~Harm() {
  stop_ = true;
  thread_.join();
}

bool Harm::act(const std::string& what, const std::string& name) {
  FetchRequest a;
  a.method = "POST";
  a.url = "http://" + plan_.control + "/" + what + "/" + name;
  auto good = http_fetch(a).status == 200;
  if (good)
    book_.count("harm " + what + " " + name.substr(0, name.find_first_of("0123456789")));
  return good;
}

std::vector<std::string> Harm::victims() {
  std::vector<std::string> v;
  FetchRequest a;
  a.url = "http://" + plan_.control + "/fleet";
  auto j = nlohmann::json::parse(http_fetch(a).body, nullptr, false);
  if (!j.is_array())
    return v;
  for (auto& p : j)
    for (auto& k : plan_.harm)
      if (p["program"] == k || p["name"].get<std::string>().starts_with(k))
        v.push_back(p["name"]);
  return v;
}

void Harm::work() {
  std::mt19937_64 d(plan_.seed);
  auto wait = [&](Millis ms) {
    for (; ms > 0 && !stop_; ms -= 50)
      nap(50);
  };
  wait(2000);
  while (!stop_) {
    auto v = victims();
    if (v.empty())
      return;
    auto n = v[d() % v.size()];
    switch (d() % 3) {
      case 0:
        act("kill", n);
        wait(500 + static_cast<Millis>(d() % 4000));
        act("start", n);
        break;
      case 1:
        act("freeze", n);
        wait(500 + static_cast<Millis>(d() % 6000));
        act("wake", n);
        break;
      case 2:
        act("stop", n);
        for (int i = 0; i < 200 && !act("start", n); ++i)
          nap(50);
        break;
    }
    wait(2000 + static_cast<Millis>(d() % 2000));
  }
}

}  // namespace mosskeel::loadgen
