// Tests of signals that reach a gateway process before it serves. They guard against a process that ends by a
// signal, with a status other than 0, or that misses a reload, because the signal came before its handlers.
#include "turmericwing/base/time.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace turmericwing;

namespace {

constexpr auto timeLimit = std::chrono::seconds(30); ///< Long, because the machine may be busy.
constexpr auto pollInterval = std::chrono::milliseconds(10);

sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// Returns a free port below the ephemeral range, so that no outgoing connection occupies it first.
uint16_t freePort()
{
    static int next = 28'000 + getpid() % 40 * 100;
    for (;; ++next) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(static_cast<uint16_t>(next));
        const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
        if (free)
            return static_cast<uint16_t>(next++);
    }
}

bool accepts(uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    const bool connected = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    return connected;
}

std::string settingsText(uint16_t readinessPort)
{
    const auto address = [](uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    return "[host]\nname = h1\nregion = a\nfailure-domain = a1\n[listen]\ncallers = " + address(freePort())
        + "\nreadiness = " + address(readinessPort) + "\nlookups = " + address(freePort())
        + "\npeer-ports = " + std::to_string(freePort()) + "\nmetrics-port = " + std::to_string(freePort())
        + "\n[store]\naddress = " + address(freePort()) + "\n[bounds]\nstop-time = 1s\n";
}

/// A gateway process whose settings file is a named pipe, so that it waits in the middle of its start until
/// the settings are written.
class StartingGateway {
public:
    /// `signalAtExec` is sent as soon as the program has been executed, blocked by the parent until the
    /// program can handle it; 0 for none.
    explicit StartingGateway(int signalAtExec = 0)
        : path_(std::filesystem::temp_directory_path() / ("gateway-signals-" + std::to_string(getpid())))
    {
        std::filesystem::remove(path_);
        REQUIRE(mkfifo(path_.c_str(), 0600) == 0);
        std::string program = TURMERICWING_PROGRAM;
        std::string front = "--front=gateway";
        std::string settings = "--settings=" + path_.string();
        char* const arguments[] = { program.data(), front.data(), settings.data(), nullptr };
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        sigset_t blocked;
        sigemptyset(&blocked);
        if (signalAtExec != 0)
            sigaddset(&blocked, signalAtExec);
        posix_spawnattr_setsigmask(&attributes, &blocked);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        REQUIRE(posix_spawn(&pid_, program.c_str(), nullptr, &attributes, arguments, environ) == 0);
        posix_spawnattr_destroy(&attributes);
        if (signalAtExec != 0)
            signal(signalAtExec);
        // Returns once the process has opened the pipe for reading.
        pipe_ = open(path_.c_str(), O_WRONLY | O_CLOEXEC);
        REQUIRE(pipe_ >= 0);
    }

    ~StartingGateway()
    {
        if (pid_ != 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        std::filesystem::remove(path_);
    }

    StartingGateway(const StartingGateway&) = delete;
    StartingGateway& operator=(const StartingGateway&) = delete;

    void signal(int number) const { REQUIRE(kill(pid_, number) == 0); }

    /// Writes the settings for which the process waits.
    void writeSettings(const std::string& text)
    {
        std::signal(SIGPIPE, SIG_IGN);
        CHECK(write(pipe_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        close(pipe_);
    }

    /// Puts a regular file in the place of the pipe; what the process has already opened stays the pipe.
    void replaceSettingsFile(const std::string& text) const
    {
        const std::string other = path_.string() + ".new";
        std::ofstream(other) << text;
        std::filesystem::rename(other, path_);
    }

    /// Waits for the end of the process. Returns its wait status, or -1 after the time limit.
    int waitForEnd()
    {
        for (const TimePoint end = monotonicNow() + timeLimit; monotonicNow() < end;) {
            int status = 0;
            if (waitpid(pid_, &status, WNOHANG) == pid_) {
                pid_ = 0;
                return status;
            }
            std::this_thread::sleep_for(pollInterval);
        }
        return -1;
    }

    /// Waits until the port accepts a connection. Returns false if the process ends first, or after the time
    /// limit.
    bool waitForPort(uint16_t port)
    {
        for (const TimePoint end = monotonicNow() + timeLimit; monotonicNow() < end;) {
            if (accepts(port))
                return true;
            if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
                pid_ = 0;
                return false;
            }
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

private:
    const std::filesystem::path path_;
    pid_t pid_ = 0;
    int pipe_ = -1;
};

} // namespace

TEST_CASE("a stop signal during the start ends the process with status 0")
{
    // Guards against a start that installs its signal handlers last: the process ended by the signal.
    for (const int signal : { SIGTERM, SIGINT }) {
        StartingGateway gateway;
        gateway.signal(signal);
        gateway.writeSettings(settingsText(freePort()));
        const int status = gateway.waitForEnd();
        INFO("signal ", signal, ", wait status ", status);
        REQUIRE(WIFEXITED(status));
        CHECK(WEXITSTATUS(status) == 0);
    }
}

TEST_CASE("a reload signal during the start puts the settings of the file after the signal in force")
{
    // Guards against a start that ends by SIGHUP, or keeps what it read before the signal.
    StartingGateway gateway;
    const uint16_t before = freePort();
    const uint16_t after = freePort();
    gateway.replaceSettingsFile(settingsText(after));
    gateway.signal(SIGHUP);
    gateway.writeSettings(settingsText(before));
    REQUIRE(gateway.waitForPort(after));
    CHECK_FALSE(accepts(before));
    gateway.signal(SIGTERM);
    const int status = gateway.waitForEnd();
    INFO("wait status ", status);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("signals that the parent has blocked are handled, also those that precede the program's first "
          "instruction")
{
    // Guards against a program that leaves inherited blocked signals blocked, and so never stops.
    StartingGateway early(SIGTERM);
    early.writeSettings(settingsText(freePort()));
    const int status = early.waitForEnd();
    INFO("wait status ", status);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);

    StartingGateway reloaded(SIGHUP);
    const uint16_t after = freePort();
    reloaded.replaceSettingsFile(settingsText(after));
    reloaded.writeSettings(settingsText(freePort()));
    REQUIRE(reloaded.waitForPort(after));
    reloaded.signal(SIGTERM);
    const int reloadedStatus = reloaded.waitForEnd();
    INFO("wait status ", reloadedStatus);
    REQUIRE(WIFEXITED(reloadedStatus));
    CHECK(WEXITSTATUS(reloadedStatus) == 0);
}
