// Sums over the reports of a failure domain, and their CBOR encoding.
#include "turmericwing/gateway/summary.h"

#include "reportvalues.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericwing::gateway {

using nlohmann::json;

namespace detail {

    /// First byte of a CBOR array of three, which is how a summary begins; a report is an array of 16.
    constexpr char summaryArrayHeader = static_cast<char>(0x83);
    constexpr size_t maxSummaryDepth = maxReportDepth + 1; ///< The report is one member of the message.
    constexpr size_t maxMembers = 4096;

    void addRegionValues(std::vector<std::pair<uint32_t, double>>& sums,
        const std::vector<std::pair<uint32_t, double>>& values)
    {
        for (const auto& value : values) {
            const auto sum = std::find_if(
                sums.begin(), sums.end(), [&](const auto& entry) { return entry.first == value.first; });
            if (sum == sums.end())
                sums.push_back(value);
            else
                sum->second += value.second;
        }
    }

    void addServices(std::vector<ServiceReport>& sums, const std::vector<ServiceReport>& services)
    {
        for (const ServiceReport& service : services) {
            const auto sum = std::find_if(sums.begin(), sums.end(),
                [&](const ServiceReport& entry) { return entry.service_ == service.service_; });
            if (sum == sums.end()) {
                sums.push_back(service);
                continue;
            }
            sum->unboundDemand_ += service.unboundDemand_;
            addRegionValues(sum->boundDemand_, service.boundDemand_);
            // A split is a decision, not a quantity: any member's will do for hosts that start.
            if (sum->split_.empty())
                sum->split_ = service.split_;
        }
    }

    void addRamps(std::vector<RampReport>& sums, const std::vector<RampReport>& ramps)
    {
        for (const RampReport& ramp : ramps) {
            const auto sum = std::find_if(sums.begin(), sums.end(), [&](const RampReport& entry) {
                return entry.ramp_.service_ == ramp.ramp_.service_
                    && entry.ramp_.version_ == ramp.ramp_.version_
                    && entry.ramp_.startMs_ == ramp.ramp_.startMs_;
            });
            if (sum == sums.end()) {
                sums.push_back(ramp);
                continue;
            }
            sum->counts_ += ramp.counts_;
            sum->foundBad_ = sum->foundBad_ || ramp.foundBad_;
            // A total is already over all hosts: any that covers the whole ramp will do.
            if (!sum->total_.fromStart_)
                sum->total_ = ramp.total_;
            // An ended rollout does not run again, so the end wins whoever knows it first.
            if (sum->ramp_.state_ == rollout::RampState::Running)
                sum->ramp_ = ramp.ramp_;
        }
    }

    json encode(const MemberEntry& member)
    {
        json value = json::array({ member.name_, addressText(member.callerAddress_),
            member.peerAddress_.ip_ == member.callerAddress_.ip_ ? json(member.peerAddress_.port_)
                                                                 : json(addressText(member.peerAddress_)),
            encodeFlags(member) });
        if (member.capacity_ != HostCapacity {})
            value.push_back(encode(member.capacity_));
        return value;
    }

    Result<MemberEntry> decodeMember(const json& value)
    {
        MemberEntry member { .name_ = textValue(value.at(0)) };
        BOOST_OUTCOME_TRY(callerAddress, parseAddress(value.at(1).get<std::string>()));
        member.callerAddress_ = callerAddress;
        if (value.at(2).is_number()) {
            member.peerAddress_ = { callerAddress.ip_, countValue<uint16_t>(value.at(2)) };
        } else {
            BOOST_OUTCOME_TRY(peerAddress, parseAddress(value.at(2).get<std::string>()));
            member.peerAddress_ = peerAddress;
        }
        decodeFlags(value.at(3), member);
        // Hosts of earlier releases do not send it.
        if (value.size() > 4)
            member.capacity_ = decodeCapacity(value.at(4));
        if (member.name_.empty())
            return makeError(ErrorCode::Invalid, "summary has a member without a name");
        return member;
    }

    Result<SummaryMessage> decodeSummaryValue(const json& value)
    {
        if (!value.is_array() || value.size() != 3 || value.at(2).size() > maxMembers)
            return makeError(ErrorCode::Invalid, "summary is not a CBOR array of flag, sums and members");
        SummaryMessage message;
        message.forward_ = value.at(0).get<bool>();
        BOOST_OUTCOME_TRY(sums, decodeReportValue(value.at(1)));
        message.summary_.sums_ = std::move(sums);
        for (const json& entry : value.at(2)) {
            BOOST_OUTCOME_TRY(member, decodeMember(entry));
            message.summary_.members_.push_back(std::move(member));
        }
        const HostReport& report = message.summary_.sums_;
        if (report.name_.empty() || report.failureDomain_.empty())
            return makeError(ErrorCode::Invalid, "summary has no aggregator or failure domain");
        return message;
    }

} // namespace detail

void addLoad(HostReport& sums, const HostReport& member)
{
    for (const InFlight& entry : member.inFlight_) {
        const auto sum = std::find_if(sums.inFlight_.begin(), sums.inFlight_.end(),
            [&](const InFlight& known) { return known.upstream_ == entry.upstream_; });
        if (sum == sums.inFlight_.end()) {
            sums.inFlight_.push_back(entry);
            continue;
        }
        sum->count_ += entry.count_;
        sum->hosts_ += entry.hosts_;
    }
    sums.crashes_.insert(sums.crashes_.end(), member.crashes_.begin(), member.crashes_.end());
    if (member.leaving_)
        return;
    detail::addServices(sums.services_, member.services_);
    detail::addRamps(sums.ramps_, member.ramps_);
}

std::string encodeSummary(const SummaryMessage& message)
{
    json members = json::array();
    for (const MemberEntry& member : message.summary_.members_)
        members.push_back(detail::encode(member));
    std::string bytes;
    json::to_cbor(
        json::array({ message.forward_, detail::encodeReportValue(message.summary_.sums_), members }), bytes);
    return bytes;
}

bool isSummary(const std::string& bytes)
{
    return !bytes.empty() && bytes.front() == detail::summaryArrayHeader;
}

Result<SummaryMessage> decodeSummary(const std::string& bytes)
{
    return detail::decodeChecked(bytes, detail::maxSummaryDepth, "summary", detail::decodeSummaryValue);
}

} // namespace turmericwing::gateway
