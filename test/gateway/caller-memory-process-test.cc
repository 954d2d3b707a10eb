// All memory of a gateway process under callers that do not behave: its resident bytes, and those that it has
// received and not yet read. Guards against a process that runs out of the memory of its machine and ends,
// and against one that stays within it but no longer serves other callers.
#include "crowd.h"
#include "live.h"
#include "process.h"

#include <doctest/doctest.h>

#include <sstream>
#include <sys/resource.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

constexpr size_t mebibyte = size_t { 1 } << 20;
constexpr size_t headerBytes = 16'384; ///< header_bytes of the configuration.
constexpr size_t piece = 65'536;
constexpr size_t wholeAnswerBytes = 5 * mebibyte; ///< Of paths that begin with /write/large.
constexpr size_t partedAnswerBytes = mebibyte; ///< Of paths that begin with /read/large.

struct CrowdOptions {
    uint64_t memoryMb_ = 48;
    size_t bodyLimit_ = 4 * mebibyte; ///< max_body_bytes of the configuration.
    rlim_t descriptors_ = 4096;
    Duration work_ {}; ///< Of the upstream, for paths that begin with /write/slow.
    int slots_ = 4; ///< Of the upstream.
};

/// The usual configuration with other limits, and pauses that outlast the test.
std::string crowdConfiguration(const CrowdOptions& options)
{
    auto document = nlohmann::json::parse(configuration(1));
    for (auto& resource : document["resources"]) {
        auto& spec = resource["spec"];
        if (resource["type"] == "limits") {
            spec["header_bytes"] = headerBytes;
            spec["max_body_bytes"] = options.bodyLimit_;
            spec["header_timeout"] = "120s";
            spec["idle_timeout"] = "120s";
        }
        if (resource["type"] == "routes")
            spec["timeout"] = "60s";
        if (resource["type"] == "tenants")
            spec["rate_per_s"] = 0;
    }
    return document.dump();
}

/// Samples the memory of a process: resident bytes and those that its connections have received and it has
/// not read.
class MemoryWatch {
public:
    MemoryWatch(const Process& process, uint16_t servedPort, uint16_t calledPort)
        : process_(process)
        , servedPort_(servedPort)
        , calledPort_(calledPort)
        , thread_([this] {
            for (; !stopping_; std::this_thread::sleep_for(std::chrono::milliseconds(20)))
                mostKb_ = std::max(mostKb_.load(), process_.memoryKb() + unreadKb());
        })
    {
    }
    ~MemoryWatch()
    {
        stopping_ = true;
        thread_.join();
    }
    MemoryWatch(const MemoryWatch&) = delete;
    MemoryWatch& operator=(const MemoryWatch&) = delete;

    uint64_t mostKb() const { return std::max(mostKb_.load(), process_.mostMemoryKb()); }

private:
    /// Of an address as the system writes it, such as "0100007F:1F90".
    static unsigned long portOf(const std::string& address)
    {
        const size_t colon = address.find(':');
        return colon == std::string::npos ? 0 : std::stoul(address.substr(colon + 1), nullptr, 16);
    }

    /// Reads the received bytes of the process's connections from the system's table of sockets.
    uint64_t unreadKb() const
    {
        static constexpr const char* listening = "0A";
        std::ifstream table("/proc/net/tcp");
        std::string line;
        uint64_t bytes = 0;
        while (std::getline(table, line)) {
            std::istringstream words(line);
            std::string number, local, remote, state, queues;
            if (!(words >> number >> local >> remote >> state >> queues) || state == listening)
                continue;
            const size_t queue = queues.find(':');
            if (queue != std::string::npos && (portOf(local) == servedPort_ || portOf(remote) == calledPort_))
                bytes += std::stoul(queues.substr(queue + 1), nullptr, 16);
        }
        return bytes / 1024;
    }

