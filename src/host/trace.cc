// Ring buffer of request traces.
#include "turmericwing/host/trace.h"

namespace turmericwing::host {

namespace detail {

    /// Whether the value passes a filter; an empty filter passes everything.
    bool matches(const std::string& filter, const std::string& value)
    {
        return filter.empty() || filter == value;
    }

} // namespace detail

void TraceLog::add(RequestTrace trace)
{
    std::lock_guard lock(mutex_);
    if (entries_.size() == capacity)
        entries_.pop_front();
    entries_.push_back(std::move(trace));
}

std::vector<RequestTrace> TraceLog::search(const std::string& requestId, const std::string& service,
    const std::string& workspace, size_t limit) const
{
    std::lock_guard lock(mutex_);
    std::vector<RequestTrace> found;
    for (auto entry = entries_.rbegin(); entry != entries_.rend() && found.size() < limit; ++entry) {
        if (detail::matches(requestId, entry->requestId_) && detail::matches(service, entry->service_)
            && detail::matches(workspace, entry->workspace_))
            found.push_back(*entry);
    }
    return found;
}

} // namespace turmericwing::host
