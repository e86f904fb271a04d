#pragma once

#include "configurationjudge.h"

#include <system/platformfleet.h>

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace ragwortreach::Tests {

struct soak_options {
    std::uint64_t seed = 8;
    std::size_t daemons = 5;
    /// Of these, daemons that see no other one.
    std::size_t alone = 1;
    std::chrono::seconds time { 30 };
    /// Memory of each daemon in MiB; without a bound when it is 0.
    std::size_t memory = 120;
    /// Program that the first half of the daemons runs until it is replaced, one daemon after the other; none when empty.
    std::string otherProgram {};
    /// Lowest level of the lines that the daemons write to standard output.
    std::string logLevel = "error";
};

/// Real daemons whose configuration changes every few seconds while their log and their processes fail in series and
/// overlapping, and callers that send calls to each of them all the while.
class configuration_soak {
public:
    explicit configuration_soak(soak_options options);

    /// Runs to the end. All that failed is well again in the last seconds.
    void run();
    /// Calls in the order in which they were sent to each daemon.
    const std::vector<judged_call>& calls() const { return m_calls; }
    const configuration_judge& judge() const { return m_judge; }
    /// A line for each daemon whose last call did not go by the newest version.
    std::vector<std::string> daemonsBehind() const;
    /// What was done to the store and the daemons, a line each with its time in milliseconds since the boot.
    const std::vector<std::string>& events() const { return m_events; }
    /// Size in bytes of the largest configuration that calls went by.
    std::size_t largestInForce() const;
    /// Bytes of the store's answers to reads, of the daemon that got most.
    std::uint64_t mostReadBytes();

private:
    struct open_fault {
        std::size_t daemon = 0;
        std::size_t number = 0;
        store_access access = store_access::Serving;
        bool isStopped = false;
        bool isSlow = false;
        instant until {};
    };

    duration randomTime(duration shortest, duration longest);
    std::size_t randomDaemon();
    void change();
    void beginFault();
    void turnAway(store_access access, std::size_t count);
    void stopProcess();
    void slowDown();
    void dropHistory();
    void restart(std::size_t daemon);
    void replaceNext();
    void note(const std::string& event);
    void endFaults(instant before);
    void end(const open_fault& fault);
    bool isDisturbed(std::size_t daemon) const;
    void callAll(std::size_t daemon);
    void findVersions();

    soak_options m_options;
    platform_fleet m_fleet;
    std::mt19937_64 m_random;
    configuration_judge m_judge;
    std::uint64_t m_version = 1;
    std::size_t m_largeChanges = 0;
    /// Size in bytes of each version of the configuration.
    std::map<std::uint64_t, std::size_t> m_sizes;
    std::vector<open_fault> m_faults;
    std::vector<std::string> m_events;
    std::size_t m_replaced = 0;
    std::atomic<bool> m_isOver = false;
    std::mutex m_mutex;
    std::vector<judged_call> m_calls;
};

}
