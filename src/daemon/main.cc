// Entry point of turmericwingd. --front selects what it runs: a host with the product's own interface, or the
// gateway of the users' platform.
#include "gateway-front.h"

#ifndef TURMERICWING_GATEWAY_ONLY
#include "turmericwing/host/host.h"
#include "turmericwing/host/log.h"
#endif

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <pthread.h>
#include <thread>

DEFINE_string(settings, "", "path of the host's settings file (INI); default: TURMERICWING_SETTINGS");
DEFINE_string(front, "host", "what to run: host (the product's own interface) or gateway (the platform's)");

namespace {

constexpr int exitUsage = 2;

/// Returns the path from --settings, else from TURMERICWING_SETTINGS, else an empty string.
std::string settingsPath()
{
    const char* path = std::getenv("TURMERICWING_SETTINGS");
    return FLAGS_settings.empty() && path ? path : FLAGS_settings;
}

} // namespace

#ifndef TURMERICWING_GATEWAY_ONLY
namespace {

constexpr int exitOk = 0;
constexpr int exitInvalidSettings = 1;
constexpr int exitBindFailed = 3;

/// Returns the level with this name; Info for an unknown name.
turmericwing::host::LogLevel logLevel(const std::string& name)
{
    using turmericwing::host::LogLevel;
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

/// Returns the signals that start a graceful stop, SIGTERM and SIGINT. They are blocked in all threads, and
/// one thread receives them with sigwait.
sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

/// Runs a host until a graceful stop, then exits. Returns the exit status only if the start fails: 1 if the
/// settings are invalid, 3 if an address cannot be bound.
int runHost(const std::string& path)
{
    auto settings = turmericwing::host::loadSettings(path);
    if (!settings) {
        std::cerr << settings.error().message_ << "\n";
        return exitInvalidSettings;
    }
    turmericwing::host::startLog(settings.value().name_, logLevel(settings.value().logLevel_));
    signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    turmericwing::host::Host host(std::move(settings).value());
    if (const auto started = host.start(); !started) {
        std::cerr << started.error().message_ << "\n";
        return exitBindFailed;
    }
    std::thread([&host, signals] {
        int received = 0;
        sigwait(&signals, &received);
        host.drain();
    }).detach();
    host.waitStopped();
    // The detached signal thread may still be waiting. Exiting without destructors keeps it from accessing a
    // destroyed host.
    std::cout.flush();
    std::_Exit(exitOk);
}
#endif

int main(int argc, char** argv)
{
    gflags::SetVersionString(TURMERICWING_VERSION);
    gflags::SetUsageMessage("runs one turmericwing host\n\n"
                            "  turmericwingd --settings host.ini [--front=host|gateway]\n\n"
                            "Exit codes: 0 stopped gracefully, 1 faulty settings, 2 wrong usage, "
                            "3 an address cannot be bound.\n"
                            "SIGTERM and SIGINT start a graceful stop.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string path = settingsPath();
    if (path.empty() || argc > 1) {
        std::cerr << "usage: turmericwingd --settings FILE (see --help)\n";
        return exitUsage;
    }
    if (FLAGS_front == "gateway")
        return runGateway(path);
#ifndef TURMERICWING_GATEWAY_ONLY
    if (FLAGS_front == "host")
        return runHost(path);
#endif
    std::cerr << "--front: '" << FLAGS_front << "' is not built into this program\n";
    return exitUsage;
}
