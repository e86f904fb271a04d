#include <rollout/softwarehistory.h>
#include <rollout/streamregistry.h>
#include <support/rolloutfixture.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

member memberOf(std::size_t index)
{
    member made;
    made.vm = "vm-" + std::to_string(index);
    made.instance = { 1, 1 };
    return made;
}

/// Daemons that exchange messages on streams, which take 2 ms and are lost at random.
class registry_fleet {
public:
    registry_fleet(std::size_t size, unsigned lostPerThousand)
        : m_lost(lostPerThousand)
    {
        for (std::size_t index = 0; index < size; ++index)
            m_daemons.emplace(memberOf(index).vm, std::make_unique<stream_registry>(memberOf(index).vm, m_now));
        tellDaemons();
    }

    stream_registry& daemon(std::size_t index) { return *m_daemons.at(memberOf(index).vm); }

    void kill(std::size_t index)
    {
        m_daemons.erase(memberOf(index).vm);
        tellDaemons();
    }

    /// The daemon starts anew and knows nothing.
    void restart(std::size_t index)
    {
        m_daemons[memberOf(index).vm] = std::make_unique<stream_registry>(memberOf(index).vm, m_now);
        tellDaemons();
    }

    void begin(std::size_t index, const std::string& request, const std::string& software) { daemon(index).add({ request, software, m_now }, true); }

    /// Result of a search at the daemon.
    stream_found find(std::size_t index, const std::string& request)
    {
        m_found.reset();
        m_searching = memberOf(index).vm;
        daemon(index).find(request, m_now);
        for (duration waited {}; !m_found && waited < 1s; waited += 1ms)
            run(1ms);
        REQUIRE(m_found);
        return *m_found;
    }

    void run(duration time)
    {
        for (const instant end = m_now + time; m_now < end; m_now += 1ms) {
            for (std::pair<const std::string, std::unique_ptr<stream_registry>>& item : m_daemons)
                flush(item.first, *item.second);
            deliver();
        }
    }

private:
    struct sent_message {
        std::string from;
        send_stream_message sent;
    };

    void tellDaemons()
    {
        std::vector<member> members;
        for (const std::pair<const std::string, std::unique_ptr<stream_registry>>& item : m_daemons) {
            members.emplace_back(memberOf(0));
            members.back().vm = item.first;
        }
        for (std::pair<const std::string, std::unique_ptr<stream_registry>>& item : m_daemons)
            item.second->setDaemons(owner_map(members));
    }

    void flush(const std::string& vm, stream_registry& registry)
    {
        registry.tick(m_now - software_history::retention, m_now);
        for (const stream_effect& effect : registry.takeEffects()) {
            if (const stream_found* const found = std::get_if<stream_found>(&effect)) {
                if (vm == m_searching)
                    m_found = *found;
            } else if (m_random() % 1000 >= m_lost) {
                m_messages.emplace(m_now + 2ms, sent_message { vm, std::get<send_stream_message>(effect) });
            }
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const sent_message message = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            const auto receiver = m_daemons.find(message.sent.vm);
            if (receiver != m_daemons.end())
                receiver->second->onMessage(message.from, message.sent.message, m_now);
        }
    }

    unsigned m_lost;
    instant m_now = at(0ms);
    std::map<std::string, std::unique_ptr<stream_registry>> m_daemons;
    std::multimap<instant, sent_message> m_messages;
    std::minstd_rand m_random { 3 };
    std::string m_searching;
    std::optional<stream_found> m_found;
};

/// Lists one replica for each of \a versions.
void listVersions(replica_pool& pool, const std::set<std::string>& versions)
{
    const std::map<std::string, replica_pool::replica, std::less<>> before = pool.replicas();
    for (const std::pair<const std::string, replica_pool::replica>& item : before)
        pool.remove(item.first);
    for (const std::string& version : versions) {
        replica_entry entry = makeReplica("replica-" + version, "north-a", 1);
        entry.software = version;
        pool.update(entry);
    }
}

/// Versions that were listed from a time on.
struct listing {
    std::chrono::seconds from;
    std::set<std::string> versions;
};

struct history_case {
    const char* name;
    std::vector<listing> listings;
    bool hasSeveral;
    const char* only;
    /// Version of a stream without a note; empty when it is not known.
    const char* unnoted;
    /// Whether several versions were listed in the last minute.
    bool hadSeveral;
};

