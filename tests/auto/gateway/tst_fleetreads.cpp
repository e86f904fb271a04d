#include "journalfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <random>
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
    finished.reward = "c2lnbmF0dXJlLW9mLXRoZS1yZXdhcmQ.MDEyMzQ1Njc4OTA";
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

    /// Writes the acceptances of further batches, which have to be appended before write() is called for them.
    void accept(std::size_t batches)
    {
        for (std::size_t number = 0; number < batches; ++number)
            m_journal.write(batch_accepted { batchNamed(batchId(m_accepted++)) }, write_mode::RetryOnRefusal, {});
    }

    /// Writes results of the accepted batches.
    void write(std::size_t results)
    {
        for (std::size_t number = 0; number < results; ++number, ++m_written)
            m_journal.write(resultOf(batchId(m_written / itemsPerBatch), m_written % itemsPerBatch), write_mode::RetryOnRefusal, {});
    }

    /// Writes the partial texts of a daemon that no longer owns its batches.
    void writePartialTexts()
    {
        constexpr std::size_t texts = 60;
        constexpr std::size_t leastBytes = 5000;
        constexpr std::size_t mostBytes = 37000;
        for (std::size_t number = 0; number < texts; ++number) {
            item_text text { std::string(leastBytes + (mostBytes - leastBytes) * number / (texts - 1), 't'), 30, { 42 } };
            m_journal.write(item_progressed { batchId(0), itemId(number), std::move(text) }, write_mode::RetryOnRefusal, {});
        }
    }

    /// Accepts batches and writes results at the usual rate for as long as time advances.
    void writeSteadily()
    {
        const bool isFirst = m_accepted == 0;
        if (m_written / itemsPerBatch + 1 >= m_accepted)
            accept(1);
        if (!isFirst)
            write(resultsPerInterval);
        m_fleet.time().callAfter(resultInterval, [this] { writeSteadily(); });
    }

    std::string batchId(std::size_t number) const { return m_name + "-" + std::to_string(1000000000 + number); }

    /// Number of its batches that \a known has as ended.
    std::size_t countEnded(const journal& known) const
    {
        std::size_t count = 0;
        for (std::size_t number = 0; number < m_accepted; ++number)
            count += known.isEnded(batchId(number)) ? 1 : 0;
        return count;
    }

private:
    journal_fleet& m_fleet;
    journal& m_journal;
    std::string m_name;
    std::size_t m_accepted = 0;
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

/// Cuts every fifth daemon off from the log for a time, the first one among them.
void cutOffAndReturn(journal_fleet& fleet)
{
    constexpr std::size_t cutOffShare = 5;
    constexpr duration cutOffTime = std::chrono::milliseconds(5500);
    const std::span<const std::unique_ptr<journal_fleet::daemon>> daemons = fleet.daemons();
    for (std::size_t number = 0; number < daemons.size(); number += cutOffShare)
        daemons[number]->log().setCutOff(true);
    fleet.time().advance(cutOffTime);
    for (std::size_t number = 0; number < daemons.size(); number += cutOffShare)
        daemons[number]->log().setCutOff(false);
}

/// Records that a daemon writes at once when it is back, all of which the whole fleet has to read.
struct burst_case {
    const char* name;
    std::size_t batches;
    /// The log needs 70 to 90 % of this to send them to all daemons beside the steady results.
    duration recoveryLimit;
    void (*write)(result_writer&);
};

// About 0.5 MB, and twice 1.2 MB.
constexpr std::array<burst_case, 3> burstCases { {
    { "some results", 14, std::chrono::seconds(5), [](result_writer& writer) { writer.write(2300); } },
    { "many results", 33, std::chrono::seconds(10), [](result_writer& writer) { writer.write(5500); } },
    { "partial texts", 1, std::chrono::seconds(10), [](result_writer& writer) { writer.writePartialTexts(); } },
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
                fleet.start();
                result_writer returning(fleet, fleet.daemons().front()->batches(), "returning");
                returning.accept(burst.batches);
                fleet.time().advance(std::chrono::seconds(5));
                REQUIRE(fleet.greatestAge() <= maxAge);
                const std::uint64_t bytesBefore = fleet.log().bytesAppended(journalTopic);
                cutOffAndReturn(fleet);
                burst.write(returning);
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
            ended.accept(endedBatches);
            fleet.time().advance(std::chrono::seconds(1));
            for (std::size_t number = 0; number < endedBatches; ++number) {
                ended.write(itemsPerBatch);
                fleet.writer().batches().write(batch_ended { ended.batchId(number) }, write_mode::RetryOnRefusal, {});
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
            CAPTURE(fleet.daemons().front()->batches().snapshots().pages, fleet.daemons().front()->batches().snapshots().bytes);
            for (const std::unique_ptr<journal_fleet::daemon>& each : fleet.daemons())
                CHECK(ended.countEnded(each->batches()) == endedBatches);
        }
    }
}

