// Assignment of slots to home hosts, and the slots, loans and connections of one host.
#include "turmericwing/routing/slots.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <set>

namespace turmericwing::routing {

namespace detail {

    uint32_t usableSlots(const SlotUpstream& upstream)
    {
        return std::min(upstream.slots_, upstream.connections_);
    }

    uint32_t connectionsPerSlot(const SlotUpstream& upstream)
    {
        const uint32_t slots = usableSlots(upstream);
        return slots == 0 ? 0 : upstream.connections_ / slots;
    }

    /// Connections that a home slot allows its host.
    uint32_t connectionsOf(const HomeSlot& slot, uint32_t perSlot)
    {
        // A lost or waiting slot allows only the connection of the request that still runs on it.
        if (slot.lost_ || slot.waiting_)
            return slot.use_ == SlotUse::Running ? 1 : 0;
        return slot.use_ == SlotUse::Lent ? perSlot - 1 : perSlot;
    }

    uint32_t connectionLimitOf(const UpstreamSlots& slots, TimePoint now)
    {
        const uint32_t perSlot = connectionsPerSlot(slots.upstream_);
        uint32_t limit = 0;
        for (const HomeSlot& slot : slots.home_)
            limit += connectionsOf(slot, perSlot);
        for (const BorrowedSlot& slot : slots.borrowed_)
            limit += now < slot.ends_ && (slot.running_ || !slot.discarded_) ? 1 : 0;
        return limit;
    }

    bool canStart(const HomeSlot& slot)
    {
        return slot.use_ == SlotUse::None && !slot.waiting_ && !slot.lost_;
    }

    bool canStart(
        const BorrowedSlot& slot, const SlotOptions& options, TimePoint now, TimePoint requestDeadline)
    {
        return !slot.running_ && !slot.discarded_ && now < slot.ends_
            && (requestDeadline <= slot.ends_ || !options.checkLoanDeadline_);
    }

    /// Wait of a new home, after which everything has ended that the previous home may have started or lent
    /// before it learned that it is no longer the home.
    Duration handoverWait(const SlotOptions& options, const SlotUpstream& upstream)
    {
        return options.activationDelay_ + upstream.longestTimeout_ + options.clockMargin_
            + options.upstreamKeepAlive_;
    }

    /// Ends expired uses, waits, loans and loan requests, and releases lost slots that are unused.
    void expireEntries(SlotTable& table, UpstreamSlots& slots, TimePoint now)
    {
        for (HomeSlot& slot : slots.home_) {
            const bool expires
                = slot.use_ == SlotUse::Lent || (slot.use_ == SlotUse::Running && slot.abandoned_);
            if (expires && slot.useEnds_ <= now)
                slot.use_ = SlotUse::None;
            if (slot.waiting_ && slot.waitEnds_ <= now)
                slot.waiting_ = false;
        }
        for (BorrowedSlot& slot : slots.borrowed_) {
            if (slot.running_ && slot.abandoned_ && slot.useEnds_ <= now)
                slot.running_ = false;
        }
        std::erase_if(
            slots.borrowed_, [now](const BorrowedSlot& slot) { return slot.ends_ <= now && !slot.running_; });
        std::erase_if(slots.pending_,
            [now](const PendingBorrow& borrow) { return borrow.sent_ + borrow.duration_ <= now; });
        const bool withinLimit = slots.openConnections_ <= connectionLimitOf(slots, now);
        std::erase_if(slots.home_, [&](const HomeSlot& slot) {
            if (!slot.lost_ || slot.waiting_ || slot.use_ != SlotUse::None || !withinLimit)
                return false;
            // By then the new home has stopped waiting, and the release has no further use.
            const Duration releaseTtl = 2 * handoverWait(table.options_, slots.upstream_);
            table.releases_.push_back({ { slot.id_, slot.last_ }, now + releaseTtl });
            return true;
        });
    }

    /// The slots of an upstream after expireEntries(), or nullptr if the upstream is unknown.
    UpstreamSlots* findUpdated(SlotTable& table, TimePoint now, const std::string& upstream)
    {
        const auto found = table.upstreams_.find(upstream);
        if (found == table.upstreams_.end())
            return nullptr;
        expireEntries(table, found->second, now);
        return &found->second;
    }

