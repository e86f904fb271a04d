#include <support/rolloutfixture.h>

#include <rollout/limittable.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

const replica_instance shop { "shop-1", 7 };

replica_limit stated(std::optional<double> perSecond, std::chrono::milliseconds time)
{
    return { shop, perSecond, at(time) };
}

}

TEST_CASE("The latest statement about a replica counts, in whatever order statements arrive")
{
    struct row {
        const char* name;
        std::vector<replica_limit> statements;
        std::optional<double> expected;
    };
    const row rows[] = {
        { "none", {}, std::nullopt },
        { "one limit", { stated(2, 1000ms) }, 2 },
        { "an older limit after a newer one", { stated(2, 1000ms), stated(5, 900ms) }, 2 },
        { "a lower limit holds at once", { stated(5, 1000ms), stated(2, 1100ms) }, 2 },
        { "a limit of another instance", { { { "shop-1", 8 }, 2, at(1000ms) } }, std::nullopt },
        { "an answer without a limit before any limit", { stated(std::nullopt, 1000ms) }, std::nullopt },
        { "an older answer without a limit", { stated(2, 1000ms), stated(std::nullopt, 900ms) }, 2 },
        { "a limit of zero leaves the least rate", { stated(0, 1000ms) }, limit_table::minRate },
    };
    for (const row& row : rows) {
        INFO(row.name);
        limit_table limits;
        for (const replica_limit& statement : row.statements)
            limits.merge(statement, at(1200ms));
        CHECK(limits.rate(shop, at(1200ms)) == row.expected);
    }
}

TEST_CASE("Only a change of a limit is news, a confirmation is not")
{
    limit_table limits;
    CHECK(limits.merge(stated(2, 1000ms), at(1000ms)));
    CHECK_FALSE(limits.merge(stated(2, 1100ms), at(1100ms)));
    CHECK(limits.merge(stated(3, 1200ms), at(1200ms)));
    CHECK(limits.merge(stated(std::nullopt, 1300ms), at(1300ms)));
    CHECK_FALSE(limits.merge(stated(std::nullopt, 1400ms), at(1400ms)));
}

TEST_CASE("After a limit was lifted the rate rises step by step, so that callers do not return all at once")
{
    limit_table limits;
    limits.merge(stated(2, 1000ms), at(1000ms));
    limits.merge(stated(std::nullopt, 5000ms), at(5000ms));
    CHECK(limits.rate(shop, at(5000ms)) == 2);
    CHECK(limits.rate(shop, at(5250ms)) == 4);
    CHECK(limits.rate(shop, at(5500ms)) == 8);
    CHECK_FALSE(limits.rate(shop, at(7000ms)));
}

TEST_CASE("A limit that no answer confirms is forgotten")
{
    limit_table limits;
    limits.merge(stated(2, 0ms), at(0ms));
    limits.forgetOld(at(29s));
    CHECK(limits.rate(shop, at(29s)) == 2);
    limits.forgetOld(at(31s));
    CHECK_FALSE(limits.rate(shop, at(31s)));
}
