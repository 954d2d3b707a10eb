// Tests of writeOnce(): how it resolves lost responses and conflicts with other writers.
#include "turmericwing/store/memory.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::store;

namespace {

// A table whose first `lost` write requests return Unknown. `applies` tells whether those writes take effect;
// `afterEach` runs after each of them.
Table lossyTable(const MemoryPlatform& memory, int lost, bool applies, std::function<void()> afterEach = {})
{
    Table table = memory.platform().table_;
    auto write = table.writeBatch_;
    table.writeBatch_ = [=, remaining = std::make_shared<int>(lost)](
                            const auto& writes) -> Result<std::vector<WriteOutcome>> {
        if (*remaining == 0)
            return write(writes);
        --*remaining;
        if (applies)
            (void)write(writes);
        if (afterEach)
            afterEach();
        return makeError(ErrorCode::Unknown, "lost");
    };
    return table;
}

} // namespace

TEST_CASE("a lost response is distinguished from a conflict")
{
    // Guards against reporting an applied write as failed, and another writer's write as applied.
    MemoryPlatform memory;
    const Table direct = memory.platform().table_;
    const ConditionalWrite mine { "k", "mine", 0 };
    SUBCASE("applied")
    {
        auto row = writeOnce(lossyTable(memory, 1, true), mine);
        REQUIRE(row);
        CHECK(row.value() == Row { "k", "mine", 1 });
    }
    SUBCASE("not applied, retried")
    {
        auto row = writeOnce(lossyTable(memory, 2, false), mine);
        REQUIRE(row);
        CHECK(direct.get_("k").value()->version_ == 1);
    }
    SUBCASE("conflict with another writer")
    {
        auto row = writeOnce(lossyTable(memory, 1, false,
                                 [&] {
                                     (void)direct.writeBatch_({ { "k", "other", 0 } });
                                 }),
            mine);
        CHECK(row.error().code_ == ErrorCode::Conflict);
    }
    SUBCASE("applied, then overwritten")
    {
        auto row = writeOnce(lossyTable(memory, 1, true,
                                 [&] {
                                     (void)direct.writeBatch_({ { "k", "other", 1 } });
                                 }),
            mine);
        CHECK(row.error().code_ == ErrorCode::Unknown);
    }
    SUBCASE("conflict and outage without a lost response")
    {
        (void)direct.writeBatch_({ { "k", "other", 0 } });
        CHECK(writeOnce(direct, mine).error().code_ == ErrorCode::Conflict);
        memory.setFaults({ .outage_ = true });
        CHECK(writeOnce(direct, { "k", "mine", 1 }).error().code_ == ErrorCode::Unavailable);
    }
    SUBCASE("all responses lost")
    {
        CHECK(writeOnce(lossyTable(memory, 100, false), mine).error().code_ == ErrorCode::Unknown);
    }
}
