// Structured log to standard output: one event a line, as key=value pairs. Hosts have no disks, so no file is
// ever opened.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace turmericwing::host {

enum class LogLevel { Debug, Info, Warning, Error };

using LogField = std::pair<const char*, std::string>;

/// Sets up the log for the process. `host` stands on every line.
void startLog(const std::string& host, LogLevel minimum);

/// As startLog, for event loops: lines collect in memory until flushLog writes them. When the reader of
/// standard output falls behind, lines are dropped and counted instead of waited for.
void startBufferedLog(const std::string& host, LogLevel minimum);

/// Writes collected lines without blocking. Lines that were dropped are reported by a line of their own.
void flushLog();

/// Writes one line. Values are quoted where needed. Never pass keys, tokens or bodies.
void logEvent(LogLevel, const char* event, std::initializer_list<LogField> fields = {});

} // namespace turmericwing::host
