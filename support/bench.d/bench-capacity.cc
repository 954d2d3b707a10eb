// bench-capacity: measures the cost of the control plane at 10 to 810 hosts. Runs the real codecs, state
// tables and decision functions with the state and messages of a fleet of that size in one process. Prints
// one line per figure, "kind<TAB>name<TAB>hosts<TAB>value"; support/capacity turns them into docs/CAPACITY.md
// and charts.
#include "turmericwing/base/hash.h"
#include "turmericwing/base/random.h"
#include "turmericwing/control/evidence.h"
#include "turmericwing/control/lease.h"
#include "turmericwing/control/membership.h"
#include "turmericwing/limits/grants.h"
#include "turmericwing/limits/placement.h"
#include "turmericwing/model/parse.h"
#include "turmericwing/model/patch.h"
#include "turmericwing/peer/message.h"
#include "turmericwing/rollout/controller.h"
#include "turmericwing/routing/slots.h"
#include "turmericwing/steering/assign.h"
#include "turmericwing/steering/lookup.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <new>
#include <set>
#include <string>
#include <variant>

#include <malloc.h>

// Counts allocated heap bytes, so that the memory of one structure can be told from that of the process.
static size_t heapBytes = 0;

void* operator new(size_t size)
{
    void* const block = std::malloc(size);
    if (!block)
        std::abort();
    heapBytes += malloc_usable_size(block);
    return block;
}

void operator delete(void* block) noexcept
{
    heapBytes -= block ? malloc_usable_size(block) : 0;
    std::free(block);
}

void operator delete(void* block, size_t) noexcept { operator delete(block); }

using namespace turmericwing;

