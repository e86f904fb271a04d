#include "rolloutfixture.h"

#include <rollout/leaseagent.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds step = 10ms;
constexpr std::chrono::milliseconds holderPause = 3s;
const std::string lease = "orders";

/// Daemons that share leases through a log in virtual time. Each may be cut off from the log or stand still.
class lease_world {
public:
    struct daemon {
        daemon(const std::string& vm, const std::string& life, double processorShare)
            : agent(table, { vm, life }, { holderPause, processorShare })
        {
            agent.setLeases({ lease });
        }

        lease_table table;
        lease_agent agent;
        std::size_t read = 0;
        instant confirmedAt {};
        instant regainedAt {};
        bool isCut = false;
        /// Its writes arrive, and it reads nothing.
        bool isDeaf = false;
        bool isFrozen = false;
        bool isStopped = false;
    };

    explicit lease_world(std::size_t daemons)
    {
        for (std::size_t number = 0; number < daemons; ++number)
            add("vm" + std::to_string(number), "life" + std::to_string(number));
    }

    daemon& add(const std::string& vm, const std::string& life, double processorShare = 1)
    {
        return *m_daemons.emplace_back(std::make_unique<daemon>(vm, life, processorShare));
    }

    daemon& operator[](std::size_t index) { return *m_daemons[index]; }
    std::size_t size() const { return m_daemons.size(); }
    std::size_t claims() const
    {
        return static_cast<std::size_t>(std::count_if(m_log.begin(), m_log.end(),
            [](const lease_record& record) { return std::holds_alternative<lease_claim>(record); }));
    }
    std::chrono::milliseconds now() const { return m_now; }
    void setReadInterval(duration interval) { m_readInterval = interval; }

    void play(std::chrono::milliseconds time)
    {
        for (const std::chrono::milliseconds end = m_now + time; m_now < end; m_now += step) {
            for (const std::unique_ptr<daemon>& item : m_daemons)
                playOne(*item);
        }
    }

    void release(daemon& item)
    {
        m_log.push_back(item.agent.release(at(m_now)));
        item.isStopped = true;
    }

    /// Sends an order to \a replica through whoever may act; checks that no other VM ordered it within the pause.
    void order(const std::string& replica)
    {
        const std::optional<std::size_t> index = actor();
        if (!index)
            return;
        lease_agent& agent = m_daemons[*index]->agent;
        const std::vector<std::string> barred = agent.barredReplicas(lease, at(m_now));
        if (std::find(barred.begin(), barred.end(), replica) != barred.end())
            return;
        for (const std::pair<const std::size_t, std::map<std::string, std::chrono::milliseconds>>& other : m_orders) {
            const auto last = other.second.find(replica);
            INFO("daemons " << other.first << " and " << *index << " at " << m_now.count());
            REQUIRE((other.first == *index || last == other.second.end() || m_now - last->second >= holderPause));
        }
        m_orders[*index][replica] = m_now;
        agent.noteOrder(replica, at(m_now));
    }

    /// Index of the daemon that holds the lease and may act; none when nobody may.
    std::optional<std::size_t> actor() const
    {
        std::optional<std::size_t> found;
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (m_daemons[index]->isFrozen || m_daemons[index]->isStopped || !m_daemons[index]->agent.mayAct(lease, at(m_now)))
                continue;
            REQUIRE_FALSE(found);
            found = index;
        }
        return found;
    }

private:
    void playOne(daemon& item)
    {
        if (item.isFrozen || item.isStopped)
            return;
        const instant now = at(m_now);
        if (!item.isCut && !item.isDeaf && now - item.confirmedAt >= m_readInterval) {
            if (now - item.confirmedAt > 1500ms)
                item.regainedAt = now;
            for (; item.read < m_log.size(); ++item.read) {
                item.table.apply(m_log[item.read], item.read, now);
                item.agent.onRead(m_log[item.read]);
            }
            item.confirmedAt = now;
        }
        const std::vector<lease_record> records = item.agent.tick({ item.confirmedAt, item.regainedAt }, now);
        if (records.empty())
            return;
        if (!item.isCut)
            m_log.insert(m_log.end(), records.begin(), records.end());
        item.agent.onWritten();
    }

    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::vector<lease_record> m_log;
    /// Last order to each replica, by daemon.
    std::map<std::size_t, std::map<std::string, std::chrono::milliseconds>> m_orders;
    std::chrono::milliseconds m_now = 0ms;
    duration m_readInterval {};
};

}

