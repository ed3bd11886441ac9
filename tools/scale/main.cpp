// Measures how the daemons' costs grow with the fleet, and runs real controllers under a hollow fleet.
#include <popt.h>

#include <cstdio>
#include <filesystem>

#include "scale/experiments.hpp"
#include "scale/fleet.hpp"
#include "scale/slopes.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  scale::SlopesAsk a;
  scale::FleetAsk f;
  char *out = nullptr, *only = nullptr;
  int hollow = 0;
  poptOption table[] = {
      {"out", 'o', POPT_ARG_STRING, &out, 0, "folder for the report", "DIR"},
      {"only", 'x', POPT_ARG_STRING, &only, 0, "only experiments whose name begins so", "NAME"},
      {"seeds", 'n', POPT_ARG_INT, &a.seeds, 0, "how many seeds each", "N"},
      {"largest", 'l', POPT_ARG_INT, &a.largest, 0, "leave out larger fleets than this", "N"},
      {"controllers", 0, POPT_ARG_INT, &f.plan.controllers, 0, "fleet: real controllers", "N"},
      {"daemons", 0, POPT_ARG_INT, &f.plan.daemons, 0, "fleet: hollow daemons", "N"},
      {"replicas", 0, POPT_ARG_INT, &f.plan.replicas, 0, "fleet: replicas in the list", "N"},
      {"cells", 0, POPT_ARG_INT, &f.plan.cells, 0, "fleet: tenants in the configuration", "N"},
      {"paths", 0, POPT_ARG_INT, &f.plan.paths, 0, "fleet: paths in the configuration", "N"},
      {"base", 'b', POPT_ARG_INT, &f.base, 0, "fleet: first port", "PORT"},
      {"changes", 0, POPT_ARG_INT, &f.changes, 0, "fleet: changes of the configuration", "N"},
      {"restarts", 0, POPT_ARG_INT, &f.restarts, 0, "fleet: restarts in a row", "N"},
      {"many", 0, POPT_ARG_INT, &f.many, 0, "fleet: hollow daemons a process", "N"},
      {"hollow", 0, POPT_ARG_INT, &hollow, 0, "be a process of hollow daemons, the first of this number", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext c = poptGetContext("scale", argc, argv, table, 0);
  poptSetOtherOptionHelp(c, "slopes|fleet|rows");
  if (int rc = poptGetNextOpt(c); rc < -1)
    return fprintf(stderr, "scale: %s: %s\n", poptBadOption(c, 0), poptStrerror(rc)), 2;
  auto* what = poptGetArg(c);
  std::string w = what ? what : "";
  a.out = f.out = out ? out : "";
  a.only = only ? only : "";
  f.bin = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  if (w == "hollow")
    return scale::be_hollow(f, hollow);
  if (w == "rows") {
    for (int n : {10, 40, 100, 340})
      if (n <= a.largest)
        printf("%s\n", scale::page_row(n, 1).c_str()), fflush(stdout);
    return 0;
  }
  if (a.out.empty() || (w != "slopes" && w != "fleet"))
    return poptPrintUsage(c, stderr, 0), 2;
  std::filesystem::create_directories(a.out);
  return w == "slopes" ? scale::slopes(a) : scale::fleet(f);
}
