#include <support/rolloutfixture.h>

#include <rollout/replicapool.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

std::string pickedId(const replica_pool& pool, const replica_criteria& criteria, std::chrono::milliseconds time)
{
    const replica_pool::replica* const picked = pool.pick(criteria, at(time));
    return picked ? picked->entry.id : "";
}

struct criteria_case {
    const char* name;
    replica_criteria criteria;
    const char* picked;
};

const std::vector<std::string> withoutNear { "near" };

const criteria_case criteriaCases[] = {
    { "own data centre first", { testService }, "near" },
    { "excluded", { .service = testService, .excluded = withoutNear }, "far" },
    { "weights too old", { .service = testService, .model = testModel, .minVersion = 2 }, "far" },
    { "weights too old everywhere", { .service = testService, .model = testModel, .minVersion = 3 }, "" },
    { "model unknown", { .service = testService, .model = "other" }, "" },
    { "other service", { .service = "bobbin-shop" }, "" },
    { "preferred", { .service = testService, .preferred = "far" }, "far" },
    { "no free slot", { .service = testService, .maxInFlight = 0 }, "" },
};

replica_pool makePool()
{
    replica_pool pool("north-a");
    pool.update(makeReplica("near", "north-a", 1));
    pool.update(makeReplica("far", "north-b", 2));
    return pool;
}

}

TEST_CASE("The picked replica meets the criteria of the request")
{
    for (const criteria_case& row : criteriaCases) {
        DYNAMIC_SECTION(row.name) { CHECK(pickedId(makePool(), row.criteria, 0ms) == row.picked); }
    }
}

TEST_CASE("A replica that failed is a last resort for a while, twice as long after the next failure")
{
    replica_pool pool = makePool();
    pool.finished("near", replica_outcome::Failed, {}, at(0ms));
    CHECK(pickedId(pool, { testService }, 100ms) == "far");
    CHECK(pickedId(pool, { testService }, 600ms) == "near");
    pool.finished("near", replica_outcome::Failed, {}, at(600ms));
    CHECK(pickedId(pool, { testService }, 1500ms) == "far");
    CHECK(pickedId(pool, { testService }, 1700ms) == "near");
    pool.finished("near", replica_outcome::Failed, {}, at(1700ms));
    pool.finished("far", replica_outcome::Failed, {}, at(1700ms));
    CHECK_FALSE(pickedId(pool, { testService }, 1800ms).empty());
}

TEST_CASE("A replica that restarts under its id loses the state of its former instance")
{
    replica_pool pool = makePool();
    pool.noteVersion("near", testModel, 9);
    pool.update(makeReplica("near", "north-a", 1));
    CHECK(pool.find("near")->entry.weights.at(testModel) == 9);
    replica_entry restarted = makeReplica("near", "north-a", 1);
    restarted.startedAt = 2;
    pool.update(restarted);
    CHECK(pool.find("near")->entry.weights.at(testModel) == 1);
}

TEST_CASE("A replica that vanished in an outage is a last resort until it is removed")
{
    replica_pool pool = makePool();
    pool.markVanished("near", at(0ms));
    CHECK(pickedId(pool, { testService }, 10ms) == "far");
    pool.remove("far");
    CHECK(pickedId(pool, { testService }, 10ms) == "near");
    pool.removeVanishedBefore(at(0ms));
    CHECK(pickedId(pool, { testService }, 10ms) == "near");
    pool.removeVanishedBefore(at(1ms));
    CHECK(pickedId(pool, { testService }, 10ms).empty());
}

TEST_CASE("Draining replicas get no requests")
{
    replica_pool pool = makePool();
    replica_entry draining = makeReplica("near", "north-a", 1);
    draining.isDraining = true;
    pool.update(draining);
    CHECK(pickedId(pool, { testService }, 0ms) == "far");
}

TEST_CASE("Replicas that failed are asked for permits only when all limited ones did")
{
    replica_pool pool = makePool();
    for (const char* const id : { "near", "far" })
        pool.limits().merge({ pool.instanceOf(id), 2, at(0ms) }, at(0ms));
    CHECK(pool.limitedReplicas({ testService }, at(0ms)).size() == 2);
    pool.finished("near", replica_outcome::Failed, {}, at(0ms));
    REQUIRE(pool.limitedReplicas({ testService }, at(100ms)).size() == 1);
    CHECK(pool.limitedReplicas({ testService }, at(100ms)).front().id == "far");
    pool.finished("far", replica_outcome::Failed, {}, at(100ms));
    CHECK(pool.limitedReplicas({ testService }, at(200ms)).size() == 2);
}

