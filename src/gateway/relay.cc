// Reads the store through another host of the region.
#include "turmericwing/gateway/relay.h"

#include "turmericwing/base/cbor.h"
#include "turmericwing/base/hash.h"
#include "turmericwing/gateway/httpchannel.h"
#include "turmericwing/host/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericwing::gateway {

using nlohmann::json;

namespace detail {

    constexpr size_t maxAnswerDepth = 4; ///< Levels of nested arrays; an encoded table has 3.
    constexpr std::string_view followPath = "/follow/";
    constexpr std::string_view readPath = "/read/";
    /// Added to followerWait_ for the timeout of a follow call, as a relay answers only when its wait has
    /// ended.
    constexpr Duration relayResponseMargin = std::chrono::milliseconds(800);
    /// Longest transfer of a relay's answer. A relay that sends to many followers at once may need longer
    /// than the store, which the follower then reads.
    constexpr Duration relayTransferTimeout = std::chrono::seconds(1);

    constexpr unsigned busyStatus = 429; ///< The relay has too much to send now.
    constexpr uint64_t rowOverhead = 32; ///< Bytes of an encoded row beside its texts, at most.

    Response relayResponse(const Result<TableRead>& read)
    {
        if (read)
            return { .status_ = 200,
                .headers_ = { { "Content-Type", "application/cbor" } },
                .body_ = encodeTableRead(read.value()) };
        return { .status_ = read.error().code_ == ErrorCode::NotFound ? 410U : 503U };
    }

    /// Parsed target, "/follow/TABLE/ERA/VERSION" or "/read/TABLE".
    struct RelayCall {
        bool follow_ = false;
        std::string table_;
        StorePosition position_;
    };

    /// Removes the last segment of a path and returns it as a number.
    std::optional<uint64_t> takeNumber(std::string_view& path)
    {
        const size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return std::nullopt;
        const auto number = parseUnsigned(path.substr(slash + 1));
        path = path.substr(0, slash);
        return number;
    }

    std::string followTarget(const std::string& table, const StorePosition& position)
    {
        return std::string(followPath) + table + "/" + std::to_string(position.era_) + "/"
            + std::to_string(position.version_);
    }

    std::optional<RelayCall> parseCall(std::string_view target)
    {
        if (target.starts_with(readPath))
            return RelayCall { false, std::string(target.substr(readPath.size())), {} };
        if (!target.starts_with(followPath))
            return std::nullopt;
        target.remove_prefix(followPath.size());
        const auto version = takeNumber(target);
        const auto era = version ? takeNumber(target) : std::nullopt;
        if (!era)
            return std::nullopt;
        return RelayCall { true, std::string(target), { *era, *version } };
    }

    Result<TableRead> parseRelayResponse(const Result<HttpAnswer>& answer)
    {
        if (!answer)
            return answer.error();
        if (answer.value().status_ == 200)
            return decodeTableRead(answer.value().body_);
        if (answer.value().status_ == 410)
            return makeError(
                ErrorCode::NotFound, "the relay's history does not include the requested version");
        return makeError(ErrorCode::Unavailable,
            "the relay refused with status " + std::to_string(answer.value().status_));
    }

    bool isBusy(const Result<HttpAnswer>& answer) { return answer && answer.value().status_ == busyStatus; }

    /// A follower's connections to its relay, shared by the handlers of its calls.
    struct RelayClient {
        boost::asio::io_context& loop_;
        TableStore direct_;
        RelayOptions options_;
        std::function<RelayChoice()> choice_;
        std::map<std::string, std::unique_ptr<HttpChannel>> channels_; ///< Channels to `address_`, by table.
        Address address_;
        TimePoint avoidedUntil_ {};
        uint64_t era_ = 0; ///< Of the last answer that was accepted, from the store or a relay.

        /// Returns the channel for a table to the current relay, or nullptr when the store is to be read
        /// directly. Closes the channels to a previous relay.
        HttpChannel* channel(const std::string& table)
        {
            const auto relay = choice_().relay_;
            if (!relay || monotonicNow() < avoidedUntil_)
                return nullptr;
            if (*relay != address_) {
                channels_.clear();
                address_ = *relay;
            }
            auto& channel = channels_[table];
            if (!channel)
                channel = std::make_unique<HttpChannel>(loop_, address_);
            return channel.get();
        }

        /// Returns an error instead of an answer of an earlier era than the last one accepted.
        Result<TableRead> checkEra(Result<TableRead> answer)
        {
            if (!answer)
                return answer;
            if (answer.value().era_ < era_)
                return makeError(ErrorCode::Unavailable, "the relay is in an earlier era of the store");
            era_ = answer.value().era_;
            return answer;
        }

        /// Wraps a handler of direct calls, which decide about the era.
        TableStore::Handler<TableRead> recordEra(TableStore::Handler<TableRead> handler)
        {
            return [this, handler = std::move(handler)](Result<TableRead> answer) {
                if (answer)
                    era_ = answer.value().era_;
                handler(std::move(answer));
            };
        }

