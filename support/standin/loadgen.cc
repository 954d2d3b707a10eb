// Decisions of the load driver.
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

    Outcome outcomeNamed(const std::string& name)
    {
        if (name == "answered")
            return Outcome::Answered;
        return name == "not-run" ? Outcome::NotRun : Outcome::Unknown;
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
        entry.once_ = kind == "once";
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
        exchange.outcome_ = notSent ? Outcome::NotRun : Outcome::Unknown;
        exchange.reason_ = notSent ? "no-connection" : "connection-broken";
        exchange.broken_ = !notSent;
        return exchange;
    }
    exchange.response_ = std::move(result.value());
    exchange.status_ = exchange.response_.status;
    exchange.outcome_ = detail::outcomeNamed(exchange.response_.get_header_value("Turmericwing-Outcome"));
    if (exchange.outcome_ != Outcome::Answered)
        exchange.reason_ = detail::problemTitle(exchange.response_.body);
    return exchange;
}

bool worthAnotherHost(const std::string& reason)
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
    // A replayed response repeats the id of the request that ran.
    if (response.has_header("Turmericwing-Replayed"))
        return BodyCheck::Whole;
    const std::string id = response.get_header_value("Turmericwing-Request-Id");
    const auto echoed = json["requestId"].get<std::string>();
    return !id.empty() && echoed.starts_with(id) ? BodyCheck::Whole : BodyCheck::Swapped;
}

Verdict judge(const std::map<std::string, Told>& requests, const std::map<std::string, uint64_t>& executions)
{
    Verdict verdict;
    const auto fault = [&](uint64_t& counter, const std::string& key, const char* text) {
        ++counter;
        if (verdict.examples_.size() < detail::maximumExamples)
            verdict.examples_.push_back(key + ": " + text);
    };
    for (const auto& [key, told] : requests) {
        const auto found = executions.find(key);
        const uint64_t ran = found == executions.end() ? 0 : found->second;
        if (told.once_ && ran > 1)
            fault(verdict.duplicates_, key, "ran more than once");
        if (!told.mayHaveRun_ && ran > 0)
            fault(verdict.falseNotRun_, key, "reported as not run, but ran");
        if (told.answered_ && ran == 0)
            fault(verdict.answeredNotRun_, key, "answered, but no upstream ran it");
    }
    return verdict;
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
