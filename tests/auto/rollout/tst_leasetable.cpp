#include <support/rolloutfixture.h>

#include <rollout/leaserecords.h>
#include <rollout/leasetable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> leases { "orders", "model/a" };
constexpr std::size_t parties = 4;

/// Record of the log; one without a value removes its key.
struct log_entry {
    std::string key;
    std::optional<lease_record> value;
};

/// Log that keeps the newest record of each key, with all of its history.
struct keyed_log {
    std::vector<log_entry> entries;
    std::map<std::string, std::size_t> newest;

    void append(log_entry entry)
    {
        if (entry.value)
            newest[entry.key] = entries.size();
        else
            newest.erase(entry.key);
        entries.push_back(std::move(entry));
    }
};

/// Reader that starts from pages of newest records and follows the tail, and reads the pages again when it has missed a part
/// of the tail.
struct table_reader {
    lease_table table;
    lease_records records;
    std::size_t next = 0;
    /// Records before this one have been applied already when the pages are read.
    std::size_t firstNew = 0;
    std::string lastKey;
    std::vector<std::size_t> paged;
    std::set<std::string, std::less<>> pagedKeys;
    bool hasStarted = false;
    bool hasPages = false;
    std::map<std::string, std::uint64_t> highestTokens;

    void apply(const keyed_log& log, std::size_t offset, instant now = at(0ms))
    {
        const log_entry& entry = log.entries[offset];
        if (!entry.value) {
            records.remove(entry.key);
            return;
        }
        table.apply(*entry.value, offset, now);
        records.add(entry.key, *entry.value, offset, table, now);
        for (const std::string& lease : leases) {
            const lease_state* const state = table.find(lease);
            const std::uint64_t token = state ? state->claimOffset + 1 : 0;
            RC_ASSERT(token >= highestTokens[lease]);
            highestTokens[lease] = token;
        }
    }

    void readPage(const keyed_log& log, std::size_t size)
    {
        if (!std::exchange(hasStarted, true))
            firstNew = std::exchange(next, log.entries.size());
        std::map<std::string, std::size_t>::const_iterator item = log.newest.upper_bound(lastKey);
        for (std::size_t count = 0; count < size && item != log.newest.end(); ++count, ++item) {
            lastKey = item->first;
            pagedKeys.insert(lastKey);
            if (item->second >= firstNew && item->second < next)
                paged.push_back(item->second);
        }
        if (item != log.newest.end())
            return;
        hasPages = true;
        records.retain(pagedKeys);
        std::sort(paged.begin(), paged.end());
        for (const std::size_t offset : paged)
            apply(log, offset);
    }

    /// The log has dropped records of the tail that were not read yet.
    void missTail()
    {
        hasStarted = false;
        hasPages = false;
        lastKey.clear();
        paged.clear();
        pagedKeys.clear();
    }

    void readTail(const keyed_log& log, std::size_t end)
    {
        for (; next < end; ++next)
            apply(log, next);
    }
};

/// Random processes that write to one log and remove records from it, with readers that start at any moment.
class table_simulation {
public:
    table_simulation() { m_reference.hasPages = true; }

    void step()
    {
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
        case 2:
            claim();
            break;
        case 3:
            writeOther();
            break;
        case 4:
            remove();
            break;
        case 5:
            removeLate();
            break;
        case 6:
            m_readers.push_back(std::make_unique<table_reader>());
            break;
        default:
            readSome();
            break;
        }
        m_reference.readTail(m_log, m_log.entries.size());
        checkFormerRule();
    }

    /// Lets all readers catch up; they have to agree with the one that followed the log from its beginning.
    void checkReaders()
    {
        m_readers.push_back(std::make_unique<table_reader>());
        for (const std::unique_ptr<table_reader>& reader : m_readers) {
            while (!reader->hasPages)
                reader->readPage(m_log, 2);
            reader->readTail(m_log, m_log.entries.size());
            for (const std::string& lease : leases)
                checkSame(m_reference.table.find(lease), reader->table.find(lease));
        }
    }

    /// The keys that are left once all that is obsolete is removed.
    std::size_t keysAfterRemoval()
    {
        for (int pass = 0; pass < 2; ++pass) {
            for (const std::string& key : m_reference.records.obsoleteSince(at(0ms), m_log.newest.size()))
                m_log.append({ key, std::nullopt });
            m_reference.readTail(m_log, m_log.entries.size());
        }
        RC_ASSERT(m_reference.records.size() == m_log.newest.size());
        return m_log.newest.size();
    }

