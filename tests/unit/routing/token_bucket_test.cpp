// Tests the rate limit for a replica that is warming up.
#include "routing/token_bucket.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;

TEST_CASE("TokenBucket begins with one token and gets the next one at its rate") {
  TokenBucket bucket;
  bucket.set_rate(10);
  bucket.reset(TimePoint{1000ms});
  bucket.refill(TimePoint{1000ms});

  CHECK(bucket.has_token());

  bucket.take();
  bucket.refill(TimePoint{1099ms});

  CHECK_FALSE(bucket.has_token());

  bucket.refill(TimePoint{1101ms});
  CHECK(bucket.has_token());
}

TEST_CASE("TokenBucket accumulates no more than a tenth of a second's tokens") {
  TokenBucket bucket;
  bucket.set_rate(50);
  bucket.reset(TimePoint{1000ms});
  bucket.refill(TimePoint{61000ms});
  int taken = 0;
  while (bucket.has_token()) {
    bucket.take();
    ++taken;
  }

  CHECK(taken == 5);
}

TEST_CASE("TokenBucket without a rate does not limit requests") {
  TokenBucket bucket;
  CHECK_FALSE(bucket.is_limited());

  bucket.set_rate(0.5);
  CHECK(bucket.is_limited());
}
