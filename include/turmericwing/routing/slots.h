// Distributed concurrency limit: how many requests each host may run on an upstream at a time.
//
// Every slot of an upstream has one home host per placement. The homes are a pure function of the member list
// and the upstreams, so all hosts agree on them. The number of requests that run on an upstream from all
// hosts never exceeds its slots, because
//   - a host starts requests only on its home slots and on borrowed slots, and only while its read lease is
//   valid;
//   - a request's deadline is at most the longest timeout away, and an upstream stops a request at its
//   deadline;
//   - a new home uses a slot only after the previous home has released it, or after activation delay +
//   longest timeout + clock margin + keep-alive time of the upstream, when everything that the previous home
//   started or lent has ended;
//   - the lender counts the duration of a loan from the receipt of the request, the borrower from its
//   sending, which is earlier.
// Connection limits follow the slots: a home slot carries an equal part of the upstream's connections, and a
// loan carries one of them.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::routing {

/// Identifies a slot: the upstream, and an index below its number of slots.
struct SlotId {
    std::string upstream_;
    uint32_t index_ = 0;
    friend auto operator<=>(const SlotId&, const SlotId&) = default;
};

/// A member that may be the home of slots.
struct SlotHost {
    std::string host_;
    uint64_t incarnation_ = 0;
    std::string region_;
    friend auto operator<=>(const SlotHost&, const SlotHost&) = default;
};

/// An upstream with its limits.
struct SlotUpstream {
    std::string upstream_;
    std::string service_;
    std::string region_;
    uint32_t slots_ = 1; ///< Concurrent requests.
    uint32_t connections_ = 1; ///< Connections that it accepts from all hosts in total.
    /// Longest request timeout of the service. After a change that shortens it, keep passing the old value
    /// for that duration, because requests with the old timeout may still run.
    Duration longestTimeout_ {};
    friend auto operator<=>(const SlotUpstream&, const SlotUpstream&) = default;
};

/// Identifies a placement. Each change of the member list increments the epoch, each publication the
/// revision; revision 0 has no upstreams and epoch 0 has no members.
struct PlacementId {
    uint64_t revision_ = 0;
    uint64_t epoch_ = 0;
    /// Sequence number; increases by one with each placement.
    uint64_t number() const { return revision_ + epoch_; }
    friend auto operator<=>(const PlacementId&, const PlacementId&) = default;
};

/// A process of a host. A restarted host keeps its home slots, but has to wait like a new home.
struct SlotHolder {
    std::string host_;
    uint64_t incarnation_ = 0;
    friend auto operator<=>(const SlotHolder&, const SlotHolder&) = default;
};

using SlotHomes = std::map<SlotId, SlotHolder>;

/// Returns the home of every slot, by rendezvous hashing among the hosts of the upstream's region, or among
/// all hosts if the region has none. The numbers of slots per service that hosts of a region hold differ by
/// at most one. An upstream with fewer connections than slots has as many usable slots as connections. Empty
/// without hosts.
SlotHomes slotHomes(const std::vector<SlotHost>& hosts, const std::vector<SlotUpstream>& upstreams);

/// The homes of all slots for a member list and a configuration.
struct Placement {
    PlacementId id_;
    std::vector<SlotUpstream> upstreams_;
    SlotHomes homes_;
};

struct SlotOptions {
    /// Time between the write of a head and its activation; also the upper limit of a read lease.
    Duration activationDelay_ = std::chrono::seconds(2);
    /// Covers the drift between the clocks of two hosts over one wait.
    Duration clockMargin_ = std::chrono::milliseconds(100);
    /// Time after which an upstream closes the idle connections of a paused host.
    Duration upstreamKeepAlive_ = std::chrono::seconds(2);
    /// Time after which an unanswered loan request no longer counts towards maxPendingLoans_, as a lender
    /// without a free slot does not answer. Longer than the longest round trip between regions.
    Duration loanAnswerTimeout_ = std::chrono::milliseconds(150);
    /// Time after which a lender that has not answered is asked again for the same upstream.
    Duration lenderRetryInterval_ = std::chrono::milliseconds(500);
    uint32_t maxPendingLoans_ = 4; ///< Loan requests in flight per service.
    /// False disables the wait of a new home. Only for tests that show what the wait prevents.
    bool waitForPreviousHome_ = true;
    /// False disables the check that a request's deadline is within its loan. For tests only.
    bool checkLoanDeadline_ = true;
};

