#include "bytebudget.h"

#include <algorithm>

namespace ragwortreach {

byte_budget::byte_budget(std::size_t limit, std::size_t largestBody)
    : m_limit(limit)
    , m_largestBody(largestBody)
{
}

std::size_t byte_budget::largeLimit() const
{
    return std::max(m_limit / 4 * 3, m_largestBody);
}

bool byte_budget::admitsBody(std::size_t before, std::size_t after) const
{
    if (after <= before)
        return true;
    const std::size_t bound = after > maxSmallBytes ? largeLimit() : std::max(m_limit, m_largestBody);
    const std::size_t others = m_held - before;
    return others <= bound && after <= bound - others;
}

held_bytes::held_bytes(byte_budget& budget)
    : m_budget(budget)
{
}

held_bytes::~held_bytes()
{
    set(0);
}

void held_bytes::set(std::size_t bytes)
{
    m_budget.m_held = m_budget.m_held - m_bytes + bytes;
    m_bytes = bytes;
}

bool held_bytes::setBody(std::size_t bytes)
{
    if (!m_budget.admitsBody(m_bytes, bytes))
        return false;
    set(bytes);
    return true;
}

}
