// Reads the requests of one connection from its bytes, within the memory that the requests of a host share.
#pragma once

#include "requestparser.h"

#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/http.h"
#include "turmericwing/gateway/requestmemory.h"

#include <optional>
#include <string>
#include <string_view>

namespace turmericwing::gateway::detail {

class RequestReader {
public:
    enum class State {
        Idle, ///< Has no byte of a request.
        Head,
        Body,
        Waiting, ///< For room; read() parses nothing until then.
        Complete, ///< Until take().
        Failed, ///< See status().
    };

    /// `onEnded` is called when the unfinished request ends in favour of others, with status 503.
    RequestReader(std::shared_ptr<RequestMemory>, std::function<void()> onEnded);
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    /// Takes bytes of the connection and parses them up to the end of the current request. Without bytes,
    /// asks for room again.
    State read(std::string_view bytes, const CallerLimits&, TimePoint now);

    /// Keeps bytes behind a request for later; they count as held.
    void keep(std::string_view bytes);

    /// Returns the complete request, which holds its memory until it is destroyed, and is idle again.
    Request take();

    /// Drops everything that was read.
    void clear();

    State state() const { return state_; }
    uint64_t number() const { return number_; } ///< Names the connection in the memory of the host.
    unsigned status() const { return status_; } ///< Of the response to a request that has failed.
    size_t keptBytes() const { return unparsed_.size(); }
    uint64_t bodyClaim() const { return bodyClaim_; } ///< Memory for the body of the request, bytes.
    bool keepAlive() const { return keepAlive_; } ///< Whether the last request allows others after it.
    /// When the current request made its last progress; see RequestBudgetOptions::progressBytes_.
    TimePoint progressAt() const;
    /// Whether the caller waits for an interim response before it sends the body; true once for a request.
    bool takeContinue();

private:
    void append(std::string_view bytes);
    size_t parse(std::string_view bytes, const CallerLimits&, TimePoint now);
    void begin(const CallerLimits&, TimePoint now);
    size_t parseHead(std::string_view bytes, TimePoint now);
    size_t parseRequestLine(std::string_view bytes);
    size_t parseFields(std::string_view bytes, TimePoint now);
    size_t feed(std::string_view bytes);
    void afterHead(TimePoint now);
    void resume(TimePoint now);
    void beginBody(TimePoint now);
    size_t parseBody(std::string_view bytes, TimePoint now);
    bool claimBody(uint64_t bytes, TimePoint now);
    bool claim(TimePoint now);
    void countBody(uint64_t bytes);
    bool checkParsed(const boost::system::error_code&);
    void fail(unsigned status);
    void releaseUnused();
    void countKept(uint64_t bytes);

    const std::shared_ptr<RequestMemory> memory_;
    const uint64_t number_;
    State state_ = State::Idle;
    std::optional<TimePoint> keptSince_; ///< Arrival of the first of the bytes behind a request.
    bool isFromKept_ = false; ///< The current request was read from such bytes.
    State resumeState_ = State::Idle; ///< To which a request returns that waits for room.
    unsigned status_ = 0;
    bool keepAlive_ = true;
    bool continueDue_ = false;
    uint32_t headLimit_ = 0; ///< Bytes.
    uint64_t requestLineBytes_ = 0; ///< 0 until the request line has been parsed.
    size_t searchedBytes_ = 0; ///< Unparsed bytes that do not have the end of the head.
    uint64_t headCost_ = 0; ///< Memory of the parsed head, bytes.
    uint64_t bodyClaim_ = 0; ///< Memory claimed for the body, bytes.
    uint64_t countedBody_ = 0; ///< Part of RequestMemory::bodyBytes_ that is of this request.
    uint64_t receivedBytes_ = 0; ///< Of the current request.
    TimePoint receivedAt_ {};
    std::string unparsed_; ///< Bytes read and not yet parsed.
    uint64_t keptCost_ = 0; ///< Memory held for bytes behind a request.
    std::optional<RequestParser> parser_;
};

} // namespace turmericwing::gateway::detail
