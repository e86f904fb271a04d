#include "httpconnection.h"

#include <boost/asio/write.hpp>

#include <cstdlib>
#include <sstream>
#include <utility>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    constexpr std::size_t maxOutgoingWrites = 4096;

}

std::string requestPath(const http_request& request)
{
    const std::string target(request.target());
    return target.substr(0, target.find('?'));
}

std::uint64_t queryNumber(const http_request& request, std::string_view name, std::uint64_t fallback)
{
    const std::string target(request.target());
    const std::size_t begin = target.find(std::string(name) + "=", target.find('?'));
    return begin == std::string::npos ? fallback : std::strtoull(target.c_str() + begin + name.size() + 1, nullptr, 10);
}

nlohmann::json requestJson(const http_request& request)
{
    nlohmann::json parsed = nlohmann::json::parse(request.body(), nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

http_connection::http_connection(boost::asio::ip::tcp::socket socket, request_handler handler)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
{
}

void http_connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(maxBodyBytes);
    http::async_read(m_socket, m_buffer, *m_parser, [self = http_connection_ptr(this)](error_code error, std::size_t) {
        if (error)
            self->close();
        else
            self->handleRequest();
    });
}

void http_connection::handleRequest()
{
    m_keepsAlive = request().keep_alive();
    m_isAnswered = false;
    ++m_requestNumber;
    watchForPeerClose();
    m_handler(http_connection_ptr(this));
}

void http_connection::watchForPeerClose()
{
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
        [self = http_connection_ptr(this), number = m_requestNumber](error_code error) {
            if (error || self->m_isAnswered || number != self->m_requestNumber)
                return;
            error_code ignored;
            if (self->m_socket.available(ignored) == 0)
                self->close();
        });
}

void http_connection::answer(const http_answer& answer, answer_delivery delivery)
{
    http::response<http::string_body> message(static_cast<http::status>(answer.status), 11);
    message.set(http::field::content_type, "application/json");
    for (const std::pair<std::string, std::string>& field : answer.headers)
        message.set(field.first, field.second);
    message.keep_alive(m_keepsAlive);
    message.body() = answer.body.dump();
    message.prepare_payload();
    std::ostringstream bytes;
    bytes << message;
    m_isAnswered = true;
    m_keepsAlive = m_keepsAlive && delivery != answer_delivery::Truncated;
    switch (delivery) {
    case answer_delivery::Complete:
        send(bytes.str());
        return;
    case answer_delivery::Duplicated:
        send(bytes.str() + bytes.str());
        return;
    case answer_delivery::Truncated:
        send(bytes.str().substr(0, bytes.str().size() - message.body().size() / 2));
        return;
    }
}

void http_connection::beginEvents()
{
    http::response<http::empty_body> message(http::status::ok, 11);
    message.set(http::field::content_type, "text/event-stream");
    message.keep_alive(m_keepsAlive);
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
    boost::asio::async_write(m_socket, boost::asio::buffer(m_outgoing.front()),
        [self = http_connection_ptr(this)](error_code error, std::size_t) {
            self->m_outgoing.pop_front();
            if (error || (self->m_outgoing.empty() && self->m_isAnswered && !self->m_keepsAlive))
                self->close();
            else if (!self->m_outgoing.empty())
                self->writeNext();
            else if (self->m_isAnswered)
                self->read();
        });
}

void http_connection::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

}
