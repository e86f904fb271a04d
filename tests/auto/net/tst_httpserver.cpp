#include <core/resultcode.h>
#include <net/httpclient.h>
#include <net/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace ragwortreach;
using boost::asio::ip::tcp;

namespace {

struct request_case {
    const char* name;
    std::size_t headerBytes;
    std::size_t bodyBytes;
    int status;
};

constexpr std::size_t headerLimit = 4096;
constexpr std::size_t bodyLimit = 1000;

const request_case requestCases[] = {
    { "within the limits", 100, bodyLimit, 200 },
    { "header too large", 2 * headerLimit, 0, 431 },
    { "body one byte too large", 100, bodyLimit + 1, 413 },
    { "body far too large", 100, 3000000, 413 },
};

http_response answerError(std::error_code error)
{
    return { resultCodeInfo(static_cast<result_code>(error.value())).httpStatus, {}, {} };
}

http_server_limits smallLimits()
{
    http_server_limits limits;
    limits.headerBytes = headerLimit;
    limits.bodyBytes = bodyLimit;
    return limits;
}

}

TEST_CASE("A request over a limit gets the status for that limit, and the server continues to serve")
{
    for (const request_case& row : requestCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            http_server server(
                context, smallLimits(), [](const http_exchange& exchange) { exchange.respond({ 200, {}, "ok" }); }, answerError);
            REQUIRE_FALSE(server.listen({ "127.0.0.1", 0 }));
            http_client client(context);
            const endpoint address { "127.0.0.1", server.port() };
            http_request request { "POST", "/", { { "X-Long", std::string(row.headerBytes, 'h') } }, std::string(row.bodyBytes, 'b') };
            http_call_options options;
            options.timeout = std::chrono::seconds(20);
            int status = 0;
            int nextStatus = 0;
            client.callBuffered(address, request, options, [&](const http_outcome&, const http_response& response) {
                status = response.status;
                client.callBuffered(address, { "GET", "/", {}, {} }, options, [&](const http_outcome&, const http_response& next) {
                    nextStatus = next.status;
                    context.stop();
                });
            });
            context.run();
            CHECK(status == row.status);
            CHECK(nextStatus == 200);
        }
    }
}

TEST_CASE("Listening on a port in use returns AddressInUse")
{
    boost::asio::io_context context;
    http_server first(
        context, {}, [](const http_exchange&) {}, answerError);
    REQUIRE_FALSE(first.listen({ "127.0.0.1", 0 }));
    http_server second(
        context, {}, [](const http_exchange&) {}, answerError);
    CHECK(second.listen({ "127.0.0.1", first.port() }) == result_code::AddressInUse);
}

TEST_CASE("A connection that carried a truncated answer is not reused")
{
    boost::asio::io_context context;
    std::size_t calls = 0;
    http_server server(
        context, {}, [&calls](const http_exchange& exchange) {
            ++calls;
            exchange.beginStream({ 200, {}, 10 });
            exchange.write(calls == 1 ? "late" : "0123456789");
            if (calls == 1)
                exchange.setDrainedHandler([exchange] { exchange.abort(); });
            else
                exchange.endStream();
        },
        answerError);
    REQUIRE_FALSE(server.listen({ "127.0.0.1", 0 }));
    http_client client(context);
    const endpoint address { "127.0.0.1", server.port() };
    http_call_options options;
    options.timeout = std::chrono::seconds(20);
    result_code firstCode = result_code::Ok;
    std::string body;
    client.callBuffered(address, {}, options, [&](const http_outcome& outcome, const http_response&) {
        firstCode = outcome.code;
        client.callBuffered(address, {}, options, [&](const http_outcome&, const http_response& response) {
            body = response.body;
            context.stop();
        });
    });
    context.run();
    CHECK(std::error_code(firstCode) == result_code::UpstreamTruncated);
    CHECK(body == "0123456789");
}

TEST_CASE("A connection is closed after the idle time-out or the header time-out, but not before its answer was sent")
{
    struct idle_case {
        const char* name;
        std::chrono::milliseconds headerTimeout;
        std::chrono::milliseconds idleTimeout;
        const char* sent;
        const char* received;
    };
    const idle_case cases[] = {
        { "nothing sent", std::chrono::seconds(60), std::chrono::milliseconds(50), "", "" },
        { "incomplete header", std::chrono::milliseconds(50), std::chrono::seconds(60), "GET / HTTP/1.1\r\nX-", "" },
        { "idle after an answer", std::chrono::seconds(60), std::chrono::milliseconds(50), "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK" },
    };
    for (const idle_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            http_server_limits limits;
            limits.headerTimeout = row.headerTimeout;
            limits.idleTimeout = row.idleTimeout;
            http_server server(
                context, {}, [](const http_exchange& exchange) { exchange.respond({ 200, {}, "ok" }); }, answerError);
            server.setLimits(limits);
            REQUIRE_FALSE(server.listen({ "127.0.0.1", 0 }));
            tcp::socket caller(context);
            caller.connect({ boost::asio::ip::address_v4::loopback(), server.port() });
            boost::asio::write(caller, boost::asio::buffer(std::string_view(row.sent)));
            std::string received;
            bool isClosed = false;
            boost::asio::async_read(caller, boost::asio::dynamic_buffer(received),
                [&isClosed](const boost::system::error_code&, std::size_t) { isClosed = true; });
            while (!isClosed)
                REQUIRE(context.run_one() == 1);
            CHECK(received.starts_with(row.received));
        }
    }
}

