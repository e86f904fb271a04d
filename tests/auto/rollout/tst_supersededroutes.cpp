#include <support/factnetwork.h>
#include <support/rolloutfixture.h>
#include <support/routeknowledge.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// The platform allows two seconds from the acknowledgement; a request may be on its way for 0.5 s.
constexpr duration maxTime = 1500ms;
/// Time within which the daemons that can read the log read a new configuration.
constexpr std::size_t readSpreadMs = 60;

/// Fleet of which the first daemons cannot read the log.
class route_fleet {
public:
    route_fleet(std::size_t size, std::size_t turnedAway, unsigned lostPerThousand)
        : m_turnedAway(turnedAway)
        , m_network(size, lostPerThousand)
    {
        for (std::size_t index = 0; index < size; ++index)
            read(index, 1);
        m_network.run(100ms);
    }

    fact_network<route_knowledge>& network() { return m_network; }

    /// The operators write \a version, and those that can read it do so one after the other.
    void write(std::uint64_t version)
    {
        for (std::size_t ms = 0; ms < readSpreadMs; ++ms) {
            for (std::size_t index = m_turnedAway; index < m_network.size(); ++index) {
                if (index % readSpreadMs == ms)
                    read(index, version);
            }
            m_network.run(1ms);
        }
    }

    void read(std::size_t index, std::uint64_t version)
    {
        route_configuration configuration;
        configuration.version = version;
        m_network.knowledge(index).routes.setConfiguration(std::move(configuration));
        m_network.learn(index, configuration_read { version, m_network.now() });
    }

    /// Number of daemons that choose services by the configuration that they have.
    std::size_t countChoosing()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_network.size(); ++index)
            count += m_network.knowledge(index).routes.allows(configuration_use::ChooseService, m_network.now()) ? 1 : 0;
        return count;
    }

private:
    std::size_t m_turnedAway;
    fact_network<route_knowledge> m_network;
};

struct fleet_case {
    std::size_t daemons;
    std::size_t turnedAway;
    unsigned lostPerThousand;
};

const fleet_case fleetCases[] = {
    { 2, 1, 0 },
    { 10, 1, 0 },
    { 10, 9, 20 },
    { 80, 28, 20 },
    { 80, 79, 50 },
    { 400, 200, 20 },
};

}

TEST_CASE("Daemons that could not read a newer configuration went on choosing services by an older one")
{
    for (const fleet_case& row : fleetCases) {
        INFO(row.daemons << " daemons, " << row.turnedAway << " turned away, " << row.lostPerThousand << " of 1000 messages lost");
        route_fleet fleet(row.daemons, row.turnedAway, row.lostPerThousand);
        const std::size_t current = row.daemons - row.turnedAway;
        CHECK(fleet.countChoosing() == row.daemons);
        fleet.write(2);
        fleet.network().run(maxTime);
        CHECK(fleet.countChoosing() == current);
        // A series of changes gives no further time.
        for (std::uint64_t version = 3; version < 6; ++version) {
            fleet.write(version);
            CHECK(fleet.countChoosing() == current);
        }
        // A version between the one that it had and the newest one is no reason to go on.
        fleet.read(0, 4);
        CHECK(fleet.countChoosing() == current);
        for (std::size_t index = 0; index < row.turnedAway; ++index)
            fleet.read(index, 5);
        CHECK(fleet.countChoosing() == row.daemons);
    }
}

TEST_CASE("A daemon that starts while the log turns it away learns from the others which configuration is in force")
{
    route_fleet fleet(80, 28, 20);
    fleet.write(2);
    fleet.network().restart(3);
    fleet.network().run(maxTime);
    fleet.read(3, 1);
    CHECK_FALSE(fleet.network().knowledge(3).routes.allows(configuration_use::ChooseService, fleet.network().now()));
}

TEST_CASE("While no daemon can read the log, all go on choosing services by the routes that they have")
{
    route_fleet fleet(80, 80, 0);
    fleet.network().run(20s);
    CHECK(fleet.countChoosing() == 80);
}

TEST_CASE("A route is denied only by a configuration that was confirmed a short time ago and is in force")
{
    struct denial_case {
        duration confirmedBefore;
        std::uint64_t newestRead;
        bool isDenied;
    };
    const denial_case rows[] = { { 100ms, 1, true }, { 1200ms, 1, true }, { 1300ms, 1, false }, { 100ms, 2, false } };
    for (const denial_case& row : rows) {
        route_table routes;
        route_configuration configuration;
        configuration.version = 1;
        CHECK_FALSE(routes.allows(configuration_use::DenyRoute, at(10s)));
        routes.setConfiguration(configuration);
        routes.setConfirmedAt(at(10s) - row.confirmedBefore);
        routes.noteRead({ row.newestRead, at(8s) });
        CHECK(routes.allows(configuration_use::DenyRoute, at(10s)) == row.isDenied);
    }
}
