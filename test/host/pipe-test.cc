// Tests of the byte queue that streams bodies between a caller and an upstream.
#include "turmericwing/host/pipe.h"

#include <doctest/doctest.h>

#include <thread>

using namespace turmericwing;
using namespace turmericwing::host;

namespace {

TimePoint farDeadline() { return monotonicNow() + std::chrono::seconds(30); }
TimePoint passedDeadline() { return monotonicNow() - std::chrono::seconds(1); }

} // namespace

TEST_CASE("bytes arrive in order through a small pipe")
{
    // Guards against lost, repeated or reordered chunks of a streamed body.
    Pipe pipe(100);
    std::string sent;
    for (int i = 0; i < 20000; ++i)
        sent += std::to_string(i) + ",";
    std::thread writer([&] {
        for (size_t at = 0; at < sent.size(); at += 37)
            CHECK(pipe.write(sent.data() + at, std::min<size_t>(37, sent.size() - at), farDeadline()));
        pipe.close(PipeState::Finished);
    });
    std::string received;
    for (std::string chunk = pipe.read(farDeadline()); !chunk.empty(); chunk = pipe.read(farDeadline()))
        received += chunk;
    writer.join();
    CHECK(received == sent);
    CHECK(pipe.state() == PipeState::Finished);
}

TEST_CASE("a write to a full pipe fails at the deadline and after the pipe has failed")
{
    // Guards against unbounded memory use and against a writer that waits for a reader that no longer exists.
    Pipe pipe(4);
    CHECK(pipe.write("abcdef", 6, passedDeadline()));
    CHECK_FALSE(pipe.write("g", 1, passedDeadline()));
    std::thread closer([&] { pipe.close(PipeState::Failed); });
    CHECK_FALSE(pipe.write("g", 1, farDeadline()));
    closer.join();
    CHECK(pipe.read(passedDeadline()) == "abcdef");
    CHECK(pipe.read(farDeadline()).empty());
    pipe.close(PipeState::Finished);
    CHECK(pipe.state() == PipeState::Failed);
}

TEST_CASE("an empty read of an open pipe means that the deadline has passed")
{
    // Guards against a timeout that is mistaken for the end of the body.
    Pipe pipe(4);
    CHECK(pipe.read(passedDeadline()).empty());
    CHECK(pipe.state() == PipeState::Open);
    pipe.waitUntilFull(passedDeadline());
    pipe.write("abcd", 4, passedDeadline());
    pipe.waitUntilFull(farDeadline());
    CHECK(pipe.state() == PipeState::Open);
}
