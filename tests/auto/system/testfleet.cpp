#include "testfleet.h"

#include "freeaddresses.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using nlohmann::json;

namespace ragwortreach::Tests {

namespace {

    constexpr const char* dataCentre = "ee-north-a";

    json standinSettings(int tokenTime)
    {
        const json weights = { { "base", 1 }, { "adapter", 1 } };
        const json engine = { { "role", "engine" }, { "model", "pattern-llm" }, { "weights", weights }, { "token_ms", tokenTime }, { "tokens", 12 } };
        return json::array({ { { "role", "platform" }, { "models", { { "pattern-llm", json::array({ weights }) } } } }, engine, engine,
            { { "role", "service" }, { "service", "bobbin-shop" } }, { { "role", "scorer" } } });
    }

    /// Element of the VM list.
    json listing(const std::string& vm, const std::string& role, const std::string& upstream, const std::string& address)
    {
        return { { "vm", vm }, { "incarnation", 1 }, { "data_centre", dataCentre }, { "region", "ee-north" }, { "role", role },
            { "upstream", upstream }, { "address", address }, { "state", "live" } };
    }

    json daemonSettings(int index, const std::string& platform)
    {
        const std::vector<std::string> ports = freeAddresses(4);
        return { { "vm", "entry-a" + std::to_string(index + 1) }, { "data_centre", dataCentre }, { "region", "ee-north" },
            { "listen", { { "caller", ports[0] }, { "admin", ports[1] }, { "gossip", ports[2] }, { "peer", ports[3] } } },
            { "platform", { { "log", platform }, { "vm_list", platform }, { "weight_store", platform } } },
            { "drain", { { "unready_ms", 100 }, { "stream_bound_ms", 5'000 } } }, { "seed", index + 1 } };
    }

}

test_fleet::test_fleet(int daemons, int tokenTime)
    : m_standins(standinSettings(tokenTime))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ragwortreach-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    m_folder = pattern;
    json vms = json::array({ listing("llm-a1", "upstream", "pattern-llm", m_standins.address(EngineOne)), listing("llm-a2", "upstream", "pattern-llm", m_standins.address(EngineTwo)),
        listing("shop-a1", "upstream", "bobbin-shop", m_standins.address(Shop)), listing("scorer-a1", "upstream", "lace-scorer", m_standins.address(Scorer)) });
    std::vector<json> settings;
    for (int i = 0; i < daemons; ++i) {
        settings.push_back(daemonSettings(i, m_standins.address(Platform)));
        const json listen = settings.back()["listen"];
        settings.back()["log"] = { { "file", (m_folder / ("entry-a" + std::to_string(i + 1) + ".log")).string() } };
        vms.push_back(listing(settings.back()["vm"], "entry", "", listen["caller"]));
        vms.back().update({ { "admin", listen["admin"] }, { "gossip", listen["gossip"] }, { "peer", listen["peer"] } });
    }
    send(m_standins.address(Platform), "PUT", "/_standin/vms", { { "vms", vms } });
    for (const json& item : settings)
        m_daemons.push_back(std::make_unique<daemon_process>(m_folder.string(), item));
    for (std::size_t i = 0; i < size(); ++i)
        REQUIRE(waitUntil([this, i] { return admin(i, "GET", "/readyz").status == 200; }));
}

test_fleet::~test_fleet()
{
    m_daemons.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

http_reply test_fleet::call(std::size_t index, const std::string& method, const std::string& target, const json& body, const header_map& headers) const
{
    return send(daemon(index).address("caller"), method, target, body, headers);
}

http_reply test_fleet::admin(std::size_t index, const std::string& method, const std::string& target, const json& body) const
{
    return send(daemon(index).address("admin"), method, target, body);
}

void test_fleet::putEntry(const std::string& entry, const json& body) const
{
    const http_reply reply = admin(0, "POST", "/v1/catalogue/edits",
        { { "id", "put-" + entry }, { "entry", entry }, { "replaces", 0 }, { "operator", "mart" }, { "action", "put" }, { "body", body } });
    CAPTURE(reply.body);
    REQUIRE(reply.status == 200);
    for (std::size_t i = 0; i < size(); ++i)
        REQUIRE(waitUntil([this, i, &entry] { return admin(i, "GET", "/v1/catalogue/" + entry).status == 200; }));
}

json shopEntry(bool isIdempotent)
{
    return { { "owner", "pitsinurk" }, { "class", "customer" }, { "kind", "service" }, { "upstream", "bobbin-shop" }, { "due_ms", 20'000 },
        { "idempotent", isIdempotent }, { "log_outage", "refuse" } };
}

json assistantEntry()
{
    return { { "owner", "pitsinurk" }, { "class", "customer" }, { "kind", "model" }, { "upstream", "pattern-llm" }, { "due_ms", 20'000 }, { "idempotent", true } };
}

json rolloutsEntry()
{
    return { { "owner", "pitsinurk" }, { "class", "training" }, { "kind", "model" }, { "upstream", "pattern-llm" }, { "scorer", "lace-scorer" },
        { "due_ms", 60'000 }, { "staleness", { { "versions", 2 }, { "age_ms", 600'000 } } }, { "look_ahead", "fresh" } };
}

}
