#include "platformfleet.h"

#include "freeaddresses.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <algorithm>

using nlohmann::json;

namespace ragwortreach::Tests {

namespace {

    json daemonSettings(std::size_t index, const std::string& store, std::chrono::seconds stopTime)
    {
        const std::vector<std::string> ports = freeAddresses(5);
        const json gateway { { "caller", ports[0] }, { "readiness", ports[1] }, { "metrics", ports[2] }, { "gossip", ports[3] }, { "peer", ports[4] }, { "store", store }, { "stop_s", stopTime.count() } };
        return { { "vm", "entry-a" + std::to_string(index + 1) }, { "data_centre", "north-a" }, { "region", "north" }, { "log_level", "error" },
            { "gateway", gateway } };
    }

    json rolloutRoute(const std::string& name)
    {
        return { { "name", name }, { "host", "lace.example" }, { "path_prefix", "/" + name + "/" }, { "route_kind", "rollout" },
            { "timeout_ms", 10000 }, { "full_value_ms", 400 }, { "service", "engines" }, { "max_attempts", 3 }, { "retention_s", 600.0 } };
    }

    json plainRoute(const std::string& name)
    {
        return { { "name", name }, { "host", "lace.example" }, { "path_prefix", "/" + name + "/" }, { "route_kind", "idempotent" },
            { "timeout_ms", 20000 }, { "full_value_ms", 400 }, { "service", "shop" }, { "max_attempts", 3 }, { "priority", 0 } };
    }

    /// Routes "lots" and \a addedRollouts (rollouts), "chat" (resumable streams), "orders" (not idempotent) and "rewards" (idempotent) to the services
    /// "engines" and "shop".
    json configuration(int version, const std::vector<std::string>& addedRollouts)
    {
        const json orders { { "name", "orders" }, { "host", "lace.example" }, { "path_prefix", "/orders/" }, { "route_kind", "non_idempotent" },
            { "timeout_ms", 60000 }, { "full_value_ms", 400 }, { "service", "shop" }, { "max_attempts", 2 } };
        const json rewards { { "name", "rewards" }, { "host", "lace.example" }, { "path_prefix", "/score/" }, { "route_kind", "idempotent" },
            { "timeout_ms", 20000 }, { "full_value_ms", 400 }, { "service", "shop" }, { "max_attempts", 3 } };
        const json chat { { "name", "chat" }, { "host", "lace.example" }, { "path_prefix", "/chat/" }, { "route_kind", "streaming" }, { "resumable", true },
            { "timeout_ms", 20000 }, { "full_value_ms", 400 }, { "service", "engines" }, { "max_attempts", 3 } };
        const json engine { { "slots", 8 }, { "kv_capacity", 90000 }, { "models", json::array({ { { "name", "lace-7b" } } }) } };
        const json services = json::array({ { { "name", "engines" }, { "engine", engine } }, { { "name", "shop" } } });
        json routes = json::array({ rolloutRoute("lots"), chat, orders, rewards });
        for (const std::string& name : addedRollouts)
            routes.push_back(rolloutRoute(name));
        return { { "version", version }, { "routes", routes }, { "services", services } };
    }

}

platform_fleet::platform_fleet(std::size_t daemons, bool hasConfiguration, std::chrono::seconds stopTime)
    : m_work(m_context.get_executor())
    , m_store(std::make_unique<store_standin>(m_context))
    , m_duties(std::make_unique<duty_standin>(m_context))
    , m_engine(std::make_unique<replica_standin>(m_context, *m_store, "engine-1", "engines", "lace-7b"))
    , m_shop(std::make_unique<replica_standin>(m_context, *m_store, "shop-1", "shop", ""))
    , m_daemons(daemons)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ragwortreach-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    m_folder = pattern;
    for (std::size_t index = 0; index < daemons; ++index)
        m_settings.push_back(daemonSettings(index, m_store->addAddress(), stopTime));
    m_thread = std::thread([this] { m_context.run(); });
    if (hasConfiguration)
        configure(1);
    for (std::size_t index = 0; index < daemons; ++index)
        start(index);
    for (std::size_t index = 0; hasConfiguration && index < daemons; ++index)
        waitReady(index);
}

platform_fleet::~platform_fleet()
{
    killAll();
    m_work.reset();
    m_context.stop();
    m_thread.join();
    std::filesystem::remove_all(m_folder);
}

void platform_fleet::addEngine()
{
    run([this] { m_addedEngine = std::make_unique<replica_standin>(m_context, *m_store, "engine-2", "engines", "lace-7b", "v2"); });
}

void platform_fleet::addShops(int count)
{
    run([this, count] {
        for (int number = 0; number < count; ++number)
            m_moreShops.push_back(std::make_unique<replica_standin>(m_context, *m_store, "shop-" + std::to_string(number + 2), "shop", ""));
    });
}

void platform_fleet::addService(const std::string& name)
{
    run([this, &name] { m_services[name] = std::make_unique<replica_standin>(m_context, *m_store, name + "-replica", name, ""); });
}

std::set<std::string> platform_fleet::startedAt(const std::string& service)
{
    return run([this, &service] {
        const auto added = m_services.find(service);
        return added == m_services.end() ? m_shop->startedIds() : added->second->startedIds();
    });
}

