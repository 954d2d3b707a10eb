// JSON codec of the control head.
#include "turmericwing/control/head.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace turmericwing::control {

namespace detail {

    using Json = nlohmann::json;

    // A head of 810 members takes about 200 KB; messages between hosts carry at most 1 MiB.
    constexpr size_t maxHeadBytes = 1 << 20;
    constexpr size_t maxListEntries = 4096;
    constexpr size_t maxStringBytes = 1024;

    /// Reads fields of one JSON object and remembers the first fault.
    struct Reader {
        const Json& object_;
        std::string path_;
        std::string& fault_;

        void fail(const std::string& field, const char* reason) const
        {
            if (fault_.empty())
                fault_ = path_ + field + ": " + reason;
        }

        const Json* get(const char* field) const
        {
            const auto it = object_.find(field);
            if (it == object_.end()) {
                fail(field, "missing");
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
                fail(field, "not an unsigned integer");
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
                fail(field, "not a string");
                return {};
            }
            auto out = value->get<std::string>();
            if (out.size() > maxStringBytes) {
                fail(field, "longer than 1024 bytes");
                return {};
            }
            return out;
        }

        double share(const char* field) const
        {
            const Json* value = get(field);
            if (!value)
                return 0;
            const double out = value->is_number() ? value->get<double>() : -1;
            if (!(out >= 0 && out <= 1))
                fail(field, "not a number from 0 to 1");
            return out;
        }

        template <size_t N> size_t choice(const char* field, const std::array<const char*, N>& names) const
        {
            const std::string value = text(field);
            const auto it = std::find(names.begin(), names.end(), value);
            if (it == names.end()) {
                fail(field, "unknown value");
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
                fail(field, "not a list of at most 4096 entries");
                return empty;
            }
            return *value;
        }

        /// Calls `read` with a Reader for each entry of a list of objects.
        template <typename Read> void each(const char* field, Read read) const
        {
            size_t i = 0;
            for (const Json& entry : list(field)) {
                const std::string path = path_ + field + "[" + std::to_string(i++) + "]";
                const Reader reader { entry, path + ".", fault_ };
                if (!entry.is_object()) {
                    if (fault_.empty())
                        fault_ = path + ": not an object";
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

using detail::Json;
using detail::Reader;

std::string encodeHead(const Head& head)
{
    Json members = Json::array();
    for (const Member& m : head.members_)
        members.push_back({ { "host", m.host_ }, { "incarnation", m.incarnation_ }, { "region", m.region_ },
            { "failureDomain", m.failureDomain_ }, { "callerAddress", m.callerAddress_ },
            { "peerAddress", m.peerAddress_ },
            { "state", detail::memberStates[static_cast<size_t>(m.state_)] } });
    Json moves = Json::array();
    for (const MoveStatus& m : head.moves_)
        moves.push_back({ { "name", m.name_ }, { "step", m.step_ }, { "share", m.share_ },
            { "phase", detail::movePhases[static_cast<size_t>(m.phase_)] }, { "reason", m.reason_ } });
    const Json out { { "version", head.version_ }, { "revision", head.revision_ }, { "digest", head.digest_ },
        { "epoch", head.epoch_ }, { "members", std::move(members) }, { "moves", std::move(moves) },
        { "drainedUpstreams", head.drainedUpstreams_ }, { "publisher", head.publisher_ },
        { "nonce", head.nonce_ }, { "change", head.change_ }, { "writtenAt", head.writtenAt_.ms_ } };
    // Strings come from operators; invalid UTF-8 is replaced because the encoder must not fail.
    return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Head> decodeHead(const std::string& text)
{
    const auto invalid
        = [](std::string message) { return makeError(ErrorCode::Invalid, std::move(message)); };
    if (text.size() > detail::maxHeadBytes)
        return invalid("head: larger than 1 MiB");
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return invalid("head: not a JSON object");
    std::string fault;
    const Reader reader { json, "", fault };
    Head head;
    head.version_ = reader.number("version");
    head.revision_ = reader.number("revision");
    head.digest_ = reader.text("digest");
    if (!head.digest_.empty() && !detail::isDigest(head.digest_))
        reader.fail("digest", "not 64 hexadecimal digits");
    head.epoch_ = reader.number("epoch");
    reader.each("members", [&](const Reader& r) {
        Member member;
        member.host_ = r.text("host");
        if (member.host_.empty() || (!head.members_.empty() && member.host_ <= head.members_.back().host_))
            r.fail("host", "empty, or not in ascending order");
        member.incarnation_ = r.number("incarnation");
        member.region_ = r.text("region");
        member.failureDomain_ = r.text("failureDomain");
        member.callerAddress_ = r.text("callerAddress");
        member.peerAddress_ = r.text("peerAddress");
        member.state_ = static_cast<MemberState>(r.choice("state", detail::memberStates));
        head.members_.push_back(std::move(member));
    });
    reader.each("moves", [&](const Reader& r) {
        MoveStatus move;
        move.name_ = r.text("name");
        const uint64_t step = r.number("step");
        if (step > UINT32_MAX)
            r.fail("step", "larger than 32 bits");
        move.step_ = static_cast<uint32_t>(step);
        move.share_ = r.share("share");
        move.phase_ = static_cast<MovePhase>(r.choice("phase", detail::movePhases));
        move.reason_ = r.text("reason");
        head.moves_.push_back(std::move(move));
    });
    for (const Json& entry : reader.list("drainedUpstreams")) {
        if (!entry.is_string() || entry.get_ref<const std::string&>().size() > detail::maxStringBytes) {
            reader.fail("drainedUpstreams", "entry is not a string of at most 1024 bytes");
            break;
        }
        head.drainedUpstreams_.push_back(entry.get<std::string>());
    }
    head.publisher_ = reader.text("publisher");
    head.nonce_ = reader.text("nonce");
    head.change_ = reader.text("change");
    if (const Json* writtenAt = reader.get("writtenAt")) {
        if (writtenAt->is_number_integer())
            head.writtenAt_.ms_ = writtenAt->get<int64_t>();
        else
            reader.fail("writtenAt", "not an integer");
    }
    if (!fault.empty())
        return invalid("head: " + fault);
    return head;
}

} // namespace turmericwing::control