TEST_CASE("A permit is wanted for work that a limited replica has room for")
{
    replica_pool pool = makePool();
    pool.limits().merge({ pool.instanceOf("near"), 2, at(0ms) }, at(0ms));
    pool.started("near");
    pool.wantPermit({ .service = testService, .maxInFlight = 1 }, at(0ms));
    CHECK(pool.takeWants().empty());
    pool.wantPermit({ .service = testService, .maxInFlight = 2 }, at(0ms));
    const std::set<permit_want> wants = pool.takeWants();
    REQUIRE(wants.size() == 1);
    CHECK(wants.begin()->criteria().maxInFlight == 2);
}

TEST_CASE("A replica that crashed is a last resort until it is listed anew, and another instance is not blamed")
{
    replica_pool pool = makePool();
    pool.noteCrash({ "near", 99 }, at(0ms));
    CHECK(pickedId(pool, { testService }, 10ms) == "near");
    pool.noteCrash(pool.instanceOf("near"), at(0ms));
    CHECK(pickedId(pool, { testService }, 10ms) == "far");
    replica_entry restarted = makeReplica("near", "north-a", 1);
    restarted.startedAt = 5;
    pool.update(restarted);
    CHECK(pickedId(pool, { testService }, 20ms) == "near");
}

TEST_CASE("A service can do without one more replica while two are sound, or when none has crashed for a while")
{
    replica_pool pool = makePool();
    CHECK(pool.canLoseOne(testService, at(0ms)));
    pool.noteCrash(pool.instanceOf("near"), at(0ms));
    CHECK_FALSE(pool.canLoseOne(testService, at(100ms)));
    pool.update(makeReplica("third", "north-b", 1));
    CHECK(pool.canLoseOne(testService, at(100ms)));
    pool.remove("third");
    pool.remove("near");
    CHECK_FALSE(pool.canLoseOne(testService, at(4s)));
    CHECK(pool.canLoseOne(testService, at(6s)));
}

TEST_CASE("Requests keep away from a replica that runs one under which others ended")
{
    replica_pool pool = makePool();
    pool.beginTrial("near");
    CHECK(pickedId(pool, { testService }, 0ms) == "far");
    pool.endTrial("near");
    CHECK(pickedId(pool, { testService }, 0ms) == "near");
}

TEST_CASE("A replica that announced its leaving gets no request until another instance is listed, whatever the list says and in whatever order")
{
    const auto entryOf = [](const std::string& id, std::int64_t startedAt, bool isDraining) {
        replica_entry entry = makeReplica(id, "north-a", 1);
        entry.startedAt = startedAt;
        entry.isDraining = isDraining;
        return entry;
    };
    struct row {
        const char* name;
        /// Entries that are listed after the announcement.
        std::vector<replica_entry> listed;
        bool isPicked;
    };
    const row rows[] = {
        { "nothing is listed anew", {}, false },
        { "a stale list names it as ready", { entryOf("near", 7, false) }, false },
        { "a list that it is draining, then a stale one", { entryOf("near", 7, true), entryOf("near", 7, false) }, false },
        { "a restart under its id", { entryOf("near", 8, false) }, true },
        { "a restart, then a stale list of the instance before", { entryOf("near", 8, false), entryOf("near", 7, false) }, false },
        { "another replica at its address", { entryOf("third", 9, false) }, true },
    };
    for (const bool isAnnouncedFirst : { false, true }) {
        for (const row& row : rows) {
            INFO(row.name << ", announced before it was listed: " << isAnnouncedFirst);
            replica_pool pool("north-a");
            if (!isAnnouncedFirst)
                pool.update(entryOf("near", 7, false));
            CHECK(pool.noteLeaving({ { "near", 7 }, at(0ms) }));
            CHECK_FALSE(pool.noteLeaving({ { "near", 7 }, at(5ms) }));
            if (isAnnouncedFirst)
                pool.update(entryOf("near", 7, false));
            for (const replica_entry& entry : row.listed)
                pool.update(entry);
            CHECK(pickedId(pool, { testService }, 10ms).empty() != row.isPicked);
        }
    }
}

TEST_CASE("An announcement is forgotten once the instance is no longer listed")
{
    replica_pool pool = makePool();
    pool.noteLeaving({ pool.instanceOf("near"), at(0ms) });
    pool.noteLeaving({ { "gone", 3 }, at(0ms) });
    pool.forgetOldLeaving(at(9min));
    CHECK(pool.leaving().size() == 2);
    pool.forgetOldLeaving(at(11min));
    REQUIRE(pool.leaving().size() == 1);
    CHECK(pool.leaving().front().replica.id == "near");
}
