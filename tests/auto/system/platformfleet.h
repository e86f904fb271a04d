#pragma once

#include "daemonprocess.h"

#include <platform/replicastandin.h>
#include <platform/storestandin.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <filesystem>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ragwortreach::Tests {

/// Daemons on stand-ins of the users' platform: its log, one model engine and one plain replica.
class platform_fleet {
public:
    explicit platform_fleet(std::size_t daemons, bool hasConfiguration = true);
    ~platform_fleet();
    platform_fleet(const platform_fleet&) = delete;
    platform_fleet& operator=(const platform_fleet&) = delete;

    /// Runs \a action on the thread of the stand-ins.
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

    std::string caller(std::size_t daemon) const { return m_settings[daemon]["gateway"]["caller"]; }
    std::string readiness(std::size_t daemon) const { return m_settings[daemon]["gateway"]["readiness"]; }
    daemon_process& daemon(std::size_t daemon) { return *m_daemons[daemon]; }
    void start(std::size_t daemon);
    void killAll();
    bool isReady(std::size_t daemon) const;
    void waitReady(std::size_t daemon) const;
    /// Writes the configuration with \a version.
    void configure(int version);

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<store_standin> m_store;
    std::unique_ptr<replica_standin> m_engine;
    std::unique_ptr<replica_standin> m_shop;
    std::filesystem::path m_folder;
    std::vector<nlohmann::json> m_settings;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::thread m_thread;
};

}
