// Encoding of claim rows, and decisions on them.
#include "turmericwing/claims/claim.h"

#include "turmericwing/base/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace turmericwing::claims {

namespace detail {

    using Json = nlohmann::json;

    // Limits of a row, so that a damaged or malicious row cannot exhaust a host's memory.
    constexpr size_t maxRowBytes = size_t(1024) * 1024;
    constexpr size_t maxNameBytes = 256;

    constexpr std::array stateNames { "claimed", "done", "released" };

    // Hexadecimal, because bodies may contain any bytes and JSON strings must be UTF-8.
    std::string toHex(std::string_view bytes)
    {
        static constexpr char digits[] = "0123456789abcdef";
        std::string out;
        out.reserve(bytes.size() * 2);
        for (const unsigned char byte : bytes) {
            out += digits[byte >> 4];
            out += digits[byte & 15];
        }
        return out;
    }

    std::optional<std::string> fromHex(std::string_view text)
    {
        const auto digit = [](char c) {
            return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
        };
        if (text.size() % 2 != 0)
            return std::nullopt;
        std::string out;
        out.reserve(text.size() / 2);
        for (size_t i = 0; i < text.size(); i += 2) {
            const int high = digit(text[i]);
            const int low = digit(text[i + 1]);
            if (high < 0 || low < 0)
                return std::nullopt;
            out += static_cast<char>(high * 16 + low);
        }
        return out;
    }

