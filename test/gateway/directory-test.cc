// Guards against requests to upstreams that have left, and against dropping live upstreams because of an
// outage of the store.
#include "turmericwing/gateway/directory.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint start { std::chrono::seconds(100) };

UpstreamEntry makeEntry(const std::string& id)
{
    return { .id_ = id,
        .service_ = "s",
        .address_ = { "10.0.0.1", 80 },
        .failureDomain_ = "a1",
        .version_ = "v1",
        .slots_ = 3,
        .startedMs_ = 1,
        .sequence_ = 5 };
}

Directory makeDirectory()
{
    Directory directory { .regionOf_ = { { "a1", "a" } } };
    upsertEntry(directory, start, makeEntry("u1"));
    upsertEntry(directory, start, makeEntry("u2"));
    return directory;
}

bool isUsable(Directory& directory, const std::string& id)
{
    const UpstreamRef upstream = findUpstream(directory, id);
    return upstream.target_ && upstream.target_->usable_;
}

} // namespace

TEST_CASE("an upstream that leaves or is removed is unusable at once")
{
    Directory directory = makeDirectory();
    UpstreamEntry leaving = makeEntry("u1");
    leaving.leaving_ = true;
    upsertEntry(directory, start, leaving);
    CHECK_FALSE(isUsable(directory, "u1"));
    removeEntry(directory, start, "u2");
    CHECK_FALSE(isUsable(directory, "u2"));
    CHECK(expireEntries(directory, start) == std::vector<std::string> { "u2" });
    CHECK_FALSE(findUpstream(directory, "u2").target_);
}

TEST_CASE("entries that lapse during an outage are used until the settling time has passed")
{
    Directory directory = makeDirectory();
    onStoreLost(directory, start);
    removeEntry(directory, start, "u1");
    CHECK(expireEntries(directory, start + std::chrono::minutes(10)).empty());
    const TimePoint back = start + std::chrono::minutes(10);
    onStoreRegained(directory, back);
    removeEntriesExcept(directory, back, {});
    CHECK(isUsable(directory, "u1"));
    CHECK(isUsable(directory, "u2"));
    upsertEntry(directory, back + std::chrono::seconds(1), makeEntry("u2"));
    expireEntries(directory, back + std::chrono::seconds(3));
    CHECK_FALSE(isUsable(directory, "u1"));
    CHECK(isUsable(directory, "u2"));
}

TEST_CASE("entries that are missing after only this host was cut off are dropped at once")
{
    // A request was sent to an upstream 12 s after it had announced that it leaves, because its missing entry
    // was taken for a lapsed one.
    Directory directory = makeDirectory();
    onStoreLost(directory, start);
    const TimePoint back = start + std::chrono::seconds(10);
    onStoreRegained(directory, back);
    removeEntriesExcept(directory, back, { "u2" });
    CHECK(isUsable(directory, "u1"));
    onPeerStoreContact(directory, back, std::chrono::seconds(9));
    expireEntries(directory, back);
    CHECK(isUsable(directory, "u1"));
    onPeerStoreContact(directory, back, std::chrono::seconds(60));
    expireEntries(directory, back);
    CHECK_FALSE(isUsable(directory, "u1"));
    CHECK(isUsable(directory, "u2"));
    removeEntry(directory, back + std::chrono::milliseconds(1), "u2");
    CHECK_FALSE(isUsable(directory, "u2"));
}

TEST_CASE("an upstream that announces during an outage that it leaves is not used again")
{
    Directory directory = makeDirectory();
    onStoreLost(directory, start);
    UpstreamEntry leaving = makeEntry("u1");
    leaving.leaving_ = true;
    upsertEntry(directory, start, leaving);
    removeEntry(directory, start, "u1");
    onStoreRegained(directory, start);
    CHECK_FALSE(isUsable(directory, "u1"));
}

TEST_CASE("a new run under a known id replaces the old one")
{
    Directory directory = makeDirectory();
    findUpstream(directory, "u1").target_->pausedUntil_ = start + std::chrono::seconds(9);
    UpstreamEntry again = makeEntry("u1");
    again.startedMs_ = 2;
    again.remainingColdTime_ = std::chrono::seconds(3);
    upsertEntry(directory, start, again);
    CHECK(findUpstream(directory, "u1").target_->pausedUntil_ == TimePoint());
    CHECK(findUpstream(directory, "u1").target_->coldUntil_ == start + std::chrono::seconds(3));
}

TEST_CASE("an upstream without an entry is kept while it has requests in flight")
{
    Directory directory = makeDirectory();
    findUpstream(directory, "u1").target_->inFlight_ = 1;
    removeEntry(directory, start, "u1");
    expireEntries(directory, start);
    REQUIRE(findUpstream(directory, "u1").target_);
    findUpstream(directory, "u1").target_->inFlight_ = 0;
    expireEntries(directory, start);
    CHECK_FALSE(findUpstream(directory, "u1").target_);
}

