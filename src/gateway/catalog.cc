// Lookup indexes of a configuration.
#include "turmericwing/gateway/catalog.h"

#include <algorithm>

namespace turmericwing::gateway {

namespace detail {

    /// Host name in lower case without the port.
    std::string normalizedHostName(std::string_view host)
    {
        std::string name(host.substr(0, host.find(':')));
        std::transform(name.begin(), name.end(), name.begin(),
            [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
        return name;
    }

} // namespace detail

Catalog::Catalog(Configuration configuration)
    : configuration_(std::move(configuration))
{
    for (const Route& route : configuration_.routes_)
        routes_[detail::normalizedHostName(route.host_)].push_back(&route);
    for (auto& [host, routes] : routes_) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const Route* a, const Route* b) { return a->prefix_.size() > b->prefix_.size(); });
    }
    for (const WorkspaceSpec& workspace : configuration_.workspaces_) {
        for (const std::string& key : workspace.keys_)
            keys_.emplace(key, &workspace);
    }
    for (const ServiceSpec& service : configuration_.services_)
        services_.emplace(service.name_, &service);
}

const Route* Catalog::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = routes_.find(detail::normalizedHostName(host));
    if (found == routes_.end())
        return nullptr;
    const std::string_view pathWithoutQuery = path.substr(0, path.find('?'));
    const auto route = std::find_if(found->second.begin(), found->second.end(),
        [&](const Route* candidate) { return pathWithoutQuery.starts_with(candidate->prefix_); });
    return route == found->second.end() ? nullptr : *route;
}

const WorkspaceSpec* Catalog::findWorkspaceByKey(const std::string& key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : found->second;
}

const ServiceSpec* Catalog::findService(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace turmericwing::gateway
