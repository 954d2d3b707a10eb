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

using namespace turmericwing;

namespace {

constexpr int exitOk = 0;
constexpr int exitInvalidSettings = 1;
constexpr int exitBindFailed = 3;

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
    auto settings = gateway::loadSettings(settingsPath);
    if (!settings) {
        std::cerr << settings.error().message_ << "\n";
        return exitInvalidSettings;
    }
    std::signal(SIGPIPE, SIG_IGN);
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
    ioContext.run();
    host::flushLog();
    return exitOk;
}
