// Conditional write that survives a lost response.
#include "turmericwing/store/store.h"

namespace turmericwing::store {

namespace detail {

    // A delayed request may still arrive after the row was read back, so a row that has not changed is
    // written again: the condition lets only one of the requests take effect.
    constexpr int maxAttempts = 3;

    Error conflict(const ConditionalWrite& write)
    {
        return makeError(ErrorCode::Conflict, "row " + write.key_ + " was changed by another writer");
    }

    Error unknown(const ConditionalWrite& write, const std::string& cause)
    {
        return makeError(ErrorCode::Unknown, "write of " + write.key_ + " may have taken effect: " + cause);
    }

    // Judges the row that stands in the table. An empty result means that the write has not taken effect
    // and still may.
    std::optional<Result<Row>> judge(
        const ConditionalWrite& write, const std::optional<Row>& row, bool inDoubt)
    {
        const uint64_t version = row ? row->version_ : 0;
        if (version == write.expectedVersion_)
            return std::nullopt;
        if (version == write.expectedVersion_ + 1 && row->value_ == write.value_)
            return *row;
        // The write may have been applied and replaced since.
        if (inDoubt && version > write.expectedVersion_ + 1)
            return unknown(write, "the row has changed again since");
        return conflict(write);
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
            if (auto verdict = detail::judge(write, outcome.current_, inDoubt))
                return *verdict;
            return detail::conflict(write);
        }
        if (outcomes.error().code_ != ErrorCode::Unknown) {
            if (inDoubt)
                return detail::unknown(write, outcomes.error().message_);
            return outcomes.error();
        }
        inDoubt = true;
        cause = outcomes.error().message_;
        auto row = table.get_(write.key_);
        if (!row)
            return detail::unknown(write, cause + "; reading it back failed: " + row.error().message_);
        if (auto verdict = detail::judge(write, row.value(), inDoubt))
            return *verdict;
    }
    return detail::unknown(write, cause);
}

Result<std::optional<Row>> getUnless(const Table& table, const std::string& key, uint64_t knownVersion)
{
    return table.getUnless_ ? table.getUnless_(key, knownVersion) : table.get_(key);
}

} // namespace turmericwing::store
