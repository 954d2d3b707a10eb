// Conditional write that resolves lost responses, and the conditional read with its fallback.
#include "turmericwing/store/store.h"

namespace turmericwing::store {

namespace detail {

    // A delayed request may still arrive after the row was read back. An unchanged row is therefore written
    // again, which is safe because the version condition lets only one of the requests take effect.
    constexpr int maxAttempts = 3;

    Error conflictError(const ConditionalWrite& write)
    {
        return makeError(ErrorCode::Conflict, "row " + write.key_ + " was changed by another writer");
    }

    Error unknownOutcomeError(const ConditionalWrite& write, const std::string& cause)
    {
        return makeError(ErrorCode::Unknown, "write of " + write.key_ + " may have taken effect: " + cause);
    }

    // Derives the outcome of a write from the row that is now in the table. Returns empty if the write has
    // not taken effect but still may. `inDoubt`: the response of an earlier attempt was lost.
    std::optional<Result<Row>> resolveOutcome(
        const ConditionalWrite& write, const std::optional<Row>& row, bool inDoubt)
    {
        const uint64_t version = row ? row->version_ : 0;
        if (version == write.expectedVersion_)
            return std::nullopt;
        if (version == write.expectedVersion_ + 1 && row->value_ == write.value_)
            return *row;
        // The write may have been applied and then overwritten.
        if (inDoubt && version > write.expectedVersion_ + 1)
            return unknownOutcomeError(write, "the row has been changed again since");
        return conflictError(write);
    }

} // namespace detail

Result<Row> writeOnce(const Table& table, const ConditionalWrite& write)
{
    std::string cause;
    bool inDoubt = false;
    for (int attempt = 0; attempt < detail::maxAttempts; ++attempt) {
        auto outcomes = table.writeBatch_({ write });
        if (outcomes) {
            const WriteOutcome& outcome = outcomes.value().front();
            if (outcome.applied_)
                return Row { write.key_, write.value_, write.expectedVersion_ + 1 };
            if (auto resolved = detail::resolveOutcome(write, outcome.current_, inDoubt))
                return *resolved;
            return detail::conflictError(write);
        }
        if (outcomes.error().code_ != ErrorCode::Unknown) {
            if (inDoubt)
                return detail::unknownOutcomeError(write, outcomes.error().message_);
            return outcomes.error();
        }
        inDoubt = true;
        cause = outcomes.error().message_;
        auto row = table.get_(write.key_);
        if (!row)
            return detail::unknownOutcomeError(
                write, cause + "; reading it back failed: " + row.error().message_);
        if (auto resolved = detail::resolveOutcome(write, row.value(), inDoubt))
            return *resolved;
    }
    return detail::unknownOutcomeError(write, cause);
}

Result<std::optional<Row>> getIfChanged(const Table& table, const std::string& key, uint64_t knownVersion)
{
    return table.getIfChanged_ ? table.getIfChanged_(key, knownVersion) : table.get_(key);
}

} // namespace turmericwing::store
