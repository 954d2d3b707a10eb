// Line-based patches. Format: a header "patch BASE-DIGEST NEXT-DIGEST\n" with SHA-256 digests in hexadecimal,
// then commands: "c OFFSET LENGTH\n" copies bytes of the base, and "i LENGTH\n" inserts the LENGTH bytes
// after it.
#include "turmericwing/model/patch.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <vector>

namespace turmericwing::model {

namespace detail {

    /// Splits a text into lines that include their line feeds; joined, they equal the text.
    std::vector<std::string_view> splitLines(std::string_view text)
    {
        std::vector<std::string_view> lines;
        while (!text.empty()) {
            const size_t length = std::min(text.find('\n'), text.size() - 1) + 1;
            lines.push_back(text.substr(0, length));
            text.remove_prefix(length);
        }
        return lines;
    }

    /// Builds a patch. Merges adjacent copies and adjacent insertions into one command each.
    struct PatchWriter {
        std::string_view base_;
        std::string out_;
        size_t copyOffset_ = 0;
        size_t copyLength_ = 0;
        std::string inserted_;

        void flush()
        {
            if (copyLength_ > 0)
                out_ += "c " + std::to_string(copyOffset_) + ' ' + std::to_string(copyLength_) + '\n';
            if (!inserted_.empty())
                out_ += "i " + std::to_string(inserted_.size()) + '\n' + inserted_;
            copyLength_ = 0;
            inserted_.clear();
        }

        /// Appends a line of the base; `line` must point into `base_`.
        void copy(std::string_view line)
        {
            const auto offset = static_cast<size_t>(line.data() - base_.data());
            if (!inserted_.empty() || (copyLength_ > 0 && copyOffset_ + copyLength_ != offset))
                flush();
            if (copyLength_ == 0)
                copyOffset_ = offset;
            copyLength_ += line.size();
        }

        void insert(std::string_view line)
        {
            if (copyLength_ > 0)
                flush();
            inserted_ += line;
        }
    };

    /// Parses a decimal number followed by `end` at the front of `text` and removes both. Returns false if
    /// the text does not start so.
    bool consumeNumber(std::string_view& text, char end, size_t& value)
    {
        const auto [numberEnd, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const auto length = static_cast<size_t>(numberEnd - text.data());
        if (error != std::errc() || length >= text.size() || *numberEnd != end)
            return false;
        text.remove_prefix(length + 1);
        return true;
    }

    constexpr size_t digestLength = 64;
    constexpr std::string_view magic = "patch ";
    constexpr size_t headerLength = magic.size() + 2 * digestLength + 2;

} // namespace detail

std::string makePatch(std::string_view base, std::string_view next)
{
    const auto before = detail::splitLines(base);
    // Indices of each distinct line of the base, in descending order, so that the first occurrence is last in
    // the list. Sorted texts repeat few lines, and repeated lines are matched in order.
    std::map<std::string_view, std::vector<size_t>> lineIndices;
    for (size_t i = before.size(); i > 0; --i)
        lineIndices[before[i - 1]].push_back(i - 1);
    detail::PatchWriter writer { base,
        std::string(detail::magic) + sha256Hex(base) + ' ' + sha256Hex(next) + '\n' };
    size_t nextIndex = 0;
    for (const std::string_view line : detail::splitLines(next)) {
        if (nextIndex < before.size() && before[nextIndex] == line) {
            writer.copy(before[nextIndex++]);
            continue;
        }
        const auto found = lineIndices.find(line);
        if (found == lineIndices.end()) {
            writer.insert(line);
            continue;
        }
        std::vector<size_t>& indices = found->second;
        while (indices.size() > 1 && indices.back() < nextIndex)
            indices.pop_back();
        nextIndex = indices.back() + 1;
        writer.copy(before[indices.back()]);
    }
    writer.flush();
    return writer.out_;
}

Result<std::string> applyPatch(std::string_view base, std::string_view patch, size_t maxBytes)
{
    const auto malformed = [] { return makeError(ErrorCode::Invalid, "patch: malformed"); };
    if (patch.size() < detail::headerLength || patch.substr(0, detail::magic.size()) != detail::magic
        || patch[detail::magic.size() + detail::digestLength] != ' '
        || patch[detail::headerLength - 1] != '\n')
        return malformed();
    if (patch.substr(detail::magic.size(), detail::digestLength) != sha256Hex(base))
        return makeError(ErrorCode::Conflict, "patch: does not apply to this configuration");
    const std::string_view digest
        = patch.substr(detail::magic.size() + detail::digestLength + 1, detail::digestLength);
    std::string_view rest = patch.substr(detail::headerLength);
    std::string out;
    while (!rest.empty()) {
        const bool isCopy = rest.substr(0, 2) == "c ";
        if (!isCopy && rest.substr(0, 2) != "i ")
            return malformed();
        rest.remove_prefix(2);
        size_t offset = 0;
        size_t length = 0;
        if ((isCopy && !detail::consumeNumber(rest, ' ', offset))
            || !detail::consumeNumber(rest, '\n', length))
            return malformed();
        const std::string_view source = isCopy ? base : rest;
        if (offset > source.size() || length > source.size() - offset || length > maxBytes - out.size())
            return malformed();
        out += source.substr(offset, length);
        if (!isCopy)
            rest.remove_prefix(length);
    }
    if (sha256Hex(out) != digest)
        return makeError(ErrorCode::Invalid, "patch: digest of the result does not match");
    return out;
}

} // namespace turmericwing::model
