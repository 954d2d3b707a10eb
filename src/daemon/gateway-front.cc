// Runs a gateway with the protocol and table store adapters of the users' platform.
#include "gateway-front.h"

#include "platform/protocol.h"
#include "platform/store.h"
#include "turmericwing/gateway/gateway.h"
#include "turmericwing/host/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <optional>
#include <pthread.h>

using namespace turmericwing;

namespace {

/// Larger allocations, such as bodies, go back to the system when they are freed. The allocator's own
/// threshold rises to 32 MB with use, and memory of freed bodies then stays with the process.
constexpr int mmapThresholdBytes = 128 * 1024;

constexpr int exitOk = 0;
constexpr int exitInvalidSettings = 1;
constexpr int exitBindFailed = 3;

/// Returns the signals that the gateway handles.
sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Takes a pending signal of a blocked set. Returns an empty value if none is pending.
std::optional<int> takePendingSignal(const sigset_t& signals)
{
    constexpr timespec noWait {};
    const int signal = sigtimedwait(&signals, nullptr, &noWait);
    return signal > 0 ? std::optional(signal) : std::nullopt;
}

/// Handles signals until the wait is cancelled: SIGTERM and SIGINT start a graceful stop, SIGHUP reloads the
/// settings.
void handleSignals(boost::asio::signal_set& signals, gateway::Gateway& gatewayProcess)
{
    signals.async_wait([&](boost::system::error_code cancelled, int signal) {
        if (cancelled)
            return;
        if (signal == SIGHUP)
            gatewayProcess.reload();
        else
            gatewayProcess.drain();
        handleSignals(signals, gatewayProcess);
    });
}

} // namespace

int runGateway(const std::string& settingsPath)
{
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    std::signal(SIGPIPE, SIG_IGN);
    // Without a handler these signals end the process. They stay pending until the gateway can handle them.
    const sigset_t signalsToHandle = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signalsToHandle, nullptr);
    auto settings = gateway::loadSettings(settingsPath);
    while (const auto signal = takePendingSignal(signalsToHandle)) {
        if (*signal != SIGHUP)
            return exitOk;
        settings = gateway::loadSettings(settingsPath);
    }
    if (!settings) {
        std::cerr << settings.error().message_ << "\n";
        return exitInvalidSettings;
    }
    host::startBufferedLog(settings.value().name_, host::LogLevel::Info);
    boost::asio::io_context ioContext(1);
    gateway::TableStore store = platform::makeTableStore(ioContext, settings.value().storeAddress_);
    gateway::Gateway gatewayProcess(ioContext,
        { .settingsPath_ = settingsPath,
            .settings_ = std::move(settings).value(),
            .protocol_ = platform::makeProtocol(),
            .store_ = std::move(store) });
    if (const auto started = gatewayProcess.start(); !started) {
        std::cerr << started.error().message_ << "\n";
        return exitBindFailed;
    }
    boost::asio::signal_set signals(ioContext, SIGTERM, SIGINT, SIGHUP);
    handleSignals(signals, gatewayProcess);
    pthread_sigmask(SIG_UNBLOCK, &signalsToHandle, nullptr);
    ioContext.run();
    host::flushLog();
    return exitOk;
}
