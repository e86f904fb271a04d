#include <support/rolloutfixture.h>

#include <rollout/factspread.h>
#include <rollout/permitagent.h>
#include <rollout/visibleshare.h>

#include <catch2/catch.hpp>

#include <memory>
#include <set>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Fleet of daemons whose messages take 2 ms and are lost at random, on virtual time.
class permit_fleet {
public:
    /// The daemons are in \a dataCentres in turn; all replicas are in the first one.
    permit_fleet(std::size_t size, unsigned lostPerThousand, std::size_t dataCentres = 1)
        : m_lost(lostPerThousand)
        , m_dataCentres(dataCentres)
    {
        for (std::size_t index = 0; index < size; ++index)
            m_daemons.push_back(std::make_unique<daemon>(index));
        updateViews();
    }

    instant now() const { return m_now; }
    std::size_t size() const { return m_daemons.size(); }
    int sent(const replica_instance& replica) const
    {
        const auto found = m_sent.find(replica.id);
        return found == m_sent.end() ? 0 : found->second;
    }
    std::size_t informed(const replica_instance& replica) const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<daemon>& item : m_daemons)
            count += item->isAlive && item->limits.find(replica) ? 1 : 0;
        return count;
    }

    /// The daemon gets an answer with a limit.
    void state(std::size_t index, const replica_instance& replica, double perSecond)
    {
        daemon& told = *m_daemons[index];
        const replica_limit limit { replica, perSecond, m_now };
        if (told.limits.merge(limit, m_now))
            told.spread.add(limit, true);
    }

    void ask(std::size_t index, const std::vector<replica_instance>& replicas, duration maxWait)
    {
        daemon& asking = *m_daemons[index];
        if (!asking.isAlive)
            return;
        std::vector<replica_instance> limited;
        for (const replica_instance& replica : replicas) {
            if (asking.limits.rate(replica, m_now))
                limited.push_back(replica);
            else
                ++m_sent[replica.id];
        }
        if (!limited.empty())
            asking.agent.ask(limited, maxWait, m_now);
        execute(asking);
    }

    void kill(std::size_t index) { m_daemons[index]->isAlive = false; }
    /// Splits the fleet into \a parts, so that messages reach only daemons of the own part.
    void split(std::size_t parts) { m_parts = parts; }
    /// The fleet finds out which daemons are alive in the own part.
    void updateViews(std::size_t parts = 1)
    {
        split(parts);
        for (const std::unique_ptr<daemon>& item : m_daemons) {
            std::vector<member> members;
            std::vector<std::string> others;
            std::vector<std::string> lost;
            for (const std::unique_ptr<daemon>& other : m_daemons) {
                member known;
                known.vm = other->vm;
                known.dataCentre = dataCentreOf(*other);
                if (!other->isAlive || other->index % parts != item->index % parts) {
                    lost.push_back(known.dataCentre);
                    continue;
                }
                members.push_back(known);
                if (other != item)
                    others.push_back(other->vm);
            }
            const std::string dataCentre = dataCentreOf(*m_daemons.front());
            const double share = visibleShare(dataCentre, members.size(), lost);
            item->agent.setDaemons(owner_map(members), [dataCentre, share](const replica_instance&) { return permit_agent::replica_sight { dataCentre, share }; });
            item->spread.setDaemons(others);
        }
    }

    void run(duration time) { runUntil(m_now + time); }
    void runUntil(instant end)
    {
        while (m_now < end) {
            m_now += 1ms;
            deliver();
            if (m_now.time_since_epoch() % 25ms == 0ms)
                tick();
        }
    }

private:
    struct daemon {
        explicit daemon(std::size_t number)
            : index(number)
            , vm("entry-" + std::to_string(number))
            , agent(vm, limits)
            , spread(number + 1)
        {
        }
        std::size_t index;
        std::string vm;
        limit_table limits;
        permit_agent agent;
        fact_spread spread;
        bool isAlive = true;
    };
    struct datagram {
        std::string from;
        std::size_t to = 0;
        std::optional<permit_message> permit;
        std::vector<fact> facts;
    };

    std::string dataCentreOf(const daemon& item) const { return "north-" + std::to_string(item.index % m_dataCentres); }

    void send(const daemon& from, const std::string& vm, std::optional<permit_message> permit, std::vector<fact> facts)
    {
        const std::size_t to = std::stoul(vm.substr(6));
        if (m_random() % 1000 < m_lost || from.index % m_parts != to % m_parts)
            return;
        m_datagrams.emplace(m_now + 2ms, datagram { from.vm, to, std::move(permit), std::move(facts) });
    }

    void execute(daemon& item)
    {
        for (const permit_effect& effect : item.agent.takeEffects()) {
            if (const send_permit_message* const message = std::get_if<send_permit_message>(&effect))
                send(item, message->vm, message->message, {});
            else if (const permit_granted* const granted = std::get_if<permit_granted>(&effect))
                ++m_sent[granted->replica];
        }
    }

    void deliver()
    {
        while (!m_datagrams.empty() && m_datagrams.begin()->first <= m_now) {
            const datagram message = std::move(m_datagrams.begin()->second);
            m_datagrams.erase(m_datagrams.begin());
            daemon& to = *m_daemons[message.to];
            if (!to.isAlive)
                continue;
            for (const fact& item : message.facts) {
                if (to.limits.merge(std::get<replica_limit>(item), m_now))
                    to.spread.add(item, false);
            }
            if (message.permit)
                to.agent.onMessage(message.from, *message.permit, m_now);
            execute(to);
        }
    }

    void tick()
    {
        for (const std::unique_ptr<daemon>& item : m_daemons) {
            if (!item->isAlive)
                continue;
            std::vector<fact> all;
            for (const replica_limit& limit : item->limits.all())
                all.emplace_back(limit);
            for (fact_delivery& delivery : item->spread.takeNews())
                send(*item, delivery.vm, std::nullopt, std::move(delivery.facts));
            for (fact_delivery& delivery : item->spread.takeSync(all, m_now))
                send(*item, delivery.vm, std::nullopt, std::move(delivery.facts));
            item->agent.tick(m_now);
            execute(*item);
        }
    }

    unsigned m_lost;
    std::size_t m_dataCentres;
    std::size_t m_parts = 1;
    instant m_now = at(0ms);
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::multimap<instant, datagram> m_datagrams;
    std::map<std::string, int> m_sent;
    std::minstd_rand m_random { 5 };
};

