#include <rollout/peertable.h>
#include <support/factnetwork.h>
#include <support/rolloutfixture.h>

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Time from which the platform judges a daemon that has lost its replicas.
constexpr duration contactTime = 3s;
/// One of this many statements may be missed.
constexpr std::size_t maxMissedPart = 1000;

const std::vector<peer> threePeers { { "a1", "north-a", "127.0.0.1:1" }, { "a2", "north-a", "127.0.0.1:2" }, { "b1", "north-b", "127.0.0.1:3" } };

/// VMs that are chosen in many draws.
std::set<std::string> chosen(peer_table& table, const std::vector<std::string>& excluded, std::chrono::milliseconds time)
{
    std::set<std::string> vms;
    for (int draw = 0; draw < 100; ++draw) {
        const peer* const drawn = table.choose(excluded, at(time));
        if (drawn)
            vms.insert(drawn->vm);
    }
    return vms;
}

/// What a daemon knows of the access of the others.
struct access_knowledge {
    peer_table table { "north-a", 1 };

    bool merge(const fact& item, instant) { return table.merge(std::get<access_statement>(item)); }
    std::vector<fact> facts() const
    {
        const std::vector<access_statement> statements = table.statements();
        return { statements.begin(), statements.end() };
    }
};

}

TEST_CASE("Calls go to daemons with access, those of the own data centre first, and not again to one that failed")
{
    peer_table table("north-a", 7);
    CHECK_FALSE(table.hasPeerWithAccess());
    table.setPeers(threePeers);
    CHECK(chosen(table, {}, 10s) == std::set<std::string> { "a1", "a2" });
    CHECK(chosen(table, { "a1" }, 10s) == std::set<std::string> { "a2" });
    CHECK(table.merge({ "a2", false, 1, at(10s) }));
    CHECK(chosen(table, {}, 10s) == std::set<std::string> { "a1" });
    CHECK(chosen(table, { "a1" }, 10s) == std::set<std::string> { "b1" });
    table.noteFailed("a1", at(10s));
    CHECK(chosen(table, {}, 10s) == std::set<std::string> { "b1" });
    // Daemons that failed may still have access, so a daemon without access keeps no work because of them.
    table.noteFailed("b1", at(10s));
    CHECK(chosen(table, {}, 10s).empty());
    CHECK(table.hasPeerWithAccess());
    CHECK(chosen(table, {}, 11100ms) == std::set<std::string> { "a1" });
    CHECK(table.merge({ "a2", true, 2, at(11s) }));
    CHECK_FALSE(table.merge({ "a2", false, 1, at(11500ms) }));
    CHECK(chosen(table, {}, 11100ms) == std::set<std::string> { "a1", "a2" });
}

TEST_CASE("A daemon that said to have no access is a candidate again when it says otherwise, or is alive again after its end")
{
    peer_table table("north-a", 7);
    table.setPeers({ threePeers[0] });
    table.merge({ "a1", false, 1, at(10s) });
    table.forgetOld(at(60s));
    CHECK_FALSE(table.hasPeerWithAccess());
    CHECK(table.merge({ "a1", true, table.nextNumber("a1", at(0s)), at(60s) }));
    CHECK(table.hasPeerWithAccess());
    table.merge({ "a1", false, table.nextNumber("a1", at(61s)), at(61s) });
    CHECK(table.saysLost("a1"));
    table.setPeers({});
    table.forgetOld(at(72s));
    table.setPeers({ threePeers[0] });
    CHECK(table.hasPeerWithAccess());
    CHECK(table.statements().empty());
}

TEST_CASE("What daemons say of their access reaches all others before the platform judges them")
{
    for (const std::size_t size : { 10U, 80U, 400U }) {
        INFO(size << " daemons");
        fact_network<access_knowledge> network(size, 20);
        const std::size_t lost = size * 6 / 10;
        for (std::size_t index = 0; index < lost; ++index)
            network.learn(index, access_statement { std::to_string(index), false, 1, network.now() });
        network.run(contactTime);
        std::size_t known = 0;
        for (std::size_t index = 0; index < size; ++index)
            known += network.knowledge(index).table.statements().size();
        // A daemon whose statement was missed refuses the call at once, and the next one gets it.
        CHECK(known * maxMissedPart >= size * lost * (maxMissedPart - 1));
    }
}
