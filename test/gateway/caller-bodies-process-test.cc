// A gateway process under callers whose requests are never complete, or far too large. Guards against a
// process that runs out of memory or descriptors and ends, or no longer serves other callers.
#include "crowd.h"
#include "live.h"
#include "process.h"

#include <doctest/doctest.h>

#include <sys/resource.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

constexpr uint64_t memoryMb = 48;
constexpr size_t bodyLimit = size_t { 2 } << 20; ///< max_body_bytes of the configuration.
constexpr size_t crowd = 40; ///< Their bodies together have more than the memory.
constexpr rlim_t descriptorLimit = 256; ///< Of the process.
constexpr size_t mostDescriptors = descriptorLimit * 7 / 8;
constexpr size_t wholeRequest = size_t { 1 } << 30;
constexpr size_t smallPiece = 16'384;

/// The usual configuration with a larger limit of bodies, and pauses that outlast the test.
std::string crowdConfiguration()
{
    auto document = nlohmann::json::parse(configuration(1));
    for (auto& resource : document["resources"]) {
        if (resource["type"] != "limits")
            continue;
        resource["spec"]["max_body_bytes"] = bodyLimit;
        resource["spec"]["idle_timeout"] = "120s";
    }
    return document.dump();
}

class CrowdFixture {
public:
    CrowdFixture()
        : storePort_(store_.start())
        , upstream_(store_, "sound")
    {
        upstream_.server_.set_payload_max_length(bodyLimit);
        store_.put("op", "config", crowdConfiguration());
        rlimit usual {};
        getrlimit(RLIMIT_NOFILE, &usual);
        rlimit low = usual;
        low.rlim_cur = descriptorLimit;
        setrlimit(RLIMIT_NOFILE, &low); // Inherited by the process.
        process_ = std::make_unique<Process>(storePort_, memoryMb);
        setrlimit(RLIMIT_NOFILE, &usual);
        REQUIRE(eventually([&] { return process_->isReady(); }));
    }

    /// Sends the requests side by side, `pieceBytes` at a time, until none gets on for a while. Then checks
    /// the process and that it serves others while the crowd stays, and a body of full size after it has
    /// left.
    void checkUnder(const std::vector<std::string>& requests, size_t pieceBytes)
    {
        std::vector<std::unique_ptr<StallingCaller>> callers;
        for (const std::string& request : requests)
            callers.push_back(std::make_unique<StallingCaller>(process_->callerPort_, request));
        sendAll(callers, pieceBytes);
        const auto sent = std::count_if(
            callers.begin(), callers.end(), [](const auto& caller) { return caller->isSent(); });
        const size_t descriptors = process_->descriptors();
        const bool othersServed = eventually([&] { return isServed("/read/1", 0); });
        callers.clear();
        const bool largeServed = eventually([&] { return isServed("/write/1", bodyLimit); });
        const uint64_t mostKb = process_->mostMemoryKb();
        MESSAGE(sent, " of ", requests.size(), " sent their bytes; peak ", mostKb, " KB of ", memoryMb * 1024,
            "; descriptors ", descriptors);
        CHECK_FALSE(process_->hasEnded());
        CHECK(mostKb > 0);
        CHECK(mostKb < memoryMb * 1024);
        CHECK(descriptors <= mostDescriptors);
        CHECK(othersServed);
        CHECK(largeServed);
    }

    /// Fills the room with bodies that stall, and checks that a whole one is served beside them at once.
    void checkWaiting()
    {
        std::vector<std::unique_ptr<StallingCaller>> callers;
        for (size_t caller = 0; caller < crowd / 4; ++caller) {
            callers.push_back(std::make_unique<StallingCaller>(
                process_->callerPort_, plainRequest(caller, bodyLimit, smallPiece)));
            callers.back()->sendSome(smallPiece);
        }
        CHECK(isServed("/write/1", bodyLimit));
    }

private:
    bool isServed(const std::string& path, size_t bodyBytes) const
    {
        httplib::Client client("127.0.0.1", process_->callerPort_);
        client.set_read_timeout(10);
        const auto headers = Fixture::headers("ordinary");
        const auto answer = bodyBytes == 0
            ? client.Get(path, headers)
            : client.Post(path, headers, std::string(bodyBytes, 'x'), "text/plain");
        return answer && answer->status == 200;
    }

    standin::RowStore store_;
    const int storePort_;
    Upstream upstream_;
    std::unique_ptr<Process> process_;
};

/// The requests of a crowd; every eighth is `complete`, the others `unfinished`.
std::vector<std::string> crowdOf(
    const std::function<std::string(size_t)>& unfinished, const std::function<std::string(size_t)>& complete)
{
    std::vector<std::string> requests;
    for (size_t caller = 0; caller < crowd; ++caller)
        requests.push_back(caller % 8 == 7 ? complete(caller) : unfinished(caller));
    return requests;
}

std::vector<std::string> plainCrowd()
{
    return crowdOf([](size_t caller) { return plainRequest(caller, bodyLimit, bodyLimit - 1); },
        [](size_t caller) { return plainRequest(caller, bodyLimit, bodyLimit); });
}

std::vector<std::string> chunkedCrowd(size_t chunkBytes)
{
    return crowdOf([=](size_t caller) { return chunkedRequest(caller, bodyLimit - 8192, chunkBytes); },
        [=](size_t caller) { return chunkedRequest(caller, bodyLimit - 8192, chunkBytes) + "0\r\n\r\n"; });
}

} // namespace

TEST_CASE("whole bodies") { CrowdFixture().checkUnder(plainCrowd(), wholeRequest); }

TEST_CASE("bodies piece by piece") { CrowdFixture().checkUnder(plainCrowd(), smallPiece); }

TEST_CASE("large chunks") { CrowdFixture().checkUnder(chunkedCrowd(8192), wholeRequest); }

TEST_CASE("tiny chunks") { CrowdFixture().checkUnder(chunkedCrowd(8), smallPiece); }

TEST_CASE("bodies announced over the limit")
{
    const auto request = [](size_t caller) { return plainRequest(caller, 64 * bodyLimit, 2 * bodyLimit); };
    CrowdFixture().checkUnder(crowdOf(request, request), smallPiece);
}

TEST_CASE("bodies sent over the limit")
{
    const auto request = [](size_t caller) { return chunkedRequest(caller, 4 * bodyLimit, 8192); };
    CrowdFixture().checkUnder(crowdOf(request, request), smallPiece);
}

TEST_CASE("more connections than descriptors")
{
    std::vector<std::string> requests;
    for (size_t caller = 0; caller < descriptorLimit + 44; ++caller)
        requests.push_back(plainRequest(caller, 1000, 999));
    CrowdFixture().checkUnder(requests, wholeRequest);
}

TEST_CASE("a large body waits for the room of those that stall") { CrowdFixture().checkWaiting(); }
