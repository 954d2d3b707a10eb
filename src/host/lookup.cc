// Lookup over the current view.
#include "turmericwing/host/lookup.h"

#include "turmericwing/limits/placement.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericwing::host {

namespace detail {

    /// Preferred hosts of the workspace first, then its home region, then the rest.
    std::vector<control::Member> orderedMembers(const Snapshot& snapshot, const model::Workspace& workspace)
    {
        std::vector<limits::PlacementHost> hosts;
        for (const control::Member& member : snapshot.head_.members_)
            hosts.push_back({ member.host_, member.region_, member.failureDomain_ });
        const auto placement = limits::placeWorkspace(workspace.name_, workspace.region_, hosts);
        const auto rank = [&](const control::Member& member) {
            const auto found
                = std::find(placement.preferred_.begin(), placement.preferred_.end(), member.host_);
            if (found != placement.preferred_.end())
                return found - placement.preferred_.begin();
            return static_cast<std::ptrdiff_t>(member.region_ == workspace.region_ ? 100 : 200);
        };
        std::vector<control::Member> members;
        for (const control::Member& member : snapshot.head_.members_) {
            if (member.state_ == control::MemberState::Live)
                members.push_back(member);
        }
        std::stable_sort(members.begin(), members.end(),
            [&](const control::Member& a, const control::Member& b) { return rank(a) < rank(b); });
        return members;
    }

    LocalResponse lookupError(int status, const char* title, const std::string& text)
    {
        const nlohmann::json json { { "type", std::string("urn:turmericwing:problem:") + title },
            { "title", title }, { "status", status }, { "detail", text } };
        return { status, json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
            "application/problem+json", {} };
    }

} // namespace detail

LocalResponse handleLookup(const SharedState& state, Metrics& metrics, const LocalRequest& request)
{
    metrics.countLookup();
    const auto snapshot = state.snapshot();
    if (!snapshot)
        return detail::lookupError(503, "not-ready", "the host has no configuration yet");
    const std::string service = request.parameter_("service");
    if (!model::find(snapshot->set_->services_, service))
        return detail::lookupError(404, "no-such-service", "no service '" + service + "'");
    model::Workspace anyone;
    const std::string name = request.parameter_("workspace");
    if (const model::Workspace* workspace = model::find(snapshot->set_->workspaces_, name))
        anyone = *workspace;
    else if (!name.empty())
        return detail::lookupError(404, "no-such-workspace", "no workspace '" + name + "'");
    nlohmann::json hosts = nlohmann::json::array();
    for (const control::Member& member : detail::orderedMembers(*snapshot, anyone))
        hosts.push_back(
            { { "host", member.host_ }, { "address", member.callerAddress_ }, { "region", member.region_ } });
    const auto ttl = std::chrono::duration_cast<std::chrono::seconds>(lookupTimeToLive).count();
    LocalResponse response { 200, nlohmann::json { { "hosts", hosts }, { "ttl", ttl } }.dump(),
        "application/json", {} };
    response.headers_.emplace_back("Cache-Control", "max-age=" + std::to_string(ttl));
    return response;
}

} // namespace turmericwing::host
