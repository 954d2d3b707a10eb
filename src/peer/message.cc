// CBOR codec. One function lists the fields of each message; a writer and a reader visit the list.
#include "turmericwing/peer/message.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <type_traits>

namespace turmericwing::peer {

namespace detail {

    using Json = nlohmann::json;

    template <typename T, typename V>
    concept Is = std::is_same_v<std::remove_const_t<T>, V>;

    // The envelope takes the names v, t, i and r.
    template <typename V, Is<DomainSummary> T> void visit(V& v, T& m)
    {
        v("d", m.domain_);
        v("m", m.members_);
        v("w", m.withoutContact_);
        v("n", m.notHeard_);
        v("h", m.headVersion_);
        v("a", m.ageMs_);
        v("l", m.inFlight_);
        v("s", m.suspects_);
    }

    template <typename V, Is<Heartbeat> T> void visit(V& v, T& m)
    {
        v("n", m.incarnation_);
        v("c", m.contact_);
        v("h", m.headVersion_);
        v("l", m.inFlight_);
        v("s", m.summaries_);
    }

    template <typename V, Is<Probe> T> void visit(V& v, T& m)
    {
        v("n", m.incarnation_);
        v("c", m.contact_);
        v("h", m.headVersion_);
    }

    template <typename V, Is<Evidence> T> void visit(V& v, T& m)
    {
        v("n", m.incarnation_);
        v("e", m.valid_);
        v("c", m.contact_);
        v("h", m.headVersion_);
        v("d", m.candidate_);
    }

    template <typename V, Is<HeadGet> T> void visit(V& v, T& m) { v("h", m.knownVersion_); }

    template <typename V, Is<HeadRow> T> void visit(V& v, T& m)
    {
        v("h", m.version_);
        v("a", m.ageUs_);
        v("c", m.contact_);
        v("b", m.row_);
    }

    template <typename V, Is<BlobGet> T> void visit(V& v, T& m)
    {
        v("d", m.digest_);
        v("o", m.offset_);
    }

    template <typename V, Is<Blob> T> void visit(V& v, T& m)
    {
        v("d", m.digest_);
        v("o", m.offset_);
        v("n", m.total_);
        v("b", m.bytes_);
    }

    template <typename V, Is<TokenPull> T> void visit(V& v, T& m)
    {
        v("w", m.workspace_);
        v("e", m.epoch_);
        v("n", m.tokens_);
    }

    template <typename V, Is<TokenGrant> T> void visit(V& v, T& m)
    {
        v("w", m.workspace_);
        v("e", m.epoch_);
        v("n", m.tokens_);
        v("d", m.deadlineMs_);
    }

    template <typename V, Is<SlotBorrow> T> void visit(V& v, T& m)
    {
        v("u", m.upstream_);
        v("e", m.epoch_);
        v("n", m.slots_);
    }

    template <typename V, Is<SlotLoan> T> void visit(V& v, T& m)
    {
        v("u", m.upstream_);
        v("e", m.epoch_);
        v("l", m.loan_);
        v("s", m.slots_);
        v("d", m.deadlineMs_);
    }

    template <typename V, Is<SlotReturn> T> void visit(V& v, T& m)
    {
        v("u", m.upstream_);
        v("e", m.epoch_);
        v("l", m.loan_);
        v("s", m.slots_);
    }

    template <typename V, Is<SideStats> T> void visit(V& v, T& m)
    {
        v("n", m.count_);
        v("e", m.errors_);
        v("l", m.latencySumUs_);
        v("q", m.latencySquaredSumMs_);
    }

    template <typename V, Is<RouteStats> T> void visit(V& v, T& m)
    {
        v("r", m.route_);
        v("o", m.old_);
        v("n", m.new_);
    }

    template <typename V, Is<MoveStats> T> void visit(V& v, T& m)
    {
        v("m", m.move_);
        v("n", m.incarnation_);
        v("s", m.step_);
        v("R", m.routes_);
    }

    template <typename V, Is<MoveShare> T> void visit(V& v, T& m)
    {
        v("m", m.move_);
        v("e", m.epoch_);
        v("s", m.step_);
        v("p", m.share_);
        v("d", m.deadlineMs_);
    }