namespace {

constexpr size_t regions = 9;
constexpr size_t domains = 23;
constexpr size_t workspaces = 8;
/// Milliseconds since the epoch, so that it has a realistic encoded length.
constexpr uint64_t incarnation = 1796377825488;
constexpr size_t frameBytes = 6; // Mean WebSocket header: 2 to 4 bytes, and 4 more from the connecting side.
constexpr double heartbeatsPerSecond = 2;
constexpr double readsPerSecond = 2.5;
constexpr double tokenPullsPerSecond = 5; // One batch covers 200 ms of demand (GrantOptions::batchSpan_).
constexpr double moveReportsPerSecond = 2.5; // host/moves.cc ticks every 400 ms.
// 530 publications; 58 restarts with a leaving mark and a join; 2 failures with a removal and a join.
constexpr double changesPerSecond = (530 + 2 * 58 + 2 * 2) / 86400.0;
// Each end of a connection sends two pings and two pongs a second, with headers of 2 or 6 bytes.
constexpr double pingBytesPerSecond = 32;
// CPU of an idle host without peers in % of a core, and microseconds for each WebSocket frame sent or
// received, with system calls. They fit support/capacity-fleet at 10, 40 and 60 hosts.
constexpr double idlePercent = 0.7;
constexpr double frameUs = 28;
constexpr double pingFramesPerSecond = 8;
/// Conditional read and 304 response, with headers; 219 bytes if the version is short.
constexpr double unchangedReadBytes = 230;

void print(const char* kind, const std::string& name, size_t hosts, double value)
{
    std::printf("%s\t%s\t%zu\t%.6g\n", kind, name.c_str(), hosts, value);
}

std::string numbered(const char* prefix, size_t i) { return prefix + std::to_string(1000 + i); }

/// Mean CPU microseconds of one call, over a run of at least 20 ms.
template <typename F> double cpuUs(F f)
{
    f();
    size_t rounds = 1;
    while (true) {
        timespec begin {};
        timespec end {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
        for (size_t i = 0; i < rounds; ++i)
            f();
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
        const double us = static_cast<double>(end.tv_sec - begin.tv_sec) * 1e6
            + static_cast<double>(end.tv_nsec - begin.tv_nsec) / 1e3;
        if (us > 20000)
            return us / static_cast<double>(rounds);
        rounds *= 4;
    }
}

/// Bytes of the value that `make` returns, including its heap memory.
template <typename F> double heapBytesOf(F make)
{
    const size_t before = heapBytes;
    const auto value = make();
    return static_cast<double>(heapBytes - before) + static_cast<double>(sizeof(value));
}

control::Head makeFleet(size_t hosts)
{
    // A small fleet has two failure domains in each of three regions, like the current deployment; a large
    // one has the planned 23.
    const size_t domainCount = hosts < 100 ? 6 : domains;
    const size_t regionCount = hosts < 100 ? 3 : regions;
    control::Head head;
    head.version_ = 123456;
    head.revision_ = 60000;
    head.epoch_ = 63456;
    head.digest_ = std::string(64, 'a');
    head.publisher_ = "operator-one";
    head.nonce_ = std::string(32, 'b');
    head.change_ = "publish: withdraw key photo-2";
    head.writtenAt_ = { int64_t { 1796377825488 } };
    for (size_t i = 0; i < hosts; ++i) {
        const size_t domain = i % domainCount;
        const std::string ip = "10." + std::to_string(100 + domain) + "." + std::to_string(i / 200) + "."
            + std::to_string(i % 200 + 20);
        head.members_.push_back(
            { numbered("host-", i), incarnation + i, numbered("region-", domain % regionCount),
                numbered("domain-", domain), ip + ":7100", ip + ":7200", control::MemberState::Live });
    }
    return head;
}

/// Bytes with the WebSocket header, and CPU time at the sender and at the receiver.
struct MessageCost {
    double bytes_ = 0;
    double encodeUs_ = 0;
    double decodeUs_ = 0;
};

MessageCost measureMessage(const char* name, size_t hosts, const peer::Message& message)
{
    // Heartbeats are one-way messages; the others are requests or responses and carry a number.
    const bool oneWay = std::holds_alternative<peer::Heartbeat>(message);
    const peer::Envelope envelope { .id_ = oneWay ? 0U : 100000U, .replyTo_ = 0, .message_ = message };
    const std::string text = peer::encode(envelope).value();
    size_t sink = 0;
    MessageCost cost;
    cost.bytes_ = static_cast<double>(text.size() + frameBytes);
    cost.encodeUs_ = cpuUs([&] { sink += peer::encode(envelope).value().size(); });
    cost.decodeUs_ = cpuUs([&] { sink += peer::decode(text).has_value() ? 1 : 0; });
    if (sink == 0)
        std::abort();
    print("message-bytes", name, hosts, cost.bytes_);
    print("message-us", name, hosts, cost.encodeUs_ + cost.decodeUs_);
    return cost;
}

/// Message and byte rates and CPU use of one role in steady state.
struct Role {
    double messages_ = 0;
    double bytes_ = 0;
    double cpuUs_ = 0; ///< Per second.
    double connections_ = 0; ///< 0 for a task that a host performs in addition to its role.

    void send(double perSecond, const MessageCost& cost)
    {
        messages_ += perSecond;
        bytes_ += perSecond * cost.bytes_;
        cpuUs_ += perSecond * cost.encodeUs_;
    }

    void receive(double perSecond, const MessageCost& cost)
    {
        messages_ += perSecond;
        bytes_ += perSecond * cost.bytes_;
        cpuUs_ += perSecond * cost.decodeUs_;
    }

    void add(double perSecond, double us) { cpuUs_ += perSecond * us; }
};

void printRole(const char* name, size_t hosts, const Role& role)
{
    print("role-messages", name, hosts, role.messages_);
    print("role-bytes", name, hosts, role.bytes_);
    print("role-cpu", name, hosts, role.cpuUs_ / 1e4); // Percent of a core.
    if (role.connections_ > 0)
        print("role-process", name, hosts,
            idlePercent + (role.messages_ + pingFramesPerSecond * role.connections_) * frameUs / 1e4);
    else
        print("role-process", name, hosts, role.messages_ * frameUs / 1e4);
}

struct Messages {
    MessageCost heartbeat_;
    MessageCost headGet_;
    MessageCost headUnchanged_;
    MessageCost headChange_;
    MessageCost tokenPull_;
    MessageCost tokenGrant_;
    MessageCost moveStats_;
    MessageCost moveShare_;
    MessageCost candidate_;
    MessageCost ack_;
    MessageCost probe_;
    MessageCost evidence_;
    MessageCost summary_;
    double encodeHeadUs_ = 0;
    double decodeHeadUs_ = 0;
    double decodeChangeUs_ = 0;
    double rowBytes_ = 0;
};

control::Head withRejoinedMember(const control::Head& head)
{
    control::Member member = head.members_[head.members_.size() / 2];
    ++member.incarnation_;
    return control::withMember(head, member, {}).value();
}

Messages measureMessages(const control::Head& head)
{
    const size_t hosts = head.members_.size();
    size_t sink = 0;
    Messages out;
    const std::string row = control::encodeHead(head);
    control::Head next = withRejoinedMember(head);
    next.nonce_ = std::string(32, 'c');
    const std::string change = control::encodeHeadDelta(head, next);
    out.rowBytes_ = static_cast<double>(row.size());
    out.encodeHeadUs_ = cpuUs([&] { sink += control::encodeHead(head).size(); });
    out.decodeHeadUs_ = cpuUs([&] { sink += control::decodeHead(row).value().members_.size(); });
    out.decodeChangeUs_
        = cpuUs([&] { sink += control::decodeHeadDelta(head, change).value().members_.size(); });
    print("state-bytes", "head row", hosts, out.rowBytes_);
    print("state-bytes", "head change by a join", hosts, static_cast<double>(change.size()));
    print("state-us", "head row: encode", hosts, out.encodeHeadUs_);
    print("state-us", "head row: decode", hosts, out.decodeHeadUs_);
    print("state-us", "head change: decode and apply", hosts, out.decodeChangeUs_);
    print("state-memory", "head", hosts, heapBytesOf([&] { return control::Head(head); }));

    const std::string& host = head.members_.front().host_;
    const control::Candidate candidate { 123456, head.nonce_, head.digest_ };
    const rollout::RouteStats route { { 10, 0, 1000, 3 }, { 10, 0, 1000, 30 }, 5.0 };
    const control::SuspicionSummary quiet { host, "domain-1000", 6, 6, {} };
    out.heartbeat_ = measureMessage(
        "heartbeat", hosts, peer::Heartbeat { incarnation, "10.100.3.219:7200", true, false, 123456, {} });
    out.headGet_ = measureMessage("headGet", hosts, peer::HeadRequest { 123456 });
    out.headUnchanged_ = measureMessage("head, unchanged", hosts, peer::HeadRow { 123456, 200000, true, "" });
    out.headChange_ = measureMessage("head, change", hosts, peer::HeadRow { 123457, 200000, true, change });
    measureMessage("head, full row", hosts, peer::HeadRow { 123457, 200000, true, row });
    out.candidate_
        = measureMessage("candidate with change", hosts, peer::CandidateReport { candidate, change });
    out.ack_ = measureMessage("ack", hosts, peer::Ack { incarnation });
    out.probe_ = measureMessage("probe", hosts, peer::Probe {});
    out.evidence_
        = measureMessage("evidence", hosts, control::Evidence { host, incarnation, 123456, false, {} });
    out.summary_ = measureMessage("summary", hosts,
        control::Summary { host, "domain-1000", 123456, { { "", 35 } }, 34, 1, std::chrono::seconds(1), {} });
    out.tokenPull_ = measureMessage("tokenPull", hosts,
        limits::PullRequest {
            "municipality-12", host, incarnation, 63456, limits::ShareKind::Main, 900, 899, 1, 100 });
    out.tokenGrant_ = measureMessage("tokenGrant", hosts,
        limits::Grant { "municipality-12", incarnation, 63456, limits::ShareKind::Main, 900,
            limits::GrantStatus::Granted, 101, {} });
    out.moveStats_ = measureMessage("moveStats, 4 routes", hosts,
        peer::MoveStats { "orders-v2",
            { host, incarnation, { { "a", route }, { "b", route }, { "c", route }, { "d", route } },
                false } });
    out.moveShare_ = measureMessage("moveShare", hosts,
        peer::MoveShare { "orders-v2", 2, 0.01, false, { "a", "b" }, { 5000, 9000, 5000, 9000 } });
    // All hosts that one observer watches fail at the same time.
    control::SuspicionSummary lost = quiet;
    for (const std::string& gone : control::observedBy(head, {}, head.members_.back().host_))
        lost.suspicions_.push_back({ gone, incarnation });
    measureMessage("heartbeat, all suspected", hosts,
        peer::Heartbeat { incarnation, "10.100.3.219:7200", true, false, 123456, lost });
    if (sink == 0)
        std::abort();
    return out;
}

/// CPU microseconds of the membership operations of one observer.
struct MembershipCost {
    double summariseUs_ = 0;
    double removalsUs_ = 0;
    double heartbeatUs_ = 0;
};

MembershipCost measureMembership(const control::Head& head, const std::string& observer)
{
    const control::MembershipOptions options;
    const std::vector<std::string> observed = control::observedBy(head, options, observer);
    const TimePoint now = TimePoint {} + std::chrono::seconds(100);
    const auto fill = [&] {
        control::HeartbeatTable table;
        control::recordTick(table, options, now);
        for (const std::string& host : observed)
            control::recordHeartbeat(table, options, host, incarnation + 5000, host + ":7200", now);
        return table;
    };
    control::HeartbeatTable table = fill();
    control::SuspicionLog log;
    for (const std::string& host : observed)
        log[host] = { now, { host, "domain-1000", 6, 6, {} } };
    size_t sink = 0;
    MembershipCost out;
    out.summariseUs_
        = cpuUs([&] { sink += control::summariseSuspicions(table, options, head, observer, now).members_; });
    out.removalsUs_ = cpuUs([&] { sink += control::membersToRemove(log, options, head, now).size(); });
    out.heartbeatUs_ = observed.empty() ? 0 : cpuUs([&] {
        sink += static_cast<size_t>(control::recordHeartbeat(
            table, options, observed.front(), incarnation + 5000, observed.front() + ":7200", now));
    });
    print("state-us", "membership: summary of an observer", head.members_.size(), out.summariseUs_);
    print("state-us", "membership: removals", head.members_.size(), out.removalsUs_);
    print("state-us", "membership: peers of a host", head.members_.size(),
        cpuUs([&] { sink += control::peersOf(head, options, observer).size(); }));
    print("state-memory", "heartbeats of an observer", head.members_.size(), heapBytesOf(fill));
    if (sink == 0)
        std::abort();
    return out;
}

void measureRoles(const control::Head& head, const Messages& m)
{
    const control::MembershipOptions options;
    const size_t hosts = head.members_.size();
    const auto count = static_cast<double>(hosts);
    const bool mesh = hosts <= options.fullMeshLimit_;
    std::string busiest = head.members_.front().host_;
    size_t maximumObserved = 0;
    std::map<std::string, size_t> domainSize;
    std::map<std::string, std::vector<std::string>> relays;
    for (const control::Member& member : head.members_) {
        ++domainSize[member.failureDomain_];
        const size_t observed = control::observedBy(head, options, member.host_).size();
        if (observed > maximumObserved) {
            maximumObserved = observed;
            busiest = member.host_;
        }
    }
    for (const auto& [domain, size] : domainSize)
        relays[domain] = control::relaysOf(head, options, domain);
    const MembershipCost membership = measureMembership(head, busiest);

    std::map<std::string, Role> costliest;
    std::map<std::string, size_t> connections;
    for (const control::Member& member : head.members_) {
        const auto& own = relays.at(member.failureDomain_);
        const bool isRelay = std::find(own.begin(), own.end(), member.host_) != own.end();
        const auto observed = static_cast<double>(control::observedBy(head, options, member.host_).size());
        const size_t peers = mesh ? hosts - 1 : control::peersOf(head, options, member.host_).size();
        Role role;
        if (mesh) {
            role.send(heartbeatsPerSecond * (count - 1), m.heartbeat_);
            role.receive(heartbeatsPerSecond * (count - 1), m.heartbeat_);
        } else {
            role.send(heartbeatsPerSecond
                    * static_cast<double>(control::observersOf(head, options, member.host_).size()),
                m.heartbeat_);
            role.receive(heartbeatsPerSecond * observed, m.heartbeat_);
        }
        role.add(heartbeatsPerSecond * (mesh ? count - 1 : observed), membership.heartbeatUs_);
        role.connections_ = static_cast<double>(peers);
        role.bytes_ += role.connections_ * pingBytesPerSecond;
        const bool reads = mesh || isRelay;
        if (reads) {
            role.bytes_ += readsPerSecond * unchangedReadBytes + changesPerSecond * m.rowBytes_;
            role.add(changesPerSecond, m.decodeHeadUs_);
        } else {
            role.send(readsPerSecond, m.headGet_);
            role.receive(readsPerSecond, m.headUnchanged_);
            role.receive(changesPerSecond, m.headChange_);
            role.add(changesPerSecond, m.decodeChangeUs_);
        }
        if (!mesh && isRelay) {
            const double clients = static_cast<double>(domainSize.at(member.failureDomain_) - own.size())
                / static_cast<double>(own.size());
            role.receive(readsPerSecond * clients, m.headGet_);
            role.send(readsPerSecond * clients, m.headUnchanged_);
            role.send(changesPerSecond * clients, m.headChange_);
        }
        // The control loop performs both on each tick of 50 ms.
        role.add(20, membership.summariseUs_ + membership.removalsUs_);
        const char* name = isRelay ? "relay" : observed > 0 ? "observer" : "plain host";
        if (mesh)
            name = "plain host";
        Role& entry = costliest[name];
        if (role.bytes_ > entry.bytes_)
            entry = role;
        connections[name] = std::max(connections[name], peers);
    }
    for (const auto& [name, role] : costliest) {
        printRole(name.c_str(), hosts, role);
        print("role-connections", name, hosts, static_cast<double>(connections.at(name)));
    }

    // Tasks that a host performs in addition to its role:
    Role owner; // Of one workspace: its three other preferred hosts pull.
    owner.receive(3 * tokenPullsPerSecond, m.tokenPull_);
    owner.send(3 * tokenPullsPerSecond, m.tokenGrant_);
    printRole("+ bucket owner, per workspace", hosts, owner);
    Role move;
    move.receive(moveReportsPerSecond * (count - 1), m.moveStats_);
    move.send(moveReportsPerSecond * (count - 1), m.moveShare_);
    printRole("+ move owner, while a move runs", hosts, move);
    Role writer; // One host that writes all changes of a day: announces and reports each to its peers.
    const double peers = mesh ? count - 1 : 55;
    writer.send(changesPerSecond * peers, m.candidate_);
    writer.send(changesPerSecond * peers, m.headChange_);
    writer.receive(2 * changesPerSecond * peers, m.ack_);
    writer.add(changesPerSecond, 2 * m.encodeHeadUs_ + m.decodeHeadUs_);
    writer.bytes_ += changesPerSecond * 2 * m.rowBytes_;
    printRole("+ head writer of all changes", hosts, writer);
    // Store outage: hosts of a mesh probe every 400 ms (host/controller.cc), relays would once a second.
    Role outage;
    const double probed = mesh ? 2.5 * (count - 1) : std::ceil(count / domains);
    outage.send(probed, m.probe_);
    outage.receive(probed, m.evidence_);
    if (mesh) {
        outage.receive(probed, m.probe_);
        outage.send(probed, m.evidence_);
    } else {
        outage.receive(2 * domains, m.summary_);
        outage.send(2 * domains, m.summary_);
        outage.send(8.0 * domains, m.summary_); // Forwards the other domains' summaries to its hosts.
    }
    printRole(mesh ? "+ any host in a store outage" : "+ relay in a store outage", hosts, outage);
}

model::ObjectSet makePlannedSet()
{
    model::ObjectSet set;
    for (size_t i = 0; i < regions; ++i)
        set.regions_.push_back({ numbered("region-", i) });
    for (size_t i = 0; i < domains; ++i)
        set.failureDomains_.push_back({ numbered("domain-", i), numbered("region-", i % regions) });
    for (size_t i = 0; i < 90; ++i)
        set.sites_.push_back({ numbered("site-", i), numbered("domain-", i % domains), 1 });
    set.services_ = { { "photos", "v1" } };
    for (size_t i = 0; i < workspaces; ++i)
        set.workspaces_.push_back({ numbered("workspace-", i), numbered("region-", i), 100, 100, 1 });
    for (uint32_t i = 0; i < 140000; ++i)
        set.clientBlocks_.push_back({ i << 14, 18, static_cast<uint16_t>(i % regions) });
    return set;
}

void measureTables(
    const control::Head& head, const model::ObjectSet& set, const steering::SteeringState& steering)
{
    const size_t hosts = head.members_.size();
    size_t sink = 0;
    std::vector<limits::PlacementHost> places;
    std::vector<routing::SlotHost> slotHosts;
    for (const control::Member& m : head.members_) {
        places.push_back({ m.host_, m.region_, m.failureDomain_ });
        slotHosts.push_back({ m.host_, m.incarnation_, m.region_ });
    }
    print("state-us", "placement of one workspace", hosts, cpuUs([&] {
        sink += limits::placeWorkspace("municipality-12", "region-1000", places).preferred_.size();
    }));
    // As in the current deployment: four upstreams with three slots each per host.
    std::vector<routing::SlotUpstream> upstreams;
    for (size_t i = 0; i < 4 * hosts; ++i)
        upstreams.push_back({ numbered("upstream-", i), numbered("service-", i % 3),
            head.members_[i % hosts].region_, 3, 400, std::chrono::seconds(5) });
    const routing::Placement placement { { 1, 1 }, upstreams, routing::slotHomes(slotHosts, upstreams) };
    print("state-us", "slot homes of all upstreams", hosts,
        cpuUs([&] { sink += routing::slotHomes(slotHosts, upstreams).size(); }));
    print("state-memory", "slot homes of all upstreams", hosts,
        heapBytesOf([&] { return routing::slotHomes(slotHosts, upstreams); }));
    print("state-memory", "slot table of a host", hosts, heapBytesOf([&] {
        routing::SlotTable table { .host_ = head.members_.front().host_, .incarnation_ = incarnation };
        routing::applyPlacement(table, TimePoint {} + std::chrono::seconds(100), placement, true);
        return table;
    }));
    print("state-memory", "token share with three pullers", hosts, heapBytesOf([&] {
        const TimePoint now = TimePoint {} + std::chrono::seconds(100);
        limits::ShareHolder share = limits::acquireShare({ 100, 100 }, 1, now, {});
        for (size_t i = 0; i < 3; ++i)
            limits::answerPull(share,
                { "w", head.members_[i].host_, incarnation, 1, limits::ShareKind::Main, 1, 1, 1, 5 },
                now + std::chrono::seconds(2), {});
        return share;
    }));
    const rollout::RouteStats route { { 10, 0, 1000, 3 }, { 10, 0, 1000, 30 }, 5.0 };
    rollout::Controller controller;
    const auto report = [&](rollout::Controller& to) {
        for (const control::Member& m : head.members_)
            rollout::addReport(to,
                { m.host_, m.incarnation_, { { "a", route }, { "b", route }, { "c", route }, { "d", route } },
                    false });
    };
    print("state-memory", "reports at a move owner", hosts, heapBytesOf([&] {
        rollout::Controller out;
        report(out);
        return out;
    }));
    print("state-us", "move owner: reports of all hosts", hosts, cpuUs([&] {
        report(controller);
        ++sink;
    }));
    steering::LookupTable table = steering::buildLookupTable(set, head, {}, steering.current_, {});
    print("state-memory", "lookup table", hosts,
        heapBytesOf([&] { return steering::buildLookupTable(set, head, {}, steering.current_, {}); }));
    print("state-us", "lookup table: refresh hosts", hosts, cpuUs([&] {
        steering::refreshHosts(table, set, head, {});
        ++sink;
    }));
    uint32_t address = 1;
    print("state-us", "lookup", hosts, cpuUs([&] {
        address = address * 1664525 + 1013904223;
        sink += steering::lookup(table, "photos", "workspace-1003", address, address).value().hosts_.size();
    }));
    if (sink == 0)
        std::abort();
}

void measureConfiguration(const model::ObjectSet& set)
{
    constexpr size_t hosts = 810;
    const std::string text = model::canonicalText(set);
    print("state-bytes", "configuration of 140,000 client blocks", hosts, static_cast<double>(text.size()));
    print("state-us", "configuration: parse and check", hosts, cpuUs([&] {
        if (model::parseSet({ { "objects.ini", text } }).set_.clientBlocks_.size() != 140000)
            std::abort();
    }));
    print("state-memory", "configuration, parsed", hosts, heapBytesOf([&] {
        return model::parseSet({ { "objects.ini", text } });
    }));
    model::ObjectSet next = set;
    next.workspaces_.front().rate_ += 1;
    next.clientBlocks_.erase(next.clientBlocks_.begin() + 70000);
    const std::string nextText = model::canonicalText(next);
    const std::string patch = model::makePatch(text, nextText);
    print(
        "state-bytes", "configuration patch, two objects changed", hosts, static_cast<double>(patch.size()));
    print("state-us", "configuration patch: make", hosts, cpuUs([&] {
        if (model::makePatch(text, nextText).empty())
            std::abort();
    }));
    print("state-us", "configuration patch: apply", hosts, cpuUs([&] {
        if (model::applyPatch(text, patch).value().size() != nextText.size())
            std::abort();
    }));
    print("state-us", "assignment of 140,000 client blocks", hosts, cpuUs([&] {
        if (steering::startSteering(set, {}).current_.size() != 140000)
            std::abort();
    }));
    print("state-memory", "assignment of 140,000 client blocks", hosts,
        heapBytesOf([&] { return steering::startSteering(set, {}); }));
}

} // namespace

int main()
{
    const model::ObjectSet set = makePlannedSet();
    const steering::SteeringState steering = steering::startSteering(set, {});
    for (const size_t hosts : { 10, 40, 50, 60, 100, 200, 400, 810 }) {
        const control::Head head = makeFleet(hosts);
        measureRoles(head, measureMessages(head));
        measureTables(head, set, steering);
    }
    measureConfiguration(set);
    return 0;
}