TEST_CASE("a leaving mark belongs to its incarnation and outlives its entry")
{
    // An entry that lapses and comes back, from an older copy of the store too, must not return an upstream
    // that has announced its leaving; a new process under its id is another upstream.
    Directory directory = makeDirectory();
    const auto status = [&](const std::string& id) {
        return routing::statusAt(findUpstream(directory, id).target_->announced_, start);
    };
    CHECK(recordNotice(directory, start, { 1, "u1" }, { .leaving_ = true })
        == std::optional(routing::UpstreamStatus::Leaving));
    upsertEntry(directory, start, makeEntry("u1"));
    CHECK(status("u1") == routing::UpstreamStatus::Leaving);
    removeEntry(directory, start, "u1");
    expireEntries(directory, start);
    REQUIRE_FALSE(findUpstream(directory, "u1").target_);
    UpstreamEntry again = makeEntry("u1");
    again.sequence_ += 1;
    REQUIRE(upsertEntry(directory, start, again));
    CHECK(status("u1") == routing::UpstreamStatus::Leaving);
    CHECK(status("u2") == routing::UpstreamStatus::Serving);
    UpstreamEntry restarted = makeEntry("u1");
    restarted.startedMs_ = 2;
    upsertEntry(directory, start, restarted);
    CHECK(status("u1") == routing::UpstreamStatus::Serving);
    upsertEntry(directory, start, makeEntry("u1"));
    CHECK(status("u1") == routing::UpstreamStatus::Leaving);
}

TEST_CASE("a late answer of an earlier incarnation does not mark the current one")
{
    Directory directory = makeDirectory();
    UpstreamEntry restarted = makeEntry("u1");
    restarted.startedMs_ = 2;
    upsertEntry(directory, start, restarted);
    CHECK(recordNotice(directory, start, { 1, "u1" }, { .leaving_ = true }));
    CHECK(routing::statusAt(findUpstream(directory, "u1").target_->announced_, start)
        == routing::UpstreamStatus::Serving);
    CHECK_FALSE(recordNotice(directory, start, { 1, "u9" }, {}));
}

TEST_CASE(
    "an upstream that was leaving is not used again through an older entry or a later one of the same run")
{
    // A copy from which the store was restored had the upstream as ready.
    Directory directory = makeDirectory();
    UpstreamEntry leaving = makeEntry("u1");
    leaving.leaving_ = true;
    leaving.sequence_ = 6;
    CHECK(upsertEntry(directory, start, leaving));
    onStoreRestored(directory, start);
    CHECK_FALSE(upsertEntry(directory, start, makeEntry("u1")));
    UpstreamEntry later = makeEntry("u1");
    later.sequence_ = 7;
    CHECK(upsertEntry(directory, start, later));
    CHECK_FALSE(isUsable(directory, "u1"));
    UpstreamEntry nextRun = makeEntry("u1");
    nextRun.startedMs_ = 2;
    nextRun.sequence_ = 1;
    CHECK(upsertEntry(directory, start, nextRun));
    CHECK(isUsable(directory, "u1"));
    // The copy may also have an earlier run.
    CHECK_FALSE(upsertEntry(directory, start, later));
    CHECK(isUsable(directory, "u1"));
}

TEST_CASE("an upstream that was removed is not used again through its old entry")
{
    Directory directory = makeDirectory();
    removeEntry(directory, start, "u1");
    expireEntries(directory, start);
    onStoreRestored(directory, start);
    CHECK_FALSE(upsertEntry(directory, start, makeEntry("u1")));
    CHECK_FALSE(findUpstream(directory, "u1").target_);
    UpstreamEntry written = makeEntry("u1");
    written.sequence_ = 6;
    CHECK(upsertEntry(directory, start, written));
    CHECK(isUsable(directory, "u1"));
}

TEST_CASE("entries that a restored store does not have yet are used until the settling time has passed")
{
    // A peer's long contact with the store says nothing then: the entries are missing for all hosts.
    Directory directory = makeDirectory();
    onStoreRestored(directory, start);
    removeEntriesExcept(directory, start, {});
    onPeerStoreContact(directory, start, std::chrono::minutes(1));
    expireEntries(directory, start + std::chrono::seconds(2));
    CHECK(isUsable(directory, "u1"));
    CHECK(upsertEntry(directory, start + std::chrono::seconds(2), makeEntry("u2")));
    expireEntries(directory, start + std::chrono::seconds(3));
    CHECK_FALSE(isUsable(directory, "u1"));
    CHECK(isUsable(directory, "u2"));
    // An entry that lapsed may be written again as it was.
    CHECK(upsertEntry(directory, start + std::chrono::seconds(4), makeEntry("u1")));
}
