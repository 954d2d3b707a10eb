// Logs changes of the host's state.
#include "statelog.h"

#include "turmericwing/host/log.h"

#include <cmath>

namespace turmericwing::gateway::detail {

using host::logEvent;
using host::LogLevel;
using rollout::RampEvidence;

namespace {

    const char* evidenceText(RampEvidence evidence)
    {
        switch (evidence) {
        case RampEvidence::Undecided:
            return "undecided";
        case RampEvidence::Unproven:
            return "unproven";
        case RampEvidence::Suspect:
            return "suspect";
        case RampEvidence::Sound:
            break;
        }
        return "sound";
    }

    const char* sourceName(limits::LimitSource source)
    {
        switch (source) {
        case limits::LimitSource::Answer:
            return "answer";
        case limits::LimitSource::Peer:
            return "peer";
        case limits::LimitSource::Summary:
            break;
        }
        return "summary";
    }

    std::string rateText(const std::optional<double>& rate)
    {
        return rate ? std::to_string(*rate).substr(0, 8) : "none";
    }

} // namespace

void logLimitChange(const LimitChange& change, const std::string& request)
{
    logEvent(LogLevel::Info, "upstream-limit",
        { { "upstream", change.upstream_ }, { "service", change.service_ },
            { "per_s", rateText(change.after_) }, { "before", rateText(change.before_) },
            { "source", sourceName(change.source_) }, { "request", request } });
}

void StateLog::logChanges(const State& state, TimePoint now)
{
    logSplits(state);
    logEvidence(state);
    logLostPeers(state, now);
}

void StateLog::logRequests(const RequestMemory& memory)
{
    const RequestBudget& budget = memory.budget_;
    const uint64_t refused = budget.refusedCount_ - std::exchange(refusedRequests_, budget.refusedCount_);
    const uint64_t ended = budget.endedCount_ - std::exchange(endedRequests_, budget.endedCount_);
    const uint64_t closed
        = memory.connectionsClosed_ - std::exchange(closedConnections_, memory.connectionsClosed_);
    const uint64_t unread = memory.unreadCount_ - std::exchange(unreadAnswers_, memory.unreadCount_);
    if (refused + ended + closed + unread == 0)
        return;
    logEvent(LogLevel::Warning, "requests-without-memory",
        { { "refused", std::to_string(refused) }, { "ended", std::to_string(ended) },
            { "closed", std::to_string(closed) }, { "unread", std::to_string(unread) },
            { "held_bytes", std::to_string(budget.heldBytes_) },
            { "waiting", std::to_string(waitingCount(budget)) } });
}

void StateLog::logSplits(const State& state)
{
    for (const auto& [service, demand] : state.demand_) {
        std::string shares;
        for (const routing::RegionShare& entry : demand.split_) {
            const auto percent = static_cast<int>(std::lround(entry.share_ * 100));
            shares += (shares.empty() ? "" : ",") + entry.region_ + ":" + std::to_string(percent);
        }
        std::string& logged = loggedSplits_[service];
        if (shares == logged)
            continue;
        logged = shares;
        logEvent(LogLevel::Info, "split",
            { { "service", service }, { "percent", shares },
                { "asked_per_s", std::to_string(static_cast<int>(demand.unbound_.rate_)) },
                { "held_ms", std::to_string(static_cast<int>(demand.slotSeconds_ * 1000)) } });
    }
}

void StateLog::logEvidence(const State& state)
{
    for (const auto& [service, known] : state.rollouts_.ramps_) {
        RampEvidence& logged = loggedEvidence_.try_emplace(service, RampEvidence::Sound).first->second;
        if (known.evidence_ == logged)
            continue;
        logged = known.evidence_;
        const rollout::RampCounts& total = known.tests_.seen_;
        logEvent(LogLevel::Info, "rollout-evidence",
            { { "service", service }, { "to", known.ramp_.version_ },
                { "evidence", evidenceText(known.evidence_) }, { "answers", std::to_string(total.new_) },
                { "failed", std::to_string(total.newFailed_) }, { "slow", std::to_string(total.newSlow_) },
                { "overdue", std::to_string(total.newOverdue_) } });
    }
}

void StateLog::logLostPeers(const State& state, TimePoint now)
{
    std::set<std::string> alive;
    for (const auto& [name, peer] : state.fleet_.peers_) {
        if (isAlive(peer, now))
            alive.insert(name);
    }
    for (const std::string& name : livePeers_) {
        if (!alive.contains(name))
            logEvent(LogLevel::Info, "peer-lost", { { "peer", name } });
    }
    livePeers_ = std::move(alive);
}

} // namespace turmericwing::gateway::detail
