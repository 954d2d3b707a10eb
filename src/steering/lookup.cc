// Prefix index over client blocks, and selection of hosts for callers.
#include "turmericwing/steering/lookup.h"

#include "turmericwing/limits/placement.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace turmericwing::steering {

namespace detail {

    constexpr uint16_t noIndex = UINT16_MAX;

    /// Last address of a block.
    uint32_t lastAddress(const model::ClientBlock& block)
    {
        return block.length_ == 0 ? UINT32_MAX
                                  : block.prefix_ | ((uint64_t { 1 } << (32 - block.length_)) - 1);
    }

    uint16_t domainIndex(const model::ObjectSet& set, const std::string& name)
    {
        const auto* domain = model::find(set.failureDomains_, name);
        return domain ? static_cast<uint16_t>(domain - set.failureDomains_.data()) : noIndex;
    }

    uint16_t regionIndex(const model::ObjectSet& set, const std::string& name)
    {
        const auto* region = model::find(set.regions_, name);
        return region ? static_cast<uint16_t>(region - set.regions_.data()) : noIndex;
    }

} // namespace detail

PrefixIndex buildIndex(const std::vector<model::ClientBlock>& blocks)
{
    PrefixIndex index;
    std::vector<uint32_t> enclosing; // Blocks that contain the current address, outermost first.
    const auto emit = [&](uint32_t start, uint32_t block) {
        if (!index.ranges_.empty() && index.ranges_.back().start_ == start)
            index.ranges_.back().block_ = block;
        else
            index.ranges_.push_back({ start, block });
    };
    const auto closeBefore = [&](uint64_t address) {
        while (!enclosing.empty() && detail::lastAddress(blocks[enclosing.back()]) < address) {
            const uint32_t last = detail::lastAddress(blocks[enclosing.back()]);
            enclosing.pop_back();
            if (last != UINT32_MAX)
                emit(last + 1, enclosing.empty() ? noBlock : enclosing.back());
        }
    };
    emit(0, noBlock);
    for (uint32_t i = 0; i < blocks.size(); ++i) {
        closeBefore(blocks[i].prefix_);
        emit(blocks[i].prefix_, i);
        enclosing.push_back(i);
    }
    closeBefore(uint64_t { UINT32_MAX } + 1);
    index.firstRange_.resize(65537);
    uint32_t at = 0;
    for (uint32_t upper = 0; upper < 65536; ++upper) {
        while (at + 1 < index.ranges_.size() && index.ranges_[at + 1].start_ <= upper << 16)
            ++at;
        index.firstRange_[upper] = at;
    }
    index.firstRange_[65536] = static_cast<uint32_t>(index.ranges_.size() - 1);
    return index;
}

uint32_t findBlock(const PrefixIndex& index, uint32_t address)
{
    if (index.ranges_.empty())
        return noBlock;
    const auto begin = index.ranges_.begin() + index.firstRange_[address >> 16];
    const auto end = index.ranges_.begin() + index.firstRange_[(address >> 16) + 1] + 1;
    const auto after = std::upper_bound(
        begin, end, address, [](uint32_t a, const PrefixIndex::Range& range) { return a < range.start_; });
    return std::prev(after)->block_;
}

Result<uint32_t> parseAddress(std::string_view text)
{
    uint32_t out = 0;
    const char* at = text.data();
    const char* end = at + text.size();
    for (int part = 0; part < 4; ++part) {
        unsigned value = 0;
        const auto [next, error] = std::from_chars(at, end, value);
        const bool last = part == 3;
        if (error != std::errc() || value > 255 || next - at > 3
            || (last ? next != end : next == end || *next != '.'))
            return makeError(ErrorCode::Invalid, "client: not an IPv4 address");
        out = out << 8 | value;
        at = next + 1;
    }
    return out;
}

std::vector<std::string> preferredHosts(const control::Head& head, const LookupOptions& options,
    const std::string& workspace, const std::string& region)
{
    std::vector<limits::PlacementHost> hosts;
    const auto collect = [&](bool anyRegion) {
        for (const control::Member& member : head.members_) {
            if (member.state_ == control::MemberState::Live && (anyRegion || member.region_ == region))
                hosts.push_back({ member.host_, member.region_, member.failureDomain_ });
        }
    };
    collect(false);
    if (hosts.empty())
        collect(true);
    return limits::placeWorkspace(workspace, region, hosts,
        { .preferredHosts_ = options.preferred_, .spreadDomains_ = options.requireTwoDomains_ })
        .preferred_;
}

void refreshHosts(LookupTable& table, const model::ObjectSet& set, const control::Head& head,
    const std::set<std::string>& withoutLease)
{
    table.hosts_.clear();
    table.byDomain_.assign(set.failureDomains_.size(), {});
    table.byRegion_.assign(set.regions_.size(), {});
    table.domainRegion_.clear();
    for (const model::FailureDomain& domain : set.failureDomains_)
        table.domainRegion_.push_back(detail::regionIndex(set, domain.region_));
    std::map<std::string, uint16_t> index;
    for (const control::Member& member : head.members_) {
        if (member.state_ != control::MemberState::Live || withoutLease.contains(member.host_))
            continue;
        const auto i = static_cast<uint16_t>(table.hosts_.size());
        const uint16_t domain = detail::domainIndex(set, member.failureDomain_);
        const uint16_t region = detail::regionIndex(set, member.region_);
        table.hosts_.push_back({ member.host_, member.callerAddress_, domain, region });
        index[member.host_] = i;
        if (domain != detail::noIndex)
            table.byDomain_[domain].push_back(i);
        if (region != detail::noIndex)
            table.byRegion_[region].push_back(i);
    }
    table.workspaces_.clear();
    for (const model::Workspace& workspace : set.workspaces_) {
        std::vector<uint16_t>& hosts = table.workspaces_[workspace.name_];
        for (const std::string& host :
            preferredHosts(head, table.options_, workspace.name_, workspace.region_)) {
            if (const auto it = index.find(host); it != index.end())
                hosts.push_back(it->second);
        }
    }
}

