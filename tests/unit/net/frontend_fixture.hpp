#pragma once
// An HTTP frontend on a real socket, for tests that take the roles of callers and replicas.
#include "routing/http_frontend.hpp"
#include "unit/routing/request_router_fixture.hpp"

namespace mosskeel::test {

/// Opens the frontend of gateway 1 of `routing_metadata` at a port chosen by the system. The caller has to call `tick`.
inline std::unique_ptr<HttpFrontend> open_frontend(EventLoop& loop, const Metadata& metadata) {
  auto snapshot = std::make_shared<RoutingSnapshot>(
      RoutingSnapshot{std::make_shared<Metadata>(metadata), DaemonId{1}, TimePoint::max(), true});
  auto opened = HttpFrontend::open(
      loop, *find_protocol_codec("platform"), "127.0.0.1:0", [snapshot] { return snapshot; }, [](Message) {});
  REQUIRE(opened.ok());
  return std::move(opened).value();
}

}  // namespace mosskeel::test
