#include "platform_stub/book.hpp"

namespace mosskeel::standin {

std::vector<Event> events_of(const std::string& body) {
  std::vector<Event> v;
  Event e;
  for (size_t at = 0;;) {
    auto end = body.find('\n', at);
    if (end == body.npos)
      return v;
    auto line = body.substr(at, end - at);
    at = end + 1;
    if (line.starts_with("id: "))
      e.id = std::stoull(line.substr(4));
    if (line.starts_with("data: "))
      e.data = line.substr(6);
    if (line.empty())
      v.push_back(std::exchange(e, {}));
  }
}

void Book::violate(const std::string& what) {
  if (++violations_ <= 50)
    printf("violation: %s\n", what.c_str());
  fflush(stdout);
}

const Sent* Book::find(const std::string& attempt) const {
  auto i = sent_.find(attempt);
  return i == sent_.end() ? nullptr : &i->second;
}

void Book::ran(const std::string& attempt, const std::string& service, const HttpRequest& r) {
  auto* s = find(attempt);
  if (!s)
    return violate("ran what nobody sent: " + attempt);
  if (r.target != s->target || r.method != "POST")
    violate(attempt + " ran as " + r.method + " " + r.target);
  auto want = s->kind == Kind::turn ? chain(s->parent) + s->body : s->body;
  if (r.body != want)
    violate(attempt + " ran with another body: " + r.body.substr(0, 200) + " instead of " + want.substr(0, 200));
  if (++runs_[attempt] > 1 && !repeatable(s->kind))
    violate(attempt + " ran twice");
  if (auto i = refused_.find(attempt); i != refused_.end() && !repeatable(s->kind))
    violate(attempt + " ran after its " + std::to_string(i->second));
  for (auto& [prefix, x] : rules_)
    if (s->target.starts_with(prefix) && s->at > x.second && service != x.first)
      violate(attempt + " to " + prefix + " ran at " + service + ", which an older version says");
}

void Book::made(const std::string& attempt, const std::string& seal, const std::string& body) {
  made_[attempt][seal] = body;
}

void Book::refused(const std::string& attempt, uint32_t status) {
  refused_[attempt] = status;
  auto* s = find(attempt);
  if (s && !repeatable(s->kind) && runs_.count(attempt))
    violate(attempt + " got " + std::to_string(status) + " but ran");
}

void Book::whole(const std::string& attempt, const HeaderFields& f, const std::string& body) {
  auto& s = sent_.at(attempt);
  auto seal = std::string(header_value(f, "Mosskeel-Server-Seal"));
  if (header_value(f, "Mosskeel-Attempt-Id") != attempt)
    violate(attempt + " was answered as another attempt");
  auto m = made_[attempt].find(seal);
  if (seal.empty() || m == made_[attempt].end())
    violate(attempt + " has a success whose seal '" + seal + "' no replica made whole");
  else if (m->second != body)
    violate(attempt + " has another body than its replica made");
  if (s.kind == Kind::safe || s.kind == Kind::unsafe)
    return;
  uint64_t last = s.resume_after;
  Turn t{s.parent, s.body, ""};
  for (auto& e : events_of(body)) {
    if (e.id != last + 1)
      violate(attempt + " has event " + std::to_string(e.id) + " behind " + std::to_string(last));
    last = e.id;
    t.data += e.data + "\n";
  }
  if (s.kind == Kind::turn)
    turns_[attempt] = std::move(t);
}

std::string Book::chain(const std::string& turn) const {
  auto i = turns_.find(turn);
  return i == turns_.end() ? "" : chain(i->second.parent) + i->second.input + i->second.data;
}

void Book::close() {
  for (auto& [p, t] : tokens_)
    if (t.budget != UINT64_MAX && t.handed > t.budget + t.most)
      violate("program " + p + " was handed " + std::to_string(t.handed) + " tokens of " + std::to_string(t.budget));
  for (auto& [a, n] : runs_)
    if (auto& s = sent_.at(a); n > 1 && !repeatable(s.kind))
      violate(a + " ran " + std::to_string(n) + " times");
}

void Book::served(const std::string& what, bool yes) {
  auto& [good, all] = served_[what];
  good += yes, ++all;
}

bool Book::enough(double share) const {
  int good = 0, all = 0;
  for (auto& [what, x] : served_) {
    printf("%-10s %4d of %4d served\n", what.c_str(), x.first, x.second);
    good += x.first, all += x.second;
  }
  printf("all        %4d of %4d served; %d violations\n", good, all, violations_);
  return all > 0 && good >= share * all;
}

}  // namespace mosskeel::standin
