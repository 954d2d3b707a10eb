// Reads host settings from an INI file and checks every field.
#include "turmericwing/host/settings.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/base/inifile.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

namespace turmericwing::host {

namespace detail {

    constexpr size_t minimumSecretBytes = 16;

    /// Content of a file; empty if it cannot be opened.
    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream in(path, std::ios::binary);
        if (!in)
            return std::nullopt;
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    /// Path of a file; adds a fault if the file does not exist.
    std::string takePath(IniFile& file, const std::string& key, bool required)
    {
        auto value = takeValue(file, key, required);
        if (!value)
            return {};
        const std::string& path = value->text_; // A relative path refers to the working directory.
        if (!std::filesystem::exists(path))
            addFault(file, value->line_, key, "file '" + path + "' does not exist");
        return path;
    }

    /// Content of the secret file without surrounding white space. A secret that is too short is a fault.
    std::string takeSecret(IniFile& file, const std::string& key)
    {
        const std::string path = takePath(file, key, true);
        std::string secret = trimmed(readFile(path).value_or(""));
        if (!path.empty() && secret.size() < minimumSecretBytes)
            addFault(file, 0, key, "the secret must have at least 16 bytes");
        return secret;
    }

    /// Reads the operators file, one operator per line: name, role (read or change), SHA-256 of the token in
    /// lower-case hexadecimal. Empty lines and lines that begin with "#" are skipped.
    std::vector<Operator> takeOperators(IniFile& file, const std::string& key)
    {
        const std::string path = takePath(file, key, true);
        std::istringstream lines(readFile(path).value_or(""));
        std::vector<Operator> operators;
        std::string line;
        for (int number = 1; std::getline(lines, line); ++number) {
            if (trimmed(line).empty() || line[0] == '#')
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
                file.faults_.push_back(
                    path + ":" + std::to_string(number) + ": expected 'NAME read|change SHA256-OF-TOKEN'");
        }
        return operators;
    }

} // namespace detail

Result<Settings> loadSettings(const std::string& path)
{
    auto read = readIniFile(path);
    if (!read)
        return read.error();
    IniFile& file = read.value();

    Settings settings;
    settings.name_ = takeText(file, "host.name");
    settings.region_ = takeText(file, "host.region");
    settings.failureDomain_ = takeText(file, "host.failure-domain");
    settings.callerAddress_ = takeAddress(file, "host.caller-address");
    settings.peerAddress_ = takeAddress(file, "host.peer-address");
    settings.operatorAddress_ = takeAddress(file, "host.operator-address");
    settings.platformAddress_ = takeAddress(file, "platform.address");
    settings.peerSecret_ = detail::takeSecret(file, "secrets.peer-secret-file");
    settings.operators_ = detail::takeOperators(file, "secrets.operators-file");
    settings.tlsCertificate_ = detail::takePath(file, "tls.certificate", false);
    settings.tlsPrivateKey_ = detail::takePath(file, "tls.private-key", !settings.tlsCertificate_.empty());
    if (auto level = takeValue(file, "log.level", false)) {
        settings.logLevel_ = level->text_;
        if (level->text_ != "debug" && level->text_ != "info" && level->text_ != "warning"
            && level->text_ != "error")
            addFault(file, level->line_, "log.level", "must be debug, info, warning or error");
    }
    for (const auto& [key, value] : file.values_)
        addFault(file, value.line_, key, "is not a known setting");
    if (!file.faults_.empty())
        return makeError(ErrorCode::Invalid, faultText(file));
    return settings;
}

} // namespace turmericwing::host
