#include "operatorlog.h"

#include <gateway/topicfollower.h>
#include <support/factnetwork.h>
#include <support/routeknowledge.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Shortest time after a disturbance from which the platform judges a daemon.
constexpr duration contactTime = 3s;
/// Longest time from an acknowledgement, while the log refuses some daemons, until all of them follow it.
constexpr duration disturbedApplyTime = 7s;
/// The platform allows two seconds from the acknowledgement; a request may be on its way for 0.5 s.
constexpr duration applyTime = 1500ms;
constexpr duration step = 1ms;

/// Daemons that read the configuration from one log and tell each other which version they have read.
class reading_fleet {
public:
    explicit reading_fleet(std::size_t size)
        : m_time(m_context)
        , m_log(m_time)
        , m_network(size, 20)
    {
        m_log.write(1);
        for (std::size_t index = 0; index < size; ++index) {
            m_clients.push_back(std::make_unique<operator_log::client>(m_log));
            m_followers.emplace_back();
            start(index);
        }
    }

    operator_log& log() { return m_log; }

    /// Sets the access of the first \a count daemons.
    void setAccess(std::size_t count, log_access access)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_clients[index]->setAccess(access);
    }

    void restart(std::size_t index)
    {
        // Answers under way still call the follower of the process that has ended.
        m_ended.push_back(std::move(m_followers[index]));
        m_ended.back()->isEnded = true;
        m_network.restart(index);
        start(index);
    }

    /// Runs the fleet; \a check is called every 10 ms.
    template <typename function>
    void run(duration time, function check)
    {
        for (duration passed {}; passed < time; passed += step) {
            m_time.advance(step);
            m_network.run(step);
            if (passed % 10ms == duration::zero())
                check();
        }
    }
    void run(duration time)
    {
        run(time, [] {});
    }

    instant now() const { return m_network.now(); }
    /// Number of daemons that choose services by a version before \a version.
    std::size_t countChoosingBefore(std::uint64_t version)
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_network.size(); ++index) {
            const route_table& routes = m_network.knowledge(index).routes;
            count += routes.version() < version && routes.allows(configuration_use::ChooseService, now()) ? 1 : 0;
        }
        return count;
    }
    /// Number of daemons that choose services by \a version.
    std::size_t countChoosing(std::uint64_t version)
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_network.size(); ++index) {
            const route_table& routes = m_network.knowledge(index).routes;
            count += routes.version() == version && routes.allows(configuration_use::ChooseService, now()) ? 1 : 0;
        }
        return count;
    }
    /// Newest version that a daemon had read a while ago, \a age at least.
    std::uint64_t newestReadBefore(duration age) const
    {
        std::uint64_t newest = 0;
        for (const configuration_read& read : m_reads)
            newest = now() - read.readAt >= age ? std::max(newest, read.version) : newest;
        return newest;
    }

private:
    struct reader {
        bool isEnded = false;
        std::unique_ptr<topic_follower> follower;
    };

    void start(std::size_t index)
    {
        m_followers[index] = std::make_unique<reader>();
        reader& started = *m_followers[index];
        const auto apply = [this, index, &started](std::span<const keyed_record> records) {
            for (const keyed_record& record : records) {
                if (!started.isEnded)
                    learn(index, std::stoull(*record.value));
            }
        };
        started.follower = std::make_unique<topic_follower>(m_context, *m_clients[index], topic_follower_options { { "operators", 0 }, 500ms, 30ms },
            topic_follower::handlers { [apply](std::span<const keyed_record> all, std::span<const keyed_record>) { apply(all); }, apply,
                [this, index, &started] { confirm(index, started); }, [this, index, &started] { noteRefusal(index, started); } });
        started.follower->start();
    }

    void confirm(std::size_t index, const reader& from)
    {
        if (from.isEnded)
            return;
        route_table& routes = m_network.knowledge(index).routes;
        routes.noteAllRead();
        routes.setConfirmedAt(from.follower->confirmedAt());
    }

    void noteRefusal(std::size_t index, const reader& from)
    {
        if (!from.isEnded)
            m_network.knowledge(index).routes.noteRefused();
    }

    void learn(std::size_t index, std::uint64_t version)
    {
        route_configuration configuration;
        configuration.version = version;
        if (!m_network.knowledge(index).routes.setConfiguration(std::move(configuration)))
            return;
        m_reads.push_back({ version, now() });
        m_network.learn(index, m_reads.back());
    }

    boost::asio::io_context m_context;
    virtual_time m_time;
    operator_log m_log;
    fact_network<route_knowledge> m_network;
    std::vector<std::unique_ptr<operator_log::client>> m_clients;
    std::vector<std::unique_ptr<reader>> m_followers;
    std::vector<std::unique_ptr<reader>> m_ended;
    std::vector<configuration_read> m_reads;
};