    const Process& process_;
    const uint16_t servedPort_; ///< Of callers.
    const uint16_t calledPort_; ///< Of the upstream.
    std::atomic<bool> stopping_ = false;
    std::atomic<uint64_t> mostKb_ = 0;
    std::thread thread_;
};

class MemoryFixture {
public:
    explicit MemoryFixture(const CrowdOptions& options = {})
        : options_(options)
        , storePort_(store_.start())
        , upstream_(store_, "sound")
    {
        upstream_.server_.set_payload_max_length(options.bodyLimit_);
        upstream_.handler_ = [this](const httplib::Request& request, httplib::Response& response) {
            if (request.path.starts_with("/write/slow"))
                standin::Server::waitUntil(monotonicNow() + options_.work_);
            if (request.path.starts_with("/write/large"))
                return response.set_content(std::string(wholeAnswerBytes, 'a'), "text/plain");
            if (request.path.starts_with("/read/large"))
                return response.set_content(std::string(partedAnswerBytes, 'a'), "text/plain");
            response.set_content("answer", "text/plain");
        };
        upstream_.slots_ = options.slots_;
        upstream_.publish("ready");
        store_.put("op", "config", crowdConfiguration(options));
        rlimit usual {};
        getrlimit(RLIMIT_NOFILE, &usual);
        rlimit own = usual;
        own.rlim_cur = std::min<rlim_t>(usual.rlim_max, 2 * options.descriptors_);
        rlimit low = usual;
        low.rlim_cur = options.descriptors_;
        setrlimit(RLIMIT_NOFILE, &low); // Inherited by the process.
        process_ = std::make_unique<Process>(storePort_, options.memoryMb_);
        setrlimit(RLIMIT_NOFILE, &own);
        REQUIRE(eventually([&] { return process_->isReady(); }));
        watch_ = std::make_unique<MemoryWatch>(
            *process_, process_->callerPort_, static_cast<uint16_t>(upstream_.port_));
    }

    void add(std::string request, int receiveBytes = 0)
    {
        callers_.push_back(
            std::make_unique<StallingCaller>(process_->callerPort_, std::move(request), receiveBytes));
    }

    void send(size_t pieceBytes = piece) { sendAll(callers_, pieceBytes); }

    /// Whether one ordinary request is answered, with a body of its own of `bodyBytes`.
    bool isServed(const std::string& path, size_t bodyBytes = 0, bool isChunked = false) const
    {
        httplib::Client client("127.0.0.1", process_->callerPort_);
        client.set_read_timeout(30);
        const auto headers = ordinaryHeaders();
        if (bodyBytes == 0)
            return isSuccess(client.Get(path, headers));
        const std::string body(bodyBytes, 'x');
        if (!isChunked)
            return isSuccess(client.Post(path, headers, body, "text/plain"));
        const auto provider = [&](size_t offset, httplib::DataSink& sink) {
            if (offset == body.size())
                sink.done();
            else
                sink.write(body.data() + offset, std::min(piece, body.size() - offset));
            return true;
        };
        return isSuccess(client.Post(path, headers, provider, "text/plain"));
    }

    void checkMemory() const
    {
        const uint64_t mostKb = watch_->mostKb();
        MESSAGE("peak with unread bytes ", mostKb, " KB, resident ", process_->mostMemoryKb(), " KB of ",
            options_.memoryMb_ * 1024);
        CHECK_FALSE(process_->hasEnded());
        CHECK(mostKb > 0);
        CHECK(mostKb < options_.memoryMb_ * 1024);
    }

    /// Checks the process under the crowd, and that it serves others while the crowd stays and after it has
    /// left.
    void checkUnderCrowd()
    {
        CHECK(eventually([&] { return isServed("/read/1"); }));
        callers_.clear();
        CHECK(eventually([&] { return isServed("/write/1", options_.bodyLimit_); }));
        checkMemory();
    }

private:
    static httplib::Headers ordinaryHeaders()
    {
        httplib::Headers headers = Fixture::headers("ordinary");
        headers.erase("X-Deadline-Ms");
        headers.emplace("X-Deadline-Ms", "30000");
        return headers;
    }

