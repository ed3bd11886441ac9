// Listening on an address that is taken, or that is none.
#include "net/endpoint.hpp"
#include "net/http_server.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("An address that another socket listens on is unavailable") {
  auto first = listen_on("127.0.0.1:0");
  REQUIRE(first.ok());

  auto second = listen_on(bound_address(first.value().get()));

  REQUIRE_FALSE(second.ok());
  CHECK(second.errors().front().code == ErrorCode::unavailable);
}

TEST_CASE("Text that is no address is not worth another attempt") {
  auto listening = listen_on("localhost:http");

  REQUIRE_FALSE(listening.ok());
  CHECK(listening.errors().front().code != ErrorCode::unavailable);
}

// Guards against two daemons that share an address, each with some of the connections.
TEST_CASE("Two HTTP servers never share an address") {
  auto free = listen_on("127.0.0.1:0");
  REQUIRE(free.ok());
  auto address = bound_address(free.value().get());
  free = listen_on("127.0.0.1:0");
  auto answer = [](const ApiRequest&) {
    return ApiResponse{};
  };
  auto first = HttpServer::open(address, answer);
  REQUIRE(first.ok());

  auto second = HttpServer::open(address, answer);

  REQUIRE_FALSE(second.ok());
  CHECK(second.errors().front().code == ErrorCode::unavailable);
}
