// Lookup table, steering of client blocks and responses of the lookup endpoint.
#include "turmericwing/host/lookup.h"

#include <nlohmann/json.hpp>

namespace turmericwing::host {

namespace detail {

    const steering::AssignOptions assignOptions {};
    const steering::LookupOptions lookupOptions { .ttl_ = lookupTimeToLive };

    LocalResponse lookupError(int status, const char* title, const std::string& detailText)
    {
        const nlohmann::json json { { "type", std::string("urn:turmericwing:problem:") + title },
            { "title", title }, { "status", status }, { "detail", detailText } };
        return { status, json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
            "application/problem+json", {} };
    }

    /// Which sites are up, in the order of set.sites_: those whose failure domain has a live member.
    std::vector<bool> sitesUp(const model::ObjectSet& set, const control::Head& head)
    {
        std::set<std::string> domains;
        for (const control::Member& member : head.members_) {
            if (member.state_ == control::MemberState::Live)
                domains.insert(member.failureDomain_);
        }
        std::vector<bool> up;
        for (const model::Site& site : set.sites_)
            up.push_back(domains.count(site.failureDomain_) > 0);
        return up;
    }

    LocalResponse lookupResponse(const steering::LookupAnswer& answer)
    {
        nlohmann::json hosts = nlohmann::json::array();
        for (const steering::HostEntry* host : answer.hosts_)
            hosts.push_back({ { "host", host->host_ }, { "address", host->address_ } });
        const auto ttl = std::chrono::duration_cast<std::chrono::seconds>(answer.ttl_).count();
        LocalResponse response { 200, nlohmann::json { { "hosts", hosts }, { "ttl", ttl } }.dump(),
            "application/json", {} };
        response.headers_.emplace_back("Cache-Control", "max-age=" + std::to_string(ttl));
        return response;
    }

} // namespace detail

std::shared_ptr<const steering::LookupTable> Lookups::table() const
{
    std::lock_guard lock(mutex_);
    return table_;
}

void Lookups::rebuild()
{
    table_ = std::make_shared<const steering::LookupTable>(
        steering::buildLookupTable(*set_, head_, detail::lookupOptions, steering_.current_, unusableHosts_));
}

void Lookups::apply(const Snapshot& snapshot)
{
    std::lock_guard lock(mutex_);
    if (!set_)
        steering_ = steering::startSteering(*snapshot.set_, detail::assignOptions);
    else if (set_ != snapshot.set_)
        steering_ = steering::changeConfiguration(steering_, *set_, *snapshot.set_, detail::assignOptions);
    set_ = snapshot.set_;
    head_ = snapshot.head_;
    for (const Version& newer : snapshot.newer_) {
        if (!newer.candidate_)
            head_ = newer.head_;
    }
    rebuild();
}

void Lookups::tick(const std::set<std::string>& unusable, TimePoint now)
{
    std::lock_guard lock(mutex_);
    if (!set_)
        return;
    const size_t movedBlocks = steering::advanceSteering(
        steering_, *set_, detail::assignOptions, detail::sitesUp(*set_, head_), now);
    if (movedBlocks == 0 && unusable == unusableHosts_)
        return;
    unusableHosts_ = unusable;
    rebuild();
}

LocalResponse Lookups::handle(Metrics& metrics, const LocalRequest& request)
{
    metrics.countLookup();
    const auto table = this->table();
    if (!table)
        return detail::lookupError(503, "not-ready", "the host has no configuration yet");
    uint32_t client = 0;
    if (const std::string clientAddress = request.parameter_("client"); !clientAddress.empty()) {
        const auto parsed = steering::parseAddress(clientAddress);
        if (!parsed)
            return detail::lookupError(400, "bad-request", "client: " + parsed.error().message_);
        client = parsed.value();
    }
    const auto answer = steering::lookup(
        *table, request.parameter_("service"), request.parameter_("workspace"), client, ++rotation_);
    if (answer)
        return detail::lookupResponse(answer.value());
    const bool notFound = answer.error().code_ == ErrorCode::NotFound;
    return detail::lookupError(
        notFound ? 404 : 503, notFound ? "not-found" : "no-host", answer.error().message_);
}

} // namespace turmericwing::host