    static bool isSuccess(const httplib::Result& answer) { return answer && answer->status == 200; }

    const CrowdOptions options_;
    standin::RowStore store_;
    const int storePort_;
    Upstream upstream_;
    std::unique_ptr<Process> process_;
    std::unique_ptr<MemoryWatch> watch_;
    Crowd callers_;
};

std::string repeated(const std::string& text, size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

/// The same request with a path that begins with `path`, in place of /write/.
std::string withPath(std::string request, const std::string& path)
{
    static constexpr std::string_view usual = "/write/";
    return request.replace(request.find(usual), usual.size(), path);
}

/// A request with `fields` empty header fields, without the end of its head.
std::string headOfFields(size_t caller, size_t fields)
{
    std::string request = head("Content-Length: 0", caller);
    request.resize(request.size() - 2);
    return request + repeated("a:\r\n", fields);
}

} // namespace

TEST_CASE("heads that never end")
{
    // Most of these heads stop before their end; each of their fields took some 85 bytes that nothing
    // counted.
    constexpr size_t wave = 160;
    MemoryFixture fixture;
    for (size_t caller = 0; caller < 3 * wave; ++caller) {
        fixture.add(headOfFields(caller, 2400) + (caller % 8 == 7 ? "\r\n" : ""));
        if (caller % wave == wave - 1)
            fixture.send();
    }
    fixture.checkUnderCrowd();
}

