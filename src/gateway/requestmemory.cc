// Shares the memory of a host between requests, answers and connections.
#include "turmericwing/gateway/requestmemory.h"

#include <algorithm>

namespace turmericwing::gateway {

namespace detail {

    /// Returns bytes to the budget when it is destroyed.
    struct HeldBytes {
        HeldBytes(std::shared_ptr<RequestMemory> memory, uint64_t bytes, uint64_t bodyBytes)
            : memory_(std::move(memory))
            , bytes_(bytes)
            , bodyBytes_(bodyBytes)
        {
            changeHeld(memory_->budget_, 0, bytes_);
            memory_->bodyBytes_ += bodyBytes_;
        }
        ~HeldBytes()
        {
            changeHeld(memory_->budget_, bytes_, 0);
            memory_->bodyBytes_ -= bodyBytes_;
        }
        HeldBytes(const HeldBytes&) = delete;
        HeldBytes& operator=(const HeldBytes&) = delete;

        const std::shared_ptr<RequestMemory> memory_;
        const uint64_t bytes_;
        const uint64_t bodyBytes_;
    };

    /// Brings what requests cannot use up to date, as another request asks for `bytes`.
    void updateTaken(RequestMemory& memory, uint64_t bytes, TimePoint now)
    {
        const HostMemoryOptions& options = memory.host_.options_;
        if (options.limit_ == 0)
            return;
        RequestBudget& budget = memory.budget_;
        const uint64_t answers = memory.answers_->heldBytes_;
        const uint64_t heap = budget.heldBytes_ - std::min(budget.heldBytes_, memory.bodyBytes_);
        measureMemory(memory.host_, budget.heldBytes_ + answers + bytes, heap, now);
        const uint64_t others = otherBytes(memory.host_);
        budget.takenBytes_ = others + std::max(answers, options.answerReserve_);
        budget.lastingBytes_ = others + options.answerReserve_;
    }

    /// Time without progress after which an answer may end in favour of others.
    constexpr Duration unreadTime = std::chrono::seconds(1);

    /// Ends the answer that has waited longest for its caller. Returns whether there was one.
    bool endUnreadAnswer(RequestMemory& memory, TimePoint since, std::optional<uint64_t> except = {})
    {
        const auto unread = unreadAnswer(*memory.answers_, since, except);
        if (!unread)
            return false;
        endSending(*memory.answers_, *unread);
        ++memory.unreadCount_;
        const auto handler = memory.onUnread_.find(*unread);
        if (handler != memory.onUnread_.end())
            handler->second();
        return true;
    }

    Room claimOnce(RequestMemory& memory, uint64_t request, uint64_t bytes, TimePoint now)
    {
        updateTaken(memory, bytes, now);
        const Claim claim = claimRoom(memory.budget_, request, bytes, now);
        for (const uint64_t ended : claim.ended_) {
            const auto handler = memory.onEnded_.find(ended);
            if (handler != memory.onEnded_.end())
                handler->second();
        }
        return claim.room_;
    }

} // namespace detail

std::shared_ptr<RequestMemory> makeRequestMemory(uint64_t memoryBytes)
{
    const HostMemoryOptions host = hostMemoryOptions(memoryBytes);
    return std::make_shared<RequestMemory>(
        RequestMemory { .budget_ = { .options_ = requestBudgetOptions(host.limit_) },
            .host_ = { .options_ = host },
            .answers_ = std::make_shared<AnswerBudget>(AnswerBudget { .limit_ = host.mostAnswerBytes_ }) });
}

Room claimMemory(RequestMemory& memory, uint64_t request, uint64_t bytes, TimePoint now)
{
    Room room = detail::claimOnce(memory, request, bytes, now);
    while (room != Room::Granted && memory.answers_->heldBytes_ > memory.host_.options_.answerReserve_
        && detail::endUnreadAnswer(memory, now - detail::unreadTime, request))
        room = detail::claimOnce(memory, request, bytes, now);
    return room;
}

bool claimConnection(RequestMemory& memory, TimePoint now)
{
    if (memory.host_.options_.limit_ == 0)
        return true;
    const uint64_t number = ++memory.lastNumber_;
    const Room room = claimMemory(memory, number, callerWindowBytes, now);
    releaseRequest(memory.budget_, number);
    return room == Room::Granted;
}

bool hasRoomToReadAhead(const RequestMemory& memory, uint64_t bytes)
{
    return hasRoomToReadAhead(memory.budget_, bytes);
}

void updateAnswerLimit(RequestMemory& memory, TimePoint now)
{
    const HostMemoryOptions& options = memory.host_.options_;
    if (options.limit_ == 0)
        return;
    detail::updateTaken(memory, 0, now);
    const RequestBudget& budget = memory.budget_;
    const uint64_t smallBytes = budget.heldBytes_ - budget.largeBytes_;
    const uint64_t requests = budget.largeBytes_ + std::max(smallBytes, budget.options_.reserve_);
    const uint64_t others = otherBytes(memory.host_) + requests;
    const uint64_t left = options.limit_ - std::min(options.limit_, others);
    memory.answers_->limit_ = std::clamp(left, options.answerReserve_, options.mostAnswerBytes_);
    while (memory.answers_->heldBytes_ > memory.answers_->limit_
        && detail::endUnreadAnswer(memory, now - detail::unreadTime)) { }
}

void endUnreadAnswers(RequestMemory& memory, TimePoint since)
{
    while (detail::endUnreadAnswer(memory, since)) { }
}

std::shared_ptr<const void> holdBytes(
    const std::shared_ptr<RequestMemory>& memory, uint64_t bytes, uint64_t bodyBytes)
{
    return std::make_shared<detail::HeldBytes>(memory, bytes, bodyBytes);
}

} // namespace turmericwing::gateway
