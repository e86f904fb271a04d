#include <support/rolloutfixture.h>

#include <rollout/leaseagent.h>
#include <rollout/leaserecords.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds step = 10ms;
constexpr std::chrono::milliseconds takeoverDelay = 3s;
const std::string lease = "orders";

/// Record of the log; one without a value removes its key.
struct log_entry {
    std::string key;
    std::optional<lease_record> value;
};

/// Simulates daemons that share leases through a log, in virtual time. Each can be disconnected from the log or frozen.
class lease_simulation {
public:
    struct daemon {
        daemon(const std::string& vm, const std::string& instance, const lease_options& options)
            : vm(vm)
            , name(instance)
            , agent(table, { vm, instance }, options)
        {
            agent.setLeases({ lease });
        }

        std::string vm;
        std::string name;
        lease_table table;
        lease_records records;
        lease_agent agent;
        /// Offsets that the pages read so far returned.
        std::vector<std::size_t> paged;
        std::string lastPagedKey;
        instant pagedAt {};
        bool hasPages = false;
        /// Records before this one have been applied already when the pages are read.
        std::size_t firstNew = 0;
        std::size_t writes = 0;
        std::size_t read = 0;
        instant confirmedAt {};
        instant regainedAt {};
        bool isDisconnected = false;
        /// Its writes succeed, but it reads nothing.
        bool isReadBlocked = false;
        bool isFrozen = false;
        bool isStopped = false;
    };

    explicit lease_simulation(std::size_t daemons)
    {
        for (std::size_t number = 0; number < daemons; ++number)
            add("vm" + std::to_string(number), "life" + std::to_string(number));
    }

    daemon& add(const std::string& vm, const std::string& instance, double processorShare = 1)
    {
        return *m_daemons.emplace_back(std::make_unique<daemon>(vm, instance, lease_options { takeoverDelay, processorShare, m_recordRetention }));
    }

    daemon& operator[](std::size_t index) { return *m_daemons[index]; }
    std::size_t size() const { return m_daemons.size(); }
    std::size_t claims() const
    {
        return static_cast<std::size_t>(std::count_if(m_log.begin(), m_log.end(),
            [](const log_entry& entry) { return entry.value && std::holds_alternative<lease_claim>(*entry.value); }));
    }
    /// Number of keys in the log.
    std::size_t keys() const { return m_newest.size(); }
    std::chrono::milliseconds now() const { return m_now; }
    void setReadInterval(duration interval) { m_readInterval = interval; }
    /// For daemons that are added later.
    void setRecordRetention(duration retention) { m_recordRetention = retention; }
    /// Number of newest records in a page; daemons that start read one page in each turn.
    void setPageSize(std::size_t records) { m_pageSize = records; }

    void advance(std::chrono::milliseconds time)
    {
        for (const std::chrono::milliseconds end = m_now + time; m_now < end; m_now += step) {
            for (const std::unique_ptr<daemon>& item : m_daemons)
                advanceDaemon(*item);
        }
    }

    void release(daemon& item)
    {
        const std::optional<lease_release> record = item.agent.release(at(m_now));
        if (record)
            append(item, *record);
        item.isStopped = true;
    }

    void removeStopped()
    {
        std::erase_if(m_daemons, [](const std::unique_ptr<daemon>& item) { return item->isStopped; });
    }

    /// The log has dropped records that \a item did not read yet, so it reads the pages again.
    void missTail(daemon& item)
    {
        item.hasPages = false;
        item.lastPagedKey.clear();
        item.paged.clear();
    }

    /// Replaces the daemon of \a vm by a new process. The former one is killed, unless it is released first.
    void restart(const std::string& vm, const std::string& instance, bool isReleased)
    {
        for (const std::unique_ptr<daemon>& item : m_daemons) {
            if (item->vm != vm || item->isStopped)
                continue;
            if (isReleased && !item->isDisconnected && !item->isFrozen)
                release(*item);
            item->isStopped = true;
        }
        add(vm, instance);
    }

