#include "catalogueworkload.h"

#include <core/cataloguereader.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <span>

using namespace ragwortreach;

namespace {

constexpr std::size_t recordsPerRead = 5;

/// Simulation of a log service with outages, retention and lost replies, and of the catalogue readers of a fleet.
class simulated_fleet {
public:
    explicit simulated_fleet(std::size_t size)
        : m_readers(size)
        , m_pending(size)
        , m_lastPositions(size)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_readers[i].setWriter(true);
    }

    void append()
    {
        m_log.push_back(arbitraryRecord(m_log));
        m_prefix.apply(m_log.back());
        m_hashes.push_back(m_prefix.hash());
    }

    void setDown(bool isDown) { m_isDown = isDown; }
    void setCutOff(std::size_t reader, bool isCutOff) { m_cutOff = isCutOff ? reader : m_readers.size(); }

    /// Drops the oldest records, as retention does: only those that a snapshot in the log covers.
    void expire()
    {
        m_firstRetained = std::max(m_firstRetained, m_covered);
    }

    void restart(std::size_t reader)
    {
        m_readers[reader] = catalogue_reader();
        m_readers[reader].setWriter(arbitraryBelow(2) == 0);
        m_pending[reader].clear();
        m_lastPositions[reader] = 0;
    }

    void tick(std::size_t reader, duration elapsed)
    {
        m_now += elapsed;
        handle(reader, catalogue_events::tick {});
    }

    void loseReply(std::size_t reader)
    {
        if (!m_pending[reader].empty())
            m_pending[reader].erase(m_pending[reader].begin());
    }

    /// Performs one pending effect of \a reader, in any order.
    void deliver(std::size_t reader)
    {
        if (m_pending[reader].empty())
            return;
        const std::vector<catalogue_effect>::iterator it = m_pending[reader].begin() + arbitraryBelow(std::ssize(m_pending[reader]));
        const catalogue_effect effect = *it;
        m_pending[reader].erase(it);
        perform(reader, effect);
    }

    bool isCurrent(std::size_t reader) const { return m_readers[reader].isReady() && m_readers[reader].table().position() == m_log.size(); }
    std::size_t size() const { return m_readers.size(); }

private:
    void handle(std::size_t reader, const catalogue_event& event)
    {
        for (const catalogue_effect& effect : m_readers[reader].handle(event, m_now))
            m_pending[reader].push_back(effect);
        const catalogue_table& table = m_readers[reader].table();
        RC_ASSERT(table.gaps() == 0U);
        RC_ASSERT(table.position() >= m_lastPositions[reader]);
        if (table.position() != m_lastPositions[reader])
            RC_ASSERT(table.hash() == m_hashes[table.position()]);
        m_lastPositions[reader] = table.position();
    }

    void perform(std::size_t reader, const catalogue_effect& effect)
    {
        const bool isReachable = !m_isDown && reader != m_cutOff;
        if (const catalogue_effects::read_log* read = std::get_if<catalogue_effects::read_log>(&effect))
            return isReachable ? readLog(reader, read->from) : handle(reader, catalogue_events::log_unavailable {});
        if (std::holds_alternative<catalogue_effects::read_snapshots>(effect)) {
            if (!isReachable)
                return handle(reader, catalogue_events::log_unavailable {});
            return handle(reader, catalogue_events::snapshots_received { m_snapshots });
        }
        if (const catalogue_effects::ask_peer* ask = std::get_if<catalogue_effects::ask_peer>(&effect))
            return askPeer(reader, ask->from);
        const catalogue_effects::write_snapshot* write = std::get_if<catalogue_effects::write_snapshot>(&effect);
        if (write == nullptr || !isReachable)
            return;
        m_snapshots.push_back(write->text);
        m_covered = std::max(m_covered, write->covered);
    }

    void readLog(std::size_t reader, std::uint64_t from)
    {
        if (from < m_firstRetained)
            return handle(reader, catalogue_events::log_truncated { m_firstRetained, m_log.size() });
        catalogue_events::log_records_received answer;
        answer.end = m_log.size();
        answer.next = std::min<std::uint64_t>(from + recordsPerRead, answer.end);
        answer.records = slice(from, answer.next);
        handle(reader, answer);
    }

