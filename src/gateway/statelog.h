// Logs changes of the host's state: splits, rollout evidence, limits of upstreams, and peers that are no
// longer alive.
#pragma once

#include "turmericwing/gateway/requestmemory.h"
#include "turmericwing/gateway/state.h"

#include <map>
#include <set>
#include <string>

namespace turmericwing::gateway::detail {

/// Logs a change of an upstream's limit. `request` is the id of the request whose answer told it, if any did.
void logLimitChange(const LimitChange&, const std::string& request);

/// Logs what differs from the state at the previous call.
class StateLog {
public:
    /// Called once a second, which bounds the number of lines for state that changes continuously.
    void logChanges(const State&, TimePoint now);
    /// Logs how many requests found no room, connections closed and answers ended
    /// in favour of others, since the last call.
    void logRequests(const RequestMemory&);

private:
    void logSplits(const State&);
    void logEvidence(const State&);
    void logLostPeers(const State&, TimePoint now);

    std::map<std::string, std::string> loggedSplits_; ///< Shares in percent, by service.
    std::map<std::string, rollout::RampEvidence> loggedEvidence_; ///< By service.
    uint64_t refusedRequests_ = 0; ///< Logged so far.
    uint64_t endedRequests_ = 0; ///< Logged so far.
    uint64_t closedConnections_ = 0; ///< Logged so far.
    uint64_t unreadAnswers_ = 0; ///< Logged so far.
    std::set<std::string> livePeers_; ///< Names of the peers that were alive at the previous call.
};

} // namespace turmericwing::gateway::detail
