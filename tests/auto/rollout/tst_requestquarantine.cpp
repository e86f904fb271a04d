#include <support/rolloutfixture.h>

#include <rollout/factspread.h>
#include <rollout/requestquarantine.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

const request_digest deadly { 1, 1 };
const request_digest innocent { 2, 2 };

request_crash crashOf(const request_digest& request, const std::string& replica, std::chrono::milliseconds time)
{
    return { request, { replica, 7 }, at(time) };
}

request_standing standingAfter(const std::vector<fact>& facts, const request_digest& request, std::chrono::milliseconds time)
{
    request_quarantine quarantine;
    for (const fact& item : facts) {
        if (const request_crash* const crash = std::get_if<request_crash>(&item))
            quarantine.merge(*crash, at(time));
        else if (const request_success* const success = std::get_if<request_success>(&item))
            quarantine.merge(*success, at(time));
    }
    return quarantine.standingOf(request, at(time));
}

/// Fleet of daemons whose messages take 2 ms and are lost at random, on virtual time. A request comes again and again at
/// daemons in turn and ends each replica that runs it.
class quarantine_fleet {
public:
    quarantine_fleet(std::size_t size, unsigned lostPerThousand)
        : m_lost(lostPerThousand)
    {
        for (std::size_t index = 0; index < size; ++index)
            m_daemons.push_back(std::make_unique<daemon>(index));
        for (std::size_t index = 0; index < size; ++index)
            m_daemons[index]->spread.setDaemons(others(index));
    }

    int crashes() const { return m_crashes; }

    void send(std::size_t index)
    {
        daemon& receiving = *m_daemons[index % m_daemons.size()];
        if (receiving.quarantine.standingOf(deadly, m_now) == request_standing::Quarantined)
            return;
        const request_crash crash { deadly, { "shop-" + std::to_string(++m_crashes), 7 }, m_now };
        receiving.quarantine.merge(crash, m_now);
        receiving.spread.add(crash, true);
    }

    /// The daemon starts anew and knows nothing.
    void restart(std::size_t index)
    {
        m_daemons[index] = std::make_unique<daemon>(index);
        m_daemons[index]->spread.setDaemons(others(index));
        for (const std::unique_ptr<daemon>& item : m_daemons) {
            std::vector<std::string> vms = others(item->index);
            const std::vector<std::string> without = [&vms, index] {
                std::vector<std::string> rest = vms;
                std::erase(rest, std::to_string(index));
                return rest;
            }();
            item->spread.setDaemons(without);
            item->spread.setDaemons(std::move(vms));
        }
    }

    void run(duration time)
    {
        for (const instant end = m_now + time; m_now < end; m_now += 1ms) {
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
        request_quarantine quarantine;
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
        std::vector<fact> all;
        for (const request_crash& crash : item.quarantine.crashes())
            all.emplace_back(crash);
        for (const std::vector<fact_delivery>& deliveries : { item.spread.takeNews(), item.spread.takeSync(all, m_now) }) {
            for (const fact_delivery& delivery : deliveries) {
                if (m_random() % 1000 >= m_lost)
                    m_messages.emplace(m_now + 2ms, delivery);
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
                if (receiving.quarantine.merge(std::get<request_crash>(item), m_now))
                    receiving.spread.add(item, false);
            }
        }
    }

    unsigned m_lost;
    int m_crashes = 0;
    instant m_now = at(0ms);
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::multimap<instant, fact_delivery> m_messages;
    std::minstd_rand m_random { 5 };
};

}

