#include "peertable.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

peer_table::peer_table(std::string dataCentre, std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void peer_table::setPeers(std::vector<peer> peers)
{
    m_peers = std::move(peers);
    std::sort(m_peers.begin(), m_peers.end(), [](const peer& first, const peer& second) { return first.vm < second.vm; });
}

bool peer_table::merge(const access_statement& statement)
{
    access_statement& known = m_statements[statement.vm];
    if (!known.vm.empty() && statement.number <= known.number)
        return false;
    known = statement;
    return true;
}

std::vector<access_statement> peer_table::statements() const
{
    std::vector<access_statement> all;
    for (const std::pair<const std::string, access_statement>& item : m_statements)
        all.push_back(item.second);
    return all;
}

void peer_table::forgetOld(instant now)
{
    std::erase_if(m_statements, [this, now](const std::pair<const std::string, access_statement>& item) {
        const bool isOld = now - item.second.statedAt > statementRetention;
        return isOld && (item.second.hasAccess || !isPeer(item.first));
    });
    std::erase_if(m_failedAt, [now](const std::pair<const std::string, instant>& item) { return now - item.second > failurePause; });
}

void peer_table::noteFailed(std::string_view vm, instant now)
{
    m_failedAt[std::string(vm)] = now;
}

bool peer_table::isPeer(std::string_view vm) const
{
    const auto isBefore = [](const peer& candidate, std::string_view name) { return candidate.vm < name; };
    const std::vector<peer>::const_iterator found = std::lower_bound(m_peers.begin(), m_peers.end(), vm, isBefore);
    return found != m_peers.end() && found->vm == vm;
}

bool peer_table::saysLost(std::string_view vm) const
{
    const auto statement = m_statements.find(vm);
    return statement != m_statements.end() && !statement->second.hasAccess;
}

/// The time since the start of the VM grows across restarts of the process.
std::uint64_t peer_table::nextNumber(std::string_view vm, instant now) const
{
    const std::uint64_t time = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const auto statement = m_statements.find(vm);
    return statement == m_statements.end() ? time : std::max(time, statement->second.number + 1);
}

bool peer_table::hasFailed(const peer& candidate, instant now) const
{
    const auto failed = m_failedAt.find(candidate.vm);
    return failed != m_failedAt.end() && now - failed->second <= failurePause;
}

bool peer_table::hasPeerWithAccess() const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [this](const peer& candidate) { return !saysLost(candidate.vm); });
}

const peer* peer_table::choose(std::span<const std::string> excluded, instant now)
{
    std::vector<const peer*> near;
    std::vector<const peer*> far;
    for (const peer& candidate : m_peers) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), candidate.vm) != excluded.end();
        if (!isExcluded && !saysLost(candidate.vm) && !hasFailed(candidate, now))
            (candidate.dataCentre == m_dataCentre ? near : far).push_back(&candidate);
    }
    const std::vector<const peer*>& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return nullptr;
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
}

}
