// Reuse of upstream connections and detection of stalls.
#include "turmericwing/routing/connections.h"

#include <algorithm>

namespace turmericwing::routing {

bool canReuse(const PooledConnection& connection, const ConnectionHealth& health,
    const ConnectionOptions& options, TimePoint now)
{
    // The rest of an unread response would be taken for the response to the next request.
    if (connection.outstanding_ || !connection.keepAlive_)
        return false;
    return now - connection.idleSince_ < options.maxIdleTime_ && connection.opened_ >= health.suspectBefore_;
}

TimePoint stallDeadline(TimePoint lastProgress, TimePoint requestDeadline, const ConnectionOptions& options)
{
    return std::min(lastProgress + options.stallTimeout_, requestDeadline);
}

void recordStall(ConnectionHealth& health, TimePoint lastProgress)
{
    health.suspectBefore_ = std::max(health.suspectBefore_, lastProgress);
}

} // namespace turmericwing::routing
