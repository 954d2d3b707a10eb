// Encoding of audit rows, and reads and conditional writes of the head row.
#include "turmericwing/host/headstore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace turmericwing::host {

namespace detail {

    constexpr int auditReadAttempts = 3;

    std::string auditKey(uint64_t version)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "audit/%016llx", static_cast<unsigned long long>(version));
        return text.data();
    }

    std::string encodeAudit(const AuditEntry& entry)
    {
        return nlohmann::json {
            { "version", entry.version_ }, { "fromRevision", entry.fromRevision_ },
            { "revision", entry.revision_ }, { "at", entry.at_.ms_ }, { "who", entry.who_ },
            { "what", entry.what_ }, { "nonce", entry.nonce_ }, { "outcome", entry.outcome_ }
        }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::optional<AuditEntry> decodeAudit(const std::string& text)
    {
        const auto json = nlohmann::json::parse(text, nullptr, false);
        if (!json.is_object())
            return std::nullopt;
        AuditEntry entry;
        entry.version_ = json.value("version", uint64_t { 0 });
        entry.fromRevision_ = json.value("fromRevision", uint64_t { 0 });
        entry.revision_ = json.value("revision", uint64_t { 0 });
        entry.at_.ms_ = json.value("at", int64_t { 0 });
        entry.who_ = json.value("who", "");
        entry.what_ = json.value("what", "");
        entry.nonce_ = json.value("nonce", "");
        entry.outcome_ = json.value("outcome", "");
        return entry;
    }

    /// Error for a write that lost against `winner`.
    Error conflictWith(const AuditEntry& winner)
    {
        return makeError(ErrorCode::Conflict,
            "version " + std::to_string(winner.version_) + " was written by " + winner.who_ + ": "
                + winner.what_);
    }

    /// Whether the audit row of the version of `next` holds its nonce. Empty if that version has not been
    /// written. Errors: Unavailable.
    Result<std::optional<bool>> wasWritten(const store::Table& table, const control::Head& next)
    {
        BOOST_OUTCOME_TRY(row, table.get_(auditKey(next.version_)));
        if (!row)
            return std::optional<bool>();
        const auto entry = decodeAudit(row->value_);
        return std::optional<bool>(entry && entry->nonce_ == next.nonce_);
    }

} // namespace detail

Result<control::Head> readHead(const store::Table& table, const control::Head* known)
{
    const uint64_t knownVersion = known ? known->version_ : 0;
    BOOST_OUTCOME_TRY(row,
        knownVersion > 0 ? store::getIfChanged(table, control::headKey, knownVersion)
                         : table.get_(control::headKey));
    if (!row)
        return control::Head {};
    if (knownVersion > 0 && row->version_ == knownVersion)
        return *known;
    BOOST_OUTCOME_TRY(head, control::decodeHead(row->value_));
    if (head.version_ != row->version_)
        return makeError(ErrorCode::Invalid, "head: the version differs from its row's");
    return head;
}

control::Head nextHead(const control::Head& base, control::Head edited, const std::string& who,
    const std::string& what, Random& random)
{
    edited.version_ = base.version_ + 1;
    edited.nonce_ = randomId(random);
    edited.publisher_ = who;
    edited.change_ = what;
    edited.writtenAt_ = wallNow();
    return edited;
}

Result<void> writeHead(const store::Table& table, const control::Head& base, const control::Head& next)
{
    const AuditEntry audit { next.version_, base.revision_, next.revision_, next.writtenAt_, next.publisher_,
        next.change_, next.nonce_, "accepted" };
    const std::vector<store::ConditionalWrite> writes {
        { control::headKey, control::encodeHead(next), base.version_ },
        { detail::auditKey(next.version_), detail::encodeAudit(audit), 0 },
    };
    const auto outcomes = table.transact_(writes);
    if (outcomes && outcomes.value().front().applied_)
        return boost::outcome_v2::success();
    if (!outcomes && outcomes.error().code_ != ErrorCode::Unknown)
        return outcomes.error();
    for (int attempt = 0; attempt < detail::auditReadAttempts; ++attempt) {
        const auto written = detail::wasWritten(table, next);
        if (!written)
            continue;
        if (written.value() == true)
            return boost::outcome_v2::success();
        if (!written.value() && !outcomes)
            continue; // The write may still arrive at the store.
        const auto row = table.get_(detail::auditKey(next.version_));
        const auto winner = row && row.value() ? detail::decodeAudit(row.value()->value_) : std::nullopt;
        return winner ? detail::conflictWith(*winner)
                      : makeError(ErrorCode::Conflict, "another change was written at the same time");
    }
    return makeError(
        ErrorCode::Unknown, "the response to the write was lost; the change may have taken effect");
}

uint64_t newIncarnation(const store::Table& table, const std::string& host, WallTime now)
{
    auto incarnation = static_cast<uint64_t>(now.ms_);
    const auto head = readHead(table);
    for (const control::Member& member : head ? head.value().members_ : std::vector<control::Member>()) {
        if (member.host_ == host)
            incarnation = std::max(incarnation, member.incarnation_ + 1);
    }
    return incarnation;
}

Result<std::vector<AuditEntry>> readAudit(const store::Table& table, uint64_t newestVersion, size_t limit)
{
    std::vector<AuditEntry> entries;
    for (uint64_t version = newestVersion; version > 0 && entries.size() < limit; --version) {
        BOOST_OUTCOME_TRY(row, table.get_(detail::auditKey(version)));
        const auto entry = row ? detail::decodeAudit(row->value_) : std::nullopt;
        if (entry)
            entries.push_back(*entry);
    }
    return entries;
}

} // namespace turmericwing::host
