// INI parser on top of inih, and the canonical text of a set. check.cc validates rules across objects.
#include "turmericwing/model/parse.h"

#include "check.h"
#include "schema.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>

namespace turmericwing::model {

namespace detail {

    namespace {

        constexpr std::string_view blocksKind = "client-blocks";

        /// A "name = value" line of a section.
        struct Entry {
            std::string name_;
            std::string value_;
            int line_ = 0;
        };

        struct Section {
            std::string kind_;
            std::string name_;
            std::string file_;
            int line_ = 0;
            std::vector<Entry> entries_;
        };

        /// A client block whose region is not resolved yet. `section_` is an index into Document::sections_.
        struct UnresolvedBlock {
            ClientBlock block_;
            uint32_t section_ = 0;
            int line_ = 0;
        };

        /// Content of all sources before its conversion to objects.
        struct Document {
            std::vector<Section> sections_;
            std::vector<UnresolvedBlock> blocks_;
            std::vector<Fault> faults_;
        };

        std::string objectLabel(const Section& section) { return section.kind_ + " " + section.name_; }

        std::string_view trim(std::string_view text)
        {
            const size_t first = text.find_first_not_of(" \t\r\n\f\v");
            if (first == text.npos)
                return {};
            return text.substr(first, text.find_last_not_of(" \t\r\n\f\v") - first + 1);
        }

        /// State of parsing one source with inih. inih requests lines through `readLine` and reports pairs
        /// through `onPair` before it requests the next line, so a pair belongs to the current line. Section
        /// headings are parsed in `readLine`, because inih reports neither empty nor repeated sections.
        struct SourceReader {
            const Source& source_;
            Document& document_;
            size_t offset_ = 0;
            int line_ = 0;
            bool expectsPair_ = false; ///< inih must report the current line as a pair.
            bool inSection_ = false; ///< The last heading was valid; otherwise pairs are ignored.
            bool sawHeading_ = false;

            void addFault(std::string reason, std::string object = {}, std::string field = {})
            {
                document_.faults_.push_back(
                    { source_.file_, line_, std::move(object), std::move(field), std::move(reason) });
            }

            /// Reports a line that inih did not accept as a pair.
            void finishLine()
            {
                if (expectsPair_)
                    addFault("is neither a section, a comment nor a line \"field = value\"",
                        inSection_ ? objectLabel(document_.sections_.back()) : "");
                expectsPair_ = false;
            }

            /// Starts a section, or reports why its heading is invalid.
            void readHeading(std::string_view text)
            {
                sawHeading_ = true;
                inSection_ = false;
                const size_t close = text.find(']');
                if (close == text.npos)
                    return addFault("section heading has no closing bracket");
                const auto rest = trim(text.substr(close + 1));
                if (!rest.empty() && rest.front() != ';')
                    return addFault("text follows the section heading");
                const auto inner = trim(text.substr(1, close - 1));
                const size_t space = std::min(inner.find_first_of(" \t"), inner.size());
                const std::string kind(inner.substr(0, space));
                const std::string name(trim(inner.substr(space)));
                bool known = kind == blocksKind;
                ObjectSet kinds;
                forEachKind(
                    kinds, [&]<typename T>(std::vector<T>&) { known = known || kind == kindName<T>(); });
                if (!known)
                    return addFault("unknown section kind", std::string(inner));
                if (!isValidName(name))
                    return addFault("a name has 1 to " + std::to_string(maxNameLength)
                            + " letters, digits, \"-\", \"_\" or \".\" and starts with a letter or digit",
                        std::string(inner));
                inSection_ = true;
                document_.sections_.push_back({ kind, name, source_.file_, line_, {} });
            }

            /// Writes the next line without indentation into the buffer. Skips empty, comment and invalid
            /// lines. Returns false at the end of the source.
            bool readLine(char* buffer, size_t capacity)
            {
                finishLine();
                while (offset_ < source_.text_.size()) {
                    const size_t end = std::min(source_.text_.find('\n', offset_), source_.text_.size());
                    std::string_view line(source_.text_.data() + offset_, end - offset_);
                    offset_ = end + 1;
                    ++line_;
                    if (line_ == 1 && line.starts_with("\xEF\xBB\xBF"))
                        line.remove_prefix(3);
                    const auto text = trim(line);
                    if (text.empty() || text.front() == ';' || text.front() == '#')
                        continue;
                    // inih splits longer lines, and a NUL byte would truncate the line.
                    if (text.size() + 2 > capacity) {
                        addFault("line is longer than " + std::to_string(capacity - 2) + " bytes");
                        continue;
                    }
                    if (std::any_of(text.begin(), text.end(),
                            [](char c) { return (c >= 0 && c < ' ' && c != '\t') || c == 127; })) {
                        addFault("line contains a control character");
                        continue;
                    }
                    if (text.front() == '[')
                        readHeading(text);
                    else
                        expectsPair_ = true;
                    // inih treats an indented line as a continuation of the previous one, so the indentation
                    // is removed.
                    std::memcpy(buffer, text.data(), text.size());
                    buffer[text.size()] = '\n';
                    buffer[text.size() + 1] = '\0';
                    return true;
                }
                return false;
            }

