// CBOR encoding of a host's report: arrays in the order of the members, without keys, to keep datagrams
// small.
#include "turmericwing/gateway/report.h"

#include "reportvalues.h"

#include "turmericwing/base/hash.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace turmericwing::gateway {

using nlohmann::json;

namespace detail {

    constexpr size_t memberCount = 16; ///< Members of HostReport without limits.
    constexpr size_t briefMemberCount = 9; ///< Members of a report in the brief form, without limits.
    /// First byte of a CBOR array of that many members, and with limits.
    constexpr char briefArrayHeader = static_cast<char>(0x80 + briefMemberCount);
    constexpr char briefArrayHeaderWithLimits = static_cast<char>(briefArrayHeader + 1);
    constexpr size_t valuesPerLimit = 3; ///< Of the flat list of limits.
    constexpr size_t valuesPerService = 4; ///< Of an entry in the list of services.
    constexpr double milliPerUnit = 1000; ///< Capacities are encoded as whole thousandths.

    uint64_t inThousandths(double amount)
    {
        return static_cast<uint64_t>(std::llround(amount * milliPerUnit));
    }

    json encode(const rollout::RampCounts& counts)
    {
        return json::array({ counts.new_, counts.newFailed_, counts.newSlow_, counts.old_, counts.oldFailed_,
            counts.oldSlow_, counts.newOverdue_, counts.oldOverdue_ });
    }

    json encode(const HostCapacity& capacity)
    {
        return json::array({ inThousandths(capacity.cores_), inThousandths(capacity.memoryMb_),
            inThousandths(capacity.linkMbps_) });
    }

    HostCapacity decodeCapacity(const json& value)
    {
        const auto amount = [&](size_t index) {
            return static_cast<double>(countValue<uint32_t>(value.at(index))) / milliPerUnit;
        };
        return { .cores_ = amount(0), .memoryMb_ = amount(1), .linkMbps_ = amount(2) };
    }

    using RegionValues = std::vector<std::pair<uint32_t, double>>;

    json encode(const RegionValues& values)
    {
        json list = json::array();
        for (const auto& [region, amount] : values)
            list.push_back(json::array({ region, static_cast<float>(amount) }));
        return list;
    }

    RegionValues decodeRegionValues(const json& value)
    {
        RegionValues values;
        for (const json& entry : value)
            values.emplace_back(countValue<uint32_t>(entry.at(0)), amountValue(entry.at(1)));
        return values;
    }

    json encode(const ServiceReport& report)
    {
        return json::array({ report.service_, static_cast<float>(report.unboundDemand_),
            encode(report.split_), encode(report.boundDemand_) });
    }

    ServiceReport decodeService(const json& value)
    {
        return { countValue<uint32_t>(value.at(0)), amountValue(value.at(1)), decodeRegionValues(value.at(2)),
            decodeRegionValues(value.at(3)) };
    }

    /// Entry in the list of services that holds the host's capacity after the values of a service. Hosts of
    /// earlier releases take it for a service without demand.
    json encodeCapacityEntry(const HostCapacity& capacity)
    {
        json entry = encode(ServiceReport {});
        entry.push_back(encode(capacity));
        return entry;
    }

    bool isCapacityEntry(const json& entry) { return entry.size() > valuesPerService; }

    json encode(const RampReport& report)
    {
        const rollout::Ramp& ramp = report.ramp_;
        json value = json::array(
            { ramp.service_, ramp.version_, ramp.startMs_, ramp.deadlineMs_, static_cast<int>(ramp.state_),
                report.orderVersion_, report.foundBad_, encode(report.counts_), report.orderEra_ });
        if (report.total_.fromStart_ && ramp.state_ == rollout::RampState::Running)
            value.push_back(encode(report.total_.counts_));
        return value;
    }

    json encode(const routing::CrashReport& crash)
    {
        json suspects = json::array();
        for (const auto& suspect : crash.suspects_) {
            suspects.push_back(
                json::array({ suspect.fingerprint_.high_, suspect.fingerprint_.low_, suspect.started_.ms_ }));
        }
        return json::array({ crash.id_.host_, crash.id_.incarnation_, crash.id_.serial_, crash.upstream_,
            crash.at_.ms_, suspects });
    }

