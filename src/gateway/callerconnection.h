// A connection of a caller, and the state of the listener that owns it.
#pragma once

#include "requestreader.h"

#include "turmericwing/gateway/listener.h"
#include "turmericwing/gateway/pipeline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
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
    void forget(detail::Connection*);
    void acceptQueued();
    void close();
};

namespace detail {

    /// What a request on a connection has got as its response so far.
    struct Reply {
        bool isHeadMethod_ = false; ///< The response has no body.
        std::optional<Request> request_; ///< Until it starts.
        std::optional<Response> response_; ///< Complete, or the head of a begun one.
        bool isBegun_ = false; ///< The body follows in parts.
        bool isHeadSent_ = false; ///< Of a begun response.
        bool isAbandoned_ = false; ///< A begun response that will not be complete.
        bool closes_ = false; ///< The connection closes after a begun response; set when its head is sent.
        uint64_t remainingBodyBytes_ = 0; ///< Of a begun response, those that sendPart() has not been given.
        std::optional<Body> part_; ///< Not sent yet.
        std::function<void()> onSent_; ///< Of that part.
        std::function<void()> callerGoneHandler_;
    };

    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(std::shared_ptr<Listener::State>, boost::asio::ip::tcp::socket);
        ~Connection();
        Connection(const Connection&) = delete;
        Connection& operator=(const Connection&) = delete;

        void start();

        // The parts of Exchange, for the request of that number.
        void respond(uint64_t number, Response);
        bool beginResponse(uint64_t number, Response head, uint64_t bodyBytes);
        void sendPart(uint64_t number, Body part, std::function<void()> onSent);
        void abandonResponse(uint64_t number);
        void onCallerGone(uint64_t number, std::function<void()> handler);
        bool isCallerGone();
        /// The handler has dropped a request; without its answer, those behind it cannot be sent.
        void onDropped(uint64_t number);

        /// Whether the connection has no request, not even one that has not been read yet.
        bool isIdle() const;
        /// Since when the connection has no request, or its unfinished request makes no progress. Empty while
        /// a complete request is not answered yet.
        std::optional<TimePoint> quietSince() const;
        size_t windowBytes() const { return windowBytes_; }
        /// Closes without a notice to the handlers of requests.
        void close();

    private:
        enum class Phase {
            Open,
            Lingering, ///< Shut down for sending; waits for the caller to close.
            Closed,
        };

        void waitReadable();
        void widenWindow();
        void narrowWindow();
        void countWindow(size_t bytes);
        void onReadable(boost::system::error_code);
        size_t readSize() const;
        void readOrPause();
        bool mayParse() const;
        bool isPaused() const;
        void readOn(std::string_view bytes);
        void onReadState(RequestReader::State before, const CallerLimits&);
        void awaitRoom(RequestReader::State before);
        void beginIdle();
        void sendContinue();
        void addRequest();
        void startNext();
        void reject(unsigned status);
        Reply* findReply(uint64_t number);
        void sendNext();
        void sendResponse(Reply&);
        void sendBegun(Reply&);
        void write();
        void endUnread();
        void freeOutgoing();
        void onWritten(boost::system::error_code);
        void onPartWritten(Reply&);
        void finishReply(bool close);
        void linger();
        void startTimer(Duration);
        void onTimer();
        void onDisconnect();

        std::shared_ptr<Listener::State> owner_;
        boost::asio::ip::tcp::socket socket_;
        boost::asio::steady_timer timer_; ///< Of reading, or of lingering.
        Phase phase_ = Phase::Open;
        bool waitPending_ = false; ///< A wait for readability is pending.
        bool writing_ = false; ///< A write for the first reply is pending.
        TimePoint idleSince_ {};
        TimePoint roomUntil_ {}; ///< When a request that waits for room is refused.
        size_t windowBytes_; ///< Counts for the received bytes that the system holds.
        bool hasWideWindow_ = false;
        RequestReader reader_;
        uint64_t lastNumber_ = 0;
        Pipeline pipeline_;
        std::map<uint64_t, Reply> replies_; ///< Of the requests of the pipeline, by their number.
        std::string outgoingHead_;
        Body outgoingBody_;
        std::shared_ptr<const void> outgoingHold_; ///< See Response::hold_.
        bool closeAfterWrite_ = false; ///< Of a complete response that is being sent.
    };

} // namespace detail

} // namespace turmericwing::gateway