const replica_instance shop { "shop-1", 7 };

/// Runs the fleet for \a seconds while each of its daemons, in turn, gets callers at \a perSecond in all.
int sendFor(permit_fleet& fleet, int seconds, int perSecond)
{
    const int before = fleet.sent(shop);
    const instant start = fleet.now();
    for (int call = 0; call < seconds * perSecond; ++call) {
        fleet.ask(static_cast<std::size_t>(call * 7) % fleet.size(), { shop }, 150ms);
        fleet.runUntil(start + std::chrono::duration_cast<duration>(1s) * (call + 1) / perSecond);
    }
    return fleet.sent(shop) - before;
}

}

TEST_CASE("A limit that one daemon was told holds for all together within a second, and nine tenths of it are used")
{
    struct row {
        std::size_t daemons;
        double limit;
        unsigned lostPerThousand;
    };
    const row rows[] = { { 1, 2, 0 }, { 10, 1, 0 }, { 10, 1, 20 }, { 80, 1, 10 }, { 80, 20, 10 }, { 400, 1, 10 }, { 400, 20, 10 } };
    for (const row& row : rows) {
        INFO(row.daemons << " daemons, " << row.limit << " a second, " << row.lostPerThousand << " of 1000 messages lost");
        permit_fleet fleet(row.daemons, row.lostPerThousand);
        fleet.state(0, shop, row.limit);
        fleet.run(1s);
        CHECK(fleet.informed(shop) >= row.daemons * 99 / 100);
        fleet.run(3s);
        const int sent = sendFor(fleet, 20, static_cast<int>(row.limit * 6));
        CHECK(sent <= 20 * row.limit * 1.05 + 1);
        CHECK(sent >= 20 * row.limit * 0.9 - 1);
    }
}

TEST_CASE("While the fleet is split, its parts together stay within the limit")
{
    permit_fleet fleet(10, 0);
    fleet.state(0, shop, 4);
    fleet.run(1s);
    fleet.updateViews(2);
    CHECK(sendFor(fleet, 10, 40) <= 4 * 10 * 1.05 + 2);
}

TEST_CASE("Daemons that still reach a replica use its whole limit as soon as other data centres are cut off")
{
    for (const char* const id : { "shop-1", "shop-2", "shop-3", "shop-4" }) {
        const replica_instance replica { id, 7 };
        permit_fleet fleet(9, 0, 3);
        fleet.state(0, replica, 10);
        fleet.run(1s);
        fleet.split(3);
        for (const bool isNoticed : { false, true }) {
            INFO(id << ", cut noticed: " << isNoticed);
            if (isNoticed)
                fleet.updateViews(3);
            const int before = fleet.sent(replica);
            const instant start = fleet.now();
            for (int call = 0; call < 240; ++call) {
                fleet.ask(static_cast<std::size_t>(call % 3) * 3, { replica }, 150ms);
                fleet.runUntil(start + std::chrono::duration_cast<duration>(4s) * (call + 1) / 240);
            }
            const int sent = fleet.sent(replica) - before;
            CHECK(sent >= 10 * 4 * 9 / 10);
            CHECK(sent <= 10 * 4 * 21 / 20 + 2);
        }
    }
}

TEST_CASE("When the keeper of a replica dies, another daemon gives out permits before anyone has noticed")
{
    permit_fleet fleet(3, 0);
    fleet.state(0, shop, 10);
    fleet.run(1s);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        permit_fleet killed(3, 0);
        killed.state((index + 1) % 3, shop, 10);
        killed.run(1s);
        killed.kill(index);
        const int sent = sendFor(killed, 4, 60);
        CHECK(sent >= 10 * 4 / 2 - 5);
        CHECK(sent <= 10 * 4 * 21 / 20 + 1);
    }
}
