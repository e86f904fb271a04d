#include <support/rolloutfixture.h>

#include <rollout/factspread.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

std::vector<fact> limits(std::size_t count)
{
    std::vector<fact> facts;
    for (std::size_t number = 0; number < count; ++number)
        facts.emplace_back(replica_limit { { "r" + std::to_string(number), 1 }, 2, at(0ms) });
    return facts;
}

std::vector<std::string> daemons(std::size_t count)
{
    std::vector<std::string> vms;
    for (std::size_t number = 0; number < count; ++number)
        vms.push_back("entry-" + std::to_string(number));
    return vms;
}

std::size_t countFacts(std::span<const fact_delivery> deliveries)
{
    std::size_t count = 0;
    for (const fact_delivery& delivery : deliveries) {
        CHECK(delivery.facts.size() <= fact_spread::maxFactsPerDelivery);
        count += delivery.facts.size();
    }
    return count;
}

}

TEST_CASE("News go to all daemons of a small fleet and to a few of a large one")
{
    struct row {
        std::size_t others;
        bool isOwn;
        std::size_t least;
        std::size_t most;
    };
    const row rows[] = { { 9, true, 9, 9 }, { 9, false, 0, 0 }, { 399, true, 8, 12 }, { 399, false, 8, 12 }, { 0, true, 0, 0 } };
    for (const row& row : rows) {
        INFO(row.others << " others, own: " << row.isOwn);
        fact_spread spread(3);
        spread.setDaemons(daemons(row.others));
        spread.add(limits(1).front(), row.isOwn);
        const std::size_t sent = countFacts(spread.takeNews());
        CHECK(sent >= row.least);
        CHECK(sent <= row.most);
        CHECK(spread.takeNews().empty());
    }
}

TEST_CASE("However many facts are known, a daemon sends a bounded part each second, and all of them in turn")
{
    const std::vector<fact> all = limits(600);
    fact_spread spread(3);
    spread.setDaemons(daemons(1));
    spread.takeSync(all, at(0ms));
    std::set<std::string> sent;
    for (int second = 1; second <= 13; ++second) {
        const std::vector<fact_delivery> deliveries = spread.takeSync(all, at(second * 1000ms));
        CHECK(countFacts(deliveries) <= fact_spread::maxFactsPerSync);
        for (const fact_delivery& delivery : deliveries) {
            for (const fact& item : delivery.facts)
                sent.insert(std::get<replica_limit>(item).replica.id);
        }
    }
    CHECK(sent.size() == all.size());
}

TEST_CASE("A daemon that joins a fleet gets all facts from some of the others at once")
{
    const std::vector<fact> all = limits(100);
    for (const std::size_t size : { 3UL, 10UL, 80UL, 400UL }) {
        INFO(size << " daemons");
        std::size_t received = 0;
        for (std::size_t sender = 0; sender < size; ++sender) {
            fact_spread spread(sender + 1);
            std::vector<std::string> vms = daemons(size);
            spread.setDaemons(vms);
            spread.takeSync(all, at(0ms));
            vms.push_back("joining");
            spread.setDaemons(vms);
            for (const fact_delivery& delivery : spread.takeSync(all, at(100ms)))
                received += delivery.vm == "joining" ? delivery.facts.size() : 0;
        }
        CHECK(received >= all.size());
        CHECK(received <= 3 * static_cast<std::size_t>(fact_spread::joiningSenders) * all.size());
    }
}
