#include "memorylog.h"
#include "virtualtime.h"

#include <gateway/partitionwriter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

struct writer_case {
    const char* name;
    std::vector<append_fault> faults;
    write_mode mode;
    append_status reported;
    bool isAppended;
};

const writer_case writerCases[] = {
    { "no fault", {}, write_mode::FailOnRefusal, append_status::Done, true },
    { "refused", { append_fault::Refuse }, write_mode::FailOnRefusal, append_status::Refused, false },
    { "refused, with retry", { append_fault::Refuse }, write_mode::RetryOnRefusal, append_status::Done, true },
    { "answer lost", { append_fault::LoseAnswer }, write_mode::FailOnRefusal, append_status::Done, true },
    { "request lost", { append_fault::LoseCall }, write_mode::FailOnRefusal, append_status::Done, true },
    { "applied late", { append_fault::ApplyLate }, write_mode::FailOnRefusal, append_status::Done, true },
    { "unknown, then refused", { append_fault::LoseAnswer, append_fault::Refuse }, write_mode::FailOnRefusal, append_status::Done, true },
    { "several faults", { append_fault::ApplyLate, append_fault::LoseCall, append_fault::Refuse }, write_mode::RetryOnRefusal, append_status::Done, true },
};

}

TEST_CASE("Records are appended once or not at all, and the handler is told which")
{
    for (const writer_case& row : writerCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            log.setFaults(row.faults);
            partition_writer writer(context, log, { "topic", 0 }, "producer");
            std::vector<append_status> reports;
            writer.write({ { "a", "1", 0 }, { "b", "2", 0 } }, row.mode, [&reports](const append_report& report) { reports.push_back(report.status); });
            context.run();
            CHECK(reports == std::vector<append_status> { row.reported });
            CHECK(log.records().size() == (row.isAppended ? 2U : 0U));
            CHECK(writer.pendingWrites() == 0);
        }
    }
}

TEST_CASE("Queued writes share an append, and a refusal ends only the writes that are not to be retried")
{
    boost::asio::io_context context;
    memory_log log(context);
    log.setFaults({ append_fault::LoseAnswer, append_fault::None, append_fault::Refuse });
    partition_writer writer(context, log, { "topic", 0 }, "producer");
    std::vector<std::string> done;
    const auto write = [&](const std::string& key, write_mode mode) {
        writer.write({ { key, "v", 0 } }, mode,
            [&done, key](const append_report& report) { done.push_back(key + (report.status == append_status::Done ? " done" : " refused")); });
    };
    write("a", write_mode::RetryOnRefusal);
    write("b", write_mode::RetryOnRefusal);
    write("c", write_mode::FailOnRefusal);
    context.run();
    CHECK(done == std::vector<std::string> { "a done", "c refused", "b done" });
    REQUIRE(log.records().size() == 2);
    CHECK(log.records()[1].key == "b");
}

// An append that the log never takes was repeated without end, and all writes behind it waited.
TEST_CASE("A write that the log refused for good stopped all others of its partition")
{
    for (const write_mode mode : { write_mode::FailOnRefusal, write_mode::RetryOnRefusal }) {
        DYNAMIC_SECTION((mode == write_mode::FailOnRefusal ? "not to be retried" : "to be retried"))
        {
            boost::asio::io_context context;
            memory_log log(context);
            virtual_time time(context);
            log.setUnacceptable("bad");
            partition_writer writer(context, log, { "topic", 0 }, "producer");
            std::vector<std::string> done;
            const auto write = [&](const std::string& key, write_mode keyMode) {
                writer.write({ { key, "v", 0 } }, keyMode, [&done, key](const append_report& report) { done.push_back(key + (report.status == append_status::Done ? " done" : " refused")); });
            };
            write("first", write_mode::RetryOnRefusal);
            write("a", write_mode::RetryOnRefusal);
            write("bad", mode);
            write("b", write_mode::FailOnRefusal);
            time.advance(100ms);
            write("c", write_mode::RetryOnRefusal);
            time.advance(5s);
            std::vector<std::string> expected { "first done", "a done", "b done", "c done" };
            if (mode == write_mode::FailOnRefusal)
                expected.insert(expected.begin() + 2, "bad refused");
            CHECK(done == expected);
            CHECK(writer.pendingWrites() == (mode == write_mode::FailOnRefusal ? 0U : 1U));
            // One append with all, three by themselves, and then one after each pause.
            CHECK(writer.appends() <= 25);
            log.setUnacceptable({});
            time.advance(1s);
            CHECK(writer.pendingWrites() == 0);
            CHECK(log.records().size() == (mode == write_mode::FailOnRefusal ? 4U : 5U));
        }
    }
}