// A caller's chunk size line or trailer without end filled the memory, and a trailer over 64 KB ended the process.
TEST_CASE("A request with a part that does not end is rejected at a bound")
{
    struct endless_case {
        const char* name;
        std::string head;
        std::string pattern;
    };
    const std::string chunkedHead = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const endless_case cases[] = {
        { "request line", "GET /", "x" },
        { "headers", "GET / HTTP/1.1\r\n", "X: y\r\n" },
        { "size line of a chunk", chunkedHead + "5", "0" },
        { "extension of a chunk", chunkedHead + "5;", "x" },
        { "trailer line", chunkedHead + "0\r\nX: ", "x" },
        { "trailer fields", chunkedHead + "0\r\n", "X: y\r\n" },
    };
    for (const endless_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            int requests = 0;
            http_server server(
                context, {}, [&requests](const http_exchange&) { ++requests; }, answerError);
            REQUIRE_FALSE(server.listen({ "127.0.0.1", 0 }));
            tcp::socket caller(context);
            caller.connect({ boost::asio::ip::address_v4::loopback(), server.port() });
            std::string sent = row.head;
            while (sent.size() < std::size_t { 1024 } * 1024)
                sent += row.pattern;
            boost::asio::async_write(caller, boost::asio::buffer(sent), [](const boost::system::error_code&, std::size_t) {});
            std::string received;
            bool isClosed = false;
            boost::asio::async_read(caller, boost::asio::dynamic_buffer(received), [&isClosed](const boost::system::error_code&, std::size_t) { isClosed = true; });
            const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
            while (!isClosed && std::chrono::steady_clock::now() < deadline)
                context.run_one_for(std::chrono::seconds(1));
            CHECK(isClosed);
            CHECK(received.starts_with("HTTP/1.1 4"));
            CHECK(requests == 0);
        }
    }
}

namespace {

/// Server whose requests to /held are not answered, and a caller with a connection to it.
struct held_fixture {
    held_fixture()
        : server(
            context, {}, [this](const http_exchange& exchange) { serve(exchange); }, answerError)
        , caller(context)
    {
        REQUIRE_FALSE(server.listen({ "127.0.0.1", 0 }));
        caller.connect({ boost::asio::ip::address_v4::loopback(), server.port() });
        boost::asio::async_read(caller, boost::asio::dynamic_buffer(received), [this](const boost::system::error_code& error, std::size_t) { closeError = error; });
    }

    void serve(const http_exchange& exchange)
    {
        if (exchange.request().target == "/held")
            held.push_back(exchange);
        else
            exchange.respond({ 200, {}, "ok" });
    }

    /// Sends a request and waits until the server has it, or has answered it.
    void send(std::string_view path)
    {
        const std::string request = "GET " + std::string(path) + " HTTP/1.1\r\n\r\n";
        boost::asio::write(caller, boost::asio::buffer(request));
        runUntil([this] { return !held.empty() || (hasReceived("ok") && server.openExchanges() == 0); });
    }

    bool hasReceived(std::string_view text) const { return received.find(text) != std::string::npos; }

    void runUntil(const std::function<bool()>& condition)
    {
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            context.run_one_for(std::chrono::milliseconds(100));
    }

    boost::asio::io_context context;
    http_server server;
    tcp::socket caller;
    std::vector<http_exchange> held;
    std::string received;
    std::optional<boost::system::error_code> closeError;
};

}

TEST_CASE("Closing idle connections ends them in order and leaves the others open")
{
    held_fixture idle;
    idle.send("/");
    idle.server.closeIdle();
    idle.runUntil([&idle] { return idle.closeError.has_value(); });
    REQUIRE(idle.closeError);
    CHECK(*idle.closeError == boost::asio::error::eof);

    held_fixture busy;
    busy.send("/held");
    busy.server.closeIdle();
    busy.context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(busy.closeError);
    busy.held.at(0).respond({ 200, {}, "late" });
    busy.runUntil([&busy] { return busy.hasReceived("late"); });
    CHECK(busy.hasReceived("late"));
}

TEST_CASE("Requests without an answer get a final one, once, and those with a begun answer keep theirs")
{
    held_fixture open;
    open.send("/held");
    open.server.answerOpen({ 504, {}, "ends" });
    open.held.at(0).respond({ 200, {}, "late" });
    open.runUntil([&open] { return open.hasReceived("ends") && open.server.openExchanges() == 0; });
    CHECK(open.received.starts_with("HTTP/1.1 504"));
    CHECK(open.hasReceived("ends"));
    CHECK_FALSE(open.hasReceived("late"));
    CHECK(open.server.openExchanges() == 0);

    held_fixture begun;
    begun.send("/held");
    begun.held.at(0).beginStream({ 200, {}, 8 });
    begun.held.at(0).write("first");
    begun.server.answerOpen({ 504, {}, "ends" });
    begun.held.at(0).write("end");
    begun.held.at(0).endStream();
    begun.runUntil([&begun] { return begun.hasReceived("firstend"); });
    CHECK(begun.hasReceived("firstend"));
    CHECK_FALSE(begun.hasReceived("504"));
}
