#include <rollout/replicaaccess.h>
#include <support/rolloutfixture.h>

#include <catch2/catch.hpp>

#include <set>
#include <string>
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

    /// Carries out the checks that are due at \a time: those of \a down fail, the others succeed. Returns their replicas.
    std::vector<std::string> check(const std::set<std::string>& down, std::chrono::milliseconds time)
    {
        std::vector<std::string> checked;
        for (const replica_instance& replica : access.takeChecks(pool, at(time)))
            checked.push_back(replica.id);
        for (const std::string& replica : checked) {
            if (down.contains(replica))
                access.noteCheckFailure(replica, access_failure::Refused, at(time));
            else
                access.noteReached(at(time + 1ms));
        }
        return checked;
    }

    replica_pool pool { "north-a" };
    replica_access access;
};

struct loss_case {
    const char* name;
    std::size_t listed;
    std::vector<std::string> failed;
    std::set<std::string> down;
    bool isLost;
};

const std::set<std::string> allDown { "r0", "r1", "r2", "r3" };

const loss_case lossCases[] = {
    { "one replica is down", 4, { "r0" }, { "r0" }, false },
    { "the same replica fails again and again", 4, { "r0", "r0", "r0" }, { "r0" }, false },
    { "two replicas are down, and one other is checked", 3, { "r0", "r1" }, { "r0", "r1" }, false },
    { "two replicas are down, and one of them is checked", 4, { "r0" }, { "r0", "r1" }, false },
    { "none is in reach after one failure", 4, { "r0" }, allDown, true },
    { "none is in reach after two failures", 4, { "r0", "r1" }, allDown, true },
    { "neither of two is in reach", 2, { "r0", "r1" }, allDown, true },
    { "the only one is out of reach", 1, { "r0" }, allDown, true },
    { "none is listed any more", 0, { "r0" }, allDown, false },
};

}

TEST_CASE("Access is lost when attempts and checks reach no replica, whichever replicas fail by themselves")
{
    for (const loss_case& row : lossCases) {
        INFO(row.name);
        access_fixture fixture(row.listed);
        for (const std::string& replica : row.failed)
            fixture.access.noteFailure(replica, access_failure::Refused, at(10s));
        CHECK_FALSE(fixture.access.isLost());
        fixture.check(row.down, 10s);
        CHECK(fixture.access.isLost() == row.isLost);
        fixture.access.noteReached(at(11s));
        CHECK_FALSE(fixture.access.isLost());
    }
}

TEST_CASE("An attempt that hung makes access doubtful until a replica is reached")
{
    for (const access_failure failure : { access_failure::Refused, access_failure::ConnectTimedOut, access_failure::Silent }) {
        access_fixture fixture(3);
        fixture.access.noteFailure("r0", failure, at(10s));
        CHECK(fixture.access.isDoubtful() == (failure != access_failure::Refused));
        fixture.access.noteReached(at(11s));
        CHECK_FALSE(fixture.access.isDoubtful());
    }
}

TEST_CASE("After a failure two other replicas are checked at once, none while all is well, and no more before these have ended")
{
    access_fixture fixture(5);
    CHECK(fixture.access.takeChecks(fixture.pool, at(10s)).empty());
    fixture.access.noteFailure("r0", access_failure::Refused, at(10s));
    const std::vector<replica_instance> checks = fixture.access.takeChecks(fixture.pool, at(10s));
    REQUIRE(checks.size() == 2);
    CHECK(checks[0].id != "r0");
    CHECK(checks[1].id != "r0");
    CHECK(checks[0].id != checks[1].id);
    fixture.access.noteFailure("r4", access_failure::Refused, at(10s));
    CHECK(fixture.access.takeChecks(fixture.pool, at(10s)).empty());
    fixture.access.noteCheckFailure(checks[0].id, access_failure::Refused, at(10s));
    CHECK_FALSE(fixture.access.isLost());
    fixture.access.noteCheckFailure(checks[1].id, access_failure::Refused, at(10s));
    CHECK(fixture.access.isLost());
}

TEST_CASE("While access is lost, one replica after the other is checked, each time after an interval")
{
    access_fixture fixture(3);
    fixture.access.noteFailure("r0", access_failure::Refused, at(10s));
    REQUIRE(fixture.check(allDown, 10s) == std::vector<std::string> { "r1", "r2" });
    std::vector<std::string> checked;
    for (std::chrono::milliseconds time = 10250ms; time < 11250ms; time += 25ms) {
        for (const std::string& replica : fixture.check(allDown, time))
            checked.push_back(replica);
    }
    CHECK(checked == std::vector<std::string> { "r0", "r1", "r2", "r0" });
    CHECK(fixture.access.isLost());
    fixture.check({}, 11500ms);
    CHECK_FALSE(fixture.access.isLost());
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
        CHECK(fixture.check({}, 10s).size() == 2);
        note(10900ms);
        CHECK(fixture.check({}, 10900ms).empty());
        note(11100ms);
        CHECK(fixture.check({}, 11100ms).size() == 2);
        CHECK_FALSE(fixture.access.isLost());
    }
}

TEST_CASE("An attempt that began before a replica was reached says nothing of the access afterwards")
{
    access_fixture fixture(3);
    fixture.access.noteReached(at(10s));
    fixture.access.noteFailure("r0", access_failure::ConnectTimedOut, at(9900ms));
    fixture.access.noteCheckFailure("r1", access_failure::ConnectTimedOut, at(9900ms));
    CHECK_FALSE(fixture.access.isLost());
    CHECK_FALSE(fixture.access.isDoubtful());
    CHECK(fixture.access.takeChecks(fixture.pool, at(10200ms)).empty());
}
