// INI file parser on top of inih, and the parser of socket addresses.
#include "turmericwing/base/inifile.h"

#include <arpa/inet.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <fstream>

namespace turmericwing {

namespace detail {

    /// State of the parser, passed to the inih callbacks as user data.
    struct IniReader {
        IniFile file_;
        std::ifstream in_;
        int line_ = 0; ///< Number of the line that was read last.
    };

    /// Called by inih for each field. Returns 1 to continue.
    int handleField(void* user, const char* section, const char* name, const char* value)
    {
        auto& reader = *static_cast<IniReader*>(user);
        const std::string key = std::string(section) + "." + name;
        if (!reader.file_.values_.emplace(key, IniValue { value, reader.line_ }).second)
            addFault(reader.file_, reader.line_, key, "given twice");
        return 1;
    }

    /// Reads a line for inih and counts it, because Debian builds inih without line numbers in the handler. A
    /// line that does not fit into the buffer is an error and is read as empty.
    char* readLine(char* buffer, int size, void* stream)
    {
        auto& reader = *static_cast<IniReader*>(stream);
        std::string line;
        if (!std::getline(reader.in_, line))
            return nullptr;
        ++reader.line_;
        if (line.size() + 1 >= static_cast<size_t>(size)) {
            addFault(reader.file_, reader.line_, "syntax",
                "line is longer than " + std::to_string(size - 2) + " bytes");
            line.clear();
        }
        std::copy_n(line.c_str(), line.size() + 1, buffer);
        return buffer;
    }

} // namespace detail

Result<IniFile> readIniFile(const std::string& path)
{
    detail::IniReader reader { { path, {}, {} }, std::ifstream(path), 0 };
    if (!reader.in_)
        return makeError(ErrorCode::Invalid, path + ": cannot be read");
    const int status = ini_parse_stream(detail::readLine, &reader, detail::handleField, &reader);
    if (status > 0)
        addFault(reader.file_, status, "syntax", "expected [section] or field = value");
    return std::move(reader.file_);
}

void addFault(IniFile& file, int line, const std::string& field, const std::string& reason)
{
    const std::string location = line > 0 ? ":" + std::to_string(line) : std::string();
    file.faults_.push_back(file.path_ + location + ": " + field + ": " + reason);
}

std::optional<IniValue> takeValue(IniFile& file, const std::string& key, bool required)
{
    auto found = file.values_.extract(key);
    if (!found.empty() && !found.mapped().text_.empty())
        return found.mapped();
    if (required)
        addFault(file, found.empty() ? 0 : found.mapped().line_, key, "is missing");
    return std::nullopt;
}

std::string takeText(IniFile& file, const std::string& key, bool required)
{
    auto value = takeValue(file, key, required);
    return value ? value->text_ : std::string();
}

Address takeAddress(IniFile& file, const std::string& key)
{
    auto value = takeValue(file, key, true);
    if (!value)
        return {};
    auto address = parseAddress(value->text_);
    if (address)
        return address.value();
    addFault(file, value->line_, key, address.error().message_);
    return {};
}

std::string faultText(const IniFile& file)
{
    std::string text;
    for (const std::string& fault : file.faults_)
        text += (text.empty() ? "" : "\n") + fault;
    return text;
}

std::string trimmed(std::string text)
{
    const char* whitespace = " \t\r\n";
    text.erase(0, text.find_first_not_of(whitespace));
    text.erase(text.find_last_not_of(whitespace) + 1);
    return text;
}

Result<Address> parseAddress(const std::string& text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return makeError(ErrorCode::Invalid, "'" + text + "' is not of the form ip:port");
    const std::string ip = text.substr(0, colon);
    in_addr parsed {};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
        return makeError(ErrorCode::Invalid, "'" + ip + "' is not an IPv4 address");
    uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data() + colon + 1, end, port);
    if (status != std::errc() || rest != end || port == 0)
        return makeError(
            ErrorCode::Invalid, "'" + text.substr(colon + 1) + "' is not a port from 1 to 65535");
    return Address { ip, port };
}

} // namespace turmericwing
