// Tests of the read lease: its expiry, the activation of new versions and the withholding of shares.
#include "turmericwing/control/lease.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::control;

namespace {

TimePoint at(int ms) { return TimePoint {} + std::chrono::milliseconds(ms); }

Head headOf(uint64_t version, uint64_t revision = 1, uint64_t epoch = 1)
{
    Head head;
    head.version_ = version;
    head.revision_ = revision;
    head.epoch_ = epoch;
    head.digest_ = std::string(64, static_cast<char>('0' + revision));
    return head;
}

ReadLease leaseAt(int ms)
{
    ReadLease lease;
    recordPrepared(lease, 1);
    REQUIRE(recordRead(lease, {}, headOf(1), at(ms), at(ms)).value() == LearnOutcome::Learned);
    return lease;
}

} // namespace

TEST_CASE("the lease runs from the sending of the read, less a relay's age")
{
    // Guards against a lease that a slow response or an old copy from a relay prolongs.
    ReadLease lease;
    recordPrepared(lease, 1);
    CHECK_FALSE(evaluate(lease, {}, at(0)).admitKeyed_);
    REQUIRE(recordRead(lease, {}, headOf(1), at(1000), at(2500), std::chrono::milliseconds(300)));
    CHECK(evaluate(lease, {}, at(2599)).admitKeyed_);
    CHECK_FALSE(evaluate(lease, {}, at(2600)).admitKeyed_);
    // A negative age from a faulty relay does not prolong the lease either.
    REQUIRE(recordRead(lease, {}, headOf(1), at(3000), at(3000), std::chrono::milliseconds(-900)));
    CHECK_FALSE(isLeaseValid(lease, {}, at(4900)));
}

TEST_CASE("restrictions apply at once and extensions after the delay")
{
    // Guards against two hosts that use one share after a view change.
    ReadLease lease = leaseAt(0);
    CHECK(evaluate(lease, {}, at(0)).admitKeyed_);
    CHECK_FALSE(evaluate(lease, {}, at(1800)).sharesUsable_);
    REQUIRE(recordRead(lease, {}, headOf(1), at(1800), at(1800)));
    CHECK(evaluate(lease, {}, at(2000)).sharesUsable_);
    REQUIRE(recordRead(lease, {}, headOf(2, 1, 2), at(3000), at(3010)));
    EffectiveHeads now = evaluate(lease, {}, at(3010));
    CHECK(now.extensions_->version_ == 1);
    REQUIRE(now.restrictions_.size() == 1);
    CHECK(now.restrictions_[0].version_ == 2);
    REQUIRE(recordRead(lease, {}, headOf(2, 1, 2), at(4800), at(4800)));
    CHECK(evaluate(lease, {}, at(5009)).extensions_->version_ == 1);
    now = evaluate(lease, {}, at(5010));
    CHECK(now.extensions_->version_ == 2);
    CHECK(now.restrictions_.empty());
    CHECK(now.sharesUsable_);
}

TEST_CASE("a head with a lower version, revision or epoch is not accepted")
{
    // Guards against a host that returns to an older head because of a stale copy or a corrupt row.
    ReadLease lease = leaseAt(0);
    REQUIRE(recordRead(lease, {}, headOf(5, 1, 2), at(100), at(100)));
    CHECK(recordRead(lease, {}, headOf(4, 1, 2), at(1000), at(1000)).value() == LearnOutcome::Stale);
    CHECK(recordRead(lease, {}, headOf(6, 0, 2), at(1000), at(1000)).has_error());
    CHECK(recordRead(lease, {}, headOf(6, 1, 1), at(1000), at(1000)).has_error());
    CHECK(recordRead(lease, {}, headOf(5, 2, 2), at(1000), at(1000)).has_error());
    CHECK(lease.known_->version_ == 5);
    CHECK(lease.start_ == at(100));
    CHECK(lease.readStart_ == at(100));
}

TEST_CASE("a skipped view withholds shares until the newest version is active")
{
    // Guards against a share that two hosts use at once after it moved to another host and back between two
    // reads of its owner.
    for (const bool detect : { true, false }) {
        const LeaseOptions options { .detectSkippedChanges_ = detect };
        ReadLease owner = leaseAt(0);
        ReadLease other = leaseAt(0);
        const auto both = [&](int ms, const Head& seenByOwner, const Head& seenByOther) {
            REQUIRE(recordRead(owner, options, seenByOwner, at(ms), at(ms)));
            REQUIRE(recordRead(other, options, seenByOther, at(ms), at(ms)));
        };
        // Version 2 gives the share to `other` from 3000 to 3200; version 3 gives it back.
        both(1800, headOf(1), headOf(1));
        both(2990, headOf(1), headOf(1));
        REQUIRE(recordRead(other, options, headOf(2, 1, 2), at(3000), at(3000)));
        REQUIRE(recordRead(other, options, headOf(2, 1, 2), at(3190), at(3190)));
        REQUIRE(recordRead(owner, options, headOf(3, 1, 3), at(3300), at(3300)));
        REQUIRE(recordRead(owner, options, headOf(3, 1, 3), at(4900), at(4900)));
        const bool used = evaluate(other, options, at(5050)).sharesUsable_;
        CHECK(used);
        CHECK(evaluate(owner, options, at(5050)).admitKeyed_);
        CHECK(evaluate(owner, options, at(5050)).sharesUsable_ == !detect);
        CHECK(evaluate(owner, options, at(5300)).sharesUsable_);
    }
}

TEST_CASE("a read does not renew the lease while the blob of its revision is missing")
{
    // Guards against admitting a key that is revoked by a configuration whose blob is not yet fetched.
    ReadLease lease = leaseAt(0);
    REQUIRE(recordRead(lease, {}, headOf(2, 2), at(1000), at(1000)));
    CHECK(evaluate(lease, {}, at(1899)).admitKeyed_);
    CHECK_FALSE(evaluate(lease, {}, at(1900)).admitKeyed_);
    recordPrepared(lease, 2);
    CHECK(evaluate(lease, {}, at(1900)).admitKeyed_);
}

TEST_CASE("after a pause the lease expires before a pending version is activated")
{
    // Guards against a paused process that admits requests under an expired lease, or activates a version
    // that it cannot prove to be current.
    ReadLease lease = leaseAt(0);
    REQUIRE(recordRead(lease, {}, headOf(2, 1, 2), at(100), at(100)));
    const EffectiveHeads late = evaluate(lease, {}, at(60000));
    CHECK_FALSE(late.admitKeyed_);
    CHECK_FALSE(late.sharesUsable_);
}

TEST_CASE("a head learned after the lease expired applies at once, except for its shares")
{
    // Guards against a host that regains its lease and serves an outdated revision for the activation delay.
    ReadLease lease = leaseAt(0);
    recordPrepared(lease, 2);
    REQUIRE(recordRead(lease, {}, headOf(2, 2), at(9000), at(9000)));
    CHECK(evaluate(lease, {}, at(9000)).extensions_->version_ == 2);
    CHECK_FALSE(evaluate(lease, {}, at(9000)).sharesUsable_);
    REQUIRE(recordRead(lease, {}, headOf(2, 2), at(10000), at(10000)));
    CHECK(evaluate(lease, {}, at(11000)).sharesUsable_);
}
