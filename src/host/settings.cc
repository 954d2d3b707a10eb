// Reads host settings with inih and checks every field.
#include "turmericwing/host/settings.h"

#include "turmericwing/base/hash.h"

#include <arpa/inet.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace turmericwing::host {

namespace detail {

    constexpr size_t minimumSecretBytes = 16;

    struct Value {
        std::string text_;
        int line_ = 0;
    };

    struct Document {
        std::string file_;
        std::ifstream in_;
        int line_ = 0; ///< Line that was read last.
        std::map<std::string, Value> values_; ///< Key is "section.field".
        std::vector<std::string> faults_;
    };

    void addFault(Document& document, int line, const std::string& field, const std::string& reason)
    {
        const std::string where = line > 0 ? ":" + std::to_string(line) : std::string();
        document.faults_.push_back(document.file_ + where + ": " + field + ": " + reason);
    }

    int onEntry(void* user, const char* section, const char* name, const char* value)
    {
        auto& document = *static_cast<Document*>(user);
        const std::string key = std::string(section) + "." + name;
        if (!document.values_.emplace(key, Value { value, document.line_ }).second)
            addFault(document, document.line_, key, "given twice");
        return 1;
    }

    /// Debian builds inih without line numbers in the handler, so the reader counts lines.
    char* readLine(char* buffer, int size, void* stream)
    {
        auto& document = *static_cast<Document*>(stream);
        std::string line;
        if (!std::getline(document.in_, line))
            return nullptr;
        ++document.line_;
        if (line.size() + 1 >= static_cast<size_t>(size)) {
            addFault(document, document.line_, "syntax",
                "line is longer than " + std::to_string(size - 2) + " bytes");
            line.clear();
        }
        std::copy_n(line.c_str(), line.size() + 1, buffer);
        return buffer;
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream in(path, std::ios::binary);
        if (!in)
            return std::nullopt;
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    /// Takes a field out of the document, so that what remains at the end is unknown.
    std::optional<Value> take(Document& document, const std::string& key, bool required)
    {
        auto found = document.values_.extract(key);
        if (!found.empty() && !found.mapped().text_.empty())
            return found.mapped();
        if (required)
            addFault(document, found.empty() ? 0 : found.mapped().line_, key, "is missing");
        return std::nullopt;
    }

    std::string takeText(Document& document, const std::string& key, bool required = true)
    {
        auto value = take(document, key, required);
        return value ? value->text_ : std::string();
    }

    Address takeAddress(Document& document, const std::string& key)
    {
        auto value = take(document, key, true);
        if (!value)
            return {};
        auto address = parseAddress(value->text_);
        if (address)
            return address.value();
        addFault(document, value->line_, key, address.error().message_);
        return {};
    }

    std::string takePath(Document& document, const std::string& key, bool required)
    {
        auto value = take(document, key, required);
        if (!value)
            return {};
        const std::string& path = value->text_; // Relative to the working directory.
        if (!std::filesystem::exists(path))
            addFault(document, value->line_, key, "file '" + path + "' does not exist");
        return path;
    }

    std::string trim(std::string text)
    {
        const char* blanks = " \t\r\n";
        text.erase(0, text.find_first_not_of(blanks));
        text.erase(text.find_last_not_of(blanks) + 1);
        return text;
    }

    std::string takeSecret(Document& document, const std::string& key)
    {
        const std::string path = takePath(document, key, true);
        std::string secret = trim(readFile(path).value_or(""));
        if (!path.empty() && secret.size() < minimumSecretBytes)
            addFault(document, 0, key, "the secret must have at least 16 bytes");
        return secret;
    }

    /// One operator a line: name, role (read or change), SHA-256 of the token in hexadecimal.
    std::vector<Operator> takeOperators(Document& document, const std::string& key)
    {
        const std::string path = takePath(document, key, true);
        std::istringstream lines(readFile(path).value_or(""));
        std::vector<Operator> operators;
        std::string line;
        for (int number = 1; std::getline(lines, line); ++number) {
            if (trim(line).empty() || line[0] == '#')
                continue;
            std::istringstream words(line);
            std::string name;
            std::string role;
            std::string digest;
            words >> name >> role >> digest;
            const bool valid = (role == "read" || role == "change") && digest.size() == 64
                && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (valid)
                operators.push_back({ name, role == "change" ? Role::Change : Role::Read, digest });
            else
                document.faults_.push_back(
                    path + ":" + std::to_string(number) + ": expected 'NAME read|change SHA256-OF-TOKEN'");
        }
        return operators;
    }

    std::string joinLines(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const std::string& line : lines)
            text += (text.empty() ? "" : "\n") + line;
        return text;
    }

} // namespace detail

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

Result<Settings> loadSettings(const std::string& path)
{
    detail::Document document { path, std::ifstream(path), 0, {}, {} };
    if (!document.in_)
        return makeError(ErrorCode::Invalid, path + ": cannot be read");
    const int status = ini_parse_stream(detail::readLine, &document, detail::onEntry, &document);
    if (status > 0)
        detail::addFault(document, status, "syntax", "expected [section] or field = value");

    Settings settings;
    settings.name_ = detail::takeText(document, "host.name");
    settings.region_ = detail::takeText(document, "host.region");
    settings.failureDomain_ = detail::takeText(document, "host.failure-domain");
    settings.callerAddress_ = detail::takeAddress(document, "host.caller-address");
    settings.peerAddress_ = detail::takeAddress(document, "host.peer-address");
    settings.operatorAddress_ = detail::takeAddress(document, "host.operator-address");
    settings.platformAddress_ = detail::takeAddress(document, "platform.address");
    settings.peerSecret_ = detail::takeSecret(document, "secrets.peer-secret-file");
    settings.operators_ = detail::takeOperators(document, "secrets.operators-file");
    settings.tlsCertificate_ = detail::takePath(document, "tls.certificate", false);
    settings.tlsPrivateKey_
        = detail::takePath(document, "tls.private-key", !settings.tlsCertificate_.empty());
    if (auto level = detail::take(document, "log.level", false)) {
        settings.logLevel_ = level->text_;
        if (level->text_ != "debug" && level->text_ != "info" && level->text_ != "warning"
            && level->text_ != "error")
            detail::addFault(document, level->line_, "log.level", "must be debug, info, warning or error");
    }
    for (const auto& [key, value] : document.values_)
        detail::addFault(document, value.line_, key, "is not a known setting");
    if (!document.faults_.empty())
        return makeError(ErrorCode::Invalid, detail::joinLines(document.faults_));
    return settings;
}

} // namespace turmericwing::host