    rollout::RampCounts decodeCounts(const json& value)
    {
        const auto count = [&](size_t index) { return countValue<uint64_t>(value.at(index)); };
        rollout::RampCounts counts { count(0), count(1), count(2), count(3), count(4), count(5) };
        // Hosts of earlier releases do not report overdue requests.
        if (value.size() > 7) {
            counts.newOverdue_ = count(6);
            counts.oldOverdue_ = count(7);
        }
        return counts;
    }

    RampReport decodeRamp(const json& value)
    {
        const auto state = countValue<uint32_t>(value.at(4));
        if (state > static_cast<uint32_t>(rollout::RampState::Reverted))
            throw std::out_of_range("unknown state of a rollout");
        RampReport report { .ramp_ = { textValue(value.at(0)), textValue(value.at(1)), timeValue(value.at(2)),
                                timeValue(value.at(3)), static_cast<rollout::RampState>(state) },
            .orderVersion_ = countValue<uint64_t>(value.at(5)),
            .foundBad_ = value.at(6),
            .counts_ = decodeCounts(value.at(7)),
            // Hosts of earlier releases do not send it, nor a total.
            .orderEra_ = value.size() > 8 ? countValue<uint64_t>(value.at(8)) : 0 };
        if (value.size() > 9)
            report.total_ = { decodeCounts(value.at(9)), true };
        return report;
    }

    routing::CrashReport decodeCrash(const json& value)
    {
        routing::CrashReport crash { .id_ = { textValue(value.at(0)), countValue<uint64_t>(value.at(1)),
                                         countValue<uint64_t>(value.at(2)) },
            .upstream_ = textValue(value.at(3)),
            .at_ = { timeValue(value.at(4)) } };
        for (const json& suspect : value.at(5)) {
            crash.suspects_.push_back(
                { { countValue<uint64_t>(suspect.at(0)), countValue<uint64_t>(suspect.at(1)) },
                    { timeValue(suspect.at(2)) } });
        }
        return crash;
    }

    Result<Address> decodeAddress(const json& value) { return parseAddress(value.get<std::string>()); }

    json encode(const InFlight& entry)
    {
        json value = json::array({ entry.upstream_, entry.count_ });
        if (entry.hosts_ != 1)
            value.push_back(entry.hosts_);
        return value;
    }

    InFlight decodeInFlight(const json& value)
    {
        InFlight entry { countValue<uint32_t>(value.at(0)), countValue<uint32_t>(value.at(1)) };
        if (value.size() > 2)
            entry.hosts_ = countValue<uint32_t>(value.at(2));
        return entry;
    }

    /// Lists of the brief form and limits are flat: the values of one entry follow those of the entry before.
    size_t entryCount(const json& list, size_t valuesPerEntry)
    {
        if (!list.is_array() || list.size() % valuesPerEntry != 0)
            throw std::out_of_range("list with an incomplete entry");
        return list.size() / valuesPerEntry;
    }

    /// Flat: incarnation, rate or null, and age of each.
    json encodeLimits(const std::vector<LimitReport>& limits)
    {
        json list = json::array();
        for (const LimitReport& limit : limits) {
            list.push_back(limit.incarnation_);
            list.push_back(limit.rate_ ? json(static_cast<float>(*limit.rate_)) : json());
            list.push_back(limit.ageMs_);
        }
        return list;
    }

    std::vector<LimitReport> decodeLimits(const json& list)
    {
        std::vector<LimitReport> limits;
        for (size_t i = 0; i < entryCount(list, valuesPerLimit); ++i) {
            const json& rate = list[valuesPerLimit * i + 1];
            limits.push_back({ countValue<uint32_t>(list[valuesPerLimit * i]),
                rate.is_null() ? std::nullopt : std::optional(amountValue(rate)),
                countValue<uint32_t>(list[valuesPerLimit * i + 2]) });
        }
        return limits;
    }

