// Parses requests with the parser of Boost.Beast and claims room before their bytes are kept.
#include "requestreader.h"

#include "parsing.h"

#include <algorithm>
#include <array>

namespace turmericwing::gateway {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace detail {

    constexpr uint64_t requestCost = 2048; ///< Of a request and its connection, besides their bytes.
    /// Of a parsed field besides its bytes, in the request and in the head of an attempt.
    constexpr uint64_t fieldCost = 160;
    constexpr size_t maxKeptCapacity = 4096; ///< Of an empty buffer.
    constexpr std::array<size_t, 3> usualCapacities { 1024, 4096, 16384 }; ///< Of a buffer that grows.

    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";

    RequestReader::RequestReader(std::shared_ptr<RequestMemory> memory, std::function<void()> onEnded)
        : memory_(std::move(memory))
        , number_(++memory_->lastNumber_)
    {
        memory_->onEnded_.emplace(number_, [this, onEnded = std::move(onEnded)] {
            fail(503);
            onEnded();
        });
    }

    RequestReader::~RequestReader()
    {
        countKept(0);
        countBody(0);
        releaseRequest(memory_->budget_, number_);
        memory_->onEnded_.erase(number_);
    }

    RequestReader::State RequestReader::read(
        std::string_view bytes, const CallerLimits& limits, TimePoint now)
    {
        if (unparsed_.empty()) {
            const size_t consumed = parse(bytes, limits, now);
            if (state_ != State::Failed)
                append(bytes.substr(consumed));
        } else {
            append(bytes);
            const size_t consumed = parse(unparsed_, limits, now);
            unparsed_.erase(0, consumed);
        }
        releaseUnused();
        const bool isReading = state_ == State::Head || state_ == State::Body;
        // A chunk's size with its extension, or a trailer. The head has been checked.
        if (isReading && unparsed_.size() > headLimit_)
            fail(400);
        else if (isReading)
            claim(now);
        return state_;
    }

    /// Appends unparsed bytes. Buffers of a few sizes fit the room of those that were freed.
    void RequestReader::append(std::string_view bytes)
    {
        const size_t needed = unparsed_.size() + bytes.size();
        if (needed > unparsed_.capacity()) {
            const auto usual = std::find_if(usualCapacities.begin(), usualCapacities.end(),
                [&](size_t capacity) { return capacity >= needed; });
            unparsed_.reserve(usual == usualCapacities.end() ? needed : *usual);
        }
        unparsed_.append(bytes);
    }

    void RequestReader::keep(std::string_view bytes)
    {
        append(bytes);
        if (!keptSince_)
            keptSince_ = monotonicNow();
        countKept(unparsed_.capacity());
    }

    void RequestReader::countKept(uint64_t bytes)
    {
        changeHeld(memory_->budget_, keptCost_, bytes);
        keptCost_ = bytes;
    }

    TimePoint RequestReader::progressAt() const
    {
        const auto known = memory_->budget_.unfinished_.find(number_);
        return known == memory_->budget_.unfinished_.end() ? receivedAt_ : known->second.progressAt_;
    }

    /// Parses bytes and returns how many need not be kept.
    size_t RequestReader::parse(std::string_view bytes, const CallerLimits& limits, TimePoint now)
    {
        size_t consumed = 0;
        if (state_ == State::Idle && !bytes.empty())
            begin(limits, now);
        if (state_ == State::Waiting)
            resume(now);
        if (state_ == State::Head)
            consumed += parseHead(bytes, now);
        if (state_ == State::Body)
            consumed += parseBody(bytes.substr(consumed), now);
        return consumed;
    }

    void RequestReader::begin(const CallerLimits& limits, TimePoint now)
    {
        countKept(0);
        state_ = State::Head;
        isFromKept_ = keptSince_.has_value();
        receivedAt_ = keptSince_.value_or(now);
        keptSince_.reset();
        receivedBytes_ = 0;
        headLimit_ = limits.headerBytes_;
        requestLineBytes_ = 0;
        searchedBytes_ = 0;
        headCost_ = 0;
        bodyClaim_ = 0;
        continueDue_ = false;
        parser_.emplace();
        parser_->header_limit(limits.headerBytes_);
        parser_->body_limit(limits.bodyBytes_);
        parser_->eager(false); // Stops after the head: its body needs room.
    }

    bool RequestReader::checkParsed(const error_code& error)
    {
        if (!error || error == http::error::need_more)
            return true;
        fail(error == http::error::header_limit ? 431 : error == http::error::body_limit ? 413 : 400);
        return false;
    }

    size_t RequestReader::feed(std::string_view bytes)
    {
        error_code error;
        const size_t consumed = parser_->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        checkParsed(error);
        return consumed;
    }

    /// Parses the fields only when all of them are there and have room: once parsed, an empty field takes
    /// many times its bytes.
    size_t RequestReader::parseHead(std::string_view bytes, TimePoint now)
    {
        size_t consumed = 0;
        if (requestLineBytes_ == 0)
            consumed = parseRequestLine(bytes);
        if (state_ == State::Head && requestLineBytes_ > 0)
            consumed += parseFields(bytes.substr(consumed), now);
        return consumed;
    }

    size_t RequestReader::parseRequestLine(std::string_view bytes)
    {
        const size_t end = bytes.find(lineEnd);
        if (std::min(end, bytes.size()) > headLimit_) {
            fail(431);
            return 0;
        }
        if (end != std::string_view::npos)
            return requestLineBytes_ = feed(bytes.substr(0, end + lineEnd.size()));
        // Bytes that cannot begin a request fail at once. Once it lacks bytes, a parser waits for a whole
        // head.
        error_code error;
        RequestParser().put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        checkParsed(error);
        return 0;
    }

