// Rollouts on one host: choice of the version, evidence, and the format of the store rows.
#include "turmericwing/gateway/rollouts.h"

#include "jsonvalues.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <tuple>

namespace turmericwing::gateway {

using nlohmann::json;
using rollout::RampEvidence;
using rollout::RampState;

namespace {

    /// The operator writes its orders again within about 2 s after a restore of the store.
    constexpr Duration settlingTime = std::chrono::milliseconds(2500);

    const rollout::CountsSender ownSender {}; ///< Key of this host's own counts.

    /// Sender of a report; a failure domain for the sums of its members.
    rollout::CountsSender senderOf(const HostReport& report)
    {
        if (report.isSum_)
            return { report.failureDomain_, 0 };
        return { report.name_, report.incarnation_ };
    }

    /// Throws json::exception and std::out_of_range for counts that are none.
    rollout::RampTotal decodeTotal(const json& value)
    {
        const auto count = [&](size_t index) { return detail::countValue<uint32_t>(value.at(index)); };
        return { { count(0), count(1), count(2), count(3), count(4), count(5) }, true };
    }

    bool isSameRamp(const rollout::Ramp& a, const rollout::Ramp& b)
    {
        return a.version_ == b.version_ && a.startMs_ == b.startMs_;
    }

    /// Whether a ramp of the same service has a later order than the known one.
    bool isLater(const StoredRamp& ramp, const RampRecord& known)
    {
        if (ramp.orderEra_ == known.orderEra_)
            return ramp.orderVersion_ > known.orderVersion_;
        return ramp.ramp_.startMs_ > known.ramp_.startMs_;
    }

    /// Whether the known ramp carries out the order, or a later one.
    bool carriesOut(const RampRecord& known, const OrderRecord& order)
    {
        if (order.era_ == known.orderEra_)
            return order.rowVersion_ <= known.orderVersion_;
        return order.era_ < known.orderEra_ || order.order_.version_ == known.ramp_.version_;
    }

