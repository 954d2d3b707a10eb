// Runs a gateway with the adapter to the users' platform.
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
constexpr int exitSettings = 1;
constexpr int exitCannotListen = 3;

/// SIGTERM and SIGINT drain, SIGHUP reads the settings again.
void waitForSignal(boost::asio::signal_set& signals, gateway::Gateway& process)
{
    signals.async_wait([&](boost::system::error_code cancelled, int signal) {
        if (cancelled)
            return;
        if (signal == SIGHUP)
            process.reload();
        else
            process.drain();
        waitForSignal(signals, process);
    });
}

} // namespace

int runGateway(const std::string& settingsPath)
{
    auto settings = gateway::loadSettings(settingsPath);
    if (!settings) {
        std::cerr << settings.error().message_ << "\n";
        return exitSettings;
    }
    std::signal(SIGPIPE, SIG_IGN);
    host::startBufferedLog(settings.value().name_, host::LogLevel::Info);
    boost::asio::io_context loop(1);
    gateway::TableStore store = platform::makeTableStore(loop, settings.value().storeAddress_);
    gateway::Gateway process(loop,
        { .settingsPath_ = settingsPath,
            .settings_ = std::move(settings).value(),
            .protocol_ = platform::makeProtocol(),
            .store_ = std::move(store) });
    if (const auto started = process.start(); !started) {
        std::cerr << started.error().message_ << "\n";
        return exitCannotListen;
    }
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    waitForSignal(signals, process);
    loop.run();
    host::flushLog();
    return exitOk;
}
