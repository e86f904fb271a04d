#include "accesswatch.h"

#include "factexchange.h"

#include <net/endpoint.h>
#include <support/log.h>
#include <support/logline.h>

#include <boost/asio/io_context.hpp>

#include <utility>

namespace ragwortreach {

namespace {

    using boost::asio::ip::tcp;

    constexpr duration connectTimeout = std::chrono::milliseconds(300);
    /// Least time between two statements. Each goes to all daemons and may make them check their own paths, so access that
    /// comes and goes must not become as many messages.
    constexpr duration minStatementInterval = std::chrono::seconds(1);

}

/// Connection to a replica that is closed as soon as it is established.
struct access_watch::check {
    check(boost::asio::io_context& context, std::string checkedReplica)
        : replica(std::move(checkedReplica))
        , startedAt(bootNow())
        , socket(context)
        , timer(context, connectTimeout)
    {
    }

    std::string replica;
    instant startedAt;
    tcp::socket socket;
    boot_timer timer;
};

access_watch::access_watch(boost::asio::io_context& context, fact_exchange& facts, const replica_pool& pool, std::string vm, log& log)
    : m_context(context)
    , m_facts(facts)
    , m_pool(pool)
    , m_vm(std::move(vm))
    , m_log(log)
{
}

access_watch::~access_watch() = default;

bool access_watch::hasAccess() const
{
    return !m_facts.access().isLost();
}

bool access_watch::isAccessDoubtful() const
{
    return m_facts.access().isDoubtful();
}

std::optional<peer> access_watch::choosePeer(std::span<const std::string> excluded)
{
    const peer* const chosen = m_facts.peers().choose(excluded, bootNow());
    return chosen ? std::optional<peer>(*chosen) : std::nullopt;
}

void access_watch::notePeerFailed(std::string_view vm)
{
    m_facts.peers().noteFailed(vm, bootNow());
}

bool access_watch::shouldLeaveWork() const
{
    return !hasAccess() && m_facts.peers().hasPeerWithAccess();
}

void access_watch::tick()
{
    const instant now = bootNow();
    m_facts.access().setListed(m_pool.replicas().size());
    for (const replica_instance& replica : m_facts.access().takeChecks(m_pool, now))
        start(replica);
    tellOthers(now);
}

void access_watch::start(const replica_instance& replica)
{
    const replica_pool::replica* const listed = m_pool.find(replica.id);
    const endpoint address = parseEndpoint(listed ? listed->entry.address : std::string()).value_or(endpoint {});
    boost::system::error_code invalid;
    const boost::asio::ip::address host = boost::asio::ip::make_address(address.host, invalid);
    if (invalid) {
        m_facts.access().noteCheckFailure(replica.id, access_failure::Refused, bootNow());
        return;
    }
    ++m_counters.checks;
    const std::uint64_t number = ++m_lastCheck;
    check& started = *m_checks.emplace(number, std::make_unique<check>(m_context, replica.id)).first->second;
    started.socket.async_connect(tcp::endpoint(host, address.port), [this, number](const boost::system::error_code& error) {
        if (error != boost::asio::error::operation_aborted)
            finish(number, error ? std::optional<access_failure>(access_failure::Refused) : std::nullopt);
    });
    started.timer.async_wait([this, number](const boost::system::error_code& error) {
        if (!error)
            finish(number, access_failure::ConnectTimedOut);
    });
}

void access_watch::finish(std::uint64_t number, std::optional<access_failure> failure)
{
    const auto found = m_checks.find(number);
    if (found == m_checks.end())
        return;
    const std::unique_ptr<check> ended = std::move(found->second);
    m_checks.erase(found);
    const instant now = bootNow();
    if (failure)
        m_facts.access().noteCheckFailure(ended->replica, *failure, ended->startedAt);
    else
        m_facts.access().noteReached(now);
    tellOthers(now);
}

/// A daemon that must not route by its configuration refuses all calls, as one that has no access does.
///
/// States what is not known of this VM: its last statement is not true any more, may be one of a process before this one, or
/// is so old that this daemon has forgotten it.
void access_watch::tellOthers(instant now)
{
    const bool isLost = !hasAccess();
    const bool takesCalls = !isLost && m_mayRoute;
    const peer_table& peers = m_facts.peers();
    if (takesCalls != peers.saysLost(m_vm) || now - m_saidAt < minStatementInterval)
        return;
    m_saidAt = now;
    m_facts.learnFromAnswer(access_statement { m_vm, takesCalls, peers.nextNumber(m_vm, now), now });
    if (isLost == std::exchange(m_wasLost, isLost))
        return;
    m_counters.losses += isLost ? 1 : 0;
    m_log.write(log_line(log_level::Warning, isLost ? "access_lost" : "access_regained").with("checks", m_counters.checks));
}

}
