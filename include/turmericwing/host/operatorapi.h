// HTTP API of the operator port: status, publication, drains, moves, explanations of routing decisions, audit
// trail, metrics and health.
#pragma once

#include "turmericwing/host/controller.h"
#include "turmericwing/host/dispatch.h"
#include "turmericwing/host/metrics.h"
#include "turmericwing/host/server.h"
#include "turmericwing/host/settings.h"
#include "turmericwing/host/trace.h"

#include <functional>
#include <vector>

namespace turmericwing::host {

/// Components of a host that the operator port uses. They must outlive it.
struct OperatorParts {
    const Settings& settings_;
    const SharedState& state_;
    Controller& controller_;
    Dispatch& dispatch_;
    Metrics& metrics_;
    TraceLog& trace_;
    store::Table table_;
    std::function<void()> refreshGauges_; ///< Called before metrics are written.
    std::function<void()> startDrain_; ///< Starts the drain of this host.
    std::function<LocalResponse(const LocalRequest&)> lookup_; ///< Answers a lookup as the caller port does.
};

/// Answers one request to the operator port. /metrics, /healthz and /readyz need no operator token.
LocalResponse handleOperator(const OperatorParts&, const LocalRequest&);

} // namespace turmericwing::host
