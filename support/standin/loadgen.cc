// Plan parsing, scheduling and response checks of the load generator.
#include "loadgen.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/base/random.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace turmericwing::standin {

namespace detail {

    constexpr size_t maximumExamples = 10;

    Outcome parseOutcome(const std::string& name)
    {
        if (name == "answered")
            return Outcome::Answered;
        return name == "not-run" ? Outcome::NotExecuted : Outcome::Unknown;
    }

    std::string problemTitle(const std::string& body)
    {
        const auto json = nlohmann::json::parse(body, nullptr, false);
        return json.is_object() ? json.value("title", "no-title") : "no-problem-details";
    }

} // namespace detail

Result<std::vector<PlanLine>> parsePlan(const std::string& text)
{
    std::vector<PlanLine> plan;
    std::istringstream lines(text);
    int number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        std::istringstream words(line.substr(0, line.find('#')));
        words >> std::ws;
        if (words.eof())
            continue;
        PlanLine entry;
        std::string kind;
        int64_t timeoutMs = 0;
        words >> entry.workspace_ >> entry.key_ >> entry.service_ >> entry.method_ >> entry.path_
            >> entry.rate_ >> entry.bodyBytes_ >> kind >> timeoutMs;
        const bool valid = !words.fail() && entry.rate_ > 0 && timeoutMs > 0 && entry.path_.starts_with('/')
            && (kind == "once" || kind == "repeatable");
        if (!valid)
            return makeError(ErrorCode::Invalid,
                "line " + std::to_string(number)
                    + ": expected workspace key service method /path rate body-bytes once|repeatable "
                      "timeout-ms");
        entry.nonIdempotent_ = kind == "once";
        entry.timeout_ = std::chrono::milliseconds(timeoutMs);
        plan.push_back(std::move(entry));
    }
    return plan;
}

std::vector<Arrival> schedule(const std::vector<PlanLine>& plan, Duration length, size_t limit, uint64_t seed)
{
    std::vector<Arrival> arrivals;
    for (size_t line = 0; line < plan.size(); ++line) {
        Random random(seed + line);
        double at = 0;
        for (size_t i = 0; i < limit; ++i) {
            at += -std::log(1 - uniform(random)) / plan[line].rate_;
            if (at >= seconds(length))
                break;
            arrivals.push_back({ Duration(static_cast<int64_t>(at * 1e6)), line });
        }
    }
    std::stable_sort(
        arrivals.begin(), arrivals.end(), [](const Arrival& a, const Arrival& b) { return a.at_ < b.at_; });
    if (arrivals.size() > limit)
        arrivals.resize(limit);
    return arrivals;
}

Exchange exchange(httplib::Client& client, const httplib::Request& request)
{
    auto result = client.send(request);
    Exchange exchange;
    if (!result) {
        const auto error = result.error();
        const bool notSent
            = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
        exchange.outcome_ = notSent ? Outcome::NotExecuted : Outcome::Unknown;
        exchange.reason_ = notSent ? "no-connection" : "connection-broken";
        exchange.connectionBroken_ = !notSent;
        return exchange;
    }
    exchange.response_ = std::move(result.value());
    exchange.status_ = exchange.response_.status;
    exchange.outcome_ = detail::parseOutcome(exchange.response_.get_header_value("Turmericwing-Outcome"));
    if (exchange.outcome_ != Outcome::Answered)
        exchange.reason_ = detail::problemTitle(exchange.response_.body);
    return exchange;
}

bool isRetryableOnAnotherHost(const std::string& reason)
{
    static const std::array reasons { "no-connection", "rate-limited", "overloaded", "stale-configuration",
        "store-unavailable", "draining", "not-ready" };
    return std::find(reasons.begin(), reasons.end(), reason) != reasons.end();
}

BodyCheck checkBody(const httplib::Response& response, const std::string& path, const std::string& body)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_object() || !json.contains("requestId") || !json.contains("path")
        || !json.contains("bodySha256"))
        return BodyCheck::Incomplete;
    if (json["path"] != path || json["bodySha256"] != sha256Hex(body))
        return BodyCheck::Swapped;
    // A replayed response carries the id of the request that was executed.
    if (response.has_header("Turmericwing-Replayed"))
        return BodyCheck::Valid;
    const std::string id = response.get_header_value("Turmericwing-Request-Id");
    const auto echoed = json["requestId"].get<std::string>();
    return !id.empty() && echoed.starts_with(id) ? BodyCheck::Valid : BodyCheck::Swapped;
}

ExecutionFaults findExecutionFaults(
    const std::map<std::string, ReportedResult>& requests, const std::map<std::string, uint64_t>& executions)
{
    ExecutionFaults faults;
    const auto record = [&](uint64_t& counter, const std::string& key, const char* text) {
        ++counter;
        if (faults.examples_.size() < detail::maximumExamples)
            faults.examples_.push_back(key + ": " + text);
    };
    for (const auto& [key, reported] : requests) {
        const auto execution = executions.find(key);
        const uint64_t executed = execution == executions.end() ? 0 : execution->second;
        if (reported.nonIdempotent_ && executed > 1)
            record(faults.duplicates_, key, "ran more than once");
        if (!reported.mayHaveExecuted_ && executed > 0)
            record(faults.falseNotExecuted_, key, "reported as not run, but ran");
        if (reported.answered_ && executed == 0)
            record(faults.answeredNotExecuted_, key, "answered, but no upstream ran it");
    }
    return faults;
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

} // namespace turmericwing::standin
