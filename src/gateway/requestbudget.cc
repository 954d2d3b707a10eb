// Decides which requests get memory.
#include "turmericwing/gateway/requestbudget.h"

#include <algorithm>
#include <optional>

namespace turmericwing::gateway {

namespace detail {

    /// The reserve for small requests is this part of the limit: 1 / 16.
    constexpr uint64_t reserveDivisor = 16;
    /// Waiting requests may take this part of the limit of the system: 1 / 16.
    constexpr uint64_t waitingDivisor = 16;
    /// Most that the system may have received for a waiting request, bytes.
    constexpr uint64_t waitingBytes = uint64_t { 64 } << 10;

    bool isSmall(const RequestBudget& budget, uint64_t bytes) { return bytes <= budget.options_.smallBytes_; }

    uint64_t largePart(const RequestBudget& budget, uint64_t bytes)
    {
        return isSmall(budget, bytes) ? 0 : bytes;
    }

    /// Whether a request waits that came before and wants no more.
    bool isBehind(const RequestBudget& budget, uint64_t request, uint64_t bytes, TimePoint waitsSince)
    {
        return std::any_of(budget.unfinished_.begin(), budget.unfinished_.end(), [&](const auto& other) {
            const UnfinishedRequest& use = other.second;
            return other.first != request && use.wantedBytes_ > 0 && use.wantedBytes_ <= bytes
                && use.waitsSince_ < waitsSince;
        });
    }

    /// Bytes that are missing for a request to hold `bytes`, as others hold `heldBytes`, of which large ones
    /// hold `largeBytes`.
    uint64_t missingBytes(
        const RequestBudget& budget, uint64_t heldBytes, uint64_t largeBytes, uint64_t bytes)
    {
        const uint64_t reserved = isSmall(budget, bytes) ? 0 : budget.options_.reserve_;
        const uint64_t smallBytes = heldBytes - largeBytes;
        const uint64_t needed = budget.takenBytes_ + largeBytes + std::max(reserved, smallBytes) + bytes;
        return needed - std::min(needed, budget.options_.limit_);
    }

    uint64_t missingBytes(const RequestBudget& budget, const UnfinishedRequest& own, uint64_t bytes)
    {
        return missingBytes(budget, budget.heldBytes_ - own.bytes_,
            budget.largeBytes_ - largePart(budget, own.bytes_), bytes);
    }

    /// Whether `use` may end so that a request of `bytes` has room.
    bool yieldsTo(const RequestBudget& budget, const UnfinishedRequest& use, uint64_t bytes, TimePoint now)
    {
        return isStalled(budget, use, now) && (isSmall(budget, bytes) || !isSmall(budget, use.bytes_));
    }

    /// Whether a large request would have room if all stalled ones ended.
    bool stalledSuffice(const RequestBudget& budget, uint64_t request, const UnfinishedRequest& own,
        uint64_t bytes, TimePoint now)
    {
        uint64_t stalledBytes = 0;
        for (const auto& [other, use] : budget.unfinished_) {
            if (other != request && yieldsTo(budget, use, bytes, now))
                stalledBytes += use.bytes_;
        }
        const uint64_t ownLarge = largePart(budget, own.bytes_);
        return missingBytes(budget, budget.heldBytes_ - own.bytes_ - stalledBytes,
                   budget.largeBytes_ - ownLarge - stalledBytes, bytes)
            == 0;
    }

    std::optional<uint64_t> oldestStalled(
        const RequestBudget& budget, uint64_t request, uint64_t bytes, TimePoint now)
    {
        std::optional<uint64_t> oldest;
        TimePoint oldestAt = TimePoint::max();
        for (const auto& [other, use] : budget.unfinished_) {
            if (other == request || use.progressAt_ >= oldestAt || !yieldsTo(budget, use, bytes, now))
                continue;
            oldest = other;
            oldestAt = use.progressAt_;
        }
        return oldest;
    }

    std::optional<uint64_t> largestUnfinished(const RequestBudget& budget, uint64_t request)
    {
        std::optional<uint64_t> largest;
        uint64_t largestBytes = budget.options_.smallBytes_;
        for (const auto& [other, use] : budget.unfinished_) {
            if (other == request || use.bytes_ <= largestBytes)
                continue;
            largest = other;
            largestBytes = use.bytes_;
        }
        return largest;
    }

