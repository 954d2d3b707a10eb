// HTTP server of a host, used for the caller port and the operator port.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/host/path.h"
#include "turmericwing/host/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace turmericwing::host {

/// A request that the host answers itself: lookup, health or operator API.
struct LocalRequest {
    std::string method_;
    std::string path_;
    std::function<std::string(const std::string& name)>
        parameter_; ///< Value of a query parameter; empty when absent.
    std::string authorization_;
    std::string body_;
    std::string remoteAddress_;
};

/// A response to a LocalRequest.
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
    std::string tlsCertificate_; ///< Path of a PEM file; empty for plain HTTP.
    std::string tlsPrivateKey_; ///< Path of a PEM file.
    size_t maxConnections_ = 1024; ///< Each takes one thread; further connections wait.
    CallerHandler callers_; ///< Handles requests outside the local paths; empty on the operator port.
    LocalHandler local_; ///< Handles requests to the local paths.
    std::function<bool(const std::string& path)> isLocal_; ///< Whether the host answers a path itself.
    std::function<bool()> closing_; ///< When true, responses ask clients to close the connection.
};

/// One listening address with its handlers.
class Server {
public:
    explicit Server(ServerOptions);
    ~Server();

    /// Binds the address and serves it in threads of its own. Errors: Unavailable when the address cannot be
    /// bound or the certificate cannot be loaded.
    Result<void> start();

    /// Stops accepting connections, waits for running requests, then returns.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::host