TEST_CASE("A write whose append had an unknown outcome before it was refused for good is reported as unknown, and the next one is appended")
{
    boost::asio::io_context context;
    memory_log log(context);
    virtual_time time(context);
    log.setFaults({ append_fault::LoseAnswer });
    log.setUnacceptable("a");
    partition_writer writer(context, log, { "topic", 0 }, "producer");
    std::vector<append_status> reports;
    const auto keep = [&reports](const append_report& report) { reports.push_back(report.status); };
    writer.write({ { "a", "1", 0 } }, write_mode::FailOnRefusal, keep);
    writer.write({ { "b", "2", 0 } }, write_mode::FailOnRefusal, keep);
    time.advance(1s);
    CHECK(reports == std::vector<append_status> { append_status::Unknown, append_status::Done });
    REQUIRE(log.records().size() == 2);
    CHECK(log.records()[1].key == "b");
}

namespace {

/// Log whose appends all end with the same outcome after the same time, and that notes when they were sent.
class uniform_log : public shared_log {
public:
    uniform_log(virtual_time& time, append_status status, duration answerTime)
        : m_time(time)
        , m_status(status)
        , m_answerTime(answerTime)
    {
    }

    void append(const topic_partition&, const append_identity&, std::span<const keyed_record>, std::function<void(const append_outcome&)> onDone) override
    {
        m_sentAt.push_back(m_time.now());
        m_time.callAfter(m_answerTime, [status = m_status, whenDone = std::move(onDone)] { whenDone({ status }); });
    }
    void read(const topic_partition&, const read_range&, read_handlers) override { }
    void readNewest(const topic_partition&, const newest_range&, std::function<void(const newest_outcome&)>) override { }

    void setOutcome(append_status status, duration answerTime)
    {
        m_status = status;
        m_answerTime = answerTime;
    }
    /// Times at which appends were sent, in order.
    const std::vector<instant>& sentAt() const { return m_sentAt; }

private:
    virtual_time& m_time;
    append_status m_status;
    duration m_answerTime;
    std::vector<instant> m_sentAt;
};

/// Time-out of an append.
constexpr duration noAnswerTime = 600ms;
constexpr duration promptAnswerTime = 10ms;
constexpr std::size_t fleetWriters = 187;

/// Largest number of \a times within \a window; they are in order.
std::ptrdiff_t mostWithin(std::span<const instant> times, duration window)
{
    std::ptrdiff_t most = 0;
    for (std::span<const instant>::iterator first = times.begin(); first != times.end(); ++first)
        most = std::max(most, std::lower_bound(first, times.end(), *first + window) - first);
    return most;
}

struct fleet_case {
    const char* name;
    append_status status;
    duration answerTime;
    std::size_t mostPerSecond;
};

const fleet_case fleetCases[] = {
    { "no answer", append_status::Unknown, noAnswerTime, fleetWriters },
    { "refused", append_status::Refused, promptAnswerTime, 1250 },
};

}

