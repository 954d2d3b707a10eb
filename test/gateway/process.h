// A gateway as a process of its own on loopback addresses, for tests of its memory and descriptors.
#pragma once

#include "live.h"

#include <doctest/doctest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sys/wait.h>

namespace turmericwing::gateway::test {

/// A gateway process whose settings and store are the test's.
class Process {
public:
    Process(int storePort, uint64_t memoryMb)
        : settingsPath_(std::filesystem::temp_directory_path()
            / ("gateway-" + std::to_string(getpid()) + "-" + std::to_string(storePort) + ".ini"))
    {
        const auto local = [](uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        const std::string peerPort = std::to_string(freePort());
        std::ofstream(settingsPath_)
            << "[host]\nname = h1\nregion = a\nfailure-domain = a1\n[listen]\ncallers = "
            << local(callerPort_) << "\nreadiness = " << local(readinessPort_)
            << "\nlookups = " << local(freePort()) << "\npeer-ports = " << peerPort << "," << peerPort
            << "\nmetrics-port = " << freePort() << "\n[store]\naddress = 127.0.0.1:" << storePort
            << "\n[limits]\nmemory-mb = " << memoryMb
            << "\nlink-mbps = 100\n[failure-domains]\na1 = a\n[bounds]\nretry-ratio = 0.2\nretry-slack = 60\n"
            << "drain-time = 2500ms\nstop-time = 6s\nlookup-life = 5s\n";
        const char* program = std::getenv("TURMERICWINGD");
        REQUIRE(program != nullptr);
        std::vector<std::string> words { program, "--front=gateway", "--settings", settingsPath_.string() };
        std::vector<char*> arguments;
        for (std::string& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
        const int error = posix_spawn(&pid_, program, &files, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        REQUIRE(error == 0);
    }
    ~Process()
    {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        std::filesystem::remove(settingsPath_);
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    bool isReady() const
    {
        httplib::Client client("127.0.0.1", readinessPort_);
        const auto answer = client.Get("/api/readyz");
        return answer && answer->status == 200;
    }

    bool hasEnded() const { return waitpid(pid_, nullptr, WNOHANG) != 0; }

    /// Largest resident memory so far, in KB.
    uint64_t mostMemoryKb() const { return statusKb("VmHWM:"); }

    /// Resident memory, in KB.
    uint64_t memoryKb() const { return statusKb("VmRSS:"); }

    const uint16_t callerPort_ = freePort();

    /// Open descriptors of the process.
    size_t descriptors() const
    {
        const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd");
        return static_cast<size_t>(std::distance(begin(all), end(all)));
    }

private:
    /// Value of an entry of the process's status; 0 if it has none.
    uint64_t statusKb(const std::string& entry) const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string word; status >> word;) {
            uint64_t kb = 0;
            if (word == entry && status >> kb)
                return kb;
        }
        return 0;
    }

    const uint16_t readinessPort_ = freePort();
    const std::filesystem::path settingsPath_;
    pid_t pid_ = 0;
};

} // namespace turmericwing::gateway::test
