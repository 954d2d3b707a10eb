// Parses requests with the parser of Boost.Beast and claims room before their bytes are kept.
#include "requestreader.h"

#include <algorithm>

namespace turmericwing::gateway {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace detail {

    constexpr uint64_t requestCost = 2048; ///< Of a request and its connection, besides their bytes.
    /// Of a parsed field besides its bytes, in the parser and in the request.
    constexpr uint64_t fieldCost = 160;
    /// Most bytes that the parser may leave, such as a chunk extension. Heads have a limit of their own.
    constexpr size_t maxUnparsedBytes = 65536;
    constexpr size_t maxKeptCapacity = 4096; ///< Of an empty buffer.

    /// Returns bytes to the budget when it is destroyed.
    struct HeldBytes {
        HeldBytes(std::shared_ptr<RequestMemory> memory, uint64_t bytes)
            : memory_(std::move(memory))
            , bytes_(bytes)
        {
            changeHeld(memory_->budget_, 0, bytes_);
        }
        ~HeldBytes() { changeHeld(memory_->budget_, bytes_, 0); }
        HeldBytes(const HeldBytes&) = delete;
        HeldBytes& operator=(const HeldBytes&) = delete;

        const std::shared_ptr<RequestMemory> memory_;
        const uint64_t bytes_;
    };

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
        releaseRequest(memory_->budget_, number_);
        memory_->onEnded_.erase(number_);
    }

    RequestReader::State RequestReader::read(
        std::string_view bytes, const CallerLimits& limits, TimePoint now)
    {
        if (unparsed_.empty()) {
            const size_t consumed = parse(bytes, limits, now);
            unparsed_.assign(bytes.substr(consumed));
        } else {
            unparsed_.append(bytes);
            const size_t consumed = parse(unparsed_, limits, now);
            unparsed_.erase(0, consumed);
        }
        releaseUnused();
        const bool isReading = state_ == State::Head || state_ == State::Body;
        if (isReading && unparsed_.size() > maxUnparsedBytes)
            fail(400);
        else if (isReading)
            claim(now);
        return state_;
    }

    void RequestReader::keep(std::string_view bytes)
    {
        unparsed_.append(bytes);
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
        headCost_ = 0;
        continueDue_ = false;
        bodyClaim_ = 0;
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

    size_t RequestReader::parseHead(std::string_view bytes, TimePoint now)
    {
        error_code error;
        const size_t consumed = parser_->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        if (checkParsed(error) && parser_->is_header_done())
            onHead(consumed, now);
        return consumed;
    }

    void RequestReader::onHead(size_t headBytes, TimePoint now)
    {
        receivedBytes_ = headBytes;
        headCost_ = 2 * headBytes + fieldCost * countFields(parser_->get());
        continueDue_ = !parser_->is_done() && parser_->get()[http::field::expect] == "100-continue";
        afterHead(now);
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
                && !claimBody(Body::memoryBytes(parser_->get().body().size() + rest.size()), now))
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
        const Claim result = claimRoom(memory_->budget_, number_, bytes, now);
        for (const uint64_t ended : result.ended_) {
            const auto handler = memory_->onEnded_.find(ended);
            if (handler != memory_->onEnded_.end())
                handler->second();
        }
        if (result.room_ == Room::Waits) {
            resumeState_ = state_;
            state_ = State::Waiting;
        } else if (result.room_ == Room::Refused)
            fail(503);
        return result.room_ == Room::Granted;
    }

    Request RequestReader::take()
    {
        auto message = parser_->release();
        parser_.reset();
        state_ = State::Idle;
        keepAlive_ = message.keep_alive();
        const uint64_t bytes = releaseRequest(memory_->budget_, number_);
        // What came with a request that had waited has waited as long.
        if (!unparsed_.empty() && isFromKept_)
            keptSince_ = receivedAt_;
        if (!unparsed_.empty())
            keep({});
        const auto method = message.method_string();
        const auto target = message.target();
        return { { method.data(), method.size() }, { target.data(), target.size() }, copyHeaders(message),
            std::move(message.body()), receivedAt_, holdBytes(memory_, bytes) };
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
        countKept(0);
        parser_.reset();
        unparsed_ = {};
        state_ = State::Idle;
    }

    bool RequestReader::takeContinue() { return state_ == State::Body && std::exchange(continueDue_, false); }

    void RequestReader::releaseUnused()
    {
        if (unparsed_.empty() && unparsed_.capacity() > maxKeptCapacity)
            unparsed_ = {};
    }

} // namespace detail

std::shared_ptr<const void> holdBytes(const std::shared_ptr<RequestMemory>& memory, uint64_t bytes)
{
    return std::make_shared<detail::HeldBytes>(memory, bytes);
}

} // namespace turmericwing::gateway
