#include "platformfleet.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace ragwortreach::Tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Time after which a withdrawn key must not work any more, in the settings of the daemons.
constexpr std::chrono::milliseconds revocationTime { 1500 };

json organisationsWith(const std::vector<std::string>& guildKeys)
{
    return json::array({ { { "name", "guild" }, { "api_keys", guildKeys }, { "priority", 1 } }, { { "name", "weavers" }, { "api_keys", { "weavers-key" } } } });
}

/// Fleet whose configuration has the organisations "guild" and "weavers".
struct keyed_fleet : platform_fleet {
    explicit keyed_fleet(std::size_t daemons)
        : platform_fleet(daemons)
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            setGatewaySetting(daemon, "key_revocation_ms", revocationTime.count());
            restart(daemon);
        }
        configureOrganisations(2, organisationsWith({ "guild-key", "other-guild-key" }));
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            waitReady(daemon);
            waitUntil([this, daemon] { return callShop(daemon, "probe", "no-key").status == 401; });
        }
    }

    http_reply callBatch(std::size_t daemon, const std::string& method, const std::string& key) const
    {
        return send(caller(daemon), method, "/api/lots/b-1?after=0", nullptr, { { "Host", "lace.example" }, { "Authorization", "Bearer " + key } });
    }

    http_reply submit(std::size_t daemon, const std::string& key) const
    {
        json items = json::array();
        for (const char* const name : { "i-1", "i-long" }) {
            const json headers { { "Tenant", "forged" }, { "Authorization", "Bearer item-key" } };
            items.push_back({ { "id", name }, { "path", "/lots/1" }, { "headers", headers }, { "body", "bGFjZQ==" }, { "token_count", 90 }, { "group_id", name } });
        }
        const json batch { { "train_step", 1 }, { "model_id", "lace-7b" }, { "min_version", 1 }, { "group_count", 2 }, { "items", items } };
        return send(caller(daemon), "POST", "/lots/1", batch, { { "Host", "lace.example" }, { "Request-Id", "b-1" }, { "Authorization", "Bearer " + key } });
    }

    std::map<std::string, std::string> organisationsAtShop()
    {
        return run([this] { return shop().organisations(); });
    }
    bool hasReplicaSeenKey()
    {
        return run([this] { return shop().hasSeenCredentials() || engine().hasSeenCredentials(); });
    }
    std::size_t runsAtShop()
    {
        return run([this] { return shop().startedIds().size(); });
    }
};

/// How the daemon is kept from reading that a key was withdrawn.
struct blindness_case {
    const char* name;
    store_access access;
};

const blindness_case blindnessCases[] = {
    { "the log is silent", store_access::Silent },
    { "the log refuses the daemon", store_access::Busy },
    { "the log resets the connections of the daemon", store_access::Resetting },
};

}

TEST_CASE("A replica is told the organisation of the key and never the key, whatever the caller sends")
{
    keyed_fleet fleet(1);
    CHECK(fleet.callShop(0, "c-1", "guild-key", { { "Tenant", "weavers" } }).status == 200);
    CHECK(fleet.callShop(0, "c-2", "weavers-key").status == 200);
    for (const char* const key : { "", "guild-ke", "guild-key2", "unknown" })
        CHECK(fleet.callShop(0, "c-3", key).status == 401);
    CHECK(fleet.organisationsAtShop() == std::map<std::string, std::string> { { "c-1", "guild" }, { "c-2", "weavers" } });
    CHECK_FALSE(fleet.hasReplicaSeenKey());
}

TEST_CASE("A key is served once it is added, and refused once it is withdrawn")
{
    keyed_fleet fleet(2);
    fleet.configureOrganisations(3, organisationsWith({ "other-guild-key", "added-key" }));
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        const std::string id = "c-" + std::to_string(daemon);
        CHECK(waitUntil([&fleet, daemon, &id] { return fleet.callShop(daemon, id, "added-key").status == 200; }));
        CHECK(fleet.callShop(daemon, id + "-old", "guild-key").status == 401);
    }
    CHECK_FALSE(fleet.organisationsAtShop().contains("c-0-old"));
}

