// Tests of the one bound for the memory of a host. They guard against requests and answers that fill their
// parts at the same time, and against memory of the process that no part counts.
#include "turmericwing/gateway/requestmemory.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr uint64_t mebibyte = uint64_t { 1 } << 20;

/// Memory whose process takes `processMb`, and is not measured.
std::shared_ptr<RequestMemory> makeMemory(uint64_t memoryMb, uint64_t processMb)
{
    auto memory = makeRequestMemory(memoryMb * mebibyte);
    memory->host_.unclaimedBytes_ = processMb * mebibyte;
    memory->host_.measureAt_ = TimePoint::max();
    return memory;
}

uint64_t allBytes(const RequestMemory& memory)
{
    return otherBytes(memory.host_) + memory.budget_.heldBytes_ + memory.answers_->heldBytes_;
}

} // namespace

TEST_CASE("a body of 64 MiB has room on every host, beside connections and small requests")
{
    for (const uint64_t memoryMb : { 112, 160, 260, 512 }) {
        CAPTURE(memoryMb);
        const auto memory = makeMemory(memoryMb, 16);
        memory->host_.windowBytes_ = 300 * callerWindowBytes;
        for (uint64_t request = 1; request <= 300; ++request)
            CHECK(claimMemory(*memory, request, 10'000, start) == Room::Granted);
        CHECK(claimMemory(*memory, 1000, 64 * mebibyte + 48 * 1024, start) == Room::Granted);
        CHECK(memory->budget_.unfinished_.size() == 301);
        CHECK(allBytes(*memory) < memoryMb * mebibyte);
    }
}

TEST_CASE("requests, answers and connections together stay within the limit")
{
    const auto memory = makeMemory(160, 20);
    const uint64_t limit = memory->host_.options_.limit_;
    CHECK(limit < 160 * mebibyte);
    for (uint64_t request = 1; request <= 400; ++request)
        claimMemory(*memory, request, mebibyte, start);
    CHECK(allBytes(*memory) <= limit);
    CHECK(allBytes(*memory) > limit / 2);
    // Answers have their reserve, and no more while requests hold the rest.
    updateAnswerLimit(*memory, start);
    CHECK(memory->answers_->limit_ < memory->host_.options_.answerReserve_ + mebibyte);
    for (uint64_t request = 1; request <= 400; ++request)
        releaseRequest(memory->budget_, request);
    updateAnswerLimit(*memory, start);
    CHECK(memory->answers_->limit_ == memory->host_.options_.mostAnswerBytes_);
    // Requests leave what answers hold.
    const auto answer = holdComplete(memory->answers_, 30 * mebibyte);
    for (uint64_t request = 1; request <= 400; ++request)
        claimMemory(*memory, request, mebibyte, start);
    CHECK(allBytes(*memory) <= limit);
}

TEST_CASE("memory that the process has beside requests and answers leaves less to them")
{
    const auto memory = makeMemory(160, 20);
    CHECK(claimMemory(*memory, 1, 64 * mebibyte, start) == Room::Granted);
    releaseRequest(memory->budget_, 1);
    memory->host_.unclaimedBytes_ = 100 * mebibyte;
    // Never fits, so it does not wait.
    CHECK(claimMemory(*memory, 1, 64 * mebibyte, start) == Room::Refused);
    CHECK(claimMemory(*memory, 2, 10'000, start) == Room::Granted);
}

TEST_CASE("the process is measured where room is short, and not in calm")
{
    const auto memory = makeRequestMemory(4096 * mebibyte);
    memory->host_.unclaimedBytes_ = 1;
    CHECK(claimMemory(*memory, 1, mebibyte, start) == Room::Granted);
    CHECK(memory->host_.unclaimedBytes_ == 1);
    claimMemory(*memory, 2, 3000 * mebibyte, start);
    CHECK(memory->host_.unclaimedBytes_ > mebibyte / 2);
    CHECK(memory->host_.unclaimedBytes_ < 1000 * mebibyte);
    CHECK(memory->host_.measureAt_ > start);
}

TEST_CASE("a connection has room as a small request has, and none when all is held")
{
    const auto memory = makeMemory(48, 10);
    CHECK(claimConnection(*memory, start));
    CHECK(memory->budget_.heldBytes_ == 0);
    CHECK(claimMemory(*memory, 1, 20 * mebibyte, start) == Room::Granted);
    CHECK(claimConnection(*memory, start));
    const auto held = holdBytes(memory, 40 * mebibyte, 40 * mebibyte);
    CHECK_FALSE(claimConnection(*memory, start));
    CHECK(memory->budget_.unfinished_.empty());
    CHECK_FALSE(hasRoomToReadAhead(*memory, 16'384));
}

TEST_CASE("answers that their callers do not read make room for others")
{
    const auto memory = makeMemory(160, 20);
    std::unordered_map<uint64_t, std::shared_ptr<const void>> held;
    for (uint64_t connection = 1; connection <= 4; ++connection) {
        held[connection] = holdComplete(memory->answers_, 11 * mebibyte);
        beginSending(*memory->answers_, connection, start);
        memory->onUnread_[connection] = [&held, connection] { held.erase(connection); };
    }
    updateAnswerLimit(*memory, start);
    CHECK(held.size() == 4);
    recordSent(*memory->answers_, 1, 1, start + std::chrono::seconds(1));
    updateAnswerLimit(*memory, start + std::chrono::seconds(1));
    CHECK(held.size() == 3);
    CHECK(held.contains(1));
    // A request that has no room beside them, and does not end the answer of its own connection.
    CHECK(claimMemory(*memory, 1, 100 * mebibyte, start + std::chrono::seconds(3)) == Room::Granted);
    CHECK(held.contains(1));
    endUnreadAnswers(*memory, start + std::chrono::seconds(4));
    CHECK(held.empty());
    CHECK(memory->unreadCount_ == 4);
}
