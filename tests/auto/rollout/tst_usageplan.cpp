#include <rollout/usageplan.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr usage_bounds bounds { 5s, 10s };
constexpr duration writeInterval = 1s;
/// Window that begins 1,000 s and ends 1,005 s after the start of 1970.
constexpr std::uint64_t window = 200;

/// Ledger in which all windows before the one of the tests are accepted.
struct plan_fixture {
    plan_fixture()
    {
        for (std::uint64_t earlier = window - 10; earlier < window; ++earlier)
            ledger.apply("accepted/" + std::to_string(earlier), usage_accepted { earlier }, 0);
    }

    void count(const std::string& process, std::uint64_t requests, bool isClosed)
    {
        ledger.apply("counts/" + process, process_usage { { { window, isClosed, { { "guild", requests } } } } }, ++offset);
    }

    usage_steps steps(duration now) const { return usage_plan(bounds).steps(ledger, { now, now, writeInterval }); }

    usage_ledger ledger;
    std::uint64_t offset = 0;
};

struct addition_case {
    const char* name;
    duration now;
    duration confirmedAt;
    bool isFirstClosed;
    bool isSecondClosed;
    bool isAdded;
};

const addition_case additionCases[] = {
    { "all have closed the window", 1006500ms, 1006500ms, true, true, true },
    { "processes may not have written yet", 1006400ms, 1006400ms, true, true, false },
    { "the holder is behind the log", 1008s, 1006s, true, true, false },
    { "a process has not closed the window", 1009900ms, 1009900ms, true, false, false },
    { "a process never closes the window", 1010s, 1010s, true, false, true },
};

}

TEST_CASE("A window is added up once all processes have closed it, and without a failed one in time for the report")
{
    for (const addition_case& row : additionCases) {
        DYNAMIC_SECTION(row.name)
        {
            plan_fixture fixture;
            fixture.count("a", 2, row.isFirstClosed);
            fixture.count("b", 3, row.isSecondClosed);
            const usage_steps steps = usage_plan(bounds).steps(fixture.ledger, { row.now, row.confirmedAt, writeInterval });
            REQUIRE(steps.additions.size() == (row.isAdded ? 1U : 0U));
            CHECK(steps.calls.empty());
            if (row.isAdded)
                CHECK(steps.additions[0].counts == usage_counts { { "guild", 5 } });
        }
    }
}

TEST_CASE("A window without requests is reported, too")
{
    const plan_fixture fixture;
    const usage_steps steps = fixture.steps(1006500ms);
    REQUIRE(steps.additions.size() == 1);
    CHECK(steps.additions[0].window == window);
    CHECK(steps.additions[0].counts.empty());
}

// A new holder that added a window up anew reported it with other counts than the former one.
TEST_CASE("The first report in the log is sent, whatever is counted or written later, until it is accepted")
{
    plan_fixture fixture;
    fixture.count("a", 2, true);
    fixture.ledger.apply("report/200/second", usage_report { window, { { "guild", 9 } } }, 60);
    fixture.ledger.apply("report/200/first", usage_report { window, { { "guild", 2 } } }, 50);
    fixture.count("b", 7, true);
    const usage_steps steps = fixture.steps(1007s);
    CHECK(steps.additions.empty());
    REQUIRE(steps.calls.size() == 1);
    CHECK(steps.calls[0].counts == usage_counts { { "guild", 2 } });
    fixture.ledger.apply("accepted/200", usage_accepted { window }, 70);
    CHECK(fixture.steps(1007s).calls.empty());
    CHECK(fixture.steps(1009s).calls.empty());
}

TEST_CASE("A holder that comes late reports all windows that are still of use, the oldest first")
{
    const usage_ledger empty;
    const usage_steps steps = usage_plan(bounds).steps(empty, { 1021s, 1021s, writeInterval });
    std::vector<std::uint64_t> windows;
    for (const usage_report& addition : steps.additions)
        windows.push_back(addition.window);
    CHECK(windows == std::vector<std::uint64_t> { 200, 201, 202 });
}

TEST_CASE("A window is added up later where processes write more rarely")
{
    plan_fixture fixture;
    fixture.count("a", 2, true);
    CHECK(usage_plan(bounds).steps(fixture.ledger, { 1008400ms, 1008400ms, 3s }).additions.empty());
    CHECK(usage_plan(bounds).steps(fixture.ledger, { 1008500ms, 1008500ms, 3s }).additions.size() == 1);
}

// The removal of a process's counts dropped the reports of newer windows, which were then added up and sent once more.
TEST_CASE("Reports stay when a process counts again while its former counts are being removed")
{
    plan_fixture fixture;
    fixture.count("a", 2, true);
    fixture.ledger.apply("report/200/x", usage_report { window, { { "guild", 2 } } }, 50);
    fixture.ledger.apply("accepted/200", usage_accepted { window }, 51);
    fixture.ledger.apply("counts/a", process_usage { { { window + 1, false, { { "guild", 1 } } } } }, 52);
    fixture.ledger.apply("counts/a", std::nullopt, 53);
    CHECK(fixture.ledger.reportOf(window));
    CHECK(fixture.ledger.isAccepted(window));
    fixture.ledger.apply("report/200/x", std::nullopt, 54);
    CHECK_FALSE(fixture.ledger.reportOf(window));
}

TEST_CASE("All processes find the same report, in whatever order they read the records")
{
    REQUIRE(rc::check([] {
        const std::vector<std::uint64_t> offsets = *rc::gen::unique<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 1000));
        RC_PRE(!offsets.empty());
        usage_ledger ledger;
        for (const std::uint64_t offset : offsets)
            ledger.apply("report/200/" + std::to_string(offset), usage_report { window, { { "guild", offset } } }, offset);
        RC_ASSERT(ledger.reportOf(window)->counts.at("guild") == *std::min_element(offsets.begin(), offsets.end()));
    }));
}

TEST_CASE("Records are removed long after the report of their window, and those of a live process stay")
{
    plan_fixture fixture;
    fixture.count("a", 2, true);
    fixture.ledger.apply("counts/b", process_usage { { { window, true, {} }, { window + 20, false, {} } } }, 1);
    fixture.ledger.apply("report/200/x", usage_report { window, {} }, 2);
    const usage_plan plan(bounds);
    CHECK(plan.obsoleteKeys(fixture.ledger, 1060s, 100).size() == 10);
    const std::vector<std::string> keys = plan.obsoleteKeys(fixture.ledger, 1065s, 100);
    CHECK(std::count(keys.begin(), keys.end(), "counts/a") == 1);
    CHECK(std::count(keys.begin(), keys.end(), "report/200/x") == 1);
    CHECK(std::count(keys.begin(), keys.end(), "counts/b") == 0);
    CHECK(plan.obsoleteKeys(fixture.ledger, 1065s, 3).size() == 3);
    for (const std::string& key : keys)
        fixture.ledger.apply(key, std::nullopt, 0);
    CHECK(plan.obsoleteKeys(fixture.ledger, 1065s, 100).empty());
}