    template <typename V, Is<MoveTrip> T> void visit(V& v, T& m)
    {
        v("m", m.move_);
        v("s", m.step_);
        v("w", m.reason_);
    }

    template <typename V, Is<Crash> T> void visit(V& v, T& m)
    {
        v("u", m.upstream_);
        v("f", m.fingerprints_);
    }

    template <typename V, Is<Quarantine> T> void visit(V& v, T& m)
    {
        v("f", m.fingerprint_);
        v("u", m.upstream_);
        v("d", m.remainingMs_);
    }

    template <typename V, Is<Refusal> T> void visit(V& v, T& m)
    {
        v("c", m.code_);
        v("m", m.message_);
    }

    constexpr std::array<const char*, std::variant_size_v<Message>> typeNames { "heartbeat", "probe",
        "evidence", "headGet", "head", "blobGet", "blob", "tokenPull", "tokenGrant", "slotBorrow", "slotLoan",
        "slotReturn", "moveStats", "moveShare", "moveTrip", "crash", "quarantine", "refusal" };

    struct Writer {
        template <typename T> void operator()(const char* name, const T& value)
        {
            json_[name] = convert(value);
        }

        template <typename T> static Json convert(const T& value)
        {
            if constexpr (std::is_class_v<T> && !std::is_same_v<T, std::string>) {
                Writer nested;
                visit(nested, value);
                return std::move(nested.json_);
            } else {
                return value;
            }
        }

        template <typename T> static Json convert(const std::vector<T>& values)
        {
            Json list = Json::array();
            for (const auto& value : values)
                list.push_back(convert(value));
            return list;
        }

        static Json convert(const std::vector<uint8_t>& bytes) { return Json::binary(bytes); }

        Json json_ = Json::object();
    };

    // Stops at the first error.
    struct Reader {
        explicit Reader(const Json& json)
            : json_(json)
        {
        }

        template <typename T> void operator()(const char* name, T& value)
        {
            if (error_)
                return;
            const auto it = json_.find(name);
            if (it == json_.end())
                error_ = DecodeError { DecodeErrorCode::MissingField, name };
            else if (!read(*it, value) && !error_)
                error_ = DecodeError { DecodeErrorCode::MistypedField, name };
        }

        static bool read(const Json& json, bool& value)
        {
            if (!json.is_boolean())
                return false;
            value = json.get<bool>();
            return true;
        }

        template <typename T>
        requires std::is_unsigned_v<T>
        static bool read(const Json& json, T& value)
        {
            if (!json.is_number_unsigned() || json.get<uint64_t>() > std::numeric_limits<T>::max())
                return false;
            value = json.get<T>();
            return true;
        }

        static bool read(const Json& json, double& value)
        {
            if (!json.is_number_float())
                return false;
            value = json.get<double>();
            return std::isfinite(value);
        }

        static bool read(const Json& json, std::string& value)
        {
            if (!json.is_string())
                return false;
            value = json.get_ref<const std::string&>();
            return true;
        }

        static bool read(const Json& json, std::vector<uint8_t>& value)
        {
            if (!json.is_binary())
                return false;
            value = json.get_binary();
            return true;
        }

        template <typename T> bool read(const Json& json, std::vector<T>& value)
        {
            if (!json.is_array())
                return false;
            for (const auto& item : json) {
                value.emplace_back();
                if (!read(item, value.back()))
                    return false;
            }
            return true;
        }

        template <typename T>
        requires std::is_class_v<T>
        bool read(const Json& json, T& value)
        {
            if (!json.is_object())
                return false;
            Reader nested(json);
            visit(nested, value);
            error_ = nested.error_;
            return !error_;
        }

        const Json& json_;
        std::optional<DecodeError> error_;
    };