private:
    static void checkSame(const lease_state* expected, const lease_state* found)
    {
        RC_ASSERT((expected == nullptr) == (found == nullptr));
        if (!expected)
            return;
        RC_ASSERT(found->claimOffset == expected->claimOffset);
        RC_ASSERT(found->holder == expected->holder);
        RC_ASSERT(found->isReleased == expected->isReleased);
        RC_ASSERT(found->renewalsBefore == expected->renewalsBefore);
    }

    /// The rule of the former release: a claim takes effect if it names the newest one that did.
    void checkFormerRule()
    {
        for (; m_checked < m_log.entries.size(); ++m_checked) {
            const std::optional<lease_record>& value = m_log.entries[m_checked].value;
            const lease_claim* const claim = value ? std::get_if<lease_claim>(&*value) : nullptr;
            if (!claim)
                continue;
            std::optional<std::uint64_t>& newest = m_formerRule[claim->lease];
            if (newest == claim->formerClaim)
                newest = m_checked;
        }
        for (const std::string& lease : leases) {
            const lease_state* const state = m_reference.table.find(lease);
            RC_ASSERT((state ? std::optional<std::uint64_t>(state->claimOffset) : std::nullopt) == m_formerRule[lease]);
        }
    }

    /// A claim of a process that is up to date, or behind by any number of records.
    void claim()
    {
        const std::string lease = *rc::gen::elementOf(leases);
        std::vector<std::optional<std::uint64_t>>& former = m_holders[lease];
        const lease_state* const state = m_reference.table.find(lease);
        if (former.empty())
            former.emplace_back(std::nullopt);
        if (state && former.back() != state->claimOffset)
            former.emplace_back(state->claimOffset);
        const std::size_t behind = *rc::gen::weightedOneOf<std::size_t>({ { 2, rc::gen::just<std::size_t>(0) }, { 1, rc::gen::inRange<std::size_t>(0, former.size()) } });
        const lease_party party = someParty();
        m_log.append({ party.instance + "/" + std::to_string(++m_writes), lease_claim { lease, party, former[former.size() - 1 - behind], m_writes } });
    }

    void writeOther()
    {
        const lease_party party = someParty();
        if (*rc::gen::arbitrary<bool>()) {
            m_log.append({ party.instance + "/renewal", lease_renewal { party, ++m_writes } });
            return;
        }
        // A process that has released writes no more, so another one takes its number.
        m_log.append({ party.instance + "/" + std::to_string(++m_writes), lease_release { party, { { "r1", 1ms } } } });
        ++m_lives[party.vm];
    }

    lease_party someParty()
    {
        const std::string vm = "vm" + std::to_string(*rc::gen::inRange<std::size_t>(0, parties));
        return { vm, vm + "-" + std::to_string(m_lives[vm]) };
    }

    /// Removes any of the records that some reader takes for obsolete, now or later. Several readers may remove the same.
    void remove()
    {
        const std::size_t index = *rc::gen::inRange<std::size_t>(0, m_readers.size() + 1);
        const table_reader& remover = index < m_readers.size() ? *m_readers[index] : m_reference;
        const bool isLate = *rc::gen::arbitrary<bool>();
        for (const std::string& key : remover.records.obsoleteSince(at(0ms), *rc::gen::inRange<std::size_t>(1, 20))) {
            if (*rc::gen::inRange(0, 4) == 0)
                continue;
            if (isLate)
                m_lateRemovals.push_back(key);
            else
                m_log.append({ key, std::nullopt });
        }
    }

    void removeLate()
    {
        for (const std::string& key : m_lateRemovals)
            m_log.append({ key, std::nullopt });
        m_lateRemovals.clear();
    }

    void readSome()
    {
        for (const std::unique_ptr<table_reader>& reader : m_readers) {
            if (*rc::gen::arbitrary<bool>())
                continue;
            if (reader->hasPages && *rc::gen::inRange(0, 6) == 0)
                reader->missTail();
            if (!reader->hasPages)
                reader->readPage(m_log, *rc::gen::inRange<std::size_t>(1, 5));
            else
                reader->readTail(m_log, *rc::gen::inRange<std::size_t>(reader->next, m_log.entries.size() + 1));
        }
    }

    keyed_log m_log;
    table_reader m_reference;
    std::vector<std::unique_ptr<table_reader>> m_readers;
    std::vector<std::string> m_lateRemovals;
    std::map<std::string, std::vector<std::optional<std::uint64_t>>> m_holders;
    std::map<std::string, std::optional<std::uint64_t>> m_formerRule;
    std::map<std::string, std::size_t> m_lives;
    std::uint64_t m_writes = 0;
    std::size_t m_checked = 0;
};

/// Claim of the holder as the former release finds it: any claim is taken for the first one, and each further claim takes
/// effect if it names the newest one that did.
std::optional<std::uint64_t> holderByFormerRule(const keyed_log& log)
{
    std::set<std::size_t> offsets;
    for (const std::pair<const std::string, std::size_t>& item : log.newest)
        offsets.insert(item.second);
    std::optional<std::uint64_t> holder;
    for (const std::size_t offset : offsets) {
        if (!holder || std::get<lease_claim>(*log.entries[offset].value).formerClaim == holder)
            holder = offset;
    }
    return holder;
}

