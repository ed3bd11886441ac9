#include "runtime/settings.hpp"

#include <popt.h>
#include <signal.h>
#include <time.h>

#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>

#include "base/json.hpp"
#include "base/log.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {
namespace {

struct PoptClose {
  void operator()(poptContext c) const { poptFreeContext(c); }
};

std::vector<const SettingsSource*>& registry() {
  static std::vector<const SettingsSource*> v;
  return v;
}

const SettingsSource* applying() {
  for (auto* s : registry())
    if (s->applies())
      return s;
  return nullptr;
}

void address(Errors& f, const char* place, const std::string& a) {
  if (!split_address(a))
    f.push_back({place, "'" + a + "' is no IP:port"});
}

int wrong(const Needs& n, const Errors& f) {
  for (auto& x : f)
    fprintf(stderr, "%s: event=%d %s: %s: %s\n", n.program, static_cast<int>(Event::bad_settings),
            meaning(Event::bad_settings), x.location.c_str(), x.message.c_str());
  return 2;
}

}  // namespace

SettingsEnrolled::SettingsEnrolled(const SettingsSource* s) {
  registry().push_back(s);
}

uint16_t port_offset(const std::string& program) {
  if (program == "gateway")
    return kGatewayPortOffset;
  if (program == "agent")
    return kAgentPortOffset;
  if (program == "store")
    return kStorePortOffset;
  return kControllerPortOffset;
}

uint64_t dice() {
  std::random_device d;
  return (static_cast<uint64_t>(d()) << 32) ^ d();
}

