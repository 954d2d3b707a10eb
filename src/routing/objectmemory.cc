// Recent uses of upstreams by object.
#include "turmericwing/routing/objectmemory.h"

#include <algorithm>

namespace turmericwing::routing {

void rememberUse(ObjectMemory& memory, TimePoint now, uint64_t object, uint64_t upstream)
{
    if (memory.uses_.size() >= memory.options_.objects_ && !memory.uses_.contains(object))
        memory.uses_.clear();
    auto& uses = memory.uses_[object];
    std::erase_if(
        uses, [&](const UpstreamUse& use) { return use.upstream_ == upstream || now >= use.until_; });
    if (uses.size() >= memory.options_.upstreams_)
        uses.erase(uses.begin());
    uses.push_back({ upstream, now + memory.options_.life_ });
}

std::vector<uint64_t> knownUpstreams(const ObjectMemory& memory, TimePoint now, uint64_t object)
{
    std::vector<uint64_t> upstreams;
    const auto uses = memory.uses_.find(object);
    if (uses == memory.uses_.end())
        return upstreams;
    for (const UpstreamUse& use : uses->second) {
        if (now < use.until_)
            upstreams.push_back(use.upstream_);
    }
    return upstreams;
}

} // namespace turmericwing::routing
