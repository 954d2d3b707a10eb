// Checks the records of callers and upstreams for violated invariants.
#include "ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericwing::soak {

namespace {

    using ExecutionsById = std::multimap<std::string, const Execution*>;

    bool meansNotExecuted(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    void checkAttempt(
        const Attempt& attempt, const ExecutionsById& executions, std::vector<Violation>& violations)
    {
        const auto [first, last] = executions.equal_range(attempt.id_);
        const auto count = std::distance(first, last);
        if (attempt.write_ && count > 1)
            violations.push_back({ "a write is executed at most once",
                attempt.id_ + " ran " + std::to_string(count) + " times, first at "
                    + first->second->upstream_ });
        if (attempt.write_ && meansNotExecuted(attempt.status_) && count > 0)
            violations.push_back({ "a request rejected as not executed was not executed",
                attempt.id_ + " got status " + std::to_string(attempt.status_) + " from " + attempt.host_ });
        if (attempt.status_ / 100 != 2)
            return;
        const bool complete = std::any_of(first, last, [&](const auto& entry) {
            const std::string& upstream = entry.second->upstream_;
            return attempt.body_ == expectedBody(attempt.id_, upstream)
                && attempt.signature_ == expectedSignature(attempt.id_, upstream);
        });
        if (!complete)
            violations.push_back({ "a success is the complete upstream response to that request",
                attempt.id_ + " from " + attempt.host_ + ": '" + attempt.body_.substr(0, 80) + "'" });
    }

    void checkExecution(const Execution& execution, const std::map<std::string, const Attempt*>& attempts,
        std::vector<Violation>& violations)
    {
        const std::string context = execution.id_ + " at " + execution.upstream_;
        const auto attempt = attempts.find(execution.id_);
        if (attempt == attempts.end()) {
            violations.push_back({ "upstreams execute only requests that callers sent", context });
            return;
        }
        if (execution.request_ != expectedRequest(execution.id_, attempt->second->write_))
            violations.push_back(
                { "requests arrive unchanged", context + ": '" + execution.request_.substr(0, 80) + "'" });
        if (execution.workspace_ != attempt->second->workspace_)
            violations.push_back({ "upstreams receive the workspace of the API key",
                context + ": '" + execution.workspace_ + "'" });
        if (execution.keyReceived_)
            violations.push_back({ "upstreams never receive an API key", context });
    }

    bool overlapsFault(
        const std::vector<FaultInterval>& intervals, const std::string& host, TimePoint from, TimePoint to)
    {
        return std::any_of(intervals.begin(), intervals.end(), [&](const FaultInterval& interval) {
            return (interval.host_.empty() || interval.host_ == host) && interval.from_ <= to
                && interval.to_ >= from;
        });
    }

    /// Only a killed or paused process excuses a missing response; a graceful stop and store faults do not.
    void checkResponses(
        const Records& records, const ExecutionsById& executions, std::vector<Violation>& violations)
    {
        std::vector<FaultInterval> processFaults;
        std::copy_if(records.faultIntervals_.begin(), records.faultIntervals_.end(),
            std::back_inserter(processFaults),
            [](const FaultInterval& interval) { return interval.kind_ == FaultKind::Process; });
        for (const Attempt& attempt : records.attempts_) {
            if (attempt.status_ != 0 || !executions.contains(attempt.id_)
                || overlapsFault(processFaults, attempt.host_, attempt.sentAt_, attempt.endedAt_))
                continue;
            violations.push_back(
                { "an executed request gets a response", attempt.id_ + " from " + attempt.host_ });
        }
    }

    void checkDrainedUpstreams(const Records& records, const CheckOptions& options,
        const std::map<std::string, const Attempt*>& attempts, std::vector<Violation>& violations)
    {
        std::map<std::string, TimePoint> drainStartedAt;
        for (const UpstreamDrain& drain : records.drains_)
            drainStartedAt[drain.upstream_] = drain.at_;
        for (const Execution& execution : records.executions_) {
            const auto drain = drainStartedAt.find(execution.upstream_);
            const auto attempt = attempts.find(execution.id_);
            if (drain == drainStartedAt.end() || attempt == attempts.end())
                continue;
            const bool late = execution.at_ > drain->second + options.drainTime_;
            const std::string& host = attempt->second->host_;
            if (late
                && !overlapsFault(
                    records.faultIntervals_, host, drain->second - options.storeContactBound_, execution.at_))
                violations.push_back({ "a drained upstream receives no requests",
                    execution.id_ + " at " + execution.upstream_ + " from " + host });
        }
    }

    using AttemptsById = std::map<std::string, const Attempt*>;

    /// Whether the process of the host that received an announcement was replaced or paused until `to`.
    /// Faults of the store excuse nothing, because the host has the announcement.
    bool hasLostAnnouncements(const Records& records, const std::string& host, TimePoint from, TimePoint to)
    {
        std::vector<FaultInterval> processFaults;
        std::copy_if(records.faultIntervals_.begin(), records.faultIntervals_.end(),
            std::back_inserter(processFaults), [](const FaultInterval& interval) {
                return interval.kind_ == FaultKind::Process || interval.kind_ == FaultKind::Start;
            });
        return overlapsFault(processFaults, host, from, to);
    }

    /// The last arrival that the host of `passedOn` sent to the upstream for requests that callers sent later
    /// than `from`, and their number. Only arrivals before `to` count.
    std::pair<const Arrival*, size_t> lateArrivals(const Records& records, const AttemptsById& attempts,
        const Announcement& announcement, const Attempt& passedOn, TimePoint from, TimePoint to)
    {
        std::pair<const Arrival*, size_t> late { nullptr, 0 };
        for (const Arrival& arrival : records.arrivals_) {
            if (arrival.upstream_ != announcement.upstream_ || arrival.at_ <= from || arrival.at_ >= to)
                continue;
            const auto attempt = attempts.find(arrival.id_);
            if (attempt == attempts.end() || attempt->second->host_ != passedOn.host_
                || attempt->second->sentAt_ <= from
                || hasLostAnnouncements(records, passedOn.host_, announcement.at_, arrival.at_))
                continue;
            late = { &arrival, late.second + 1 };
        }
        return late;
    }

    std::string describe(const Announcement& announcement, const Attempt& passedOn, const Arrival& arrival)
    {
        return arrival.id_ + " at " + arrival.upstream_ + " from " + passedOn.host_ + ", announced to "
            + announcement.id_;
    }

    void checkLeaving(const Records& records, const CheckOptions& options, const AttemptsById& attempts,
        const Announcement& announcement, const Attempt& attempt, std::vector<Violation>& violations)
    {
        const bool passedOn = attempt.status_ / 100 == 2
            && attempt.body_ == expectedBody(attempt.id_, announcement.upstream_);
        if (!passedOn)
            return;
        const auto [arrival, count] = lateArrivals(records, attempts, announcement, attempt,
            attempt.endedAt_ + options.drainTime_, TimePoint::max());
        if (count > 0)
            violations.push_back({ "an upstream that announced its leaving receives no requests",
                describe(announcement, attempt, *arrival) });
    }

    void checkPause(const Records& records, const CheckOptions& options, const AttemptsById& attempts,
        const Announcement& announcement, const Attempt& attempt, std::vector<Violation>& violations)
    {
        // A write gets one of these statuses only if its host has received the refusal; without it the write
        // may have run.
        const bool received = attempt.write_ && (attempt.status_ / 100 == 2 || attempt.status_ == 503);
        if (!received)
            return;
        const TimePoint from = std::max(announcement.at_ + options.pauseGrace_, attempt.endedAt_);
        const auto [arrival, count]
            = lateArrivals(records, attempts, announcement, attempt, from, announcement.pausedUntil_);
        if (count > options.maxDuringPause_)
            violations.push_back({ "an upstream that asked for a pause receives at most two requests in it",
                std::to_string(count) + ", the last " + describe(announcement, attempt, *arrival) });
    }

    void checkAnnouncements(const Records& records, const CheckOptions& options, const AttemptsById& attempts,
        std::vector<Violation>& violations)
    {
        for (const Announcement& announcement : records.announcements_) {
            const auto attempt = attempts.find(announcement.id_);
            if (attempt == attempts.end())
                continue;
            const auto check = announcement.pausedUntil_ == TimePoint() ? checkLeaving : checkPause;
            check(records, options, attempts, announcement, *attempt->second, violations);
        }
    }

} // namespace

std::string expectedBody(const std::string& id, const std::string& upstream)
{
    return "answer to " + id + " by " + upstream;
}

std::string expectedSignature(const std::string& id, const std::string& upstream)
{
    return "signed-" + upstream + "-" + id;
}

std::string expectedRequest(const std::string& id, bool write)
{
    return write ? "POST /write/" + id + " body of " + id : "GET /read/" + id + " ";
}

std::vector<Violation> checkRecords(const Records& records, const CheckOptions& options)
{
    ExecutionsById executions;
    for (const Execution& execution : records.executions_)
        executions.emplace(execution.id_, &execution);
    std::map<std::string, const Attempt*> attempts;
    for (const Attempt& attempt : records.attempts_)
        attempts[attempt.id_] = &attempt;
    std::vector<Violation> violations;
    for (const Attempt& attempt : records.attempts_)
        checkAttempt(attempt, executions, violations);
    for (const Execution& execution : records.executions_)
        checkExecution(execution, attempts, violations);
    checkResponses(records, executions, violations);
    checkDrainedUpstreams(records, options, attempts, violations);
    checkAnnouncements(records, options, attempts, violations);
    return violations;
}

} // namespace turmericwing::soak
