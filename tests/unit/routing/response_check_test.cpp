// Tests which responses of a replica are forwarded to the caller.
#include "routing/response_check.hpp"

#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// A request whose attempt "own" was sent to a replica, on a connection that the attempt "before" had used.
struct CheckFixture {
  ActiveRequest request;

  CheckFixture() {
    request.headers.attempt_id = "own";
    request.attempt.emplace();
  }

  ResponseVerdict check(uint32_t status, const ResponseHeaders& headers) const {
    return check_response(request, ResponseHeadersReceived{1, status, {}, "before"}, headers);
  }
};

ResponseHeaders headers_of(const std::string& attempt_id, bool not_run, bool sealed) {
  ResponseHeaders headers;
  headers.attempt_id = attempt_id;
  headers.not_run = not_run;
  headers.sealed = sealed;
  return headers;
}

}  // namespace

TEST_CASE("check_response accepts a success only with the attempt's id and a seal") {
  CheckFixture fixture;
  CHECK(fixture.check(200, headers_of("own", false, true)) == ResponseVerdict::accepted);
  CHECK(fixture.check(200, headers_of("own", false, false)) == ResponseVerdict::untrusted);
  CHECK(fixture.check(200, headers_of("", false, true)) == ResponseVerdict::untrusted);
  CHECK(fixture.check(200, headers_of("other", false, true)) == ResponseVerdict::untrusted);
}

TEST_CASE("check_response accepts an error without a seal, unless its status means that the request was not executed") {
  CheckFixture fixture;
  for (uint32_t status : {400u, 404u, 500u, 502u})
    CHECK(fixture.check(status, headers_of("own", false, false)) == ResponseVerdict::accepted);
  for (uint32_t status : {408u, 421u, 429u, 503u})
    CHECK(fixture.check(status, headers_of("own", false, true)) == ResponseVerdict::untrusted);
}

TEST_CASE("check_response accepts a 'not run' response without an attempt id, but not with another attempt's id") {
  CheckFixture fixture;
  CHECK(fixture.check(503, headers_of("own", true, false)) == ResponseVerdict::not_run);
  CHECK(fixture.check(503, headers_of("", true, false)) == ResponseVerdict::not_run);
  CHECK(fixture.check(503, headers_of("other", true, false)) == ResponseVerdict::untrusted);
}

TEST_CASE("check_response skips one stale response to the previous attempt on the connection") {
  CheckFixture fixture;
  CHECK(fixture.check(200, headers_of("before", false, true)) == ResponseVerdict::stale);

  fixture.request.attempt->skipped_stale_response = true;
  CHECK(fixture.check(200, headers_of("before", false, true)) == ResponseVerdict::untrusted);
}
