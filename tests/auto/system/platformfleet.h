#pragma once

#include "daemonprocess.h"

#include <client/testclient.h>
#include <platform/dutystandin.h>
#include <platform/replicastandin.h>
#include <platform/storestandin.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <filesystem>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace ragwortreach::Tests {

/// Test fixture of daemons that run as gateways of the users' platform (setting "gateway"), with stand-ins of its
/// log, one model engine and one plain replica (the shop). The stand-ins run on a thread of their own.
class platform_fleet {
public:
    /// Starts everything. With a configuration, waits until all daemons are ready.
    explicit platform_fleet(std::size_t daemons, bool hasConfiguration = true, std::chrono::seconds stopTime = std::chrono::seconds(20));
    ~platform_fleet();
    platform_fleet(const platform_fleet&) = delete;
    platform_fleet& operator=(const platform_fleet&) = delete;

    /// Runs \a action on the thread of the stand-ins and returns its result. The stand-ins may be used in no other way.
    template <typename function>
    auto run(function action) -> decltype(action())
    {
        std::packaged_task<decltype(action())()> task(std::move(action));
        std::future<decltype(action())> result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    store_standin& store() { return *m_store; }
    replica_standin& engine() { return *m_engine; }
    replica_standin& shop() { return *m_shop; }
    duty_standin& duties() { return *m_duties; }
    /// Adds a model engine with the software version "v2"; the first one has "v1".
    void addEngine();
    /// Adds \a count replicas of the shop.
    void addShops(int count);
    /// Adds the service \a name with one plain replica.
    void addService(const std::string& name);
    /// Ids of the requests that were started at the replica of a service that addService() added, or of "shop".
    std::set<std::string> startedAt(const std::string& service);
    /// Number of runs at the replicas that addShops() added.
    int runsAtMoreShops();
    /// Number of times that requests ended replicas of the shop.
    int shopCrashes();

    /// Address at which a daemon reaches the store.
    std::string storeAddress(std::size_t daemon) const { return m_settings[daemon]["gateway"]["store"]; }
    /// Address of the caller port of a daemon.
    std::string caller(std::size_t daemon) const { return m_settings[daemon]["gateway"]["caller"]; }
    /// Address of the readiness port of a daemon.
    std::string readiness(std::size_t daemon) const { return m_settings[daemon]["gateway"]["readiness"]; }
    /// Text of the metrics of a daemon.
    std::string metrics(std::size_t daemon) const;
    /// Address that the settings "gateway" of a daemon have under \a key.
    std::string address(std::size_t daemon, const std::string& key) const { return m_settings[daemon]["gateway"][key]; }
    daemon_process& daemon(std::size_t daemon) { return *m_daemons[daemon]; }
    /// Index of the daemon on \a vm; the number of daemons when there is none.
    std::size_t daemonOn(const std::string& vm) const;
    /// Reply of a daemon to the request \a id to the shop with \a key, or without one when it is empty.
    http_reply callShop(std::size_t daemon, const std::string& id, const std::string& key, header_map headers = {}) const;
    /// Starts \a daemon, from \a program if that is not empty.
    void start(std::size_t daemon, const std::string& program = {});
    /// Kills \a daemon and starts it again, from \a program if that is not empty.
    void restart(std::size_t daemon, const std::string& program = {});
    /// Kills \a daemon and starts it again as one that sees no other daemon.
    void restartAlone(std::size_t daemon);
    /// Kills all daemons with SIGKILL and waits for their end.
    void killAll();
    /// Whether /api/readyz of a daemon has status 200.
    bool isReady(std::size_t daemon) const;
    void waitReady(std::size_t daemon) const;
    /// Writes the configuration of routes and services, with \a version, to the store. \a addedRollouts: names of rollout
    /// routes besides "lots", each with its name as its path prefix.
    void configure(int version, const std::vector<std::string>& addedRollouts = {});
    /// Sets a key of the settings "gateway" of \a daemon, which takes effect at its next start.
    void setGatewaySetting(std::size_t daemon, const std::string& name, const nlohmann::json& value) { m_settings[daemon]["gateway"][name] = value; }
    /// Sets the lowest level of the lines that \a daemon writes, which takes effect at its next start.
    void setLogLevel(std::size_t daemon, const std::string& level) { m_settings[daemon]["log_level"] = level; }
    /// Writes the configuration with \a organisations, in the platform's format, with \a version, to the store.
    void configureOrganisations(int version, const nlohmann::json& organisations);
    /// Writes the configuration with the bounds \a scaling, in the platform's format, for the replicas of the shop, with \a version, to the store.
    void configureScaling(int version, const nlohmann::json& scaling);
    /// Writes the configuration with \a limits of what callers send, in the platform's format, with \a version, to the store.
    void configureLimits(int version, const nlohmann::json& limits);
    /// Writes the configuration without the route "rewards", with \a version, to the store.
    void dropRewardRoute(int version);
    /// Writes the configuration with the route "rewards" to \a service and \a addedRoutes routes besides, with \a version, to
    /// the store. Returns its size in bytes.
    std::size_t moveRewardRoute(int version, const std::string& service, std::size_t addedRoutes = 0);
    /// From now on the store refuses \a daemon, and no other one, to read the configuration.
    void refuseConfiguration(std::size_t daemon) { refuseReads(daemon, "keyed.op"); }
    /// From now on the store refuses \a daemon, and no other one, to read \a topic; all topics when it is empty.
    void refuseReads(std::size_t daemon, const std::string& topic);
    void refuseNothing();
    /// How the store treats all requests of \a daemon from now on.
    void setStoreAccess(std::size_t daemon, store_access access);
    /// From now on \a daemon, and no other one, finds \a address in place of all replicas.
    void redirectReplicas(std::size_t daemon, const std::string& address);
    /// From now on all daemons find the replicas.
    void redirectNothing();

private:
    /// Returns the size of the record in bytes.
    std::size_t writeConfiguration(const nlohmann::json& configuration);
    void writeReplicaEntries();

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<store_standin> m_store;
    std::unique_ptr<duty_standin> m_duties;
    std::unique_ptr<replica_standin> m_engine;
    std::unique_ptr<replica_standin> m_addedEngine;
    std::unique_ptr<replica_standin> m_shop;
    std::vector<std::unique_ptr<replica_standin>> m_moreShops;
    std::map<std::string, std::unique_ptr<replica_standin>> m_services;
    std::filesystem::path m_folder;
    std::vector<nlohmann::json> m_settings;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::thread m_thread;
};

}
