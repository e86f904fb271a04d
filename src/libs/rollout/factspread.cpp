#include "factspread.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace ragwortreach {

namespace {

    /// A fact reaches all but about one of e^(log2 n + 2) daemons when each of n passes it on to log2 n + 2 others.
    constexpr std::size_t extraReceivers = 2;

    void addDeliveries(const std::string& vm, std::span<const fact> facts, std::vector<fact_delivery>& deliveries)
    {
        while (!facts.empty()) {
            const std::size_t count = std::min(facts.size(), fact_spread::maxFactsPerDelivery);
            deliveries.push_back({ vm, { facts.begin(), facts.begin() + static_cast<std::ptrdiff_t>(count) } });
            facts = facts.subspan(count);
        }
    }

}

fact_spread::fact_spread(std::uint64_t seed)
    : m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void fact_spread::add(const fact& news, bool isOwn)
{
    if (isOwn || m_vms.size() > smallFleet)
        m_news.push_back(news);
}

std::vector<std::string> fact_spread::chooseReceivers()
{
    if (m_vms.size() <= smallFleet)
        return m_vms;
    std::vector<std::string> receivers;
    const std::size_t count = static_cast<std::size_t>(std::bit_width(m_vms.size())) + extraReceivers;
    std::sample(m_vms.begin(), m_vms.end(), std::back_inserter(receivers), count, m_random);
    return receivers;
}

void fact_spread::deliverNews(std::vector<fact_delivery>& deliveries)
{
    for (const std::string& vm : chooseReceivers())
        addDeliveries(vm, m_news, deliveries);
    m_news.clear();
}

void fact_spread::deliverAll(std::span<const fact> all, std::vector<fact_delivery>& deliveries)
{
    const std::size_t index = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
    addDeliveries(m_vms[index], all, deliveries);
}

std::vector<fact_delivery> fact_spread::take(std::span<const fact> all, instant now)
{
    std::vector<fact_delivery> deliveries;
    if (m_vms.empty()) {
        m_news.clear();
        return deliveries;
    }
    if (!m_news.empty())
        deliverNews(deliveries);
    if (all.empty() || now < m_nextSync)
        return deliveries;
    m_nextSync = now + syncPeriod;
    deliverAll(all, deliveries);
    return deliveries;
}

}
