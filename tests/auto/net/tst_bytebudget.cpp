#include <net/bytebudget.h>

#include <catch2/catch.hpp>

#include <optional>

using namespace ragwortreach;

namespace {

constexpr std::size_t limit = 4000000;
constexpr std::size_t largeLimit = 3000000;
constexpr std::size_t small = byte_budget::maxSmallBytes;

struct admission_case {
    const char* name;
    std::size_t largestBody;
    /// Bytes that others hold.
    std::size_t others;
    std::size_t before;
    std::size_t after;
    bool isAdmitted;
    bool isScarce;
};

const admission_case admissionCases[] = {
    { "large body, empty budget", 0, 0, 0, largeLimit, true, true },
    { "larger than the part for large bodies", 0, 0, 0, largeLimit + 1, false, false },
    { "largest body, empty budget", largeLimit + 1, 0, 0, largeLimit + 1, true, true },
    { "largest body, one byte held", largeLimit + 1, 1, 0, largeLimit + 1, false, false },
    { "large body that just fits", 0, 2000000, 0, 1000000, true, true },
    { "large body, one byte too much", 0, 2000001, 0, 1000000, false, false },
    { "body that grows", 0, 2000000, 900000, 1000000, true, true },
    { "body that grows by too much", 0, 2000000, 900000, 1000001, false, false },
    { "body that shrinks in a full budget", 0, limit, 100000, 90000, true, true },
    { "small body where large ones are refused", 0, largeLimit, 0, small, true, true },
    { "least large body where large ones are refused", 0, largeLimit, 0, small + 1, false, true },
    { "small body that just fits", 0, limit - small, 0, small, true, true },
    { "small body, full budget", 0, limit - small + 1, 0, small, false, true },
    { "small body, more held than the budget", 0, limit + 1, 0, 1, false, true },
    { "no body, more held than the budget", 0, limit + 1, 0, 0, true, true },
    { "size near the largest number", 0, 1, 0, SIZE_MAX, false, false },
};

}

TEST_CASE("Large bodies are refused before small ones, and none goes beyond the budget")
{
    for (const admission_case& row : admissionCases) {
        DYNAMIC_SECTION(row.name)
        {
            byte_budget budget(limit, row.largestBody);
            held_bytes others(budget);
            others.set(row.others);
            held_bytes body(budget);
            body.set(row.before);
            CHECK(body.setBody(row.after) == row.isAdmitted);
            CHECK(body.bytes() == (row.isAdmitted ? row.after : row.before));
            CHECK(budget.held() == row.others + body.bytes());
            CHECK(budget.isScarce() == row.isScarce);
        }
    }
}

TEST_CASE("An owner that ends gives its bytes back")
{
    byte_budget budget(limit);
    std::optional<held_bytes> body;
    body.emplace(budget);
    REQUIRE(body->setBody(largeLimit));
    CHECK(budget.isScarce());
    body.reset();
    CHECK(budget.held() == 0);
    CHECK_FALSE(budget.isScarce());
}
