#include "routetable.h"

namespace ragwortreach {

bool route_table::setConfiguration(route_configuration configuration)
{
    if (configuration.version <= m_configuration.version)
        return false;
    clearIndex();
    m_configuration = std::move(configuration);
    m_tooLargeSince.reset();
    if (m_newestRead.version <= m_configuration.version)
        m_supersededAt.reset();
    index();
    return true;
}

bool route_table::noteRead(const configuration_read& read)
{
    if (read.version <= m_newestRead.version)
        return false;
    m_newestRead = read;
    if (read.version > m_configuration.version)
        m_supersededAt = std::min(m_supersededAt.value_or(read.readAt), read.readAt);
    return true;
}

void route_table::noteAllRead()
{
    m_isRefused = false;
    m_unreadSince.reset();
}

configuration_state route_table::state(instant now) const
{
    const auto isOver = [now](const std::optional<instant>& since, duration time) { return since && now - *since >= time; };
    if (!isReady())
        return configuration_state::Missing;
    if (isOver(m_supersededAt, maxSupersededTime))
        return configuration_state::Superseded;
    // What is too large may have been written at any time since the last confirmation.
    if (isOver(m_tooLargeSince, maxSupersededTime) || (m_tooLargeSince && isOver(m_confirmedAt, m_maxUnreadTime)))
        return configuration_state::TooLarge;
    if (m_isRefused && now - m_confirmedAt >= m_maxUnconfirmedTime)
        return configuration_state::Unconfirmed;
    const bool isConfirmedLongAgo = isOver(m_confirmedAt, m_maxUnconfirmedTime);
    if (isOver(m_unreadSince, isConfirmedLongAgo ? maxSupersededTime : m_maxUnreadTime))
        return configuration_state::Unconfirmed;
    return configuration_state::Current;
}

bool route_table::allows(configuration_use use, instant now) const
{
    const bool isCurrent = state(now) == configuration_state::Current;
    switch (use) {
    case configuration_use::ChooseService:
        return isCurrent;
    case configuration_use::DenyRoute:
        return isCurrent && now - m_confirmedAt <= maxAgeForDenial;
    case configuration_use::HonourKey:
        return isCurrent && (!m_keyRevocation || now - m_confirmedAt < *m_keyRevocation - keyMargin);
    }
    return false;
}

void route_table::clearIndex()
{
    m_byHost.clear();
    m_byName.clear();
    m_services.clear();
    m_publicBatchHosts.clear();
    m_callPriorities.clear();
    m_organisationPriorities.clear();
}

void route_table::index()
{
    for (const service_definition& service : m_configuration.services)
        m_services.insert({ service.name, &service });
    for (const route& entry : m_configuration.routes)
        index(entry);
    const std::span<const organisation> organisations = m_configuration.organisations ? std::span<const organisation>(*m_configuration.organisations) : std::span<const organisation>();
    for (const organisation& caller : organisations) {
        if (caller.priority)
            m_organisationPriorities.insert(*caller.priority);
    }
    m_organisations.setOrganisations(organisations);
}

void route_table::index(const route& entry)
{
    m_byHost[entry.host][entry.pathPrefix] = &entry;
    m_byName[entry.name] = &entry;
    const bool isRollout = entry.kind == route_kind::Rollout;
    if (isRollout && entry.isPublic)
        m_publicBatchHosts.insert(entry.host);
    if (isRollout)
        return;
    for (const route_target& target : entry.targets)
        m_callPriorities[target.service].insert(entry.priority);
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_byHost.find(host);
    if (prefixes == m_byHost.end())
        return nullptr;
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return found->second;
        if (slash == 0)
            return nullptr;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const route* route_table::findByName(std::string_view name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : found->second;
}

const service_definition* route_table::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

bool route_table::hasPublicBatches(std::string_view host) const
{
    return m_publicBatchHosts.contains(host);
}

std::size_t route_table::countMoreUrgent(const route& route, std::uint32_t priority) const
{
    std::set<std::uint32_t> priorities(m_organisationPriorities.begin(), m_organisationPriorities.lower_bound(priority));
    for (const route_target& target : route.targets) {
        const auto found = m_callPriorities.find(target.service);
        if (found != m_callPriorities.end())
            priorities.insert(found->second.begin(), found->second.lower_bound(priority));
    }
    return priorities.size();
}

std::vector<std::string> route_table::models() const
{
    std::set<std::string> names;
    for (const service_definition& service : m_configuration.services) {
        if (service.engine)
            names.insert(service.engine->models.begin(), service.engine->models.end());
    }
    return { names.begin(), names.end() };
}

const route_target* chooseTarget(const route& route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const route_target& target : route.targets)
        total += target.weight;
    if (total == 0)
        return nullptr;
    std::uint64_t rest = draw % total;
    for (const route_target& target : route.targets) {
        if (rest < target.weight)
            return &target;
        rest -= target.weight;
    }
    return nullptr;
}

}
