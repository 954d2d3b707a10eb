// CBOR codec. One function lists the fields of each message; a writer and a reader visit the list.
#include "turmericwing/peer/message.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <type_traits>

namespace turmericwing::peer {

namespace detail {

    using Json = nlohmann::json;

    template <typename T, typename V>
    concept Is = std::is_same_v<std::remove_const_t<T>, V>;

    // The envelope takes the names v, t, i and r.
    template <typename V, Is<control::Suspicion> T> void visit(V& v, T& m)
    {
        v("h", m.host_);
        v("n", m.incarnation_);
    }

    template <typename V, Is<control::DomainSummary> T> void visit(V& v, T& m)
    {
        v("o", m.relay_);
        v("d", m.failureDomain_);
        v("m", m.members_);
        v("h", m.heard_);
        v("s", m.suspicions_);
    }

    template <typename V, Is<Heartbeat> T> void visit(V& v, T& m)
    {
        v("n", m.incarnation_);
        v("a", m.address_);
        v("e", m.lease_);
        v("l", m.leaving_);
        v("h", m.headVersion_);
        v("s", m.summary_);
    }

    template <typename V, Is<Probe> T> void visit(V&, T&) { }

    template <typename V, Is<control::Candidate> T> void visit(V& v, T& m)
    {
        v("b", m.baseVersion_);
        v("n", m.nonce_);
        v("d", m.digest_);
    }

    template <typename V, Is<control::Evidence> T> void visit(V& v, T& m)
    {
        v("o", m.host_);
        v("n", m.incarnation_);
        v("h", m.newestVersion_);
        v("c", m.contact_);
        v("x", m.candidates_);
    }

    template <typename V, Is<control::ViewCount> T> void visit(V& v, T& m)
    {
        v("n", m.nonce_);
        v("h", m.heard_);
    }

    template <typename V, Is<control::Summary> T> void visit(V& v, T& m)
    {
        v("o", m.relay_);
        v("d", m.failureDomain_);
        v("h", m.newestVersion_);
        v("k", m.counts_);
        v("w", m.withoutContact_);
        v("m", m.notHeard_);
        v("a", m.age_);
        v("x", m.candidates_);
    }

    template <typename V, Is<CandidateReport> T> void visit(V& v, T& m)
    {
        v("x", m.candidate_);
        v("b", m.head_);
    }

    template <typename V, Is<Ack> T> void visit(V& v, T& m) { v("n", m.incarnation_); }

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
        v("o", m.host_);
        v("n", m.incarnation_);
        v("e", m.epoch_);
        v("k", m.kind_);
        v("s", m.sequence_);
        v("l", m.settled_);
        v("a", m.waiting_);
        v("p", m.prefetch_);
    }

    template <typename V, Is<TokenGrant> T> void visit(V& v, T& m)
    {
        v("w", m.workspace_);
        v("n", m.incarnation_);
        v("e", m.epoch_);
        v("k", m.kind_);
        v("s", m.sequence_);
        v("u", m.status_);
        v("a", m.tokens_);
        v("d", m.retryAfter_);
    }

    // The holder is the receiver and needs no field.
    template <typename V, Is<TokenReturn> T> void visit(V& v, T& m)
    {
        v("w", m.workspace_);
        v("o", m.host_);
        v("n", m.incarnation_);
        v("k", m.kind_);
        v("s", m.sequence_);
        v("a", m.tokens_);
    }

    template <typename V, Is<routing::LoanId> T> void visit(V& v, T& m)
    {
        v("o", m.borrower_);
        v("n", m.incarnation_);
        v("s", m.serial_);
    }

    template <typename V, Is<routing::SlotId> T> void visit(V& v, T& m)
    {
        v("u", m.upstream_);
        v("x", m.index_);
    }

    template <typename V, Is<SlotBorrow> T> void visit(V& v, T& m)
    {
        v("l", m.id_);
        v("u", m.upstream_);
        v("d", m.duration_);
    }

    template <typename V, Is<SlotLoan> T> void visit(V& v, T& m)
    {
        v("l", m.id_);
        v("s", m.slot_);
        v("d", m.duration_);
    }

    template <typename V, Is<SlotReturn> T> void visit(V& v, T& m)
    {
        v("l", m.id_);
        v("s", m.slot_);
    }

    template <typename V, Is<SlotRelease> T> void visit(V& v, T& m)
    {
        v("s", m.slot_);
        v("p", m.last_);
    }

