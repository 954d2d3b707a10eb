// Tests of the assignment of upstreams to attempts. They guard against a retry that runs on the upstream that
// the request has just crashed.
#include "turmericwing/host/dispatch.h"

#include <doctest/doctest.h>

#include <thread>

using namespace turmericwing;
using namespace turmericwing::host;

namespace {

/// A snapshot in which host h2 is the only member, and so the home of all slots.
Snapshot snapshotOf(uint64_t revision, size_t upstreams)
{
    auto set = std::make_shared<model::ObjectSet>();
    set->failureDomains_.push_back({ .name_ = "r-a", .region_ = "r" });
    set->services_.push_back({ .name_ = "s" });
    set->routes_.push_back({ .name_ = "read", .service_ = "s", .path_ = "/", .timeoutMs_ = 30'000 });
    for (size_t i = 0; i < upstreams; ++i)
        set->upstreams_.push_back({ .name_ = "u" + std::to_string(i),
            .service_ = "s",
            .version_ = "v1",
            .failureDomain_ = "r-a",
            .slots_ = 8,
            .connections_ = 8 });
    Snapshot snapshot;
    snapshot.set_ = std::move(set);
    snapshot.head_.revision_ = revision;
    snapshot.head_.epoch_ = 1;
    snapshot.head_.members_.push_back({ .host_ = "h2", .incarnation_ = 1, .region_ = "r" });
    snapshot.sharesUsable_ = true;
    return snapshot;
}

} // namespace

TEST_CASE("a retry waits for a slot of another upstream, though a slot of the failed one can be had first")
{
    // A read that crashes its upstreams ran a third time: its retry took the first lent slot, which was one
    // of the upstream that it had just crashed.
    SharedState shared;
    shared.setLeaseEnd(monotonicNow() + std::chrono::hours(1));
    Dispatch lender("h2", "r", 1, shared, {});
    std::vector<std::thread> lateLoans;
    Dispatch* self = nullptr;
    bool lendsOther = false;
    Dispatch borrower("h1", "r", 1, shared,
        { .borrow_ =
                [&](const std::string&, const routing::BorrowRequest& request) {
                    const auto loan = lender.lend(request);
                    if (!loan)
                        return;
                    if (request.upstream_ == "u0")
                        return self->acceptLoan("h2", *loan);
                    if (lendsOther)
                        lateLoans.emplace_back([&self, loan = *loan] {
                            std::this_thread::sleep_for(std::chrono::milliseconds(200));
                            self->acceptLoan("h2", loan);
                        });
                },
            .returnLoan_ = [](const std::string&, const routing::LoanReturn&) {},
            .release_ = [](const std::string&, const routing::SlotRelease&) {} });
    self = &borrower;
    for (Dispatch* dispatch : { &lender, &borrower }) {
        dispatch->apply(snapshotOf(0, 0));
        dispatch->apply(snapshotOf(1, 2));
    }
    DispatchRequest request { .service_ = "s",
        .route_ = "read",
        .idempotent_ = true,
        .version_ = "v1",
        .deadline_ = monotonicNow() + std::chrono::seconds(20) };
    const auto first = borrower.acquire(request);
    REQUIRE(std::holds_alternative<Assignment>(first));
    REQUIRE(std::get<Assignment>(first).upstream_ == "u0");
    borrower.release(std::get<Assignment>(first), { AttemptEnd::Crashed, 0 });
    lendsOther = true;
    request.exclude_ = { "u0" };
    const auto second = borrower.acquire(request);
    for (std::thread& thread : lateLoans)
        thread.join();
    if (const auto* refusal = std::get_if<Refusal>(&second))
        FAIL(refusal->detail_);
    CHECK(std::get<Assignment>(second).upstream_ == "u1");
}

TEST_CASE("a retry returns to the failed upstream if no other one can be had")
{
    // Guards against a request that waits until its deadline for an upstream without a slot.
    SharedState shared;
    shared.setLeaseEnd(monotonicNow() + std::chrono::hours(1));
    Dispatch lender("h2", "r", 1, shared, {});
    Dispatch* self = nullptr;
    Dispatch borrower("h1", "r", 1, shared,
        { .borrow_ =
                [&](const std::string&, const routing::BorrowRequest& request) {
                    const auto loan = lender.lend(request);
                    if (loan && request.upstream_ == "u0")
                        self->acceptLoan("h2", *loan);
                },
            .returnLoan_ = [](const std::string&, const routing::LoanReturn&) {},
            .release_ = [](const std::string&, const routing::SlotRelease&) {} });
    self = &borrower;
    for (Dispatch* dispatch : { &lender, &borrower }) {
        dispatch->apply(snapshotOf(0, 0));
        dispatch->apply(snapshotOf(1, 2));
    }
    const DispatchRequest retry { .service_ = "s",
        .route_ = "read",
        .idempotent_ = true,
        .version_ = "v1",
        .deadline_ = monotonicNow() + std::chrono::seconds(4),
        .exclude_ = { "u0" } };
    const auto assigned = borrower.acquire(retry);
    if (const auto* refusal = std::get_if<Refusal>(&assigned))
        FAIL(refusal->detail_);
    CHECK(std::get<Assignment>(assigned).upstream_ == "u0");
}
