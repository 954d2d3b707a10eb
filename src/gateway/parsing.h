// Helpers for the parser of Boost.Beast, shared by the listener and the upstream client.
#pragma once

#include "turmericwing/gateway/http.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::gateway::detail {

/// Parses bytes until the message is complete or there are none left, and removes the consumed bytes. An
/// eager parser loses the error of a head when a part of the body follows in the same bytes, such as that of
/// a body above its limit, so parsers become eager after the head only.
template <typename Parser>
void feedParser(Parser& parser, std::string& bytes, boost::system::error_code& error)
{
    size_t consumed = 0;
    while (consumed < bytes.size() && !parser.is_done()) {
        parser.eager(parser.is_header_done());
        consumed += parser.put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
        if (error)
            break;
    }
    bytes.erase(0, consumed);
}

/// A body type for the parsers of Boost.Beast that stores into a Body.
struct BodyStorage {
    using value_type = Body;

    class Reader {
    public:
        template <bool IsRequest, typename Fields>
        Reader(boost::beast::http::header<IsRequest, Fields>&, Body& body)
            : body_(body)
        {
        }
        /// Takes no memory for an announced length.
        static void init(const boost::optional<uint64_t>&, boost::system::error_code& error) { error = {}; }
        template <typename Buffers> size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            size_t size = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range(buffers)) {
                body_.append({ static_cast<const char*>(buffer.data()), buffer.size() });
                size += buffer.size();
            }
            return size;
        }
        static void finish(boost::system::error_code& error) { error = {}; }

    private:
        Body& body_;
    };
    using reader = Reader; // The name that Boost.Beast asks for.
};

/// Returns the buffers of a message that is written; the body may be null.
inline std::vector<boost::asio::const_buffer> messageBuffers(const std::string& head, const Body* body)
{
    std::vector<boost::asio::const_buffer> buffers { boost::asio::buffer(head) };
    if (!body)
        return buffers;
    for (const std::string_view part : body->parts())
        buffers.emplace_back(part.data(), part.size());
    return buffers;
}

/// Empties a text and frees its memory, which an assignment would keep.
inline void freeText(std::string& text) { std::string().swap(text); }

/// Returns the number of header fields.
inline size_t countFields(const boost::beast::http::fields& fields)
{
    return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
}

/// Copies header fields in their order and spelling.
inline Headers copyHeaders(const boost::beast::http::fields& fields)
{
    Headers headers;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const auto value = field.value();
        headers.push_back({ { name.data(), name.size() }, { value.data(), value.size() } });
    }
    return headers;
}

} // namespace turmericwing::gateway::detail
