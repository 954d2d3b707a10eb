// Accounting of the bytes of answers.
#include "turmericwing/gateway/answerbudget.h"

#include <algorithm>

namespace turmericwing::gateway {

namespace detail {

    /// Returns the bytes of a complete answer when it is destroyed.
    struct CompleteAnswer {
        CompleteAnswer(std::shared_ptr<AnswerBudget> budget, uint64_t bytes)
            : budget_(std::move(budget))
            , bytes_(bytes)
        {
            budget_->heldBytes_ += bytes_;
        }
        ~CompleteAnswer() { budget_->heldBytes_ -= bytes_; }
        CompleteAnswer(const CompleteAnswer&) = delete;
        CompleteAnswer& operator=(const CompleteAnswer&) = delete;

        const std::shared_ptr<AnswerBudget> budget_;
        const uint64_t bytes_;
    };

} // namespace detail

void holdUnfinished(AnswerBudget& budget, uint64_t answer, uint64_t bytes)
{
    uint64_t& known = budget.unfinished_[answer];
    budget.heldBytes_ += bytes - known;
    known = bytes;
}

void releaseUnfinished(AnswerBudget& budget, uint64_t answer)
{
    const auto known = budget.unfinished_.find(answer);
    if (known == budget.unfinished_.end())
        return;
    budget.heldBytes_ -= known->second;
    budget.unfinished_.erase(known);
}

std::optional<uint64_t> answerToEnd(const AnswerBudget& budget)
{
    if (budget.heldBytes_ <= budget.limit_ || budget.unfinished_.empty())
        return std::nullopt;
    return std::max_element(budget.unfinished_.begin(), budget.unfinished_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
}

void beginSending(AnswerBudget& budget, uint64_t connection, TimePoint now)
{
    budget.sending_[connection] = { .progressAt_ = now };
}

void recordSent(AnswerBudget& budget, uint64_t connection, uint64_t sentBytes, TimePoint now)
{
    const auto known = budget.sending_.find(connection);
    if (known != budget.sending_.end() && sentBytes > known->second.sentBytes_)
        known->second = { .sentBytes_ = sentBytes, .progressAt_ = now };
}

void endSending(AnswerBudget& budget, uint64_t connection) { budget.sending_.erase(connection); }

std::optional<uint64_t> unreadAnswer(
    const AnswerBudget& budget, TimePoint since, std::optional<uint64_t> except)
{
    std::optional<uint64_t> unread;
    TimePoint unreadSince = since;
    for (const auto& [connection, answer] : budget.sending_) {
        if (connection == except || answer.progressAt_ > unreadSince)
            continue;
        unread = connection;
        unreadSince = answer.progressAt_;
    }
    return unread;
}

std::shared_ptr<const void> holdComplete(const std::shared_ptr<AnswerBudget>& budget, uint64_t bytes)
{
    return std::make_shared<detail::CompleteAnswer>(budget, bytes);
}

} // namespace turmericwing::gateway
