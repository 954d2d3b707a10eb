// Decides when pipelined requests start.
#include "turmericwing/gateway/pipeline.h"

#include <algorithm>

namespace turmericwing::gateway {

bool mayReadNext(const Pipeline& pipeline)
{
    if (pipeline.requests_.size() >= pipeline.maxRequests_)
        return false;
    return pipeline.requests_.empty()
        || (pipeline.requests_.back().mayOverlap_ && !pipeline.requests_.back().isLast_);
}

std::vector<uint64_t> startRequests(Pipeline& pipeline, bool isClosing)
{
    std::vector<uint64_t> started;
    bool isFirst = true;
    for (PipelinedRequest& request : pipeline.requests_) {
        if (!isFirst && !request.isStarted_ && (isClosing || !request.mayOverlap_))
            break;
        if (!request.isStarted_)
            started.push_back(request.number_);
        request.isStarted_ = true;
        isFirst = false;
        if (!request.mayOverlap_)
            break;
    }
    return started;
}

bool closesAfterFirst(const Pipeline& pipeline, bool isClosing)
{
    if (pipeline.requests_.empty())
        return isClosing;
    if (pipeline.requests_.front().isLast_)
        return true;
    return isClosing
        && std::none_of(pipeline.requests_.begin() + 1, pipeline.requests_.end(),
            [](const PipelinedRequest& request) { return request.isStarted_; });
}

} // namespace turmericwing::gateway
