// The operator port: status, publication, drains, moves, explanations, audit trail, metrics and health.
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

/// Parts of a host that the operator port uses. All outlive it.
struct OperatorParts {
    const Settings& settings_;
    const SharedState& state_;
    Controller& controller_;
    Dispatch& dispatch_;
    Metrics& metrics_;
    TraceLog& trace_;
    store::Table table_;
    std::function<void()> refreshGauges_; ///< Before metrics are written.
    std::function<void()> drainSelf_;
    std::function<LocalResponse(const LocalRequest&)> lookup_;
};

/// Answers one request to the operator port. /metrics, /healthz and /readyz need no token.
LocalResponse handleOperator(const OperatorParts&, const LocalRequest&);

} // namespace turmericwing::host
