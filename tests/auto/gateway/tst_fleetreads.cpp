#include "journalfleet.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <utility>

using namespace ragwortreach;

namespace {

const topic_partition journalTopic { "keyed.ragwortreach.journal", 0 };
/// What the log gives out for each daemon.
constexpr std::uint64_t bytesPerSecond = std::uint64_t { 200 } * 1000;
/// Greatest age of a journal that still answers callers.
constexpr duration maxAge = std::chrono::milliseconds(850);
constexpr duration sampleInterval = std::chrono::milliseconds(50);
constexpr duration resultInterval = std::chrono::milliseconds(20);
/// Results that all owners together write in each interval.
constexpr std::size_t resultsPerInterval = 4;
constexpr std::size_t itemsPerBatch = 170;

std::string itemId(std::size_t number)
{
    return "item-" + std::to_string(100000 + number);
}

batch_submission batchNamed(const std::string& id)
{
    batch_submission batch;
    batch.id = id;
    batch.model = "model";
    for (std::size_t number = 0; number < itemsPerBatch; ++number)
        batch.items.push_back({ itemId(number), "/v1/completions", {}, std::string(400, 'p'), 300, 0, "group-" + std::to_string(number / 8) });
    return batch;
}

/// Result whose text is stored apart; about 220 bytes in the log.
item_finished resultOf(const std::string& batch, std::size_t item)
{
    item_finished finished;
    finished.batch = batch;
    finished.item = itemId(item);
    finished.output.lastEvent = 300;
    finished.output.versions = { 41, 42 };
    finished.output.isComplete = true;
    finished.reference = text_reference { batch + "/" + itemId(item) + "/vm-17-1764979200000", 0, 100000, 1, 6000 };
    finished.reward = "c2lnbmF0dXJlLW9mLXRoZS1yZXdhcmQ.MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIz";
    return finished;
}

/// Batches and their results, written to the journal of one daemon.
class result_writer {
public:
    result_writer(journal_fleet& fleet, journal& into, std::string name)
        : m_fleet(fleet)
        , m_journal(into)
        , m_name(std::move(name))
    {
    }

    /// Writes results, and from time to time the batch that they belong to.
    void write(std::size_t results)
    {
        for (std::size_t number = 0; number < results; ++number, ++m_written) {
            if (m_written % itemsPerBatch == 0)
                m_journal.write(batch_accepted { batchNamed(batchId()) }, write_mode::RetryOnRefusal, {});
            m_journal.write(resultOf(batchId(), m_written % itemsPerBatch), write_mode::RetryOnRefusal, {});
        }
    }

    /// Writes the partial texts of a daemon that no longer owns its batches.
    void writePartialTexts()
    {
        constexpr std::size_t texts = 60;
        constexpr std::size_t leastBytes = 5000;
        constexpr std::size_t mostBytes = 37000;
        for (std::size_t number = 0; number < texts; ++number) {
            item_text text { std::string(leastBytes + (mostBytes - leastBytes) * number / (texts - 1), 't'), 30, { 42 } };
            m_journal.write(item_progressed { batchId(), itemId(number), std::move(text) }, write_mode::RetryOnRefusal, {});
        }
    }

    /// Writes results at the usual rate for as long as time advances.
    void writeSteadily()
    {
        write(resultsPerInterval);
        m_fleet.time().callAfter(resultInterval, [this] { writeSteadily(); });
    }

    std::string batchId() const { return m_name + "-" + std::to_string(m_written / itemsPerBatch); }

private:
    journal_fleet& m_fleet;
    journal& m_journal;
    std::string m_name;
    std::size_t m_written = 0;
};

/// Observes a fleet while time advances.
class fleet_watch {
public:
    explicit fleet_watch(journal_fleet& fleet)
        : m_fleet(fleet)
        , m_begin(fleet.time().now())
        , m_lastOld(m_begin)
    {
        for (const std::unique_ptr<journal_fleet::daemon>& each : fleet.daemons())
            m_former.push_back(each->log().totalTraffic());
    }

    void advance(duration time)
    {
        for (duration passed {}; passed < time; passed += sampleInterval) {
            m_fleet.time().advance(sampleInterval);
            sample();
        }
    }

    /// Time from the beginning until no journal was too old any more.
    duration recoveryTime() const { return m_lastOld - m_begin; }

    std::string report() const
    {
        std::string text = "in its worst second a daemon asked for " + std::to_string(m_mostRequestedBytes) + " bytes, in " + std::to_string(m_mostReads) + " calls\n";
        text += "second: daemons behind; reads, failed reads, kB requested, kB received of a daemon on average\n";
        for (std::size_t number = 0; number < m_seconds.size(); ++number)
            text += reportLine(number + 1, m_seconds[number]);
        return text;
    }

private:
    struct sampled_second {
        std::size_t behind = 0;
        log_traffic traffic;
    };

    std::string reportLine(std::size_t second, const sampled_second& sampled) const
    {
        const auto average = [this](std::uint64_t sum) { return static_cast<double>(sum) / static_cast<double>(m_former.size()); };
        std::array<char, 100> line {};
        std::snprintf(line.data(), line.size(), "%2zu: %3zu; %5.1f %5.1f %7.1f %7.1f\n", second, sampled.behind, average(sampled.traffic.reads),
            average(sampled.traffic.failedReads), average(sampled.traffic.requestedBytes) / 1000, average(sampled.traffic.receivedBytes) / 1000);
        return line.data();
    }

