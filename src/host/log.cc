// The log on easylogging++.
#include "turmericwing/host/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace turmericwing::host {

namespace detail {

    LogLevel minimumLevel = LogLevel::Info;

    std::string quoted(const std::string& value)
    {
        if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string::npos)
            return value;
        std::string out = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += c == '\n' || c == '\r' ? ' ' : c;
        }
        return out + "\"";
    }

} // namespace detail

void startLog(const std::string& host, LogLevel minimum)
{
    detail::minimumLevel = minimum;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
        "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level host=" + detail::quoted(host) + " %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logEvent(LogLevel level, const char* event, std::initializer_list<LogField> fields)
{
    if (level < detail::minimumLevel)
        return;
    std::string line = std::string("event=") + event;
    for (const auto& [name, value] : fields)
        line += std::string(" ") + name + "=" + detail::quoted(value);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        return;
    case LogLevel::Info:
        LOG(INFO) << line;
        return;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        return;
    case LogLevel::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace turmericwing::host
