// End-to-end tests of the program: flags, token, exit codes and HTTP.
#include <doctest/doctest.h>

#include <httplib.h>

#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <thread>

namespace {

/// Exit code, and standard output and error together.
struct Outcome {
    int code_ = 0;
    std::string output_;
};

/// Runs the program in a shell; `environment` precedes the command.
Outcome run(const std::string& arguments, const std::string& environment = "")
{
    const std::string command = environment + " " TURMERICWING_PROGRAM " " + arguments + " 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    REQUIRE(pipe);
    Outcome outcome;
    char buffer[4096];
    while (const size_t size = fread(buffer, 1, sizeof(buffer), pipe))
        outcome.output_.append(buffer, size);
    outcome.code_ = WEXITSTATUS(pclose(pipe));
    return outcome;
}

} // namespace

TEST_CASE("usage errors exit with 2, help and version with 0")
{
    // Guards against scripts that mistake a misspelt flag, exit code 2, for a refused request, exit code 1.
    CHECK(run("--help").code_ == 0);
    CHECK(run("--version").output_ == "turmericwing 0.1.0\n");
    for (const char* arguments : { "", "dance", "check", "check /nonexistent", "status --colour",
             "audit --limit x", "audit --limit", "status --token=secret-value", "status --flagfile=x" })
        CHECK_MESSAGE(run(arguments).code_ == 2, arguments);
    CHECK(run("status --token=secret-value").output_.find("secret-value") == std::string::npos);
}

TEST_CASE("faults of a set exit with 1")
{
    // Guards against a deployment pipeline that publishes an invalid set.
    CHECK(run("check examples/darna/objects.ini").code_ == 0);
    const auto faulty = run("check examples/darna/move.ini --json");
    CHECK(faulty.code_ == 1);
    CHECK(faulty.output_.find("\"reason\": \"unknown service \\\"submissions\\\"\"") != std::string::npos);
}

TEST_CASE("requests carry the token and map to exit codes")
{
    // Guards against requests without token and against wrong exit codes for responses.
    httplib::Server server;
    std::string authorization;
    server.Get("/v1/operator/status", [&](const httplib::Request& request, httplib::Response& response) {
        authorization = request.get_header_value("Authorization");
        response.set_content("{\"host\": \"sanad-01\"}", "application/json");
    });
    server.Post("/v1/operator/host-drain", [](const httplib::Request&, httplib::Response& response) {
        response.status = 403;
        response.set_content("{\"title\": \"Denied\"}", "application/problem+json");
    });
    const int port = server.bind_to_any_port("127.0.0.1");
    REQUIRE(port > 0);
    std::thread thread([&] { server.listen_after_bind(); });
    const std::string host = "--host 127.0.0.1:" + std::to_string(port);
    const std::string tokenFile = "/tmp/turmericwing-token-" + std::to_string(getpid());
    std::ofstream(tokenFile) << "token-from-file\n";
    const auto status = run("status " + host, "TURMERICWING_TOKEN=token-1");
    CHECK(status.code_ == 0);
    CHECK(status.output_ == "host: sanad-01\n");
    CHECK(authorization == "Bearer token-1");
    CHECK(run("status --token-file " + tokenFile + " " + host).code_ == 0);
    CHECK(authorization == "Bearer token-from-file");
    const auto denied = run("drain-host sanad-01 " + host, "TURMERICWING_TOKEN=token-1");
    CHECK(denied.code_ == 1);
    CHECK(denied.output_.find("status 403: Denied") != std::string::npos);
    CHECK(run("status " + host, "TURMERICWING_TOKEN=").code_ == 2);
    CHECK(run("status --host 127.0.0.1:99999999999", "TURMERICWING_TOKEN=token-1").code_ == 2);
    CHECK(run("status --host localhost:80", "TURMERICWING_TOKEN=token-1").code_ == 2);
    server.stop();
    thread.join();
    CHECK(run("status " + host, "TURMERICWING_TOKEN=token-1").code_ == 3);
    std::remove(tokenFile.c_str());
}