        /// A busy relay is called again at once: only this answer was too large for its link.
        void onFailure(const Error& error, bool isBusy)
        {
            if (!isBusy)
                avoidedUntil_ = monotonicNow() + options_.avoidDuration_;
            host::logEvent(host::LogLevel::Info, "relay-failed",
                { { "relay", addressText(address_) }, { "reason", error.message_ } });
        }
    };

} // namespace detail

std::vector<std::string> regionRelays(const RelayOptions& options, const Fleet& fleet, TimePoint now,
    const std::string& ownRegion, bool ownHostEligible)
{
    if (fleet.peers_.size() + 1 < options.minHosts_)
        return {};
    std::vector<std::string> names;
    if (ownHostEligible)
        names.push_back(fleet.self_);
    for (const HostReport* report : activeReports(fleet, now)) {
        if (report->region_ == ownRegion && report->reachesStore_)
            names.push_back(report->name_);
    }
    std::sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
        return rendezvousWeight(ownRegion, a) > rendezvousWeight(ownRegion, b);
    });
    if (names.size() > options.relaysPerRegion_)
        names.resize(options.relaysPerRegion_);
    return names;
}

RelayChoice chooseRelay(const RelayOptions& options, const Fleet& fleet, TimePoint now,
    const std::string& ownRegion, bool ownHostEligible)
{
    const auto relays = regionRelays(options, fleet, now, ownRegion, ownHostEligible);
    if (relays.empty())
        return {};
    if (std::find(relays.begin(), relays.end(), fleet.self_) != relays.end())
        return { .isRelay_ = true };
    const std::string& name = relays[hash64(fleet.self_) % relays.size()];
    return { .relay_ = fleet.peers_.at(name).peerAddress_ };
}

void replaceCopy(TableCopy& copy, const TableRead& read)
{
    std::map<std::string, StoredRow> rows;
    for (const StoredRow& row : read.rows_)
        rows.emplace(row.key_, row);
    copy = { std::move(rows), read.version_, read.version_, read.storeMs_, read.era_ };
}

void applyChanges(TableCopy& copy, const TableRead& read)
{
    for (const StoredRow& row : read.rows_)
        copy.rows_[row.key_] = row;
    copy.version_ = std::max(copy.version_, read.version_);
    copy.storeMs_ = read.storeMs_;
}

Result<TableRead> changesSince(const TableCopy& copy, const StorePosition& position)
{
    if (copy.version_ != 0 && copy.era_ < position.era_)
        return makeError(ErrorCode::Unavailable, "the copy is of an earlier era of the store");
    const uint64_t version = position.version_;
    if (copy.era_ != position.era_ || version < copy.historyFrom_ || copy.version_ == 0)
        return makeError(ErrorCode::NotFound, "the copy's history does not include the requested version");
    TableRead read { {}, std::max(version, copy.version_), copy.storeMs_, copy.era_ };
    for (const auto& [key, row] : copy.rows_) {
        if (row.version_ > version)
            read.rows_.push_back(row);
    }
    std::sort(read.rows_.begin(), read.rows_.end(),
        [](const StoredRow& a, const StoredRow& b) { return a.version_ < b.version_; });
    return read;
}

TableRead tableSnapshot(const TableCopy& copy)
{
    TableRead read { {}, copy.version_, copy.storeMs_, copy.era_ };
    for (const auto& [key, row] : copy.rows_) {
        if (!row.removed_)
            read.rows_.push_back(row);
    }
    return read;
}

std::string encodeTableRead(const TableRead& read)
{
    json rows = json::array();
    for (const StoredRow& row : read.rows_) {
        rows.push_back(json::array(
            { row.table_, row.key_, json::binary(std::vector<uint8_t>(row.value_.begin(), row.value_.end())),
                row.version_, row.removed_ }));
    }
    std::string bytes;
    json::to_cbor(json::array({ read.version_, read.storeMs_, rows, read.era_ }), bytes);
    return bytes;
}

uint64_t encodedSize(const TableRead& read)
{
    uint64_t bytes = 0;
    for (const StoredRow& row : read.rows_)
        bytes += detail::rowOverhead + row.table_.size() + row.key_.size() + row.value_.size();
    return bytes;
}

Result<TableRead> decodeTableRead(const std::string& bytes)
{
    // The decoder recurses for each level.
    if (const auto fault = checkCborStructure(bytes, detail::maxAnswerDepth))
        return makeError(
            ErrorCode::Invalid, std::string("malformed answer from a relay: ") + toString(*fault));
    try {
        const json value = json::from_cbor(bytes);
        TableRead read { {}, value.at(0), value.at(1), value.at(3) };
        for (const json& row : value.at(2)) {
            const auto& content = row.at(2).get_binary();
            read.rows_.push_back(
                { row.at(0), row.at(1), std::string(content.begin(), content.end()), row.at(3), row.at(4) });
        }
        return read;
    } catch (const json::exception& parseError) {
        return makeError(
            ErrorCode::Invalid, std::string("malformed answer from a relay: ") + parseError.what());
    }
}

RelayServer::RelayServer(RelayOptions options, std::function<bool()> isFresh)
    : options_(options)
    , isFresh_(std::move(isFresh))
{
}

