#include "crashwatch.h"

#include "bootclock.h"
#include "factexchange.h"

#include <net/endpoint.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    using boost::asio::ip::tcp;

    constexpr std::chrono::milliseconds connectTimeout { 300 };
    /// A process that is ending may close its connections before its listening socket.
    constexpr std::chrono::milliseconds secondTryDelay { 30 };
    /// A replica that did not answer in time may be about to run the request, and end.
    constexpr std::chrono::milliseconds timedOutDelay { 200 };

}

/// Connection attempt to a replica, and the requests whose attempts there were interrupted.
struct crash_watch::probe {
    struct interrupted_request {
        request_digest digest;
        interruption kind = interruption::Broken;
    };

    probe(boost::asio::io_context& context, tcp::endpoint replicaAddress)
        : address(std::move(replicaAddress))
        , socket(context)
        , timer(context)
    {
    }

    tcp::endpoint address;
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::vector<interrupted_request> requests;
    instant interruptedAt {};
    /// Whether a connection that is accepted is followed by another try.
    bool hasSecondTry = false;
};

crash_watch::crash_watch(boost::asio::io_context& context, fact_exchange& facts)
    : m_context(context)
    , m_facts(facts)
{
}

crash_watch::~crash_watch() = default;

request_standing crash_watch::standingOf(const request_digest& request) const
{
    const request_standing known = m_facts.quarantine().standingOf(request, bootNow());
    const bool isPending = std::any_of(m_probes.begin(), m_probes.end(), [&request](const std::pair<const replica_instance, std::unique_ptr<probe>>& item) {
        const std::vector<probe::interrupted_request>& requests = item.second->requests;
        return std::any_of(requests.begin(), requests.end(), [&request](const probe::interrupted_request& interrupted) {
            return interrupted.digest == request && interrupted.kind == interruption::Broken;
        });
    });
    if (!isPending)
        return known;
    return known == request_standing::Clear ? request_standing::Suspected : std::max(known, request_standing::Isolated);
}

bool crash_watch::isFleetInSight() const
{
    return m_facts.isFleetInSight();
}

void crash_watch::noteInterrupted(const request_digest& request, const replica_instance& replica, const std::string& address, interruption kind)
{
    const auto found = m_probes.find(replica);
    if (found != m_probes.end()) {
        found->second->requests.push_back({ request, kind });
        return;
    }
    const endpoint target = parseEndpoint(address).value_or(endpoint {});
    boost::system::error_code error;
    const boost::asio::ip::address host = boost::asio::ip::make_address(target.host, error);
    if (error)
        return;
    std::unique_ptr<probe> added = std::make_unique<probe>(m_context, tcp::endpoint(host, target.port));
    added->requests.push_back({ request, kind });
    added->interruptedAt = bootNow();
    added->hasSecondTry = kind == interruption::Broken;
    m_probes.emplace(replica, std::move(added));
    if (kind == interruption::Broken)
        connect(replica);
    else
        connectAfter(replica, timedOutDelay);
}

void crash_watch::noteAnswered(const request_digest& request)
{
    if (m_facts.quarantine().isBlamed(request))
        m_facts.learnFromAnswer(request_success { request, bootNow() });
}

void crash_watch::connect(const replica_instance& replica)
{
    probe& current = *m_probes.at(replica);
    current.socket = tcp::socket(m_context);
    current.socket.async_connect(current.address, [this, replica](const boost::system::error_code& error) {
        if (error != boost::asio::error::operation_aborted)
            onConnected(replica, error);
    });
    current.timer.expires_after(connectTimeout);
    current.timer.async_wait([this, replica](const boost::system::error_code& error) {
        if (!error)
            finish(replica, false);
    });
}

void crash_watch::connectAfter(const replica_instance& replica, std::chrono::milliseconds delay)
{
    boost::asio::steady_timer& timer = m_probes.at(replica)->timer;
    timer.expires_after(delay);
    timer.async_wait([this, replica](const boost::system::error_code& error) {
        if (!error)
            connect(replica);
    });
}

void crash_watch::onConnected(const replica_instance& replica, const boost::system::error_code& error)
{
    const auto found = m_probes.find(replica);
    if (found == m_probes.end())
        return;
    probe& current = *found->second;
    if (error || !std::exchange(current.hasSecondTry, false)) {
        finish(replica, error == boost::asio::error::connection_refused);
        return;
    }
    connectAfter(replica, secondTryDelay);
}

void crash_watch::finish(const replica_instance& replica, bool hasEnded)
{
    const auto found = m_probes.find(replica);
    if (found == m_probes.end())
        return;
    const std::unique_ptr<probe> ended = std::move(found->second);
    m_probes.erase(found);
    if (!hasEnded)
        return;
    for (const probe::interrupted_request& request : ended->requests)
        m_facts.learnFromAnswer(request_crash { request.digest, replica, ended->interruptedAt });
}

}
