#include "fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "net/http_fetch.hpp"
#include "runtime/host.hpp"
#include "runtime/settings.hpp"

extern char** environ;

namespace mosskeel::local_cluster {
namespace fs = std::filesystem;
using Json = nlohmann::json;

int free_base(int ports) {
  for (int tries = 0; tries < 100; ++tries) {
    int base = 10001 + static_cast<int>(dice() % 20000);
    bool good = true;
    for (int i = -1; good && i < ports; ++i) {
      Fd s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      sockaddr_in a{};
      a.sin_family = AF_INET;
      a.sin_port = htons(static_cast<uint16_t>(base + i));
      a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      good = ::bind(s.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    }
    if (good)
      return base;
  }
  return 21000;
}

Fleet::Fleet(Plan p) : plan_(std::move(p)), next_(plan_.base) {
  std::string seeds;
  std::vector<std::pair<Address, Address>> core;
  for (int i = 0; i < plan_.controllers; ++i) {
    auto a = port(), b = port();
    core.push_back({a, b});
    if (i < 3)
      seeds += (i ? "," : "") + a;
  }
  auto n = [](int i) {
    return std::to_string(i + 1);
  };
  for (int i = 0; i < plan_.controllers; ++i) {
    auto& x = add("controller" + n(i), "controller", i);
    x.listen = core[i].first, x.http = core[i].second;
    x.args = {"--listen", x.listen, "--http", x.http, "--zone",      x.zone,
              "--seeds",  seeds,    "--data", x.data, "--core-size", std::to_string(plan_.controllers)};
  }
  for (int i = 0; i < plan_.stores; ++i) {
    auto& x = add("store" + n(i), "store", i);
    x.listen = port(), x.http = port();
    x.args = {"--listen", x.listen, "--http", x.http, "--zone", x.zone, "--seeds", seeds, "--data", x.data};
  }
  for (int i = 0; i < plan_.fronts; ++i) {
    auto agent = port(), listen = port(), http = port();
    auto& l = add("agent" + n(i), "agent", i);
    l.listen = agent;
    l.args = {"--listen", agent, "--agent", listen, "--zone", l.zone, "--seeds", seeds};
    auto& x = add("gateway" + n(i), "gateway", i);
    x.listen = listen, x.http = http;
    x.args = {"--listen", listen, "--http", http, "--agent", agent, "--zone", x.zone};
  }
  for (int k = 0; k < 2; ++k)
    for (int i = 0; i < (k ? plan_.apps : plan_.models); ++i) {
      auto& x = add((k ? "app" : "model") + n(i), "replica-sim", i);
      x.http = port();
      x.args = {"--http", x.http,
                "--kind", k ? "app" : "model",
                "--name", x.name,
                "--runs", plan_.dir + "/runs-" + x.name,
                "--pace", k ? "5" : plan_.pace};
    }
}

Proc& Fleet::add(const std::string& name, const std::string& program, int zone) {
  Proc p;
  p.name = name;
  p.program = program;
  p.zone = std::string(1, static_cast<char>('a' + zone % plan_.zones));
  p.data = plan_.dir + "/" + name;
  procs_.push_back(std::move(p));
  return procs_.back();
}

Fleet::~Fleet() {
  std::lock_guard l(m_);
  for (auto& p : procs_)
    if (p.pid)
      ::kill(p.pid, SIGKILL), ::waitpid(p.pid, nullptr, 0);
}

Errors Fleet::spawn(Proc& p) {
  std::vector<std::string> a{plan_.bin + "/" + p.program};
  a.insert(a.end(), p.args.begin(), p.args.end());
  std::vector<char*> v;
  for (auto& s : a)
    v.push_back(s.data());
  v.push_back(nullptr);
  posix_spawn_file_actions_t f;
  posix_spawn_file_actions_init(&f);
  auto log = plan_.dir + "/" + p.name + ".log";
  posix_spawn_file_actions_addopen(&f, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&f, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&f, 1, 2);
  int rc = posix_spawn(&p.pid, a[0].c_str(), &f, nullptr, v.data(), environ);
  posix_spawn_file_actions_destroy(&f);
  p.frozen = false;
  if (rc)
    return p.pid = 0, Errors{{a[0], strerror(rc)}};
  return {};
}

Errors Fleet::start_all() {
  std::error_code ec;
  fs::create_directories(plan_.dir, ec);
  std::lock_guard l(m_);
  for (auto& p : procs_)
    if (auto f = spawn(p); !f.empty())
      return f;
  return {};
}

void Fleet::reap() {
  for (auto& p : procs_)
    if (p.pid && ::waitpid(p.pid, nullptr, WNOHANG) == p.pid)
      p.pid = 0;
}

Errors Fleet::act(const std::string& what, const std::string& name) {
  std::lock_guard l(m_);
  reap();
  for (auto& p : procs_) {
    if (p.name != name)
      continue;
    if (what == "start")
      return p.pid ? Errors{{name, "runs already"}} : spawn(p);
    if (what == "wipe") {
      if (p.pid)
        return {{name, "runs; kill it first"}};
      std::error_code ec;
      fs::remove_all(p.data, ec);
      return {};
    }
    if (!p.pid)
      return {{name, "does not run"}};
    if (what == "kill")
      return ::kill(p.pid, SIGKILL), ::waitpid(p.pid, nullptr, 0), p.pid = 0, Errors{};
    if (what == "stop")
      return ::kill(p.pid, SIGTERM), Errors{};
    if (what == "freeze")
      return ::kill(p.pid, SIGSTOP), p.frozen = true, Errors{};
    if (what == "wake")
      return ::kill(p.pid, SIGCONT), p.frozen = false, Errors{};
    return {{what, "is none of kill, freeze, wake, stop, start, wipe"}};
  }
  return {{name, "is no process of this fleet"}};
}

std::vector<Proc> Fleet::list() {
  std::lock_guard l(m_);
  reap();
  return procs_;
}

std::vector<Address> Fleet::controllers() {
  std::vector<Address> v;
  for (auto& p : list())
    if (p.program == "controller")
      v.push_back(p.http);
  return v;
}

Errors Fleet::introduce() {
  auto all = controllers();
  auto put = [&](const std::string& path, const Json& j) -> Errors {
    auto until = process_now() + 60000;
    std::string why;
    while (process_now() < until)
      for (auto& m : all) {
        FetchRequest a;
        a.method = "PUT";
        a.url = "http://" + m + path;
        a.body = j.dump();
        a.headers["Idempotency-Key"] = "local-cluster-" + hex(digest(path + j.dump()));
        auto r = http_fetch(a);
        if (r.status == 200 || (r.status == 409 && r.body.find("is so already") != std::string::npos))
          return {};
        if (r.status == 409 && r.body.find("built on") != std::string::npos)
          return {};
        why = r.error.empty() ? r.body : r.error;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
    return {{path, "was not accepted: " + why}};
  };
  for (auto& p : list()) {
    if (p.program != "replica-sim")
      continue;
    auto kind = p.name.starts_with("app") ? "app" : "model";
    if (auto f = put("/v1/replicas/" + p.name,
                     {{"kind", kind}, {"zone", p.zone}, {"url", "http://" + p.http}, {"health", "ready"}});
        !f.empty())
      return f;
  }
  Json routes = Json::array({{{"name", "chat"}, {"kind", "model"}}, {{"name", "app"}, {"kind", "app"}}});
  Json cell{{"name", "news"}, {"budget", 400}, {"turn_limit", 40}, {"retention_ms", 3600000}, {"routes", routes}};
  return put("/v1/cluster/configuration?revision=0", {{"cells", Json::array({cell})}});
}

}  // namespace mosskeel::local_cluster