    void sample()
    {
        const std::size_t behind = m_fleet.countOlder(maxAge);
        if (behind > 0)
            m_lastOld = m_fleet.time().now();
        if ((m_fleet.time().now() - m_begin) % std::chrono::seconds(1) != duration::zero())
            return;
        sampled_second second { behind, {} };
        for (std::size_t number = 0; number < m_former.size(); ++number) {
            const log_traffic total = m_fleet.daemons()[number]->log().totalTraffic();
            const log_traffic recent = total - std::exchange(m_former[number], total);
            second.traffic += recent;
            m_mostReads = std::max(m_mostReads, recent.reads);
            m_mostRequestedBytes = std::max(m_mostRequestedBytes, recent.requestedBytes);
        }
        m_seconds.push_back(second);
    }

    journal_fleet& m_fleet;
    instant m_begin;
    instant m_lastOld;
    /// Traffic of each daemon until the last full second.
    std::vector<log_traffic> m_former;
    std::vector<sampled_second> m_seconds;
    std::uint64_t m_mostReads = 0;
    std::uint64_t m_mostRequestedBytes = 0;
};

constexpr std::array<std::size_t, 3> fleetSizes { 10, 100, 400 };

/// Makes a journal old enough to have results in its history, and its readers up to date.
void warmUp(journal_fleet& fleet)
{
    fleet.start();
    fleet.time().advance(std::chrono::seconds(5));
    REQUIRE(fleet.greatestAge() <= maxAge);
}

/// Cuts every fifth daemon off from the log for a time; afterwards the first one writes with \a writeBurst.
void cutOffAndReturn(journal_fleet& fleet, const std::function<void(journal&)>& writeBurst)
{
    constexpr std::size_t cutOffShare = 5;
    constexpr duration cutOffTime = std::chrono::milliseconds(5500);
    const std::span<const std::unique_ptr<journal_fleet::daemon>> daemons = fleet.daemons();
    for (std::size_t number = 0; number < daemons.size(); number += cutOffShare)
        daemons[number]->log().setCutOff(true);
    fleet.time().advance(cutOffTime);
    for (std::size_t number = 0; number < daemons.size(); number += cutOffShare)
        daemons[number]->log().setCutOff(false);
    writeBurst(daemons.front()->batches());
}

/// Records that a daemon writes at once when it is back, all of which the whole fleet has to read.
struct burst_case {
    const char* name;
    /// The log needs 70 to 85 % of this to send them to all daemons beside the steady results.
    duration recoveryLimit;
    void (*write)(result_writer&);
};

// About 0.5 MB, and twice 1.2 MB.
constexpr std::array<burst_case, 3> burstCases { {
    { "some results", std::chrono::seconds(5), [](result_writer& writer) { writer.write(2300); } },
    { "many results", std::chrono::seconds(10), [](result_writer& writer) { writer.write(5500); } },
    { "partial texts", std::chrono::seconds(10), [](result_writer& writer) { writer.writePartialTexts(); } },
} };

}

// After a cut of one data centre, no daemon's ledger was up to date again: each asked again for answers that came late.
TEST_CASE("Ledgers stayed behind after a cut, since late answers were asked for again")
{
    constexpr duration steadyTime = std::chrono::seconds(5);
    // Shows in the report whether the fleet recovers later.
    constexpr duration furtherTime = std::chrono::seconds(15);
    for (const burst_case& burst : burstCases) {
        for (const std::size_t size : fleetSizes) {
            DYNAMIC_SECTION(size << " daemons, a burst of " << burst.name)
            {
                journal_fleet fleet(size, bytesPerSecond);
                result_writer steady(fleet, fleet.writer().batches(), "steady");
                steady.writeSteadily();
                warmUp(fleet);
                const std::uint64_t bytesBefore = fleet.log().bytesAppended(journalTopic);
                cutOffAndReturn(fleet, [&fleet, &burst](journal& owner) {
                    result_writer writer(fleet, owner, "returned");
                    burst.write(writer);
                });
                fleet_watch watch(fleet);
                // The burst is appended within a few calls.
                fleet.time().advance(sampleInterval);
                const std::uint64_t bytesOfCutAndBurst = fleet.log().bytesAppended(journalTopic) - bytesBefore;
                watch.advance(burst.recoveryLimit + steadyTime);
                if (watch.recoveryTime() > burst.recoveryLimit)
                    watch.advance(furtherTime);
                CAPTURE(bytesOfCutAndBurst, fleet.countOlder(maxAge), fleet.greatestAge().count());
                INFO(watch.report());
                CHECK(watch.recoveryTime() <= burst.recoveryLimit);
            }
        }
    }
}

TEST_CASE("A fleet that starts at once beside ended batches is ready within 5 s")
{
    constexpr std::size_t endedBatches = 80;
    constexpr duration startLimit = std::chrono::seconds(5);
    for (const std::size_t size : fleetSizes) {
        DYNAMIC_SECTION(size << " daemons")
        {
            journal_fleet fleet(size, bytesPerSecond);
            result_writer ended(fleet, fleet.writer().batches(), "ended");
            for (std::size_t number = 0; number < endedBatches; ++number) {
                const std::string id = ended.batchId();
                ended.write(itemsPerBatch);
                fleet.writer().batches().write(batch_ended { id }, write_mode::RetryOnRefusal, {});
            }
            fleet.time().advance(std::chrono::seconds(1));
            REQUIRE(fleet.writer().batches().pendingWrites() == 0);
            result_writer steady(fleet, fleet.writer().batches(), "steady");
            steady.writeSteadily();
            fleet.start();
            fleet_watch watch(fleet);
            watch.advance(2 * startLimit);
            INFO(watch.report());
            CHECK(watch.recoveryTime() <= startLimit);
            for (const std::unique_ptr<journal_fleet::daemon>& each : fleet.daemons())
                CHECK(each->batches().isReady());
        }
    }
}