    template <typename V, Is<rollout::Comparison> T> void visit(V& v, T& m)
    {
        v("n", m.new_);
        v("f", m.newFailed_);
        v("o", m.old_);
        v("g", m.oldFailed_);
    }

    template <typename V, Is<rollout::RouteStats> T> void visit(V& v, T& m)
    {
        v("e", m.errors_);
        v("s", m.slow_);
        v("l", m.oldLatency_);
    }

    template <typename V, Is<rollout::HostStats> T> void visit(V& v, T& m)
    {
        v("o", m.host_);
        v("n", m.incarnation_);
        v("R", m.routes_);
        v("x", m.tripped_);
    }

    template <typename V, Is<MoveStats> T> void visit(V& v, T& m)
    {
        v("m", m.move_);
        v("s", m.stats_);
    }

    template <typename V, Is<MoveShare> T> void visit(V& v, T& m)
    {
        v("m", m.move_);
        v("s", m.step_);
        v("p", m.share_);
        v("x", m.tripped_);
        v("R", m.slowRoutes_);
        v("l", m.slowLimitsUs_);
    }

    template <typename V, Is<MoveTrip> T> void visit(V& v, T& m)
    {
        v("m", m.move_);
        v("w", m.reason_);
    }

    template <typename V, Is<routing::Fingerprint> T> void visit(V& v, T& m)
    {
        v("h", m.high_);
        v("l", m.low_);
    }

    template <typename V, Is<routing::CrashSuspect> T> void visit(V& v, T& m)
    {
        v("f", m.fingerprint_);
        v("a", m.started_);
    }

    template <typename V, Is<routing::CrashId> T> void visit(V& v, T& m)
    {
        v("o", m.host_);
        v("n", m.incarnation_);
        v("s", m.serial_);
    }

    template <typename V, Is<Crash> T> void visit(V& v, T& m)
    {
        v("c", m.id_);
        v("u", m.upstream_);
        v("a", m.at_);
        v("s", m.suspects_);
    }

    template <typename V, Is<Quarantine> T> void visit(V& v, T& m)
    {
        v("f", m.fingerprint_);
        v("x", m.expires_);
    }

    template <typename V, Is<Refusal> T> void visit(V& v, T& m)
    {
        v("c", m.code_);
        v("m", m.message_);
    }

    constexpr std::array<const char*, std::variant_size_v<Message>> typeNames { "heartbeat", "probe",
        "evidence", "summary", "candidate", "ack", "headGet", "head", "blobGet", "blob", "tokenPull",
        "tokenGrant", "tokenReturn", "slotBorrow", "slotLoan", "slotReturn", "slotRelease", "moveStats",
        "moveShare", "moveTrip", "crash", "quarantine", "refusal" };

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

        static Json convert(Duration value) { return static_cast<uint64_t>(value.count()); }

        static Json convert(WallTime value) { return static_cast<uint64_t>(value.ms_); }

        template <typename T> static Json convert(const std::map<std::string, T>& values)
        {
            Json map = Json::object();
            for (const auto& [key, value] : values)
                map[key] = convert(value);
            return map;
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

        template <typename T>
        requires std::is_enum_v<T>
        static bool read(const Json& json, T& value)
        {
            uint8_t number = 0;
            if (!read(json, number) || number > maximumEnumerator(value))
                return false;
            value = static_cast<T>(number);
            return true;
        }

        static uint8_t maximumEnumerator(limits::ShareKind) { return 1; }

        static uint8_t maximumEnumerator(limits::GrantStatus) { return 3; }

        /// Durations and times are bounded so that arithmetic on them cannot overflow.
        static bool readBounded(const Json& json, int64_t& value)
        {
            constexpr uint64_t bound = uint64_t { 1 } << 52;
            uint64_t number = 0;
            if (!read(json, number) || number > bound)
                return false;
            value = static_cast<int64_t>(number);
            return true;
        }

        static bool read(const Json& json, Duration& value)
        {
            int64_t us = 0;
            if (!readBounded(json, us))
                return false;
            value = Duration(us);
            return true;
        }

        static bool read(const Json& json, WallTime& value) { return readBounded(json, value.ms_); }

        template <typename T> bool read(const Json& json, std::map<std::string, T>& values)
        {
            if (!json.is_object())
                return false;
            for (const auto& [key, value] : json.items()) {
                if (!read(value, values[key]))
                    return false;
            }
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
