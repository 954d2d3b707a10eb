// Operator's orders while the store does not have them, because it was restored from an older copy. The
// operator writes its orders again; until then, the ones that this host knows stay in force.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/gateway/directory.h"
#include "turmericwing/gateway/rollouts.h"

#include <set>
#include <string>
#include <vector>

namespace turmericwing::gateway {

/// Orders that are in force and were not read since the store was restored.
struct UnconfirmedOrders {
    std::set<std::string> evacuations_ {}; ///< Failure domains.
    std::set<std::string> rollouts_ {}; ///< Services.
    TimePoint expireAt_ {}; ///< Orders that are unconfirmed then no longer exist.
};

/// The store was restored from an older copy: orders that are missing stay in force for a while.
void onStoreRestored(UnconfirmedOrders&, TimePoint now);

/// Prepares for applying all orders of the store: after a restore, marks the known ones as unconfirmed, else
/// removes them.
void beginFullRead(UnconfirmedOrders&, Directory&, Rollouts&, TimePoint now);

/// Removes the orders that are still unconfirmed when their time has passed. Returns the failure domains
/// whose evacuation has ended by that.
std::vector<std::string> expireOrders(UnconfirmedOrders&, Directory&, Rollouts&, TimePoint now);

} // namespace turmericwing::gateway
