#include "memorylog.h"

#include <gateway/leaseclient.h>
#include <support/log.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Processes that share leases through a log in memory.
class lease_client_fixture {
public:
    explicit lease_client_fixture(const lease_options& options)
        : m_options(options)
    {
    }

    lease_client& add(const std::string& vm, const std::string& instance)
    {
        m_clients.push_back(std::make_unique<lease_client>(m_context, log, lease_party { vm, instance }, m_options, m_logger, [] {}));
        lease_client& added = *m_clients.back();
        added.agent().setLeases({ "orders", "model/a" });
        added.start();
        m_running.push_back(&added);
        return added;
    }

    void releaseAll()
    {
        for (lease_client* const client : m_running)
            client->release([this] { ++released; });
        m_running.clear();
    }

    /// Ends all processes without a release. They go on reading, which the log does not notice.
    void killAll() { m_running.clear(); }

    void run(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed {}; passed < time; passed += tickInterval) {
            for (lease_client* const client : m_running)
                client->tick();
            m_context.run_for(tickInterval);
        }
    }

    std::size_t holders(std::string_view lease) const
    {
        return static_cast<std::size_t>(std::count_if(m_running.begin(), m_running.end(), [lease](const lease_client* client) { return client->agent().isHeld(lease); }));
    }

    std::set<std::string> keys()
    {
        std::set<std::string> found;
        for (const keyed_record& record : log.records()) {
            if (record.value)
                found.insert(record.key);
            else
                found.erase(record.key);
        }
        return found;
    }

    std::size_t removals()
    {
        return static_cast<std::size_t>(std::count_if(log.records().begin(), log.records().end(), [](const keyed_record& record) { return !record.value; }));
    }

private:
    static constexpr std::chrono::milliseconds tickInterval { 10 };

    boost::asio::io_context m_context;

public:
    memory_log log { m_context };
    std::size_t released = 0;

private:
    ragwortreach::log m_logger { {}, "vm1" };
    lease_options m_options;
    std::vector<std::unique_ptr<lease_client>> m_clients;
    std::vector<lease_client*> m_running;
};

/// Obsolete records stay for 1.3 s: the time after which a new holder no longer waits.
const lease_options shortRetention { 0ms, 1, 0ms };

}

// Each process left a release in the log, and each claim stayed there for good.
TEST_CASE("Restarted processes leave only the records of the present holders in the log")
{
    constexpr std::size_t processes = 20;
    constexpr std::size_t restarts = 3;
    lease_client_fixture fixture(shortRetention);
    for (std::size_t restart = 0; restart <= restarts; ++restart) {
        for (std::size_t number = 0; number < processes; ++number)
            fixture.add("vm" + std::to_string(number), "life" + std::to_string(restart) + "-" + std::to_string(number));
        fixture.run(1200ms);
        CHECK(fixture.holders("orders") == 1);
        if (restart < restarts)
            fixture.releaseAll();
    }
    CHECK(fixture.released == processes * restarts);
    fixture.run(3s);
    CHECK(fixture.holders("orders") == 1);
    CHECK(fixture.holders("model/a") == 1);
    // A claim for each lease, and the renewals of their holders.
    CHECK(fixture.keys().size() <= 4);
    INFO(fixture.removals() << " removals among " << fixture.log.records().size() << " records");
    CHECK(fixture.removals() < processes * restarts);
}

TEST_CASE("A process that starts after records were removed takes over with a higher fencing token")
{
    lease_client_fixture fixture(shortRetention);
    std::uint64_t token = 0;
    for (int restart = 0; restart < 3; ++restart) {
        lease_client& client = fixture.add("vm1", "life" + std::to_string(restart));
        fixture.run(2500ms);
        REQUIRE(client.agent().isHeld("orders"));
        CHECK(client.agent().fencingToken("orders") > token);
        token = client.agent().fencingToken("orders");
        CHECK(client.recordsUnreadable() == 0);
        if (restart == 0)
            fixture.releaseAll();
        else
            fixture.killAll();
        fixture.log.compact();
    }
    CHECK(fixture.keys().size() <= 3);
    CHECK(fixture.removals() > 0);
}

TEST_CASE("Removals whose answer is lost, or that are refused or carried out late, leave the leases as they are")
{
    const append_fault fault = GENERATE(append_fault::Refuse, append_fault::LoseAnswer, append_fault::ApplyLate);
    lease_client_fixture fixture(shortRetention);
    fixture.add("vm1", "life1");
    fixture.run(1200ms);
    fixture.releaseAll();
    lease_client& second = fixture.add("vm2", "life2");
    fixture.run(1200ms);
    REQUIRE(second.agent().isHeld("orders"));
    REQUIRE(second.agent().isHeld("model/a"));
    const std::uint64_t token = second.agent().fencingToken("orders");
    std::vector<append_fault> faults;
    for (int number = 0; number < 6; ++number)
        faults.insert(faults.end(), { fault, append_fault::None });
    fixture.log.setFaults(faults);
    fixture.run(3s);
    lease_client& third = fixture.add("vm3", "life3");
    fixture.run(300ms);
    for (const lease_client* const client : { &second, &third })
        CHECK(client->agent().fencingToken("orders") == token);
    CHECK(second.agent().isHeld("orders"));
    CHECK(fixture.keys() == std::set<std::string> { "life2/1", "life2/2", "life2/renewal" });
}
