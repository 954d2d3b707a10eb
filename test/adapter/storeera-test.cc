// Guards against a host that does not notice that the store was restored from an older copy, or that a wrong
// era in one answer cuts off from the store.
#include "platform/storeera.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::platform;

namespace {

gateway::Headers eraField(const std::string& value) { return { { "store-era", value } }; }

} // namespace

TEST_CASE("a higher era is adopted, and an answer without a readable one counts as unchanged")
{
    StoreEra era;
    CHECK(noteEra(era, {}, 0).value() == 0);
    CHECK(noteEra(era, eraField("4"), 0).value() == 4);
    for (const char* odd : { "", "0", "-1", "4.5", "x", "99999999999999999999999" })
        CHECK(noteEra(era, eraField(odd), 4).value() == 4);
    CHECK(noteEra(era, { { "Store-Era", "7" }, { "Store-Era", "8" } }, 4).value() == 4);
    CHECK(noteEra(era, {}, 4).value() == 4);
    CHECK(noteEra(era, eraField("5"), 4).value() == 5);
    CHECK(era.newest_ == 5);
}

TEST_CASE("a late answer of an earlier era is an error, and a lower era of a new call is adopted")
{
    StoreEra era { .newest_ = 9 };
    const bool late = noteEra(era, eraField("8"), 8).error().code_ == ErrorCode::Unknown;
    CHECK(late);
    CHECK(era.newest_ == 9);
    CHECK(noteEra(era, eraField("8"), 9).value() == 8);
    CHECK(era.newest_ == 8);
}
