#include "testclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace ragwortreach::Tests {

namespace {

    constexpr std::chrono::seconds overallTimeout { 60 };
    constexpr std::chrono::milliseconds pollPeriod { 10 };

    http::request<http::string_body> makeRequest(const std::string& address, const std::string& method, const std::string& target,
        const nlohmann::json& body, const header_map& headers)
    {
        http::request<http::string_body> request(http::string_to_verb(method), target, 11);
        request.set(http::field::host, address);
        for (const std::pair<const std::string, std::string>& header : headers)
            request.set(header.first, header.second);
        if (!body.is_null())
            request.body() = body.dump();
        request.prepare_payload();
        return request;
    }

}

nlohmann::json http_reply::json() const
{
    nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json::object() : parsed;
}

std::vector<nlohmann::json> http_reply::events() const
{
    const std::string mark = "data: ";
    std::vector<nlohmann::json> events;
    for (std::size_t begin = body.find(mark); begin != std::string::npos; begin = body.find(mark, begin + 1)) {
        const nlohmann::json event = nlohmann::json::parse(body.substr(begin + mark.size(), body.find('\n', begin) - begin - mark.size()), nullptr, false);
        if (event.is_object())
            events.push_back(event);
    }
    return events;
}

http_reply send(const std::string& address, const std::string& method, const std::string& target,
    const nlohmann::json& body, const header_map& headers)
{
    const std::size_t colon = address.rfind(':');
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
        static_cast<unsigned short>(std::atoi(address.c_str() + colon + 1)));
    const http::request<http::string_body> request = makeRequest(address, method, target, body, headers);
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    http_reply reply;
    stream.expires_after(overallTimeout);
    stream.async_connect(endpoint, [&](error_code connectError) {
        if (connectError)
            return;
        http::async_write(stream, request, [](error_code, std::size_t) {});
        http::async_read(stream, buffer, parser, [&](error_code error, std::size_t) { reply.isComplete = !error; });
    });
    context.run();
    if (!parser.is_header_done())
        return reply;
    reply.status = static_cast<int>(parser.get().result_int());
    reply.body = parser.get().body();
    for (const http::fields::value_type& field : parser.get())
        reply.headers[std::string(field.name_string())] = std::string(field.value());
    reply.trailingBytes = boost::beast::buffers_to_string(buffer.data());
    return reply;
}

bool waitUntil(const std::function<bool()>& condition)
{
    return waitUntil(condition, std::chrono::steady_clock::now() + overallTimeout);
}

bool waitUntil(const std::function<bool()>& condition, std::chrono::steady_clock::time_point deadline)
{
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollPeriod);
    }
    return false;
}

}
