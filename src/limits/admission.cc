// Start-time fair queueing with start deadlines.
#include "turmericwing/limits/admission.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::limits {

namespace detail {

    double serviceSeconds(const Admission& admission, const AdmissionOptions& options)
    {
        return admission.serviceSeconds_ > 0 ? admission.serviceSeconds_ : seconds(options.initialService_);
    }

    double nextStartTag(const Admission& admission, const std::string& workspace, double weight,
        const AdmissionOptions& options)
    {
        // Without fairness, tags count arrivals, so requests start in order of arrival.
        if (!options.fair_) {
            double last = admission.virtualTime_;
            for (const auto& [name, queue] : admission.workspaces_)
                last = std::max(last, queue.finishTag_);
            return last;
        }
        const double earliest = admission.virtualTime_ - options.credit_ / weight;
        const auto found = admission.workspaces_.find(workspace);
        return found == admission.workspaces_.end() ? earliest : std::max(earliest, found->second.finishTag_);
    }

    // Erases workspaces that are idle and have their full credit; a new entry would start in the same state.
    void eraseIdleWorkspaces(Admission& admission, const AdmissionOptions& options)
    {
        std::erase_if(admission.workspaces_, [&](const auto& entry) {
            return entry.second.queue_.empty()
                && entry.second.finishTag_ <= admission.virtualTime_ - options.credit_ / entry.second.weight_;
        });
    }

    void refuseExpired(Admission& admission, TimePoint now, AdmissionChanges& changes)
    {
        for (auto& [name, queue] : admission.workspaces_) {
            // A queue is not sorted by deadline, so every entry is checked.
            std::erase_if(queue.queue_, [&](const QueuedRequest& request) {
                if (request.startBy_ > now)
                    return false;
                changes.refuse_.push_back(request.id_);
                --admission.queued_;
                return true;
            });
        }
    }

    void startQueued(Admission& admission, size_t concurrency, TimePoint now, AdmissionChanges& changes)
    {
        while (admission.running_ < concurrency && admission.queued_ > 0) {
            WorkspaceQueue* best = nullptr;
            for (auto& [name, queue] : admission.workspaces_)
                if (!queue.queue_.empty()
                    && (!best || queue.queue_.front().startTag_ < best->queue_.front().startTag_))
                    best = &queue;
            const QueuedRequest request = best->queue_.front();
            best->queue_.pop_front();
            --admission.queued_;
            if (request.startBy_ <= now) {
                changes.refuse_.push_back(request.id_);
                continue;
            }
            admission.virtualTime_ = std::max(admission.virtualTime_, request.startTag_);
            ++admission.running_;
            changes.start_.push_back(request.id_);
        }
    }

} // namespace detail

Duration expectedWait(const Admission& admission, const std::string& workspace, double weight,
    size_t concurrency, const AdmissionOptions& options)
{
    if (concurrency == 0)
        return Duration::max();
    if (admission.running_ < concurrency && admission.queued_ == 0)
        return Duration(0);
    const double tag = detail::nextStartTag(admission, workspace, weight, options);
    double ahead = 1; // One running request has to finish first.
    for (const auto& [name, queue] : admission.workspaces_) {
        const auto before = std::count_if(queue.queue_.begin(), queue.queue_.end(),
            [&](const QueuedRequest& request) { return request.startTag_ <= tag; });
        ahead += static_cast<double>(before);
        // A workspace with a backlog sends further requests; up to its share they start before this one.
        if (options.fair_ && name != workspace && !queue.queue_.empty() && queue.finishTag_ < tag)
            ahead += (tag - queue.finishTag_) * queue.weight_;
    }
    const double wait = ahead * detail::serviceSeconds(admission, options) / static_cast<double>(concurrency);
    return Duration(static_cast<int64_t>(std::min(wait, 3600.0) * 1e6));
}

AdmissionDecision admit(Admission& admission, const AdmissionRequest& request, size_t concurrency,
    TimePoint now, const AdmissionOptions& options)
{
    if (request.startBy_ <= now || !(request.weight_ > 0))
        return AdmissionDecision::Refused;
    const bool startNow = admission.running_ < concurrency && admission.queued_ == 0;
    if (!startNow) {
        if (admission.queued_ >= options.maxQueued_)
            return AdmissionDecision::Refused;
        const Duration wait
            = expectedWait(admission, request.workspace_, request.weight_, concurrency, options);
        if (options.refuseEarly_ && wait >= request.startBy_ - now)
            return AdmissionDecision::Refused;
    }
    const double tag = detail::nextStartTag(admission, request.workspace_, request.weight_, options);
    auto& queue = admission.workspaces_[request.workspace_];
    queue.weight_ = request.weight_;
    queue.finishTag_ = tag + (options.fair_ ? 1 / request.weight_ : 1);
    if (startNow) {
        ++admission.running_;
        admission.virtualTime_ = std::max(admission.virtualTime_, tag);
        return AdmissionDecision::Start;
    }
    queue.queue_.push_back({ request.id_, tag, request.startBy_ });
    ++admission.queued_;
    return AdmissionDecision::Queued;
}

AdmissionChanges finishAdmitted(Admission& admission, Duration service, size_t concurrency, TimePoint now,
    const AdmissionOptions& options)
{
    admission.running_ -= admission.running_ > 0 ? 1 : 0;
    const double sample = std::max(1e-6, seconds(service));
    admission.serviceSeconds_ = admission.serviceSeconds_ <= 0
        ? sample
        : admission.serviceSeconds_ + options.serviceGain_ * (sample - admission.serviceSeconds_);
    AdmissionChanges changes;
    detail::startQueued(admission, concurrency, now, changes);
    return changes;
}

AdmissionChanges pollAdmission(
    Admission& admission, size_t concurrency, TimePoint now, const AdmissionOptions& options)
{
    AdmissionChanges changes;
    detail::refuseExpired(admission, now, changes);
    detail::startQueued(admission, concurrency, now, changes);
    // If nothing runs or is queued, no workspace has been served ahead of another, so all tags can be reset.
    if (admission.running_ == 0 && admission.queued_ == 0)
        admission.workspaces_.clear();
    detail::eraseIdleWorkspaces(admission, options);
    return changes;
}

bool cancelQueued(Admission& admission, uint64_t id)
{
    for (auto& [name, queue] : admission.workspaces_) {
        if (std::erase_if(queue.queue_, [&](const QueuedRequest& request) { return request.id_ == id; })
            > 0) {
            --admission.queued_;
            return true;
        }
    }
    return false;
}

} // namespace turmericwing::limits
