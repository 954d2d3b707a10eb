// Tests the encoding of claim rows and the decisions on them.
#include "turmericwing/claims/claim.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace turmericwing;
using namespace turmericwing::claims;

namespace {

const std::string fingerprint = requestFingerprint("POST", "/orders", "one");
const Claimant claimant { "h1", 5, "n1" };
const LiveHosts live { { "h1", 5 }, { "h2", 7 } };

Claim claimBy(const std::string& host, uint64_t incarnation)
{
    return { ClaimState::Claimed, host, incarnation, fingerprint, "other", { 1000 }, std::nullopt };
}

Verdict decide(const Claim& claim, const ClaimOptions& options = {}, std::string_view print = fingerprint,
    int64_t now = 0)
{
    return decideClaim(StoredClaim { 3, claim }, print, claimant, live, { now }, options).verdict_;
}

} // namespace

TEST_CASE("claim decisions follow the state of the row")
{
    // Guards against a second execution, and against a resend that gets a wrong outcome.
    const ClaimOptions options { .retentionMs_ = 100, .clockSkewMs_ = 10 };
    const auto firstDecision = decideClaim(std::nullopt, fingerprint, claimant, live, { 50 }, options);
    REQUIRE(firstDecision.verdict_ == Verdict::Insert);
    CHECK(firstDecision.expectedVersion_ == 0);
    CHECK(firstDecision.write_->expiresAt_.ms_ == 150);
    CHECK(decide(*firstDecision.write_) == Verdict::Own);
    CHECK(decide(claimBy("h2", 7)) == Verdict::InProgress);
    CHECK(decide(claimBy("h2", 8)) == Verdict::InProgress);
    CHECK(decide(claimBy("h2", 6)) == Verdict::Unknown);
    CHECK(decide(claimBy("h2", 6), { .checkIncarnation_ = false }) == Verdict::InProgress);
    CHECK(decide(claimBy("h3", 1)) == Verdict::Unknown);
    CHECK(decide(claimBy("h1", 4)) == Verdict::Unknown);
    CHECK(decide(claimBy("h1", 5)) == Verdict::InProgress);
    const std::string other = requestFingerprint("POST", "/orders", "two");
    CHECK(decide(claimBy("h2", 7), {}, other) == Verdict::KeyReused);
    CHECK(decide(claimBy("h2", 7), { .checkFingerprint_ = false }, other) == Verdict::InProgress);
    const Claim done
        = completeClaim(claimBy("h2", 6), makeOutcome(201, "text/plain", "ok", options), { 50 }, options);
    CHECK(decide(done) == Verdict::Stored);
    CHECK(decide(done, {}, other) == Verdict::KeyReused);
    CHECK(decide(releaseClaim(claimBy("h2", 7), { 50 }, options)) == Verdict::Insert);
    // A row expires only after its retention and the clock skew.
    CHECK(decide(done, options, fingerprint, 160) == Verdict::Stored);
    const auto again = decideClaim(StoredClaim { 3, done }, other, claimant, live, { 161 }, options);
    CHECK(again.verdict_ == Verdict::Insert);
    CHECK(again.expectedVersion_ == 3);
}

TEST_CASE("outcomes are bounded and large ones are not repeated")
{
    // Guards against rows that grow with the responses, and against a resend that gets a truncated response.
    const ClaimOptions options { .maxBodyBytes_ = 4 };
    const auto small = makeOutcome(200, "a/b", "1234", options);
    const auto large = makeOutcome(200, "a/b", "12345", options);
    CHECK(small.body_ == "1234");
    CHECK(large.body_.empty());
    CHECK(large.bodyDigest_.size() == 64);
    const Claim claim = completeClaim(claimBy("h2", 7), large, { 0 }, options);
    CHECK(decide(claim) == Verdict::TooLarge);
    CHECK(decodeClaim(encodeClaim(claim)).value() == claim);
}

TEST_CASE("claim rows are unchanged by encoding and decoding, and damaged ones are rejected")
{
    // Guards against bytes that JSON does not preserve, and against acting on a damaged row.
    CHECK(rc::check([](const std::string& body, uint64_t incarnation, int64_t expires) {
        Claim claim = claimBy("h", incarnation);
        claim.expiresAt_ = { expires };
        RC_ASSERT(decodeClaim(encodeClaim(claim)).value() == claim);
        claim = completeClaim(claim, makeOutcome(200, "x", body, {}), { 0 }, {});
        const std::string text = encodeClaim(claim);
        RC_ASSERT(decodeClaim(text).value() == claim);
        const auto cut = *rc::gen::inRange<size_t>(0, text.size());
        RC_ASSERT(decodeClaim(text.substr(0, cut)).has_error());
        std::string damaged = text;
        damaged[cut] = static_cast<char>(damaged[cut] ^ 1);
        const auto decoded = decodeClaim(damaged);
        // RC_ASSERT does not short-circuit.
        const bool accepted = decoded.has_value() && decoded.value() == claim;
        RC_ASSERT(!accepted);
    }));
    const std::string claimed = encodeClaim(claimBy("h", 1));
    CHECK(decodeClaim(claimed + std::string(2 * 1024 * 1024, ' ')).has_error());
    CHECK(decodeClaim("[]").has_error());
    std::string noOutcome = claimed;
    noOutcome.replace(noOutcome.find("claimed"), 7, "done");
    CHECK(decodeClaim(noOutcome).error().message_ == "claim row: malformed field \"outcome\"");
}

TEST_CASE("keys and fingerprints distinguish how their parts are divided")
{
    // Guards against two workspaces or two different requests that share a row or fingerprint.
    CHECK(claimKey("a", "bc") != claimKey("ab", "c"));
    CHECK(requestFingerprint("POST", "/a", "b") != requestFingerprint("POST", "/ab", ""));
}
