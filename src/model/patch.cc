// Line patches. Format: "patch BASE-DIGEST NEXT-DIGEST\n", then "c OFFSET LENGTH\n" copies bytes of the base,
// and "i LENGTH\n" is followed by LENGTH bytes to insert.
#include "turmericwing/model/patch.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <vector>

namespace turmericwing::model {

namespace detail {

    /// Lines with their line feeds; together they are the text.
    std::vector<std::string_view> linesOf(std::string_view text)
    {
        std::vector<std::string_view> lines;
        while (!text.empty()) {
            const size_t length = std::min(text.find('\n'), text.size() - 1) + 1;
            lines.push_back(text.substr(0, length));
            text.remove_prefix(length);
        }
        return lines;
    }

    struct PatchWriter {
        std::string_view base_;
        std::string out_;
        size_t copyFrom_ = 0;
        size_t copyLength_ = 0;
        std::string inserted_;

        void flush()
        {
            if (copyLength_ > 0)
                out_ += "c " + std::to_string(copyFrom_) + ' ' + std::to_string(copyLength_) + '\n';
            if (!inserted_.empty())
                out_ += "i " + std::to_string(inserted_.size()) + '\n' + inserted_;
            copyLength_ = 0;
            inserted_.clear();
        }

        void copy(std::string_view line)
        {
            const auto from = static_cast<size_t>(line.data() - base_.data());
            if (!inserted_.empty() || (copyLength_ > 0 && copyFrom_ + copyLength_ != from))
                flush();
            if (copyLength_ == 0)
                copyFrom_ = from;
            copyLength_ += line.size();
        }

        void insert(std::string_view line)
        {
            if (copyLength_ > 0)
                flush();
            inserted_ += line;
        }
    };

    /// Takes "NUMBER" and the character `end` from the front of `text`.
    bool takeNumber(std::string_view& text, char end, size_t& value)
    {
        const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const auto length = static_cast<size_t>(stop - text.data());
        if (error != std::errc() || length >= text.size() || *stop != end)
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
    const auto before = detail::linesOf(base);
    // Positions of each line of the base. Sorted texts repeat few lines, and a repeated one is taken in
    // order.
    std::map<std::string_view, std::vector<size_t>> positions;
    for (size_t i = before.size(); i > 0; --i)
        positions[before[i - 1]].push_back(i - 1);
    detail::PatchWriter writer { base,
        std::string(detail::magic) + sha256Hex(base) + ' ' + sha256Hex(next) + '\n' };
    size_t expected = 0;
    for (const std::string_view line : detail::linesOf(next)) {
        if (expected < before.size() && before[expected] == line) {
            writer.copy(before[expected++]);
            continue;
        }
        const auto found = positions.find(line);
        if (found == positions.end()) {
            writer.insert(line);
            continue;
        }
        std::vector<size_t>& list = found->second;
        while (list.size() > 1 && list.back() < expected)
            list.pop_back();
        expected = list.back() + 1;
        writer.copy(before[list.back()]);
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
        return makeError(ErrorCode::Conflict, "patch: made for another configuration");
    const std::string_view digest
        = patch.substr(detail::magic.size() + detail::digestLength + 1, detail::digestLength);
    std::string_view rest = patch.substr(detail::headerLength);
    std::string out;
    while (!rest.empty()) {
        const bool copies = rest.substr(0, 2) == "c ";
        if (!copies && rest.substr(0, 2) != "i ")
            return malformed();
        rest.remove_prefix(2);
        size_t from = 0;
        size_t length = 0;
        if ((copies && !detail::takeNumber(rest, ' ', from)) || !detail::takeNumber(rest, '\n', length))
            return malformed();
        const std::string_view source = copies ? base : rest;
        if (from > source.size() || length > source.size() - from || length > maxBytes - out.size())
            return malformed();
        out += source.substr(from, length);
        if (!copies)
            rest.remove_prefix(length);
    }
    if (sha256Hex(out) != digest)
        return makeError(ErrorCode::Invalid, "patch: the result has another digest");
    return out;
}

} // namespace turmericwing::model
