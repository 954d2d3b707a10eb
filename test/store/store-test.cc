// Tests of writeOnce.
#include "turmericwing/store/memory.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::store;

namespace {

// A table whose first `lost` writes report Unknown; `applies` says whether they take effect, and `between`
// runs after each of them.
Table lossyTable(const MemoryPlatform& memory, int lost, bool applies, std::function<void()> between = {})
{
    Table table = memory.platform().table_;
    auto write = table.writeBatch_;
    table.writeBatch_
        = [=, left = std::make_shared<int>(lost)](const auto& writes) -> Result<std::vector<WriteOutcome>> {
        if (*left == 0)
            return write(writes);
        --*left;
        if (applies)
            (void)write(writes);
        if (between)
            between();
        return makeError(ErrorCode::Unknown, "lost");
    };
    return table;
}

} // namespace

TEST_CASE("a lost response is told from a lost race")
{
    // Guards against reporting an applied write as failed, and against claiming another writer's success.
    MemoryPlatform memory;
    const Table direct = memory.platform().table_;
    const ConditionalWrite mine { "k", "mine", 0 };
    SUBCASE("applied")
    {
        auto row = writeOnce(lossyTable(memory, 1, true), mine);
        REQUIRE(row);
        CHECK(row.value() == Row { "k", "mine", 1 });
    }
    SUBCASE("not applied, written again")
    {
        auto row = writeOnce(lossyTable(memory, 2, false), mine);
        REQUIRE(row);
        CHECK(direct.get_("k").value()->version_ == 1);
    }
    SUBCASE("another writer won")
    {
        auto row = writeOnce(lossyTable(memory, 1, false,
                                 [&] {
                                     (void)direct.writeBatch_({ { "k", "other", 0 } });
                                 }),
            mine);
        CHECK(row.error().code_ == ErrorCode::Conflict);
    }
    SUBCASE("replaced since")
    {
        auto row = writeOnce(lossyTable(memory, 1, true,
                                 [&] {
                                     (void)direct.writeBatch_({ { "k", "other", 1 } });
                                 }),
            mine);
        CHECK(row.error().code_ == ErrorCode::Unknown);
    }
    SUBCASE("plain conflict and outage")
    {
        (void)direct.writeBatch_({ { "k", "other", 0 } });
        CHECK(writeOnce(direct, mine).error().code_ == ErrorCode::Conflict);
        memory.setFaults({ .outage_ = true });
        CHECK(writeOnce(direct, { "k", "mine", 1 }).error().code_ == ErrorCode::Unavailable);
    }
    SUBCASE("never answered")
    {
        CHECK(writeOnce(lossyTable(memory, 100, false), mine).error().code_ == ErrorCode::Unknown);
    }
}