int platform_fleet::runsAtMoreShops()
{
    return run([this] {
        int runs = 0;
        for (const std::unique_ptr<replica_standin>& shop : m_moreShops)
            runs += shop->runs();
        return runs;
    });
}

int platform_fleet::shopCrashes()
{
    return run([this] {
        int crashes = m_shop->crashes();
        for (const std::unique_ptr<replica_standin>& shop : m_moreShops)
            crashes += shop->crashes();
        return crashes;
    });
}

std::size_t platform_fleet::writeConfiguration(const json& configuration)
{
    const std::string text = configuration.dump();
    run([this, &text] { m_store->put("keyed.op", "config", text); });
    return text.size();
}

void platform_fleet::configure(int version, const std::vector<std::string>& addedRollouts)
{
    writeConfiguration(configuration(version, addedRollouts));
}

std::size_t platform_fleet::daemonOn(const std::string& vm) const
{
    const auto isOnVm = [&vm](const std::unique_ptr<daemon_process>& daemon) { return daemon->vm() == vm; };
    return static_cast<std::size_t>(std::find_if(m_daemons.begin(), m_daemons.end(), isOnVm) - m_daemons.begin());
}

http_reply platform_fleet::callShop(std::size_t daemon, const std::string& id, const std::string& key, header_map headers) const
{
    headers.insert({ { "Host", "lace.example" }, { "Request-Id", id }, { "Deadline-Ms", "5000" } });
    if (!key.empty())
        headers["Authorization"] = "Bearer " + key;
    return send(caller(daemon), "POST", "/score/1", "linen", headers);
}

std::string platform_fleet::metrics(std::size_t daemon) const
{
    return send(m_settings[daemon]["gateway"]["metrics"], "GET", "/metrics").body;
}

void platform_fleet::configureOrganisations(int version, const json& organisations)
{
    json extended = configuration(version, {});
    extended["tenants"] = organisations;
    writeConfiguration(extended);
}

void platform_fleet::configureScaling(int version, const json& scaling)
{
    json extended = configuration(version, {});
    for (json& service : extended["services"]) {
        if (service["name"] == "shop")
            service["scaling"] = scaling;
    }
    writeConfiguration(extended);
}

void platform_fleet::configureLimits(int version, const json& limits)
{
    json extended = configuration(version, {});
    extended["limits"] = limits;
    writeConfiguration(extended);
}

void platform_fleet::dropRewardRoute(int version)
{
    json reduced = configuration(version, {});
    json& routes = reduced["routes"];
    routes.erase(std::remove_if(routes.begin(), routes.end(), [](const json& route) { return route["name"] == "rewards"; }), routes.end());
    writeConfiguration(reduced);
}

std::size_t platform_fleet::moveRewardRoute(int version, const std::string& service, std::size_t addedRoutes)
{
    json moved = configuration(version, {});
    for (json& route : moved["routes"]) {
        if (route["name"] == "rewards")
            route["service"] = service;
    }
    moved["services"].push_back({ { "name", service } });
    for (std::size_t number = 0; number < addedRoutes; ++number)
        moved["routes"].push_back(plainRoute("added-" + std::to_string(number)));
    return writeConfiguration(moved);
}

void platform_fleet::refuseReads(std::size_t daemon, const std::string& topic)
{
    run([this, daemon, &topic] { m_store->refuseReads(storeAddress(daemon), topic); });
}

void platform_fleet::refuseNothing()
{
    run([this] { m_store->refuseReads({}, {}); });
}

void platform_fleet::setStoreAccess(std::size_t daemon, store_access access)
{
    run([this, daemon, access] { m_store->setAccess(storeAddress(daemon), access); });
}

void platform_fleet::writeReplicaEntries()
{
    m_engine->writeEntry();
    m_shop->writeEntry();
    for (const std::unique_ptr<replica_standin>& shop : m_moreShops)
        shop->writeEntry();
}

void platform_fleet::redirectReplicas(std::size_t daemon, const std::string& address)
{
    run([this, daemon, &address] {
        m_store->redirectReplicas(storeAddress(daemon), address);
        writeReplicaEntries();
    });
}

void platform_fleet::redirectNothing()
{
    run([this] {
        m_store->redirectReplicas({}, {});
        writeReplicaEntries();
    });
}

void platform_fleet::start(std::size_t daemon, const std::string& program)
{
    m_daemons[daemon] = std::make_unique<daemon_process>(m_folder.string(), m_settings[daemon], program);
}

void platform_fleet::restart(std::size_t daemon, const std::string& program)
{
    m_daemons[daemon]->killAndWait();
    start(daemon, program);
}

void platform_fleet::restartAlone(std::size_t daemon)
{
    m_settings[daemon]["gateway"].erase("gossip");
    restart(daemon);
}

void platform_fleet::killAll()
{
    for (const std::unique_ptr<daemon_process>& daemon : m_daemons) {
        if (daemon)
            daemon->signal(SIGKILL);
    }
    for (const std::unique_ptr<daemon_process>& daemon : m_daemons) {
        if (daemon)
            daemon->wait();
    }
}

bool platform_fleet::isReady(std::size_t daemon) const
{
    return send(readiness(daemon), "GET", "/api/readyz").status == 200;
}

void platform_fleet::waitReady(std::size_t daemon) const
{
    CHECK(waitUntil([this, daemon] { return isReady(daemon); }));
}

}