namespace {

const topic_partition textTopic { "keyed.ragwortreach.texts", 0 };
/// Largest sum of texts that one list of results has.
constexpr std::size_t listBytes = std::size_t { 1024 } * 1024;

std::string textBatchId(std::size_t number)
{
    return "texts-" + std::to_string(number);
}

/// From 150 to 200.
std::size_t textBatchItems(std::size_t number)
{
    return 150 + number * 7 % 51;
}

/// From 4 to 8 KB.
std::size_t textSize(std::size_t item)
{
    return 4000 + item * 997 % 4001;
}

/// Writes a batch whose items all have texts.
void writeTextBatch(journal& into, std::size_t number)
{
    batch_submission batch = batchNamed(textBatchId(number));
    batch.items.resize(textBatchItems(number), batch.items.back());
    for (std::size_t item = 0; item < batch.items.size(); ++item)
        batch.items[item].id = itemId(item);
    into.write(batch_accepted { batch }, write_mode::RetryOnRefusal, {});
    for (std::size_t item = 0; item < batch.items.size(); ++item) {
        item_finished finished = resultOf(batch.id, item);
        finished.reference.reset();
        finished.output.text = std::string(textSize(item), 't');
        into.write(finished, write_mode::RetryOnRefusal, {});
    }
}

/// Reads all results of a batch, from its start again at another daemon after each failure.
class batch_reader {
public:
    batch_reader(journal_fleet& fleet, std::size_t batch, std::uint32_t seed)
        : m_fleet(fleet)
        , m_batch(textBatchId(batch))
        , m_items(textBatchItems(batch))
        , m_random(seed)
    {
        startAttempt();
    }

    bool isDone() const { return m_isDone; }
    std::size_t attempts() const { return m_attempts; }

private:
    static constexpr duration callTimeout = std::chrono::milliseconds(2500);
    /// Time before that at which a daemon answers with what it has.
    static constexpr duration answerMargin = std::chrono::milliseconds(300);
    static constexpr duration retryPause = std::chrono::milliseconds(200);
    static constexpr duration tick = std::chrono::milliseconds(25);

    journal& asked() { return m_fleet.daemons()[m_daemon]->batches(); }

    void startAttempt()
    {
        m_daemon = m_random() % m_fleet.daemons().size();
        m_position = 0;
        ++m_attempts;
        startCall();
    }

    void startCall()
    {
        const std::size_t call = ++m_call;
        m_callStartedAt = m_fleet.time().now();
        m_fleet.time().callAfter(callTimeout, [this, call] { fail(call); });
        readWhenFetched(call);
    }

    /// Ends the attempt, if \a call is still the present one.
    void fail(std::size_t call)
    {
        if (call != m_call || m_isDone)
            return;
        ++m_call;
        m_fleet.time().callAfter(retryPause, [this] { startAttempt(); });
    }

    void readWhenFetched(std::size_t call)
    {
        if (call != m_call)
            return;
        if (asked().isFollowed(m_batch)) {
            readTexts(call);
            return;
        }
        asked().fetch(m_batch);
        m_fleet.time().callAfter(tick, [this, call] { readWhenFetched(call); });
    }

    void readTexts(std::size_t call)
    {
        std::vector<text_reference> references;
        for (const ledger_result& result : asked().ledger().find(m_batch)->page(m_position, listBytes))
            references.push_back(result.reference.value());
        text_read_options options;
        options.deadline = m_callStartedAt + callTimeout - answerMargin;
        options.isWanted = [this, call] { return call == m_call; };
        asked().texts().read(references, std::move(options), [this, call](const text_outcome& outcome) {
            const std::ptrdiff_t count = std::distance(outcome.texts.begin(), std::find(outcome.texts.begin(), outcome.texts.end(), nullptr));
            if (count == 0)
                fail(call);
            else if (call == m_call)
                addResults(static_cast<std::size_t>(count));
        });
    }

    void addResults(std::size_t count)
    {
        m_position += count;
        m_isDone = m_position == m_items;
        if (!m_isDone)
            startCall();
    }

    journal_fleet& m_fleet;
    std::string m_batch;
    std::size_t m_items;
    std::minstd_rand m_random;
    std::size_t m_daemon = 0;
    std::size_t m_position = 0;
    std::size_t m_attempts = 0;
    std::size_t m_call = 0;
    instant m_callStartedAt {};
    bool m_isDone = false;
};

/// What reads of batches cost the log.
struct read_costs {
    std::uint64_t textCalls = 0;
    std::uint64_t textBytes = 0;
    /// Pages with records of batches; bytes of their keys and values.
    std::uint64_t batchPages = 0;
    std::uint64_t batchBytes = 0;
};

read_costs costsOf(const journal_fleet& fleet)
{
    read_costs costs;
    for (const std::unique_ptr<journal_fleet::daemon>& each : fleet.daemons()) {
        const log_traffic texts = each->log().traffic(textTopic.topic);
        costs.textCalls += texts.reads;
        costs.textBytes += texts.requestedBytes;
        costs.batchPages += each->batches().counters().fetchedPages;
        costs.batchBytes += each->batches().counters().fetchedBytes;
    }
    return costs;
}

/// Fleet that has just started with empty caches, beside batches whose texts are older than the history of the log. Every
/// second batch is ended.
class fleet_with_texts {
public:
    fleet_with_texts(std::size_t size, std::size_t batches)
        : m_fleet(size, bytesPerSecond)
        , m_steady(m_fleet, m_fleet.writer().batches(), "steady")
    {
        constexpr duration beyondHistory = std::chrono::seconds(21);
        journal& writer = m_fleet.writer().batches();
        for (std::size_t number = 0; number < batches; ++number)
            writeTextBatch(writer, number);
        m_fleet.time().advance(std::chrono::seconds(1));
        for (std::size_t number = 0; number < batches; number += 2)
            writer.write(batch_ended { textBatchId(number) }, write_mode::RetryOnRefusal, {});
        m_fleet.time().advance(beyondHistory);
        REQUIRE(writer.pendingWrites() == 0);
        m_steady.writeSteadily();
        m_fleet.start();
        m_begin = m_fleet.time().now();
    }

