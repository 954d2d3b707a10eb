// Tests of the storage of bodies. They guard against bytes that are lost or doubled where one block ends, and
// against memory that stays with the process after its body has ended.
#include "turmericwing/gateway/body.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace turmericwing::gateway;

namespace {

std::string countingBytes(size_t size)
{
    std::string bytes;
    for (size_t i = 0; i < size; ++i)
        bytes += static_cast<char>('a' + i % 23);
    return bytes;
}

} // namespace

TEST_CASE("a body has the bytes that were appended, whatever their pieces")
{
    for (const size_t size : std::initializer_list<size_t> { 0, 1, Body::maxTextBytes, Body::maxTextBytes + 1,
             Body::maxTextBytes + blockBytes, Body::maxTextBytes + blockBytes + 1, 100'000 }) {
        const std::string bytes = countingBytes(size);
        for (const size_t piece : std::initializer_list<size_t> { 1, 1000, blockBytes, 200'000 }) {
            CAPTURE(size);
            CAPTURE(piece);
            Body body;
            for (size_t sent = 0; sent < size; sent += piece)
                body.append(std::string_view(bytes).substr(sent, piece));
            CHECK(body.size() == size);
            CHECK(body.text() == bytes);
            CHECK(body.memoryBytes() <= Body::memoryBytes(size) + 16);
            CHECK(Body(body) == body);
            body.truncate(size / 2);
            CHECK(body.text() == bytes.substr(0, size / 2));
            body.append("end");
            CHECK(body.text() == bytes.substr(0, size / 2) + "end");
        }
    }
}

TEST_CASE("a text of any size can be a body, and more can follow it")
{
    const std::string bytes = countingBytes(50'000);
    Body body(bytes);
    CHECK(body.parts().size() == 1);
    body.append("end");
    CHECK(body.text() == bytes + "end");
    CHECK(body.prefix(3) == bytes.substr(0, 3));
    Body moved = std::move(body);
    CHECK(moved.size() == bytes.size() + 3);
    // An assignment of a text keeps its memory.
    moved.clear();
    CHECK(moved.memoryBytes() < 100);
}

TEST_CASE("blocks are given back with their body")
{
    const uint64_t before = usedBlockBytes();
    {
        Body body;
        body.append(std::string(1'000'000, 'a'));
        CHECK(usedBlockBytes() - before >= 1'000'000 - Body::maxTextBytes);
        CHECK(usedBlockBytes() - before <= Body::memoryBytes(1'000'000));
        Body other = std::move(body);
        other.clear();
        CHECK(usedBlockBytes() == before);
    }
    CHECK(usedBlockBytes() == before);
    releaseFreeBlocks();
    Body body;
    body.append(std::string(100'000, 'b'));
    CHECK(body.text() == std::string(100'000, 'b'));
}
