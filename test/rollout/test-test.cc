// Checks the error rates of the sequential test by seeded simulation.
#include "turmericwing/rollout/test.h"
#include "turmericwing/base/random.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::rollout;

namespace {

struct Scenario {
    double share_ = 0.1;
    double rate_ = 0.01; ///< Failure rate of the old side.
    double odds_ = 1; ///< Odds ratio of the new side.
    int badFrom_ = 0; ///< Period from which the odds ratio holds.
    double disturbance_ = 0; ///< Fraction of periods in which half of all requests fail on both sides.
};

/// Simulates `periods` periods of 200 requests each. Returns the period in which the test stops the move; 0
/// if none.
int stoppedInPeriod(uint64_t seed, const Scenario& scenario, const TestOptions& options, int periods)
{
    Random random(seed);
    SequentialTest test;
    for (int k = 1; k <= periods; ++k) {
        const double base = uniform(random) < scenario.disturbance_ ? 0.5 : scenario.rate_;
        const double odds = base / (1 - base) * (k > scenario.badFrom_ ? scenario.odds_ : 1);
        Comparison period;
        for (int i = 0; i < 200; ++i) {
            const bool isNew = uniform(random) < scenario.share_;
            const bool failed = uniform(random) < (isNew ? odds / (1 + odds) : base);
            ++(isNew ? period.new_ : period.old_);
            (isNew ? period.newFailed_ : period.oldFailed_) += failed ? 1 : 0;
        }
        addPeriod(test, options, period);
        if (isBad(test, options))
            return k;
    }
    return 0;
}

size_t countStopped(const Scenario& scenario, const TestOptions& options, size_t seeds, int periods)
{
    size_t count = 0;
    for (uint64_t seed = 0; seed < seeds; ++seed)
        count += stoppedInPeriod(seed, scenario, options, periods) > 0 ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("a good version is stopped in at most 0.1% of the moves")
{
    // Guards against false alarms, including those when a disturbance makes requests of both versions fail.
    for (const Scenario& scenario : { Scenario { .share_ = 0.01 }, Scenario { .share_ = 0.5 },
             Scenario { .share_ = 0.1, .disturbance_ = 0.1 }, Scenario { .share_ = 0.1, .odds_ = 1.5 } }) {
        const size_t alarms = countStopped(scenario, {}, 4000, 100);
        MESSAGE("share ", scenario.share_, ", odds ", scenario.odds_, ", disturbance ", scenario.disturbance_,
            ": ", alarms, " false alarms of 4000");
        CHECK(alarms <= 4);
    }
    const Scenario disturbed { .disturbance_ = 0.1 };
    CHECK(countStopped(disturbed, { .compare_ = false }, 100, 100) > 50);
}

TEST_CASE("a bad version is missed in at most 1% of the moves")
{
    // Guards against a test without power, including against versions that become bad later.
    for (const Scenario& scenario : { Scenario { .share_ = 0.01, .odds_ = 100 }, Scenario { .odds_ = 6 },
             Scenario { .odds_ = 20, .badFrom_ = 100 }, Scenario { .odds_ = 20, .disturbance_ = 0.1 } }) {
        const size_t found = countStopped(scenario, {}, 1000, 200);
        MESSAGE("share ", scenario.share_, ", odds ", scenario.odds_, ", bad from ", scenario.badFrom_,
            ": found ", found, " of 1000");
        CHECK(found >= 990);
    }
}

TEST_CASE("a step is accepted for a bad version in at most 1% of the cases")
{
    // Guards against a raise of the share before there are enough requests to detect a bad version.
    size_t accepted = 0;
    size_t good = 0;
    for (uint64_t seed = 0; seed < 10000; ++seed) {
        Random random(seed);
        Comparison bad { 0, 0, 1000, 10 };
        Comparison fine = bad;
        bool wrong = false;
        bool right = false;
        for (int i = 0; i < 1000; ++i) {
            const double drawn = uniform(random);
            bad += { 1, drawn < 0.06 ? 1u : 0u, 0, 0 };
            fine += { 1, drawn < 0.01 ? 1u : 0u, 0, 0 };
            wrong = wrong || excludesExcess(bad, {}, 0.05);
            right = right || excludesExcess(fine, {}, 0.05);
        }
        accepted += wrong ? 1 : 0;
        good += right ? 1 : 0;
    }
    MESSAGE("accepted of 10000: ", accepted, " bad, ", good, " good");
    CHECK(accepted <= 100);
    CHECK(good >= 9900);
    CHECK_FALSE(excludesExcess({ 0, 0, 1000, 0 }, {}, 0.5));
}
