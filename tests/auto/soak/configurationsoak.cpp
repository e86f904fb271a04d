#include "configurationsoak.h"

#include <client/testclient.h>
#include <gateway/bootclock.h>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <map>
#include <span>

namespace ragwortreach::Tests {

namespace {

    constexpr duration stepTime = std::chrono::milliseconds(50);
    constexpr duration callPause = std::chrono::milliseconds(40);
    /// Quiet time at the end, in which all daemons have to follow the newest configuration.
    constexpr duration calmTime = std::chrono::seconds(4);
    constexpr duration shortestChangeTime = std::chrono::seconds(2);
    constexpr duration longestChangeTime = std::chrono::seconds(5);
    constexpr duration shortestFaultPause = std::chrono::milliseconds(500);
    constexpr duration longestFaultPause = std::chrono::seconds(4);
    constexpr duration shortestFault = std::chrono::seconds(1);
    constexpr duration longestFault = std::chrono::seconds(14);
    constexpr duration longestStop = std::chrono::seconds(3);
    /// Routes that each second configuration adds: records of .3, 1 and 4 MB, and one that no daemon has the memory for.
    constexpr std::size_t largeChanges[] = { 2000, 6000, 24000, 60000 };
    /// Bytes a second of all answers to reads together while the store is slow.
    constexpr double slowReadRate = 4e6;

    std::string serviceOf(std::uint64_t version)
    {
        return version == 1 ? "shop" : "shop-" + std::to_string(version);
    }

    bool isLarge(std::uint64_t version)
    {
        return version % 2 == 0;
    }

    disturbance_kind kindOf(store_access access)
    {
        return access == store_access::Busy || access == store_access::TooManyRequests ? disturbance_kind::Refused : disturbance_kind::Unanswered;
    }

}

configuration_soak::configuration_soak(soak_options options)
    : m_options(std::move(options))
    , m_fleet(m_options.daemons)
    , m_random(m_options.seed)
{
    for (std::size_t daemon = 0; daemon < m_options.daemons; ++daemon) {
        m_fleet.setLogLevel(daemon, m_options.logLevel);
        if (m_options.memory > 0)
            m_fleet.setGatewaySetting(daemon, "memory_mb", m_options.memory);
        m_fleet.restart(daemon);
    }
    for (std::size_t daemon = 0; daemon < m_options.alone; ++daemon)
        m_fleet.restartAlone(m_options.daemons - 1 - daemon);
    for (std::size_t daemon = 0; !m_options.otherProgram.empty() && daemon < m_options.daemons / 2; ++daemon)
        m_fleet.restart(daemon, m_options.otherProgram);
    for (std::size_t daemon = 0; daemon < m_options.daemons; ++daemon)
        m_fleet.waitReady(daemon);
    m_judge.noteChange(m_version, bootNow());
}

duration configuration_soak::randomTime(duration shortest, duration longest)
{
    return duration(std::uniform_int_distribution<duration::rep>(shortest.count(), longest.count())(m_random));
}

std::size_t configuration_soak::randomDaemon()
{
    return std::uniform_int_distribution<std::size_t>(0, m_options.daemons - 1)(m_random);
}

bool configuration_soak::isDisturbed(std::size_t daemon) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [daemon](const open_fault& fault) { return fault.daemon == daemon && !fault.isSlow; });
}

/// Each version moves the route to a service of its own, so that the replica that gets a call tells the version.
void configuration_soak::change()
{
    ++m_version;
    m_fleet.addService(serviceOf(m_version));
    const std::size_t addedRoutes = isLarge(m_version) ? largeChanges[m_largeChanges++ % std::size(largeChanges)] : 0;
    m_sizes[m_version] = m_fleet.moveRewardRoute(static_cast<int>(m_version), serviceOf(m_version), addedRoutes);
    note("version " + std::to_string(m_version) + " of " + std::to_string(m_sizes[m_version]) + " bytes");
    m_judge.noteChange(m_version, bootNow());
}

