// Tests of the proofs with which nodes authenticate each other.
#include "adapters/mesh/mesh_transport.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

// Test case 2 of RFC 4231.
TEST_CASE("a proof is the HMAC-SHA-256 of the nonce")
{
    CHECK(hmac_sha256_hex("Jefe", "what do ya want for nothing?") ==
          "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("only the whole proof for the same secret and nonce is accepted")
{
    const auto proof = hmac_sha256_hex("secret", "nonce");
    CHECK(verify_hmac_sha256_hex("secret", "nonce", proof));
    CHECK_FALSE(verify_hmac_sha256_hex("other", "nonce", proof));
    CHECK_FALSE(verify_hmac_sha256_hex("secret", "other", proof));
    CHECK_FALSE(verify_hmac_sha256_hex("secret", "nonce", ""));
    CHECK_FALSE(verify_hmac_sha256_hex("secret", "nonce", proof.substr(1)));
    CHECK_FALSE(verify_hmac_sha256_hex("secret", "nonce", proof + "0"));
    auto changed = proof;
    changed.back() = changed.back() == '0' ? '1' : '0';
    CHECK_FALSE(verify_hmac_sha256_hex("secret", "nonce", changed));
}
