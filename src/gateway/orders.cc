// Operator's orders while a restored store does not have them.
#include "turmericwing/gateway/orders.h"

namespace turmericwing::gateway {

namespace {

    /// The operator writes its orders again within about 2 s. An order that was removed in the lost time
    /// stays in force for this long, which is safe.
    constexpr Duration confirmationTime = std::chrono::seconds(5);

} // namespace

void onStoreRestored(UnconfirmedOrders& orders, TimePoint now) { orders.expireAt_ = now + confirmationTime; }

void beginFullRead(UnconfirmedOrders& orders, Directory& directory, Rollouts& rollouts, TimePoint now)
{
    if (now >= orders.expireAt_) {
        orders = {};
        directory.evacuated_.clear();
        rollouts.orders_.clear();
        return;
    }
    orders.evacuations_ = directory.evacuated_;
    for (const auto& [service, order] : rollouts.orders_)
        orders.rollouts_.insert(service);
}

std::vector<std::string> expireOrders(
    UnconfirmedOrders& orders, Directory& directory, Rollouts& rollouts, TimePoint now)
{
    if (now < orders.expireAt_)
        return {};
    for (const std::string& domain : orders.evacuations_)
        directory.evacuated_.erase(domain);
    for (const std::string& service : orders.rollouts_)
        rollouts.orders_.erase(service);
    std::vector<std::string> ended(orders.evacuations_.begin(), orders.evacuations_.end());
    orders = {};
    return ended;
}

} // namespace turmericwing::gateway