    Result<HostReport> decodeReportValue(const json& value)
    {
        if (!value.is_array() || (value.size() != memberCount && value.size() != memberCount + 1))
            return makeError(ErrorCode::Invalid, "report is not a CBOR array with all 16 members");
        HostReport report;
        size_t next = 0;
        report.name_ = textValue(value.at(next++));
        report.incarnation_ = countValue<uint64_t>(value.at(next++));
        report.sequence_ = countValue<uint64_t>(value.at(next++));
        BOOST_OUTCOME_TRY(callerAddress, decodeAddress(value.at(next++)));
        BOOST_OUTCOME_TRY(peerAddress, decodeAddress(value.at(next++)));
        report.callerAddress_ = std::move(callerAddress);
        report.peerAddress_ = std::move(peerAddress);
        report.region_ = textValue(value.at(next++));
        report.failureDomain_ = textValue(value.at(next++));
        report.ready_ = value.at(next++);
        report.leaving_ = value.at(next++);
        report.reachesStore_ = value.at(next++);
        report.storeReachableMs_ = countValue<uint32_t>(value.at(next++));
        for (const json& entry : value.at(next++))
            report.inFlight_.push_back(decodeInFlight(entry));
        for (const json& entry : value.at(next++))
            report.demands_.push_back({ countValue<uint32_t>(entry.at(0)), amountValue(entry.at(1)),
                countValue<uint32_t>(entry.at(2)) });
        for (const json& entry : value.at(next++)) {
            if (isCapacityEntry(entry))
                report.capacity_ = decodeCapacity(entry.at(valuesPerService));
            else
                report.services_.push_back(decodeService(entry));
        }
        for (const json& entry : value.at(next++))
            report.ramps_.push_back(decodeRamp(entry));
        for (const json& entry : value.at(next++))
            report.crashes_.push_back(decodeCrash(entry));
        if (next < value.size())
            report.limits_ = decodeLimits(value.at(next));
        return report;
    }

    template <typename Entry> json encodeAll(const std::vector<Entry>& entries)
    {
        json list = json::array();
        for (const Entry& entry : entries)
            list.push_back(encode(entry));
        return list;
    }

    json encodeReportValue(const HostReport& report)
    {
        json demands = json::array();
        for (const Demand& entry : report.demands_)
            demands.push_back(
                json::array({ entry.workspace_, static_cast<float>(entry.rate_), entry.admitted_ }));
        json services = encodeAll(report.services_);
        if (report.capacity_ != HostCapacity {})
            services.push_back(encodeCapacityEntry(report.capacity_));
        json value = json::array(
            { report.name_, report.incarnation_, report.sequence_, addressText(report.callerAddress_),
                addressText(report.peerAddress_), report.region_, report.failureDomain_, report.ready_,
                report.leaving_, report.reachesStore_, report.storeReachableMs_, encodeAll(report.inFlight_),
                demands, services, encodeAll(report.ramps_), encodeAll(report.crashes_) });
        if (!report.limits_.empty())
            value.push_back(encodeLimits(report.limits_));
        return value;
    }

    json encodeBriefValue(const HostReport& report)
    {
        json inFlight = json::array();
        for (const InFlight& entry : report.inFlight_) {
            inFlight.push_back(entry.upstream_);
            inFlight.push_back(entry.count_);
        }
        json demands = json::array();
        for (const Demand& entry : report.demands_) {
            demands.push_back(entry.workspace_);
            demands.push_back(static_cast<float>(entry.rate_));
            demands.push_back(entry.admitted_);
        }
        json services = json::array();
        for (const ServiceReport& entry : report.services_) {
            services.push_back(entry.service_);
            services.push_back(static_cast<float>(entry.unboundDemand_));
            services.push_back(encode(entry.boundDemand_));
        }
        json value = json::array({ briefSender(report.name_, report.incarnation_), report.sequence_,
            encodeFlags(report), report.storeReachableMs_, inFlight, demands, services,
            encodeAll(report.ramps_), encodeAll(report.crashes_) });
        if (!report.limits_.empty())
            value.push_back(encodeLimits(report.limits_));
        return value;
    }