/// Identifies a loan: the borrower's process and a number that it uses only once.
struct LoanId {
    std::string borrower_;
    uint64_t incarnation_ = 0;
    uint64_t serial_ = 0;
    friend auto operator<=>(const LoanId&, const LoanId&) = default;
};

/// Asks a host for the loan of a slot.
struct BorrowRequest {
    LoanId id_;
    std::string upstream_;
    Duration duration_ {}; ///< Requested, from the sending of the request.
    friend bool operator==(const BorrowRequest&, const BorrowRequest&) = default;
};

/// A slot that its home lends to another host.
struct Loan {
    LoanId id_;
    SlotId slot_;
    Duration duration_ {}; ///< Granted, from the sending of the request.
    friend bool operator==(const Loan&, const Loan&) = default;
};

/// Message of a borrower that ends a loan early.
struct LoanReturn {
    LoanId id_;
    SlotId slot_;
    friend bool operator==(const LoanReturn&, const LoanReturn&) = default;
};

/// Announces that the home of a slot in placement `last_` no longer uses or lends it. Sent to the hosts of
/// the upstream's region.
struct SlotRelease {
    SlotId slot_;
    uint64_t last_ = 0; ///< Number of the placement.
    friend auto operator<=>(const SlotRelease&, const SlotRelease&) = default;
};

/// A slot in use by a request, from acquire() to finish().
struct SlotTicket {
    SlotId slot_;
    uint64_t serial_ = 0;
    bool borrowed_ = false;
};

enum class SlotUse { None, Running, Lent };

/// A slot whose home is, or was until recently, this host.
struct HomeSlot {
    SlotId id_;
    SlotUse use_ = SlotUse::None;
    TimePoint useEnds_ {}; ///< Deadline of the request, or the time at which a lent slot is reclaimed.
    bool abandoned_ = false; ///< The request may still run on the upstream until useEnds_.
    uint64_t serial_ = 0; ///< Serial number of the ticket of the running request.
    LoanId loan_; ///< Set while lent.
    bool waiting_ = false; ///< The previous home may still use the slot, so no request starts on it.
    TimePoint waitEnds_ {};
    uint64_t gainedIn_ = 0; ///< Number of the first placement seen with this host as home.
    bool lost_ = false; ///< No longer home; the slot is released once it is unused and not waiting.
    uint64_t last_ = 0; ///< Number of the last placement seen with this host as home.
};

/// A slot that another host lends to this one.
struct BorrowedSlot {
    LoanId id_;
    SlotId slot_;
    std::string lender_;
    TimePoint ends_ {};
    bool running_ = false;
    bool abandoned_ = false;
    /// Gets no more requests; returned when its request has ended and its connection is closed.
    bool discarded_ = false;
    TimePoint useEnds_ {};
    uint64_t serial_ = 0; ///< Serial number of the ticket of the running request.
};

/// A loan request without an answer so far.
struct PendingBorrow {
    LoanId id_;
    std::string lender_;
    TimePoint sent_ {};
    Duration duration_ {};
};

/// The slots and connections of one upstream on this host.
struct UpstreamSlots {
    SlotUpstream upstream_;
    std::vector<HomeSlot> home_;
    std::vector<BorrowedSlot> borrowed_;
    std::vector<PendingBorrow> pending_;
    uint32_t openConnections_ = 0;
};

/// A release that is repeated until it expires.
struct TimedRelease {
    SlotRelease release_;
    TimePoint expires_ {};
};

/// The slots of one host. A new process begins with an empty table.
struct SlotTable {
    std::string host_;
    uint64_t incarnation_ = 0;
    SlotOptions options_ {};
    bool known_ = false; ///< Whether a placement has been applied.
    PlacementId placement_ {};
    std::map<std::string, UpstreamSlots> upstreams_ {};
    std::vector<TimedRelease> releases_ {};
    uint64_t nextSerial_ = 1;
};

/// A return and its destination.
struct AddressedLoanReturn {
    std::string lender_;
    LoanReturn return_;
};

/// Applies a placement as soon as the host learns of it; ignores placements that are not newer. Lost slots
/// become unusable at once, and gained slots wait for their previous home. `leaseHeld` states that the host's
/// read lease has been valid without a gap since the previous placement was applied; otherwise a slot that
/// appears unchanged may have had another home in between.
void applyPlacement(SlotTable&, TimePoint now, const Placement&, bool leaseHeld);