    /// Sends an order to \a replica through the daemon that may act, if any. Checks that no other VM sent it one within
    /// the takeover delay.
    void sendOrder(const std::string& replica)
    {
        const std::optional<std::size_t> index = activeHolder();
        if (!index)
            return;
        lease_agent& agent = m_daemons[*index]->agent;
        const std::vector<std::string> barred = agent.barredReplicas(lease, at(m_now));
        if (std::find(barred.begin(), barred.end(), replica) != barred.end())
            return;
        const std::string& vm = m_daemons[*index]->vm;
        for (const std::pair<const std::string, std::map<std::string, std::chrono::milliseconds>>& other : m_orders) {
            const auto last = other.second.find(replica);
            INFO(other.first << " and " << vm << " at " << m_now.count());
            REQUIRE((other.first == vm || last == other.second.end() || m_now - last->second >= takeoverDelay));
        }
        m_orders[vm][replica] = m_now;
        agent.noteOrder(replica, at(m_now));
    }

    /// Index of the daemon that may act as the holder, if any. Checks that there is only one.
    std::optional<std::size_t> activeHolder() const
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
    void advanceDaemon(daemon& item)
    {
        if (item.isFrozen || item.isStopped)
            return;
        const instant now = at(m_now);
        if (!item.isDisconnected && !item.isReadBlocked && now - item.confirmedAt >= m_readInterval) {
            if (now - item.confirmedAt > 1500ms)
                item.regainedAt = now;
            if (item.hasPages)
                readTail(item, now);
            else
                readPage(item, now);
        }
        const std::vector<lease_record> records = item.agent.tick({ item.confirmedAt, item.regainedAt }, now);
        if (records.empty())
            return;
        if (!item.isDisconnected)
            write(item, records, now);
        item.agent.onWritten(now);
    }

    void readTail(daemon& item, instant now)
    {
        for (; item.read < m_log.size(); ++item.read)
            apply(item, item.read, now);
        item.confirmedAt = now;
    }

    /// Reads the next page of newest records; after the last one applies those before the end that the first page named.
    void readPage(daemon& item, instant now)
    {
        if (item.lastPagedKey.empty()) {
            item.firstNew = std::exchange(item.read, m_log.size());
            item.pagedAt = now;
        }
        std::map<std::string, std::size_t>::const_iterator next = m_newest.upper_bound(item.lastPagedKey);
        for (std::size_t count = 0; count < m_pageSize && next != m_newest.end(); ++count, ++next) {
            item.lastPagedKey = next->first;
            if (next->second >= item.firstNew && next->second < item.read)
                item.paged.push_back(next->second);
        }
        if (next != m_newest.end())
            return;
        std::sort(item.paged.begin(), item.paged.end());
        for (const std::size_t offset : item.paged)
            apply(item, offset, now);
        item.hasPages = true;
        item.confirmedAt = item.pagedAt;
    }

    void apply(daemon& item, std::size_t offset, instant now)
    {
        const log_entry& entry = m_log[offset];
        if (!entry.value) {
            item.records.remove(entry.key);
            return;
        }
        item.table.apply(*entry.value, offset, now);
        item.records.add(entry.key, *entry.value, offset, item.table, now);
        item.agent.onRead(*entry.value);
    }

    void write(daemon& item, const std::vector<lease_record>& records, instant now)
    {
        for (const lease_record& record : records)
            append(item, record);
        if (!item.agent.removesRecords())
            return;
        for (const std::string& key : item.records.obsoleteSince(now - item.agent.recordRetention(), maxRemovals)) {
            m_newest.erase(key);
            m_log.push_back({ key, std::nullopt });
        }
    }

    void append(daemon& item, const lease_record& record)
    {
        const bool isRenewal = std::holds_alternative<lease_renewal>(record);
        const std::string key = item.name + (isRenewal ? "/renewal" : "/" + std::to_string(++item.writes));
        m_newest[key] = m_log.size();
        m_log.push_back({ key, record });
    }

