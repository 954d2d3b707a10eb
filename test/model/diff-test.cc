// Tests of the differences between two sets.
#include "turmericwing/model/diff.h"

#include "small-set.h"

#include <doctest/doctest.h>

using namespace turmericwing::model;

TEST_CASE("differences name object, field, old and new value")
{
    // Guards against an audit trail that misses a change or contains a complete key digest.
    const auto before = parseSet({ { "a", smallSet } }).set_;
    auto text = replaced(smallSet, "rate = 12.5", "rate = 14");
    text = replaced(text, std::string(64, 'a'), std::string(64, 'c'));
    text = replaced(text, "block = 10.1.0.0/16", "block = 10.2.0.0/16");
    text += "[region irbid]\n[link north]\nfrom = amman\nto = irbid\ncapacity-mbps = 4000\n";
    const auto after = parseSet({ { "b", text } }).set_;
    CHECK(diff(before, before).empty());
    CHECK(toString(diff(before, after))
        == "+ region irbid\n+ link north\n+ link north: from: amman\n+ link north: to: irbid\n"
           "+ link north: capacity-mbps: 4000\n~ workspace petra: rate: 12.5 -> 14\n"
           "~ key petra-1: sha256: aaaaaaaa... -> cccccccc...\n"
           "- client-block 10.1.0.0/16: region: amman\n+ client-block 10.2.0.0/16: region: amman\n");
    CHECK(toString(diff(after, before), 1)
              .ends_with("+ client-block 10.1.0.0/16: region: amman\n... and 1 more client "
                         "blocks\n"));
    CHECK(
        diff(after, before).front() == Difference { DifferenceType::Removed, "region", "irbid", "", "", "" });
}