    // Checks structure and depth without recursion or allocation by content. Tags, indefinite lengths and
    // trailing bytes are refused; every item must lie within the bytes.
    std::optional<DecodeErrorCode> checkStructure(std::string_view bytes)
    {
        std::array<uint64_t, maxMessageDepth> open {}; // Items left in each open array or map.
        int depth = 0;
        size_t position = 0;
        do {
            if (position == bytes.size())
                return DecodeErrorCode::Malformed;
            const auto initial = static_cast<uint8_t>(bytes[position++]);
            const int major = initial >> 5;
            const int info = initial & 31;
            uint64_t argument = static_cast<uint64_t>(info);
            if (info >= 28 || major == 6)
                return DecodeErrorCode::Malformed;
            if (info >= 24) {
                const size_t size = size_t { 1 } << (info - 24);
                if (bytes.size() - position < size)
                    return DecodeErrorCode::Malformed;
                argument = 0;
                for (size_t i = 0; i < size; ++i)
                    argument = argument << 8 | static_cast<uint8_t>(bytes[position++]);
            }
            if (depth > 0)
                --open[static_cast<size_t>(depth) - 1];
            if (major == 2 || major == 3) {
                if (argument > bytes.size() - position)
                    return DecodeErrorCode::Malformed;
                position += argument;
            } else if (major == 4 || major == 5) {
                if (depth == maxMessageDepth)
                    return DecodeErrorCode::TooDeep;
                // Each item takes at least one byte.
                if (argument > bytes.size() - position)
                    return DecodeErrorCode::Malformed;
                open[static_cast<size_t>(depth++)] = major == 5 ? argument * 2 : argument;
            }
            while (depth > 0 && open[static_cast<size_t>(depth) - 1] == 0)
                --depth;
        } while (depth > 0);
        if (position != bytes.size())
            return DecodeErrorCode::Malformed;
        return std::nullopt;
    }

    template <size_t I = 0>
    std::optional<DecodeError> readMessage(const Json& json, size_t type, Message& message)
    {
        if constexpr (I == std::variant_size_v<Message>) {
            return DecodeError { DecodeErrorCode::UnknownType, "t" };
        } else {
            if (type != I)
                return readMessage<I + 1>(json, type, message);
            Reader reader(json);
            visit(reader, message.emplace<I>());
            return reader.error_;
        }
    }

    std::optional<DecodeError> readEnvelope(const Json& json, Envelope& envelope)
    {
        Reader reader(json);
        uint32_t version = 0;
        reader("v", version);
        if (!reader.error_ && version != protocolVersion)
            return DecodeError { DecodeErrorCode::UnknownVersion, "v" };
        uint32_t type = 0;
        reader("t", type);
        if (!reader.error_ && type >= std::variant_size_v<Message>)
            return DecodeError { DecodeErrorCode::UnknownType, "t" };
        if (json.contains("i"))
            reader("i", envelope.id_);
        if (json.contains("r"))
            reader("r", envelope.replyTo_);
        if (reader.error_)
            return reader.error_;
        return readMessage(json, type, envelope.message_);
    }

} // namespace detail

const char* typeName(const Message& message) { return detail::typeNames[message.index()]; }

Result<std::string> encode(const Envelope& envelope)
{
    detail::Json json
        = std::visit([](const auto& message) { return detail::Writer::convert(message); }, envelope.message_);
    json["v"] = protocolVersion;
    json["t"] = envelope.message_.index();
    if (envelope.id_ != 0)
        json["i"] = envelope.id_;
    if (envelope.replyTo_ != 0)
        json["r"] = envelope.replyTo_;
    std::string out;
    detail::Json::to_cbor(json, out);
    if (out.size() > maxMessageBytes)
        return makeError(
            ErrorCode::Invalid, std::string("message ") + typeName(envelope.message_) + " exceeds 1 MiB");
    return out;
}

DecodeResult decode(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return DecodeError { DecodeErrorCode::TooLarge, {} };
    if (auto error = detail::checkStructure(bytes))
        return DecodeError { *error, {} };
    const detail::Json json = detail::Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!json.is_object())
        return DecodeError { DecodeErrorCode::Malformed, {} };
    Envelope envelope;
    if (auto error = detail::readEnvelope(json, envelope))
        return std::move(*error);
    return envelope;
}

} // namespace turmericwing::peer
