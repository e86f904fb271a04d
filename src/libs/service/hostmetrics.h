#pragma once

#include <support/metrics.h>

#include <cstddef>
#include <string>

namespace ragwortreach {

class call_proxy;
class daemon_core;

/// Metrics of one daemon in the text format of Prometheus.
class host_metrics {
public:
    /// Updates all counters and gauges and returns them as text.
    std::string text(const daemon_core& core, const call_proxy& proxy, std::size_t openExchanges);

private:
    metrics m_metrics;
};

}
