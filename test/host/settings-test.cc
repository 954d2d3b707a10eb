// Tests of reading and checking the settings file.
#include "turmericwing/host/settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace turmericwing;
using namespace turmericwing::host;

namespace {

/// A temporary directory for a settings file and the files that it names.
struct TemporaryDirectory {
    std::filesystem::path path_
        = std::filesystem::temp_directory_path() / ("host-settings-" + std::to_string(getpid()));

    TemporaryDirectory() { std::filesystem::create_directories(path_); }
    ~TemporaryDirectory() { std::filesystem::remove_all(path_); }

    std::string write(const std::string& name, const std::string& text) const
    {
        std::ofstream(path_ / name) << text;
        return path_ / name;
    }
};

const std::string validOperatorLine = "nour change " + std::string(64, 'a') + "\n";

std::string hostSection(const std::string& caller)
{
    return "[host]\nname = h1\nregion = r1\nfailure-domain = r1-a\ncaller-address = " + caller
        + "\npeer-address = 127.0.0.1:2\noperator-address = 127.0.0.1:3\n";
}

std::string otherSections(const std::string& secret, const std::string& operators)
{
    return "[platform]\naddress = 127.0.0.1:4\n[secrets]\npeer-secret-file = " + secret
        + "\noperators-file = " + operators + "\n";
}

bool checkContains(const std::string& text, const std::string& part)
{
    INFO(text);
    CHECK(text.find(part) != std::string::npos);
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("complete settings are read")
{
    // Guards against a field that is checked but not stored.
    const TemporaryDirectory directory;
    const auto secret = directory.write("secret", "0123456789abcdef\n");
    const auto operators = directory.write("operators", "# comment\n" + validOperatorLine);
    const auto loaded = loadSettings(directory.write(
        "a.ini", hostSection("127.0.0.1:1") + otherSections(secret, operators) + "[log]\nlevel = debug\n"));
    REQUIRE(loaded);
    const Settings& settings = loaded.value();
    CHECK(settings.name_ == "h1");
    CHECK(settings.region_ == "r1");
    CHECK(settings.failureDomain_ == "r1-a");
    CHECK(settings.callerAddress_ == Address { "127.0.0.1", 1 });
    CHECK(settings.peerAddress_.port_ == 2);
    CHECK(settings.operatorAddress_.port_ == 3);
    CHECK(settings.platformAddress_.port_ == 4);
    CHECK(settings.peerSecret_ == "0123456789abcdef");
    REQUIRE(settings.operators_.size() == 1);
    CHECK(settings.operators_[0] == Operator { "nour", Role::Change, std::string(64, 'a') });
    CHECK(settings.logLevel_ == "debug");
}

TEST_CASE("all faults are reported at once with file and line")
{
    // Guards against a report of the first fault only, which would cost one start of the host per fault.
    const TemporaryDirectory directory;
    const auto secret = directory.write("short", "abc");
    const auto operators = directory.write("operators", "nour owner abc\n" + validOperatorLine);
    const std::string file = directory.write("a.ini",
        "[host]\nname = h1\nname = h2\nregion =\ncaller-address = localhost:1\npeer-address = 1.2.3.4:0\n"
        "operator-address = 1.2.3.4\nspeed = 3\n"
            + otherSections(secret, operators)
            + "[tls]\ncertificate = /nonexistent.pem\n[log]\nlevel = loud\n"
            + "name = " + std::string(400, 'x') + "\n");
    const auto loaded = loadSettings(file);
    REQUIRE_FALSE(loaded);
    CHECK((loaded.error().code_ == ErrorCode::Invalid));
    const std::string& text = loaded.error().message_;
    checkContains(text, file + ":3: host.name: given twice");
    checkContains(text, file + ":4: host.region: is missing");
    checkContains(text, file + ": host.failure-domain: is missing");
    checkContains(text, file + ":5: host.caller-address: 'localhost' is not an IPv4 address");
    checkContains(text, file + ":6: host.peer-address: '0' is not a port");
    checkContains(text, file + ":7: host.operator-address: '1.2.3.4' is not of the form ip:port");
    checkContains(text, file + ":8: host.speed: is not a known setting");
    checkContains(text, "secrets.peer-secret-file: the secret must have at least 16 bytes");
    checkContains(text, operators + ":1: expected 'NAME read|change SHA256-OF-TOKEN'");
    checkContains(text, file + ":15: tls.certificate: file '/nonexistent.pem' does not exist");
    checkContains(text, "tls.private-key: is missing");
    checkContains(text, file + ":17: log.level: must be");
    checkContains(text, file + ":18: syntax: line is longer than 198 bytes");
}

TEST_CASE("a line that is not an assignment and a file that cannot be read are faults")
{
    // Guards against a typing error that silently removes a setting.
    const TemporaryDirectory directory;
    const auto loaded = loadSettings(directory.write("a.ini", "[host]\nname\n"));
    REQUIRE_FALSE(loaded);
    checkContains(loaded.error().message_, "a.ini:2: syntax: expected [section] or field = value");
    CHECK_FALSE(loadSettings(directory.path_ / "absent.ini"));
}

TEST_CASE("addresses need a numeric address and a port")
{
    // Guards against host names that need a resolver and against ports that overflow.
    CHECK(parseAddress("10.0.0.1:65535"));
    for (const std::string& text :
        std::vector<std::string> { "", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
            "10.0.0.1:-1", "10.0.0.1:1x", "10.0.0:1", "host:1", " 10.0.0.1:1", "10.0.0.1: 1" }) {
        CAPTURE(text);
        CHECK_FALSE(parseAddress(text));
    }
}
