#include "routing/token_bucket.hpp"

#include <catch2/catch.hpp>

using namespace mosskeel;

TEST_CASE("TokenBucket begins with one token and gets the next one at its rate") {
  TokenBucket bucket;
  bucket.set_rate(10);
  bucket.reset(1000);
  bucket.refill(1000);
  CHECK(bucket.has_token());

  bucket.take();
  bucket.refill(1099);
  CHECK_FALSE(bucket.has_token());
  bucket.refill(1101);
  CHECK(bucket.has_token());
}

TEST_CASE("TokenBucket saves no more than a tenth of a second's tokens") {
  TokenBucket bucket;
  bucket.set_rate(50);
  bucket.reset(1000);
  bucket.refill(61000);
  int taken = 0;
  for (; bucket.has_token(); ++taken)
    bucket.take();
  CHECK(taken == 5);
}

TEST_CASE("TokenBucket without a rate limits nothing") {
  TokenBucket bucket;
  CHECK_FALSE(bucket.is_limited());
  bucket.set_rate(0.5);
  CHECK(bucket.is_limited());
}