// LOST: writers whose appends got no answer repeated them in step.
TEST_CASE("Appends of a fleet were repeated in step while the log did not answer")
{
    constexpr duration settling = 5s;
    constexpr std::chrono::seconds measured { 10 };
    constexpr duration step = 10ms;
    constexpr std::ptrdiff_t mostInStep = 40;
    for (const fleet_case& row : fleetCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            virtual_time time(context);
            uniform_log log(time, row.status, row.answerTime);
            std::vector<std::unique_ptr<partition_writer>> writers;
            std::size_t done = 0;
            for (std::size_t number = 0; number < fleetWriters; ++number) {
                writers.push_back(std::make_unique<partition_writer>(context, log, topic_partition { "topic", 0 }, std::to_string(number)));
                writers.back()->write({ { "a", "1", 0 } }, write_mode::RetryOnRefusal, [&done](const append_report&) { ++done; });
            }
            time.advance(settling);
            const std::size_t before = log.sentAt().size();
            time.advance(measured);
            const std::span<const instant> sent = std::span(log.sentAt()).subspan(before);
            CAPTURE(sent.size(), mostWithin(sent, step));
            CHECK(sent.size() <= row.mostPerSecond * measured.count());
            CHECK(mostWithin(sent, step) <= mostInStep);
            log.setOutcome(append_status::Done, promptAnswerTime);
            // The rest of a time-out, the longest pause, and the answer.
            time.advance(noAnswerTime + 600ms + 2 * promptAnswerTime);
            CHECK(done == fleetWriters);
        }
    }
}

namespace {

struct pause_case {
    const char* name;
    std::vector<append_status> outcomes;
    duration shortest;
    duration longest;
};

const pause_case pauseCases[] = {
    { "first without an answer", { append_status::Unknown }, 100ms, 200ms },
    { "second without an answer", { append_status::Unknown, append_status::Unknown }, 200ms, 400ms },
    { "many without an answer", std::vector<append_status>(40, append_status::Unknown), 300ms, 600ms },
    { "many refused", std::vector<append_status>(40, append_status::Refused), 100ms, 200ms },
    { "without an answer after a refusal", { append_status::Unknown, append_status::Unknown, append_status::Refused, append_status::Unknown }, 100ms, 200ms },
    { "without an answer after a success", { append_status::Unknown, append_status::Unknown, append_status::Done, append_status::Unknown }, 100ms, 200ms },
};

}

TEST_CASE("The pause before an append is repeated grows while there is no answer, and is random")
{
    // Timers run at multiples of 1 ms.
    constexpr duration tolerance = 2ms;
    constexpr int writersPerCase = 20;
    for (const pause_case& row : pauseCases) {
        DYNAMIC_SECTION(row.name)
        {
            std::set<duration> pauses;
            for (int number = 0; number < writersPerCase; ++number) {
                boost::asio::io_context context;
                virtual_time time(context);
                uniform_log log(time, row.outcomes.front(), promptAnswerTime);
                partition_writer writer(context, log, { "topic", 0 }, "producer");
                writer.write({ { "a", "1", 0 } }, write_mode::RetryOnRefusal, {});
                writer.write({ { "b", "2", 0 } }, write_mode::RetryOnRefusal, {});
                for (std::size_t sent = 1; sent <= row.outcomes.size(); ++sent) {
                    if (sent < row.outcomes.size())
                        log.setOutcome(row.outcomes[sent], promptAnswerTime);
                    while (log.sentAt().size() <= sent)
                        time.advance(1ms);
                }
                pauses.insert(log.sentAt().back() - log.sentAt()[row.outcomes.size() - 1] - promptAnswerTime);
            }
            CHECK(*pauses.begin() >= row.shortest);
            CHECK(*pauses.rbegin() <= row.longest + tolerance);
            CHECK(pauses.size() > 1);
        }
    }
}

TEST_CASE("A refusal is reported with its answer, also after many")
{
    boost::asio::io_context context;
    virtual_time time(context);
    uniform_log log(time, append_status::Refused, promptAnswerTime);
    partition_writer writer(context, log, { "topic", 0 }, "producer");
    for (int round = 0; round < 40; ++round) {
        const std::size_t before = log.sentAt().size();
        std::optional<append_status> reported;
        writer.write({ { "a", "1", 0 } }, write_mode::FailOnRefusal, [&reported](const append_report& report) { reported = report.status; });
        while (log.sentAt().size() == before)
            time.advance(1ms);
        time.advance(promptAnswerTime);
        CHECK(reported == append_status::Refused);
    }
}