    std::vector<log_record> slice(std::uint64_t begin, std::uint64_t end) const
    {
        const std::span<const log_record> records = std::span(m_log).subspan(begin, end - begin);
        return { records.begin(), records.end() };
    }

    void askPeer(std::size_t reader, std::uint64_t from)
    {
        const std::size_t peer = arbitraryBelow(m_readers.size());
        const std::uint64_t end = m_readers[peer].table().position();
        if (arbitraryBelow(2) == 0) {
            const std::optional<std::string> text = m_readers[peer].snapshotFor(from);
            return handle(reader, catalogue_events::snapshots_received { text ? std::vector<std::string> { *text } : std::vector<std::string>(), true });
        }
        catalogue_events::peer_records_received answer;
        const std::uint64_t begin = std::min(end, from + arbitraryBelow<std::uint64_t>(2));
        answer.records = slice(begin, end);
        handle(reader, answer);
    }

    std::vector<log_record> m_log;
    /// State after all records of the log.
    catalogue_table m_prefix;
    /// Expected hash at each position.
    std::vector<std::uint64_t> m_hashes { catalogue_table().hash() };
    std::vector<catalogue_reader> m_readers;
    std::vector<std::vector<catalogue_effect>> m_pending;
    std::vector<std::uint64_t> m_lastPositions;
    std::vector<std::string> m_snapshots;
    std::uint64_t m_covered = 0;
    std::uint64_t m_firstRetained = 0;
    std::size_t m_cutOff = 1000;
    bool m_isDown = false;
    instant m_now;
};

void step(simulated_fleet& fleet)
{
    const std::size_t reader = arbitraryBelow(fleet.size());
    const int kind = arbitraryBelow(20);
    if (kind == 0)
        return fleet.setDown(arbitraryBelow(2) == 0);
    if (kind == 1)
        return fleet.restart(reader);
    if (kind == 2)
        return fleet.expire();
    if (kind == 3)
        return fleet.setCutOff(reader, arbitraryBelow(2) == 0);
    if (kind == 4)
        return fleet.loseReply(reader);
    if (kind <= 8)
        return fleet.append();
    if (kind <= 11)
        return fleet.tick(reader, *rc::gen::element<duration>(std::chrono::milliseconds(50), std::chrono::seconds(3), std::chrono::minutes(11)));
    fleet.deliver(reader);
}

}

TEST_CASE("Readers agree under outages, restarts, retention, lost replies and stale snapshots")
{
    REQUIRE(rc::check([] {
        simulated_fleet fleet(3);
        for (int i = 0; i < 300; ++i)
            step(fleet);
        fleet.setDown(false);
        fleet.setCutOff(0, false);
        for (int round = 0; round < 100; ++round) {
            for (std::size_t reader = 0; reader < fleet.size(); ++reader) {
                fleet.tick(reader, catalogue_reader::retryPeriod);
                fleet.deliver(reader);
                fleet.deliver(reader);
            }
        }
        for (std::size_t reader = 0; reader < fleet.size(); ++reader)
            RC_ASSERT(fleet.isCurrent(reader));
    }));
}

TEST_CASE("A gap that neither snapshots nor peers can fill is skipped and counted")
{
    catalogue_reader reader;
    instant now;
    reader.handle(catalogue_events::snapshots_received {}, now);
    reader.handle(catalogue_events::log_truncated { 40, 90 }, now);
    reader.handle(catalogue_events::snapshots_received {}, now);
    now += catalogue_reader::gapTimeout - duration(1);
    reader.handle(catalogue_events::tick {}, now);
    CHECK(reader.table().position() == 0);
    reader.handle(catalogue_events::snapshots_received {}, now);
    const std::vector<catalogue_effect> effects = reader.handle(catalogue_events::tick {}, now + duration(1));
    CHECK(reader.table().position() == 40);
    CHECK(reader.table().gaps() == 1);
    CHECK_FALSE(reader.isReady());
    REQUIRE(effects.size() == 1);
    CHECK(effects.front() == catalogue_effect(catalogue_effects::read_log { 40 }));
}
