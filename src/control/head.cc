// JSON codec of the control head and of deltas between two heads.
#include "turmericwing/control/head.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace turmericwing::control {

namespace detail {

    using Json = nlohmann::json;

    // A head of 810 members takes about 60 KB; messages between hosts carry at most 1 MiB.
    constexpr size_t maxHeadBytes = 1 << 20;
    constexpr size_t maxListEntries = 4096;
    constexpr size_t maxStringBytes = 1024;

    /// Reads the fields of a JSON object and keeps the first error.
    struct ObjectReader {
        const Json& object_;
        std::string path_;
        std::string& firstError_;

        void reportError(const std::string& field, const char* reason) const
        {
            if (firstError_.empty())
                firstError_ = path_ + field + ": " + reason;
        }

        const Json* get(const char* field) const
        {
            const auto it = object_.find(field);
            if (it == object_.end()) {
                reportError(field, "missing");
                return nullptr;
            }
            return &*it;
        }

        uint64_t number(const char* field) const
        {
            const Json* value = get(field);
            if (!value)
                return 0;
            if (!value->is_number_unsigned()) {
                reportError(field, "not an unsigned integer");
                return 0;
            }
            return value->get<uint64_t>();
        }

        std::string text(const char* field) const
        {
            const Json* value = get(field);
            if (!value)
                return {};
            if (!value->is_string()) {
                reportError(field, "not a string");
                return {};
            }
            auto out = value->get<std::string>();
            if (out.size() > maxStringBytes) {
                reportError(field, "longer than 1024 bytes");
                return {};
            }
            return out;
        }

        double fraction(const char* field) const
        {
            const Json* value = get(field);
            if (!value)
                return 0;
            const double out = value->is_number() ? value->get<double>() : -1;
            if (!(out >= 0 && out <= 1))
                reportError(field, "not a number from 0 to 1");
            return out;
        }

        template <size_t N> size_t enumIndex(const char* field, const std::array<const char*, N>& names) const
        {
            const std::string value = text(field);
            const auto it = std::find(names.begin(), names.end(), value);
            if (it == names.end()) {
                reportError(field, "unknown value");
                return 0;
            }
            return static_cast<size_t>(it - names.begin());
        }

        const Json& list(const char* field) const
        {
            static const Json empty = Json::array();
            const Json* value = get(field);
            if (!value)
                return empty;
            if (!value->is_array() || value->size() > maxListEntries) {
                reportError(field, "not a list of at most 4096 entries");
                return empty;
            }
            return *value;
        }

        std::vector<std::string> textList(const char* field) const
        {
            std::vector<std::string> out;
            for (const Json& entry : list(field)) {
                if (!entry.is_string() || entry.get_ref<const std::string&>().size() > maxStringBytes) {
                    reportError(field, "entry is not a string of at most 1024 bytes");
                    break;
                }
                out.push_back(entry.get<std::string>());
            }
            return out;
        }

        /// Calls `read` with an ObjectReader for each entry of a list of objects.
        template <typename Read> void forEachObject(const char* field, Read read) const
        {
            size_t i = 0;
            for (const Json& entry : list(field)) {
                const std::string path = path_ + field + "[" + std::to_string(i++) + "]";
                const ObjectReader reader { entry, path + ".", firstError_ };
                if (!entry.is_object()) {
                    if (firstError_.empty())
                        firstError_ = path + ": not an object";
                    return;
                }
                read(reader);
            }
        }
    };

    constexpr std::array memberStates { "live", "leaving" };
    constexpr std::array movePhases { "running", "done", "rolled-back" };

    bool isDigest(const std::string& text)
    {
        return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

} // namespace detail

namespace detail {

    /// Region and failure domain of a member.
    using Place = std::pair<std::string, std::string>;

    std::string ipOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

    Json encodeMembers(const std::vector<Member>& members, Json& places)
    {
        std::map<Place, size_t> index;
        Json out = Json::array();
        for (const Member& m : members) {
            const auto [place, added] = index.try_emplace({ m.region_, m.failureDomain_ }, index.size());
            if (added)
                places.push_back({ m.region_, m.failureDomain_ });
            // Usually a host has the same IP address for callers and peers; then only the peer port is
            // written.
            const std::string ip = ipOf(m.callerAddress_);
            const bool sameIp = !ip.empty() && m.peerAddress_.size() > ip.size()
                && m.peerAddress_.compare(0, ip.size(), ip) == 0 && m.peerAddress_[ip.size()] == ':';
            out.push_back({ m.host_, m.incarnation_, place->second, m.callerAddress_,
                sameIp ? m.peerAddress_.substr(ip.size()) : m.peerAddress_,
                memberStates[static_cast<size_t>(m.state_)] });
        }
        return out;
    }