/// Ends expired abandoned requests, loans and waits. Call at least every 50 ms. Returns the loan returns to
/// send.
std::vector<AddressedLoanReturn> tick(SlotTable&, TimePoint now);

/// Acquires a slot for a request that ends by `requestDeadline`. Returns nullopt if the read lease, which
/// ends at `leaseEnds`, has expired, if no slot is free, or if the deadline has passed or is later than the
/// longest timeout allows.
std::optional<SlotTicket> acquire(
    SlotTable&, TimePoint now, TimePoint leaseEnds, const std::string& upstream, TimePoint requestDeadline);

/// How a request ended for its slot.
enum class RequestEnd {
    Complete, ///< The upstream has sent the whole response.
    Abandoned, ///< The request may still run; the slot stays in use until the request's deadline.
};

/// Ends a request. Ignores tickets that are not in use.
void finish(SlotTable&, TimePoint now, const SlotTicket&, RequestEnd);

/// Number of requests with that deadline that could start now.
uint32_t freeSlots(const SlotTable&, TimePoint now, TimePoint leaseEnds, const std::string& upstream,
    TimePoint requestDeadline);

/// A host that may be asked to lend a slot of an upstream.
struct LoanOffer {
    std::string upstream_;
    std::string lender_;
    friend auto operator<=>(const LoanOffer&, const LoanOffer&) = default;
};

/// Returns the lenders to ask now, selected from `offers`, which is in order of preference. Skips lenders
/// that have not answered yet, so that a host finds free slots even if the preferred lenders have none.
std::vector<LoanOffer> chooseLenders(const SlotTable&, TimePoint now, const std::vector<LoanOffer>& offers);

/// Creates a request to `lender` for a slot and records it as pending; the caller sends it. The loan's
/// duration counts from now, not from the answer.
BorrowRequest borrow(
    SlotTable&, TimePoint now, const std::string& upstream, const std::string& lender, Duration duration);

/// Answers a loan request. Returns nullopt if no slot or connection is free or the read lease has expired. A
/// repeated request gets the same loan again.
std::optional<Loan> lend(SlotTable&, TimePoint now, TimePoint leaseEnds, const BorrowRequest&);

/// Adds a loan to the table. Returns a loan return to send if the loan is no longer wanted.
std::optional<AddressedLoanReturn> acceptLoan(
    SlotTable&, TimePoint now, const std::string& lender, const Loan& loan);

/// Gives up the loans that are not in use, except `keep` of them. Those whose connections are still open are
/// returned by a later tick().
std::vector<AddressedLoanReturn> returnIdleLoans(
    SlotTable&, TimePoint now, const std::string& upstream, uint32_t keep);

/// Reclaims a returned slot. Ignores returns of other loans.
void applyReturn(SlotTable&, TimePoint now, const LoanReturn&);

/// Returns the releases to send now and again every second while they are listed. Repeated and late releases
/// are harmless.
std::vector<SlotRelease> releases(const SlotTable&, TimePoint now);

/// Ends the wait for a slot if the release is from its home in the placement directly before the one in which
/// this host gained it; ignores other releases.
void applyRelease(SlotTable&, TimePoint now, const SlotRelease&);

/// Gives up all borrowed slots and pending loan requests, after a pause of the process or when the read lease
/// has expired. Home slots stay, but acquire() and lend() fail until the lease is renewed.
std::vector<AddressedLoanReturn> discardLoans(SlotTable&, TimePoint now);

/// Number of connections to the upstream that this host may have open.
uint32_t connectionLimit(const SlotTable&, TimePoint now, const std::string& upstream);

/// Counts a new connection if the limit and the read lease permit it; returns whether they do.
bool openConnection(SlotTable&, TimePoint now, TimePoint leaseEnds, const std::string& upstream);

/// Counts a connection as closed.
void closeConnection(SlotTable&, TimePoint now, const std::string& upstream);

/// Number of connections above the limit; all of them without a read lease, because other hosts may have
/// become the homes of the slots. Close idle connections at once, and others when their request ends.
uint32_t connectionsToClose(
    const SlotTable&, TimePoint now, TimePoint leaseEnds, const std::string& upstream);

} // namespace turmericwing::routing
