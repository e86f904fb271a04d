#include "configurationsoak.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

using namespace ragwortreach;
using namespace ragwortreach::Tests;
using namespace std::chrono_literals;

namespace {

const instant start = instant {} + 100s;

/// A call 1 s before the change to version 2, then one after it; the store may turn the daemon away meanwhile.
struct judged_case {
    const char* name;
    duration sentAfter;
    int status;
    std::uint64_t version;
    std::uint64_t formerVersion;
    std::optional<disturbance_kind> kind;
    std::size_t broken;
};

const judged_case judgedCases[] = {
    { "in time", 1900ms, 200, 1, 1, {}, 0 },
    { "late", 2100ms, 200, 1, 1, {}, 1 },
    { "late, and the store refuses", 6900ms, 200, 1, 1, disturbance_kind::Refused, 0 },
    { "late, and the store is slow", 6900ms, 200, 1, 1, disturbance_kind::Slow, 0 },
    { "later than a slow store allows", 7100ms, 200, 1, 1, disturbance_kind::Slow, 1 },
    { "later than the store's refusal allows", 7100ms, 200, 1, 1, disturbance_kind::Refused, 1 },
    { "late without answers of the store", 20s, 200, 1, 1, disturbance_kind::Unanswered, 0 },
    { "late at a process that was stopped", 20s, 200, 1, 1, disturbance_kind::Process, 0 },
    { "older than the call before", 1500ms, 200, 1, 2, {}, 1 },
    { "denied", 1500ms, 404, 2, 1, {}, 1 },
    { "refused", 20s, 503, 2, 1, {}, 0 },
};

/// Number in the environment variable \a name; \a missing without it.
std::uint64_t environmentNumber(const char* name, std::uint64_t missing)
{
    const char* const text = std::getenv(name);
    return text ? std::stoull(text) : missing;
}

/// Options of the short soak of a test run, or of a longer one that is started by hand.
soak_options soakOptions()
{
    soak_options options;
    options.seed = environmentNumber("SOAK_SEED", options.seed);
    options.daemons = environmentNumber("SOAK_DAEMONS", options.daemons);
    options.alone = environmentNumber("SOAK_ALONE", options.alone);
    options.memory = environmentNumber("SOAK_MEMORY", options.memory);
    options.time = std::chrono::seconds(environmentNumber("SOAK_SECONDS", static_cast<std::uint64_t>(options.time.count())));
    const char* const other = std::getenv("SOAK_OTHER_PROGRAM");
    options.otherProgram = other ? other : "";
    const char* const level = std::getenv("SOAK_LOG_LEVEL");
    options.logLevel = level ? level : options.logLevel;
    return options;
}

std::string joined(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + '\n';
    return text;
}

}

TEST_CASE("The judge of the configuration tells calls that went by an older one too late")
{
    for (const judged_case& row : judgedCases) {
        INFO(row.name);
        configuration_judge judge;
        judge.noteChange(1, start);
        judge.noteChange(2, start + 10s);
        if (row.kind)
            judge.noteDisturbance({ 0, *row.kind, start + 9s });
        const judged_call former { 0, "former", start + 10s + 100ms, start + 10s + 150ms, 200, row.formerVersion };
        const instant sentAt = start + 10s + row.sentAfter;
        CHECK(judge.brokenRules({ former, { 0, "call", sentAt, sentAt + 10ms, row.status, row.version } }).size() == row.broken);
    }
}

// Seeded by SOAK_SEED; SOAK_DAEMONS, SOAK_ALONE, SOAK_SECONDS, SOAK_MEMORY, SOAK_OTHER_PROGRAM and SOAK_LOG_LEVEL change it for runs by hand.
TEST_CASE("Soak: daemons follow each configuration in time while the log and their processes fail")
{
    const soak_options options = soakOptions();
    INFO("Seed " << options.seed << ", " << options.daemons << " daemons, " << options.alone << " of them alone, " << options.time.count() << " s");
    configuration_soak soak(options);
    soak.run();
    for (const std::pair<const std::string, duration>& delay : soak.judge().greatestDelays(soak.calls()))
        std::cout << "seed " << options.seed << ": " << delay.first << ": " << std::chrono::duration_cast<std::chrono::milliseconds>(delay.second).count() << " ms\n";
    std::cout << "seed " << options.seed << ": " << soak.calls().size() << " calls, by configurations of up to " << soak.largestInForce() << " bytes; "
              << soak.mostReadBytes() << " bytes read by one daemon\n";
    INFO(joined(soak.events()));
    const std::vector<std::string> broken = soak.judge().brokenRules(soak.calls());
    const std::vector<std::string> behind = soak.daemonsBehind();
    CHECK(broken == std::vector<std::string>());
    CHECK(behind == std::vector<std::string>());
}
