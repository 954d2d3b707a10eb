// Answers counted during a ramp by all hosts, also by those that have ended since.
//
// Each host reports what it has counted itself. The ledger keeps the last counts of every sender, so that a
// host that ends, freezes or is cut off takes no evidence with it, and its counts are not added twice when it
// returns. A process that starts during a ramp takes over a total that covers the ramp from its start, from a
// peer or from the store, and adds only what is counted from then on.
#pragma once

#include "turmericwing/rollout/ramp.h"

#include <cstdint>
#include <map>
#include <string>

namespace turmericwing::rollout {

/// Whose counts they are: one run of a host, or a failure domain, whose sums do not start again.
struct CountsSender {
    std::string name_;
    uint64_t incarnation_ = 0; ///< 0 for a failure domain.
    friend auto operator<=>(const CountsSender&, const CountsSender&) = default;
};

/// Counts of one sender.
struct SenderCounts {
    RampCounts inBase_; ///< Part that the ledger's base includes.
    RampCounts last_; ///< Never decreases; without overdue requests.
    friend bool operator==(const SenderCounts&, const SenderCounts&) = default;
};

/// Answers of all hosts. Overdue requests are not part of it: those of a host end with the host.
struct EvidenceLedger {
    RampTotal base_; ///< Empty if this process has counted from the start.
    bool adopted_ = false; ///< The base was taken over. What a sender had counted before is part of it.
    std::map<CountsSender, SenderCounts> senders_;
};

/// Sets the counts of a sender. Counts lower than the last ones are older and change nothing.
void recordCounts(EvidenceLedger&, const CountsSender&, const RampCounts&);

/// Takes over a total that covers the ramp from its start, if the ledger does not. Returns whether it did.
bool adoptTotal(EvidenceLedger&, const RampTotal&);

/// Returns the answers of all hosts.
RampTotal ledgerTotal(const EvidenceLedger&);

} // namespace turmericwing::rollout
