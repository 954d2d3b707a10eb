// Structured log on standard output: one event per line, as key=value pairs. Hosts have no disks, so the log
// never opens a file.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace turmericwing::host {

enum class LogLevel { Debug, Info, Warning, Error };

/// Key and value of a field.
using LogField = std::pair<const char*, std::string>;

/// Sets up the log of the process. Every line names `host`; events below `minimum` are discarded.
void startLog(const std::string& host, LogLevel minimum);

/// As startLog, for event loops: lines are buffered in memory until flushLog writes them. If the reader of
/// standard output falls behind, lines are dropped and counted, so that the event loop never blocks.
void startBufferedLog(const std::string& host, LogLevel minimum);

/// Writes the buffered lines without blocking. Once all are written, logs how many lines were dropped.
void flushLog();

/// Writes one line. Values are quoted where needed. Callers must not pass keys, tokens or bodies.
void logEvent(LogLevel, const char* event, std::initializer_list<LogField> fields = {});

} // namespace turmericwing::host
