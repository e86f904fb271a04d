#pragma once

#include "rolloutfixture.h"

#include <rollout/factspread.h>

#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace ragwortreach {

/// Fleet of daemons that tell each other facts, on virtual time. Messages take 2 ms and are lost at random.
///
/// \c knowledge_type is what a daemon makes of the facts. It has merge(fact, now), which returns whether the fact was news,
/// and facts(), which returns all that it knows.
template <typename knowledge_type>
class fact_network {
public:
    fact_network(std::size_t size, unsigned lostPerThousand)
        : m_lost(lostPerThousand)
    {
        for (std::size_t index = 0; index < size; ++index)
            m_daemons.push_back(std::make_unique<daemon>(index));
        for (std::size_t index = 0; index < size; ++index)
            m_daemons[index]->spread.setDaemons(others(index));
    }

    std::size_t size() const { return m_daemons.size(); }
    instant now() const { return m_now; }
    knowledge_type& knowledge(std::size_t index) { return m_daemons[index]->known; }

    /// The daemon learns \a item by itself.
    void learn(std::size_t index, const fact& item)
    {
        if (m_daemons[index]->known.merge(item, m_now))
            m_daemons[index]->spread.add(item, true);
    }

    /// The daemon starts anew and knows nothing.
    void restart(std::size_t index)
    {
        m_daemons[index] = std::make_unique<daemon>(index);
        m_daemons[index]->spread.setDaemons(others(index));
        for (const std::unique_ptr<daemon>& item : m_daemons) {
            std::vector<std::string> vms = others(item->index);
            std::vector<std::string> without = vms;
            std::erase(without, std::to_string(index));
            item->spread.setDaemons(std::move(without));
            item->spread.setDaemons(std::move(vms));
        }
    }

    void run(duration time)
    {
        constexpr duration step = std::chrono::milliseconds(1);
        for (const instant end = m_now + time; m_now < end; m_now += step) {
            deliver();
            for (const std::unique_ptr<daemon>& item : m_daemons)
                flush(*item);
        }
    }

private:
    struct daemon {
        explicit daemon(std::size_t number)
            : index(number)
            , spread(number + 1)
        {
        }
        std::size_t index;
        knowledge_type known;
        fact_spread spread;
    };

    std::vector<std::string> others(std::size_t index) const
    {
        std::vector<std::string> vms;
        for (std::size_t other = 0; other < m_daemons.size(); ++other) {
            if (other != index)
                vms.push_back(std::to_string(other));
        }
        return vms;
    }

    void flush(daemon& item)
    {
        constexpr duration latency = std::chrono::milliseconds(2);
        const std::vector<fact> all = item.known.facts();
        for (const std::vector<fact_delivery>& deliveries : { item.spread.takeNews(), item.spread.takeSync(all, m_now) }) {
            for (const fact_delivery& delivery : deliveries) {
                if (m_random() % 1000 >= m_lost)
                    m_messages.emplace(m_now + latency, delivery);
            }
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const fact_delivery message = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            daemon& receiving = *m_daemons[std::stoul(message.vm)];
            for (const fact& item : message.facts) {
                if (receiving.known.merge(item, m_now))
                    receiving.spread.add(item, false);
            }
        }
    }

    unsigned m_lost;
    instant m_now = at(std::chrono::milliseconds(0));
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::multimap<instant, fact_delivery> m_messages;
    std::minstd_rand m_random { 5 };
};

}
