// Guards against evidence of a rollout that is lost with a host, counted twice, or taken for whole when it is
// not.
#include "turmericwing/rollout/ledger.h"

#include <doctest/doctest.h>

using namespace turmericwing::rollout;

namespace {

const CountsSender first { "h1", 7 };
const CountsSender second { "h2", 8 };

EvidenceLedger fromStart() { return { .base_ = { {}, true } }; }

} // namespace

TEST_CASE("counts of a host that restarts stay, and a late report changes nothing")
{
    // The sums fell when a host ended, and a version with failures passed for one with few requests.
    EvidenceLedger ledger = fromStart();
    recordCounts(ledger, first, { 20, 5, 1, 80, 2, 3 });
    recordCounts(ledger, second, { 10, 0, 0, 40, 0, 0 });
    recordCounts(ledger, { "h1", 9 }, { 1, 1, 0, 4, 0, 0 });
    recordCounts(ledger, second, { 9, 0, 0, 40, 0, 0 });
    CHECK(ledgerTotal(ledger) == RampTotal { { 31, 6, 1, 124, 2, 3 }, true });
    recordCounts(ledger, second, { 10, 0, 0, 40, 0, 0 });
    CHECK(ledgerTotal(ledger).counts_.new_ == 31);
}

TEST_CASE("overdue requests are not kept")
{
    EvidenceLedger ledger = fromStart();
    recordCounts(ledger, first, { .new_ = 3, .newOverdue_ = 2, .oldOverdue_ = 1 });
    CHECK(ledgerTotal(ledger).counts_ == RampCounts { .new_ = 3 });
}

TEST_CASE("a process that starts late takes over one total, and adds only what is counted after it")
{
    // Guards against counts that are added twice, again and again, as hosts pass on their totals.
    EvidenceLedger ledger;
    recordCounts(ledger, first, { 20, 5, 0, 80, 0, 0 });
    CHECK_FALSE(ledgerTotal(ledger).fromStart_);
    CHECK_FALSE(adoptTotal(ledger, { { 500, 0, 0, 500, 0, 0 }, false }));
    CHECK(adoptTotal(ledger, { { 30, 8, 0, 120, 1, 0 }, true }));
    CHECK_FALSE(adoptTotal(ledger, { { 40, 9, 0, 150, 1, 0 }, true }));
    CHECK(ledgerTotal(ledger) == RampTotal { { 30, 8, 0, 120, 1, 0 }, true });
    recordCounts(ledger, first, { 22, 6, 0, 85, 0, 0 });
    recordCounts(ledger, second, { 10, 3, 0, 40, 1, 0 });
    CHECK(ledgerTotal(ledger).counts_ == RampCounts { 32, 9, 0, 125, 1, 0 });
    recordCounts(ledger, second, { 11, 3, 0, 44, 1, 0 });
    CHECK(ledgerTotal(ledger).counts_ == RampCounts { 33, 9, 0, 129, 1, 0 });
}

TEST_CASE("few known answers mean few requests only to a process that has counted from the start")
{
    CHECK(assessEvidence({ .old_ = 10 }, true) == RampEvidence::Sound);
    CHECK(assessEvidence({ .old_ = 10 }, false) == RampEvidence::Unproven);
    CHECK(assessEvidence({}, false) == RampEvidence::Unproven);
    CHECK(assessEvidence({ .old_ = 150 }, false) == RampEvidence::Unproven);
    CHECK(assessEvidence({ .new_ = 8, .newFailed_ = 3, .old_ = 30 }, false) == RampEvidence::Suspect);
    // Enough answers are evidence wherever they come from.
    CHECK(assessEvidence({ .new_ = 40, .old_ = 200 }, false) == RampEvidence::Sound);
}

TEST_CASE("checkpoints divide a ramp's time")
{
    const Ramp ramp { "s", "v2", 1000, 17'000 };
    CHECK(passedCheckpoints(ramp, 0) == 0);
    CHECK(passedCheckpoints(ramp, 2999) == 0);
    CHECK(passedCheckpoints(ramp, 3000) == 1);
    CHECK(passedCheckpoints(ramp, 90'000) == rampCheckpoints);
}
