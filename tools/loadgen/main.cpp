// The load generator: drives a fleet with a deployment's mix and checks what must never happen.
#include <curl/curl.h>
#include <popt.h>
#include <signal.h>

#include <cstdio>
#include <sstream>

#include "har.hpp"
#include "load.hpp"

using namespace mosskeel;

int main(int argc, const char** argv) {
  loadgen::Plan p;
  char *controllers = nullptr, *mix = nullptr, *runs = nullptr, *report = nullptr, *cell = nullptr, *harm = nullptr,
       *control = nullptr, *har = nullptr, *to = nullptr;
  int version = 0, all = 0;
  poptOption table[] = {
      {"controllers", 'm', POPT_ARG_STRING, &controllers, 0, "HTTP addresses of controllers", "A,B,C"},
      {"rate", 'r', POPT_ARG_DOUBLE, &p.rate, 0, "programs a second", "N"},
      {"seconds", 't', POPT_ARG_INT, &p.seconds, 0, "how long programs are begun", "S"},
      {"mix", 'x', POPT_ARG_STRING, &mix, 0, "election or builds", "NAME"},
      {"cell", 'c', POPT_ARG_STRING, &cell, 0, "the cell to ask (default news)", "NAME"},
      {"runs", 0, POPT_ARG_STRING, &runs, 0, "folder with the replica sims' run files, to be checked", "DIR"},
      {"report", 0, POPT_ARG_STRING, &report, 0, "file for the figures as JSON", "FILE"},
      {"harm", 0, POPT_ARG_STRING, &harm, 0, "kinds of process to kill, freeze and restart", "KIND,..."},
      {"control", 0, POPT_ARG_STRING, &control, 0, "the local cluster's control address, for harm", "IP:PORT"},
      {"seed", 0, POPT_ARG_LONG, &p.seed, 0, "dice of the harm", "N"},
      {"har", 0, POPT_ARG_STRING, &har, 0, "replay this HTTP archive instead", "FILE"},
      {"to", 0, POPT_ARG_STRING, &to, 0, "the front worker that the replay goes to", "IP:PORT"},
      {"all", 0, POPT_ARG_NONE, &all, 0, "replay also what may not be repeated", nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version, then exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext c = poptGetContext("loadgen", argc, argv, table, 0);
  if (int rc = poptGetNextOpt(c); rc < -1)
    return fprintf(stderr, "loadgen: %s: %s\n", poptBadOption(c, 0), poptStrerror(rc)), 2;
  if (version)
    return printf("loadgen (mosskeel) %s\n", MOSSKEEL_VERSION), 0;
  if (har && !to)
    return fprintf(stderr, "loadgen: to: is missing\n"), 2;
  if (har) {
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return loadgen::replay_har(har, to, all);
  }
  if (!controllers)
    return fprintf(stderr, "loadgen: controllers: are missing\n"), 2;
  if (p.rate <= 0 || p.rate > 1000 || p.seconds < 1)
    return fprintf(stderr, "loadgen: rate, seconds: are out of range\n"), 2;
  std::stringstream l(controllers);
  for (std::string x; std::getline(l, x, ',');)
    p.controllers.push_back(x);
  if (harm) {
    std::stringstream h(harm);
    for (std::string x; std::getline(h, x, ',');)
      p.harm.push_back(x);
    if (!control)
      return fprintf(stderr, "loadgen: control: is missing\n"), 2;
    p.control = control;
  }
  if (mix)
    p.mix = mix;
  if (p.mix != "election" && p.mix != "builds")
    return fprintf(stderr, "loadgen: mix: is neither election nor builds\n"), 2;
  if (runs)
    p.runs = runs;
  if (report)
    p.report = report;
  if (cell)
    p.cell = cell;
  signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return loadgen::Load(p).run();
}
