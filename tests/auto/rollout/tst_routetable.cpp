#include <rollout/routetable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

route makeRoute(const std::string& host, const std::string& prefix)
{
    route made;
    made.name = host + prefix;
    made.host = host;
    made.pathPrefix = prefix;
    made.targets = { { "shop", 1 } };
    return made;
}

/// Reference implementation: searches all routes in turn.
std::string referenceFind(const std::vector<route>& routes, const std::string& host, const std::string& path)
{
    std::string best;
    std::size_t length = 0;
    for (const route& candidate : routes) {
        const bool fits = candidate.host == host && path.starts_with(candidate.pathPrefix);
        if (!fits || candidate.pathPrefix.size() <= length)
            continue;
        length = candidate.pathPrefix.size();
        best = candidate.name;
    }
    return best;
}

struct version_case {
    std::uint64_t first;
    std::uint64_t second;
    bool isTaken;
};

const version_case versionCases[] = {
    { 4, 6, true },
    { 6, 6, false },
    { 6, 4, false },
};

}

TEST_CASE("The lookup finds the longest prefix of a host, like a search of all routes")
{
    REQUIRE(rc::check([] {
        const std::vector<std::string> prefixes { "/", "/a/", "/a/b/", "/a/b/c/", "/ab/" };
        const std::vector<std::string> paths { "/", "/a", "/a/", "/a/b", "/a/b/c", "/a/b/c/d", "/ab/x", "/x", "" };
        route_configuration configuration;
        configuration.version = 1;
        for (const std::string& prefix : prefixes) {
            for (const char* host : { "one", "two" }) {
                if (*rc::gen::arbitrary<bool>())
                    configuration.routes.push_back(makeRoute(host, prefix));
            }
        }
        route_table table;
        table.setConfiguration(configuration);
        for (const std::string& path : paths) {
            for (const char* host : { "one", "two", "three" }) {
                const route* const found = table.find(host, path);
                RC_ASSERT((found ? found->name : std::string()) == referenceFind(configuration.routes, host, path));
            }
        }
    }));
}

TEST_CASE("Only a configuration with a higher version replaces the current one")
{
    for (const version_case& row : versionCases) {
        DYNAMIC_SECTION(row.first << " then " << row.second)
        {
            route_table table;
            route_configuration first;
            first.version = row.first;
            REQUIRE(table.setConfiguration(first));
            route_configuration second;
            second.version = row.second;
            CHECK(table.setConfiguration(second) == row.isTaken);
            CHECK(table.version() == std::max(row.first, row.second));
        }
    }
}

TEST_CASE("Requests are split in proportion to the weights of the targets")
{
    route split = makeRoute("one", "/");
    split.targets = { { "old", 90 }, { "new", 10 } };
    std::map<std::string, int> counts;
    for (std::uint64_t draw = 0; draw < 1000; ++draw)
        ++counts[chooseTarget(split, draw)->service];
    CHECK(counts["old"] == 900);
    CHECK(counts["new"] == 100);
    split.targets.clear();
    CHECK(chooseTarget(split, 0) == nullptr);
}

TEST_CASE("More urgent routes are counted by priority, among those whose calls share a service")
{
    const auto routeTo = [](const char* name, const char* service, std::uint32_t priority, route_kind kind) {
        route added = makeRoute("lace.example", "/" + std::string(name) + "/");
        added.name = name;
        added.targets = { { service, 1 } };
        added.priority = priority;
        added.kind = kind;
        return added;
    };
    route_configuration configuration;
    configuration.version = 1;
    configuration.routes = { routeTo("checkout", "shop", 0, route_kind::NonIdempotent), routeTo("orders", "shop", 0, route_kind::Idempotent),
        routeTo("search", "shop", 2, route_kind::Idempotent), routeTo("reports", "shop", 5, route_kind::Idempotent),
        routeTo("lessons", "shop", 1, route_kind::Rollout), routeTo("other", "desk", 1, route_kind::Idempotent) };
    route_table table;
    table.setConfiguration(configuration);
    struct row {
        const char* name;
        std::size_t expected;
    };
    const row rows[] = { { "checkout", 0 }, { "orders", 0 }, { "search", 1 }, { "reports", 2 }, { "other", 0 } };
    for (const row& row : rows) {
        INFO(row.name);
        CHECK(table.countMoreUrgent(*table.findByName(row.name), table.findByName(row.name)->priority) == row.expected);
    }
}

TEST_CASE("What the configuration may be used for depends on when it was confirmed, and on what the log answers")
{
    struct row {
        const char* name;
        bool isRefused;
        duration age;
        configuration_state state;
        bool mayDeny;
        /// Time since this daemon has known that something is unread, and that the newest configuration is too large.
        std::optional<duration> unreadFor {};
        std::optional<duration> tooLargeFor {};
    };
    const row rows[] = {
        { "confirmed just now", false, 0s, configuration_state::Current, true },
        { "confirmed, then refused", true, 1s, configuration_state::Current, true },
        { "silent for long", false, 60s, configuration_state::Current, false },
        { "refused within the bound", true, 8900ms, configuration_state::Current, false },
        { "refused beyond the bound", true, 9s, configuration_state::Unconfirmed, false },
        { "unread within the bound", false, 2s, configuration_state::Current, false, 1400ms },
        { "unread beyond the bound", false, 2s, configuration_state::Unconfirmed, false, 1500ms },
        { "unread, confirmed long ago", false, 14s, configuration_state::Unconfirmed, false, 1s },
        { "unread since just now, confirmed long ago", false, 14s, configuration_state::Current, false, 900ms },
        { "found too large just now", false, 200ms, configuration_state::Current, true, {}, 900ms },
        { "too large beyond the bound", false, 200ms, configuration_state::TooLarge, false, {}, 1s },
        { "found too large just now, confirmed within the bound", false, 1400ms, configuration_state::Current, false, {}, 0s },
        { "found too large just now, confirmed long ago", false, 14s, configuration_state::TooLarge, false, {}, 0s },
    };
    const instant now = instant {} + 1000s;
    for (const row& row : rows) {
        INFO(row.name);
        route_table routes;
        CHECK(routes.state(now) == configuration_state::Missing);
        routes.setMaxUnconfirmedTime(9s);
        routes.setMaxUnreadTime(1500ms);
        route_configuration configuration;
        configuration.version = 1;
        routes.setConfiguration(configuration);
        routes.setConfirmedAt(now - row.age);
        if (row.isRefused)
            routes.noteRefused();
        if (row.unreadFor)
            routes.noteUnread(now - *row.unreadFor);
        if (row.tooLargeFor)
            routes.noteTooLarge(now - *row.tooLargeFor);
        CHECK(routes.state(now) == row.state);
        CHECK(routes.allows(configuration_use::ChooseService, now) == (row.state == configuration_state::Current));
        CHECK(routes.allows(configuration_use::DenyRoute, now) == row.mayDeny);
        routes.noteAllRead();
        CHECK(routes.state(now + 60s) == (row.tooLargeFor ? configuration_state::TooLarge : configuration_state::Current));
        configuration.version = 2;
        routes.setConfiguration(configuration);
        CHECK(routes.state(now + 60s) == configuration_state::Current);
    }
}
