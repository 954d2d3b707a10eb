// Request handling of the simulated users' store.
#include "rowstore.h"

#include "turmericwing/base/base64.h"

#include <nlohmann/json.hpp>

namespace turmericwing::standin {

using nlohmann::json;

namespace detail {

    uint64_t numberParameter(const httplib::Request& request, const char* name)
    {
        return request.has_param(name) ? std::stoull(request.get_param_value(name)) : 0;
    }

} // namespace detail

RowStore::RowStore()
{
    server_.set_post_routing_handler([this](const httplib::Request&, httplib::Response& response) {
        std::lock_guard lock(mutex_);
        response.set_header("Store-Era", std::to_string(era_));
    });
    server_.Post(
        "/api/rows-tx", [this](const auto& request, auto& response) { onTransaction(request, response); });
    server_.Get(
        "/api/rows-get", [this](const auto& request, auto& response) { onTableRead(request, response); });
    server_.Get(
        "/api/rows-feed", [this](const auto& request, auto& response) { onFeedRead(request, response); });
}

RowStore::~RowStore() { shutDown(); }

int RowStore::start(const std::string& ip, int port) { return server_.start(ip, port); }

void RowStore::shutDown()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    rowsChanged_.notify_all();
    server_.shutDown();
}

void RowStore::write(const Key& key, const std::string& value, bool removed)
{
    rows_[key] = { value, version_, removed };
}

void RowStore::put(const std::string& table, const std::string& key, const std::string& value)
{
    std::lock_guard lock(mutex_);
    ++version_;
    write({ table, key }, value, false);
    rowsChanged_.notify_all();
}

void RowStore::remove(const std::string& table, const std::string& key)
{
    std::lock_guard lock(mutex_);
    ++version_;
    write({ table, key }, "", true);
    rowsChanged_.notify_all();
}

std::optional<std::string> RowStore::get(const std::string& table, const std::string& key) const
{
    std::lock_guard lock(mutex_);
    const auto row = rows_.find({ table, key });
    return row == rows_.end() || row->second.removed_ ? std::nullopt : std::optional(row->second.value_);
}

void RowStore::setFaults(RowFaults faults)
{
    {
        std::lock_guard lock(mutex_);
        faults_ = faults;
    }
    rowsChanged_.notify_all();
    if (faults.drop_)
        server_.breakConnections();
}

void RowStore::dropHistory()
{
    std::lock_guard lock(mutex_);
    oldestFeedVersion_ = ++version_;
    rowsChanged_.notify_all();
}

void RowStore::takeCopy()
{
    std::lock_guard lock(mutex_);
    copy_ = { rows_, version_ };
}

void RowStore::restoreCopy()
{
    {
        std::lock_guard lock(mutex_);
        rows_ = copy_.rows_;
        version_ = copy_.version_;
        oldestFeedVersion_ = std::min(oldestFeedVersion_, version_);
        ++era_;
    }
    rowsChanged_.notify_all();
    server_.breakConnections();
}

bool RowStore::injectFault(httplib::Response& response)
{
    ++calls_;
    RowFaults faults;
    {
        std::lock_guard lock(mutex_);
        faults = faults_;
    }
    std::this_thread::sleep_for(faults.delay_);
    response.status = 503;
    if (faults.drop_)
        Server::currentConnection().dropped_ = true;
    return faults.drop_ || faults.refuse_;
}

std::string RowStore::encode(const std::vector<std::pair<Key, Row>>& rows) const
{
    json document { { "rows", json::array() }, { "ver", version_ }, { "has_more", false } };
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - startedAt_);
    document["now"] = std::to_string(now.count() + 1) + "ms";
    for (const auto& [key, row] : rows) {
        json entry { { "table", key.first }, { "part", "" }, { "key", key.second }, { "ver", row.version_ } };
        if (row.removed_)
            entry["tombstone"] = true;
        else
            entry["value"] = toBase64(row.value_);
        document["rows"].push_back(entry);
    }
    return document.dump();
}

void RowStore::onTransaction(const httplib::Request& request, httplib::Response& response)
{
    if (injectFault(response))
        return;
    const json document = json::parse(request.body, nullptr, false);
    std::lock_guard lock(mutex_);
    response.status = 412;
    for (const json& expected : document.at("expected")) {
        const auto row = rows_.find({ expected.at("table"), expected.at("key") });
        const uint64_t version = row == rows_.end() || row->second.removed_ ? 0 : row->second.version_;
        if (version != expected.at("ver").get<uint64_t>())
            return response.set_content(encode({}), "application/json");
    }
    ++version_;
    for (const json& entry : document.at("writes"))
        write({ entry.at("table"), entry.at("key") }, fromBase64(entry.at("value")).value(), false);
    for (const json& entry : document.at("remove"))
        write({ entry.at("table"), entry.at("key") }, "", true);
    rowsChanged_.notify_all();
    if (faults_.loseResponses_)
        Server::currentConnection().dropped_ = true;
    response.status = 200;
    response.set_content(encode({}), "application/json");
}

void RowStore::onTableRead(const httplib::Request& request, httplib::Response& response)
{
    if (injectFault(response))
        return;
    std::lock_guard lock(mutex_);
    std::vector<std::pair<Key, Row>> matches;
    for (const auto& [key, row] : rows_) {
        if (key.first == request.get_param_value("table") && !row.removed_)
            matches.emplace_back(key, row);
    }
    response.status = 200;
    response.set_content(encode(matches), "application/json");
}

void RowStore::onFeedRead(const httplib::Request& request, httplib::Response& response)
{
    if (injectFault(response))
        return;
    const std::string table = request.get_param_value("table");
    const uint64_t after = detail::numberParameter(request, "after");
    const TimePoint end
        = monotonicNow() + std::chrono::milliseconds(detail::numberParameter(request, "wait_ms"));
    std::unique_lock lock(mutex_);
    const uint64_t era = era_;
    std::vector<std::pair<Key, Row>> matches;
    const auto ready = [&] {
        matches.clear();
        for (const auto& [key, row] : rows_) {
            if (key.first == table && row.version_ > after)
                matches.emplace_back(key, row);
        }
        return stopping_ || faults_.drop_ || faults_.refuse_ || after < oldestFeedVersion_ || after > version_
            || era != era_ || !matches.empty();
    };
    rowsChanged_.wait_until(lock, end, ready);
    response.status = faults_.refuse_ ? 503 : after < oldestFeedVersion_ || after > version_ ? 410 : 200;
    if (faults_.drop_ || era != era_)
        Server::currentConnection().dropped_ = true;
    if (response.status == 200)
        response.set_content(encode(matches), "application/json");
}

} // namespace turmericwing::standin