    /// Reads the values of a JSON array by position. The field names appear in error messages only.
    struct ArrayReader {
        const Json& array_;
        std::string path_;
        std::string& firstError_;

        void reportError(const char* field, const char* reason) const
        {
            if (firstError_.empty())
                firstError_ = path_ + field + ": " + reason;
        }

        std::string text(size_t position, const char* field) const
        {
            if (array_[position].is_string()
                && array_[position].get_ref<const std::string&>().size() <= maxStringBytes)
                return array_[position].get<std::string>();
            reportError(field, "not a string of at most 1024 bytes");
            return {};
        }

        uint64_t number(size_t position, const char* field) const
        {
            if (array_[position].is_number_unsigned())
                return array_[position].get<uint64_t>();
            reportError(field, "not an unsigned integer");
            return 0;
        }
    };

    /// Calls `read` with an ArrayReader for each array of `size` values in a list.
    template <typename Read>
    void forEachArray(const ObjectReader& reader, const char* field, size_t size, Read read)
    {
        size_t i = 0;
        for (const Json& entry : reader.list(field)) {
            const std::string path = field + ("[" + std::to_string(i++) + "]");
            if (!entry.is_array() || entry.size() != size)
                return reader.reportError(path, "not an array of the expected size");
            read(ArrayReader { entry, reader.path_ + path + ".", reader.firstError_ });
        }
    }

    std::vector<Member> decodeMembers(const ObjectReader& reader)
    {
        std::vector<Place> places;
        forEachArray(reader, "places", 2, [&](const ArrayReader& entry) {
            places.emplace_back(entry.text(0, "region"), entry.text(1, "failureDomain"));
        });
        std::vector<Member> members;
        forEachArray(reader, "members", 6, [&](const ArrayReader& entry) {
            Member member;
            member.host_ = entry.text(0, "host");
            if (member.host_.empty() || (!members.empty() && member.host_ <= members.back().host_))
                entry.reportError("host", "empty, or not in ascending order");
            member.incarnation_ = entry.number(1, "incarnation");
            const uint64_t place = entry.number(2, "place");
            if (place < places.size())
                std::tie(member.region_, member.failureDomain_) = places[place];
            else
                entry.reportError("place", "not in the list of places");
            member.callerAddress_ = entry.text(3, "callerAddress");
            member.peerAddress_ = entry.text(4, "peerAddress");
            if (!member.peerAddress_.empty() && member.peerAddress_.front() == ':')
                member.peerAddress_.insert(0, ipOf(member.callerAddress_));
            const std::string state = entry.text(5, "state");
            const auto it = std::find(memberStates.begin(), memberStates.end(), state);
            if (it == memberStates.end())
                entry.reportError("state", "unknown value");
            else
                member.state_ = static_cast<MemberState>(it - memberStates.begin());
            members.push_back(std::move(member));
        });
        return members;
    }

    Json encode(const Head& head)
    {
        Json places = Json::array();
        Json members = encodeMembers(head.members_, places);
        Json moves = Json::array();
        for (const MoveStatus& m : head.moves_)
            moves.push_back({ { "name", m.name_ }, { "step", m.step_ }, { "share", m.share_ },
                { "phase", movePhases[static_cast<size_t>(m.phase_)] }, { "reason", m.reason_ } });
        return { { "version", head.version_ }, { "revision", head.revision_ }, { "digest", head.digest_ },
            { "epoch", head.epoch_ }, { "places", std::move(places) }, { "members", std::move(members) },
            { "moves", std::move(moves) }, { "drainedUpstreams", head.drainedUpstreams_ },
            { "publisher", head.publisher_ }, { "nonce", head.nonce_ }, { "change", head.change_ },
            { "writtenAt", head.writtenAt_.ms_ } };
    }

