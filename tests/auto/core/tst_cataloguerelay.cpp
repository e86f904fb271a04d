#include <support/relaynetwork.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

const relay_view follower { false, { { "entry-a1", "10.0.0.1:1" }, { "entry-a2", "10.0.0.2:1" } }, { { "entry-b1", "10.0.1.1:1" } } };
const relay_view relay { true, { { "entry-a1", "10.0.0.1:1" } }, {} };

template <class Effect>
std::vector<Effect> only(const std::vector<relay_effect>& effects)
{
    std::vector<Effect> found;
    for (const relay_effect& effect : effects) {
        if (const Effect* typed = std::get_if<Effect>(&effect))
            found.push_back(*typed);
    }
    return found;
}

}

TEST_CASE("A relay tails the log, and a follower asks a relay when gossip reports a higher position")
{
    catalogue_relay relayed(1);
    CHECK(only<relay_effects::tailing_changed>(relayed.handle(relay_events::view_changed { relay }, instant(1s))).size() == 1);
    CHECK(relayed.handle(relay_events::head_announced { 9 }, instant(1s)).empty());

    catalogue_relay following(1);
    CHECK(following.handle(relay_events::view_changed { follower }, instant(1s)).empty());
    const std::vector<relay_effects::ask_relay> asks = only<relay_effects::ask_relay>(following.handle(relay_events::head_announced { 9 }, instant(2s)));
    REQUIRE(asks.size() == 1);
    CHECK(asks[0].from == 0);
    following.handle(relay_events::position_applied { 9 }, instant(2s));
    following.handle(relay_events::relay_answered { asks[0].relay.vm, 9 }, instant(2s));
    CHECK(following.handle(relay_events::head_announced { 9 }, instant(3s)).empty());
    CHECK(following.handle(relay_events::tick {}, instant(3s)).empty());
    CHECK(only<relay_effects::ask_relay>(following.handle(relay_events::tick {}, instant(33s))).size() == 1);
}

TEST_CASE("A follower tails the log while no relay answers")
{
    catalogue_relay following(1);
    following.handle(relay_events::view_changed { follower }, instant(1s));
    instant now(2s);
    following.handle(relay_events::head_announced { 9 }, now);
    for (; !following.isTailing() && now < instant(20s); now += 50ms) {
        following.handle(relay_events::tick {}, now);
        for (const char* vm : { "entry-a1", "entry-a2", "entry-b1" })
            following.handle(relay_events::relay_failed { vm }, now);
    }
    CHECK(following.isTailing());
    CHECK(now < instant(4s));
    following.handle(relay_events::position_applied { 9 }, now);
    const std::vector<relay_effects::ask_relay> asks = only<relay_effects::ask_relay>(following.handle(relay_events::tick {}, now + catalogue_relay::fallbackPeriod));
    REQUIRE(asks.size() == 1);
    following.handle(relay_events::relay_answered { asks[0].relay.vm, 9 }, now + catalogue_relay::fallbackPeriod);
    CHECK_FALSE(following.isTailing());
}

TEST_CASE("An edit reaches all daemons in time despite failed relays and cut links to the log")
{
    struct row {
        const char* name;
        void (*injectFault)(gossip_network& network, relay_network& relays);
        duration bound;
        std::size_t mostTailing;
    };
    const row rows[] = {
        { "no fault", [](gossip_network&, relay_network&) {}, 2s, 10 },
        { "all relays killed", [](gossip_network& network, relay_network&) {
             for (std::size_t node = 0; node < network.size(); ++node) {
                 if (makeRelayView(network.view(node), relay_network::relaysPerDataCentre).isLocalRelay)
                     network.kill(node);
             }
         },
            7s, 30 },
        { "one data centre cut off from the log", [](gossip_network&, relay_network& relays) { relays.cutLog({ "ee-north-a" }); }, 15s, 16 },
        { "a restart", [](gossip_network& network, relay_network&) { network.start(4); }, 3s, 11 },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        gossip_network network({ .size = 30, .dataCentres = 5, .seed = 4 });
        relay_network relays(network);
        relays.run(10s);
        REQUIRE(relays.runUntilInForce(10s));
        item.injectFault(network, relays);
        const std::optional<duration> time = relays.runUntilInForce(60s);
        REQUIRE(time);
        CHECK(*time <= item.bound);
        CHECK(relays.tailing() <= item.mostTailing);
        relays.run(60s);
        CHECK(relays.tailing() == 10);
    }
}

TEST_CASE("A region cut off from the log keeps its catalogue and catches up after the partition heals")
{
    gossip_network network({ .size = 20, .dataCentres = 5, .seed = 6 });
    relay_network relays(network);
    relays.run(10s);
    REQUIRE(relays.runUntilInForce(10s));
    for (std::size_t node = 0; node < network.size(); ++node)
        network.setGroup(node, node % 5 < 3 ? 0 : 1);
    relays.cutLog({ "zagreb-a", "zagreb-b" });
    CHECK_FALSE(relays.runUntilInForce(20s));
    CHECK(relays.position(0) == 2);
    CHECK(relays.position(3) == 1);
    network.heal();
    relays.cutLog({});
    relays.append();
    CHECK(relays.runUntilInForce(15s));
}
