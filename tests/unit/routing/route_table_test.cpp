// Tests which path matches a request, and which service of the path is selected.
#include "routing/route_table.hpp"

#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

TEST_CASE("RouteTable finds the longest prefix of the path and ignores the query") {
  auto metadata = std::make_shared<Metadata>();
  for (auto* prefix : {"/a/", "/a/b/", "/a/b/c/d/", "/q/"}) {
    metadata->configuration.paths.push_back(path(prefix, "safe", "app"));
    metadata->configuration.paths.back().prefix = prefix;
  }
  RouteTable routes(metadata);
  auto found_prefix = [&](const char* target, const char* host = "h.example") {
    auto* found = routes.find(host, target);
    return found ? found->prefix : "";
  };

  CHECK(found_prefix("/a/") == "/a/");
  CHECK(found_prefix("/a") == "");
  CHECK(found_prefix("/a/x") == "/a/");
  CHECK(found_prefix("/a/b/c/x") == "/a/b/");
  CHECK(found_prefix("/a/b/c/d/e/f?/q/") == "/a/b/c/d/");
  CHECK(found_prefix("/a/b?/c/d/") == "/a/");
  CHECK(found_prefix("/ab/") == "");
  CHECK(found_prefix("/q/x", "other.example") == "");
  CHECK(found_prefix("") == "");
  CHECK(found_prefix("/") == "");
}

TEST_CASE("select_service distributes requests by weight") {
  auto weighted = path("a", "safe", "app");
  weighted.shares = {{"app", 90}, {"none", 0}, {"model", 10}};
  std::map<std::string, int> requests;
  for (uint64_t hash = 0; hash < 1000; ++hash)
    ++requests[*select_service(weighted, hash)];

  CHECK(requests == std::map<std::string, int>{{"app", 900}, {"model", 100}});
}
