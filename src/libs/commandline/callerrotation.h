#pragma once

#include <net/endpoint.h>

#include <cstddef>
#include <utility>
#include <vector>

namespace ragwortreach {

/// Callers' ports in turn.
class caller_rotation {
public:
    /// \a callers must not be empty.
    explicit caller_rotation(std::vector<endpoint> callers, std::size_t first = 0)
        : m_callers(std::move(callers))
        , m_next(first)
    {
    }

    const endpoint& current() const { return m_callers[m_next % m_callers.size()]; }
    void advance() { ++m_next; }

private:
    std::vector<endpoint> m_callers;
    std::size_t m_next;
};

}
