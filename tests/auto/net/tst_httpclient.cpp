#include <net/httpclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>

using namespace ragwortreach;
using boost::asio::ip::tcp;

namespace {

/// Peer that answers each request with \a head and then with \a pattern, again and again, up to 64 MiB. It keeps the
/// connection open.
class endless_peer {
public:
    endless_peer(boost::asio::io_context& context, std::string head, const std::string& pattern)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_socket(context)
        , m_head(std::move(head))
    {
        while (m_piece.size() < pieceBytes && !pattern.empty())
            m_piece += pattern;
        m_acceptor.async_accept(m_socket, [this](const boost::system::error_code& error) {
            if (!error)
                readRequest();
        });
    }

    endpoint address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    static constexpr std::size_t pieceBytes = std::size_t { 64 } * 1024;
    static constexpr std::size_t mostBytes = std::size_t { 64 } * 1024 * 1024;

    void readRequest()
    {
        boost::asio::async_read_until(m_socket, boost::asio::dynamic_buffer(m_request), "\r\n\r\n", [this](const boost::system::error_code& error, std::size_t) {
            if (!error)
                boost::asio::async_write(m_socket, boost::asio::buffer(m_head), [this](const boost::system::error_code&, std::size_t) { writePiece(); });
        });
    }

    void writePiece()
    {
        if (m_piece.empty() || m_written >= mostBytes)
            return;
        boost::asio::async_write(m_socket, boost::asio::buffer(m_piece), [this](const boost::system::error_code& error, std::size_t bytes) {
            m_written += bytes;
            if (!error)
                writePiece();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::string m_head;
    std::string m_piece;
    std::string m_request;
    std::size_t m_written = 0;
};

struct peer_outcome {
    http_outcome outcome;
    http_response response;
};

/// Outcome of a buffered call to \a address.
peer_outcome callPeer(boost::asio::io_context& context, const endpoint& address, http_request request = {})
{
    http_client client(context);
    http_call_options options;
    options.timeout = std::chrono::seconds(10);
    options.bodyLimit = std::uint64_t { 1024 } * 1024;
    std::optional<peer_outcome> ended;
    client.callBuffered(address, std::move(request), options,
        [&ended](const http_outcome& outcome, const http_response& response) { ended = peer_outcome { outcome, response }; });
    while (!ended)
        context.run_one();
    return *ended;
}

struct endless_case {
    const char* name;
    std::string head;
    std::string pattern;
};

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const endless_case endlessCases[] = {
    { "status line", "HTTP/1.1 200 ", "x" },
    { "header line", "HTTP/1.1 200 OK\r\nX: ", "x" },
    { "headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "size line of a chunk", chunkedHead + "5", "0" },
    { "extension of a chunk", chunkedHead + "5;", "x" },
    { "size line of the last chunk", chunkedHead + "0;", "x" },
    { "trailer line", chunkedHead + "0\r\nX: ", "x" },
    { "trailer fields", chunkedHead + "0\r\n", "X: y\r\n" },
    { "chunks", chunkedHead, "5\r\nhello\r\n" },
    { "body up to the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", "x" },
    { "announced body", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x" },
};

/// Head of an answer, and whether the protocol allows it.
struct head_case {
    const char* name;
    const char* head;
    bool isValid;
};

const head_case headCases[] = {
    { "status 000", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", false },
    { "status 001", "HTTP/1.1 001 One\r\nContent-Length: 0\r\n\r\n", false },
    { "status 099", "HTTP/1.1 099 Many\r\nContent-Length: 0\r\n\r\n", false },
    { "status 600", "HTTP/1.1 600 Beyond\r\nContent-Length: 0\r\n\r\n", false },
    { "status 700", "HTTP/1.1 700 Beyond\r\nContent-Length: 0\r\n\r\n", false },
    { "status 999", "HTTP/1.1 999 Beyond\r\nContent-Length: 0\r\n\r\n", false },
    { "a letter in the status", "HTTP/1.1 20x OK\r\nContent-Length: 0\r\n\r\n", false },
    { "a space in the status", "HTTP/1.1 2 0 OK\r\nContent-Length: 0\r\n\r\n", false },
    { "a negative status", "HTTP/1.1 -20 OK\r\nContent-Length: 0\r\n\r\n", false },
    { "a status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", false },
    { "no space after the status, which the protocol requires", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", false },
    { "two status lines", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false },
    { "a switch of protocols, and bytes of another one", "HTTP/1.1 101 Switch\r\n\r\n\x01\x02\r\n\r\n", false },
    { "an interim answer, then status 000", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", false },
    { "an empty reason", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", true },
    { "HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", true },
    { "an unknown status within a class", "HTTP/1.1 299 Fine\r\nContent-Length: 0\r\n\r\n", true },
    { "the last status", "HTTP/1.1 599 Bad\r\nContent-Length: 0\r\n\r\n", true },
};

struct unsendable_case {
    const char* name;
    http_request request;
};

const unsendable_case unsendableCases[] = {
    { "header value over 64 KiB", { "POST", "/", { { "X", std::string(70000, 'x') } }, {} } },
    { "headers over 64 KiB together", { "POST", "/", { { "X", std::string(40000, 'x') }, { "Y", std::string(40000, 'x') } }, {} } },
    { "header name over 64 KiB", { "POST", "/", { { std::string(70000, 'x'), "x" } }, {} } },
    { "line break in a header value", { "POST", "/", { { "X", "a\r\nHost: b" } }, {} } },
    { "line break in the path", { "POST", "/ HTTP/1.1\r\n\r\nGET /", {}, {} } },
    { "header without a name", { "POST", "/", { { "", "x" } }, {} } },
};

}

// Bytes without end before the body is delivered filled the memory: no bound covered the size line of a chunk.
TEST_CASE("An answer with a part that does not end is given up at a bound, not at the time-out")
{
    for (const endless_case& row : endlessCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            endless_peer peer(context, row.head, row.pattern);
            const result_code code = callPeer(context, peer.address()).outcome.code;
            CHECK(code != result_code::Ok);
            CHECK(code != result_code::UpstreamTimeout);
        }
    }
}

// An announced length was reserved at once, and a length beyond all memory ended the process.
TEST_CASE("A head that announces more than any memory does not end the process")
{
    boost::asio::io_context context;
    endless_peer peer(context, "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\nabc", {});
    http_client client(context);
    http_call_options options;
    options.timeout = std::chrono::milliseconds(300);
    std::string body;
    std::optional<http_outcome> ended;
    http_call_handlers handlers;
    handlers.onBody = [&body](std::string_view piece) { body += piece; };
    handlers.onDone = [&ended](const http_outcome& outcome) { ended = outcome; };
    client.call(peer.address(), {}, options, std::move(handlers));
    while (!ended)
        context.run_one();
    CHECK(body == "abc");
    CHECK(ended->code == result_code::UpstreamTimeout);
}

// MIXED: an answer with status 000 passed for one.
TEST_CASE("An answer whose status is none of the protocol passed for an answer")
{
    for (const head_case& row : headCases) {
        INFO(row.name);
        boost::asio::io_context context;
        endless_peer peer(context, row.head, {});
        const result_code code = callPeer(context, peer.address()).outcome.code;
        CHECK(code == (row.isValid ? result_code::Ok : result_code::UpstreamInvalid));
    }
}

TEST_CASE("Interim answers before the final one are skipped, and a long sound answer arrives whole")
{
    boost::asio::io_context context;
    const std::string body(900000, 'b');
    endless_peer peer(context, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + body, {});
    const peer_outcome ended = callPeer(context, peer.address());
    CHECK(ended.outcome.code == result_code::Ok);
    CHECK(ended.response.status == 200);
    CHECK(ended.response.body == body);
}

// A header value over 64 KB of an item was accepted and ended each daemon that sent it.
TEST_CASE("A request that cannot be sent fails alone, without a connection")
{
    for (const unsendable_case& row : unsendableCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            CHECK(callPeer(context, { "127.0.0.1", 1 }, row.request).outcome.code == result_code::MalformedRequest);
        }
    }
}

namespace {

/// Client, and a peer of one connection that sends and reads only what the test says.
struct silent_peer_fixture {
    silent_peer_fixture()
        : acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , peer(context)
        , client(context)
    {
        acceptor.async_accept(peer, [](const boost::system::error_code&) {});
    }

    endpoint address() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }

    void runUntil(const std::function<bool()>& condition)
    {
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < deadline);
            context.run_one_for(std::chrono::milliseconds(10));
        }
    }

    /// How the connection ends for the peer once it has read everything.
    boost::system::error_code endSeenByPeer()
    {
        std::string received;
        boost::system::error_code error;
        boost::asio::read(peer, boost::asio::dynamic_buffer(received), error);
        return error;
    }

    boost::asio::io_context context;
    tcp::acceptor acceptor;
    tcp::socket peer;
    http_client client;
};

/// When a call is cancelled.
struct cancel_case {
    const char* name;
    /// Bytes that the peer has sent until then.
    std::string answered;
    boost::system::error_code endSeenByPeer;
};

const cancel_case cancelCases[] = {
    { "before any answer", "", boost::asio::error::connection_reset },
    { "after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n", boost::asio::error::connection_reset },
    { "in the answer, so the request has arrived", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbegin", boost::asio::error::eof },
};

}

TEST_CASE("A call that times out resets its connection, so that no part of its request arrives later")
{
    silent_peer_fixture fixture;
    http_call_options options;
    options.timeout = std::chrono::milliseconds(100);
    std::optional<http_outcome> outcome;
    fixture.client.callBuffered(fixture.address(), { "POST", "/api/order", {}, "order" }, options,
        [&outcome](const http_outcome& ended, const http_response&) { outcome = ended; });
    fixture.runUntil([&outcome] { return outcome.has_value(); });
    CHECK(outcome->code == result_code::UpstreamTimeout);
    CHECK(fixture.endSeenByPeer() == boost::asio::error::connection_reset);
}

// UNASKED: what a cancelled call had written into a cut path was delivered once the path was back.
TEST_CASE("The request of a cancelled call arrived later over a path that had been cut")
{
    for (const cancel_case& row : cancelCases) {
        DYNAMIC_SECTION(row.name)
        {
            silent_peer_fixture fixture;
            http_call_options options;
            options.timeout = std::chrono::seconds(10);
            bool hasHead = false;
            http_call_handlers handlers;
            handlers.onHead = [&hasHead](const http_response_head&) { hasHead = true; };
            http_call_handle call = fixture.client.call(fixture.address(), { "POST", "/lots/1", {}, "item" }, options, std::move(handlers));
            fixture.runUntil([&fixture] { return fixture.peer.is_open() && fixture.peer.available() > 0; });
            boost::asio::write(fixture.peer, boost::asio::buffer(row.answered));
            const bool isAnswered = row.endSeenByPeer == boost::asio::error::eof;
            fixture.runUntil([&hasHead, isAnswered] { return hasHead || !isAnswered; });
            fixture.context.run_for(std::chrono::milliseconds(50));
            call.cancel();
            CHECK(fixture.endSeenByPeer() == row.endSeenByPeer);
        }
    }
}