    static constexpr std::size_t maxRemovals = 500;

    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::vector<log_entry> m_log;
    /// Offset of the newest record of each key.
    std::map<std::string, std::size_t> m_newest;
    /// Time of the last order to each replica, by VM.
    std::map<std::string, std::map<std::string, std::chrono::milliseconds>> m_orders;
    std::chrono::milliseconds m_now = 0ms;
    duration m_readInterval {};
    duration m_recordRetention = lease_table::formerHolderRetention;
    std::size_t m_pageSize = 500;
};

}

TEST_CASE("A free lease is claimed by one daemon and stays with it")
{
    lease_simulation simulation(5);
    simulation.advance(1s);
    const std::optional<std::size_t> first = simulation.activeHolder();
    REQUIRE(first);
    simulation.add("vm9", "life9");
    simulation.advance(20s);
    CHECK(simulation.activeHolder() == first);
}

TEST_CASE("A lease moves at once when its holder stops, except for replicas that just got an order")
{
    lease_simulation simulation(3);
    simulation.advance(1s);
    lease_simulation::daemon& first = simulation[*simulation.activeHolder()];
    first.agent.noteOrder("r1", at(simulation.now()));
    simulation.release(first);
    simulation.advance(700ms);
    const std::optional<std::size_t> second = simulation.activeHolder();
    REQUIRE(second);
    CHECK(simulation[*second].agent.barredReplicas(lease, at(simulation.now())) == std::vector<std::string> { "r1" });
    CHECK(simulation[*second].agent.fencingToken(lease) > 1);
    simulation.advance(takeoverDelay);
    CHECK(simulation[*second].agent.barredReplicas(lease, at(simulation.now())).empty());
}

TEST_CASE("The lease of a failed daemon has a holder again within three seconds, but orders wait longer")
{
    lease_simulation simulation(3);
    simulation.advance(1s);
    const std::size_t first = *simulation.activeHolder();
    simulation[first].isFrozen = true;
    simulation.advance(2500ms);
    std::size_t holders = 0;
    for (std::size_t index = 0; index < simulation.size(); ++index)
        holders += index != first && simulation[index].agent.isHeld(lease) ? 1 : 0;
    CHECK(holders == 1);
    CHECK_FALSE(simulation.activeHolder());
    simulation.advance(3s);
    CHECK(simulation.activeHolder());
}

TEST_CASE("A daemon that restarts on its VM takes its lease back without a delay")
{
    lease_simulation simulation(1);
    simulation.advance(1s);
    simulation[0].isFrozen = true;
    simulation.add("vm0", "next life");
    simulation.advance(500ms);
    CHECK(simulation[1].agent.mayAct(lease, at(simulation.now())));
}

// review/6: the VM that was ended for its memory took the lease back each time, while others had room.
TEST_CASE("A VM whose processes keep ending soon after their claims leaves the lease to others")
{
    lease_simulation simulation(3);
    simulation.advance(1s);
    const std::string vm = simulation[*simulation.activeHolder()].vm;
    std::size_t ends = 0;
    for (int life = 0; life < 20; ++life) {
        const std::optional<std::size_t> holder = simulation.activeHolder();
        if (holder && simulation[*holder].vm != vm)
            break;
        simulation.restart(vm, "life" + std::to_string(life) + "-of-" + vm, false);
        ++ends;
        simulation.advance(4s);
    }
    CHECK(ends <= 3);
    simulation.advance(10s);
    CHECK(simulation[*simulation.activeHolder()].vm != vm);
}

TEST_CASE("A VM that is alone keeps the lease, however often its processes end")
{
    lease_simulation simulation(1);
    for (int life = 0; life < 5; ++life) {
        simulation.restart("vm0", "next life" + std::to_string(life), false);
        simulation.advance(8s);
        CHECK(simulation.activeHolder());
    }
}

TEST_CASE("Processes that held the lease for long do not count as ended soon")
{
    lease_simulation simulation(3);
    simulation.advance(1s);
    const std::string vm = simulation[*simulation.activeHolder()].vm;
    for (int life = 0; life < 5; ++life) {
        simulation.advance(12s);
        simulation.restart(vm, "next life" + std::to_string(life), false);
        simulation.advance(1s);
        CHECK(simulation[*simulation.activeHolder()].vm == vm);
    }
}