            void onPair(std::string_view name, std::string_view value)
            {
                expectsPair_ = false;
                if (!inSection_) {
                    // Fields below an invalid heading are ignored, as the heading is already reported.
                    if (!sawHeading_)
                        addFault("field stands before the first section", {}, std::string(name));
                    return;
                }
                Section& section = document_.sections_.back();
                if (section.kind_ == blocksKind && name == "block") {
                    std::string reason;
                    if (const auto block = parseBlock(value, reason))
                        document_.blocks_.push_back(
                            { *block, static_cast<uint32_t>(document_.sections_.size() - 1), line_ });
                    else
                        addFault(std::move(reason), objectLabel(section), "block");
                    return;
                }
                section.entries_.push_back({ std::string(name), std::string(value), line_ });
            }
        };

        void readSource(const Source& source, Document& document)
        {
            SourceReader sourceReader { source, document };
            ini_parse_stream(
                [](char* buffer, int capacity, void* stream) -> char* {
                    return static_cast<SourceReader*>(stream)->readLine(buffer, static_cast<size_t>(capacity))
                        ? buffer
                        : nullptr;
                },
                &sourceReader,
                [](void* user, const char*, const char* name, const char* value) {
                    static_cast<SourceReader*>(user)->onPair(name, value ? value : "");
                    return 1;
                },
                &sourceReader);
            sourceReader.finishLine();
        }

        /// Builds an object from its section. Reports unknown, repeated, missing and malformed fields.
        template <typename T> T buildObject(const Section& section, std::vector<Fault>& faults)
        {
            T object {};
            object.name_ = section.name_;
            std::set<std::string_view> seenFields;
            const auto addFault = [&](int line, const std::string& field, std::string reason) {
                faults.push_back({ section.file_, line, objectLabel(section), field, std::move(reason) });
            };
            const auto& fields = fieldsOf<T>();
            for (const auto& entry : section.entries_) {
                const auto field = std::find_if(
                    fields.begin(), fields.end(), [&](const Field<T>& f) { return entry.name_ == f.name_; });
                if (field == fields.end()) {
                    addFault(entry.line_, entry.name_, "unknown field");
                    continue;
                }
                if (!seenFields.insert(field->name_).second) {
                    addFault(entry.line_, entry.name_, "field is set twice");
                    continue;
                }
                if (auto reason = field->parse_(object, entry.value_); !reason.empty())
                    addFault(entry.line_, entry.name_, std::move(reason));
            }
            for (const auto& field : fields)
                if (field.required_ && !seenFields.contains(field.name_))
                    addFault(section.line_, field.name_, "required field is missing");
            return object;
        }

