#pragma once

#include "routeconfiguration.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace ragwortreach {

/// Routes in force, by host and longest path prefix. The version in force only grows.
class route_table {
public:
    /// Puts \a configuration in force; returns false for one that is not newer than the one in force.
    bool setConfiguration(route_configuration configuration);

    /// Whether any configuration is in force.
    bool isReady() const { return m_configuration.version != 0; }
    std::uint64_t version() const { return m_configuration.version; }
    const route_configuration& configuration() const { return m_configuration; }

    /// Route with the longest prefix of \a path among those of \a host; null when there is none.
    const route* find(std::string_view host, std::string_view path) const;
    /// Route called \a name; null when it was removed.
    const route* findByName(std::string_view name) const;
    const service_definition* service(std::string_view name) const;
    /// Names of all models of all services, sorted, each once.
    std::vector<std::string> models() const;

private:
    void index();

    route_configuration m_configuration;
    std::map<std::string, std::map<std::string, const route*, std::less<>>, std::less<>> m_byHost;
    std::map<std::string, const route*, std::less<>> m_byName;
};

/// Target of \a route for a request, drawn by the weights with \a draw, a number from a uniform distribution.
const route_target* chooseTarget(const route& route, std::uint64_t draw);

}
