// Tests of the activation of configurations: fetches, checks, order and deadlines.
#include "turmericwing/control/config.h"

#include "turmericwing/base/hash.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::control;

namespace {

TimePoint at(int ms) { return TimePoint {} + std::chrono::milliseconds(ms); }

Head headOf(uint64_t revision, const std::string& blob)
{
    Head head;
    head.version_ = revision;
    head.revision_ = revision;
    head.digest_ = sha256Hex(blob);
    return head;
}

} // namespace

TEST_CASE("configurations are fetched, prepared and activated in order, and never reverted")
{
    // Guards against a host that returns to an older revision.
    ReadLease lease;
    ConfigState state;
    const auto learn = [&](uint64_t revision, int ms) {
        const Head head = headOf(revision, "blob " + std::to_string(revision));
        REQUIRE(recordRead(lease, {}, head, at(ms), at(ms)));
        learnRevision(state, {}, headIdOf(head), at(ms));
    };
    const auto accept = [&](int revision, const std::string& blob) {
        return acceptBlob(state, lease, sha256Hex("blob " + std::to_string(revision)), blob);
    };
    learn(1, 100);
    CHECK(accept(1, "forged").has_error());
    CHECK_FALSE(evaluate(lease, {}, at(150)).admitKeyed_);
    CHECK(accept(1, "blob 1").value() == 1);
    CHECK(activateConfigs(state, evaluate(lease, {}, at(150))));
    learn(2, 200);
    learn(1, 250);
    learn(3, 300);
    REQUIRE(state.entries_.size() == 3);
    // Revision 3 counts as prepared only once the blob of revision 2, whose restrictions apply too, is
    // accepted.
    CHECK(accept(3, "blob 3").value() == 3);
    CHECK(lease.preparedRevision_ == 1);
    CHECK(accept(2, "blob 2").value() == 2);
    CHECK(lease.preparedRevision_ == 3);
    CHECK_FALSE(activateConfigs(state, evaluate(lease, {}, at(2199))));
    CHECK(activateConfigs(state, evaluate(lease, {}, at(2200))));
    CHECK(state.activeRevision_ == 2);
    CHECK(activateConfigs(state, evaluate(lease, {}, at(2300))));
    CHECK(state.activeRevision_ == 3);
    CHECK(state.entries_.size() == 1);
    CHECK(accept(1, "blob 1").has_error());
    CHECK_FALSE(isOverdue(state, at(60000)));
}

TEST_CASE("blobs are fetched from peers first, then from the store, and overdue ones are reported")
{
    // Guards against a fetch that only ever asks one unresponsive peer, and against serving an old revision
    // after 6 s.
    ConfigState state;
    const Head head = headOf(1, "blob");
    learnRevision(state, {}, headIdOf(head), at(0));
    const auto fetch = [&](int ms) { return dueFetches(state, {}, { "p1", "p2" }, at(ms)); };
    CHECK(fetch(0) == std::vector<FetchAction> { { head.digest_, false, "p1" } });
    CHECK(fetch(199).empty());
    CHECK(fetch(200) == std::vector<FetchAction> { { head.digest_, false, "p2" } });
    CHECK(fetch(400) == std::vector<FetchAction> { { head.digest_, true, "" } });
    CHECK_FALSE(isOverdue(state, at(5499)));
    CHECK(isOverdue(state, at(5500)));
}