    size_t RequestReader::parseFields(std::string_view bytes, TimePoint now)
    {
        const size_t from = searchedBytes_ - std::min(searchedBytes_, headEnd.size() - 1);
        const size_t end = bytes.find(headEnd, from);
        const bool hasFields = !bytes.starts_with(lineEnd);
        const size_t fieldBytes = !hasFields ? lineEnd.size()
            : end == std::string_view::npos  ? bytes.size()
                                             : end + headEnd.size();
        if (requestLineBytes_ + fieldBytes > headLimit_) {
            fail(431);
            return 0;
        }
        if (hasFields && end == std::string_view::npos) {
            searchedBytes_ = bytes.size();
            return 0;
        }
        const std::string_view fields = bytes.substr(0, fieldBytes);
        const auto count = static_cast<size_t>(std::count(fields.begin(), fields.end(), '\n'));
        headCost_ = 2 * (requestLineBytes_ + fieldBytes) + fieldCost * count;
        if (!claim(now))
            return 0;
        parser_->request().headers_.reserve(count);
        const size_t consumed = feed(fields);
        if (state_ != State::Head)
            return consumed;
        receivedBytes_ = requestLineBytes_ + consumed;
        continueDue_ = !parser_->is_done()
            && equalNames(headerValue(parser_->request().headers_, "Expect"), "100-continue");
        afterHead(now);
        return consumed;
    }

    /// Goes on after a complete head.
    void RequestReader::afterHead(TimePoint now)
    {
        if (!parser_->is_done())
            return beginBody(now);
        if (claim(now))
            state_ = State::Complete;
    }

    /// Goes on with what waits for room. A body that has begun, or an unfinished head, asks for it again with
    /// its next bytes.
    void RequestReader::resume(TimePoint now)
    {
        state_ = resumeState_;
        if (state_ == State::Head && parser_->is_header_done())
            afterHead(now);
    }

    /// Claims the room of a body of known length before any of it is read.
    void RequestReader::beginBody(TimePoint now)
    {
        const uint64_t length = parser_->content_length().value_or(0);
        if (!claimBody(Body::memoryBytes(length), now))
            return;
        state_ = State::Body;
        parser_->eager(true);
    }

    size_t RequestReader::parseBody(std::string_view bytes, TimePoint now)
    {
        size_t consumed = 0;
        error_code error;
        while (consumed < bytes.size() && !parser_->is_done() && !error) {
            const std::string_view rest = bytes.substr(consumed);
            // A body of unknown length grows by no more than that.
            if (!parser_->content_length()
                && !claimBody(Body::memoryBytes(parser_->request().body_.size() + rest.size()), now))
                return consumed;
            consumed += parser_->put(boost::asio::buffer(rest.data(), rest.size()), error);
            if (!checkParsed(error))
                return consumed;
        }
        receivedBytes_ += consumed;
        recordReceived(memory_->budget_, number_, receivedBytes_, now);
        if (parser_->is_done())
            state_ = State::Complete;
        return consumed;
    }

    /// Claims memory for the body, if it has less.
    bool RequestReader::claimBody(uint64_t bytes, TimePoint now)
    {
        if (bytes <= bodyClaim_)
            return true;
        const uint64_t before = std::exchange(bodyClaim_, bytes);
        const bool granted = claim(now);
        if (!granted)
            bodyClaim_ = before;
        return granted;
    }

    /// Claims room for the request as it is. Waits or fails if there is none.
    bool RequestReader::claim(TimePoint now)
    {
        const uint64_t bytes = requestCost + headCost_ + unparsed_.capacity() + bodyClaim_;
        const Room room = claimMemory(*memory_, number_, bytes, now);
        if (room == Room::Granted)
            countBody(bodyClaim_);
        else if (room == Room::Refused)
            fail(503);
        else {
            resumeState_ = state_;
            state_ = State::Waiting;
        }
        return room == Room::Granted;
    }

    void RequestReader::countBody(uint64_t bytes)
    {
        memory_->bodyBytes_ += bytes - countedBody_;
        countedBody_ = bytes;
    }

    Request RequestReader::take()
    {
        Request request = std::move(parser_->request());
        keepAlive_ = parser_->keep_alive();
        parser_.reset();
        state_ = State::Idle;
        request.receivedAt_ = receivedAt_;
        request.hold_ = holdBytes(memory_, releaseRequest(memory_->budget_, number_), countedBody_);
        countBody(0);
        // What came with a request that had waited has waited as long.
        if (!unparsed_.empty() && isFromKept_)
            keptSince_ = receivedAt_;
        if (!unparsed_.empty())
            keep({});
        return request;
    }

    void RequestReader::fail(unsigned status)
    {
        clear();
        state_ = State::Failed;
        status_ = status;
    }

    void RequestReader::clear()
    {
        releaseRequest(memory_->budget_, number_);
        countBody(0);
        countKept(0);
        parser_.reset();
        freeText(unparsed_);
        state_ = State::Idle;
    }

    bool RequestReader::takeContinue() { return state_ == State::Body && std::exchange(continueDue_, false); }

    void RequestReader::releaseUnused()
    {
        if (unparsed_.empty() && unparsed_.capacity() > maxKeptCapacity)
            freeText(unparsed_);
    }

} // namespace detail

} // namespace turmericwing::gateway
