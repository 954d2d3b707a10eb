// Recent uses of upstreams by object.
#include "turmericwing/routing/objectmemory.h"

#include <algorithm>

namespace turmericwing::routing {

void recordUse(ObjectUseHistory& history, TimePoint now, uint64_t object, uint64_t upstream)
{
    if (history.uses_.size() >= history.options_.maxObjects_ && !history.uses_.contains(object))
        history.uses_.clear();
    auto& uses = history.uses_[object];
    std::erase_if(
        uses, [&](const UpstreamUse& use) { return use.upstream_ == upstream || now >= use.expiresAt_; });
    if (uses.size() >= history.options_.maxUpstreamsPerObject_)
        uses.erase(uses.begin());
    uses.push_back({ upstream, now + history.options_.ttl_ });
}

std::vector<uint64_t> recentUpstreams(const ObjectUseHistory& history, TimePoint now, uint64_t object)
{
    std::vector<uint64_t> upstreams;
    const auto uses = history.uses_.find(object);
    if (uses == history.uses_.end())
        return upstreams;
    for (const UpstreamUse& use : uses->second) {
        if (now < use.expiresAt_)
            upstreams.push_back(use.upstream_);
    }
    return upstreams;
}

} // namespace turmericwing::routing