void configuration_soak::turnAway(store_access access, std::size_t count)
{
    std::vector<std::size_t> daemons(m_options.daemons);
    for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon)
        daemons[daemon] = daemon;
    std::shuffle(daemons.begin(), daemons.end(), m_random);
    const instant until = bootNow() + randomTime(shortestFault, longestFault);
    for (const std::size_t daemon : std::span<const std::size_t>(daemons).first(count)) {
        if (isDisturbed(daemon))
            continue;
        const std::size_t number = m_judge.noteDisturbance({ daemon, kindOf(access), bootNow() });
        m_fleet.setStoreAccess(daemon, access);
        note("the store turns daemon " + std::to_string(daemon) + " away, kind " + std::to_string(static_cast<int>(access)));
        m_faults.push_back({ daemon, number, access, false, false, until });
    }
}

void configuration_soak::stopProcess()
{
    const std::size_t daemon = randomDaemon();
    if (isDisturbed(daemon))
        return;
    const std::size_t number = m_judge.noteDisturbance({ daemon, disturbance_kind::Process, bootNow() });
    m_fleet.daemon(daemon).signal(SIGSTOP);
    note("daemon " + std::to_string(daemon) + " stops");
    m_faults.push_back({ daemon, number, store_access::Serving, true, false, bootNow() + randomTime(shortestFault, longestStop) });
}

/// The store is slow for all daemons alike.
void configuration_soak::slowDown()
{
    const instant until = bootNow() + randomTime(shortestFault, longestFault);
    const auto isSlow = [](const open_fault& fault) { return fault.isSlow; };
    if (std::any_of(m_faults.begin(), m_faults.end(), isSlow))
        return;
    m_fleet.run([this] { m_fleet.store().setReadRate(slowReadRate); });
    note("the store is slow");
    for (std::size_t daemon = 0; daemon < m_options.daemons; ++daemon) {
        const std::size_t number = m_judge.noteDisturbance({ daemon, disturbance_kind::Slow, bootNow() });
        m_faults.push_back({ daemon, number, store_access::Serving, false, true, until });
    }
}

void configuration_soak::dropHistory()
{
    m_fleet.run([this] { m_fleet.store().compact(); });
    note("the store drops its history");
}

void configuration_soak::restart(std::size_t daemon)
{
    const std::size_t number = m_judge.noteDisturbance({ daemon, disturbance_kind::Process, bootNow() });
    note("daemon " + std::to_string(daemon) + " starts anew");
    m_fleet.restart(daemon);
    m_judge.noteEnd(number, bootNow());
}

/// Ends the next daemon of the other program, and starts the present one in its place.
void configuration_soak::replaceNext()
{
    if (m_options.otherProgram.empty() || m_replaced >= m_options.daemons / 2 || isDisturbed(m_replaced))
        return;
    restart(m_replaced++);
}

void configuration_soak::note(const std::string& event)
{
    m_events.push_back(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(bootNow().time_since_epoch()).count()) + ' ' + event);
}

void configuration_soak::beginFault()
{
    const std::size_t all = m_options.daemons;
    const std::size_t counts[] = { 1, all / 2, all };
    const store_access kinds[] = { store_access::Busy, store_access::TooManyRequests, store_access::Resetting, store_access::Silent };
    const std::size_t draw = std::uniform_int_distribution<std::size_t>(0, 8)(m_random);
    if (draw < std::size(kinds)) {
        turnAway(kinds[draw], counts[std::uniform_int_distribution<std::size_t>(0, std::size(counts) - 1)(m_random)]);
        return;
    }
    const std::size_t daemon = randomDaemon();
    if (draw == 4)
        stopProcess();
    else if (draw == 5 && !isDisturbed(daemon))
        restart(daemon);
    else if (draw == 6)
        dropHistory();
    else if (draw == 7)
        slowDown();
    else
        replaceNext();
}

