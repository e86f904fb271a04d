#pragma once

#include "accessstatement.h"

#include <core/instant.h>

#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Another daemon that takes calls which this one passes on.
struct peer {
    std::string vm;
    std::string dataCentre;
    /// "ip:port".
    std::string address;
};

/// The other daemons, and what they say of their access to replicas.
///
/// One of them is chosen at random, so that the calls of a VM that is cut off are spread over the others: those of the own
/// data centre first. A daemon that says that it has no access is not chosen until it says otherwise, and one that failed is
/// left out for a while.
class peer_table {
public:
    /// Time after which the statement of a daemon that is not alive any more is forgotten.
    static constexpr duration statementRetention = std::chrono::seconds(10);
    static constexpr duration failurePause = std::chrono::seconds(1);

    explicit peer_table(std::string dataCentre, std::uint64_t seed);

    /// Sets the daemons that are alive, except this one.
    void setPeers(std::vector<peer> peers);
    /// Notes what a daemon says of itself; false when something as new was known.
    bool merge(const access_statement& statement);
    /// Whether the last statement of \a vm says that it has no access.
    bool saysLost(std::string_view vm) const;
    /// Number for the next statement of \a vm, which may have made some before its process started.
    std::uint64_t nextNumber(std::string_view vm, instant now) const;
    /// All statements, for daemons that start later.
    std::vector<access_statement> statements() const;
    void forgetOld(instant now);

    /// \a vm did not answer, or refused since it reaches no replica.
    void noteFailed(std::string_view vm, instant now);
    /// Daemon to pass a call on to, none of \a excluded; null when there is none.
    const peer* choose(std::span<const std::string> excluded, instant now);
    /// Whether a daemon is alive that does not say that it has no access. It may have failed a short time ago.
    bool hasPeerWithAccess() const;

private:
    bool isPeer(std::string_view vm) const;
    bool hasFailed(const peer& candidate, instant now) const;

    std::string m_dataCentre;
    /// By the names of their VMs.
    std::vector<peer> m_peers;
    std::map<std::string, access_statement, std::less<>> m_statements;
    std::map<std::string, instant, std::less<>> m_failedAt;
    std::minstd_rand m_random;
};

}
