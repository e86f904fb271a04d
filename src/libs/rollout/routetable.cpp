#include "routetable.h"

#include <algorithm>
#include <set>

namespace ragwortreach {

bool route_table::setConfiguration(route_configuration configuration)
{
    if (configuration.version <= m_configuration.version)
        return false;
    m_configuration = std::move(configuration);
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

configuration_state route_table::state(instant now) const
{
    if (!isReady())
        return configuration_state::Missing;
    if (m_supersededAt && now - *m_supersededAt >= maxSupersededTime)
        return configuration_state::Superseded;
    if (m_isRefused && now - m_confirmedAt >= m_maxUnconfirmedTime)
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

void route_table::index()
{
    m_byHost.clear();
    m_byName.clear();
    for (const route& entry : m_configuration.routes) {
        m_byHost[entry.host][entry.pathPrefix] = &entry;
        m_byName[entry.name] = &entry;
    }
    m_organisations.setOrganisations(m_configuration.organisations ? std::span<const organisation>(*m_configuration.organisations) : std::span<const organisation>());
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
    for (const service_definition& service : m_configuration.services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

bool route_table::hasPublicBatches(std::string_view host) const
{
    return std::any_of(m_configuration.routes.begin(), m_configuration.routes.end(), [host](const route& route) { return route.isPublic && route.kind == route_kind::Rollout && route.host == host; });
}

std::size_t route_table::countMoreUrgent(const route& route, std::uint32_t priority) const
{
    const auto isShared = [&route](const route_target& target) {
        return std::any_of(route.targets.begin(), route.targets.end(), [&target](const route_target& own) { return own.service == target.service; });
    };
    std::set<std::uint32_t> priorities;
    for (const ragwortreach::route& other : m_configuration.routes) {
        if (other.priority < priority && other.kind != route_kind::Rollout && std::any_of(other.targets.begin(), other.targets.end(), isShared))
            priorities.insert(other.priority);
    }
    if (!m_configuration.organisations)
        return priorities.size();
    for (const organisation& caller : *m_configuration.organisations) {
        if (caller.priority && *caller.priority < priority)
            priorities.insert(*caller.priority);
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
