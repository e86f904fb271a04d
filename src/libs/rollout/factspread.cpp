#include "factspread.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

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

void fact_spread::setDaemons(std::vector<std::string> vms)
{
    const std::set<std::string> known(m_vms.begin(), m_vms.end());
    std::erase_if(m_joining, [&vms](const std::string& vm) { return std::find(vms.begin(), vms.end(), vm) == vms.end(); });
    std::copy_if(vms.begin(), vms.end(), std::inserter(m_joining, m_joining.end()), [&known](const std::string& vm) { return !known.contains(vm); });
    m_vms = std::move(vms);
}

void fact_spread::add(const fact& news, bool isOwn)
{
    if (isOwn || m_vms.size() > smallFleet)
        m_news.push_back(news);
    if (isOwn)
        m_repeats.push_back(news);
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

void fact_spread::addNews(std::span<const fact> news, std::vector<fact_delivery>& deliveries)
{
    if (news.empty())
        return;
    for (const std::string& vm : chooseReceivers())
        addDeliveries(vm, news, deliveries);
}

std::vector<fact_delivery> fact_spread::takeNews()
{
    std::vector<fact_delivery> deliveries;
    addNews(std::exchange(m_news, {}), deliveries);
    return deliveries;
}

void fact_spread::addRepeats(instant now, std::vector<fact_delivery>& deliveries)
{
    if (m_repeats.empty())
        return;
    if (!m_repeatAt)
        m_repeatAt = now + repeatDelay;
    if (now < *m_repeatAt)
        return;
    m_repeatAt.reset();
    addNews(std::exchange(m_repeats, {}), deliveries);
}

/// Adds the next maxFactsPerSync of \a all, for one random daemon.
void fact_spread::addSync(std::span<const fact> all, std::vector<fact_delivery>& deliveries)
{
    std::vector<fact> part;
    for (std::size_t count = 0; count < std::min(all.size(), maxFactsPerSync); ++count)
        part.push_back(all[m_syncPosition++ % all.size()]);
    const std::size_t index = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
    addDeliveries(m_vms[index], part, deliveries);
}

bool fact_spread::isSyncDue(instant now) const
{
    return now >= m_nextSync || !m_joining.empty() || !m_repeats.empty();
}

std::vector<fact_delivery> fact_spread::takeSync(std::span<const fact> all, instant now)
{
    std::vector<fact_delivery> deliveries;
    addRepeats(now, deliveries);
    const std::set<std::string> joining = std::exchange(m_joining, {});
    for (const std::string& vm : joining) {
        if (std::bernoulli_distribution(std::min(1.0, joiningSenders / static_cast<double>(m_vms.size())))(m_random))
            addDeliveries(vm, all.first(std::min(all.size(), maxFactsForJoining)), deliveries);
    }
    if (now < m_nextSync)
        return deliveries;
    m_nextSync = now + syncPeriod;
    if (!all.empty() && !m_vms.empty())
        addSync(all, deliveries);
    return deliveries;
}

}
