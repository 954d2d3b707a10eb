// INI reading on top of inih, and the canonical text. Checks across objects are in check.cc.
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

        struct RawBlock {
            ClientBlock block_;
            uint32_t section_ = 0;
            int line_ = 0;
        };

        struct Document {
            std::vector<Section> sections_;
            std::vector<RawBlock> blocks_;
            std::vector<Fault> faults_;
        };

        std::string objectText(const Section& section) { return section.kind_ + " " + section.name_; }

        std::string_view trimmed(std::string_view text)
        {
            const size_t first = text.find_first_not_of(" \t\r\n\f\v");
            if (first == text.npos)
                return {};
            return text.substr(first, text.find_last_not_of(" \t\r\n\f\v") - first + 1);
        }

        /// State of one inih run. inih asks for lines through `readLine` and reports pairs through `onPair`
        /// before it asks for the next line, so the current line belongs to the pair. Section headings are
        /// taken from the lines: inih reports neither empty nor repeated sections.
        struct Reader {
            const Source& source_;
            Document& document_;
            size_t position_ = 0;
            int line_ = 0;
            bool expectsPair_ = false; ///< The current line must be reported as a pair.
            bool inSection_ = false; ///< A well-formed heading was read; else pairs are passed over.
            bool headingSeen_ = false;

            void fault(std::string reason, std::string object = {}, std::string field = {})
            {
                document_.faults_.push_back(
                    { source_.file_, line_, std::move(object), std::move(field), std::move(reason) });
            }

            void finishLine()
            {
                if (expectsPair_)
                    fault("is neither a section, a comment nor a line \"field = value\"",
                        inSection_ ? objectText(document_.sections_.back()) : "");
                expectsPair_ = false;
            }

            void heading(std::string_view text)
            {
                headingSeen_ = true;
                inSection_ = false;
                const size_t close = text.find(']');
                if (close == text.npos)
                    return fault("section heading has no closing bracket");
                const auto rest = trimmed(text.substr(close + 1));
                if (!rest.empty() && rest.front() != ';')
                    return fault("text follows the section heading");
                const auto inner = trimmed(text.substr(1, close - 1));
                const size_t space = std::min(inner.find_first_of(" \t"), inner.size());
                const std::string kind(inner.substr(0, space));
                const std::string name(trimmed(inner.substr(space)));
                bool known = kind == blocksKind;
                ObjectSet kinds;
                forEachKind(
                    kinds, [&]<typename T>(std::vector<T>&) { known = known || kind == kindName<T>(); });
                if (!known)
                    return fault("unknown section kind", std::string(inner));
                if (!isValidName(name))
                    return fault("a name has 1 to " + std::to_string(maxNameLength)
                            + " letters, digits, \"-\", \"_\" or \".\" and starts with a letter or digit",
                        std::string(inner));
                inSection_ = true;
                document_.sections_.push_back({ kind, name, source_.file_, line_, {} });
            }

            bool readLine(char* buffer, size_t capacity)
            {
                finishLine();
                while (position_ < source_.text_.size()) {
                    const size_t end = std::min(source_.text_.find('\n', position_), source_.text_.size());
                    std::string_view line(source_.text_.data() + position_, end - position_);
                    position_ = end + 1;
                    ++line_;
                    if (line_ == 1 && line.starts_with("\xEF\xBB\xBF"))
                        line.remove_prefix(3);
                    const auto text = trimmed(line);
                    if (text.empty() || text.front() == ';' || text.front() == '#')
                        continue;
                    // inih splits longer lines, and a NUL byte would hide the rest of the line.
                    if (text.size() + 2 > capacity) {
                        fault("line is longer than " + std::to_string(capacity - 2) + " bytes");
                        continue;
                    }
                    if (std::any_of(text.begin(), text.end(),
                            [](char c) { return (c >= 0 && c < ' ' && c != '\t') || c == 127; })) {
                        fault("line contains a control character");
                        continue;
                    }
                    if (text.front() == '[')
                        heading(text);
                    else
                        expectsPair_ = true;
                    // Without its indentation no line continues the one before it.
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
                    // The fields below a faulty heading are not reported one by one.
                    if (!headingSeen_)
                        fault("field stands before the first section", {}, std::string(name));
                    return;
                }
                Section& section = document_.sections_.back();
                if (section.kind_ == blocksKind && name == "block") {
                    std::string reason;
                    if (const auto block = parseBlock(value, reason))
                        document_.blocks_.push_back(
                            { *block, static_cast<uint32_t>(document_.sections_.size() - 1), line_ });
                    else
                        fault(std::move(reason), objectText(section), "block");
                    return;
                }
                section.entries_.push_back({ std::string(name), std::string(value), line_ });
            }
        };

        void read(const Source& source, Document& document)
        {
            Reader reader { source, document };
            ini_parse_stream(
                [](char* buffer, int capacity, void* stream) -> char* {
                    return static_cast<Reader*>(stream)->readLine(buffer, static_cast<size_t>(capacity))
                        ? buffer
                        : nullptr;
                },
                &reader,
                [](void* user, const char*, const char* name, const char* value) {
                    static_cast<Reader*>(user)->onPair(name, value ? value : "");
                    return 1;
                },
                &reader);
            reader.finishLine();
        }

        /// Sets one object's fields from its section. Reports unknown, repeated, missing and malformed
        /// fields.
        template <typename T> T build(const Section& section, std::vector<Fault>& faults)
        {
            T object {};
            object.name_ = section.name_;
            std::set<std::string_view> seen;
            const auto fault = [&](int line, const std::string& field, std::string reason) {
                faults.push_back({ section.file_, line, objectText(section), field, std::move(reason) });
            };
            const auto& fields = fieldsOf<T>();
            for (const auto& entry : section.entries_) {
                const auto field = std::find_if(
                    fields.begin(), fields.end(), [&](const Field<T>& f) { return entry.name_ == f.name_; });
                if (field == fields.end()) {
                    fault(entry.line_, entry.name_, "unknown field");
                    continue;
                }
                if (!seen.insert(field->name_).second) {
                    fault(entry.line_, entry.name_, "field is set twice");
                    continue;
                }
                if (auto reason = field->parse_(object, entry.value_); !reason.empty())
                    fault(entry.line_, entry.name_, std::move(reason));
            }
            for (const auto& field : fields)
                if (field.required_ && !seen.contains(field.name_))
                    fault(section.line_, field.name_, "required field is missing");
            return object;
        }

        void addBlocks(const Document& document, Parsed& parsed)
        {
            constexpr uint16_t unresolved = 0xFFFF;
            std::vector<uint16_t> regions(document.sections_.size(), unresolved);
            std::set<std::string_view> names;
            for (size_t i = 0; i < document.sections_.size(); ++i) {
                const Section& section = document.sections_[i];
                if (section.kind_ != blocksKind)
                    continue;
                const auto fault = [&](int line, const std::string& field, std::string reason) {
                    parsed.faults_.push_back(
                        { section.file_, line, objectText(section), field, std::move(reason) });
                };
                if (!names.insert(section.name_).second)
                    fault(section.line_, "", "name is used twice");
                bool seen = false;
                for (const auto& entry : section.entries_) {
                    if (entry.name_ != "region") {
                        fault(entry.line_, entry.name_, "unknown field");
                        continue;
                    }
                    if (std::exchange(seen, true)) {
                        fault(entry.line_, entry.name_, "field is set twice");
                        continue;
                    }
                    if (const Region* region = find(parsed.set_.regions_, entry.value_))
                        regions[i] = static_cast<uint16_t>(region - parsed.set_.regions_.data());
                    else
                        fault(entry.line_, entry.name_, "unknown region \"" + entry.value_ + "\"");
                }
                if (!seen)
                    fault(section.line_, "region", "required field is missing");
            }
            auto blocks = document.blocks_;
            // Source order decides between equal blocks, so that the later one is reported.
            std::stable_sort(blocks.begin(), blocks.end(), [](const RawBlock& a, const RawBlock& b) {
                return std::pair(a.block_.prefix_, a.block_.length_)
                    < std::pair(b.block_.prefix_, b.block_.length_);
            });
            parsed.set_.clientBlocks_.reserve(blocks.size());
            const RawBlock* previous = nullptr;
            for (const RawBlock& raw : blocks) {
                if (previous && previous->block_.prefix_ == raw.block_.prefix_
                    && previous->block_.length_ == raw.block_.length_) {
                    const Section& section = document.sections_[raw.section_];
                    const Section& other = document.sections_[previous->section_];
                    parsed.faults_.push_back({ section.file_, raw.line_, objectText(section), "block",
                        formatBlock(raw.block_) + " is already listed in " + objectText(other) + " at "
                            + other.file_ + ":" + std::to_string(previous->line_) });
                    continue;
                }
                previous = &raw;
                if (regions[raw.section_] == unresolved)
                    continue;
                ClientBlock block = raw.block_;
                block.region_ = regions[raw.section_];
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

Parsed parseSet(const std::vector<Source>& sources)
{
    using namespace detail;
    Document document;
    for (const auto& source : sources)
        read(source, document);
    Parsed parsed;
    parsed.faults_ = std::move(document.faults_);
    SourceLocations locations;
    if (!sources.empty())
        locations.file_ = sources.front().file_;
    forEachKind(parsed.set_, [&]<typename T>(std::vector<T>& list) {
        for (const auto& section : document.sections_) {
            if (section.kind_ != kindName<T>())
                continue;
            T object = build<T>(section, parsed.faults_);
            SourceLocation location { section.file_, section.line_, {} };
            for (const auto& entry : section.entries_)
                location.fieldLines_.emplace(entry.name_, entry.line_);
            const auto [first, inserted]
                = locations.objects_.emplace(objectText(section), std::move(location));
            if (inserted)
                list.push_back(std::move(object));
            else
                parsed.faults_.push_back({ section.file_, section.line_, objectText(section), "",
                    "name is already used at " + first->second.file_ + ":"
                        + std::to_string(first->second.line_) });
        }
        std::sort(list.begin(), list.end(), [](const T& a, const T& b) { return a.name_ < b.name_; });
    });
    addBlocks(document, parsed);
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
        bool headed = false;
        for (const ClientBlock& block : set.clientBlocks_) {
            if (block.region_ != region)
                continue;
            if (!std::exchange(headed, true)) {
                const std::string& name = set.regions_[region].name_;
                out.append("[client-blocks ").append(name).append("]\nregion = ").append(name).append("\n");
            }
            out += "block = " + formatBlock(block) + "\n";
        }
        if (headed)
            out += "\n";
    }
    return out;
}

} // namespace turmericwing::model