TEST_CASE("A lease that is free is taken by one daemon and stays there")
{
    lease_world world(5);
    world.play(1s);
    const std::optional<std::size_t> first = world.actor();
    REQUIRE(first);
    world.add("vm9", "life9");
    world.play(20s);
    CHECK(world.actor() == first);
}

TEST_CASE("A holder that stops hands over at once, but for the replicas that it has just given orders")
{
    lease_world world(3);
    world.play(1s);
    lease_world::daemon& first = world[*world.actor()];
    first.agent.noteOrder("r1", at(world.now()));
    world.release(first);
    world.play(700ms);
    const std::optional<std::size_t> second = world.actor();
    REQUIRE(second);
    CHECK(world[*second].agent.barredReplicas(lease, at(world.now())) == std::vector<std::string> { "r1" });
    CHECK(world[*second].agent.fencingToken(lease) > 1);
    world.play(holderPause);
    CHECK(world[*second].agent.barredReplicas(lease, at(world.now())).empty());
}

TEST_CASE("A lease of a daemon that died is held again within three seconds, but orders wait for the former holder")
{
    lease_world world(3);
    world.play(1s);
    const std::size_t first = *world.actor();
    world[first].isFrozen = true;
    world.play(2500ms);
    std::size_t holders = 0;
    for (std::size_t index = 0; index < world.size(); ++index)
        holders += index != first && world[index].agent.isHeld(lease) ? 1 : 0;
    CHECK(holders == 1);
    CHECK_FALSE(world.actor());
    world.play(3s);
    CHECK(world.actor());
}

TEST_CASE("A daemon that starts again on its VM takes its lease back without a pause")
{
    lease_world world(1);
    world.play(1s);
    world[0].isFrozen = true;
    world.add("vm0", "next life");
    world.play(500ms);
    CHECK(world[1].agent.mayAct(lease, at(world.now())));
}

TEST_CASE("While nobody reaches the log the lease stays, and its holder goes on after the outage")
{
    lease_world world(3);
    world.play(1s);
    const std::optional<std::size_t> first = world.actor();
    REQUIRE(first);
    for (std::size_t index = 0; index < world.size(); ++index)
        world[index].isCut = true;
    world.play(10s);
    CHECK_FALSE(world.actor());
    for (std::size_t index = 0; index < world.size(); ++index)
        world[index].isCut = false;
    world.play(1s);
    CHECK(world.actor() == first);
}

TEST_CASE("Whatever is cut off or frozen, no two daemons may act at once")
{
    REQUIRE(rc::check([] {
        lease_world world(4);
        const int changes = *rc::gen::inRange(1, 25);
        for (int number = 0; number < changes; ++number) {
            lease_world::daemon& item = world[*rc::gen::inRange<std::size_t>(0, world.size())];
            if (*rc::gen::arbitrary<bool>())
                item.isCut = !item.isCut;
            else
                item.isFrozen = !item.isFrozen;
            const int slices = *rc::gen::inRange(1, 40);
            for (int slice = 0; slice < slices; ++slice) {
                world.play(100ms);
                world.actor();
            }
        }
    }));
}

TEST_CASE("A holder that writes but no longer reads does not act beside the next one")
{
    lease_world world(2);
    world.play(1s);
    const std::size_t first = *world.actor();
    world.order("r1");
    world[first].isCut = true;
    world.play(1700ms);
    world[first].isDeaf = true;
    for (int slice = 0; slice < 100; ++slice) {
        world.play(100ms);
        world[first].isCut = slice < 2;
        world.order("r1");
    }
}

TEST_CASE("A holder that was released before it might act does not shorten the wait for a silent one")
{
    lease_world world(3);
    world.play(1s);
    const std::size_t silent = *world.actor();
    for (int slice = 0; slice < 10; ++slice) {
        world.play(100ms);
        world.order("r1");
    }
    world[silent].isFrozen = true;
    world.play(2200ms);
    for (std::size_t index = 0; index < world.size(); ++index) {
        if (index != silent && world[index].agent.isHeld(lease)) {
            world.release(world[index]);
            break;
        }
    }
    for (int slice = 0; slice < 100; ++slice) {
        world.play(100ms);
        world.order("r1");
    }
}

