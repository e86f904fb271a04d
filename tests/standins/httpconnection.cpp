#include "httpconnection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <sstream>
#include <utility>

namespace http = boost::beast::http;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    constexpr std::size_t maxOutgoingWrites = 4096;

    std::map<std::string, std::string> parsedQuery(std::string_view text)
    {
        std::map<std::string, std::string> query;
        while (!text.empty()) {
            const std::string_view pair = text.substr(0, text.find('&'));
            const std::size_t equals = std::min(pair.find('='), pair.size());
            query[std::string(pair.substr(0, equals))] = pair.substr(std::min(equals + 1, pair.size()));
            text.remove_prefix(std::min(pair.size() + 1, text.size()));
        }
        return query;
    }

    http_request converted(const http::request<http::string_body>& message)
    {
        const std::string target(message.target());
        const std::size_t mark = std::min(target.find('?'), target.size());
        http_request request;
        request.method = std::string(message.method_string());
        request.path = target.substr(0, mark);
        request.query = parsedQuery(std::string_view(target).substr(std::min(mark + 1, target.size())));
        for (const http::fields::value_type& field : message) {
            std::string fieldName(field.name_string());
            std::transform(fieldName.begin(), fieldName.end(), fieldName.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
            request.headers[fieldName] = std::string(field.value());
        }
        request.body = message.body();
        return request;
    }

}

std::string http_request::header(const std::string& name) const
{
    const std::map<std::string, std::string>::const_iterator found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::uint64_t http_request::number(const std::string& name, std::uint64_t fallback) const
{
    const std::map<std::string, std::string>::const_iterator found = query.find(name);
    if (found == query.end())
        return fallback;
    std::uint64_t value = fallback;
    std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    return value;
}

nlohmann::json http_request::json() const
{
    nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

struct http_connection::reader {
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    bool keepsAlive = false;
};

http_connection::http_connection(boost::asio::ip::tcp::socket socket, request_handler handler)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
    , m_reader(std::make_unique<reader>())
{
}

http_connection::~http_connection() = default;

void http_connection::read()
{
    m_reader->parser.emplace();
    m_reader->parser->body_limit(maxBodyBytes);
    const http_connection_ptr self(this);
    http::async_read(m_socket, m_reader->buffer, *m_reader->parser,
        [self](boost::system::error_code error, std::size_t) {
            if (error)
                self->close();
            else
                self->takeRequest();
        });
}

void http_connection::takeRequest()
{
    m_request = converted(m_reader->parser->get());
    m_reader->keepsAlive = m_reader->parser->get().keep_alive();
    m_isAnswered = false;
    ++m_requestNumber;
    watchPeer();
    m_handler(http_connection_ptr(this));
}

void http_connection::watchPeer()
{
    const http_connection_ptr self(this);
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
        [self, number = m_requestNumber](boost::system::error_code error) {
            if (error || self->m_isAnswered || number != self->m_requestNumber)
                return;
            boost::system::error_code ignored;
            if (self->m_socket.available(ignored) == 0)
                self->close();
        });
}

std::string http_connection::serialized(const http_answer& answer) const
{
    http::response<http::string_body> message(static_cast<http::status>(answer.status), 11);
    message.set(http::field::content_type, "application/json");
    for (const std::pair<std::string, std::string>& field : answer.headers)
        message.set(field.first, field.second);
    message.keep_alive(m_reader->keepsAlive);
    message.body() = answer.body.dump();
    message.prepare_payload();
    std::ostringstream bytes;
    bytes << message;
    return bytes.str();
}

void http_connection::answer(const http_answer& answer)
{
    m_isAnswered = true;
    send(serialized(answer));
}

void http_connection::answerTwice(const http_answer& answer)
{
    m_isAnswered = true;
    send(serialized(answer) + serialized(answer));
}

void http_connection::answerTruncated(const http_answer& answer)
{
    const std::string bytes = serialized(answer);
    m_isAnswered = true;
    m_closesAfterWrite = true;
    send(bytes.substr(0, bytes.size() - answer.body.dump().size() / 2));
}

void http_connection::beginEvents()
{
    http::response<http::empty_body> message(http::status::ok, 11);
    message.set(http::field::content_type, "text/event-stream");
    message.keep_alive(m_reader->keepsAlive);
    message.chunked(true);
    std::ostringstream bytes;
    bytes << message.base();
    send(bytes.str());
}

void http_connection::sendEvent(std::string_view data)
{
    const std::string event = "data: " + std::string(data) + "\n\n";
    send(boost::beast::buffers_to_string(http::make_chunk(boost::asio::buffer(event))));
}

void http_connection::endEvents()
{
    m_isAnswered = true;
    send(boost::beast::buffers_to_string(http::make_chunk_last()));
}

void http_connection::send(std::string bytes)
{
    if (!isOpen())
        return;
    if (m_outgoing.size() >= maxOutgoingWrites) {
        close();
        return;
    }
    m_outgoing.push_back(std::move(bytes));
    if (m_outgoing.size() == 1)
        writeNext();
}

void http_connection::writeNext()
{
    const http_connection_ptr self(this);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_outgoing.front()),
        [self](boost::system::error_code error, std::size_t) {
            self->m_outgoing.pop_front();
            if (error)
                self->close();
            else if (!self->m_outgoing.empty())
                self->writeNext();
            else if (self->m_isAnswered)
                self->finishAnswer();
        });
}

void http_connection::finishAnswer()
{
    if (m_closesAfterWrite || !m_reader->keepsAlive)
        close();
    else
        read();
}

void http_connection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

}
