// Implementation of the rules for upstream connections.
#include "turmericwing/routing/connections.h"

#include <algorithm>

namespace turmericwing::routing {

bool canReuse(const PooledConnection& connection, const ConnectionHealth& health,
    const ConnectionOptions& options, TimePoint now)
{
    // The rest of an old response would be taken for the response to the next request.
    if (connection.outstanding_ || !connection.keepAlive_)
        return false;
    return now - connection.idleSince_ < options.maxIdle_ && connection.opened_ >= health.distrustBefore_;
}

TimePoint stallDeadline(TimePoint lastProgress, TimePoint requestDeadline, const ConnectionOptions& options)
{
    return std::min(lastProgress + options.stall_, requestDeadline);
}

void recordStall(ConnectionHealth& health, TimePoint lastProgress)
{
    health.distrustBefore_ = std::max(health.distrustBefore_, lastProgress);
}

} // namespace turmericwing::routing