TEST_CASE("The lease stays with its holder during an outage of the log, and the holder continues afterwards")
{
    lease_simulation simulation(3);
    simulation.advance(1s);
    const std::optional<std::size_t> first = simulation.activeHolder();
    REQUIRE(first);
    for (std::size_t index = 0; index < simulation.size(); ++index)
        simulation[index].isDisconnected = true;
    simulation.advance(10s);
    CHECK_FALSE(simulation.activeHolder());
    for (std::size_t index = 0; index < simulation.size(); ++index)
        simulation[index].isDisconnected = false;
    simulation.advance(1s);
    CHECK(simulation.activeHolder() == first);
}

TEST_CASE("No two daemons may act at once, whichever daemons are disconnected or frozen")
{
    REQUIRE(rc::check([] {
        lease_simulation simulation(4);
        const int changes = *rc::gen::inRange(1, 25);
        for (int number = 0; number < changes; ++number) {
            lease_simulation::daemon& item = simulation[*rc::gen::inRange<std::size_t>(0, simulation.size())];
            if (*rc::gen::arbitrary<bool>())
                item.isDisconnected = !item.isDisconnected;
            else
                item.isFrozen = !item.isFrozen;
            const int slices = *rc::gen::inRange(1, 40);
            for (int slice = 0; slice < slices; ++slice) {
                simulation.advance(100ms);
                simulation.activeHolder();
            }
        }
    }));
}

TEST_CASE("A holder that writes but does not read sends no order while the next holder may act")
{
    lease_simulation simulation(2);
    simulation.advance(1s);
    const std::size_t first = *simulation.activeHolder();
    simulation.sendOrder("r1");
    simulation[first].isDisconnected = true;
    simulation.advance(1700ms);
    simulation[first].isReadBlocked = true;
    for (int slice = 0; slice < 100; ++slice) {
        simulation.advance(100ms);
        simulation[first].isDisconnected = slice < 2;
        simulation.sendOrder("r1");
    }
}

TEST_CASE("A release by a holder that could not act yet does not shorten the wait for an unresponsive holder")
{
    lease_simulation simulation(3);
    simulation.advance(1s);
    const std::size_t unresponsive = *simulation.activeHolder();
    for (int slice = 0; slice < 10; ++slice) {
        simulation.advance(100ms);
        simulation.sendOrder("r1");
    }
    simulation[unresponsive].isFrozen = true;
    simulation.advance(2200ms);
    for (std::size_t index = 0; index < simulation.size(); ++index) {
        if (index != unresponsive && simulation[index].agent.isHeld(lease)) {
            simulation.release(simulation[index]);
            break;
        }
    }
    for (int slice = 0; slice < 100; ++slice) {
        simulation.advance(100ms);
        simulation.sendOrder("r1");
    }
}

TEST_CASE("The VM of the holder continues at once when all daemons restart long after a takeover from an unresponsive holder")
{
    lease_simulation simulation(3);
    simulation.advance(1s);
    const std::size_t unresponsive = *simulation.activeHolder();
    simulation[unresponsive].isFrozen = true;
    simulation.advance(12s);
    const std::size_t holder = *simulation.activeHolder();
    for (std::size_t index = 0; index < 3; ++index)
        simulation[index].isFrozen = true;
    for (std::size_t index = 0; index < 3; ++index)
        simulation.add("vm" + std::to_string(index), "next life" + std::to_string(index));
    simulation.advance(1s);
    CHECK(simulation.activeHolder() == holder + 3);
}

TEST_CASE("Orders of a holder before the last one also bar their replicas")
{
    lease_simulation simulation(3);
    simulation.advance(1s);
    for (int holder = 0; holder < 2; ++holder) {
        const std::size_t index = *simulation.activeHolder();
        simulation.sendOrder("r1");
        simulation.release(simulation[index]);
        simulation.advance(500ms);
    }
    simulation.sendOrder("r1");
}