    BriefReport decodeBriefValue(const json& value)
    {
        BriefReport brief { .sender_ = countValue<uint32_t>(value.at(0)) };
        HostReport& report = brief.report_;
        report.sequence_ = countValue<uint64_t>(value.at(1));
        decodeFlags(value.at(2), report);
        report.storeReachableMs_ = countValue<uint32_t>(value.at(3));
        const json& inFlight = value.at(4);
        for (size_t i = 0; i < entryCount(inFlight, 2); ++i)
            report.inFlight_.push_back(
                { countValue<uint32_t>(inFlight[2 * i]), countValue<uint32_t>(inFlight[2 * i + 1]) });
        const json& demands = value.at(5);
        for (size_t i = 0; i < entryCount(demands, 3); ++i)
            report.demands_.push_back({ countValue<uint32_t>(demands[3 * i]), amountValue(demands[3 * i + 1]),
                countValue<uint32_t>(demands[3 * i + 2]) });
        const json& services = value.at(6);
        for (size_t i = 0; i < entryCount(services, 3); ++i)
            report.services_.push_back({ countValue<uint32_t>(services[3 * i]),
                amountValue(services[3 * i + 1]), {}, decodeRegionValues(services[3 * i + 2]) });
        for (const json& entry : value.at(7))
            report.ramps_.push_back(decodeRamp(entry));
        for (const json& entry : value.at(8))
            report.crashes_.push_back(decodeCrash(entry));
        if (value.size() > briefMemberCount)
            report.limits_ = decodeLimits(value.at(briefMemberCount));
        return brief;
    }

} // namespace detail

uint32_t shortHash(const std::string& text) { return static_cast<uint32_t>(hash64(text)); }

uint32_t incarnationHash(const std::string& upstream, int64_t startedMs)
{
    return shortHash(upstream + "/" + std::to_string(startedMs));
}

std::string encodeReport(const HostReport& report)
{
    std::string bytes;
    json::to_cbor(detail::encodeReportValue(report), bytes);
    return bytes;
}

Result<HostReport> decodeReport(const std::string& bytes)
{
    return detail::decodeChecked(bytes, detail::maxReportDepth, "report", detail::decodeReportValue);
}

uint32_t briefSender(const std::string& name, uint64_t incarnation)
{
    return shortHash(name + "/" + std::to_string(incarnation));
}

HostReport completeReport(BriefReport brief, const HostReport& last)
{
    HostReport report = std::move(brief.report_);
    report.name_ = last.name_;
    report.incarnation_ = last.incarnation_;
    report.callerAddress_ = last.callerAddress_;
    report.peerAddress_ = last.peerAddress_;
    report.region_ = last.region_;
    report.failureDomain_ = last.failureDomain_;
    report.capacity_ = last.capacity_;
    for (ServiceReport& service : report.services_) {
        for (const ServiceReport& known : last.services_) {
            if (known.service_ == service.service_)
                service.split_ = known.split_;
        }
    }
    return report;
}

std::string encodeBriefReport(const HostReport& report)
{
    std::string bytes;
    json::to_cbor(detail::encodeBriefValue(report), bytes);
    return bytes;
}

bool isBriefReport(const std::string& bytes)
{
    return !bytes.empty()
        && (bytes.front() == detail::briefArrayHeader || bytes.front() == detail::briefArrayHeaderWithLimits);
}

Result<BriefReport> decodeBriefReport(const std::string& bytes)
{
    return detail::decodeChecked(
        bytes, detail::maxReportDepth, "brief report", [](const json& value) -> Result<BriefReport> {
            const size_t size = value.is_array() ? value.size() : 0;
            if (size != detail::briefMemberCount && size != detail::briefMemberCount + 1)
                return makeError(ErrorCode::Invalid, "brief report is not a CBOR array with all 9 members");
            return detail::decodeBriefValue(value);
        });
}

} // namespace turmericwing::gateway
