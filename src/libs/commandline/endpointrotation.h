#pragma once

#include <net/endpoint.h>

#include <cstddef>
#include <utility>
#include <vector>

namespace ragwortreach {

/// Iterates over endpoints round robin, such as the callers' ports of several daemons.
class endpoint_rotation {
public:
    /// Starts at the index \a first modulo the number of endpoints. \a endpoints must not be empty.
    explicit endpoint_rotation(std::vector<endpoint> endpoints, std::size_t first = 0)
        : m_endpoints(std::move(endpoints))
        , m_next(first)
    {
    }

    const endpoint& current() const { return m_endpoints[m_next % m_endpoints.size()]; }
    void advance() { ++m_next; }

private:
    std::vector<endpoint> m_endpoints;
    std::size_t m_next;
};

}