TEST_CASE("No two VMs send orders to a replica within the takeover delay, whichever daemons are disconnected, frozen or stopped")
{
    REQUIRE(rc::check([] {
        lease_simulation simulation(5);
        const int changes = *rc::gen::inRange(1, 20);
        for (int number = 0; number < changes; ++number) {
            lease_simulation::daemon& item = simulation[*rc::gen::inRange<std::size_t>(0, simulation.size())];
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                simulation.release(item);
                break;
            case 1:
                item.isFrozen = !item.isFrozen;
                break;
            case 2:
                item.isReadBlocked = !item.isReadBlocked;
                break;
            default:
                item.isDisconnected = !item.isDisconnected;
                break;
            }
            const int slices = *rc::gen::inRange(1, 40);
            for (int slice = 0; slice < slices; ++slice) {
                simulation.advance(100ms);
                simulation.sendOrder(slice % 3 == 0 ? "r1" : "r2");
            }
        }
    }));
}

TEST_CASE("A daemon that starts from a compacted log finds the same holder")
{
    const lease_party first { "vm1", "a" };
    const lease_party second { "vm2", "b" };
    const std::vector<lease_record> records { lease_claim { lease, first, std::nullopt }, lease_renewal { first },
        lease_claim { lease, second, 0 }, lease_renewal { first }, lease_claim { lease, { "vm3", "c" }, 0 }, lease_renewal { second } };
    lease_table full;
    for (std::size_t offset = 0; offset < records.size(); ++offset)
        full.apply(records[offset], offset, at(0ms));
    lease_table compacted;
    for (const std::size_t offset : { 0U, 2U, 3U, 4U, 5U })
        compacted.apply(records[offset], offset, at(0ms));
    CHECK(full.find(lease)->holder == second);
    CHECK(compacted.find(lease)->holder == second);
    CHECK(compacted.find(lease)->claimOffset == full.find(lease)->claimOffset);
}

TEST_CASE("In a large fleet, a VM with a large processor share gets the lease, and few claims are lost")
{
    lease_simulation simulation(0);
    for (int number = 0; number < 300; ++number)
        simulation.add("vm" + std::to_string(number), "life" + std::to_string(number), number % 5 == 0 ? 0.5 : 0.12);
    simulation.setReadInterval(120ms);
    simulation.advance(1500ms);
    const std::optional<std::size_t> first = simulation.activeHolder();
    REQUIRE(first);
    CHECK(*first % 5 == 0);
    // Without claim delays, all 300 daemons would claim.
    CHECK(simulation.claims() < 40);
}

TEST_CASE("One or two daemons hold all leases between them")
{
    for (const std::size_t daemons : { 1U, 2U }) {
        DYNAMIC_SECTION(daemons << " daemons")
        {
            lease_simulation simulation(daemons);
            const std::vector<std::string> leases { "orders", "model/a", "model/b", "model/c" };
            for (std::size_t number = 0; number < daemons; ++number)
                simulation[number].agent.setLeases(leases);
            simulation.advance(6s);
            std::size_t held = 0;
            for (std::size_t number = 0; number < daemons; ++number) {
                for (const std::string& name : leases)
                    held += simulation[number].agent.isHeld(name) ? 1U : 0U;
            }
            CHECK(held == leases.size());
        }
    }
}

TEST_CASE("A daemon that never claimed a lease releases none")
{
    lease_simulation simulation(5);
    simulation.advance(2s);
    const std::size_t claims = simulation.claims();
    std::size_t others = 0;
    for (std::size_t index = 0; index < simulation.size(); ++index)
        others += simulation[index].agent.release(at(simulation.now())) ? 0U : 1U;
    CHECK(others == 5 - claims);
}

TEST_CASE("A claim that is read back only after the shutdown began is released")
{
    lease_simulation simulation(1);
    while (simulation.claims() == 0)
        simulation.advance(step);
    CHECK_FALSE(simulation[0].agent.isHeld(lease));
    CHECK(simulation[0].agent.release(at(simulation.now())));
}