    journal_fleet& fleet() { return m_fleet; }

    void addReader(std::size_t batch)
    {
        m_readers.push_back(std::make_unique<batch_reader>(m_fleet, batch, firstSeed + static_cast<std::uint32_t>(m_readers.size())));
    }

    /// Advances until all readers are done, or for \a longest.
    void readAll(duration longest)
    {
        while (countDone() < m_readers.size() && readTime() < longest)
            m_fleet.time().advance(sampleInterval);
    }

    duration readTime() const { return m_fleet.time().now() - m_begin; }

    std::size_t countDone() const
    {
        return static_cast<std::size_t>(std::count_if(m_readers.begin(), m_readers.end(), [](const std::unique_ptr<batch_reader>& reader) { return reader->isDone(); }));
    }

    std::size_t countAttempts() const
    {
        std::size_t attempts = 0;
        for (const std::unique_ptr<batch_reader>& reader : m_readers)
            attempts += reader->attempts();
        return attempts;
    }

private:
    static constexpr std::uint32_t firstSeed = 42;

    journal_fleet m_fleet;
    result_writer m_steady;
    instant m_begin;
    std::vector<std::unique_ptr<batch_reader>> m_readers;
};

/// Readers of batches that start at the same time.
struct read_case {
    std::size_t daemons = 0;
    std::size_t batches = 0;
    std::size_t readersPerBatch = 0;
};

/// Lets all readers of a case read beside a fleet that has just started.
void readBatches(const read_case& readers)
{
    constexpr duration readLimit = std::chrono::seconds(5);
    constexpr duration observedTime = std::chrono::seconds(20);
    fleet_with_texts reading(readers.daemons, readers.batches);
    for (std::size_t number = 0; number < readers.batches * readers.readersPerBatch; ++number)
        reading.addReader(number % readers.batches);
    reading.readAll(observedTime);
    const read_costs costs = costsOf(reading.fleet());
    CAPTURE(reading.countDone(), reading.countAttempts(), reading.fleet().countOlder(maxAge), reading.fleet().log().backlog().count());
    CAPTURE(costs.textCalls, costs.textBytes, costs.batchPages, costs.batchBytes);
    CHECK(reading.readTime() <= readLimit);
}

}

TEST_CASE("A small fleet can read a batch within 5 s after its start, from texts beyond the history")
{
    readBatches({ 10, 1, 2 });
}

// The first reads filled the log for longer than readers and followers wait, and all of them asked for the same again.
TEST_CASE("Batches could not be read after a start of a large fleet, whose reads filled the log")
{
    // The number of readers grows with what the log gives out.
    for (const read_case& readers : { read_case { 100, 4, 4 }, read_case { 400, 16, 4 } }) {
        DYNAMIC_SECTION(readers.daemons << " daemons, " << readers.batches << " batches")
        {
            readBatches(readers);
        }
    }
}

// Each list of its results read all pages of the batch, and a page more.
TEST_CASE("A list of results read texts from the log that it did not need")
{
    constexpr std::size_t batches = 8;
    constexpr std::size_t contentBytes = 100000;
    for (std::size_t batch = 0; batch < batches; ++batch) {
        DYNAMIC_SECTION(textBatchItems(batch) << " items")
        {
            fleet_with_texts reading(fleetSizes.front(), batches);
            reading.addReader(batch);
            reading.readAll(std::chrono::seconds(20));
            REQUIRE(reading.countDone() == 1);
            std::uint64_t batchBytes = contentBytes;
            for (std::size_t item = 0; item < textBatchItems(batch); ++item)
                batchBytes += textSize(item);
            const read_costs costs = costsOf(reading.fleet());
            CAPTURE(reading.countAttempts(), reading.readTime().count(), costs.textCalls, costs.batchPages, costs.batchBytes);
            // All once, and the last page may be full of records of other batches.
            CHECK(costs.textBytes <= (batchBytes + rated_log::maxPageBytes) * 4 / 3);
        }
    }
}
