#include <rollout/organisationtable.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;

namespace {

struct fault_case {
    const char* name;
    std::vector<organisation> organisations;
    /// Part of the message.
    std::string expected;
};

const fault_case faultCases[] = {
    { "an empty key", { { "guild", { "k1", "" }, {} } }, "guild has an empty key" },
    { "a key that is too long", { { "guild", { std::string(513, 'k') }, {} } }, "guild has a key that is too long" },
    { "a key with a line feed", { { "guild", { "k1\nk2" }, {} } }, "not printable" },
    { "a key with a blank", { { "guild", { "k1 k2" }, {} } }, "blanks" },
    { "a key listed twice", { { "guild", { "k1", "k1" }, {} } }, "guild has a key that is listed twice" },
    { "a key of two organisations", { { "guild", { "k1" }, {} }, { "weavers", { "k1" }, {} } }, "weavers has a key that is listed twice" },
    { "no name", { { "", { "k1" }, {} } }, "position 0 has no name" },
    { "a name that is too long", { { std::string(257, 'n'), {}, {} } }, "a name that is too long" },
    { "a name that ends a header", { { "guild\r\nHost: other", {}, {} } }, "control characters" },
    { "a name used twice", { { "guild", {}, {} }, { "guild", {}, {} } }, "Two organisations are called guild" },
};

}

TEST_CASE("An organisation is found by each of its keys and by nothing else")
{
    const std::vector<organisation> organisations { { "guild", { "key-1", "key-2" }, 3U }, { "weavers", { "key-3" }, {} }, { "keyless", {}, {} } };
    organisation_table table;
    CHECK_FALSE(table.find("key-1"));
    table.setOrganisations(organisations);
    REQUIRE(table.find("key-1"));
    CHECK(table.find("key-1")->name == "guild");
    CHECK(table.find("key-2") == table.find("key-1"));
    CHECK(table.find("key-3")->name == "weavers");
    for (const char* const unknown : { "", "key", "key-", "key-11", "KEY-1", "guild" })
        CHECK_FALSE(table.find(unknown));
}

TEST_CASE("A key that the next organisations lack is no longer found")
{
    const std::vector<organisation> before { { "guild", { "old", "kept" }, {} } };
    const std::vector<organisation> after { { "guild", { "kept", "new" }, {} } };
    organisation_table table;
    table.setOrganisations(before);
    table.setOrganisations(after);
    CHECK_FALSE(table.find("old"));
    CHECK(table.find("kept"));
    CHECK(table.find("new"));
}

TEST_CASE("Faulty organisations are described without naming a key")
{
    CHECK(organisationFault({}).empty());
    const std::vector<organisation> sound { { "guild", { "k1", "k2" }, 0U }, { "weavers of l\xc3\xa9zard", { std::string(512, 'k') }, {} } };
    CHECK(organisationFault(sound).empty());
    for (const fault_case& row : faultCases) {
        DYNAMIC_SECTION(row.name)
        {
            const std::string fault = organisationFault(row.organisations);
            CHECK(fault.find(row.expected) != std::string::npos);
            CHECK(fault.find("k1") == std::string::npos);
        }
    }
}
