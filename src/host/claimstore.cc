// Claims on a live host. Until the claim library is merged every claim is refused as not run.
#include "turmericwing/host/claimstore.h"

namespace turmericwing::host {

struct ClaimState { };

ClaimStore::ClaimStore(std::string, uint64_t, platform::Table, const SharedState&)
    : state_(std::make_unique<ClaimState>())
{
}

ClaimStore::~ClaimStore() = default;

ClaimDecision ClaimStore::begin(const ClaimKey&, TimePoint) { return {}; }

void ClaimStore::complete(const ClaimKey&, const std::string&, const StoredResponse&, TimePoint) { }

void ClaimStore::release(const ClaimKey&, const std::string&, TimePoint) { }

void ClaimStore::markUnknown(const ClaimKey&, const std::string&) { }

void ClaimStore::stop() { }

} // namespace turmericwing::host