void hold_signals() {
  sigset_t s;
  sigemptyset(&s);
  sigaddset(&s, SIGTERM);
  sigaddset(&s, SIGINT);
  sigaddset(&s, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &s, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

bool signalled(Millis wait) {
  sigset_t s;
  sigemptyset(&s);
  sigaddset(&s, SIGTERM);
  sigaddset(&s, SIGINT);
  timespec t{wait / 1000, (wait % 1000) * 1000000};
  return sigtimedwait(&s, nullptr, &t) > 0;
}

std::variant<Settings, int> read_settings(int argc, const char** argv, const Needs& n) {
  char *file = nullptr, *listen = nullptr, *http = nullptr, *agent = nullptr, *zone = nullptr, *seeds = nullptr,
       *data = nullptr;
  int core = 0, version = 0, check = 0;
  long await = 0, rpc = 0;
  poptOption table[] = {
      {"settings", 's', POPT_ARG_STRING, &file, 0, "JSON file with any of the settings below", "FILE"},
      {"listen", 'l', POPT_ARG_STRING, &listen, 0, "address for other daemons", "IP:PORT"},
      {"http", 'w', POPT_ARG_STRING, &http, 0, "address for HTTP", "IP:PORT"},
      {"agent", 'a', POPT_ARG_STRING, &agent, 0, "a gateway's agent, or an agent's gateway", "IP:PORT"},
      {"zone", 'z', POPT_ARG_STRING, &zone, 0, "the zone of this machine", "NAME"},
      {"seeds", 'e', POPT_ARG_STRING, &seeds, 0, "three addresses of controllers", "A,B,C"},
      {"data", 'd', POPT_ARG_STRING, &data, 0, "the data folder", "DIR"},
      {"core-size", 'c', POPT_ARG_INT, &core, 0, "how many controllers make the core", "N"},
      {"tcm-await-ms", 0, POPT_ARG_LONG, &await, 0, "patience for a change as a whole (10000)", "MS"},
      {"tcm-rpc-ms", 0, POPT_ARG_LONG, &rpc, 0, "patience of one controller for it (2000)", "MS"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings, then exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version, then exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<std::remove_pointer_t<poptContext>, PoptClose> c(poptGetContext(n.program, argc, argv, table, 0));
  poptSetOtherOptionHelp(c.get(), (std::string("[OPTIONS]\n") + n.purpose).c_str());
  Errors f;
  for (int rc; (rc = poptGetNextOpt(c.get())) != -1;)
    if (rc < -1) {
      f.push_back({poptBadOption(c.get(), POPT_BADOPTION_NOALIAS), poptStrerror(rc)});
      break;
    }
  for (const char* x; f.empty() && (x = poptGetArg(c.get()));)
    f.push_back({x, "is no option"});
  if (version) {
    printf("%s (mosskeel) %s\n", n.program, MOSSKEEL_VERSION);
    return 0;
  }
  Settings p{};
  p.tcm_await_ms = kCommitTimeout;
  p.tcm_rpc_ms = kCommitAttemptTimeout;
  bool flags = file || listen || http || agent || zone || seeds || data || core || await || rpc;
  auto* source = flags ? nullptr : applying();
  if (source && f.empty()) {
    auto r = source->read(n.program);
    if (r.ok()) {
      p = r.value();
      p.tcm_await_ms = kCommitTimeout;
      p.tcm_rpc_ms = kCommitAttemptTimeout;
    } else {
      return wrong(n, r.errors());
    }
  }
  if (file) {
    std::ifstream s(file);
    std::stringstream t;
    t << s.rdbuf();
    if (!s) {
      f.push_back({file, "cannot be read"});
    } else {
      auto r = json::parse<Settings>(t.str());
      if (r.ok()) {
        auto whole = r.value();
        if (!whole.tcm_await_ms)
          whole.tcm_await_ms = p.tcm_await_ms;
        if (!whole.tcm_rpc_ms)
          whole.tcm_rpc_ms = p.tcm_rpc_ms;
        p = whole;
      } else
        for (auto& x : r.errors())
          f.push_back({std::string(file) + ": " + x.location, x.message});
    }
  }
  auto set = [](std::string& to, char* from) {
    if (from)
      to = from;
  };
  set(p.listen, listen), set(p.http, http), set(p.agent, agent), set(p.zone, zone), set(p.data, data);
  if (core)
    p.core_size = static_cast<uint32_t>(core < 0 ? 0 : core);
  if (await)
    p.tcm_await_ms = await;
  if (rpc)
    p.tcm_rpc_ms = rpc;
  if (seeds) {
    p.seeds.clear();
    std::stringstream s(seeds);
    for (std::string x; std::getline(s, x, ',');)
      p.seeds.push_back(x);
  }
  if (n.listen)
    address(f, "listen", p.listen);
  if (n.http && !(source && p.http.empty()))
    address(f, "http", p.http);
  if (!p.ready.empty())
    address(f, "ready", p.ready);
  if (!p.list.empty())
    address(f, "list", p.list);
  if (n.agent)
    address(f, "agent", p.agent);
  if (n.zone && p.zone.empty())
    f.push_back({"zone", "is missing"});
  if (n.data && p.data.empty())
    f.push_back({"data", "is missing"});
  if (n.seeds && p.seeds.empty())
    f.push_back({"seeds", "are missing"});
  for (size_t i = 0; n.seeds && i < p.seeds.size(); ++i)
    address(f, ("seeds[" + std::to_string(i) + "]").c_str(), p.seeds[i]);
  if (n.core_size && (p.core_size < 1 || p.core_size > kMaxCoreSize || (!source && p.core_size % 2 == 0)))
    f.push_back({"core_size", "must be an odd number from 1 to 9"});
  if (p.tcm_rpc_ms < 100 || p.tcm_rpc_ms > 30000)
    f.push_back({"tcm_rpc_ms", "must be from 100 to 30000"});
  if (p.tcm_await_ms < p.tcm_rpc_ms || p.tcm_await_ms > 60000)
    f.push_back({"tcm_await_ms", "must be from tcm_rpc_ms to 60000"});
  if (!f.empty())
    return wrong(n, f);
  if (check) {
    printf("%s: settings are good\n", n.program);
    return 0;
  }
  return p;
}

}  // namespace mosskeel
