// CBOR codec. visitFields() lists the wire key of each field of a message, for both the Writer and the
// Reader.
#include "turmericwing/peer/message.h"

#include "turmericwing/base/cbor.h"

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

    // T is Expected, possibly const: the Writer visits const messages.
    template <typename T, typename Expected>
    concept SameAs = std::is_same_v<std::remove_const_t<T>, Expected>;

    // The keys v, t, i and r are reserved for the envelope.
    template <typename Visitor, SameAs<control::Suspicion> T> void visitFields(Visitor& field, T& record)
    {
        field("h", record.host_);
        field("n", record.incarnation_);
    }

    template <typename Visitor, SameAs<control::SuspicionSummary> T>
    void visitFields(Visitor& field, T& record)
    {
        field("o", record.relay_);
        field("d", record.failureDomain_);
        field("m", record.members_);
        field("h", record.heard_);
        field("s", record.suspicions_);
    }

    template <typename Visitor, SameAs<Heartbeat> T> void visitFields(Visitor& field, T& record)
    {
        field("n", record.incarnation_);
        field("a", record.address_);
        field("e", record.lease_);
        field("l", record.leaving_);
        field("h", record.headVersion_);
        field("s", record.summary_);
    }

    template <typename Visitor, SameAs<Probe> T> void visitFields(Visitor&, T&) { }

    template <typename Visitor, SameAs<control::Candidate> T> void visitFields(Visitor& field, T& record)
    {
        field("b", record.baseVersion_);
        field("n", record.nonce_);
        field("d", record.digest_);
    }

    template <typename Visitor, SameAs<control::Evidence> T> void visitFields(Visitor& field, T& record)
    {
        field("o", record.host_);
        field("n", record.incarnation_);
        field("h", record.newestVersion_);
        field("c", record.contact_);
        field("x", record.candidates_);
    }

    template <typename Visitor, SameAs<control::ViewCount> T> void visitFields(Visitor& field, T& record)
    {
        field("n", record.nonce_);
        field("h", record.heard_);
    }

    template <typename Visitor, SameAs<control::Summary> T> void visitFields(Visitor& field, T& record)
    {
        field("o", record.relay_);
        field("d", record.failureDomain_);
        field("h", record.newestVersion_);
        field("k", record.counts_);
        field("w", record.withoutContact_);
        field("m", record.notHeard_);
        field("a", record.age_);
        field("x", record.candidates_);
    }

    template <typename Visitor, SameAs<CandidateReport> T> void visitFields(Visitor& field, T& record)
    {
        field("x", record.candidate_);
        field("b", record.head_);
    }

    template <typename Visitor, SameAs<Ack> T> void visitFields(Visitor& field, T& record)
    {
        field("n", record.incarnation_);
    }

    template <typename Visitor, SameAs<HeadRequest> T> void visitFields(Visitor& field, T& record)
    {
        field("h", record.knownVersion_);
    }

    template <typename Visitor, SameAs<HeadRow> T> void visitFields(Visitor& field, T& record)
    {
        field("h", record.version_);
        field("a", record.ageUs_);
        field("c", record.contact_);
        field("b", record.row_);
    }

    template <typename Visitor, SameAs<BlobRequest> T> void visitFields(Visitor& field, T& record)
    {
        field("d", record.digest_);
        field("o", record.offset_);
    }

    template <typename Visitor, SameAs<Blob> T> void visitFields(Visitor& field, T& record)
    {
        field("d", record.digest_);
        field("o", record.offset_);
        field("n", record.total_);
        field("b", record.bytes_);
    }

    template <typename Visitor, SameAs<TokenPull> T> void visitFields(Visitor& field, T& record)
    {
        field("w", record.workspace_);
        field("o", record.host_);
        field("n", record.incarnation_);
        field("e", record.epoch_);
        field("k", record.kind_);
        field("s", record.sequence_);
        field("l", record.settled_);
        field("a", record.waiting_);
        field("p", record.prefetch_);
    }

    template <typename Visitor, SameAs<TokenGrant> T> void visitFields(Visitor& field, T& record)
    {
        field("w", record.workspace_);
        field("n", record.incarnation_);
        field("e", record.epoch_);
        field("k", record.kind_);
        field("s", record.sequence_);
        field("u", record.status_);
        field("a", record.tokens_);
        field("d", record.retryAfter_);
    }

    // The holder is the receiver of the message and is not encoded.
    template <typename Visitor, SameAs<TokenReturn> T> void visitFields(Visitor& field, T& record)
    {
        field("w", record.workspace_);
        field("o", record.host_);
        field("n", record.incarnation_);
        field("k", record.kind_);
        field("s", record.sequence_);
        field("a", record.tokens_);
    }

    template <typename Visitor, SameAs<routing::LoanId> T> void visitFields(Visitor& field, T& record)
    {
        field("o", record.borrower_);
        field("n", record.incarnation_);
        field("s", record.serial_);
    }

    template <typename Visitor, SameAs<routing::SlotId> T> void visitFields(Visitor& field, T& record)
    {
        field("u", record.upstream_);
        field("x", record.index_);
    }

    template <typename Visitor, SameAs<SlotBorrow> T> void visitFields(Visitor& field, T& record)
    {
        field("l", record.id_);
        field("u", record.upstream_);
        field("d", record.duration_);
    }

    template <typename Visitor, SameAs<SlotLoan> T> void visitFields(Visitor& field, T& record)
    {
        field("l", record.id_);
        field("s", record.slot_);
        field("d", record.duration_);
    }

    template <typename Visitor, SameAs<SlotReturn> T> void visitFields(Visitor& field, T& record)
    {
        field("l", record.id_);
        field("s", record.slot_);
    }

    template <typename Visitor, SameAs<SlotRelease> T> void visitFields(Visitor& field, T& record)
    {
        field("s", record.slot_);
        field("p", record.last_);
    }

    template <typename Visitor, SameAs<rollout::Comparison> T> void visitFields(Visitor& field, T& record)
    {
        field("n", record.new_);
        field("f", record.newFailed_);
        field("o", record.old_);
        field("g", record.oldFailed_);
    }

    template <typename Visitor, SameAs<rollout::RouteStats> T> void visitFields(Visitor& field, T& record)
    {
        field("e", record.errors_);
        field("s", record.slow_);
        field("l", record.oldLatency_);
    }

    template <typename Visitor, SameAs<rollout::HostStats> T> void visitFields(Visitor& field, T& record)
    {
        field("o", record.host_);
        field("n", record.incarnation_);
        field("R", record.routes_);
        field("x", record.tripped_);
    }

    template <typename Visitor, SameAs<MoveStats> T> void visitFields(Visitor& field, T& record)
    {
        field("m", record.move_);
        field("s", record.stats_);
    }

    template <typename Visitor, SameAs<MoveShare> T> void visitFields(Visitor& field, T& record)
    {
        field("m", record.move_);
        field("s", record.step_);
        field("p", record.share_);
        field("x", record.tripped_);
        field("R", record.slowRoutes_);
        field("l", record.slowLimitsUs_);
    }

    template <typename Visitor, SameAs<MoveTrip> T> void visitFields(Visitor& field, T& record)
    {
        field("m", record.move_);
        field("w", record.reason_);
    }

    template <typename Visitor, SameAs<routing::Fingerprint> T> void visitFields(Visitor& field, T& record)
    {
        field("h", record.high_);
        field("l", record.low_);
    }

    template <typename Visitor, SameAs<routing::CrashSuspect> T> void visitFields(Visitor& field, T& record)
    {
        field("f", record.fingerprint_);
        field("a", record.started_);
    }

    template <typename Visitor, SameAs<routing::CrashId> T> void visitFields(Visitor& field, T& record)
    {
        field("o", record.host_);
        field("n", record.incarnation_);
        field("s", record.serial_);
    }

    template <typename Visitor, SameAs<Crash> T> void visitFields(Visitor& field, T& record)
    {
        field("c", record.id_);
        field("u", record.upstream_);
        field("a", record.at_);
        field("s", record.suspects_);
    }

    template <typename Visitor, SameAs<Quarantine> T> void visitFields(Visitor& field, T& record)
    {
        field("f", record.fingerprint_);
        field("x", record.expires_);
    }

    template <typename Visitor, SameAs<Refusal> T> void visitFields(Visitor& field, T& record)
    {
        field("c", record.code_);
        field("m", record.message_);
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
                visitFields(nested, value);
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

    // Reads fields until the first error; later fields are skipped.
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

        // Durations and times are bounded so that arithmetic on them cannot overflow.
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
            visitFields(nested, value);
            error_ = nested.error_;
            return !error_;
        }

        const Json& json_;
        std::optional<DecodeError> error_;
    };

    template <size_t I = 0>
    std::optional<DecodeError> readMessage(const Json& json, size_t type, Message& message)
    {
        if constexpr (I == std::variant_size_v<Message>) {
            return DecodeError { DecodeErrorCode::UnknownType, "t" };
        } else {
            if (type != I)
                return readMessage<I + 1>(json, type, message);
            Reader reader(json);
            visitFields(reader, message.emplace<I>());
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
    if (const auto fault = checkCborStructure(bytes, maxMessageDepth)) {
        const bool tooDeep = *fault == CborFault::TooDeep;
        return DecodeError { tooDeep ? DecodeErrorCode::TooDeep : DecodeErrorCode::Malformed, {} };
    }
    const detail::Json json = detail::Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!json.is_object())
        return DecodeError { DecodeErrorCode::Malformed, {} };
    Envelope envelope;
    if (auto error = detail::readEnvelope(json, envelope))
        return std::move(*error);
    return envelope;
}

} // namespace turmericwing::peer