// Each claim and release stayed in the log for good, so 400 daemons restarted 50 times left 20,000 keys and more.
TEST_CASE("The records of the leases stay few, however often daemons are restarted")
{
    constexpr std::size_t daemons = 400;
    struct fleet_case {
        std::size_t models;
        int restarts;
    };
    const fleet_case fleet = GENERATE(values<fleet_case>({ { 0, 50 }, { 6, 10 } }));
    std::vector<std::string> leases { lease };
    for (std::size_t number = 0; number < fleet.models; ++number)
        leases.push_back("model/" + std::to_string(number));
    lease_simulation simulation(0);
    simulation.setReadInterval(120ms);
    // Less than the 60 s of the product, since a restart follows each 6 s.
    simulation.setRecordRetention(5s);
    std::size_t most = 0;
    for (int restart = 0; restart <= fleet.restarts; ++restart) {
        for (std::size_t number = 0; number < daemons; ++number)
            simulation.add("vm" + std::to_string(number), "life" + std::to_string(restart) + "-" + std::to_string(number)).agent.setLeases(leases);
        for (int slice = 0; slice < 12; ++slice) {
            simulation.advance(500ms);
            most = std::max(most, simulation.keys());
        }
        if (restart == fleet.restarts)
            break;
        for (std::size_t index = 0; index < simulation.size(); ++index)
            simulation.release(simulation[index]);
        simulation.removeStopped();
    }
    INFO(leases.size() << " leases, " << simulation.claims() << " claims, at most " << most << " keys, " << simulation.keys() << " in the end");
    CHECK(most < 2 * (leases.size() + daemons));
    simulation.advance(6s);
    CHECK(simulation.keys() <= 2 * leases.size());
}

TEST_CASE("No two VMs send orders to a replica within the takeover delay while daemons restart and records are removed")
{
    REQUIRE(rc::check([] {
        lease_simulation simulation(0);
        simulation.setRecordRetention(5s);
        simulation.setPageSize(*rc::gen::inRange<std::size_t>(1, 6));
        for (int number = 0; number < 4; ++number)
            simulation.add("vm" + std::to_string(number), "life" + std::to_string(number));
        const int changes = *rc::gen::inRange(1, 20);
        for (int number = 0; number < changes; ++number) {
            lease_simulation::daemon& item = simulation[*rc::gen::inRange<std::size_t>(0, simulation.size())];
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
            case 1:
                simulation.restart("vm" + std::to_string(*rc::gen::inRange(0, 4)), "next life" + std::to_string(number), *rc::gen::arbitrary<bool>());
                break;
            case 2:
                item.isFrozen = !item.isFrozen;
                break;
            case 3:
                item.isReadBlocked = !item.isReadBlocked;
                break;
            case 4:
                simulation.missTail(item);
                break;
            default:
                item.isDisconnected = !item.isDisconnected;
                break;
            }
            const int slices = *rc::gen::inRange(1, 100);
            for (int slice = 0; slice < slices; ++slice) {
                simulation.advance(100ms);
                simulation.sendOrder(slice % 3 == 0 ? "r1" : "r2");
            }
        }
    }));
}

namespace {

/// Fleet in which each daemon reads all new records at an interval, so late by up to that time.
struct late_read_case {
    const char* name;
    std::chrono::milliseconds readInterval;
};

const late_read_case lateReads[] = {
    { "at once", 0ms },
    { "120 ms", 120ms },
    { "400 ms", 400ms },
    { "800 ms", 800ms },
    { "1400 ms", 1400ms },
    { "3 s", 3s },
};

}

// Each daemon claimed again every 0.4 s before it had read its own claim.
TEST_CASE("Daemons claimed a lease several times while they read the records late")
{
    constexpr std::size_t daemons = 400;
    for (const late_read_case& row : lateReads) {
        DYNAMIC_SECTION(row.name)
        {
            lease_simulation simulation(daemons);
            simulation.setReadInterval(row.readInterval);
            simulation.advance(8s);
            std::size_t holder = 0;
            while (!simulation[holder].agent.isHeld(lease))
                ++holder;
            const std::size_t first = simulation.claims();
            simulation.release(simulation[holder]);
            simulation.advance(8s);
            const std::size_t later = simulation.claims() - first;
            CAPTURE(first, later);
            CHECK(first <= daemons);
            CHECK(later <= daemons);
        }
    }
}
