// Guards against hosts that together admit more than a workspace's rate, also while they are cut off.
#include "turmericwing/limits/hostshare.h"

#include <doctest/doctest.h>

#include <random>

using namespace turmericwing::limits;

namespace {

/// Sum of the shares of all hosts; hosts below `cut` hear only each other, as do those from it on.
double sumOfShares(double rate, const std::vector<double>& demands, size_t cut)
{
    double sum = 0;
    for (size_t i = 0; i < demands.size(); ++i) {
        std::vector<double> heard;
        for (size_t j = 0; j < demands.size(); ++j) {
            if (j != i && (i < cut) == (j < cut))
                heard.push_back(demands[j]);
        }
        sum += hostShare({}, rate, demands[i], heard, demands.size() - heard.size() - 1);
    }
    return sum;
}

} // namespace

TEST_CASE("the shares of all hosts stay within the rate, whoever hears whom")
{
    std::mt19937 random(3);
    for (const size_t hosts : { 1, 2, 11, 76, 85 }) {
        for (int round = 0; round < 50; ++round) {
            std::vector<double> demands(hosts);
            for (double& demand : demands)
                demand = static_cast<double>(random() % 100) * (random() % 5 == 0 ? 10 : 1);
            CHECK(sumOfShares(325, demands, random() % (hosts + 1)) <= 325 * 1.000001);
        }
    }
}

TEST_CASE("a host with all the demand may use nearly the whole rate")
{
    // The pattern: a workspace whose callers are all in one region.
    const std::vector<double> others(9, 0.0);
    CHECK(hostShare({}, 100, 300, others, 0) >= 80);
}

TEST_CASE("without a borrower every host keeps its guarantee")
{
    CHECK(hostShare({}, 100, 1, { 1, 1, 1 }, 0) == doctest::Approx(25));
}

TEST_CASE("hosts that are not heard keep their part")
{
    CHECK(hostShare({}, 100, 1000, {}, 9) == doctest::Approx(10));
}
