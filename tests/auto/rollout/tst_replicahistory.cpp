#include <rollout/replicahistory.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

replica_entry entryOf(std::int64_t startedAt, std::uint64_t number, bool isDraining = false)
{
    replica_entry entry;
    entry.id = "r1";
    entry.startedAt = startedAt;
    entry.number = number;
    entry.isDraining = isDraining;
    return entry;
}

struct order_case {
    const char* name;
    replica_entry known;
    bool isRemoved;
    replica_entry read;
    entry_standing standing;
};

const order_case orderCases[] = {
    { "a later entry", entryOf(5, 3), false, entryOf(5, 4), entry_standing::Current },
    { "the same entry again", entryOf(5, 3), false, entryOf(5, 3), entry_standing::Current },
    { "an earlier entry of the same start", entryOf(5, 3), false, entryOf(5, 2), entry_standing::Late },
    { "an entry of an earlier start", entryOf(5, 3), false, entryOf(4, 90), entry_standing::Late },
    { "an entry of an earlier start that leaves", entryOf(5, 3), false, entryOf(4, 90, true), entry_standing::Late },
    { "an entry of a later start", entryOf(5, 30), false, entryOf(6, 1), entry_standing::Current },
    { "an entry without a start", entryOf(5, 3), false, entryOf(0, 4), entry_standing::Foreign },
    { "a later entry, where no start is known", entryOf(0, 3), false, entryOf(0, 4), entry_standing::Current },
    { "an earlier entry, where no start is known", entryOf(0, 3), false, entryOf(0, 2), entry_standing::Late },
    { "a start, where none was known", entryOf(0, 3), false, entryOf(5, 1), entry_standing::Current },
    { "a later entry after the removal", entryOf(5, 3), true, entryOf(5, 9), entry_standing::Returned },
    { "an earlier entry after the removal", entryOf(5, 3), true, entryOf(5, 2), entry_standing::Late },
    { "an entry of an earlier start after the removal", entryOf(5, 3), true, entryOf(4, 9), entry_standing::Late },
    { "an entry of a later start after the removal", entryOf(5, 3), true, entryOf(6, 1), entry_standing::Current },
};

}

// review/8: the last entry in the log won, whatever it said of its own age.
TEST_CASE("Entries of a replica are ordered by its start and their numbers, not by their places in the log")
{
    for (const order_case& row : orderCases) {
        DYNAMIC_SECTION(row.name)
        {
            replica_history history;
            CHECK(history.note(row.known, instant(1s)) == entry_standing::Current);
            if (row.isRemoved)
                history.noteRemoved("r1", instant(2s));
            CHECK(history.note(row.read, instant(3s)) == row.standing);
        }
    }
}

TEST_CASE("A late entry counts once it has stood for several heartbeats, unless it is overwritten or removed")
{
    replica_history history;
    history.note(entryOf(5, 3), instant(1s));
    history.note(entryOf(4, 9), instant(2s));
    CHECK(history.takeConfirmed(instant(2s) + history.confirmationTime() - 1ms).empty());
    SECTION("it stands")
    {
        const std::vector<replica_entry> confirmed = history.takeConfirmed(instant(2s) + history.confirmationTime());
        REQUIRE(confirmed.size() == 1);
        CHECK(confirmed[0].startedAt == 4);
        CHECK(history.note(entryOf(4, 10), instant(10s)) == entry_standing::Current);
    }
    SECTION("the replica overwrites it")
    {
        CHECK(history.note(entryOf(5, 4), instant(3s)) == entry_standing::Current);
        CHECK(history.takeConfirmed(instant(20s)).empty());
    }
    SECTION("it is removed")
    {
        history.noteRemoved("r1", instant(3s));
        CHECK(history.takeConfirmed(instant(20s)).empty());
    }
}

TEST_CASE("Replicas are remembered for a while after their removal, and no more than a fixed number of them")
{
    replica_history history;
    for (std::size_t number = 0; number < replica_history::maxReplicas + 10; ++number) {
        replica_entry entry = entryOf(5, 1);
        entry.id = "r" + std::to_string(number);
        CHECK(history.note(entry, instant(1s)) == entry_standing::Current);
        history.noteRemoved(entry.id, instant(2s));
    }
    CHECK(history.size() == replica_history::maxReplicas);
    history.forgetOld(instant(2s) + replica_history::retention);
    CHECK(history.size() == replica_history::maxReplicas);
    history.forgetOld(instant(2s) + replica_history::retention + 1ms);
    CHECK(history.size() == 0);
}