TEST_CASE("A request is blamed for the replicas that ended under it, cleared by an answer, and not blamed for what another one explains")
{
    struct row {
        const char* name;
        std::vector<fact> facts;
        request_standing expected;
        std::chrono::milliseconds time = 1s;
    };
    const row rows[] = {
        { "nothing is known", {}, request_standing::Clear },
        { "another request crashed", { crashOf(innocent, "r1", 0ms) }, request_standing::Clear },
        { "one crash", { crashOf(deadly, "r1", 0ms) }, request_standing::Suspected },
        { "one crash, told twice", { crashOf(deadly, "r1", 0ms), crashOf(deadly, "r1", 4ms) }, request_standing::Suspected },
        { "two crashes", { crashOf(deadly, "r1", 0ms), crashOf(deadly, "r2", 50ms) }, request_standing::Isolated },
        { "two crashes of one replica, whose start the platform does not tell", { crashOf(deadly, "r1", 0ms), crashOf(deadly, "r1", 5s) }, request_standing::Isolated, 6s },
        { "three crashes", { crashOf(deadly, "r1", 0ms), crashOf(deadly, "r2", 50ms), crashOf(deadly, "r3", 90ms) }, request_standing::Quarantined },
        { "three crashes, long ago", { crashOf(deadly, "r1", 0ms), crashOf(deadly, "r2", 50ms), crashOf(deadly, "r3", 90ms) }, request_standing::Isolated, 11min },
        { "an answer after the crash", { crashOf(deadly, "r1", 0ms), request_success { deadly, at(30ms) } }, request_standing::Clear },
        { "an answer after the crash, told first", { request_success { deadly, at(30ms) }, crashOf(deadly, "r1", 0ms) }, request_standing::Clear },
        { "a crash after an answer", { request_success { deadly, at(30ms) }, crashOf(deadly, "r1", 60ms) }, request_standing::Suspected },
        { "there with a request that crashed twice", { crashOf(deadly, "r1", 0ms), crashOf(innocent, "r1", 0ms), crashOf(innocent, "r2", 50ms) }, request_standing::Clear },
        { "there twice, with a request that crashed three times",
            { crashOf(deadly, "r1", 0ms), crashOf(deadly, "r2", 50ms), crashOf(innocent, "r1", 0ms), crashOf(innocent, "r2", 50ms), crashOf(innocent, "r3", 90ms) }, request_standing::Clear },
        { "there twice, once with a request that crashed three times",
            { crashOf(deadly, "r1", 0ms), crashOf(deadly, "r4", 50ms), crashOf(innocent, "r1", 0ms), crashOf(innocent, "r2", 50ms), crashOf(innocent, "r3", 90ms) }, request_standing::Isolated },
    };
    for (const row& row : rows) {
        INFO(row.name);
        CHECK(toString(standingAfter(row.facts, deadly, row.time)) == toString(row.expected));
    }
}

TEST_CASE("Facts about a request have the same effect in any order, and each is news once")
{
    rc::prop("orders of facts", [] {
        std::vector<fact> facts { request_success { deadly, at(*rc::gen::inRange(0, 400) * 1ms) } };
        for (const char* const replica : { "r1", "r2", "r3", "r4" })
            facts.push_back(crashOf(deadly, replica, *rc::gen::inRange(0, 400) * 1ms));
        const request_standing expected = standingAfter(facts, deadly, 1s);
        std::vector<fact> shuffled = facts;
        std::shuffle(shuffled.begin(), shuffled.end(), std::minstd_rand(*rc::gen::inRange(1U, 1000U)));
        RC_ASSERT(standingAfter(shuffled, deadly, 1s) == expected);
    });
    request_quarantine quarantine;
    CHECK(quarantine.merge(crashOf(deadly, "r1", 0ms), at(0ms)));
    CHECK_FALSE(quarantine.merge(crashOf(deadly, "r1", 2ms), at(5ms)));
    CHECK(quarantine.merge(request_success { deadly, at(30ms) }, at(30ms)));
    CHECK_FALSE(quarantine.merge(request_success { deadly, at(40ms) }, at(40ms)));
}

TEST_CASE("Memory of requests is bounded in number and time")
{
    request_quarantine quarantine;
    for (std::uint64_t number = 0; number < request_quarantine::maxRequests + 100; ++number)
        quarantine.merge(crashOf({ number, 0 }, "r1", 1ms * number), at(10s));
    CHECK(quarantine.blamedCount() == request_quarantine::maxRequests);
    CHECK_FALSE(quarantine.isBlamed({ 0, 0 }));
    quarantine.forgetOld(at(request_quarantine::retention / 1ms * 1ms + 10s));
    CHECK(quarantine.blamedCount() == 0);
}

TEST_CASE("A request that comes again at any daemon ends three replicas, also while messages are lost and daemons restart")
{
    struct row {
        std::size_t daemons;
        unsigned lostPerThousand;
        bool hasRestarts;
    };
    const row rows[] = { { 1, 0, false }, { 10, 0, false }, { 10, 20, true }, { 80, 20, true }, { 400, 20, true } };
    for (const row& row : rows) {
        INFO(row.daemons << " daemons, " << row.lostPerThousand << " of 1000 messages lost, restarts: " << row.hasRestarts);
        quarantine_fleet fleet(row.daemons, row.lostPerThousand);
        for (std::size_t attempt = 0; attempt < 12; ++attempt) {
            fleet.send(attempt * 7);
            fleet.run(100ms);
            if (row.hasRestarts && attempt % 3 == 2) {
                fleet.restart((attempt + 1) * 7 % row.daemons);
                fleet.run(100ms);
            }
        }
        CHECK(fleet.crashes() == 3);
    }
}
