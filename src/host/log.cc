// Implements the log with easylogging++.
#include "turmericwing/host/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace turmericwing::host {

namespace detail {

    LogLevel minimumLevel = LogLevel::Info;

    constexpr size_t maxBufferedBytes = 262'144; ///< Lines beyond this size are dropped.

    constexpr size_t maxWriteBytes = 4096; ///< PIPE_BUF of Linux: a pipe takes writes up to it atomically.

    /// Lines that wait for standard output. Used only on the event loop.
    struct LogBuffer {
        std::string lines_;
        uint64_t dropped_ = 0; ///< Lines dropped since the last report.
    };

    LogBuffer logBuffer;

    /// Appends each line to the buffer instead of writing it to standard output.
    class BufferedDispatch : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            const el::LogMessage* message = data->logMessage();
            const std::string line = message->logger()->logBuilder()->build(message, true);
            if (logBuffer.lines_.size() + line.size() > maxBufferedBytes)
                ++logBuffer.dropped_;
            else
                logBuffer.lines_ += line;
        }
    };

    constexpr size_t maxValueBytes = 1000; ///< Errors may repeat input from elsewhere; the rest is cut.

    /// The value, quoted and escaped if it is empty or has special characters; line breaks become spaces.
    std::string quoteValue(const std::string& value)
    {
        if (value.size() > maxValueBytes)
            return quoteValue(value.substr(0, maxValueBytes)) + "...";
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
        "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level host=" + detail::quoteValue(host) + " %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void startBufferedLog(const std::string& host, LogLevel minimum)
{
    startLog(host, minimum);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<detail::BufferedDispatch>("BufferedDispatch");
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void flushLog()
{
    std::string& lines = detail::logBuffer.lines_;
    while (!lines.empty()) {
        // Writes whole lines, at most PIPE_BUF bytes at once, so that lines of several processes do not mix.
        size_t size = std::min(lines.size(), detail::maxWriteBytes);
        if (size < lines.size())
            size = lines.rfind('\n', size - 1) == std::string::npos ? size : lines.rfind('\n', size - 1) + 1;
        const ssize_t written = ::write(STDOUT_FILENO, lines.data(), size);
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            break;
        lines.erase(0, static_cast<size_t>(written));
    }
    if (!lines.empty() || detail::logBuffer.dropped_ == 0)
        return;
    const std::string dropped = std::to_string(detail::logBuffer.dropped_);
    detail::logBuffer.dropped_ = 0;
    logEvent(LogLevel::Warning, "log-lines-dropped", { { "lines", dropped } });
}

void logEvent(LogLevel level, const char* event, std::initializer_list<LogField> fields)
{
    if (level < detail::minimumLevel)
        return;
    std::string line = std::string("event=") + event;
    for (const auto& [name, value] : fields)
        line += std::string(" ") + name + "=" + detail::quoteValue(value);
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