    /// Whether a peer has found the version of the ramp to be bad.
    bool isFoundBadBy(const std::vector<const HostReport*>& peers, const rollout::Ramp& ramp)
    {
        return std::any_of(peers.begin(), peers.end(), [&](const HostReport* peer) {
            return std::any_of(peer->ramps_.begin(), peer->ramps_.end(), [&](const RampReport& report) {
                return report.foundBad_ && report.ramp_.service_ == ramp.service_
                    && isSameRamp(report.ramp_, ramp);
            });
        });
    }

} // namespace

VersionFilter chooseVersionFilter(const Rollouts& rollouts, const std::string& service,
    const std::string& base, int64_t storeMs, Random& random)
{
    const auto known = rollouts.ramps_.find(service);
    const auto order = rollouts.orders_.find(service);
    if (known == rollouts.ramps_.end()) {
        // The version of an order gets no requests before the ramp starts.
        if (order != rollouts.orders_.end())
            return { .except_ = order->second.order_.version_ };
        return { .only_ = base };
    }
    const rollout::Ramp& ramp = known->second.ramp_;
    const bool newerOrder = order != rollouts.orders_.end() && !carriesOut(known->second, order->second);
    if (ramp.state_ == RampState::Complete && !known->second.foundBad_)
        return { .only_ = ramp.version_ };
    if (ramp.state_ == RampState::Reverted || known->second.foundBad_) {
        if (newerOrder && order->second.order_.version_ != ramp.version_)
            return { .only_ = base };
        return { .except_ = ramp.version_ };
    }
    if (uniform(random) < rampShare(ramp, storeMs, known->second.evidence_))
        return { .only_ = ramp.version_ };
    return { .except_ = ramp.version_ };
}

bool mergeRamp(Rollouts& rollouts, const StoredRamp& merged)
{
    const rollout::Ramp& ramp = merged.ramp_;
    const auto [entry, added] = rollouts.ramps_.try_emplace(ramp.service_);
    RampRecord& known = entry->second;
    if (added || !isSameRamp(known.ramp_, ramp)) {
        if (!added && !isLater(merged, known))
            return false;
        known = { .ramp_ = ramp, .orderVersion_ = merged.orderVersion_, .orderEra_ = merged.orderEra_ };
        known.ledger_.base_.fromStart_ = ramp.startMs_ >= rollouts.observedSinceMs_;
        if (known.ledger_.base_.fromStart_)
            known.evidence_ = RampEvidence::Sound;
        adoptTotal(known.ledger_, merged.total_);
        return true;
    }
    adoptTotal(known.ledger_, merged.total_);
    std::tie(known.orderEra_, known.orderVersion_) = std::max(
        std::tuple(known.orderEra_, known.orderVersion_), std::tuple(merged.orderEra_, merged.orderVersion_));
    if (known.ramp_.state_ != RampState::Running || known.ramp_ == ramp)
        return false;
    known.ramp_ = ramp;
    return true;
}

void addOrder(Rollouts& rollouts, TimePoint now, const OrderRecord& order)
{
    const std::string& service = order.order_.service_;
    rollouts.orders_[service] = order;
    const auto known = rollouts.ramps_.find(service);
    if (known == rollouts.ramps_.end() || order.era_ < known->second.orderEra_
        || order.order_.version_ != known->second.ramp_.version_)
        return;
    // The first one in an era, and others that the operator writes again.
    if (order.era_ > known->second.orderEra_ || now < rollouts.settlingEndsAt_) {
        known->second.orderVersion_ = order.rowVersion_;
        known->second.orderEra_ = order.era_;
    }
}

void onStoreRestored(Rollouts& rollouts, TimePoint now) { rollouts.settlingEndsAt_ = now + settlingTime; }

void countAnswer(
    Rollouts& rollouts, const std::string& service, const std::string& version, bool failed, bool slow)
{
    const auto known = rollouts.ramps_.find(service);
    if (known == rollouts.ramps_.end() || known->second.ramp_.state_ != RampState::Running)
        return;
    rollout::RampCounts& counts = known->second.counts_;
    const bool isNew = version == known->second.ramp_.version_;
    (isNew ? counts.new_ : counts.old_) += 1;
    (isNew ? counts.newFailed_ : counts.oldFailed_) += failed ? 1 : 0;
    (isNew ? counts.newSlow_ : counts.oldSlow_) += slow ? 1 : 0;
}

void countOverdue(Rollouts& rollouts, const std::vector<OverdueRequest>& overdue)
{
    for (auto& [service, known] : rollouts.ramps_) {
        known.counts_.newOverdue_ = 0;
        known.counts_.oldOverdue_ = 0;
    }
    for (const OverdueRequest& request : overdue) {
        const auto known = rollouts.ramps_.find(request.service_);
        if (known == rollouts.ramps_.end() || known->second.ramp_.state_ != RampState::Running)
            continue;
        const bool isNew = request.version_ == known->second.ramp_.version_;
        (isNew ? known->second.counts_.newOverdue_ : known->second.counts_.oldOverdue_) += 1;
    }
}

bool hasRunningRamp(const Rollouts& rollouts)
{
    return std::any_of(rollouts.ramps_.begin(), rollouts.ramps_.end(),
        [](const auto& entry) { return entry.second.ramp_.state_ == RampState::Running; });
}

std::vector<std::string> evaluateRamps(Rollouts& rollouts, const std::vector<const HostReport*>& peers)
{
    std::vector<std::string> bad;
    for (auto& [service, known] : rollouts.ramps_) {
        if (known.ramp_.state_ == RampState::Reverted || known.foundBad_)
            continue;
        if (known.ramp_.state_ == RampState::Complete) {
            known.foundBad_ = isFoundBadBy(peers, known.ramp_);
            if (known.foundBad_)
                bad.push_back(service);
            continue;
        }
        recordCounts(known.ledger_, ownSender, known.counts_);
        uint64_t newOverdue = known.counts_.newOverdue_;
        uint64_t oldOverdue = known.counts_.oldOverdue_;
        const bool peerFoundBad = isFoundBadBy(peers, known.ramp_);
        for (const HostReport* peer : peers) {
            for (const RampReport& report : peer->ramps_) {
                if (report.ramp_.service_ != service || !isSameRamp(report.ramp_, known.ramp_))
                    continue;
                recordCounts(known.ledger_, senderOf(*peer), report.counts_);
                adoptTotal(known.ledger_, report.total_);
                newOverdue += report.counts_.newOverdue_;
                oldOverdue += report.counts_.oldOverdue_;
            }
        }
        rollout::RampTotal total = ledgerTotal(known.ledger_);
        total.counts_.newOverdue_ = newOverdue;
        total.counts_.oldOverdue_ = oldOverdue;
        known.evidence_ = rollout::assessEvidence(total.counts_, total.fromStart_);
        const bool foundBad = rollout::updateRampTests(known.tests_, total.counts_);
        if (!foundBad && !peerFoundBad)
            continue;
        known.foundBad_ = true;
        bad.push_back(service);
    }
    return bad;
}

void addEndedCounts(const Rollouts& rollouts, const std::vector<const HostReport*>& reports, HostReport& sums)
{
    std::set<rollout::CountsSender> counted { ownSender };
    for (const HostReport* report : reports)
        counted.insert(senderOf(*report));
    for (RampReport& sum : sums.ramps_) {
        const auto known = rollouts.ramps_.find(sum.ramp_.service_);
        if (known == rollouts.ramps_.end() || !isSameRamp(known->second.ramp_, sum.ramp_))
            continue;
        for (const auto& [sender, counts] : known->second.ledger_.senders_) {
            if (sender.incarnation_ != 0 && !counted.contains(sender))
                sum.counts_ += counts.last_;
        }
    }
}

std::vector<OrderRecord> unstartedOrders(const Rollouts& rollouts, TimePoint now)
{
    std::vector<OrderRecord> orders;
    if (now < rollouts.settlingEndsAt_)
        return orders;
    for (const auto& [service, order] : rollouts.orders_) {
        const auto known = rollouts.ramps_.find(service);
        if (known == rollouts.ramps_.end() || !carriesOut(known->second, order))
            orders.push_back(order);
    }
    return orders;
}

std::vector<RampReport> rampReports(const Rollouts& rollouts)
{
    std::vector<RampReport> reports;
    for (const auto& [service, known] : rollouts.ramps_)
        reports.push_back({ known.ramp_, known.orderVersion_, known.foundBad_, known.counts_, known.orderEra_,
            ledgerTotal(known.ledger_) });
    return reports;
}

std::string encodeRamp(const StoredRamp& stored)
{
    const rollout::Ramp& ramp = stored.ramp_;
    json row { { "service", ramp.service_ }, { "version", ramp.version_ }, { "start-ms", ramp.startMs_ },
        { "deadline-ms", ramp.deadlineMs_ }, { "state", static_cast<int>(ramp.state_) },
        { "order", stored.orderVersion_ }, { "era", stored.orderEra_ } };
    const rollout::RampCounts& counts = stored.total_.counts_;
    if (stored.total_.fromStart_)
        row["counts"] = { counts.new_, counts.newFailed_, counts.newSlow_, counts.old_, counts.oldFailed_,
            counts.oldSlow_ };
    return row.dump();
}

Result<StoredRamp> decodeRamp(const std::string& value)
{
    const json document = json::parse(value, nullptr, false);
    if (!document.is_object())
        return makeError(ErrorCode::Invalid, "rollout row is not a JSON object");
    try {
        const auto state = detail::countValue<uint32_t>(document.at("state"));
        if (state > static_cast<uint32_t>(RampState::Reverted))
            return makeError(ErrorCode::Invalid, "rollout row has an unknown state");
        const uint64_t era = document.contains("era") ? detail::countValue<uint64_t>(document.at("era")) : 0;
        StoredRamp stored {
            { document.at("service"), document.at("version"), detail::timeValue(document.at("start-ms")),
                detail::timeValue(document.at("deadline-ms")), static_cast<RampState>(state) },
            detail::countValue<uint64_t>(document.at("order")), era
        };
        if (document.contains("counts"))
            stored.total_ = decodeTotal(document.at("counts"));
        return stored;
    } catch (const json::exception& fault) {
        return makeError(ErrorCode::Invalid, std::string("invalid rollout row: ") + fault.what());
    } catch (const std::out_of_range& fault) {
        return makeError(ErrorCode::Invalid, std::string("invalid rollout row: ") + fault.what());
    }
}

} // namespace turmericwing::gateway
