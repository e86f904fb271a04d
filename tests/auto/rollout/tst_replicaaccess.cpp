#include <rollout/replicaaccess.h>
#include <support/rolloutfixture.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Access of a daemon that lists \c count replicas, "r0" first.
struct access_fixture {
    explicit access_fixture(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            pool.update(makeReplica("r" + std::to_string(index), "north-a", 1));
        access.setListed(count);
    }

    replica_pool pool { "north-a" };
    replica_access access;
};

struct failure {
    const char* replica;
    access_failure kind;
};

struct loss_case {
    const char* name;
    std::size_t listed;
    std::vector<failure> failures;
    bool isLost;
    bool isDoubtful;
};

const loss_case lossCases[] = {
    { "one replica refuses", 3, { { "r0", access_failure::Refused } }, false, false },
    { "one replica hangs", 3, { { "r0", access_failure::ConnectTimedOut } }, false, true },
    { "one replica twice", 3, { { "r0", access_failure::Refused }, { "r0", access_failure::Refused } }, false, false },
    { "two replicas refuse", 3, { { "r0", access_failure::Refused }, { "r1", access_failure::Refused } }, true, false },
    { "two replicas hang", 3, { { "r0", access_failure::ConnectTimedOut }, { "r1", access_failure::ConnectTimedOut } }, true, true },
    { "two replicas are slow", 3, { { "r0", access_failure::Silent }, { "r1", access_failure::Silent } }, false, true },
    { "the only replica refuses", 1, { { "r0", access_failure::Refused } }, true, false },
    { "no replica is listed any more", 0, { { "r0", access_failure::Refused } }, true, false },
};

}

TEST_CASE("Access is lost when two replicas were not reached, or the only one, and none was reached since")
{
    for (const loss_case& row : lossCases) {
        INFO(row.name);
        access_fixture fixture(row.listed);
        for (const failure& item : row.failures)
            fixture.access.noteFailure(item.replica, item.kind, at(10s));
        CHECK(fixture.access.isLost() == row.isLost);
        CHECK(fixture.access.isDoubtful() == row.isDoubtful);
        fixture.access.noteReached(at(11s));
        CHECK_FALSE(fixture.access.isLost());
        CHECK_FALSE(fixture.access.isDoubtful());
    }
}

TEST_CASE("After a failure two other replicas are checked at once, and none while all is well")
{
    access_fixture fixture(5);
    CHECK(fixture.access.takeChecks(fixture.pool, at(10s)).empty());
    fixture.access.noteFailure("r0", access_failure::Refused, at(10s));
    const std::vector<replica_instance> checks = fixture.access.takeChecks(fixture.pool, at(10s));
    REQUIRE(checks.size() == 2);
    CHECK(checks[0].id != "r0");
    CHECK(checks[1].id != "r0");
    CHECK(checks[0].id != checks[1].id);
    CHECK(fixture.access.takeChecks(fixture.pool, at(10s)).empty());
}

TEST_CASE("While access is lost, one replica after the other is checked, each time after an interval")
{
    access_fixture fixture(3);
    fixture.access.noteFailure("r0", access_failure::Refused, at(10s));
    fixture.access.noteFailure("r1", access_failure::Refused, at(10s));
    std::vector<std::string> checked;
    for (std::chrono::milliseconds time = 10s; time < 11s; time += 25ms) {
        for (const replica_instance& replica : fixture.access.takeChecks(fixture.pool, at(time))) {
            checked.push_back(replica.id);
            fixture.access.noteFailure(replica.id, access_failure::Refused, at(time));
        }
    }
    CHECK(checked == std::vector<std::string> { "r0", "r1", "r2", "r0" });
}

TEST_CASE("Slow answers and losses of other daemons lead to checks unless a replica was reached a short time ago")
{
    for (const bool isOther : { false, true }) {
        access_fixture fixture(3);
        const auto note = [&fixture, isOther](std::chrono::milliseconds time) {
            if (isOther)
                fixture.access.noteOtherLost(at(time));
            else
                fixture.access.noteFailure("r0", access_failure::Silent, at(time));
        };
        note(10s);
        CHECK(fixture.access.takeChecks(fixture.pool, at(10s)).size() == 2);
        fixture.access.noteReached(at(10s));
        note(10900ms);
        CHECK(fixture.access.takeChecks(fixture.pool, at(10900ms)).empty());
        note(11100ms);
        CHECK(fixture.access.takeChecks(fixture.pool, at(11100ms)).size() == 2);
        CHECK_FALSE(fixture.access.isLost());
    }
}

TEST_CASE("An attempt that began before a replica was reached says nothing of the access afterwards")
{
    access_fixture fixture(3);
    fixture.access.noteReached(at(10s));
    fixture.access.noteFailure("r0", access_failure::ConnectTimedOut, at(9900ms));
    fixture.access.noteFailure("r1", access_failure::ConnectTimedOut, at(9900ms));
    CHECK_FALSE(fixture.access.isLost());
    CHECK_FALSE(fixture.access.isDoubtful());
    CHECK(fixture.access.takeChecks(fixture.pool, at(10200ms)).empty());
}