    std::string dump(const Json& json)
    {
        // Strings come from operators and may be invalid UTF-8; it is replaced because encoding must not
        // fail.
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    Error invalidHead(const std::string& message)
    {
        return makeError(ErrorCode::Invalid, "head: " + message);
    }

    Result<Json> parse(const std::string& text)
    {
        if (text.size() > maxHeadBytes)
            return invalidHead("larger than 1 MiB");
        Json json = Json::parse(text, nullptr, false);
        if (!json.is_object())
            return invalidHead("not a JSON object");
        return json;
    }

    Head decode(const ObjectReader& reader)
    {
        Head head;
        head.version_ = reader.number("version");
        head.revision_ = reader.number("revision");
        head.digest_ = reader.text("digest");
        if (!head.digest_.empty() && !isDigest(head.digest_))
            reader.reportError("digest", "not 64 hexadecimal digits");
        head.epoch_ = reader.number("epoch");
        head.members_ = decodeMembers(reader);
        reader.forEachObject("moves", [&](const ObjectReader& r) {
            MoveStatus move;
            move.name_ = r.text("name");
            const uint64_t step = r.number("step");
            if (step > UINT32_MAX)
                r.reportError("step", "larger than 32 bits");
            move.step_ = static_cast<uint32_t>(step);
            move.share_ = r.fraction("share");
            move.phase_ = static_cast<MovePhase>(r.enumIndex("phase", movePhases));
            move.reason_ = r.text("reason");
            head.moves_.push_back(std::move(move));
        });
        head.drainedUpstreams_ = reader.textList("drainedUpstreams");
        head.publisher_ = reader.text("publisher");
        head.nonce_ = reader.text("nonce");
        head.change_ = reader.text("change");
        if (const Json* writtenAt = reader.get("writtenAt")) {
            if (writtenAt->is_number_integer())
                head.writtenAt_.ms_ = writtenAt->get<int64_t>();
            else
                reader.reportError("writtenAt", "not an integer");
        }
        return head;
    }

    const Member* findByHost(const std::vector<Member>& members, const std::string& host)
    {
        const auto it = std::lower_bound(members.begin(), members.end(), host,
            [](const Member& m, const std::string& name) { return m.host_ < name; });
        return it != members.end() && it->host_ == host ? &*it : nullptr;
    }

} // namespace detail

std::string encodeHead(const Head& head) { return detail::dump(detail::encode(head)); }

Result<Head> decodeHead(const std::string& text)
{
    BOOST_OUTCOME_TRY(json, detail::parse(text));
    std::string firstError;
    Head head = detail::decode({ json, "", firstError });
    if (!firstError.empty())
        return detail::invalidHead(firstError);
    return head;
}

std::string encodeHeadDelta(const Head& base, const Head& next)
{
    Head changed = next;
    std::erase_if(changed.members_, [&](const Member& member) {
        const Member* before = detail::findByHost(base.members_, member.host_);
        return before && *before == member;
    });
    detail::Json json = detail::encode(changed);
    detail::Json removed = detail::Json::array();
    for (const Member& member : base.members_) {
        if (!detail::findByHost(next.members_, member.host_))
            removed.push_back(member.host_);
    }
    json["removed"] = std::move(removed);
    json["baseVersion"] = base.version_;
    json["baseNonce"] = base.nonce_;
    return detail::dump(json);
}

Result<Head> decodeHeadDelta(const Head& base, const std::string& text)
{
    BOOST_OUTCOME_TRY(json, detail::parse(text));
    std::string firstError;
    const detail::ObjectReader reader { json, "", firstError };
    Head head = detail::decode(reader);
    const bool isChange = json.contains("baseVersion");
    const uint64_t baseVersion = isChange ? reader.number("baseVersion") : 0;
    const std::string baseNonce = isChange ? reader.text("baseNonce") : std::string();
    const std::vector<std::string> removed
        = isChange ? reader.textList("removed") : std::vector<std::string> {};
    if (!firstError.empty())
        return detail::invalidHead(firstError);
    if (!isChange)
        return head;
    if (baseVersion != base.version_ || baseNonce != base.nonce_)
        return makeError(ErrorCode::Conflict,
            "head: a change based on version " + std::to_string(baseVersion) + ", not on "
                + std::to_string(base.version_));
    const std::set<std::string> removedHosts(removed.begin(), removed.end());
    std::vector<Member> kept;
    for (const Member& member : base.members_) {
        if (removedHosts.count(member.host_) == 0 && !detail::findByHost(head.members_, member.host_))
            kept.push_back(member);
    }
    std::vector<Member> members;
    std::merge(kept.begin(), kept.end(), head.members_.begin(), head.members_.end(),
        std::back_inserter(members), [](const Member& a, const Member& b) { return a.host_ < b.host_; });
    head.members_ = std::move(members);
    return head;
}

} // namespace turmericwing::control
