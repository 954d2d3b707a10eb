// Tests of reading settings. They guard against a host that starts with misread settings.
#include "turmericwing/gateway/settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const std::string good = "[host]\nname = h1\nregion = a\nfailure-domain = a1\n"
                         "[listen]\ncallers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\nlookups = 10.0.0.1:82\n"
                         "peer-ports = 7460,7475\nmetrics-port = 9464\n"
                         "[store]\naddress = 10.0.0.9:90\n"
                         "[failure-domains]\na1 = a\nb1 = b\n";

Result<Settings> load(const std::string& text)
{
    const auto path
        = std::filesystem::temp_directory_path() / ("gateway-settings-" + std::to_string(getpid()));
    std::ofstream(path) << text;
    auto settings = loadSettings(path);
    std::filesystem::remove(path);
    return settings;
}

void checkFault(const std::string& text, const std::string& fault)
{
    const auto settings = load(text);
    REQUIRE_FALSE(settings);
    INFO(settings.error().message_);
    CHECK(settings.error().message_.find(fault) != std::string::npos);
}

} // namespace

TEST_CASE("the memory of the host is read, and has a default")
{
    // Guards against a bound on answers that does not follow from the machine.
    CHECK(load(good).value().memoryMb_ == 160);
    CHECK(load(good + "[limits]\nmemory-mb =\n").value().memoryMb_ == 160);
    CHECK(load(good + "[limits]\nmemory-mb = 260\n").value().memoryMb_ == 260);
    CHECK(load(good + "[limits]\nmax-descriptors = 4100\n").value().maxDescriptors_ == 4100);
    checkFault(
        good + "[limits]\nmax-descriptors = 63\n", "limits.max-descriptors: is neither 0 nor at least 64");
    checkFault(good + "[limits]\nmemory-mb = 0\n", "limits.memory-mb: is not from 1 to 1048576");
    checkFault(good + "[limits]\nmemory-mb = 1e300\n", "limits.memory-mb: is not from 1 to 1048576");
    checkFault(good + "[limits]\nmemory-mb = much\n", "limits.memory-mb: 'much' is not a number");
}

TEST_CASE("the speed of the host's link is read, and has a default")
{
    // Guards against a relay that takes a small host's link for a fast one.
    CHECK(load(good).value().linkMbps_ == 1000);
    CHECK(load(good + "[limits]\nlink-mbps = 10.0\n").value().linkMbps_ == 10);
    checkFault(good + "[limits]\nlink-mbps = 0\n", "limits.link-mbps: is not from 0.1 to 1000000");
    checkFault(good + "[limits]\nlink-mbps = 1e300\n", "limits.link-mbps: is not from 0.1 to 1000000");
    checkFault(good + "[limits]\nlink-mbps = fast\n", "limits.link-mbps: 'fast' is not a number");
}

TEST_CASE("the processor share of the host is read, and unknown by default")
{
    // Guards against a host whose settings don't say its cores and that is taken for a small one.
    CHECK(load(good).value().cpuShare_ == 0);
    const auto settings = load(good + "[limits]\ncpu-share = 0.5\ncores = 2\n");
    CHECK(settings.value().cpuShare_ == 0.5);
    CHECK(settings.value().cores_ == 2);
    // A platform without these fields leaves the placeholders of the template as they are, or empty.
    const auto unfilled = load(
        good + "[limits]\ncpu-share = {{limits.cpu_share}}\ncores =\nmax-descriptors = {{limits.max_fds}}\n");
    REQUIRE(unfilled);
    CHECK(unfilled.value().cpuShare_ == 0);
    CHECK(unfilled.value().cores_ == 1);
    CHECK(unfilled.value().maxDescriptors_ == 0);
    checkFault(good + "[limits]\ncpu-share = 1e300\n", "limits.cpu-share: is greater than 1024");
    checkFault(good + "[limits]\ncores = few\n", "limits.cores: 'few' is not a number");
}

TEST_CASE("valid settings are read, and unknown fields are ignored")
{
    const auto settings
        = load(good + "[bounds]\nstop-time = 6s\nretry-slack = 62\nnew-bound = 1\n[new]\nx = y\n");
    REQUIRE(settings);
    CHECK(settings.value().peerAddress_ == Address { "10.0.0.1", 7460 });
    CHECK(settings.value().metricsAddress_ == Address { "10.0.0.1", 9464 });
    CHECK(settings.value().regionOf_.at("b1") == "b");
    CHECK(settings.value().bounds_.stopTime_ == std::chrono::seconds(6));
    CHECK(settings.value().bounds_.retryBurst_ == 62);
}

TEST_CASE("errors name the missing or malformed field and its line")
{
    checkFault("[host]\nname = h1\n", "host.region: is missing");
    checkFault(good + "[bounds]\nstop-time = 6 hours\n", "bounds.stop-time: '6 hours' is not a time");
    checkFault(good + "[bounds]\nretry-ratio = much\n", ":17: bounds.retry-ratio");
}

TEST_CASE("durations need a unit")
{
    CHECK(parseDuration("1500ms").value() == std::chrono::milliseconds(1500));
    CHECK(parseDuration("2.5s").value() == std::chrono::milliseconds(2500));
    for (const char* bad : { "", "5", "-1s", "s", "1h", "nan s", "1e99s" })
        CHECK_FALSE(parseDuration(bad));
}
