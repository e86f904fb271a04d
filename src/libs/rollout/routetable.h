#pragma once

#include "routeconfiguration.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace ragwortreach {

/// Routes of the current configuration, looked up by host and longest path prefix. The version never decreases.
class route_table {
public:
    /// Replaces the configuration; returns false, without a change, unless \a configuration has a higher version.
    bool setConfiguration(route_configuration configuration);

    /// All configurations that the operators wrote until this time have been set; the epoch while none was read.
    instant confirmedAt() const { return m_confirmedAt; }
    void setConfirmedAt(instant confirmedAt) { m_confirmedAt = confirmedAt; }

    /// Whether any configuration was set.
    bool isReady() const { return m_configuration.version != 0; }
    std::uint64_t version() const { return m_configuration.version; }
    const route_configuration& configuration() const { return m_configuration; }

    /// Route of \a host with the longest prefix of \a path, or null.
    const route* find(std::string_view host, std::string_view path) const;
    /// Route called \a name, or null.
    const route* findByName(std::string_view name) const;
    /// Service called \a name, or null.
    const service_definition* service(std::string_view name) const;
    /// Number of priorities that are more urgent than that of \a route, among the routes whose calls share its services.
    std::size_t countMoreUrgent(const route& route) const;
    /// Names of all models of all services, sorted, each once.
    std::vector<std::string> models() const;

private:
    void index();

    route_configuration m_configuration;
    instant m_confirmedAt {};
    std::map<std::string, std::map<std::string, const route*, std::less<>>, std::less<>> m_byHost;
    std::map<std::string, const route*, std::less<>> m_byName;
};

/// Target of \a route for a request, chosen in proportion to the weights. \a draw is a uniformly distributed number,
/// such as a random one or a hash. Null when the weights add up to 0.
const route_target* chooseTarget(const route& route, std::uint64_t draw);

}