    bool isDigest(std::string_view text)
    {
        return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    Error malformedField(const std::string& field)
    {
        return makeError(ErrorCode::Invalid, "claim row: malformed field \"" + field + "\"");
    }

    bool readString(const Json& json, const char* field, size_t limit, std::string& out)
    {
        const auto it = json.find(field);
        if (it == json.end() || !it->is_string())
            return false;
        const auto& text = it->get_ref<const std::string&>();
        if (text.size() > limit)
            return false;
        out = text;
        return true;
    }

    // Length prefixes distinguish ("ab", "c") from ("a", "bc").
    std::string joinWithLengths(std::initializer_list<std::string_view> parts)
    {
        std::string out;
        for (const auto part : parts) {
            out += std::to_string(part.size());
            out += ':';
            out += part;
        }
        return out;
    }

} // namespace detail

std::string claimKey(std::string_view workspace, std::string_view idempotencyKey)
{
    return "claim/" + sha256Hex(detail::joinWithLengths({ workspace, idempotencyKey }));
}

std::string requestFingerprint(std::string_view method, std::string_view path, std::string_view body)
{
    return sha256Hex(detail::joinWithLengths({ method, path, body }));
}

Outcome makeOutcome(
    uint32_t status, std::string_view contentType, std::string_view body, const ClaimOptions& options)
{
    Outcome outcome { status, std::string(contentType.substr(0, detail::maxNameBytes)), {}, sha256Hex(body),
        false };
    outcome.tooLarge_ = body.size() > options.maxBodyBytes_ || contentType.size() > detail::maxNameBytes;
    if (!outcome.tooLarge_)
        outcome.body_ = body;
    return outcome;
}

std::string encodeClaim(const Claim& claim)
{
    detail::Json json { { "state", detail::stateNames[static_cast<size_t>(claim.state_)] },
        { "host", claim.host_ }, { "incarnation", claim.incarnation_ }, { "fingerprint", claim.fingerprint_ },
        { "nonce", claim.nonce_ }, { "expiresAt", claim.expiresAt_.ms_ } };
    if (claim.outcome_) {
        json["outcome"] = { { "status", claim.outcome_->status_ },
            { "contentType", detail::toHex(claim.outcome_->contentType_) },
            { "body", detail::toHex(claim.outcome_->body_) }, { "digest", claim.outcome_->bodyDigest_ },
            { "tooLarge", claim.outcome_->tooLarge_ } };
    }
    return json.dump(-1, ' ', false, detail::Json::error_handler_t::replace);
}

Result<Claim> decodeClaim(std::string_view text)
{
    if (text.size() > detail::maxRowBytes)
        return makeError(ErrorCode::Invalid, "claim row: longer than 1 MiB");
    const auto json = detail::Json::parse(text, nullptr, false);
    if (!json.is_object())
        return makeError(ErrorCode::Invalid, "claim row: not a JSON object");
    Claim claim;
    std::string state;
    if (!detail::readString(json, "state", 16, state))
        return detail::malformedField("state");
    const auto name = std::find(detail::stateNames.begin(), detail::stateNames.end(), state);
    if (name == detail::stateNames.end())
        return detail::malformedField("state");
    claim.state_ = static_cast<ClaimState>(name - detail::stateNames.begin());
    if (!detail::readString(json, "host", detail::maxNameBytes, claim.host_) || claim.host_.empty())
        return detail::malformedField("host");
    const auto incarnation = json.find("incarnation");
    if (incarnation == json.end() || !incarnation->is_number_unsigned())
        return detail::malformedField("incarnation");
    claim.incarnation_ = incarnation->get<uint64_t>();
    if (!detail::readString(json, "fingerprint", 64, claim.fingerprint_)
        || !detail::isDigest(claim.fingerprint_))
        return detail::malformedField("fingerprint");
    if (!detail::readString(json, "nonce", detail::maxNameBytes, claim.nonce_) || claim.nonce_.empty())
        return detail::malformedField("nonce");
    const auto expires = json.find("expiresAt");
    if (expires == json.end() || !expires->is_number_integer())
        return detail::malformedField("expiresAt");
    claim.expiresAt_.ms_ = expires->get<int64_t>();
    const auto outcome = json.find("outcome");
    if ((outcome != json.end()) != (claim.state_ == ClaimState::Done))
        return detail::malformedField("outcome");
    if (outcome == json.end())
        return claim;
    Outcome stored;
    std::string body;
    std::string contentType;
    if (!outcome->is_object())
        return detail::malformedField("outcome");
    const auto status = outcome->find("status");
    if (status == outcome->end() || !status->is_number_unsigned() || status->get<uint64_t>() < 100
        || status->get<uint64_t>() > 999)
        return detail::malformedField("outcome.status");
    stored.status_ = status->get<uint32_t>();
    const auto tooLarge = outcome->find("tooLarge");
    if (tooLarge == outcome->end() || !tooLarge->is_boolean())
        return detail::malformedField("outcome.tooLarge");
    stored.tooLarge_ = tooLarge->get<bool>();
    if (!detail::readString(*outcome, "digest", 64, stored.bodyDigest_)
        || !detail::isDigest(stored.bodyDigest_))
        return detail::malformedField("outcome.digest");
    const auto type = detail::readString(*outcome, "contentType", detail::maxNameBytes * 2, contentType)
        ? detail::fromHex(contentType)
        : std::nullopt;
    if (!type)
        return detail::malformedField("outcome.contentType");
    stored.contentType_ = *type;
    const auto bytes = detail::readString(*outcome, "body", detail::maxRowBytes, body) ? detail::fromHex(body)
                                                                                       : std::nullopt;
    if (!bytes || (!stored.tooLarge_ && sha256Hex(*bytes) != stored.bodyDigest_))
        return detail::malformedField("outcome.body");
    stored.body_ = *bytes;
    claim.outcome_ = std::move(stored);
    return claim;
}

Decision decideClaim(const std::optional<StoredClaim>& row, std::string_view fingerprint,
    const Claimant& claimant, const LiveHosts& live, WallTime now, const ClaimOptions& options)
{
    const auto insert = [&](uint64_t version) {
        Claim claim { ClaimState::Claimed, claimant.host_, claimant.incarnation_, std::string(fingerprint),
            claimant.nonce_, { now.ms_ + options.retentionMs_ }, std::nullopt };
        return Decision { Verdict::Insert, std::move(claim), version, std::nullopt };
    };
    if (!row)
        return insert(0);
    const Claim& claim = row->claim_;
    if (isExpired(claim, now, options))
        return insert(row->version_);
    if (claim.fingerprint_ != fingerprint && options.checkFingerprint_)
        return { Verdict::KeyReused, std::nullopt, 0, std::nullopt };
    switch (claim.state_) {
    case ClaimState::Released:
        return insert(row->version_);
    case ClaimState::Done:
        return { claim.outcome_->tooLarge_ ? Verdict::TooLarge : Verdict::Stored, std::nullopt, 0,
            claim.outcome_ };
    case ClaimState::Claimed:
        break;
    }
    if (claim.nonce_ == claimant.nonce_)
        return { Verdict::Own, std::nullopt, 0, std::nullopt };
    const auto host = live.find(claim.host_);
    // A claim by a newer incarnation than the listed one is alive, because the list may be out of date. For
    // the claimant's own host the list is not needed.
    const bool alive = claim.host_ == claimant.host_
        ? claim.incarnation_ >= claimant.incarnation_
        : host != live.end() && claim.incarnation_ >= host->second;
    return { alive || !options.checkIncarnation_ ? Verdict::InProgress : Verdict::Unknown, std::nullopt, 0,
        std::nullopt };
}

Claim completeClaim(const Claim& claim, Outcome outcome, WallTime now, const ClaimOptions& options)
{
    Claim done = claim;
    done.state_ = ClaimState::Done;
    done.outcome_ = std::move(outcome);
    done.expiresAt_.ms_ = now.ms_ + options.retentionMs_;
    return done;
}

Claim releaseClaim(const Claim& claim, WallTime now, const ClaimOptions& options)
{
    Claim released = claim;
    released.state_ = ClaimState::Released;
    released.outcome_.reset();
    released.expiresAt_.ms_ = now.ms_ + options.retentionMs_;
    return released;
}

bool isExpired(const Claim& claim, WallTime now, const ClaimOptions& options)
{
    return now.ms_ - options.clockSkewMs_ > claim.expiresAt_.ms_;
}

} // namespace turmericwing::claims
