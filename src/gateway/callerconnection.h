// A connection of a caller, and the state of the listener that owns it.
#pragma once

#include "requestreader.h"

#include "turmericwing/gateway/listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_set>

namespace turmericwing::gateway {

namespace detail {
    class Connection;
}

struct Listener::State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context& loop, ListenerOptions options)
        : loop_(loop)
        , options_(std::move(options))
        , acceptor_(loop)
        , retryTimer_(loop)
    {
    }

    boost::asio::io_context& loop_;
    ListenerOptions options_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_; ///< Delays the next accept after a failed one.
    bool closeAfterAnswers_ = false; ///< Responses close their connections.
    bool stopped_ = false;
    std::unordered_set<detail::Connection*> connections_; ///< Open ones.

    void accept();
    void acceptLater();
    void onAccepted(boost::system::error_code, boost::asio::ip::tcp::socket);
    bool makeRoom();
    void addConnection(boost::asio::ip::tcp::socket);
    void acceptQueued();
    void close();
};

namespace detail {

    class Connection : public Exchange, public std::enable_shared_from_this<Connection> {
    public:
        Connection(std::shared_ptr<Listener::State>, boost::asio::ip::tcp::socket);
        ~Connection() override;

        void start();

        void respond(Response) override;
        void beginResponse(Response head, uint64_t bodyBytes) override;
        void sendPart(std::string part, std::function<void()> onSent) override;
        void abandonResponse() override;
        void onCallerGone(std::function<void()> handler) override { callerGoneHandler_ = std::move(handler); }
        bool isCallerGone() override;

        /// Whether the connection has no request, not even one that has not been read yet.
        bool isIdle() const;
        /// Since when the connection has no request, or its unfinished request makes no progress. Empty while
        /// a complete request is not answered yet.
        std::optional<TimePoint> quietSince() const;
        void close();

    private:
        enum class Phase {
            Idle, ///< Waits for the first byte of a request.
            Reading, ///< A part of a request has been read.
            Handling, ///< The handler has the request.
            Streaming, ///< A response has begun whose body follows in parts.
            Writing, ///< A complete response is being sent.
            Lingering, ///< Shut down for sending; waits for the caller to close.
            Closed,
        };

        void beginRequest();
        void waitReadable();
        void onReadable(boost::system::error_code);
        bool isReading() const { return phase_ == Phase::Idle || phase_ == Phase::Reading; }
        size_t readSize() const;
        void readOn(std::string_view bytes);
        void awaitRoom();
        void sendContinue();
        void handle();
        void reject(unsigned status);
        void write(Response, bool close);
        void onPartWritten(boost::system::error_code, const std::function<void()>& onSent);
        void onWritten(boost::system::error_code, bool close);
        void linger();
        void startTimer(Duration);
        void onTimer();
        void onDisconnect();

        std::shared_ptr<Listener::State> owner_;
        boost::asio::ip::tcp::socket socket_;
        boost::asio::steady_timer timer_;
        Phase phase_ = Phase::Idle;
        bool waitPending_ = false; ///< A wait for readability is pending.
        bool isHeadMethod_ = false; ///< The response has no body.
        TimePoint idleSince_ {};
        TimePoint roomUntil_ {}; ///< When a request that waits for room is refused.
        RequestReader reader_;
        std::string outgoingHead_;
        std::string outgoingBody_;
        std::shared_ptr<const void> outgoingHold_; ///< See Response::hold_.
        uint64_t remainingBodyBytes_ = 0; ///< Of a begun response, those that sendPart() has not been given.
        bool closeAfterResponse_ = false; ///< Of a begun response.
        std::function<void()> callerGoneHandler_;
    };

} // namespace detail

} // namespace turmericwing::gateway
