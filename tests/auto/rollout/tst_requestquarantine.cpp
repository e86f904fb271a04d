#include <rollout/requestquarantine.h>
#include <support/factnetwork.h>
#include <support/rolloutfixture.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

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

/// What a daemon knows of requests.
struct quarantine_knowledge {
    request_quarantine quarantine;

    bool merge(const fact& item, instant now) { return quarantine.merge(std::get<request_crash>(item), now); }
    std::vector<fact> facts() const
    {
        std::vector<fact> all;
        for (const request_crash& crash : quarantine.crashes())
            all.emplace_back(crash);
        return all;
    }
};

/// A request that comes again and again at the daemons of a fleet, and ends each replica that runs it.
class deadly_request {
public:
    explicit deadly_request(fact_network<quarantine_knowledge>& fleet)
        : m_fleet(fleet)
    {
    }

    int crashes() const { return m_crashes; }

    void send(std::size_t index)
    {
        const std::size_t receiving = index % m_fleet.size();
        if (m_fleet.knowledge(receiving).quarantine.standingOf(deadly, m_fleet.now()) != request_standing::Quarantined)
            m_fleet.learn(receiving, request_crash { deadly, { "shop-" + std::to_string(++m_crashes), 7 }, m_fleet.now() });
    }

private:
    fact_network<quarantine_knowledge>& m_fleet;
    int m_crashes = 0;
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
        fact_network<quarantine_knowledge> fleet(row.daemons, row.lostPerThousand);
        deadly_request request(fleet);
        for (std::size_t attempt = 0; attempt < 12; ++attempt) {
            request.send(attempt * 7);
            fleet.run(100ms);
            if (row.hasRestarts && attempt % 3 == 2) {
                fleet.restart((attempt + 1) * 7 % row.daemons);
                fleet.run(100ms);
            }
        }
        CHECK(request.crashes() == 3);
    }
}