// The time is 100 s.
const history_case historyCases[] = {
    { "one version", { { 0s, { "v1" } } }, false, "v1", "v1", false },
    { "a daemon that started a short time ago", { { 90s, { "v1" } } }, false, "", "v1", false },
    { "a release in progress", { { 0s, { "v1" } }, { 90s, { "v1", "v2" } } }, true, "", "v1", true },
    { "a rollback", { { 0s, { "v2" } }, { 80s, { "v1", "v2" } }, { 90s, { "v2" } } }, false, "", "v2", true },
    { "a release that has just ended", { { 0s, { "v1" } }, { 80s, { "v1", "v2" } }, { 97s, { "v2" } } }, true, "", "", true },
    { "a release that ended a while ago", { { 0s, { "v1" } }, { 60s, { "v1", "v2" } }, { 80s, { "v2" } } }, false, "", "", true },
    { "a release long ago", { { 0s, { "v1" } }, { 10s, { "v1", "v2" } }, { 30s, { "v2" } } }, false, "v2", "v2", false },
    { "three versions", { { 0s, { "v1" } }, { 70s, { "v1", "v2" } }, { 80s, { "v1", "v2", "v3" } } }, true, "", "v1", true },
    { "several for more than a minute", { { 0s, { "v1" } }, { 20s, { "v1", "v2" } } }, true, "", "", true },
    { "a daemon that started amid a release", { { 90s, { "v1", "v2" } } }, true, "", "", true },
};

}

TEST_CASE("The versions that were listed tell which one began a stream without a note")
{
    for (const history_case& row : historyCases) {
        INFO(row.name);
        replica_pool pool("north-a");
        software_history history;
        for (std::chrono::seconds time = 0s; time <= 100s; time += 1s) {
            for (const listing& change : row.listings) {
                if (change.from == time)
                    listVersions(pool, change.versions);
            }
            history.observe(pool, at(time));
        }
        CHECK(history.hasSeveral(testService, at(100s)) == row.hasSeveral);
        CHECK(history.onlyVersion(testService, at(100s)).value_or("") == row.only);
        const std::optional<software_history::unnoted_stream> unnoted = history.unnotedStream(testService);
        CHECK((unnoted ? unnoted->software : std::string()) == row.unnoted);
        CHECK((unnoted && unnoted->severalSince) == (row.hadSeveral && *row.unnoted));
    }
}

TEST_CASE("A stream is found after the daemon that began it and others were killed")
{
    struct fleet_case {
        std::size_t daemons;
        unsigned lostPerThousand;
    };
    const fleet_case rows[] = { { 10, 0 }, { 80, 20 }, { 400, 20 } };
    for (const fleet_case& row : rows) {
        INFO(row.daemons << " daemons, " << row.lostPerThousand << " of 1000 messages lost");
        registry_fleet fleet(row.daemons, row.lostPerThousand);
        constexpr std::size_t streams = 100;
        for (std::size_t stream = 0; stream < streams; ++stream)
            fleet.begin(stream % 3, "stream-" + std::to_string(stream), stream % 2 == 0 ? "v1" : "v2");
        fleet.run(10ms);
        // The three that began the streams, and a tenth of the others.
        for (std::size_t index = 0; index < 3; ++index)
            fleet.kill(index);
        for (std::size_t index = 5; index < row.daemons; index += 10)
            fleet.restart(index);
        std::size_t found = 0;
        for (std::size_t stream = 0; stream < streams; ++stream) {
            const std::string software = fleet.find(3 + stream % (row.daemons - 3), "stream-" + std::to_string(stream)).software;
            CHECK((software.empty() || software == (stream % 2 == 0 ? "v1" : "v2")));
            found += software.empty() ? 0 : 1;
        }
        CHECK(found >= streams * 9 / 10);
    }
}

TEST_CASE("A search tells how far back the keepers without a note have kept notes")
{
    registry_fleet fleet(10, 0);
    fleet.run(10s);
    CHECK(fleet.find(2, "unknown").searchedBack >= 9s);
    for (std::size_t index = 0; index < 10; ++index)
        fleet.restart(index);
    fleet.run(1s);
    const stream_found found = fleet.find(2, "unknown");
    CHECK(found.software.empty());
    CHECK(found.searchedBack <= 1100ms);
}

TEST_CASE("A search ends in time when no keeper answers")
{
    registry_fleet fleet(10, 1000);
    fleet.begin(0, "stream", "v1");
    fleet.run(10ms);
    const stream_found found = fleet.find(1, "stream");
    CHECK(found.software.empty());
    CHECK(found.searchedBack == duration::zero());
    CHECK(fleet.find(0, "stream").software == "v1");
}

TEST_CASE("Notes are bounded in number and time")
{
    stream_registry registry("vm-0", at(0ms));
    for (std::size_t number = 0; number < stream_registry::maxNotes + 10; ++number)
        registry.add({ std::to_string(number), "v1", at(0ms) }, false);
    CHECK(registry.notes() == stream_registry::maxNotes);
    registry.tick(at(1ms), at(1ms));
    CHECK(registry.notes() == 0);
}
