#include "memorylog.h"

#include <gateway/batchhandler.h>

#include <net/httpclient.h>
#include <support/log.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;

namespace {

/// Handler with a ledger that follows a log, to which another daemon writes.
struct handler_fixture {
    /// \a acceptedBefore: batch that another daemon has accepted before this one starts; none when empty.
    explicit handler_fixture(const std::string& acceptedBefore = {})
        : logger({ "", log_level::Error }, "vm")
        , memory(context)
        , own(context, memory, {}, "own", [this](const ledger_batch& batch) { handler.onChanged(batch); })
        , other(context, memory, {}, "other", [](const ledger_batch&) {})
        , handler(own, routes, logger)
        , server(
              context, {}, [this](const http_exchange& exchange) { handler.answer(exchange, platform::decodeCallerRequest(exchange.request()), platform::decodeBatchCall(exchange.request())); },
              [](std::error_code) { return http_response { 400, {}, {} }; })
        , client(context)
    {
        REQUIRE_FALSE(server.listen({ "127.0.0.1", 0 }));
        if (!acceptedBefore.empty())
            accept(acceptedBefore);
        own.start();
        runUntil([this] { return own.isReady(); });
    }

    void accept(const std::string& id)
    {
        batch_submission batch;
        batch.id = id;
        batch.items.push_back({ "i-1", "/lots/1", {}, "lace", 9, 0, "g" });
        bool isWritten = false;
        other.write(batch_accepted { batch }, write_mode::FailOnRefusal, [&isWritten](const append_report&) { isWritten = true; });
        runUntil([&isWritten] { return isWritten; });
    }

    int statusOf(const std::string& method, const std::string& target)
    {
        http_call_options options;
        options.timeout = std::chrono::seconds(10);
        int status = 0;
        client.callBuffered({ "127.0.0.1", server.port() }, { method, target, {}, {} }, options, [&status](const http_outcome&, const http_response& response) { status = response.status; });
        runUntil([this, &status] {
            handler.tick();
            return status != 0;
        });
        return status;
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < deadline);
            context.run_one_for(std::chrono::milliseconds(10));
        }
    }

    boost::asio::io_context context;
    ragwortreach::log logger;
    memory_log memory;
    route_table routes;
    journal own;
    journal other;
    batch_handler handler;
    http_server server;
    http_client client;
};

struct call_case {
    const char* name;
    const char* method;
    const char* target;
    /// Status while the batch exists.
    int status;
};

const call_case callCases[] = {
    { "list results", "GET", "/api/lots/b?after=0", 200 },
    { "read an item", "GET", "/api/items/b?id=i-1", 200 },
    { "read an item that the batch lacks", "GET", "/api/items/b?id=i-2", 404 },
    { "end", "DELETE", "/api/lots/b", 200 },
};

}

// A daemon answered 404 to the end of a batch, or to a read of an item, whose acceptance it had not read yet.
TEST_CASE("A call on a batch that another daemon has just accepted waits for the ledger")
{
    for (const call_case& row : callCases) {
        DYNAMIC_SECTION(row.name)
        {
            handler_fixture fixture;
            fixture.memory.setReadDelay(std::chrono::milliseconds(300));
            fixture.accept("b");
            CHECK(fixture.statusOf(row.method, row.target) == row.status);
        }
    }
}

TEST_CASE("A call on a batch that does not exist gets 404 once the log proves it, and 503 while the log is silent")
{
    for (const call_case& row : callCases) {
        DYNAMIC_SECTION(row.name)
        {
            handler_fixture fixture;
            CHECK(fixture.statusOf(row.method, row.target) == 404);
            fixture.memory.setSilent(true);
            CHECK(fixture.statusOf(row.method, row.target) == 503);
        }
    }
}

TEST_CASE("A call on a batch that was accepted before the daemon started is answered from the records of that batch")
{
    for (const call_case& row : callCases) {
        DYNAMIC_SECTION(row.name)
        {
            handler_fixture fixture("b");
            // The first page is that of the batch, unless the call needs none of its records.
            fixture.memory.failPageAfter(0);
            CHECK(fixture.statusOf(row.method, row.target) == row.status);
        }
    }
}
