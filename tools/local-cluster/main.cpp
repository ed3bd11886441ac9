// Runs a fleet on this machine, and does harm to it when asked.
#include <curl/curl.h>
#include <popt.h>

#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/log.hpp"
#include "fleet.hpp"
#include "net/http_fetch.hpp"
#include "net/http_server.hpp"
#include "runtime/host.hpp"
#include "runtime/settings.hpp"

using namespace mosskeel;
using Json = nlohmann::json;

namespace {

int ready(local_cluster::Fleet& f) {
  int n = 0;
  for (auto& p : f.list())
    if (p.program == "gateway" && p.pid) {
      FetchRequest a;
      a.url = "http://" + p.http + "/ready";
      a.timeout_ms = 1000;
      n += http_fetch(a).status == 200;
    }
  return n;
}

ApiResponse answer(local_cluster::Fleet& f, const ApiRequest& a) {
  ApiResponse r;
  if (a.path == "/fleet") {
    Json j = Json::array();
    for (auto& p : f.list())
      j.push_back({{"name", p.name},
                   {"program", p.program},
                   {"pid", p.pid},
                   {"listen", p.listen},
                   {"http", p.http},
                   {"zone", p.zone},
                   {"frozen", p.frozen}});
    r.body = j.dump() + "\n";
    return r;
  }
  auto k = a.path.find('/', 1);
  if (a.method != "POST" || k == std::string::npos)
    return ApiResponse::error(404, "unknown_path", "try GET /fleet or POST /kill/NAME");
  if (auto x = f.act(a.path.substr(1, k - 1), a.path.substr(k + 1)); !x.empty())
    return ApiResponse::error(409, "refused", x);
  r.body = "{}\n";
  return r;
}

}  // namespace

int main(int argc, const char** argv) {
  local_cluster::Plan p;
  char *fleet = nullptr, *dir = nullptr, *pace = nullptr;
  int version = 0, quiet = 0;
  poptOption table[] = {{"fleet", 'f', POPT_ARG_STRING, &fleet, 0,
                         "kjortala (5,6,3,18,8), catania (3,6,3,9,3) or small (3,2,3,2,1)", "NAME"},
                        {"dir", 'd', POPT_ARG_STRING, &dir, 0, "folder for data and logs; emptied first", "DIR"},
                        {"base", 'b', POPT_ARG_INT, &p.base, 0,
                         "first port; the control port is the one before; 0 finds free ones", "PORT"},
                        {"controllers", 0, POPT_ARG_INT, &p.controllers, 0, "how many controllers", "N"},
                        {"stores", 0, POPT_ARG_INT, &p.stores, 0, "how many stores", "N"},
                        {"fronts", 0, POPT_ARG_INT, &p.fronts, 0, "how many gateways", "N"},
                        {"pace", 0, POPT_ARG_STRING, &pace, 0, "milliseconds between a model's pieces", "MS"},
                        {"keep", 'k', POPT_ARG_NONE, &quiet, 0, "keep the folder of an earlier run", nullptr},
                        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version, then exit", nullptr},
                        POPT_AUTOHELP POPT_TABLEEND};
  for (int i = 1; i + 1 < argc; ++i)
    if (std::string(argv[i]) == "--fleet" || std::string(argv[i]) == "-f") {
      std::string n = argv[i + 1];
      if (n == "kjortala")
        p.controllers = 5, p.models = 18, p.apps = 8;
      else if (n == "small")
        p.fronts = 2, p.models = 2, p.apps = 1;
      else if (n != "catania")
        return fprintf(stderr, "local-cluster: fleet: '%s' is unknown\n", n.c_str()), 2;
    }
  poptContext c = poptGetContext("local-cluster", argc, argv, table, 0);
  if (int rc = poptGetNextOpt(c); rc < -1)
    return fprintf(stderr, "local-cluster: %s: %s\n", poptBadOption(c, 0), poptStrerror(rc)), 2;
  if (version)
    return printf("local-cluster (mosskeel) %s\n", MOSSKEEL_VERSION), 0;
  if (!dir)
    return fprintf(stderr, "local-cluster: dir: is missing\n"), 2;
  p.dir = dir;
  if (pace)
    p.pace = pace;
  if (p.base == 0)
    p.base = local_cluster::free_base(2 * p.controllers + 2 * p.stores + 3 * p.fronts + p.models + p.apps);
  p.bin = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  if (!quiet)
    std::filesystem::remove_all(p.dir);
  start_log("local-cluster");
  hold_signals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  auto begun = process_now();
  local_cluster::Fleet f(p);
  if (auto x = f.start_all(); !x.empty())
    return fprintf(stderr, "local-cluster: %s\n", to_string(x).c_str()), 2;
  if (auto x = f.introduce(); !x.empty())
    return fprintf(stderr, "local-cluster: %s\n", to_string(x).c_str()), 1;
  while (ready(f) < p.fronts && process_now() - begun < 60000)
    if (signalled(100))
      return 1;
  auto web =
      HttpServer::open("127.0.0.1:" + std::to_string(p.base - 1), [&](const ApiRequest& a) { return answer(f, a); });
  if (!web.ok())
    return fprintf(stderr, "local-cluster: %s\n", to_string(web.errors()).c_str()), 2;
  std::string m;
  for (auto& a : f.controllers())
    m += (m.empty() ? "" : ",") + a;
  printf("local-cluster: %d of %d fronts ready after %lld ms; controllers %s; control 127.0.0.1:%d\n", ready(f),
         p.fronts, static_cast<long long>(process_now() - begun), m.c_str(), p.base - 1);
  fflush(stdout);
  while (!signalled(1000)) {}
  return 0;
}
