// Sums over the senders of a ramp's counts.
#include "turmericwing/rollout/ledger.h"

#include <algorithm>

namespace turmericwing::rollout {

namespace {

    uint64_t answers(const RampCounts& counts) { return counts.new_ + counts.old_; }

    RampCounts withoutOverdue(RampCounts counts)
    {
        counts.newOverdue_ = 0;
        counts.oldOverdue_ = 0;
        return counts;
    }

    uint64_t increase(uint64_t now, uint64_t before) { return now - std::min(now, before); }

    /// Increase of each count.
    RampCounts increase(const RampCounts& now, const RampCounts& before)
    {
        return { increase(now.new_, before.new_), increase(now.newFailed_, before.newFailed_),
            increase(now.newSlow_, before.newSlow_), increase(now.old_, before.old_),
            increase(now.oldFailed_, before.oldFailed_), increase(now.oldSlow_, before.oldSlow_) };
    }

} // namespace

void recordCounts(EvidenceLedger& ledger, const CountsSender& sender, const RampCounts& counts)
{
    const auto [entry, added] = ledger.senders_.try_emplace(sender);
    SenderCounts& known = entry->second;
    if (added && ledger.adopted_)
        known.inBase_ = withoutOverdue(counts);
    if (answers(counts) >= answers(known.last_))
        known.last_ = withoutOverdue(counts);
}

bool adoptTotal(EvidenceLedger& ledger, const RampTotal& total)
{
    if (!total.fromStart_ || ledger.base_.fromStart_)
        return false;
    ledger.base_ = { withoutOverdue(total.counts_), true };
    ledger.adopted_ = true;
    // What was counted before the total was made is part of it; the two cannot be told apart further.
    for (auto& [sender, known] : ledger.senders_)
        known.inBase_ = known.last_;
    return true;
}

RampTotal ledgerTotal(const EvidenceLedger& ledger)
{
    RampTotal total = ledger.base_;
    for (const auto& [sender, known] : ledger.senders_)
        total.counts_ += increase(known.last_, known.inBase_);
    return total;
}

} // namespace turmericwing::rollout
