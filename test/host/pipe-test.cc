// Tests of the byte queue between a caller and an upstream.
#include "turmericwing/host/pipe.h"

#include <doctest/doctest.h>

#include <thread>

using namespace turmericwing;
using namespace turmericwing::host;

namespace {

TimePoint late() { return monotonicNow() + std::chrono::seconds(30); }
TimePoint past() { return monotonicNow() - std::chrono::seconds(1); }

} // namespace

TEST_CASE("bytes arrive in order through a small pipe")
{
    // Guards against lost, repeated or reordered parts of a streamed body.
    Pipe pipe(100);
    std::string sent;
    for (int i = 0; i < 20000; ++i)
        sent += std::to_string(i) + ",";
    std::thread writer([&] {
        for (size_t at = 0; at < sent.size(); at += 37)
            CHECK(pipe.write(sent.data() + at, std::min<size_t>(37, sent.size() - at), late()));
        pipe.close(PipeState::Finished);
    });
    std::string received;
    for (std::string chunk = pipe.read(late()); !chunk.empty(); chunk = pipe.read(late()))
        received += chunk;
    writer.join();
    CHECK(received == sent);
    CHECK(pipe.state() == PipeState::Finished);
}

TEST_CASE("a full pipe refuses at the deadline and after a failure")
{
    // Guards against unbounded memory and against a writer that waits for a reader that has gone.
    Pipe pipe(4);
    CHECK(pipe.write("abcdef", 6, past()));
    CHECK_FALSE(pipe.write("g", 1, past()));
    std::thread closer([&] { pipe.close(PipeState::Failed); });
    CHECK_FALSE(pipe.write("g", 1, late()));
    closer.join();
    CHECK(pipe.read(past()) == "abcdef");
    CHECK(pipe.read(late()).empty());
    pipe.close(PipeState::Finished);
    CHECK(pipe.state() == PipeState::Failed);
}

TEST_CASE("an empty read of an open pipe means that the deadline has passed")
{
    // Guards against a timeout that is taken for the end of the body.
    Pipe pipe(4);
    CHECK(pipe.read(past()).empty());
    CHECK(pipe.state() == PipeState::Open);
    pipe.waitFilled(past());
    pipe.write("abcd", 4, past());
    pipe.waitFilled(late());
    CHECK(pipe.state() == PipeState::Open);
}