const lease_party first { "vm1", "a" };
const lease_party second { "vm2", "b" };
const lease_party third { "vm3", "c" };
const lease_party fourth { "vm4", "d" };

}

TEST_CASE("All readers find the same holders, whenever they start and whatever is removed meanwhile")
{
    REQUIRE(rc::check([] {
        table_simulation simulation;
        const int steps = *rc::gen::inRange(1, 120);
        for (int number = 0; number < steps; ++number)
            simulation.step();
        simulation.checkReaders();
        RC_ASSERT(simulation.keysAfterRemoval() <= 3 * leases.size());
        simulation.checkReaders();
    }));
}

// A claim that had lost took effect at readers that no longer found the claim that won.
TEST_CASE("A lost claim takes no effect at a reader that finds neither the claim that won nor the one that both named")
{
    // Offsets of the records of the lease: the second party won against the third, then the fourth took over.
    const std::vector<lease_record> records { lease_claim { "orders", first, std::nullopt }, lease_claim { "orders", second, 0 },
        lease_claim { "orders", third, 0 }, lease_claim { "orders", fourth, 1 }, lease_claim { "orders", third, 1 } };
    const std::vector<std::size_t> found = GENERATE(values<std::vector<std::size_t>>(
        { { 0, 1, 2, 3, 4 }, { 0, 2, 3, 4 }, { 1, 2, 3, 4 }, { 2, 3, 4 }, { 2, 3 }, { 0, 3, 4 }, { 3, 4 }, { 3 } }));
    lease_table table;
    for (const std::size_t offset : found)
        table.apply(records[offset], offset, at(0ms));
    CHECK(table.find("orders")->holder == fourth);
    CHECK(table.find("orders")->claimOffset == 3);
}

TEST_CASE("Records of the present holder are never removed, and lost claims go before those of former holders")
{
    const std::vector<log_entry> log { { "a/1", lease_claim { "orders", first, std::nullopt } }, { "a/renewal", lease_renewal { first, 1 } },
        { "c/1", lease_claim { "orders", third, std::nullopt } }, { "a/2", lease_release { first, {} } },
        { "b/1", lease_claim { "orders", second, 0 } }, { "b/renewal", lease_renewal { second, 1 } }, { "b/2", lease_release { second, {} } } };
    lease_table table;
    lease_records records;
    for (std::size_t offset = 0; offset < log.size(); ++offset) {
        table.apply(*log[offset].value, offset, at(std::chrono::seconds(offset)));
        records.add(log[offset].key, *log[offset].value, offset, table, at(std::chrono::seconds(offset)));
    }
    CHECK(records.obsoleteSince(at(1s), 10).empty());
    CHECK(records.obsoleteSince(at(3s), 10) == std::vector<std::string> { "c/1" });
    CHECK(records.obsoleteSince(at(100s), 1) == std::vector<std::string> { "c/1" });
    CHECK(records.obsoleteSince(at(100s), 10) == std::vector<std::string> { "c/1", "a/1" });
    records.remove("c/1");
    records.remove("a/1");
    // The renewal and the release of a process go only once its claims are gone.
    CHECK(records.obsoleteSince(at(100s), 10) == std::vector<std::string> { "a/renewal", "a/2" });
    records.retain({ "b/1", "b/renewal" });
    CHECK(records.obsoleteSince(at(100s), 10).empty());
    CHECK(records.size() == 2);
}

TEST_CASE("A daemon of the former release that starts between two removals finds the same holder")
{
    REQUIRE(rc::check([] {
        keyed_log log;
        table_reader follower;
        const int steps = *rc::gen::inRange(1, 60);
        std::vector<std::optional<std::uint64_t>> holders { std::nullopt };
        for (int number = 0; number < steps; ++number) {
            if (*rc::gen::inRange(0, 3) == 0) {
                const instant time = at(std::chrono::seconds(*rc::gen::inRange(0, number + 1)));
                for (const std::string& key : follower.records.obsoleteSince(time, *rc::gen::inRange<std::size_t>(1, 4)))
                    log.append({ key, std::nullopt });
            } else {
                const std::size_t behind = *rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(holders.size(), 3));
                log.append({ std::to_string(number), lease_claim { "orders", first, holders[holders.size() - 1 - behind] } });
            }
            for (; follower.next < log.entries.size(); ++follower.next)
                follower.apply(log, follower.next, at(std::chrono::seconds(number)));
            const lease_state* const state = follower.table.find("orders");
            if (state && holders.back() != state->claimOffset)
                holders.emplace_back(state->claimOffset);
            RC_ASSERT(holderByFormerRule(log) == holders.back());
        }
    }));
}
