#include <core/ownermap.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace ragwortreach;

namespace {

std::vector<member> makeMembers(std::size_t count)
{
    std::vector<member> members(count);
    for (std::size_t index = 0; index < count; ++index) {
        members[index].vm = "entry-" + std::to_string(index);
        members[index].dataCentre = index % 2 == 0 ? "zagreb-a" : "zagreb-b";
    }
    return members;
}

}

TEST_CASE("Only eligible members of the data centre own batches")
{
    struct row {
        const char* name;
        member_state state;
        bool isOwner;
    };
    const row rows[] = {
        { "alive", member_state::Alive, true },
        { "suspect", member_state::Suspect, true },
        { "leaving", member_state::Leaving, false },
        { "failed", member_state::Failed, false },
    };
    for (const row& item : rows) {
        CAPTURE(item.name);
        std::vector<member> members = makeMembers(2);
        members[0].state = item.state;
        const owner_map map(members);
        CHECK(map.ownerOf("batch-1", "zagreb-a") == (item.isOwner ? "entry-0" : "entry-1"));
        CHECK(map.relaysOf("zagreb-a", 3).size() == (item.isOwner ? 1 : 0));
    }
    CHECK(owner_map().ownerOf("batch-1", "zagreb-a").empty());
}

TEST_CASE("When a member fails, only its own batches move, each to the next candidate")
{
    REQUIRE(rc::check("minimal movement", [] {
        const std::size_t count = *rc::gen::inRange<std::size_t>(3, 40);
        std::vector<member> members = makeMembers(count);
        const owner_map before(members);
        const std::size_t failed = *rc::gen::inRange<std::size_t>(0, count);
        members[failed].state = member_state::Failed;
        std::reverse(members.begin(), members.end());
        const owner_map after(members);
        const std::string batch = *rc::gen::string<std::string>();
        const std::vector<std::string> candidates = before.candidates(batch, "zagreb-a", count);
        RC_ASSERT(std::set<std::string>(candidates.begin(), candidates.end()).size() == (count + 1) / 2);
        const std::string failedVm = "entry-" + std::to_string(failed);
        const bool isMoved = candidates[0] == failedVm && candidates.size() > 1;
        RC_ASSERT(before.ownerOf(batch, "zagreb-a") == candidates[0]);
        if (candidates.size() > 1)
            RC_ASSERT(after.ownerOf(batch, "zagreb-a") == candidates[isMoved ? 1 : 0]);
    }));
}

TEST_CASE("Batches are distributed evenly over the members")
{
    const owner_map map(makeMembers(20));
    std::map<std::string, int> owned;
    for (int batch = 0; batch < 10000; ++batch)
        ++owned[map.ownerOf("step-" + std::to_string(batch), "zagreb-a")];
    CHECK(owned.size() == 10);
    for (const std::pair<const std::string, int>& item : owned) {
        CHECK(item.second > 850);
        CHECK(item.second < 1150);
    }
}
