// Builds the snapshot index; looks up keys and routes in it.
#include "turmericwing/host/snapshot.h"

#include "turmericwing/base/hash.h"

#include <algorithm>

namespace turmericwing::host {

namespace detail {

    /// Keys that are not withdrawn, by digest.
    std::unordered_map<std::string, const model::Key*> indexUsableKeys(const model::ObjectSet& set)
    {
        std::unordered_map<std::string, const model::Key*> keys;
        for (const model::Key& key : set.keys_) {
            if (!key.withdrawn_)
                keys.emplace(key.sha256_, &key);
        }
        return keys;
    }

    /// Adds the digests of keys that the newer set withdraws, removes or assigns to another workspace.
    void addRevokedKeys(std::set<std::string>& revoked,
        const std::unordered_map<std::string, const model::Key*>& keys, const model::ObjectSet& newer)
    {
        const auto remaining = indexUsableKeys(newer);
        for (const auto& [digest, key] : keys) {
            const auto found = remaining.find(digest);
            if (found == remaining.end() || found->second->workspace_ != key->workspace_)
                revoked.insert(digest);
        }
    }

    /// Whether a prefix covers a path by whole segments: "/photos" covers "/photos/1" but not "/photos2".
    bool coversPath(std::string_view prefix, std::string_view path)
    {
        if (path.substr(0, prefix.size()) != prefix)
            return false;
        return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
    }

    /// Adds the drained upstreams and rolled back moves of a head and its configuration.
    void addRestrictions(Snapshot& snapshot, const control::Head& head, const model::ObjectSet& set)
    {
        snapshot.drained_.insert(head.drainedUpstreams_.begin(), head.drainedUpstreams_.end());
        for (const control::MoveStatus& move : head.moves_) {
            if (move.phase_ == control::MovePhase::RolledBack)
                snapshot.stoppedMoves_.insert(move.name_);
        }
        for (const model::Upstream& upstream : set.upstreams_) {
            if (upstream.drain_)
                snapshot.drained_.insert(upstream.name_);
        }
        for (const model::Move& move : set.moves_) {
            if (move.state_ == model::MoveState::RolledBack)
                snapshot.stoppedMoves_.insert(move.name_);
        }
    }

} // namespace detail

std::shared_ptr<const Snapshot> makeSnapshot(Version inForce, std::vector<Version> newer, bool sharesUsable)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->set_ = std::move(inForce.set_);
    snapshot->head_ = std::move(inForce.head_);
    snapshot->newer_ = std::move(newer);
    snapshot->sharesUsable_ = sharesUsable;
    const model::ObjectSet& set = *snapshot->set_;
    snapshot->keys_ = detail::indexUsableKeys(set);
    for (const model::Service& service : set.services_)
        snapshot->routes_[service.name_];
    for (const model::Route& route : set.routes_)
        snapshot->routes_[route.service_].push_back(&route);
    for (auto& [service, routes] : snapshot->routes_) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const model::Route* a, const model::Route* b) { return a->path_.size() > b->path_.size(); });
    }
    detail::addRestrictions(*snapshot, snapshot->head_, set);
    for (const Version& version : snapshot->newer_) {
        detail::addRevokedKeys(snapshot->revokedKeys_, snapshot->keys_, *version.set_);
        detail::addRestrictions(*snapshot, version.head_, *version.set_);
    }
    return snapshot;
}

const model::Workspace* authenticate(const Snapshot& snapshot, std::string_view key)
{
    // The map is searched by digest, so the timing of the search reveals nothing about the key; the final
    // comparison takes constant time.
    const std::string digest = sha256Hex(key);
    const auto found = snapshot.keys_.find(digest);
    if (found == snapshot.keys_.end() || !constantTimeEqual(found->second->sha256_, digest))
        return nullptr;
    if (snapshot.revokedKeys_.count(digest) > 0)
        return nullptr;
    return model::find(snapshot.set_->workspaces_, found->second->workspace_);
}

RouteLookup findRoute(
    const Snapshot& snapshot, const std::string& service, std::string_view path, std::string_view method)
{
    const auto routes = snapshot.routes_.find(service);
    if (routes == snapshot.routes_.end())
        return { RouteMatch::NoService, nullptr };
    RouteLookup result { RouteMatch::NoRoute, nullptr };
    for (const model::Route* route : routes->second) {
        if (!detail::coversPath(route->path_, path))
            continue;
        if (std::find(route->methods_.begin(), route->methods_.end(), method) != route->methods_.end())
            return { RouteMatch::Found, route };
        result.match_ = RouteMatch::NoMethod;
    }
    return result;
}

std::shared_ptr<const Snapshot> SharedState::snapshot() const
{
    std::lock_guard lock(mutex_);
    return snapshot_;
}

void SharedState::setSnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    std::lock_guard lock(mutex_);
    snapshot_ = std::move(snapshot);
}

} // namespace turmericwing::host
