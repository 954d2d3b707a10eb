// HTTP servers of a host: the caller port and the operator port, on cpp-httplib.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/host/path.h"
#include "turmericwing/host/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace turmericwing::host {

/// A request to a port that the host itself answers (lookup, health, operator API).
struct LocalRequest {
    std::string method_;
    std::string path_;
    std::function<std::string(const std::string& name)> parameter_; ///< Query parameter, empty when absent.
    std::string authorization_;
    std::string body_;
    std::string remoteAddress_;
};

struct LocalResponse {
    int status_ = 200;
    std::string body_;
    std::string contentType_ = "application/json";
    HeaderList headers_;
};

using LocalHandler = std::function<LocalResponse(const LocalRequest&)>;
using CallerHandler = std::function<CallerResponse(const CallerRequest&)>;

struct ServerOptions {
    Address address_;
    std::string tlsCertificate_; ///< Path, empty for plain HTTP.
    std::string tlsPrivateKey_;
    size_t maxConnections_ = 1024; ///< One thread each; further connections wait.
    CallerHandler callers_; ///< Requests outside the local paths; empty on the operator port.
    LocalHandler local_;
    std::function<bool(const std::string& path)> isLocal_; ///< Which paths the host answers itself.
    std::function<bool()> closing_; ///< When true, responses ask clients to close the connection.
};

class Server {
public:
    explicit Server(ServerOptions);
    ~Server();

    /// Binds and serves in its own threads. Errors: Unavailable when the address cannot be bound or the
    /// certificate cannot be loaded.
    Result<void> start();

    /// Stops accepting, lets running requests end, then returns.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::host
