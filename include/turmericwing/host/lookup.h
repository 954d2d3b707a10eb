// The lookup endpoint: which hosts a caller should use.
#pragma once

#include "turmericwing/host/metrics.h"
#include "turmericwing/host/server.h"
#include "turmericwing/host/snapshot.h"

namespace turmericwing::host {

/// Callers may use an answer for this long.
inline constexpr auto lookupTimeToLive = std::chrono::seconds(5);

/// GET /v1/lookup?service=&workspace=&client=.
LocalResponse handleLookup(const SharedState&, Metrics&, const LocalRequest&);

} // namespace turmericwing::host