// A daemon that did not learn of the withdrawal would honour the key for as long as it used its configuration.
TEST_CASE("A withdrawn key runs nothing at a daemon that cannot read the withdrawal")
{
    for (const blindness_case& row : blindnessCases) {
        INFO(row.name);
        keyed_fleet fleet(1);
        fleet.setStoreAccess(0, row.access);
        fleet.configureOrganisations(3, organisationsWith({ "other-guild-key" }));
        std::this_thread::sleep_for(revocationTime);
        const std::size_t runs = fleet.runsAtShop();
        const http_reply reply = fleet.callShop(0, "c-1", "guild-key");
        CHECK(reply.status == 503);
        CHECK(reply.headers.contains("Retry-After"));
        CHECK(fleet.runsAtShop() == runs);
        fleet.setStoreAccess(0, store_access::Serving);
        CHECK(waitUntil([&fleet] { return fleet.callShop(0, "c-2", "guild-key").status == 401; }));
        CHECK(waitUntil([&fleet] { return fleet.callShop(0, "c-3", "other-guild-key").status == 200; }));
    }
}

// A stopped process could honour the key once more before it reads that the key was withdrawn.
TEST_CASE("A withdrawn key runs nothing at a daemon that was stopped, or restarted without the log")
{
    keyed_fleet fleet(1);
    fleet.setStoreAccess(0, store_access::Silent);
    fleet.daemon(0).signal(SIGSTOP);
    fleet.configureOrganisations(3, organisationsWith({ "other-guild-key" }));
    std::this_thread::sleep_for(revocationTime);
    fleet.daemon(0).signal(SIGCONT);
    CHECK(fleet.callShop(0, "c-1", "guild-key").status == 503);
    fleet.restart(0);
    CHECK(waitUntil([&fleet] { return fleet.callShop(0, "c-2", "guild-key").status == 503; }));
    CHECK_FALSE(fleet.organisationsAtShop().contains("c-1"));
    CHECK_FALSE(fleet.organisationsAtShop().contains("c-2"));
}

TEST_CASE("A batch goes on when the key that submitted it is withdrawn, and no other organisation reads or ends it")
{
    keyed_fleet fleet(2);
    REQUIRE(fleet.submit(0, "guild-key").status == 202);
    CHECK(fleet.submit(1, "other-guild-key").status == 202);
    CHECK(fleet.submit(0, "weavers-key").status == 409);
    fleet.configureOrganisations(3, organisationsWith({ "other-guild-key" }));
    CHECK(waitUntil([&fleet] { return fleet.callBatch(1, "GET", "guild-key").status == 401; }));
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        CHECK(fleet.callBatch(daemon, "GET", "weavers-key").status == 404);
        CHECK(fleet.callBatch(daemon, "DELETE", "weavers-key").status == 404);
    }
    CHECK(waitUntil([&fleet] { return fleet.callBatch(1, "GET", "other-guild-key").json().value("results", json::array()).size() == 2; }));
    const std::map<std::string, std::string> atEngine = fleet.run([&fleet] { return fleet.engine().organisations(); });
    CHECK(atEngine == std::map<std::string, std::string> { { "i-1", "guild" }, { "i-long", "guild" } });
    CHECK_FALSE(fleet.hasReplicaSeenKey());
    CHECK(fleet.callBatch(0, "DELETE", "other-guild-key").status == 200);
}

TEST_CASE("A configuration with faulty organisations is passed over, and the last one stays in force")
{
    keyed_fleet fleet(1);
    const json shared = json::array({ { { "name", "guild" }, { "api_keys", { "guild-key" } } }, { { "name", "weavers" }, { "api_keys", { "guild-key" } } } });
    fleet.configureOrganisations(3, shared);
    CHECK(waitUntil([&fleet] { return fleet.metrics(0).find("ragwortreach_platform_records_unreadable_total 1") != std::string::npos; }));
    CHECK(fleet.callShop(0, "c-1", "other-guild-key").status == 200);
    fleet.configureOrganisations(4, organisationsWith({ "added-key" }));
    CHECK(waitUntil([&fleet] { return fleet.callShop(0, "c-2", "added-key").status == 200; }));
}
