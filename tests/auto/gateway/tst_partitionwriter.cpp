#include "memorylog.h"

#include <gateway/partitionwriter.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;

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