    HomeSlot* findHome(UpstreamSlots& slots, const SlotId& id)
    {
        const auto found = std::find_if(
            slots.home_.begin(), slots.home_.end(), [&](const HomeSlot& s) { return s.id_ == id; });
        return found == slots.home_.end() ? nullptr : &*found;
    }

    /// Returns discarded loans once the connections that came with them are closed.
    void returnDiscarded(UpstreamSlots& slots, TimePoint now, std::vector<AddressedLoanReturn>& returns)
    {
        if (slots.openConnections_ > connectionLimitOf(slots, now))
            return;
        std::erase_if(slots.borrowed_, [&](const BorrowedSlot& slot) {
            if (slot.running_ || !slot.discarded_)
                return false;
            returns.push_back({ slot.lender_, { slot.id_, slot.slot_ } });
            return true;
        });
    }

} // namespace detail

SlotHomes slotHomes(const std::vector<SlotHost>& hosts, const std::vector<SlotUpstream>& upstreams)
{
    struct Candidate {
        uint64_t order_;
        SlotId slot_;
    };
    SlotHomes homes;
    std::map<std::pair<std::string, std::string>, std::vector<Candidate>> groups;
    for (const SlotUpstream& upstream : upstreams) {
        for (uint32_t i = 0; i < detail::usableSlots(upstream); ++i) {
            const SlotId slot { upstream.upstream_, i };
            const uint64_t order = hash64(slot.upstream_, i);
            groups[{ upstream.service_, upstream.region_ }].push_back({ order, slot });
        }
    }
    for (auto& [group, slots] : groups) {
        std::vector<SlotHolder> eligibleHosts;
        for (const SlotHost& host : hosts) {
            if (host.region_ == group.second)
                eligibleHosts.push_back({ host.host_, host.incarnation_ });
        }
        if (eligibleHosts.empty()) {
            for (const SlotHost& host : hosts)
                eligibleHosts.push_back({ host.host_, host.incarnation_ });
        }
        if (eligibleHosts.empty())
            continue;
        std::sort(slots.begin(), slots.end(), [](const Candidate& a, const Candidate& b) {
            return std::tie(a.order_, a.slot_) < std::tie(b.order_, b.slot_);
        });
        // Each host gets floor(slots / hosts). The remaining slots go, one each, to the first hosts that are
        // selected again after that.
        const size_t quota = slots.size() / eligibleHosts.size();
        size_t remainder = slots.size() % eligibleHosts.size();
        std::vector<size_t> load(eligibleHosts.size(), 0);
        for (const Candidate& candidate : slots) {
            const std::string key = candidate.slot_.upstream_ + '#' + std::to_string(candidate.slot_.index_);
            size_t best = eligibleHosts.size();
            uint64_t bestWeight = 0;
            for (size_t i = 0; i < eligibleHosts.size(); ++i) {
                if (load[i] > quota || (load[i] == quota && remainder == 0))
                    continue;
                const uint64_t weight = rendezvousWeight(key, eligibleHosts[i].host_);
                const bool better = best == eligibleHosts.size() || weight > bestWeight
                    || (weight == bestWeight && eligibleHosts[i] < eligibleHosts[best]);
                if (better) {
                    best = i;
                    bestWeight = weight;
                }
            }
            if (load[best] == quota)
                --remainder;
            ++load[best];
            homes.emplace(candidate.slot_, eligibleHosts[best]);
        }
    }
    return homes;
}

void applyPlacement(SlotTable& table, TimePoint now, const Placement& placement, bool leaseHeld)
{
    if (table.known_ && placement.id_.number() <= table.placement_.number())
        return;
    const uint64_t previous = table.placement_.number();
    const uint64_t number = placement.id_.number();
    const bool consecutive = table.known_ && number == previous + 1;
    // Before the first publication and the first member no slot had a home.
    const bool first = consecutive && (table.placement_.revision_ == 0 || table.placement_.epoch_ == 0);

    const SlotHolder self { table.host_, table.incarnation_ };
    std::map<std::string, SlotUpstream> upstreams;
    for (const SlotUpstream& upstream : placement.upstreams_)
        upstreams.emplace(upstream.upstream_, upstream);
    for (auto& [name, slots] : table.upstreams_) {
        detail::expireEntries(table, slots, now);
        const auto found = upstreams.find(name);
        const Duration longest = slots.upstream_.longestTimeout_;
        if (found != upstreams.end()) {
            // Requests started with the previous timeout may still run.
            const bool shorter = found->second.longestTimeout_ < longest;
            slots.upstream_ = found->second;
            if (shorter)
                slots.upstream_.longestTimeout_ = longest;
        }
        for (HomeSlot& slot : slots.home_) {
            const auto home = placement.homes_.find(slot.id_);
            const bool isHome = home != placement.homes_.end() && home->second == self;
            // If the lease was held, any home in between learned of its slot after this host's last read and
            // waits longer than its own read lease lasts, unless the longest timeout is shorter than the
            // lease.
            const bool unchanged = consecutive || (leaseHeld && longest >= table.options_.activationDelay_);
            if (isHome && !slot.lost_ && unchanged) {
                slot.last_ = number;
            } else if (isHome) {
                slot.lost_ = false;
                slot.last_ = number;
                slot.gainedIn_ = number;
                slot.waiting_ = table.options_.waitForPreviousHome_;
                slot.waitEnds_
                    = std::max(slot.waitEnds_, now + detail::handoverWait(table.options_, slots.upstream_));
            } else {
                slot.lost_ = true;
            }
        }
    }
    std::erase_if(table.upstreams_, [&](const auto& entry) {
        const UpstreamSlots& slots = entry.second;
        return !upstreams.contains(entry.first) && slots.home_.empty() && slots.borrowed_.empty()
            && slots.openConnections_ == 0;
    });
    for (const auto& [name, upstream] : upstreams) {
        UpstreamSlots& slots = table.upstreams_.try_emplace(name).first->second;
        if (slots.upstream_.upstream_.empty())
            slots.upstream_ = upstream;
    }
    for (const auto& [id, holder] : placement.homes_) {
        const auto entry = table.upstreams_.find(id.upstream_);
        if (holder != self || entry == table.upstreams_.end() || detail::findHome(entry->second, id))
            continue;
        UpstreamSlots& slots = entry->second;
        HomeSlot slot;
        slot.id_ = id;
        slot.waiting_ = !first && table.options_.waitForPreviousHome_;
        slot.waitEnds_ = now + detail::handoverWait(table.options_, slots.upstream_);
        slot.gainedIn_ = number;
        slot.last_ = number;
        slots.home_.push_back(slot);
    }
    table.known_ = true;
    table.placement_ = placement.id_;
    for (auto& [name, slots] : table.upstreams_)
        detail::expireEntries(table, slots, now);
}

std::vector<AddressedLoanReturn> tick(SlotTable& table, TimePoint now)
{
    std::vector<AddressedLoanReturn> returns;
    for (auto& [name, slots] : table.upstreams_) {
        detail::expireEntries(table, slots, now);
        detail::returnDiscarded(slots, now, returns);
    }
    std::erase_if(table.releases_, [now](const TimedRelease& r) { return r.expires_ <= now; });
    return returns;
}

std::optional<SlotTicket> acquire(SlotTable& table, TimePoint now, TimePoint leaseEnds,
    const std::string& upstream, TimePoint requestDeadline)
{
    UpstreamSlots* slots = detail::findUpdated(table, now, upstream);
    if (!slots || leaseEnds <= now || requestDeadline <= now
        || requestDeadline > now + slots->upstream_.longestTimeout_)
        return std::nullopt;
    for (HomeSlot& slot : slots->home_) {
        if (!detail::canStart(slot))
            continue;
        slot.use_ = SlotUse::Running;
        slot.useEnds_ = requestDeadline;
        slot.abandoned_ = false;
        slot.serial_ = table.nextSerial_++;
        return SlotTicket { slot.id_, slot.serial_, false };
    }
    for (BorrowedSlot& slot : slots->borrowed_) {
        if (!detail::canStart(slot, table.options_, now, requestDeadline))
            continue;
        slot.running_ = true;
        slot.useEnds_ = requestDeadline;
        slot.abandoned_ = false;
        slot.serial_ = table.nextSerial_++;
        return SlotTicket { slot.slot_, slot.serial_, true };
    }
    return std::nullopt;
}

void finish(SlotTable& table, TimePoint now, const SlotTicket& ticket, RequestEnd end)
{
    UpstreamSlots* slots = detail::findUpdated(table, now, ticket.slot_.upstream_);
    if (!slots)
        return;
    for (HomeSlot& slot : slots->home_) {
        if (slot.use_ != SlotUse::Running || slot.serial_ != ticket.serial_)
            continue;
        if (end == RequestEnd::Complete)
            slot.use_ = SlotUse::None;
        else
            slot.abandoned_ = true;
    }
    for (BorrowedSlot& slot : slots->borrowed_) {
        if (!slot.running_ || slot.serial_ != ticket.serial_)
            continue;
        if (end == RequestEnd::Complete)
            slot.running_ = false;
        else
            slot.abandoned_ = true;
    }
    detail::expireEntries(table, *slots, now);
}

uint32_t freeSlots(const SlotTable& table, TimePoint now, TimePoint leaseEnds, const std::string& upstream,
    TimePoint requestDeadline)
{
    const auto found = table.upstreams_.find(upstream);
    if (found == table.upstreams_.end() || leaseEnds <= now || requestDeadline <= now)
        return 0;
    const UpstreamSlots& slots = found->second;
    if (requestDeadline > now + slots.upstream_.longestTimeout_)
        return 0;
    const auto home = std::count_if(
        slots.home_.begin(), slots.home_.end(), [](const HomeSlot& slot) { return detail::canStart(slot); });
    const auto borrowed
        = std::count_if(slots.borrowed_.begin(), slots.borrowed_.end(), [&](const BorrowedSlot& slot) {
              return detail::canStart(slot, table.options_, now, requestDeadline);
          });
    return static_cast<uint32_t>(home + borrowed);
}

std::vector<LoanOffer> chooseLenders(
    const SlotTable& table, TimePoint now, const std::vector<LoanOffer>& offers)
{
    size_t inFlight = 0;
    std::set<LoanOffer> asked;
    for (const auto& [upstream, slots] : table.upstreams_) {
        for (const PendingBorrow& pending : slots.pending_) {
            inFlight += now < pending.sent_ + table.options_.loanAnswerTimeout_ ? 1 : 0;
            if (now < pending.sent_ + table.options_.lenderRetryInterval_)
                asked.insert({ upstream, pending.lender_ });
        }
    }
    std::vector<LoanOffer> chosen;
    for (const LoanOffer& offer : offers) {
        if (inFlight + chosen.size() >= table.options_.maxPendingLoans_)
            break;
        if (!asked.contains(offer))
            chosen.push_back(offer);
    }
    return chosen;
}

BorrowRequest borrow(SlotTable& table, TimePoint now, const std::string& upstream, const std::string& lender,
    Duration duration)
{
    const LoanId id { table.host_, table.incarnation_, table.nextSerial_++ };
    UpstreamSlots& slots = table.upstreams_.try_emplace(upstream).first->second;
    slots.pending_.push_back({ id, lender, now, duration });
    return { id, upstream, duration };
}

std::optional<Loan> lend(SlotTable& table, TimePoint now, TimePoint leaseEnds, const BorrowRequest& request)
{
    UpstreamSlots* slots = detail::findUpdated(table, now, request.upstream_);
    if (!slots || leaseEnds <= now || request.duration_ <= Duration::zero())
        return std::nullopt;
    // The next home waits only for loans of at most the longest timeout.
    const Duration duration = std::min(request.duration_, slots->upstream_.longestTimeout_);
    for (const HomeSlot& slot : slots->home_) {
        if (slot.use_ == SlotUse::Lent && slot.loan_ == request.id_)
            return Loan { request.id_, slot.id_, duration };
    }
    // The loan includes one connection.
    if (detail::connectionLimitOf(*slots, now) < slots->openConnections_ + 1)
        return std::nullopt;
    for (HomeSlot& slot : slots->home_) {
        if (!detail::canStart(slot))
            continue;
        slot.use_ = SlotUse::Lent;
        slot.loan_ = request.id_;
        slot.useEnds_ = now + duration + table.options_.clockMargin_ + table.options_.upstreamKeepAlive_;
        return Loan { request.id_, slot.id_, duration };
    }
    return std::nullopt;
}

std::optional<AddressedLoanReturn> acceptLoan(
    SlotTable& table, TimePoint now, const std::string& lender, const Loan& loan)
{
    UpstreamSlots* slots = detail::findUpdated(table, now, loan.slot_.upstream_);
    const AddressedLoanReturn unwanted { lender, { loan.id_, loan.slot_ } };
    if (!slots)
        return unwanted;
    for (const BorrowedSlot& slot : slots->borrowed_) {
        if (slot.id_ == loan.id_)
            return std::nullopt;
    }
    const auto pending = std::find_if(slots->pending_.begin(), slots->pending_.end(),
        [&](const PendingBorrow& borrow) { return borrow.id_ == loan.id_ && borrow.lender_ == lender; });
    if (pending == slots->pending_.end())
        return unwanted;
    BorrowedSlot slot;
    slot.id_ = loan.id_;
    slot.slot_ = loan.slot_;
    slot.lender_ = lender;
    slot.ends_ = pending->sent_ + std::min(loan.duration_, pending->duration_);
    slots->pending_.erase(pending);
    if (slot.ends_ <= now)
        return unwanted;
    slots->borrowed_.push_back(slot);
    return std::nullopt;
}

std::vector<AddressedLoanReturn> returnIdleLoans(
    SlotTable& table, TimePoint now, const std::string& upstream, uint32_t keep)
{
    std::vector<AddressedLoanReturn> returns;
    if (UpstreamSlots* slots = detail::findUpdated(table, now, upstream)) {
        size_t kept = 0;
        for (BorrowedSlot& slot : slots->borrowed_) {
            if (!slot.running_ && ++kept > keep)
                slot.discarded_ = true;
        }
        detail::returnDiscarded(*slots, now, returns);
    }
    return returns;
}

void applyReturn(SlotTable& table, TimePoint now, const LoanReturn& returned)
{
    UpstreamSlots* slots = detail::findUpdated(table, now, returned.slot_.upstream_);
    HomeSlot* slot = slots ? detail::findHome(*slots, returned.slot_) : nullptr;
    if (!slot || slot->use_ != SlotUse::Lent || slot->loan_ != returned.id_)
        return;
    slot->use_ = SlotUse::None;
    detail::expireEntries(table, *slots, now);
}

std::vector<SlotRelease> releases(const SlotTable& table, TimePoint now)
{
    std::vector<SlotRelease> list;
    for (const TimedRelease& release : table.releases_) {
        if (now < release.expires_)
            list.push_back(release.release_);
    }
    return list;
}

void applyRelease(SlotTable& table, TimePoint now, const SlotRelease& release)
{
    UpstreamSlots* slots = detail::findUpdated(table, now, release.slot_.upstream_);
    HomeSlot* slot = slots ? detail::findHome(*slots, release.slot_) : nullptr;
    // After an older release the slot may have had another home that this host did not see.
    if (!slot || !slot->waiting_ || release.last_ + 1 != slot->gainedIn_)
        return;
    slot->waiting_ = false;
    detail::expireEntries(table, *slots, now);
}

std::vector<AddressedLoanReturn> discardLoans(SlotTable& table, TimePoint now)
{
    std::vector<AddressedLoanReturn> returns;
    for (auto& [name, slots] : table.upstreams_) {
        slots.pending_.clear();
        for (BorrowedSlot& slot : slots.borrowed_)
            slot.discarded_ = true;
        detail::expireEntries(table, slots, now);
        detail::returnDiscarded(slots, now, returns);
    }
    return returns;
}

uint32_t connectionLimit(const SlotTable& table, TimePoint now, const std::string& upstream)
{
    const auto found = table.upstreams_.find(upstream);
    return found == table.upstreams_.end() ? 0 : detail::connectionLimitOf(found->second, now);
}

bool openConnection(SlotTable& table, TimePoint now, TimePoint leaseEnds, const std::string& upstream)
{
    UpstreamSlots* slots = detail::findUpdated(table, now, upstream);
    if (!slots || leaseEnds <= now || slots->openConnections_ >= detail::connectionLimitOf(*slots, now))
        return false;
    ++slots->openConnections_;
    return true;
}

void closeConnection(SlotTable& table, TimePoint now, const std::string& upstream)
{
    const auto found = table.upstreams_.find(upstream);
    if (found == table.upstreams_.end() || found->second.openConnections_ == 0)
        return;
    --found->second.openConnections_;
    detail::expireEntries(table, found->second, now);
}

uint32_t connectionsToClose(
    const SlotTable& table, TimePoint now, TimePoint leaseEnds, const std::string& upstream)
{
    const auto found = table.upstreams_.find(upstream);
    if (found == table.upstreams_.end())
        return 0;
    const uint32_t limit = leaseEnds <= now ? 0 : detail::connectionLimitOf(found->second, now);
    return found->second.openConnections_ > limit ? found->second.openConnections_ - limit : 0;
}

} // namespace turmericwing::routing
