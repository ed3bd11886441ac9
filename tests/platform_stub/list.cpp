#include <nlohmann/json.hpp>

#include "platform_stub/replicas.hpp"

namespace mosskeel::standin {

constexpr size_t page = 3;
constexpr double rate = 40;

List::List(World& w, std::function<std::vector<Listed>()> now) : w_(w), now_(std::move(now)) {
  in_ = listen(w.loop, w.plan.list(),
               {[this](uint64_t id, HttpRequest&& r) { asked(id, r); }, [](uint64_t) {},
                [](uint64_t) {
                }});
  look();
}

void List::look() {
  auto now = monotonic_now();
  past_.push_back({now, now_()});
  while (past_.size() > 1 && past_[1].first <= now - list_lag)
    past_.pop_front();
  w_.loop.run_after(100ms, [this] { look(); });
}

void List::asked(uint64_t id, const HttpRequest& r) {
  auto now = monotonic_now();
  while (!calls_.empty() && now - calls_.front() >= 1000ms)
    calls_.pop_front();
  if (static_cast<double>(calls_.size()) >= rate)
    return in_->send_response(id, 429, {{"Retry-After", "0.2"}}, "");
  calls_.push_back(now);
  if (r.method != "GET" || !r.target.starts_with("/replicas"))
    return in_->send_response(id, 404, {}, "");
  auto t = r.target.find("PageToken=p-");
  size_t from = t == r.target.npos ? 0 : std::stoul(r.target.substr(t + 12));
  auto& v = past_.front().second;
  auto j = nlohmann::json::array();
  for (size_t i = from; i < std::min(v.size(), from + page); ++i) {
    auto& l = v[i];
    auto cold = std::max(Duration::zero(), l.cold_until - now);
    j.push_back({{"Id", l.id},
                 {"Service", l.service},
                 {"Address", l.at},
                 {"Zone", l.zone},
                 {"Revision", "v1"},
                 {"SlotCount", slot_count},
                 {"State", l.draining ? "draining" : "ready"},
                 {"ColdLeftMs", cold.count()}});
  }
  nlohmann::json next;
  if (from + page < v.size())
    next = "p-" + std::to_string(from + page);
  in_->send_response(id, 200, {{"Content-Type", "application/json"}},
                     nlohmann::json{{"Replicas", j}, {"NextToken", next}}.dump());
}

}  // namespace mosskeel::standin
