#include <support/rolloutfixture.h>

#include <rollout/callerauthentication.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Routes that were confirmed at 10 s, with keys that must be dead 5 s after their withdrawal.
route_table routesWith(std::optional<std::vector<organisation>> organisations)
{
    route_table routes;
    routes.setKeyRevocation(5s);
    route_configuration configuration;
    configuration.version = 1;
    configuration.organisations = std::move(organisations);
    routes.setConfiguration(std::move(configuration));
    routes.setConfirmedAt(at(10s));
    return routes;
}

struct verdict_case {
    const char* name;
    const char* key;
    bool isPublic;
    std::chrono::milliseconds now;
    admission_verdict expected;
    /// Organisation of an admitted request.
    const char* organisation;
};

const verdict_case verdictCases[] = {
    { "a known key", "key-1", false, 10s, admission_verdict::Admitted, "guild" },
    { "a known key shortly before the bound", "key-1", false, 14800ms, admission_verdict::Admitted, "guild" },
    { "a known key that may have been withdrawn", "key-1", false, 14900ms, admission_verdict::Unconfirmed, "" },
    { "a known key after a suspension", "key-1", false, 60s, admission_verdict::Unconfirmed, "" },
    { "an unknown key", "key-9", false, 10s, admission_verdict::UnknownKey, "" },
    { "an unknown key that may have been added", "key-9", false, 12s, admission_verdict::Unconfirmed, "" },
    { "no key", "", false, 10s, admission_verdict::UnknownKey, "" },
    { "no key on a public route", "", true, 10s, admission_verdict::Admitted, "" },
    { "no key on a public route at any time", "", true, 60s, admission_verdict::Admitted, "" },
    { "a known key on a public route", "key-1", true, 10s, admission_verdict::Admitted, "guild" },
    { "a key on a public route that may have been withdrawn", "key-1", true, 60s, admission_verdict::Admitted, "" },
    { "an unknown key on a public route", "key-9", true, 10s, admission_verdict::Admitted, "" },
};

}

// A withdrawn key was honoured for as long as the log did not show the withdrawal.
TEST_CASE("Requests are admitted by keys that cannot have been withdrawn too long ago")
{
    const route_table routes = routesWith(std::vector<organisation> { { "guild", { "key-1" }, 2U } });
    for (const verdict_case& row : verdictCases) {
        DYNAMIC_SECTION(row.name)
        {
            const caller_admission admission = admitCaller(routes, row.key, row.isPublic, at(row.now));
            CHECK(admission.verdict == row.expected);
            CHECK(admission.identity.organisation.has_value() == (row.expected == admission_verdict::Admitted));
            CHECK(admission.identity.organisation.value_or("") == row.organisation);
        }
    }
}

TEST_CASE("A configuration without organisations asks for no key, and one with an empty list admits nobody")
{
    const caller_admission open = admitCaller(routesWith(std::nullopt), "key-1", false, at(60s));
    CHECK(open.verdict == admission_verdict::Admitted);
    CHECK_FALSE(open.identity.organisation);
    CHECK(admitCaller(routesWith(std::vector<organisation> {}), "key-1", false, at(10s)).verdict == admission_verdict::UnknownKey);
}

TEST_CASE("Without a bound keys are honoured for as long as the configuration is used")
{
    route_table routes = routesWith(std::vector<organisation> { { "guild", { "key-1" }, {} } });
    routes.setKeyRevocation(std::nullopt);
    CHECK(admitCaller(routes, "key-1", false, at(60s)).verdict == admission_verdict::Admitted);
    routes.noteRead({ 2, at(60s) });
    CHECK(admitCaller(routes, "key-1", false, at(61s)).verdict == admission_verdict::Unconfirmed);
}

TEST_CASE("The priority of an organisation counts among those that are more urgent than a call")
{
    route_table routes = routesWith(std::vector<organisation> { { "guild", { "key-1" }, 0U }, { "weavers", { "key-2" }, 1U }, { "others", {}, {} } });
    const route shop;
    CHECK(routes.countMoreUrgent(shop, 0) == 0);
    CHECK(routes.countMoreUrgent(shop, 1) == 1);
    CHECK(routes.countMoreUrgent(shop, 2) == 2);
}