        /// Adds the client blocks with their regions to the set, sorted by prefix and length. Requires sorted
        /// regions. Reports duplicate blocks and unknown regions.
        void addClientBlocks(const Document& document, ParseResult& parsed)
        {
            constexpr uint16_t unknownRegion = 0xFFFF;
            std::vector<uint16_t> regions(document.sections_.size(), unknownRegion);
            std::set<std::string_view> names;
            for (size_t i = 0; i < document.sections_.size(); ++i) {
                const Section& section = document.sections_[i];
                if (section.kind_ != blocksKind)
                    continue;
                const auto addFault = [&](int line, const std::string& field, std::string reason) {
                    parsed.faults_.push_back(
                        { section.file_, line, objectLabel(section), field, std::move(reason) });
                };
                if (!names.insert(section.name_).second)
                    addFault(section.line_, "", "name is used twice");
                bool regionSet = false;
                for (const auto& entry : section.entries_) {
                    if (entry.name_ != "region") {
                        addFault(entry.line_, entry.name_, "unknown field");
                        continue;
                    }
                    if (std::exchange(regionSet, true)) {
                        addFault(entry.line_, entry.name_, "field is set twice");
                        continue;
                    }
                    if (const Region* region = find(parsed.set_.regions_, entry.value_))
                        regions[i] = static_cast<uint16_t>(region - parsed.set_.regions_.data());
                    else
                        addFault(entry.line_, entry.name_, "unknown region \"" + entry.value_ + "\"");
                }
                if (!regionSet)
                    addFault(section.line_, "region", "required field is missing");
            }
            auto blocks = document.blocks_;
            // Stable, so that the later one of two equal blocks in source order is reported as the duplicate.
            std::stable_sort(
                blocks.begin(), blocks.end(), [](const UnresolvedBlock& a, const UnresolvedBlock& b) {
                    return std::pair(a.block_.prefix_, a.block_.length_)
                        < std::pair(b.block_.prefix_, b.block_.length_);
                });
            parsed.set_.clientBlocks_.reserve(blocks.size());
            const UnresolvedBlock* previous = nullptr;
            for (const UnresolvedBlock& unresolvedBlock : blocks) {
                if (previous && previous->block_.prefix_ == unresolvedBlock.block_.prefix_
                    && previous->block_.length_ == unresolvedBlock.block_.length_) {
                    const Section& section = document.sections_[unresolvedBlock.section_];
                    const Section& other = document.sections_[previous->section_];
                    parsed.faults_.push_back({ section.file_, unresolvedBlock.line_, objectLabel(section),
                        "block",
                        formatBlock(unresolvedBlock.block_) + " is already listed in " + objectLabel(other)
                            + " at " + other.file_ + ":" + std::to_string(previous->line_) });
                    continue;
                }
                previous = &unresolvedBlock;
                if (regions[unresolvedBlock.section_] == unknownRegion)
                    continue;
                ClientBlock block = unresolvedBlock.block_;
                block.region_ = regions[unresolvedBlock.section_];
                parsed.set_.clientBlocks_.push_back(block);
            }
        }

    } // namespace

} // namespace detail

std::string toString(const Fault& fault)
{
    std::string out = fault.file_ + ":" + std::to_string(fault.line_);
    for (const auto* part : { &fault.object_, &fault.field_, &fault.reason_ })
        if (!part->empty())
            out += ": " + *part;
    return out;
}

ParseResult parseSet(const std::vector<Source>& sources)
{
    using namespace detail;
    Document document;
    for (const auto& source : sources)
        readSource(source, document);
    ParseResult parsed;
    parsed.faults_ = std::move(document.faults_);
    SourceLocations locations;
    if (!sources.empty())
        locations.file_ = sources.front().file_;
    forEachKind(parsed.set_, [&]<typename T>(std::vector<T>& list) {
        for (const auto& section : document.sections_) {
            if (section.kind_ != kindName<T>())
                continue;
            T object = buildObject<T>(section, parsed.faults_);
            SourceLocation location { section.file_, section.line_, {} };
            for (const auto& entry : section.entries_)
                location.fieldLines_.emplace(entry.name_, entry.line_);
            const auto [existing, inserted]
                = locations.objects_.emplace(objectLabel(section), std::move(location));
            if (inserted)
                list.push_back(std::move(object));
            else
                parsed.faults_.push_back({ section.file_, section.line_, objectLabel(section), "",
                    "name is already used at " + existing->second.file_ + ":"
                        + std::to_string(existing->second.line_) });
        }
        std::sort(list.begin(), list.end(), [](const T& a, const T& b) { return a.name_ < b.name_; });
    });
    addClientBlocks(document, parsed);
    check(parsed.set_, locations, parsed.faults_);
    std::stable_sort(parsed.faults_.begin(), parsed.faults_.end(), [](const Fault& a, const Fault& b) {
        return std::tie(a.file_, a.line_) < std::tie(b.file_, b.line_);
    });
    return parsed;
}

std::string canonicalText(const ObjectSet& set)
{
    using namespace detail;
    std::string out;
    forEachKind(set, [&]<typename T>(const std::vector<T>& list) {
        const T defaults {};
        for (const T& object : list) {
            out += std::string("[") + kindName<T>() + " " + object.name_ + "]\n";
            for (const auto& field : fieldsOf<T>()) {
                const std::string value = field.format_(object);
                if (field.required_ || value != field.format_(defaults))
                    out += std::string(field.name_) + " = " + value + "\n";
            }
            out += "\n";
        }
    });
    for (size_t region = 0; region < set.regions_.size(); ++region) {
        bool headingWritten = false;
        for (const ClientBlock& block : set.clientBlocks_) {
            if (block.region_ != region)
                continue;
            if (!std::exchange(headingWritten, true)) {
                const std::string& name = set.regions_[region].name_;
                out.append("[client-blocks ").append(name).append("]\nregion = ").append(name).append("\n");
            }
            out += "block = " + formatBlock(block) + "\n";
        }
        if (headingWritten)
            out += "\n";
    }
    return out;
}

} // namespace turmericwing::model
