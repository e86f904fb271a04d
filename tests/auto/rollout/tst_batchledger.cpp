#include <support/rolloutfixture.h>

#include <rollout/batchledger.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

std::string formatResult(std::string item, const std::string& text)
{
    item += '=';
    item += text;
    return item;
}

/// Results of the batch "b" in the order in which readers see them.
std::vector<std::string> formatResults(const batch_ledger& ledger)
{
    std::vector<std::string> texts;
    const ledger_batch* const batch = ledger.find("b");
    if (!batch)
        return texts;
    for (const ledger_result& result : batch->results)
        texts.push_back(formatResult(batch->submission.items[result.item].id, result.output.text));
    return texts;
}

}

TEST_CASE("A second result of an item, such as by another owner, is ignored and moves no other result")
{
    REQUIRE(rc::check([] {
        batch_ledger ledger;
        ledger.apply(batch_accepted { makeBatch("b", 2, 2) }, at(0ms));
        const std::vector<batch_item> items = makeBatch("b", 2, 2).items;
        std::vector<std::string> expected;
        std::vector<std::string> seen;
        const int records = *rc::gen::inRange(0, 20);
        for (int number = 0; number < records; ++number) {
            const std::string item = items[*rc::gen::inRange<std::size_t>(0, items.size())].id;
            const std::string text = "by owner " + std::to_string(number);
            if (std::find(seen.begin(), seen.end(), item) == seen.end()) {
                seen.push_back(item);
                expected.push_back(formatResult(item, text));
            }
            const std::vector<std::string> before = formatResults(ledger);
            ledger.apply(item_finished { "b", item, true, { text, 1, { 1 } } }, at(0ms));
            const std::vector<std::string> after = formatResults(ledger);
            RC_ASSERT(std::equal(before.begin(), before.end(), after.begin()));
        }
        RC_ASSERT(formatResults(ledger) == expected);
    }));
}

// The text of one organisation's item would become the result of another's.
TEST_CASE("Items are not taken from the batch of another organisation")
{
    for (const bool isSame : { true, false }) {
        batch_ledger ledger;
        batch_submission before = makeBatch("b", 1, 1);
        before.organisation = "guild";
        batch_submission after = before;
        after.id = "c";
        after.organisation = isSame ? "guild" : "weavers";
        ledger.apply(batch_accepted { before }, at(0ms), 1);
        ledger.apply(batch_accepted { after }, at(0ms), 2);
        CHECK(ledger.find("c")->items[0].earlier.has_value() == isSame);
    }
}

TEST_CASE("Repeated acceptances and records of unknown batches or items are ignored")
{
    batch_ledger ledger;
    CHECK(ledger.apply(item_finished { "b", "b-0-0", true, {} }, at(0ms)) == nullptr);
    REQUIRE(ledger.apply(batch_accepted { makeBatch("b", 1, 2) }, at(0ms)));
    CHECK(ledger.apply(batch_accepted { makeBatch("b", 3, 3) }, at(1ms)) == nullptr);
    CHECK(ledger.find("b")->items.size() == 2);
    CHECK(ledger.apply(item_finished { "b", "stranger", true, {} }, at(0ms)) == nullptr);
    CHECK(ledger.find("b")->isOpen());
    ledger.apply(batch_ended { "b" }, at(0ms));
    CHECK_FALSE(ledger.find("b")->isOpen());
}

TEST_CASE("The longest text handed over is kept until the item has a result")
{
    batch_ledger ledger;
    ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    ledger.apply(item_progressed { "b", "b-0-0", { "one\ntwo", 2, { 1 } } }, at(0ms));
    ledger.apply(item_progressed { "b", "b-0-0", { "one", 1, { 1 } } }, at(0ms));
    CHECK(ledger.find("b")->items[0].progress.lastEvent == 2);
    ledger.apply(item_finished { "b", "b-0-0", false, {} }, at(0ms));
    CHECK(ledger.find("b")->items[0].progress.lastEvent == 0);
    CHECK(ledger.apply(item_progressed { "b", "b-0-0", { "x", 3, { 1 } } }, at(0ms)) == nullptr);
}

TEST_CASE("Only old batches that are no longer open are reported as closed, and forget() removes one")
{
    batch_ledger ledger;
    ledger.apply(batch_accepted { makeBatch("open", 1, 1) }, at(0ms));
    ledger.apply(batch_accepted { makeBatch("ended", 1, 1) }, at(0ms));
    ledger.apply(batch_accepted { makeBatch("late", 1, 1) }, at(10ms));
    ledger.apply(batch_ended { "ended" }, at(0ms));
    ledger.apply(batch_ended { "late" }, at(10ms));
    REQUIRE(ledger.closedBefore(at(5ms)) == std::vector<std::string> { "ended" });
    ledger.forget("ended");
    CHECK(ledger.find("open"));
    CHECK_FALSE(ledger.find("ended"));
    CHECK(ledger.find("late"));
    CHECK(ledger.order().size() == 2);
}

TEST_CASE("A page of results stays within the size limit, but has at least one result")
{
    batch_ledger ledger;
    ledger.apply(batch_accepted { makeBatch("b", 5, 1) }, at(0ms));
    const text_reference large { "b/b-1-0/writer", 0, 7, 1, 400 };
    ledger.apply(item_finished { "b", "b-0-0", true, { std::string(400, 'x'), 1, { 1 } } }, at(0ms));
    ledger.apply(item_finished { "b", "b-1-0", true, { "", 1, { 1 } }, large }, at(0ms));
    ledger.apply(item_finished { "b", "b-2-0", true, { std::string(2000, 'x'), 1, { 1 } } }, at(0ms));
    const ledger_batch& batch = *ledger.find("b");
    CHECK(batch.page(0, 900).size() == 2);
    CHECK(batch.page(1, 900).size() == 1);
    CHECK(batch.page(2, 900).size() == 1);
    CHECK(batch.page(3, 900).empty());
}

TEST_CASE("Batches are in the order of their acceptance, in whatever order they were read")
{
    batch_ledger ledger;
    const std::pair<const char*, std::uint64_t> read[] = { { "third", 30 }, { "first", 10 }, { "second", 20 } };
    for (const std::pair<const char*, std::uint64_t>& batch : read)
        REQUIRE(ledger.apply(batch_accepted { makeBatch(batch.first, 1, 1) }, at(0ms), batch.second));
    CHECK(std::vector<std::string>(ledger.order().begin(), ledger.order().end()) == std::vector<std::string> { "first", "second", "third" });
}
