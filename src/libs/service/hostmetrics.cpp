#include "hostmetrics.h"

#include "callproxy.h"

#include <core/cataloguereader.h>
#include <core/daemoncore.h>
#include <core/membership.h>
#include <support/processusage.h>

#include <array>

namespace ragwortreach {

namespace {

    constexpr metric_family decisions { metric_kind::Counter, "ragwortreach_decisions_total", "Decisions and outcomes of the daemon, by kind." };
    constexpr metric_family openExchangesGauge { metric_kind::Gauge, "ragwortreach_open_exchanges", "Requests of callers under way." };
    constexpr metric_family openCallsGauge { metric_kind::Gauge, "ragwortreach_open_calls", "Calls carried to upstreams at present." };
    constexpr metric_family bodyBytesCounter { metric_kind::Counter, "ragwortreach_answer_bytes_total", "Bytes of answers read from upstreams." };
    constexpr metric_family cataloguePosition { metric_kind::Gauge, "ragwortreach_catalogue_position", "Offset of the next catalogue record." };
    constexpr metric_family logDown { metric_kind::Gauge, "ragwortreach_log_down", "1 while the log cannot be reached." };
    constexpr metric_family membersGauge { metric_kind::Gauge, "ragwortreach_members", "Members of the view of this daemon, by state." };
    constexpr std::array<member_state, 4> memberStates { member_state::Alive, member_state::Suspect, member_state::Leaving, member_state::Failed };

    /// Raises a counter to \a total, which must not be below its value.
    void raiseTo(metrics& target, const metric_family& family, std::span<const metric_label> labels, std::uint64_t total)
    {
        target.add(family, labels, static_cast<double>(total) - target.value(family, labels));
    }

    void setMembers(metrics& target, const membership& view)
    {
        std::array<std::uint64_t, memberStates.size()> counts {};
        view.visitMembers([&counts](const member& item) { ++counts[static_cast<std::size_t>(item.state)]; });
        for (const member_state state : memberStates) {
            const std::array labels { metric_label { "state", toString(state) } };
            target.set(membersGauge, labels, static_cast<double>(counts[static_cast<std::size_t>(state)]));
        }
    }

}

std::string host_metrics::text(const daemon_core& core, const call_proxy& proxy, std::size_t openExchanges)
{
    for (std::size_t index = 0; index < daemonCounterCount; ++index) {
        const daemon_counter counter = static_cast<daemon_counter>(index);
        const std::array labels { metric_label { "kind", toString(counter) } };
        raiseTo(m_metrics, decisions, labels, core.counters().value(counter));
    }
    raiseTo(m_metrics, bodyBytesCounter, {}, proxy.counters().bodyBytes);
    m_metrics.set(openExchangesGauge, {}, static_cast<double>(openExchanges));
    m_metrics.set(openCallsGauge, {}, static_cast<double>(proxy.openCalls()));
    m_metrics.set(cataloguePosition, {}, static_cast<double>(core.catalogue().table().position()));
    m_metrics.set(logDown, {}, core.catalogue().isLogDown() ? 1 : 0);
    setMembers(m_metrics, core.members());
    setProcessUsageGauges(m_metrics);
    return m_metrics.prometheusText();
}

}