struct outage_case {
    const char* name;
    std::size_t daemons;
    /// Daemons that the log treats so.
    std::size_t disturbed;
    log_access access;
    bool dropsHistory;
    /// A disturbed daemon starts anew amid the outage, and after the history was dropped.
    bool restarts;
};

const outage_case outageCases[] = {
    { "refused", 10, 3, log_access::Refusing, false, true },
    { "silent", 10, 9, log_access::Silent, false, false },
    { "refused while the history is dropped", 10, 5, log_access::Refusing, true, true },
    { "silent while the history is dropped", 10, 5, log_access::Silent, true, false },
    { "stale", 10, 4, log_access::Stale, false, true },
    { "stale while the history is dropped", 10, 4, log_access::Stale, true, true },
    { "refused", 100, 35, log_access::Refusing, true, true },
    { "silent", 100, 50, log_access::Silent, true, false },
    { "stale", 100, 50, log_access::Stale, true, true },
};

}

// Calls went by an older configuration than another daemon had read.
TEST_CASE("A configuration that another daemon has read is followed, whatever the log shows the others")
{
    for (const outage_case& row : outageCases) {
        INFO(row.disturbed << " of " << row.daemons << " daemons: " << row.name);
        reading_fleet fleet(row.daemons);
        const auto check = [&fleet] { CHECK(fleet.countChoosingBefore(fleet.newestReadBefore(applyTime)) == 0); };
        fleet.run(1s, check);
        REQUIRE(fleet.countChoosing(1) == row.daemons);
        fleet.setAccess(row.disturbed, row.access);
        std::uint64_t version = 1;
        for (int change = 0; change < 4; ++change) {
            fleet.log().write(++version);
            if (row.dropsHistory && change % 2 == 1)
                fleet.log().compact();
            if (row.restarts && change == 2)
                fleet.restart(0);
            fleet.run(2500ms, check);
        }
        fleet.setAccess(row.disturbed, log_access::Serving);
        fleet.run(contactTime, check);
        CHECK(fleet.countChoosing(version) == row.daemons);
    }
}

TEST_CASE("While no daemon can read the log, all serve by the configuration that they have, and follow the newest one soon afterwards")
{
    reading_fleet fleet(10);
    fleet.run(1s);
    fleet.setAccess(10, log_access::Silent);
    // Reads under way still get their answer.
    fleet.run(100ms);
    fleet.log().write(2);
    fleet.run(8s);
    CHECK(fleet.countChoosing(1) == 10);
    fleet.setAccess(10, log_access::Serving);
    fleet.run(contactTime);
    CHECK(fleet.countChoosing(2) == 10);
}

// Calls went by an older configuration for as long as the log refused all daemons that saw each other.
TEST_CASE("Daemons that the log refuses go on by the configuration that they have for a bounded time")
{
    for (const std::size_t daemons : { 1, 10 }) {
        INFO(daemons << " daemons");
        reading_fleet fleet(daemons);
        fleet.run(1s);
        fleet.setAccess(daemons, log_access::Refusing);
        // Reads under way still get their answer.
        fleet.run(100ms);
        fleet.log().write(2);
        fleet.run(5s);
        CHECK(fleet.countChoosing(1) == daemons);
        // Silence does not tell that the log is away for all.
        fleet.setAccess(daemons, log_access::Silent);
        fleet.run(disturbedApplyTime - 5s);
        CHECK(fleet.countChoosing(1) == 0);
        fleet.run(5s);
        CHECK(fleet.countChoosing(1) == 0);
        fleet.setAccess(daemons, log_access::Serving);
        fleet.run(contactTime);
        CHECK(fleet.countChoosing(2) == daemons);
    }
}
