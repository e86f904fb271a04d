#pragma once

#include "configurationread.h"
#include "organisationtable.h"
#include "routeconfiguration.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace ragwortreach {

/// Decision that is made by the configuration in force.
enum class configuration_use {
    /// Choose the service of a call, a batch, an item or a reward call by its route, or abandon an item.
    ChooseService,
    /// Tell a caller that there is no such route or key.
    DenyRoute,
    /// Admit a request by the key of an organisation.
    HonourKey,
};

/// What is known of the configuration that a daemon has.
enum class configuration_state {
    /// None has been read.
    Missing,
    /// It is in force as far as is known here.
    Current,
    /// Another daemon has read a newer one.
    Superseded,
    /// The newest one is larger than this daemon takes.
    TooLarge,
    /// The log lives, but has not shown for long whether there is a newer one.
    Unconfirmed,
};

/// Routes of the current configuration, looked up by host and longest path prefix. The version never decreases.
///
/// A daemon that cannot read the log does not know whether its configuration is still the newest. When the log is silent,
/// the routes that it has serve callers better than none. When others can read it, their configuration is in force: they
/// tell which version they have read, and this daemon stops to choose by an older one. When the log answers, but does not
/// serve this daemon, or has records of the operators that do not arrive here, it may serve the operators: this daemon then
/// chooses by what it has for a bounded time.
class route_table {
public:
    /// Time for which services are chosen by a configuration after another daemon has read a newer one, or this one has found
    /// that it is too large. The platform allows two seconds from the acknowledgement of a configuration; usually all daemons
    /// read it within a tenth of a second.
    static constexpr duration maxSupersededTime = std::chrono::seconds(1);
    /// A route may have been added since a configuration that was confirmed longer ago.
    static constexpr duration maxAgeForDenial = std::chrono::milliseconds(1200);
    /// Keys cease to be honoured by this much before the time after which a withdrawn one must not work any more, since
    /// clocks of VMs run at slightly different rates.
    static constexpr duration keyMargin = std::chrono::milliseconds(100);

    /// Sets the time from the last confirmation of the configuration for which services are chosen by it while the log
    /// refuses to confirm it. Beyond that time one that is known to be unread is waited for a second only.
    void setMaxUnconfirmedTime(duration time) { m_maxUnconfirmedTime = time; }

    /// Sets the time for which services are chosen by a configuration after this daemon has learned that the operators have
    /// written something that it has not read, and from the last confirmation if that is too large for this daemon.
    void setMaxUnreadTime(duration time) { m_maxUnreadTime = time; }

    /// Sets the time from the withdrawal of a key until no daemon honours it any more; without one, keys are honoured for as
    /// long as the configuration is used.
    void setKeyRevocation(std::optional<duration> time) { m_keyRevocation = time; }

    /// Replaces the configuration; returns false, without a change, unless \a configuration has a higher version.
    bool setConfiguration(route_configuration configuration);

    /// All configurations that the operators wrote until this time have been set; the epoch while none was read.
    instant confirmedAt() const { return m_confirmedAt; }
    void setConfirmedAt(instant confirmedAt) { m_confirmedAt = confirmedAt; }
    /// The log answered that it does not show this daemon the configuration.
    void noteRefused() { m_isRefused = true; }
    /// The operators have written something that this daemon has not read; \a knownAt: it learned so.
    void noteUnread(instant knownAt) { m_unreadSince = m_unreadSince.value_or(knownAt); }
    /// This daemon has read all that the operators wrote, whether or not it can use it.
    void noteAllRead();
    /// The newest configuration is larger than this daemon takes; \a knownAt: it learned so.
    void noteTooLarge(instant knownAt) { m_tooLargeSince = m_tooLargeSince.value_or(knownAt); }

    /// Notes which version this or another daemon has read; false when one as new was known to have been read.
    bool noteRead(const configuration_read& read);
    /// Newest version that any daemon is known to have read; version 0 while none is.
    const configuration_read& newestRead() const { return m_newestRead; }
    /// Newest version that this daemon has or that another one is known to have read.
    std::uint64_t newestVersion() const { return std::max(version(), m_newestRead.version); }
    configuration_state state(instant now) const;
    /// Whether the configuration is new enough for \a use.
    bool allows(configuration_use use, instant now) const;

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
    /// Organisation that holds \a key, or null.
    const organisation* findOrganisation(std::string_view key) const { return m_organisations.find(key); }
    /// Whether \a host has a route for batches that needs no key.
    bool hasPublicBatches(std::string_view host) const;
    /// Number of priorities that are more urgent than \a priority, among those of the calls that share the services of
    /// \a route.
    std::size_t countMoreUrgent(const route& route, std::uint32_t priority) const;
    /// Names of all models of all services, sorted, each once.
    std::vector<std::string> models() const;

private:
    void index();
    void index(const route& entry);
    void clearIndex();

    route_configuration m_configuration;
    instant m_confirmedAt {};
    bool m_isRefused = false;
    /// Empty while nothing is known to be unread.
    std::optional<instant> m_unreadSince;
    /// Empty unless the newest configuration is too large.
    std::optional<instant> m_tooLargeSince;
    duration m_maxUnconfirmedTime = std::chrono::seconds(7);
    duration m_maxUnreadTime = std::chrono::seconds(2);
    configuration_read m_newestRead;
    /// Time from which a newer configuration is known to be in force; empty while none is.
    std::optional<instant> m_supersededAt;
    // The keys of these refer to the configuration.
    std::unordered_map<std::string_view, std::unordered_map<std::string_view, const route*>> m_byHost;
    std::unordered_map<std::string_view, const route*> m_byName;
    std::unordered_map<std::string_view, const service_definition*> m_services;
    /// Hosts with routes for batches that need no key.
    std::set<std::string_view> m_publicBatchHosts;
    /// Priorities of the calls that go to each service, and those of the organisations.
    std::unordered_map<std::string_view, std::set<std::uint32_t>> m_callPriorities;
    std::set<std::uint32_t> m_organisationPriorities;
    std::optional<duration> m_keyRevocation;
    organisation_table m_organisations;
};

/// Target of \a route for a request, chosen in proportion to the weights. \a draw is a uniformly distributed number,
/// such as a random one or a hash. Null when the weights add up to 0.
const route_target* chooseTarget(const route& route, std::uint64_t draw);

}