    /// Ends unfinished requests until the request has room, if that is possible.
    void makeRoom(RequestBudget& budget, uint64_t request, const UnfinishedRequest& own, uint64_t bytes,
        TimePoint now, std::vector<uint64_t>& ended)
    {
        const bool small = isSmall(budget, bytes);
        if (missingBytes(budget, own, bytes) == 0)
            return;
        if (!small && !stalledSuffice(budget, request, own, bytes, now))
            return;
        while (missingBytes(budget, own, bytes) > 0) {
            auto victim = oldestStalled(budget, request, bytes, now);
            if (!victim && small)
                victim = largestUnfinished(budget, request);
            if (!victim)
                return;
            releaseRequest(budget, *victim);
            ended.push_back(*victim);
            ++budget.endedCount_;
        }
    }

} // namespace detail

RequestBudgetOptions requestBudgetOptions(uint64_t limitBytes)
{
    return { .limit_ = limitBytes,
        .reserve_ = limitBytes / detail::reserveDivisor,
        .maxWaiting_ = static_cast<size_t>(limitBytes / detail::waitingDivisor / detail::waitingBytes) };
}

Claim claimRoom(RequestBudget& budget, uint64_t request, uint64_t bytes, TimePoint now)
{
    Claim claim;
    UnfinishedRequest& own
        = budget.unfinished_.try_emplace(request, UnfinishedRequest { .progressAt_ = now }).first->second;
    const bool waited = own.wantedBytes_ > 0;
    const bool mayWait = !detail::isSmall(budget, bytes) && detail::isSmall(budget, own.bytes_);
    const bool isBehind
        = mayWait && detail::isBehind(budget, request, bytes, waited ? own.waitsSince_ : TimePoint::max());
    if (!isBehind)
        detail::makeRoom(budget, request, own, bytes, now, claim.ended_);
    if (bytes <= own.bytes_ || (!isBehind && detail::missingBytes(budget, own, bytes) == 0)) {
        changeHeld(budget, own.bytes_, bytes);
        own.bytes_ = bytes;
        own.wantedBytes_ = 0;
        own.progressAt_ = waited ? now : own.progressAt_;
        return claim;
    }
    const bool everFits = bytes + budget.options_.reserve_ + budget.lastingBytes_ <= budget.options_.limit_;
    const bool queueHasRoom = waited || waitingCount(budget) < budget.options_.maxWaiting_;
    if (mayWait && everFits && queueHasRoom) {
        own.waitsSince_ = waited ? own.waitsSince_ : now;
        own.wantedBytes_ = bytes;
        claim.room_ = Room::Waits;
        return claim;
    }
    ++budget.refusedCount_;
    claim.room_ = Room::Refused;
    return claim;
}

void recordReceived(RequestBudget& budget, uint64_t request, uint64_t receivedBytes, TimePoint now)
{
    const auto known = budget.unfinished_.find(request);
    if (known == budget.unfinished_.end())
        return;
    UnfinishedRequest& own = known->second;
    if (receivedBytes - own.receivedBytes_ < budget.options_.progressBytes_)
        return;
    own.receivedBytes_ = receivedBytes;
    own.progressAt_ = now;
}

uint64_t releaseRequest(RequestBudget& budget, uint64_t request)
{
    const auto known = budget.unfinished_.find(request);
    if (known == budget.unfinished_.end())
        return 0;
    const uint64_t bytes = known->second.bytes_;
    changeHeld(budget, bytes, 0);
    budget.unfinished_.erase(known);
    return bytes;
}

void changeHeld(RequestBudget& budget, uint64_t from, uint64_t to)
{
    budget.heldBytes_ += to - from;
    budget.largeBytes_ += detail::largePart(budget, to) - detail::largePart(budget, from);
}

bool isStalled(const RequestBudget& budget, const UnfinishedRequest& use, TimePoint now)
{
    return use.wantedBytes_ == 0 && now - use.progressAt_ >= budget.options_.stallTime_;
}

bool hasRoomToReadAhead(const RequestBudget& budget, uint64_t bytes)
{
    return budget.takenBytes_ + budget.heldBytes_ + bytes + budget.options_.reserve_
        <= budget.options_.limit_;
}

size_t waitingCount(const RequestBudget& budget)
{
    return static_cast<size_t>(std::count_if(budget.unfinished_.begin(), budget.unfinished_.end(),
        [](const auto& request) { return request.second.wantedBytes_ > 0; }));
}

} // namespace turmericwing::gateway
