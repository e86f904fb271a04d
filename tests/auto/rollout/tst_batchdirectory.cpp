#include <rollout/batchdirectory.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;

namespace {

struct directory_case {
    const char* name;
    bool isEnded;
    bool isFollowed;
};

}

TEST_CASE("Only the first acceptance of a batch is taken into the directory")
{
    batch_directory directory;
    CHECK(directory.add("b", { "b", "m", 1 }, 10, instant(duration(1))));
    CHECK_FALSE(directory.add("b", { "b", "m", 1 }, 20, instant(duration(2))));
    REQUIRE(directory.find("b"));
    CHECK(directory.find("b")->offset == 10);
    CHECK(directory.find("b")->learnedAt == instant(duration(1)));
    directory.remove("b");
    CHECK_FALSE(directory.find("b"));
}

TEST_CASE("An owner needs the open batches of its models, and of each the last ended ones, oldest first")
{
    batch_directory directory;
    // By name in another order than by acceptance.
    const std::vector<std::string> accepted { "z", "c", "y", "b", "x" };
    std::uint64_t offset = 0;
    for (const std::string& name : accepted)
        directory.add(name, { name, "m", 1 }, ++offset, {});
    directory.add("foreign", { "foreign", "other", 1 }, ++offset, {});
    CHECK(directory.missing({ "m" }) == accepted);
    for (const std::string& name : accepted)
        directory.setEnded(name, { name }, {});
    CHECK(directory.missing({ "m" }) == std::vector<std::string> { "b", "x" });
    directory.setFollowed("x", true);
    CHECK(directory.missing({ "m" }) == std::vector<std::string> { "b" });
    directory.setFollowed("x", false);
    CHECK(directory.missing({ "m", "other" }) == std::vector<std::string> { "b", "x", "foreign" });
    CHECK(directory.missing({}).empty());
}

TEST_CASE("Only ended batches that are not followed are closed by their age alone")
{
    const directory_case cases[] = {
        { "open", false, false },
        { "open and followed", false, true },
        { "ended", true, false },
        { "ended and followed", true, true },
    };
    for (const directory_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            batch_directory directory;
            directory.add("b", { "b", "m", 1 }, 1, instant(duration(5)));
            if (row.isEnded)
                directory.setEnded("b", { "b" }, instant(duration(3)));
            directory.setFollowed("b", row.isFollowed);
            CHECK(directory.closedBefore(instant(duration(6))).empty() == !(row.isEnded && !row.isFollowed));
            CHECK(directory.closedBefore(instant(duration(5))).empty());
        }
    }
}

// UNASKED: an acceptance that took effect late stood after the end of its batch, and the batch passed for open.
TEST_CASE("The end of a batch was forgotten when it was read before the batch")
{
    batch_directory directory;
    directory.setEnded("b", { "b" }, instant(duration(3)));
    CHECK_FALSE(directory.find("b"));
    CHECK(directory.isEnded("b"));
    CHECK(directory.earlyEndsBefore(instant(duration(3))).empty());
    CHECK(directory.earlyEndsBefore(instant(duration(4))) == std::vector<std::string> { "b" });
    REQUIRE(directory.add("b", { "b", "m", 1 }, 10, {}));
    CHECK(directory.find("b")->isEnded);
    CHECK(directory.earlyEndsBefore(instant(duration(4))).empty());
    directory.remove("b");
    REQUIRE(directory.add("b", { "b", "m", 1 }, 20, {}));
    CHECK_FALSE(directory.find("b")->isEnded);
}
