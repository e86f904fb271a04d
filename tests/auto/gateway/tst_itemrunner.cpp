#include "memorylog.h"

#include <gateway/bootclock.h>
#include <gateway/itemrunner.h>

#include <support/log.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace ragwortreach;
using boost::asio::ip::tcp;

namespace {

constexpr const char* model = "lace-7b";

/// Gate without limited replicas.
class open_gate : public replica_gate {
public:
    void noteLimit(const replica_instance&, std::optional<double>) override { }
    void noteUnreached(const replica_instance&, access_failure, instant) override { }
    void noteLeaving(const replica_instance&) override { }
    permit_number ask(std::vector<replica_instance>, duration, std::function<void(const permit_outcome&)>) override { return 0; }
    void cancel(permit_number) override { }
};

batch_submission twoItems()
{
    batch_submission batch;
    batch.id = "b";
    batch.host = "lots.example";
    batch.model = model;
    batch.minVersion = 1;
    batch.configuration = 1;
    for (const char* const id : { "i-1", "i-2" })
        batch.items.push_back({ id, "/lots/1", {}, "prompt", 100, 0, id });
    return batch;
}

route_configuration oneRoute()
{
    route_configuration configuration;
    configuration.version = 1;
    route lots;
    lots.host = "lots.example";
    lots.pathPrefix = "/lots/";
    lots.kind = route_kind::Rollout;
    lots.targets = { { "engines", 1 } };
    lots.maxAttempts = 3;
    lots.retention = std::chrono::seconds(40);
    configuration.routes = { lots };
    service_definition engines;
    engines.name = "engines";
    engines.engine = engine_bounds { 1, 100000, { model } };
    configuration.services = { engines };
    return configuration;
}

/// Runner of a batch of two items, of which one runs at a replica that the test plays.
struct runner_fixture {
    runner_fixture()
        : acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , replica(context)
        , logger({ "", log_level::Error }, "vm")
        , memory(context)
        , pool("north-a")
        , client(context)
        , batches(context, memory, {}, "writer", [](const ledger_batch&) {})
        , scheduler(batches.ledger(), pool, routes)
        , progress(context, memory, 1, "writer", batches.ledger(), scheduler, logger)
        , runner(context, client, batches, progress, scheduler, pool, gate, logger)
    {
        routes.setConfiguration(oneRoute());
        replica_entry entry;
        entry.id = "r1";
        entry.service = "engines";
        entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        entry.dataCentre = "north-a";
        entry.weights[model] = 1;
        pool.update(entry);
        batches.start();
        batches.write(batch_accepted { twoItems() }, write_mode::FailOnRefusal, {});
        scheduler.setOwnedModels({ model }, bootNow() - std::chrono::seconds(5));
        scheduler.setRecovered(model);
        runUntil([this] { return batches.ledger().find("b"); });
        acceptor.async_accept(replica, [this](const boost::system::error_code&) { readRequest(); });
        runner.run();
        runUntil([this] { return !request.empty(); });
    }

    void readRequest()
    {
        boost::asio::async_read_until(replica, boost::asio::dynamic_buffer(received), "prompt", [this](const boost::system::error_code&, std::size_t) { request = received; });
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < deadline);
            context.run_one();
        }
    }

    boost::asio::io_context context;
    tcp::acceptor acceptor;
    tcp::socket replica;
    std::string received;
    std::string request;
    ragwortreach::log logger;
    memory_log memory;
    replica_pool pool;
    route_table routes;
    http_client client;
    open_gate gate;
    journal batches;
    item_scheduler scheduler;
    progress_store progress;
    item_runner runner;
};

}

// The last events of a text were dropped when another item's effect waited, and the text passed for complete.
TEST_CASE("All events of one read count, whatever waits for other items, and the end of the stream completes the text")
{
    struct body_case {
        const char* name;
        std::string framing;
        std::string body;
    };
    const std::string events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";
    const body_case cases[] = {
        { "without a length", "", events },
        { "with a length", "Content-Length: " + std::to_string(events.size()) + "\r\n", events },
        { "several events in a chunk", "Transfer-Encoding: chunked\r\n", "35\r\n" + events + "\r\n0\r\n\r\n" },
    };
    REQUIRE(events.size() == 0x35);
    for (const body_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            runner_fixture fixture;
            const bool isFirst = fixture.request.find("Request-Id: i-1") != std::string::npos;
            const ledger_batch& batch = *fixture.batches.ledger().find("b");
            const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(isFirst ? "i-1" : "i-2") + "\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n";
            // The result of the other item waits to be written while the events are read.
            REQUIRE(fixture.scheduler.adoptText(batch, isFirst ? 1 : 0, { "text", 1, { 1 }, true }, bootNow()));
            REQUIRE(fixture.scheduler.hasEffects());
            boost::asio::write(fixture.replica, boost::asio::buffer(head + row.framing + "\r\n" + row.body));
            fixture.replica.close();
            fixture.runUntil([&batch] { return batch.results.size() == 2; });
            CHECK(batch.results[batch.items[isFirst ? 0 : 1].position.value()].output.text == "one\ntwo\nthree");
        }
    }
}

// 59 texts that were handed over after a cut made 303 daemons read all of them with the tail of the journal.
TEST_CASE("A hand-over of long texts adds nothing to the journal that all daemons read")
{
    /// With them a text counts as long.
    constexpr int events = 12;
    constexpr std::size_t eventBytes = 3000;
    for (const bool isStopped : { false, true }) {
        DYNAMIC_SECTION((isStopped ? "the process stops" : "the lease was lost"))
        {
            runner_fixture fixture;
            const topic_partition journalTopic { "keyed.ragwortreach.journal", 0 };
            const topic_partition progressTopic { "keyed.ragwortreach.progress", 0 };
            const std::size_t recordsBefore = fixture.memory.records(journalTopic).size();
            const bool isFirst = fixture.request.find("Request-Id: i-1") != std::string::npos;
            const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(isFirst ? "i-1" : "i-2") + "\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n\r\n";
            std::string body;
            for (int event = 1; event <= events; ++event)
                body += "id: " + std::to_string(event) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n";
            boost::asio::write(fixture.replica, boost::asio::buffer(head + body));
            fixture.runUntil([&fixture] { return !fixture.scheduler.takeProgress(bootNow()).empty(); });
            if (isStopped) {
                fixture.runner.handOver();
            } else {
                fixture.scheduler.setOwnedModels({}, bootNow());
                fixture.runner.run();
            }
            fixture.runUntil([&fixture] { return fixture.batches.pendingWrites() + fixture.progress.pendingWrites() == 0; });
            CHECK(fixture.scheduler.counters().handedOver == 1);
            CHECK(fixture.memory.records(journalTopic).size() == recordsBefore);
            CHECK(fixture.memory.records(progressTopic).size() == 1);
            CHECK(fixture.progress.counters().handedOver == 1);
            CHECK(fixture.progress.counters().handedOverBytes >= events * eventBytes);
        }
    }
}