TEST_CASE("bodies of many sizes")
{
    // Each wave has the sum of the whole budget; what one wave leaves behind does not fit the next.
    struct Wave {
        size_t bodyBytes_;
        size_t callers_;
    };
    constexpr Wave waves[] { { 60'000, 360 }, { 100'000, 220 }, { 125'000, 180 }, { 3'000'000, 10 } };
    MemoryFixture fixture({ .work_ = std::chrono::seconds(4) });
    for (const Wave& wave : waves) {
        for (size_t caller = 0; caller < wave.callers_; ++caller) {
            const bool isWhole = caller % 8 == 7;
            const std::string request
                = plainRequest(caller, wave.bodyBytes_, wave.bodyBytes_ - (isWhole ? 0 : 1));
            fixture.add(isWhole ? withPath(request, "/write/slow") : request);
        }
        fixture.send();
    }
    fixture.checkUnderCrowd();
}

TEST_CASE("a chunked body of the largest size after a plain one, in calm")
{
    constexpr size_t largest = 64 * mebibyte;
    CrowdOptions options { .memoryMb_ = 160, .bodyLimit_ = largest };
    SUBCASE("on a host of 160 MB") { }
    SUBCASE("on a host of 260 MB") { options.memoryMb_ = 260; }
    MemoryFixture fixture(options);
    CHECK(fixture.isServed("/write/1", largest));
    CHECK(fixture.isServed("/write/2", largest, true));
    fixture.checkMemory();
}

TEST_CASE("the largest body on the smallest host, in calm")
{
    constexpr size_t largest = 64 * mebibyte;
    bool isChunked = false;
    SUBCASE("plain") { }
    SUBCASE("chunked") { isChunked = true; }
    MemoryFixture fixture({ .memoryMb_ = 112, .bodyLimit_ = largest });
    CHECK(fixture.isServed("/write/1", 50'000'000, isChunked));
    CHECK(fixture.isServed("/write/2", largest, isChunked));
    fixture.checkMemory();
}

TEST_CASE("answers that their callers do not read")
{
    // They held the room of all answers for as long as their callers stayed.
    MemoryFixture fixture;
    for (size_t caller = 0; caller < 40; ++caller) {
        fixture.add(withPath(plainRequest(caller, 1, 1), "/write/large"), 4096);
    }
    fixture.send();
    CHECK(eventually([&] { return fixture.isServed("/write/large", 1); }));
    fixture.checkUnderCrowd();
}

TEST_CASE("answers in parts that their callers do not read")
{
    // Of each, the system receives more from the upstream while the caller does not read on.
    MemoryFixture fixture({ .slots_ = 400 });
    for (size_t caller = 0; caller < 300; ++caller)
        fixture.add(withPath(plainRequest(caller, 1, 1), "/read/large"), 4096);
    fixture.send();
    fixture.checkUnderCrowd();
}

TEST_CASE("requests and answers at the same time")
{
    MemoryFixture fixture;
    for (size_t caller = 0; caller < 40; ++caller) {
        fixture.add(withPath(plainRequest(caller, 1, 1), "/write/large"), 4096);
    }
    fixture.send();
    for (size_t caller = 0; caller < 400; ++caller)
        fixture.add(chunkedRequest(caller, 120'000, 8192));
    fixture.send();
    for (size_t caller = 0; caller < 40; ++caller)
        fixture.add(plainRequest(caller, 2 * mebibyte, 2 * mebibyte - 1));
    fixture.send();
    fixture.checkUnderCrowd();
}

TEST_CASE("bytes behind requests that are not answered yet")
{
    // What the process does not read stays in the system, and counts as memory of the machine.
    MemoryFixture fixture({ .work_ = std::chrono::seconds(20) });
    for (size_t caller = 0; caller < 600; ++caller) {
        fixture.add(
            withPath(plainRequest(caller, 1, 1), "/write/slow") + plainRequest(caller, 200'000, 200'000));
    }
    fixture.send();
    fixture.checkUnderCrowd();
}

TEST_CASE("bytes behind large bodies that are not answered yet")
{
    // The system receives more for a connection while a large body arrives.
    MemoryFixture fixture({ .work_ = std::chrono::seconds(20) });
    for (size_t caller = 0; caller < 600; ++caller) {
        fixture.add(withPath(plainRequest(caller, 70'000, 70'000), "/write/slow")
            + plainRequest(caller, 200'000, 200'000));
    }
    fixture.send();
    fixture.checkUnderCrowd();
}

TEST_CASE("trailers of many fields")
{
    MemoryFixture fixture({ .work_ = std::chrono::seconds(10) });
    const std::string trailer = "0\r\n" + repeated("a:\r\n", 15'000);
    for (size_t caller = 0; caller < 120; ++caller) {
        const std::string request = chunkedRequest(caller, 8, 8) + trailer + (caller % 2 == 1 ? "\r\n" : "");
        fixture.add(withPath(request, "/write/slow"));
    }
    fixture.send();
    fixture.checkUnderCrowd();
}

TEST_CASE("chunk extensions without end")
{
    MemoryFixture fixture;
    for (size_t caller = 0; caller < 800; ++caller) {
        std::string request = head("Transfer-Encoding: chunked", caller);
        fixture.add(request + "1;a=" + std::string(caller % 2 == 0 ? 60'000 : 200'000, 'x'));
    }
    fixture.send();
    fixture.checkUnderCrowd();
}

TEST_CASE("heads byte by byte, chunks of one byte")
{
    MemoryFixture fixture;
    for (size_t caller = 0; caller < 200; ++caller)
        fixture.add(headOfFields(caller, 100));
    fixture.send(1);
    for (size_t caller = 0; caller < 200; ++caller)
        fixture.add(chunkedRequest(caller, 20'000, 1));
    fixture.send();
    fixture.checkUnderCrowd();
}

TEST_CASE("bodies that go on after their refusal")
{
    MemoryFixture fixture;
    for (size_t caller = 0; caller < 100; ++caller)
        fixture.add(plainRequest(caller, 100 * mebibyte, 6 * mebibyte));
    fixture.send();
    fixture.checkUnderCrowd();
}
