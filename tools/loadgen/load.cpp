#include "load.hpp"

#include <nlohmann/json.hpp>

#include "net/http_fetch.hpp"

namespace mosskeel::loadgen {
using Json = nlohmann::json;

namespace {
constexpr int patience = 40;  // tries; a caller comes back this often before giving up

struct Stream {
  std::string rest, text;
  uint32_t pieces = 0;
  bool done = false, error = false, wrong = false;
  Json last;
  double first = 0;

  void feed(const std::string& s, double begun) {
    rest += s;
    for (size_t at; (at = rest.find('\n')) != std::string::npos; rest.erase(0, at + 1)) {
      auto j = Json::parse(rest.substr(0, at), nullptr, false);
      if (!j.is_object()) {
        wrong = true;
      } else if (j.contains("n")) {
        if (done || j["n"] != pieces)
          wrong = true;
        if (!pieces++)
          first = clock_ms() - begun;
        text += j["text"].get<std::string>();
      } else if (j.contains("done")) {
        done = true;
        last = j;
      } else {
        error = true;
        last = j;
      }
    }
  }
};
}  // namespace

TurnSeen Load::turn(const std::string& program, const std::string& thread, uint32_t settled,
                    const std::vector<TurnSeen>& before) {
  TurnSeen t;
  t.thread = thread;
  t.key = "k" + hex(random());
  t.input = "question " + t.key + " " + std::string(200, 'x');
  bool sure = true;
  for (auto& b : before)
    sure = sure && (b.thread != thread || b.success || b.not_run);
  bool maybe_ran = false;
  for (int i = 0; i < patience; ++i) {
    auto front = fronts_.any();
    if (front.empty()) {
      nap(300);
      continue;
    }
    Stream s;
    auto begun = clock_ms();
    FetchRequest a;
    a.method = "POST";
    a.url = "http://" + front + "/v1/cells/" + plan_.cell + "/programs/" + program + "/turns";
    a.headers["Idempotency-Key"] = t.key;
    a.headers["X-Deadline-Ms"] = "30000";
    if (random() % 20 == 0)
      a.headers["X-Class"] = "urgent";
    Json body{{"input", t.input},
              {"thread", thread},
              {"prefix", "shared prefix " + std::to_string(random() % 12)},
              {"max_tokens", plan_.turn_limit},
              {"stream", true}};
    if (sure)
      body["after"] = settled;
    a.body = body.dump();
    a.timeout_ms = 60000;
    a.on_body = [&](const std::string& b) {
      s.feed(b, begun);
    };
    auto r = http_fetch(a);
    if (i == 0)
      book_.count(r.status == 200 && s.done ? "turn first try ok"
                  : r.status                ? "turn first try " + std::to_string(r.status)
                                            : "turn first try no session");
    if (s.wrong)
      book_.violation("stream of " + t.key + " skipped, repeated or went on after its end");
    if (r.status == 200 && s.done) {
      if (!r.complete)
        book_.violation("a finished stream ended broken: " + t.key);
      if (s.last["pieces"] != s.pieces)
        book_.violation("a stream looked finished with " + std::to_string(s.pieces) + " pieces: " + t.key);
      book_.time("turn", clock_ms() - begun);
      if (s.first > 0)
        book_.time("first piece", s.first);
      t.success = true;
      t.output = s.text;
      std::string chain;
      size_t links = 0;
      for (auto& b : before)
        if (b.thread == thread && b.success)
          chain += b.input + '\0' + b.output + '\0', ++links;
      auto want = "links=" + std::to_string(links) + " chain=" + hex(digest(chain)) + " ";
      if (sure && !s.text.starts_with(want))
        book_.violation("turn " + t.key + " of " + program + " saw another chain than " + std::to_string(links) +
                        " links: " + s.text.substr(0, 40));
      return t;
    }
    if (r.status == 200 && !s.error && r.complete)
      book_.violation("a stream ended whole without its end: " + t.key);
    auto j = s.error ? s.last : Json::parse(r.body, nullptr, false);
    auto ran = j.is_object() ? j.value("ran", "") : "";
    if (ran != "no")
      maybe_ran = maybe_ran || r.request_sent;
    book_.count("turn try " +
                (r.status ? std::to_string(r.status) + (ran.empty() ? "" : " ran " + ran) : "no session"));
    auto reason = j.is_object() ? j.value("reason", "") : "";
    if (r.status == 404 && reason.find("missing") != std::string::npos && settled)
      book_.violation("a kept conversation was called missing: " + program);
    if (r.status == 409 && reason.find("after:") == 0)
      book_.violation("turn order: " + reason + ", acknowledged " + std::to_string(settled) + ": " + program);
    if (r.status == 429) {
      t.spent = true;
      t.not_run = !maybe_ran;
      break;
    }
    if (ran == "unknown" && (reason.find("will not be run again") != std::string::npos ||
                             reason.find("kept outcome") != std::string::npos)) {
      book_.count("turn ended unknown: " + reason);
      return t;
    }
    nap(j.is_object() ? j.value("retry_after_ms", 300) : 300);
  }
  if (!maybe_ran)
    t.not_run = true;
  book_.count(t.spent ? "turn budget spent" : t.not_run ? "turn given up, not run" : "turn given up, unknown");
  return t;
}

void Load::turns(const std::string& program, const std::string& thread, int n, std::vector<TurnSeen>& seen,
                 std::mutex& m) {
  std::vector<TurnSeen> mine;
  for (int i = 0; i < n; ++i) {
    uint32_t settled = 0;
    for (auto& x : mine)
      settled += x.success;
    auto t = turn(program, thread, settled, mine);
    mine.push_back(t);
    {
      std::lock_guard l(m);
      seen.push_back(t);
    }
    if (t.not_run) {
      std::lock_guard l(m_);
      not_run_[plan_.cell + "/" + program + "/" + t.key] = true;
    }
    if (t.spent)
      return;
    nap(static_cast<Millis>(random() % 300));
  }
}

void Load::program(uint64_t n) {
  auto name = "p" + std::to_string(n) + "-" + hex(random()).substr(0, 6);
  std::vector<TurnSeen> seen;
  std::mutex m;
  bool dive = n % 5 == 0, review = n % 7 == 0;
  std::vector<std::thread> helpers;
  if (dive)
    for (int h = 0; h < 2; ++h)
      helpers.emplace_back([&, h] { turns(name, "helper" + std::to_string(h), 3, seen, m); });
  turns(name, "main", dive ? 6 : review ? 5 : 3, seen, m);
  for (auto& h : helpers)
    h.join();
  book_.count("programs");
  std::lock_guard l(m_);
  programs_[name] = std::move(seen);
}

void Load::fetch(const std::string& path, const char* what, const char* cls) {
  for (int i = 0; i < patience; ++i) {
    auto front = fronts_.any();
    if (front.empty()) {
      nap(300);
      continue;
    }
    FetchRequest a;
    a.url = "http://" + front + "/v1/cells/" + plan_.cell + "/app" + path;
    a.headers["X-Class"] = cls;
    auto begun = clock_ms();
    auto r = http_fetch(a);
    if (r.status == 200 && r.complete) {
      book_.time(what, clock_ms() - begun);
      auto want = "GET " + path + " ";
      if (!r.body.starts_with(want))
        return book_.violation("another answer for " + path);
      std::string b = want;
      for (auto seed = digest(b); b.size() < r.body.size(); seed = digest("", seed))
        b += hex(seed);
      if (b != r.body)
        book_.violation("a success that is not the replica's whole answer: " + path);
      return;
    }
    book_.count(std::string(what) + " try " + (r.status ? std::to_string(r.status) : "no session"));
    auto j = Json::parse(r.body, nullptr, false);
    nap(j.is_object() ? j.value("retry_after_ms", 300) : 300);
  }
  book_.count(std::string(what) + " given up");
}

void Load::tally(uint64_t n) {
  auto id = "count-" + std::to_string(n) + "-" + hex(random());
  bool maybe = false;
  for (int i = 0; i < patience; ++i) {
    auto front = fronts_.any();
    if (front.empty()) {
      nap(300);
      continue;
    }
    FetchRequest a;
    a.method = "POST";
    a.url = "http://" + front + "/v1/cells/" + plan_.cell + "/app/count";
    a.headers["Idempotency-Key"] = id;
    a.body = id;
    auto begun = clock_ms();
    auto r = http_fetch(a);
    if (r.status == 200 && r.complete)
      return book_.time("count", clock_ms() - begun);
    auto j = Json::parse(r.body, nullptr, false);
    auto ran = j.is_object() ? j.value("ran", "") : "";
    auto reason = j.is_object() ? j.value("reason", "") : "";
    if (ran != "no")
      maybe = maybe || r.request_sent;
    book_.count("count try " +
                (r.status ? std::to_string(r.status) + (ran.empty() ? "" : " ran " + ran) : "no session"));
    if (reason.find("will not be run again") != std::string::npos || reason.find("kept outcome") != std::string::npos)
      return book_.count("count ended unknown");
    nap(j.is_object() ? j.value("retry_after_ms", 300) : 300);
  }
  if (!maybe) {
    std::lock_guard l(m_);
    not_run_["app:" + id] = true;
  }
  book_.count("count given up");
}

int Load::run() {
  auto begun = clock_ms();
  std::vector<std::thread> v;
  std::optional<Harm> harm;
  if (!plan_.harm.empty())
    harm.emplace(plan_, book_);
  for (uint64_t n = 0; clock_ms() - begun < plan_.seconds * 1000.0; ++n) {
    v.emplace_back([this, n] { program(n); });
    v.emplace_back([this, n] { tools(n); });
    auto due = begun + static_cast<double>(n + 1) * 1000.0 / plan_.rate;
    if (auto w = due - clock_ms(); w > 0)
      nap(static_cast<Millis>(w));
  }
  harm.reset();
  for (auto& t : v)
    t.join();
  book_.count("seconds", static_cast<uint64_t>((clock_ms() - begun) / 1000));
  for (auto& [p, seen] : programs_)
    check_history(p, seen);
  check_runs();
  fputs(book_.text().c_str(), stdout);
  if (!plan_.report.empty())
    if (FILE* f = fopen(plan_.report.c_str(), "w"))
      fputs(book_.json().c_str(), f), fclose(f);
  return book_.violations() ? 1 : 0;
}

}  // namespace mosskeel::loadgen
