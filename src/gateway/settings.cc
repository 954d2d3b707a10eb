// Reads and checks gateway settings.
#include "turmericwing/gateway/settings.h"

#include "turmericwing/base/inifile.h"

#include <cmath>
#include <cstdlib>

namespace turmericwing::gateway {

namespace detail {

    constexpr double minMemoryMb = 1;
    constexpr double maxMemoryMb = 1'048'576;
    constexpr double minLinkMbps = 0.1;
    constexpr double maxLinkMbps = 1e6;
    constexpr double maxCores = 1024;
    constexpr std::string_view placeholderStart = "{{";
    constexpr double minDescriptors = 64;

    /// A non-negative number and the text after it, its unit.
    struct Quantity {
        double number_ = 0;
        std::string unit_;
        bool valid_ = false;
    };

    Quantity parseQuantity(const std::string& text)
    {
        char* end = nullptr;
        const double number = std::strtod(text.c_str(), &end);
        return { number, end, end != text.c_str() && std::isfinite(number) && number >= 0 };
    }

    void takeDuration(IniFile& file, const std::string& key, Duration& value)
    {
        const auto text = takeValue(file, key, false);
        if (!text)
            return;
        const auto parsed = parseDuration(text->text_);
        if (parsed)
            value = parsed.value();
        else
            addFault(file, text->line_, key, parsed.error().message_);
    }

    void takeNumber(IniFile& file, const std::string& key, double& value)
    {
        const auto text = takeValue(file, key, false);
        if (!text)
            return;
        const Quantity quantity = parseQuantity(text->text_);
        if (quantity.valid_ && quantity.unit_.empty())
            value = quantity.number_;
        else
            addFault(file, text->line_, key, "'" + text->text_ + "' is not a number of at least 0");
    }

    void takeMemory(IniFile& file, double& value)
    {
        static const std::string key = "limits.memory-mb";
        takeNumber(file, key, value);
        if (value < minMemoryMb || value > maxMemoryMb)
            addFault(file, 0, key, "is not from 1 to 1048576");
    }

    void takeLink(IniFile& file, double& value)
    {
        static const std::string key = "limits.link-mbps";
        takeNumber(file, key, value);
        if (value < minLinkMbps || value > maxLinkMbps)
            addFault(file, 0, key, "is not from 0.1 to 1000000");
    }

    /// Takes a number of which a platform may know nothing: a placeholder of the template that was not filled
    /// in counts as missing.
    void takeKnownNumber(IniFile& file, const std::string& key, double& value)
    {
        const auto field = file.values_.find(key);
        if (field != file.values_.end() && field->second.text_.starts_with(placeholderStart))
            file.values_.erase(field);
        takeNumber(file, key, value);
    }

    void takeCores(IniFile& file, const std::string& key, double& value)
    {
        takeKnownNumber(file, key, value);
        if (value > maxCores)
            addFault(file, 0, key, "is greater than 1024");
    }

    void takeDescriptors(IniFile& file, double& value)
    {
        static const std::string key = "limits.max-descriptors";
        takeKnownNumber(file, key, value);
        if (value != 0 && value < minDescriptors)
            addFault(file, 0, key, "is neither 0 nor at least 64");
    }

    Bounds takeBounds(IniFile& file)
    {
        Bounds bounds;
        takeNumber(file, "bounds.retry-ratio", bounds.retryRatio_);
        takeNumber(file, "bounds.retry-slack", bounds.retryBurst_);
        takeDuration(file, "bounds.drain-time", bounds.drainTime_);
        takeDuration(file, "bounds.stop-time", bounds.stopTime_);
        takeDuration(file, "bounds.lookup-life", bounds.lookupLifetime_);
        return bounds;
    }

    /// Reads a port range "first,last" and returns its first port on the address `ip`.
    Address takePort(IniFile& file, const std::string& key, const std::string& ip)
    {
        const auto text = takeValue(file, key, true);
        if (!text)
            return {};
        const auto address = parseAddress(ip + ":" + text->text_.substr(0, text->text_.find(',')));
        if (address)
            return address.value();
        addFault(file, text->line_, key, address.error().message_);
        return {};
    }

    std::map<std::string, std::string> takeRegions(IniFile& file)
    {
        static const std::string section = "failure-domains.";
        std::map<std::string, std::string> regions;
        for (const auto& [key, value] : file.values_) {
            if (key.starts_with(section) && !value.text_.empty())
                regions.emplace(key.substr(section.size()), value.text_);
        }
        return regions;
    }

} // namespace detail

Result<Duration> parseDuration(const std::string& text, Duration longest)
{
    const detail::Quantity quantity = detail::parseQuantity(text);
    const double unit = quantity.unit_ == "s" ? 1 : quantity.unit_ == "ms" ? 0.001 : 0;
    if (!quantity.valid_ || unit == 0 || quantity.number_ * unit > seconds(longest))
        return makeError(ErrorCode::Invalid, "'" + text + "' is not a time such as 1500ms or 2.5s");
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(quantity.number_ * unit));
}

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
    settings.callerAddress_ = takeAddress(file, "listen.callers");
    settings.readinessAddress_ = takeAddress(file, "listen.readiness");
    settings.lookupAddress_ = takeAddress(file, "listen.lookups");
    const std::string& ip = settings.callerAddress_.ip_;
    settings.peerAddress_ = detail::takePort(file, "listen.peer-ports", ip);
    settings.metricsAddress_ = detail::takePort(file, "listen.metrics-port", ip);
    settings.storeAddress_ = takeAddress(file, "store.address");
    settings.regionOf_ = detail::takeRegions(file);
    settings.regionOf_[settings.failureDomain_] = settings.region_;
    detail::takeMemory(file, settings.memoryMb_);
    detail::takeDescriptors(file, settings.maxDescriptors_);
    detail::takeLink(file, settings.linkMbps_);
    detail::takeCores(file, "limits.cpu-share", settings.cpuShare_);
    detail::takeCores(file, "limits.cores", settings.cores_);
    settings.bounds_ = detail::takeBounds(file);
    if (!file.faults_.empty())
        return makeError(ErrorCode::Invalid, faultText(file));
    return settings;
}

} // namespace turmericwing::gateway