TEST_CASE("A VM whose holder took over from a silent one long ago goes on at once after all daemons were killed")
{
    lease_world world(3);
    world.play(1s);
    const std::size_t silent = *world.actor();
    world[silent].isFrozen = true;
    world.play(12s);
    const std::size_t holder = *world.actor();
    for (std::size_t index = 0; index < 3; ++index)
        world[index].isFrozen = true;
    for (std::size_t index = 0; index < 3; ++index)
        world.add("vm" + std::to_string(index), "next life" + std::to_string(index));
    world.play(1s);
    CHECK(world.actor() == holder + 3);
}

TEST_CASE("Orders of a holder before the last one bar their replicas, too")
{
    lease_world world(3);
    world.play(1s);
    for (int holder = 0; holder < 2; ++holder) {
        const std::size_t index = *world.actor();
        world.order("r1");
        world.release(world[index]);
        world.play(500ms);
    }
    world.order("r1");
}

TEST_CASE("Whatever is cut off, deaf, frozen or stopped, orders of two VMs to a replica keep their distance")
{
    REQUIRE(rc::check([] {
        lease_world world(5);
        const int changes = *rc::gen::inRange(1, 20);
        for (int number = 0; number < changes; ++number) {
            lease_world::daemon& item = world[*rc::gen::inRange<std::size_t>(0, world.size())];
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                world.release(item);
                break;
            case 1:
                item.isFrozen = !item.isFrozen;
                break;
            case 2:
                item.isDeaf = !item.isDeaf;
                break;
            default:
                item.isCut = !item.isCut;
                break;
            }
            const int slices = *rc::gen::inRange(1, 40);
            for (int slice = 0; slice < slices; ++slice) {
                world.play(100ms);
                world.order(slice % 3 == 0 ? "r1" : "r2");
            }
        }
    }));
}

TEST_CASE("A daemon that starts from the records that the log still keeps finds the same holder")
{
    const lease_party first { "vm1", "a" };
    const lease_party second { "vm2", "b" };
    const std::vector<lease_record> records { lease_claim { lease, first, std::nullopt }, lease_renewal { first },
        lease_claim { lease, second, 0 }, lease_renewal { first }, lease_claim { lease, { "vm3", "c" }, 0 }, lease_renewal { second } };
    lease_table whole;
    for (std::size_t offset = 0; offset < records.size(); ++offset)
        whole.apply(records[offset], offset, at(0ms));
    lease_table compacted;
    for (const std::size_t offset : { 0U, 2U, 3U, 4U, 5U })
        compacted.apply(records[offset], offset, at(0ms));
    CHECK(whole.find(lease)->holder == second);
    CHECK(compacted.find(lease)->holder == second);
    CHECK(compacted.find(lease)->claimOffset == whole.find(lease)->claimOffset);
}

TEST_CASE("Of a large fleet, a VM with much processor takes a lease, and few claim in vain")
{
    lease_world world(0);
    for (int number = 0; number < 300; ++number)
        world.add("vm" + std::to_string(number), "life" + std::to_string(number), number % 5 == 0 ? 0.5 : 0.12);
    world.setReadInterval(120ms);
    world.play(1500ms);
    const std::optional<std::size_t> first = world.actor();
    REQUIRE(first);
    CHECK(*first % 5 == 0);
    // At once, all three hundred would claim.
    CHECK(world.claims() < 40);
}

TEST_CASE("Few daemons hold all leases, however many there are")
{
    for (const std::size_t daemons : { 1U, 2U }) {
        DYNAMIC_SECTION(daemons << " daemons")
        {
            lease_world world(daemons);
            const std::vector<std::string> leases { "orders", "model/a", "model/b", "model/c" };
            for (std::size_t number = 0; number < daemons; ++number)
                world[number].agent.setLeases(leases);
            world.play(6s);
            std::size_t held = 0;
            for (std::size_t number = 0; number < daemons; ++number) {
                for (const std::string& name : leases)
                    held += world[number].agent.isHeld(name) ? 1U : 0U;
            }
            CHECK(held == leases.size());
        }
    }
}