void refreshAssignment(
    LookupTable& table, const model::ObjectSet& set, const std::vector<SiteIndex>& assignment)
{
    std::vector<uint16_t> siteDomains;
    for (const model::Site& site : set.sites_)
        siteDomains.push_back(detail::domainIndex(set, site.failureDomain_));
    table.blockDomain_.clear();
    for (const SiteIndex site : assignment)
        table.blockDomain_.push_back(site < siteDomains.size() ? siteDomains[site] : detail::noIndex);
}

LookupTable buildLookupTable(const model::ObjectSet& set, const control::Head& head,
    const LookupOptions& options, const std::vector<SiteIndex>& assignment,
    const std::set<std::string>& withoutLease)
{
    LookupTable table;
    table.options_ = options;
    table.index_ = buildIndex(set.clientBlocks_);
    for (const model::Service& service : set.services_)
        table.services_.insert(service.name_);
    refreshHosts(table, set, head, withoutLease);
    refreshAssignment(table, set, assignment);
    return table;
}

Result<LookupAnswer> lookup(const LookupTable& table, std::string_view service, std::string_view workspace,
    uint32_t clientAddress, uint64_t rotation)
{
    if (!table.services_.contains(service))
        return makeError(ErrorCode::NotFound, "service: unknown");
    const std::vector<uint16_t>* preferred = nullptr;
    if (!workspace.empty()) {
        const auto it = table.workspaces_.find(workspace);
        if (it == table.workspaces_.end())
            return makeError(ErrorCode::NotFound, "workspace: unknown");
        preferred = &it->second;
    }
    if (table.hosts_.empty())
        return makeError(ErrorCode::Unavailable, "lookup: no host is available");
    const uint32_t block = findBlock(table.index_, clientAddress);
    const uint16_t domain = block < table.blockDomain_.size() ? table.blockDomain_[block] : detail::noIndex;
    const uint16_t region = domain == detail::noIndex ? detail::noIndex : table.domainRegion_[domain];

    LookupAnswer answer { .hosts_ = {}, .ttl_ = table.options_.ttl_ };
    std::vector<const HostEntry*>& out = answer.hosts_;
    out.reserve(table.options_.hosts_);
    const auto add = [&](uint16_t i) {
        const HostEntry* host = &table.hosts_[i];
        if (std::find(out.begin(), out.end(), host) == out.end())
            out.push_back(host);
    };
    // Adds entries of a list, starting at an offset that depends on the rotation, up to a total of `limit`.
    const auto addRotated = [&](const std::vector<uint16_t>& list, size_t limit) {
        const size_t offset = table.options_.rotate_ && !list.empty() ? rotation % list.size() : 0;
        for (size_t i = 0; i < list.size() && out.size() < limit; ++i)
            add(list[(i + offset) % list.size()]);
    };
    const size_t limit = std::max<size_t>(table.options_.hosts_, 2);
    if (preferred) {
        addRotated(*preferred, limit);
        // Moves closer hosts to the front and keeps the rotated order among equals.
        std::stable_sort(out.begin(), out.end(), [&](const HostEntry* a, const HostEntry* b) {
            const auto rank = [&](const HostEntry* h) {
                return h->domain_ == domain ? 0 : h->region_ == region ? 1 : 2;
            };
            return rank(a) < rank(b);
        });
    }
    const bool located = domain != detail::noIndex;
    // Reserves the last position for a host of another failure domain.
    if (located)
        addRotated(table.byDomain_[domain], limit - 1);
    if (located && region != detail::noIndex)
        addRotated(table.byRegion_[region], limit - 1);
    if (out.size() < limit - 1) {
        const size_t offset = table.options_.rotate_ ? rotation % table.hosts_.size() : 0;
        for (size_t i = 0; i < table.hosts_.size() && out.size() < limit - 1; ++i)
            add(static_cast<uint16_t>((i + offset) % table.hosts_.size()));
    }
    const bool sameDomain = std::all_of(
        out.begin(), out.end(), [&](const HostEntry* host) { return host->domain_ == out[0]->domain_; });
    if (table.options_.requireTwoDomains_ && sameDomain) {
        const auto addFromOtherDomain = [&](size_t count, const auto& at) {
            const size_t offset = table.options_.rotate_ && count > 0 ? rotation % count : 0;
            for (size_t i = 0; i < count; ++i) {
                const uint16_t host = at((i + offset) % count);
                if (table.hosts_[host].domain_ != out[0]->domain_) {
                    add(host);
                    return true;
                }
            }
            return false;
        };
        const bool found = located && region != detail::noIndex
            && addFromOtherDomain(
                table.byRegion_[region].size(), [&](size_t i) { return table.byRegion_[region][i]; });
        if (!found)
            addFromOtherDomain(table.hosts_.size(), [](size_t i) { return static_cast<uint16_t>(i); });
    }
    return answer;
}

} // namespace turmericwing::steering
