#include <curl/curl.h>
#include <popt.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "net/http_fetch.hpp"

using namespace mosskeel;

namespace {

int code_of(const std::string& s) {
  return s.starts_with("yes") ? 0 : s.starts_with("no") ? 1 : 3;
}

int usage(const char* why) {
  fprintf(stderr, "mosskeelctl: %s; see mosskeelctl --help\n", why);
  return 2;
}

std::optional<FetchResponse> ask(const std::vector<std::string>& controllers, const FetchRequest& a,
                                 const std::string& path) {
  for (auto& m : controllers) {
    auto x = a;
    x.url = "http://" + m + path;
    if (auto r = http_fetch(x); r.status && r.status != 503)
      return r;
  }
  return std::nullopt;
}

/// `apply FILE at REVISION` carries the file itself.
std::optional<std::pair<std::string, std::string>> applying(const std::string& s) {
  std::istringstream i(s);
  std::string a, f, at, rev, more;
  if (i >> a >> f >> at >> rev && !(i >> more) && a == "apply" && at == "at")
    return std::make_pair(f, rev);
  return std::nullopt;
}

}  // namespace

int main(int argc, const char** argv) {
  char *controllers = nullptr, *id = nullptr;
  int version = 0;
  poptOption table[] = {{"controllers", 'm', POPT_ARG_STRING, &controllers, 0,
                         "HTTP addresses of controllers, tried in turn (default 127.0.0.1:8101)", "A,B,C"},
                        {"id", 'i', POPT_ARG_STRING, &id, 0, "the id of a change whose outcome was unknown", "ID"},
                        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version, then exit", nullptr},
                        POPT_AUTOHELP POPT_TABLEEND};
  poptContext c = poptGetContext("mosskeelctl", argc, argv, table, 0);
  poptSetOtherOptionHelp(c,
                         "[OPTIONS] SENTENCE...\nAsks or commands the fleet. Exit: 0 yes, 1 no, 2 usage, 3 unknown.");
  if (int rc = poptGetNextOpt(c); rc < -1)
    return usage(poptStrerror(rc));
  if (version)
    return printf("mosskeelctl (mosskeel) %s\n", MOSSKEEL_VERSION), 0;
  std::string s;
  for (const char* w; (w = poptGetArg(c));)
    s += (s.empty() ? "" : " ") + std::string(w);
  if (s.empty())
    return usage("a sentence is missing");
  std::vector<std::string> v;
  std::stringstream l(controllers ? controllers : "127.0.0.1:8101");
  for (std::string x; std::getline(l, x, ',');)
    v.push_back(x);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  FetchRequest a;
  if (id)
    a.headers["Idempotency-Key"] = id;
  if (auto f = applying(s)) {
    std::ifstream in(f->first);
    std::stringstream t;
    t << in.rdbuf();
    if (!in)
      return usage(("file " + f->first + " cannot be read").c_str());
    a.method = "PUT";
    a.body = t.str();
    auto r = ask(v, a, "/v1/cluster/configuration?revision=" + f->second);
    if (!r)
      return puts("unknown: no controller gave an answer; ask again with the same --id or show the revision"), 3;
    printf("%s: %s", r->status == 200 ? "yes" : "no", r->body.c_str());
    return r->status == 200 ? 0 : 1;
  }
  a.method = "POST";
  a.body = s;
  auto r = ask(v, a, "/v1/say");
  if (!r)
    return puts("unknown: no controller gave an answer"), 3;
  fputs(r->body.c_str(), stdout);
  return code_of(r->body);
}