void configuration_soak::end(const open_fault& fault)
{
    if (fault.isSlow)
        m_fleet.run([this] { m_fleet.store().setReadRate(0); });
    else if (fault.isStopped)
        m_fleet.daemon(fault.daemon).signal(SIGCONT);
    else
        m_fleet.setStoreAccess(fault.daemon, store_access::Serving);
    note(fault.isSlow ? std::string("the store is no longer slow") : "the fault at daemon " + std::to_string(fault.daemon) + " ends");
    m_judge.noteEnd(fault.number, bootNow());
}

void configuration_soak::endFaults(instant before)
{
    std::erase_if(m_faults, [this, before](const open_fault& fault) {
        if (fault.until > before)
            return false;
        end(fault);
        return true;
    });
}

/// Sends one call after the other to \a daemon, whether or not it is ready.
void configuration_soak::callAll(std::size_t daemon)
{
    for (int number = 0; !m_isOver; ++number) {
        judged_call call { daemon, std::to_string(daemon) + "-" + std::to_string(number), bootNow(), {} };
        call.status = send(m_fleet.caller(daemon), "POST", "/score/1", "linen", { { "Host", "lace.example" }, { "Request-Id", call.id }, { "Deadline-Ms", "1000" } }).status;
        call.answeredAt = bootNow();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_calls.push_back(std::move(call));
        }
        std::this_thread::sleep_for(callPause);
    }
}

void configuration_soak::findVersions()
{
    std::map<std::string, std::uint64_t> versions;
    for (std::uint64_t version = 1; version <= m_version; ++version) {
        for (const std::string& id : m_fleet.startedAt(serviceOf(version)))
            versions[id] = std::max(versions[id], version);
    }
    for (judged_call& call : m_calls) {
        const auto found = versions.find(call.id);
        if (found != versions.end())
            call.version = found->second;
    }
}

void configuration_soak::run()
{
    std::vector<std::thread> callers;
    for (std::size_t daemon = 0; daemon < m_options.daemons; ++daemon)
        callers.emplace_back([this, daemon] { callAll(daemon); });
    const instant end = bootNow() + m_options.time;
    instant nextChange = bootNow() + shortestChangeTime;
    instant nextFault = bootNow() + shortestFaultPause;
    while (bootNow() < end) {
        endFaults(bootNow());
        if (bootNow() >= nextChange) {
            change();
            nextChange = bootNow() + randomTime(shortestChangeTime, longestChangeTime);
        }
        if (bootNow() >= nextFault) {
            beginFault();
            nextFault = bootNow() + randomTime(shortestFaultPause, longestFaultPause);
        }
        std::this_thread::sleep_for(stepTime);
    }
    endFaults(instant::max());
    // No daemon has the memory for some of the large configurations.
    if (isLarge(m_version))
        change();
    std::this_thread::sleep_for(calmTime);
    m_isOver = true;
    for (std::thread& caller : callers)
        caller.join();
    findVersions();
}

std::size_t configuration_soak::largestInForce() const
{
    std::size_t largest = 0;
    for (const judged_call& call : m_calls) {
        const auto size = m_sizes.find(call.version.value_or(0));
        largest = std::max(largest, size == m_sizes.end() ? 0 : size->second);
    }
    return largest;
}

std::uint64_t configuration_soak::mostReadBytes()
{
    return m_fleet.run([this] {
        std::uint64_t most = 0;
        for (std::size_t daemon = 0; daemon < m_options.daemons; ++daemon)
            most = std::max(most, m_fleet.store().readBytes(m_fleet.storeAddress(daemon)));
        return most;
    });
}

std::vector<std::string> configuration_soak::daemonsBehind() const
{
    std::vector<std::string> behind;
    for (std::size_t daemon = 0; daemon < m_options.daemons; ++daemon) {
        const auto last = std::find_if(m_calls.rbegin(), m_calls.rend(), [daemon](const judged_call& call) { return call.daemon == daemon; });
        const std::string name = "daemon " + std::to_string(daemon);
        if (last == m_calls.rend())
            behind.push_back(name + " got no call");
        else if (last->version != m_version)
            behind.push_back(name + " does not follow version " + std::to_string(m_version) + "; its last call got " + std::to_string(last->status) + ", version " + std::to_string(last->version.value_or(0)));
    }
    return behind;
}

}
