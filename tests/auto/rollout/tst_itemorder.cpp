#include <support/rolloutfixture.h>

#include <rollout/itemorder.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

struct order_case {
    const char* name;
    std::uint32_t wantedGroups;
    /// Expected tokens of the items, two in a group.
    std::vector<std::uint64_t> lengths;
    std::vector<std::size_t> order;
};

const order_case orderCases[] = {
    { "no estimates: order of the submission", 3, { 0, 0, 0, 0, 0, 0 }, { 0, 1, 2, 3, 4, 5 } },
    { "all groups wanted: longest item first", 3, { 1, 9, 2, 8, 3, 7 }, { 1, 3, 5, 4, 2, 0 } },
    { "one spare group: the one with the longest item comes last", 2, { 1, 9, 2, 8, 3, 7 }, { 3, 5, 4, 2, 1, 0 } },
    { "two spare groups: they come one after the other", 1, { 1, 9, 2, 8, 3, 7 }, { 5, 4, 3, 2, 1, 0 } },
    { "no number of wanted groups: all are wanted", 0, { 1, 9, 2, 8, 3, 7 }, { 1, 3, 5, 4, 2, 0 } },
};

batch_submission makeBatchOfLengths(const std::string& id, std::uint32_t wantedGroups, const std::vector<std::uint64_t>& lengths)
{
    batch_submission batch = makeBatch(id, lengths.size() / 2, 2);
    batch.wantedGroups = wantedGroups;
    for (std::size_t index = 0; index < lengths.size(); ++index)
        batch.items[index].expectedTokens = lengths[index];
    return batch;
}

/// Time at which the wanted groups are complete if the items start in \a order on \a slots slots, with one token per
/// unit of time.
std::uint64_t completionTime(const batch_submission& batch, const std::vector<std::size_t>& order, std::size_t slots)
{
    std::vector<std::uint64_t> free(slots, 0);
    std::map<std::string, std::uint64_t> groupEnds;
    for (const std::size_t item : order) {
        const std::vector<std::uint64_t>::iterator slot = std::min_element(free.begin(), free.end());
        *slot += batch.items[item].expectedTokens;
        std::uint64_t& groupEnd = groupEnds[batch.items[item].group];
        groupEnd = std::max(groupEnd, *slot);
    }
    std::vector<std::uint64_t> ends;
    ends.reserve(groupEnds.size());
    for (const std::pair<const std::string, std::uint64_t>& group : groupEnds)
        ends.push_back(group.second);
    std::sort(ends.begin(), ends.end());
    return ends[batch.wantedGroups - 1];
}

}

TEST_CASE("Items of the wanted groups come first, the longest ones at the front")
{
    for (const order_case& row : orderCases) {
        DYNAMIC_SECTION(row.name)
        {
            batch_ledger ledger;
            ledger.apply(batch_accepted { makeBatchOfLengths("b", row.wantedGroups, row.lengths) }, at(0ms));
            CHECK(itemOrder(*ledger.find("b")) == row.order);
        }
    }
}

TEST_CASE("Resubmitted groups come before groups that the trainer can do without")
{
    batch_ledger ledger;
    ledger.apply(batch_accepted { makeBatchOfLengths("first", 1, { 9, 9 }) }, at(0ms));
    batch_submission again = makeBatchOfLengths("second", 1, { 9, 9, 1, 1 });
    again.items[0].id = "first-0-0";
    again.items[1].id = "first-0-1";
    ledger.apply(batch_accepted { again }, at(1ms));
    CHECK(itemOrder(*ledger.find("second")) == std::vector<std::size_t> { 0, 1, 2, 3 });
}

TEST_CASE("A batch with a few long items is complete at least a fifth earlier than in the order of the submission")
{
    // 14 groups of 16 items; the trainer waits for 13 groups, and one item in ten is about eight times longer.
    std::vector<std::uint64_t> lengths;
    std::uint64_t number = 7;
    for (std::size_t item = 0; item < std::size_t { 14 } * 16; ++item) {
        number = number * 6364136223846793005ULL + 1442695040888963407ULL;
        lengths.push_back((number >> 33) % 10 == 0 ? 80 : 5 + (number >> 40) % 10);
    }
    batch_submission batch = makeBatch("b", 14, 16);
    batch.wantedGroups = 13;
    for (std::size_t item = 0; item < lengths.size(); ++item)
        batch.items[item].expectedTokens = lengths[item];
    batch_ledger ledger;
    ledger.apply(batch_accepted { batch }, at(0ms));
    std::vector<std::size_t> asSubmitted(lengths.size());
    for (std::size_t item = 0; item < asSubmitted.size(); ++item)
        asSubmitted[item] = item;
    const std::uint64_t baseline = completionTime(batch, asSubmitted, 60);
    const std::uint64_t ordered = completionTime(batch, itemOrder(*ledger.find("b")), 60);
    CHECK(ordered * 10 <= baseline * 8);
}