void RelayServer::onReplaced(const std::string& table, const TableRead& read)
{
    replaceCopy(copies_[table], read);
    answerPending(table);
}

void RelayServer::onChanged(const std::string& table, const TableRead& read)
{
    applyChanges(copies_[table], read);
    if (!read.rows_.empty())
        answerPending(table);
}

void RelayServer::answerPending(const std::string& table)
{
    std::vector<PendingCall> remaining;
    for (PendingCall& pending : std::exchange(pendingCalls_, {})) {
        if (pending.table_ == table)
            respond(*pending.exchange_, changesSince(copies_[table], pending.position_));
        else
            remaining.push_back(std::move(pending));
    }
    pendingCalls_ = std::move(remaining);
}

/// Responds with the rows, or with a refusal if they are more than the host's link carries now.
void RelayServer::respond(Exchange& exchange, const Result<TableRead>& read)
{
    const uint64_t bytes = read ? encodedSize(read.value()) : 0;
    if (bytes > 0 && *outgoingBytes_ + bytes > options_.maxOutgoingBytes_)
        return exchange.respond({ .status_ = detail::busyStatus });
    Response response = detail::relayResponse(read);
    *outgoingBytes_ += bytes;
    response.hold_ = std::shared_ptr<const void>(
        nullptr, [outgoing = outgoingBytes_, bytes](const void*) { *outgoing -= bytes; });
    exchange.respond(std::move(response));
}

void RelayServer::handle(const Request& request, const std::shared_ptr<Exchange>& exchange)
{
    const auto call = detail::parseCall(request.target_);
    if (!call)
        return exchange->respond({ .status_ = 404 });
    const auto copy = copies_.find(call->table_);
    if (!isFresh_() || copy == copies_.end())
        return exchange->respond({ .status_ = 503 });
    if (!call->follow_)
        return respond(*exchange, tableSnapshot(copy->second));
    const auto changes = changesSince(copy->second, call->position_);
    if (!changes || !changes.value().rows_.empty())
        return respond(*exchange, changes);
    pendingCalls_.push_back(
        { call->table_, call->position_, monotonicNow() + options_.followerWait_, exchange });
}

void RelayServer::expirePending(TimePoint now)
{
    const bool fresh = isFresh_();
    std::vector<PendingCall> remaining;
    for (PendingCall& pending : std::exchange(pendingCalls_, {})) {
        if (!fresh)
            pending.exchange_->respond({ .status_ = 503 });
        else if (now >= pending.deadline_)
            respond(*pending.exchange_, changesSince(copies_[pending.table_], pending.position_));
        else
            remaining.push_back(std::move(pending));
    }
    pendingCalls_ = std::move(remaining);
}

TableStore makeRelayedStore(boost::asio::io_context& loop, const TableStore& direct, RelayOptions options,
    std::function<RelayChoice()> choice)
{
    const auto client = std::make_shared<detail::RelayClient>(
        detail::RelayClient { loop, direct, options, std::move(choice), {}, {}, {} });
    TableStore store = direct;
    store.read_ = [client](const std::string& table, TableStore::Handler<TableRead> handler) {
        HttpChannel* channel = client->channel(table);
        if (!channel)
            return client->direct_.read_(table, client->recordEra(std::move(handler)));
        channel->call({ .target_ = std::string(detail::readPath) + table,
                          .transferTimeout_ = detail::relayTransferTimeout },
            [client, table, handler = std::move(handler)](const Result<HttpAnswer>& answer) {
                auto read = client->checkEra(detail::parseRelayResponse(answer));
                if (read)
                    return handler(std::move(read));
                client->onFailure(read.error(), detail::isBusy(answer));
                client->direct_.read_(table, client->recordEra(handler));
            });
    };
    store.follow_ = [client](const std::string& table, const StorePosition& position, Duration wait,
                        TableStore::Handler<TableRead> handler) {
        HttpChannel* channel = client->channel(table);
        if (!channel) {
            const bool isRelay = client->choice_().isRelay_;
            return client->direct_.follow_(table, position,
                isRelay ? std::min(wait, client->options_.relayWait_) : wait,
                client->recordEra(std::move(handler)));
        }
        channel->call({ .target_ = detail::followTarget(table, position),
                          .timeout_ = client->options_.followerWait_ + detail::relayResponseMargin,
                          .transferTimeout_ = detail::relayTransferTimeout },
            [client, table, position, wait, handler = std::move(handler)](const Result<HttpAnswer>& answer) {
                auto read = client->checkEra(detail::parseRelayResponse(answer));
                const bool versionTooOld = !read && read.error().code_ == ErrorCode::NotFound;
                if (read || versionTooOld)
                    return handler(std::move(read));
                client->onFailure(read.error(), detail::isBusy(answer));
                client->direct_.follow_(table, position, wait, client->recordEra(handler));
            });
    };
    store.reset_ = [client] {
        // Handlers issue new calls immediately, possibly to another relay, and so change channels_.
        const auto channels = std::exchange(client->channels_, {});
        for (const auto& [table, channel] : channels)
            channel->reset();
    };
    return store;
}

} // namespace turmericwing::gateway
