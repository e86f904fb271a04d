#include <support/rolloutfixture.h>

#include <rollout/itemscheduler.h>
#include <rollout/rewardscheduler.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t rewardSlots = 6;

replica_entry rewardReplica(const std::string& id)
{
    replica_entry entry = makeReplica(id, "north-a", 1);
    entry.service = testRewardService;
    entry.slots = rewardSlots;
    entry.weights.clear();
    return entry;
}

batch_submission rewardBatch(const std::string& id, std::size_t groups, std::size_t size)
{
    batch_submission batch = makeBatch(id, groups, size);
    for (batch_item& item : batch.items)
        item.reward = reward_call { "reward-" + item.id, "rewards.example", "/score/1", item.id };
    return batch;
}

/// A batch \c b whose items need rewards, and three replicas of the reward service.
struct reward_fixture {
    explicit reward_fixture(std::size_t groups, std::size_t size = 1, std::vector<std::string> models = { testModel })
        : pool("north-a")
        , rewards(ledger, pool, routes, contents)
    {
        routes.setConfiguration(makeRewardConfiguration(std::move(models), 8));
        for (const char* id : { "s1", "s2", "s3" })
            pool.update(rewardReplica(id));
        ledger.setConfirmedAt(0, alwaysConfirmed);
        ledger.apply(batch_accepted { rewardBatch("b", groups, size) }, at(0ms));
    }

    std::vector<start_reward> start(std::chrono::milliseconds time)
    {
        rewards.schedule(at(time));
        std::vector<start_reward> started;
        for (reward_effect& effect : rewards.takeEffects()) {
            if (std::holds_alternative<start_reward>(effect))
                started.push_back(std::get<start_reward>(effect));
            else
                ++cancelled;
        }
        return started;
    }

    batch_ledger ledger;
    replica_pool pool;
    route_table routes;
    contents_cache contents;
    reward_scheduler rewards;
    int cancelled = 0;
};

/// Reward service that answers in virtual time; some items never get an answer, or only from their second call on.
class answering_service {
public:
    static constexpr std::chrono::milliseconds serviceTime { 80 };
    static constexpr std::chrono::milliseconds step { 10 };

    explicit answering_service(reward_fixture& fixture)
        : m_fixture(fixture)
    {
    }

    void setSilent(std::size_t item) { m_silent.insert(item); }
    void setSilentOnce(std::size_t item) { m_silentOnce.insert(item); }

    /// Advances by one step: ends the calls that are due and sends further ones.
    void advance()
    {
        m_now += step;
        while (!m_open.empty() && m_open.begin()->first <= m_now) {
            const open_call ended = m_open.begin()->second;
            m_open.erase(m_open.begin());
            const reward_answer answer { ended.isSilent ? reward_end::Interrupted : reward_end::Scored, {} };
            if (m_fixture.rewards.onEnd(ended.call, answer, at(m_now)))
                m_scoredAt[ended.item] = m_now;
        }
        for (const start_reward& started : m_fixture.start(m_now)) {
            const std::size_t item = started.key.item;
            const bool isSilent = m_silent.contains(item) || (m_silentOnce.contains(item) && !m_calls.contains(item));
            ++m_calls[item];
            const std::chrono::milliseconds timeout = std::chrono::duration_cast<std::chrono::milliseconds>(started.timeout);
            m_open.emplace(m_now + (isSilent ? timeout : serviceTime), open_call { started.call, item, isSilent });
        }
        m_mostOpen = std::max(m_mostOpen, m_open.size());
    }

    std::chrono::milliseconds now() const { return m_now; }
    /// Times at which the items got their rewards.
    const std::map<std::size_t, std::chrono::milliseconds>& scoredAt() const { return m_scoredAt; }
    /// Number of calls for \a item.
    std::size_t callsOf(std::size_t item) const { return m_calls.contains(item) ? m_calls.at(item) : 0; }
    std::size_t mostOpen() const { return m_mostOpen; }

private:
    struct open_call {
        reward_number call = 0;
        std::size_t item = 0;
        bool isSilent = false;
    };

    reward_fixture& m_fixture;
    std::chrono::milliseconds m_now { 0 };
    std::set<std::size_t> m_silent;
    std::set<std::size_t> m_silentOnce;
    std::multimap<std::chrono::milliseconds, open_call> m_open;
    std::map<std::size_t, std::size_t> m_calls;
    std::map<std::size_t, std::chrono::milliseconds> m_scoredAt;
    std::size_t m_mostOpen = 0;
};

struct ending_case {
    const char* name;
    reward_end end;
    int times;
    bool isAbandoned;
    bool mayUseSameReplica;
};

const ending_case endings[] = {
    { "failed twice", reward_end::Failed, 2, false, false },
    { "failed as often as the route allows", reward_end::Failed, 3, true, false },
    { "rejected often", reward_end::Rejected, 8, false, true },
    { "not run often", reward_end::NotRun, 8, false, false },
    { "interrupted often", reward_end::Interrupted, 8, false, false },
    { "unreachable often", reward_end::Unreachable, 8, false, false },
};

}

TEST_CASE("A reward call is repeated until it is scored or has failed as often as its route allows")
{
    for (const ending_case& row : endings) {
        DYNAMIC_SECTION(row.name)
        {
            reward_fixture fixture(1);
            fixture.rewards.add({ "b", 0 }, at(0ms));
            std::chrono::milliseconds time { 0 };
            std::optional<reward_outcome> outcome;
            std::string lastReplica;
            for (int round = 0; round < row.times; ++round) {
                time += 5s;
                const std::vector<start_reward> started = fixture.start(time);
                REQUIRE(started.size() == 1);
                if (!row.mayUseSameReplica)
                    CHECK(started[0].replica != lastReplica);
                lastReplica = started[0].replica;
                outcome = fixture.rewards.onEnd(started[0].call, { row.end, {} }, at(time));
                CHECK(outcome.has_value() == (row.isAbandoned && round + 1 == row.times));
            }
            if (row.isAbandoned) {
                CHECK_FALSE(outcome->signature);
            } else {
                time += 5s;
                outcome = fixture.rewards.onEnd(fixture.start(time).at(0).call, { reward_end::Scored, "signed" }, at(time));
                REQUIRE(outcome);
                CHECK(outcome->signature == "signed");
            }
            CHECK(fixture.rewards.waiting() == 0);
        }
    }
}

TEST_CASE("A reward call is repeated at once only when it has not run, otherwise after a pause")
{
    reward_fixture fixture(1);
    fixture.rewards.add({ "b", 0 }, at(0ms));
    fixture.rewards.onEnd(fixture.start(0ms).at(0).call, { reward_end::NotRun, {} }, at(1ms));
    const std::vector<start_reward> second = fixture.start(1ms);
    REQUIRE(second.size() == 1);
    fixture.rewards.onEnd(second[0].call, { reward_end::Interrupted, {} }, at(2ms));
    CHECK(fixture.start(2ms).empty());
    CHECK(fixture.start(200ms).size() == 1);
}

TEST_CASE("A burst of reward calls leaves slots for customers and for the other models")
{
    struct load_case {
        const char* name;
        std::vector<std::string> models;
        std::size_t limit;
    };
    const load_case cases[] = {
        { "one model", { testModel }, 3 * rewardSlots / 2 },
        { "two models", { testModel, "guide-7b" }, 3 * rewardSlots / 3 },
        { "three models", { testModel, "guide-7b", "match-7b" }, 3 * rewardSlots / 4 },
    };
    for (const load_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            reward_fixture fixture(64, 1, row.models);
            for (std::size_t item = 0; item < 64; ++item)
                fixture.rewards.add({ "b", item }, at(0ms));
            answering_service service(fixture);
            while (fixture.rewards.waiting() > 0 && service.now() < 10s)
                service.advance();
            // Without the limit, the burst would take every slot, and most calls would be rejected.
            CHECK(service.mostOpen() <= row.limit);
            CHECK(service.now() < 3s);
        }
    }
}

TEST_CASE("A service whose replicas are full gets fewer reward calls")
{
    reward_fixture fixture(40);
    for (std::size_t item = 0; item < 40; ++item)
        fixture.rewards.add({ "b", item }, at(0ms));
    const std::size_t before = fixture.start(0ms).size();
    for (reward_number call = 1; call <= before; ++call)
        fixture.rewards.onEnd(call, { reward_end::NotRun, {} }, at(std::chrono::milliseconds(call)));
    const std::size_t after = fixture.start(10s).size();
    CHECK(after < before);
    CHECK(after >= 1);
}

namespace {

/// Models whose shares leave one slot of the reward service for each of them.
std::vector<std::string> modelsOfOneSlot()
{
    std::vector<std::string> models { testModel };
    for (std::uint32_t number = 1; number < 3 * rewardSlots; ++number)
        models.push_back("model-" + std::to_string(number));
    return models;
}

}

// Repeated calls went before all others, since only the age of an item counted, and their time-outs lowered the limit to 1.
TEST_CASE("Reward calls without an answer held up all other rewards of their service")
{
    struct silence_case {
        const char* name;
        std::vector<std::string> models;
        std::size_t silentItems;
    };
    const silence_case cases[] = {
        { "five items, one model", { testModel }, 5 },
        { "twenty items, one model", { testModel }, 20 },
        { "five items, a share of one slot", modelsOfOneSlot(), 5 },
    };
    constexpr std::size_t items = 100;
    constexpr std::chrono::milliseconds timeout { 1000 };
    for (const silence_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            reward_fixture fixture(items, 1, row.models);
            answering_service service(fixture);
            for (std::size_t item = 0; item < items; ++item) {
                fixture.rewards.add({ "b", item }, at(std::chrono::milliseconds(item)));
                if (item < row.silentItems)
                    service.setSilent(item);
            }
            const std::size_t silentOnce = row.silentItems;
            service.setSilentOnce(silentOnce);
            // One call at a time: the first one of each item, and then half of the time for items without an answer.
            const std::size_t answered = items - row.silentItems - 1;
            const std::chrono::milliseconds firstCalls = (row.silentItems + 1) * timeout;
            const std::chrono::milliseconds bound = firstCalls + 2 * (answered + 1) * answering_service::serviceTime + timeout;
            while (service.now() < bound)
                service.advance();
            CHECK(service.scoredAt().size() - service.scoredAt().count(silentOnce) == answered);
            // The item that answers its second call may be the last one that is called again.
            while (service.now() < bound + firstCalls)
                service.advance();
            CHECK(service.scoredAt().contains(silentOnce));
            for (std::size_t item = 0; item < row.silentItems; ++item)
                CHECK(service.callsOf(item) >= 2);
        }
    }
}

TEST_CASE("An item whose reward call got no answer is tried again while new items keep all slots busy")
{
    reward_fixture fixture(2000);
    answering_service service(fixture);
    service.setSilentOnce(0);
    std::size_t added = 0;
    while (service.now() < 10s && !service.scoredAt().contains(0)) {
        // Twice as many as the slots can serve.
        for (std::size_t number = 0; number < 2 && added < 2000; ++number)
            fixture.rewards.add({ "b", added++ }, at(service.now()));
        service.advance();
    }
    REQUIRE(service.scoredAt().contains(0));
    CHECK(service.scoredAt().at(0) < 3s);
}

TEST_CASE("Rewards that complete a group go first")
{
    reward_fixture fixture(3, 2);
    fixture.ledger.apply(item_finished { "b", "b-2-0", true, { "text", 1, { 1 } } }, at(0ms));
    // Item 5 is the last one of its group.
    for (const std::size_t item : { 0, 1, 5 })
        fixture.rewards.add({ "b", item }, at(0ms));
    const std::vector<start_reward> started = fixture.start(1ms);
    REQUIRE_FALSE(started.empty());
    CHECK(started[0].key.item == 5);
}

TEST_CASE("Open reward calls are cancelled when their batch ends, and no further calls are sent")
{
    reward_fixture fixture(2);
    fixture.rewards.add({ "b", 0 }, at(0ms));
    CHECK(fixture.start(0ms).size() == 1);
    fixture.ledger.apply(batch_ended { "b" }, at(1ms));
    fixture.rewards.add({ "b", 1 }, at(1ms));
    CHECK(fixture.start(1ms).empty());
    CHECK(fixture.cancelled == 1);
    CHECK_FALSE(fixture.rewards.onEnd(1, { reward_end::Scored, "late" }, at(2ms)));
    CHECK(fixture.rewards.waiting() == 0);
}

TEST_CASE("A reward waits while its route or the replicas are missing")
{
    reward_fixture fixture(1);
    fixture.rewards.add({ "b", 0 }, at(0ms));
    route_configuration without = makeConfiguration({ testModel }, 8);
    without.version = 2;
    fixture.routes.setConfiguration(without);
    CHECK(fixture.start(0ms).empty());
    route_configuration moved = makeRewardConfiguration({ testModel }, 8);
    moved.version = 3;
    moved.routes.back().targets = { { "other-app", 1 } };
    fixture.routes.setConfiguration(moved);
    CHECK(fixture.start(1s).empty());
    replica_entry other = rewardReplica("o1");
    other.service = "other-app";
    fixture.pool.update(other);
    const std::vector<start_reward> started = fixture.start(2s);
    REQUIRE(started.size() == 1);
    CHECK(started[0].replica == "o1");
}

namespace {

/// Runs the items of a batch with rewards until all have results; runs and reward calls end in random ways.
class random_run {
public:
    random_run()
        : m_pool("north-a")
        , m_scheduler(m_ledger, m_pool, m_routes)
    {
        m_routes.setConfiguration(makeRewardConfiguration({ testModel }, 4));
        m_pool.update(makeReplica("r1", "north-a", 1));
        m_pool.update(makeReplica("r2", "north-a", 1));
        for (const char* id : { "s1", "s2", "s3" })
            m_pool.update(rewardReplica(id));
        m_scheduler.setOwnedModels({ testModel }, at(-2s));
        m_ledger.setConfirmedAt(0, alwaysConfirmed);
        m_ledger.apply(batch_accepted { rewardBatch("b", 4, 2) }, at(0ms));
    }

    void run()
    {
        for (std::chrono::milliseconds time { 0 }; time < 39s && m_ledger.find("b")->isOpen(); time += 100ms)
            step(time);
        RC_ASSERT(!m_ledger.find("b")->isOpen());
    }

private:
    void step(std::chrono::milliseconds time)
    {
        const bool isLate = time > 20s;
        if (!isLate && *rc::gen::inRange(0, 25) == 0)
            changeOwner(time);
        m_scheduler.schedule(at(time));
        for (const scheduler_effect& effect : m_scheduler.takeEffects()) {
            if (const start_run* const started = std::get_if<start_run>(&effect))
                endRun(*started, time, isLate);
            else if (const start_reward* const reward = std::get_if<start_reward>(&effect))
                endReward(*reward, time, isLate);
            else if (const write_record* const written = std::get_if<write_record>(&effect))
                apply(written->record, time);
        }
    }

    /// Simulates that the model goes to another owner and comes back, with the texts that were handed over.
    void changeOwner(std::chrono::milliseconds time)
    {
        std::vector<item_progressed> handedOver;
        m_scheduler.setOwnedModels({}, at(time));
        m_scheduler.schedule(at(time));
        for (const scheduler_effect& effect : m_scheduler.takeEffects()) {
            if (const write_record* const written = std::get_if<write_record>(&effect))
                apply(written->record, time);
            else if (const hand_over_text* const text = std::get_if<hand_over_text>(&effect))
                handedOver.push_back(text->text);
        }
        m_scheduler.setOwnedModels({ testModel }, at(time));
        const ledger_batch& batch = *m_ledger.find("b");
        for (const item_progressed& text : handedOver)
            m_scheduler.adoptText(batch, batch.indexOf(text.item).value(), text.output, at(time));
    }

    void endRun(const start_run& run, std::chrono::milliseconds time, bool isLate)
    {
        m_scheduler.onHead(run.run, 1);
        const std::uint64_t last = isLate ? 3 : *rc::gen::inRange<std::uint64_t>(run.afterEvent, 4);
        for (std::uint64_t event = run.afterEvent + 1; event <= last; ++event)
            m_scheduler.onEvent(run.run, { event, "e" + std::to_string(event), std::nullopt, "" }, at(time));
        if (last == 3)
            m_completeTexts.insert(run.item);
        m_scheduler.onEnd(run.run, last == 3 ? run_end::Complete : run_end::Interrupted, at(time));
    }

    void endReward(const start_reward& reward, std::chrono::milliseconds time, bool isLate)
    {
        RC_ASSERT(m_completeTexts.contains(reward.key.item));
        const reward_end drawn = *rc::gen::element(reward_end::Scored, reward_end::Rejected, reward_end::NotRun, reward_end::Interrupted, reward_end::Unreachable);
        const reward_end end = isLate ? reward_end::Scored : drawn;
        const std::string signature = end == reward_end::Scored ? "signed-" + std::to_string(reward.key.item) : std::string();
        m_scheduler.onRewardEnd(reward.call, { end, signature }, at(time));
    }

    void apply(const journal_record& record, std::chrono::milliseconds time)
    {
        if (const item_finished* const finished = std::get_if<item_finished>(&record)) {
            const std::size_t item = *m_ledger.find("b")->indexOf(finished->item);
            RC_ASSERT(finished->isCompleted);
            RC_ASSERT(finished->reward == "signed-" + std::to_string(item));
            RC_ASSERT(finished->output.text == "e1\ne2\ne3");
            RC_ASSERT(m_results.insert(item).second);
        }
        m_ledger.apply(record, at(time));
    }

    batch_ledger m_ledger;
    replica_pool m_pool;
    route_table m_routes;
    item_scheduler m_scheduler;
    std::set<std::size_t> m_completeTexts;
    std::set<std::size_t> m_results;
};

}

TEST_CASE("Each item gets one result with its own reward, and no reward call precedes its text, however runs and calls end")
{
    CHECK(rc::check([] { random_run().run(); }));
}

namespace {

/// Owner of an item with a reward call whose text has just become complete.
struct owner_with_whole_text {
    owner_with_whole_text()
        : owner(ledger, pool, routes)
    {
        routes.setConfiguration(makeRewardConfiguration({ testModel }, 4));
        pool.update(makeReplica("r1", "north-a", 1));
        pool.update(rewardReplica("s1"));
        ledger.setConfirmedAt(0, alwaysConfirmed);
        ledger.apply(batch_accepted { rewardBatch("b", 1, 1) }, at(0ms));
        owner.setOwnedModels({ testModel }, at(-2s));
        owner.schedule(at(0ms));
        const start_run run = std::get<start_run>(owner.takeEffects().at(0));
        owner.onHead(run.run, 1);
        owner.onEvent(run.run, { 1, "text", std::nullopt, "" }, at(0ms));
        owner.onEnd(run.run, run_end::Complete, at(0ms));
    }

    batch_ledger ledger;
    replica_pool pool { "north-a" };
    route_table routes;
    item_scheduler owner;
};

}

TEST_CASE("A complete text that waits for its reward is handed over, and the next owner repeats only the reward call")
{
    for (const bool isStopped : { false, true }) {
        DYNAMIC_SECTION((isStopped ? "the process stops" : "the lease was lost"))
        {
            owner_with_whole_text fixture;
            item_scheduler& owner = fixture.owner;
            owner.schedule(at(1ms));
            REQUIRE(owner.takeEffects().size() == 1);
            if (isStopped)
                owner.handOverAll();
            else
                owner.setOwnedModels({}, at(2ms));
            owner.schedule(at(2ms));
            std::vector<item_progressed> handedOver;
            for (const scheduler_effect& effect : owner.takeEffects()) {
                CHECK_FALSE(std::holds_alternative<write_record>(effect));
                if (const hand_over_text* const text = std::get_if<hand_over_text>(&effect))
                    handedOver.push_back(text->text);
            }
            REQUIRE(handedOver.size() == 1);
            CHECK(handedOver[0].output.isComplete);

            item_scheduler next(fixture.ledger, fixture.pool, fixture.routes);
            next.setOwnedModels({ testModel }, at(1s));
            REQUIRE(next.adoptText(*fixture.ledger.find("b"), 0, handedOver[0].output, at(1s)));
            next.schedule(at(3s));
            const std::vector<scheduler_effect> effects = next.takeEffects();
            REQUIRE(effects.size() == 1);
            CHECK(std::holds_alternative<start_reward>(effects[0]));
        }
    }
}

TEST_CASE("A complete text whose reward is late is saved once, and a later owner repeats only the reward call")
{
    owner_with_whole_text fixture;
    item_scheduler& owner = fixture.owner;
    CHECK(owner.takeProgress(at(100ms)).empty());
    const std::vector<item_progressed> saved = owner.takeProgress(at(400ms));
    REQUIRE(saved.size() == 1);
    CHECK(saved[0].output.isComplete);
    CHECK(owner.takeProgress(at(800ms)).empty());

    item_scheduler next(fixture.ledger, fixture.pool, fixture.routes);
    next.setOwnedModels({ testModel }, at(1s));
    REQUIRE(next.adoptText(*fixture.ledger.find("b"), 0, saved[0].output, at(1s)));
    next.setRecovered(testModel);
    next.schedule(at(3s));
    const std::vector<scheduler_effect> effects = next.takeEffects();
    REQUIRE(effects.size() == 1);
    const start_reward reward = std::get<start_reward>(effects[0]);
    next.onRewardEnd(reward.call, { reward_end::Scored, "signed" }, at(3s));
    const item_finished finished = std::get<item_finished>(std::get<write_record>(next.takeEffects().at(0)).record);
    CHECK(finished.output.text == "text");
    CHECK(finished.reward == "signed");
}

namespace {

struct repeat_case {
    const char* name;
    bool isSameCall;
    bool isByReference;
};

const repeat_case repeats[] = {
    { "same call", true, false },
    { "another call", false, false },
    { "another call, text in a record of its own", false, true },
};

}

TEST_CASE("A resubmitted item keeps its text, but its reward only with the same reward call")
{
    for (const repeat_case& row : repeats) {
        DYNAMIC_SECTION(row.name)
        {
            batch_ledger ledger;
            replica_pool pool("north-a");
            route_table routes;
            routes.setConfiguration(makeRewardConfiguration({ testModel }, 4));
            pool.update(rewardReplica("s1"));
            ledger.setConfirmedAt(0, alwaysConfirmed);
            ledger.apply(batch_accepted { rewardBatch("b", 1, 1) }, at(0ms));
            item_finished first { "b", "b-0-0", true, { row.isByReference ? "" : "text", 1, { 1 } }, {}, "signed" };
            if (row.isByReference)
                first.reference = text_reference { "key", 0, 7, 1, 900 };
            ledger.apply(first, at(0ms));
            batch_submission again = ledger.find("b")->submission;
            again.id = "again";
            if (!row.isSameCall)
                again.items[0].reward->id = "reward-2";
            ledger.apply(batch_accepted { again }, at(1s));
            item_scheduler scheduler(ledger, pool, routes);
            scheduler.setOwnedModels({ testModel }, at(-2s));
            scheduler.schedule(at(1s));
            std::vector<scheduler_effect> effects = scheduler.takeEffects();
            REQUIRE(effects.size() == 1);
            if (!row.isSameCall) {
                const start_reward reward = std::get<start_reward>(effects[0]);
                scheduler.onRewardEnd(reward.call, { reward_end::Scored, "signed again" }, at(1s));
                effects = scheduler.takeEffects();
                REQUIRE(effects.size() == 1);
            }
            const item_finished finished = std::get<item_finished>(std::get<write_record>(effects[0]).record);
            CHECK(finished.batch == "again");
            CHECK(finished.reward == (row.isSameCall ? "signed" : "signed again"));
            CHECK(finished.output.text == (row.isByReference ? "" : "text"));
            CHECK(finished.reference.has_value() == row.isByReference);
        }
    }
}

// CONFIG: an owner went on sending reward calls by routes that had been changed.
TEST_CASE("Reward calls were sent by an older configuration than another daemon had read")
{
    reward_fixture fixture(1);
    fixture.rewards.add({ "b", 0 }, at(0ms));
    const std::uint64_t version = fixture.routes.version();
    fixture.routes.noteRead({ version + 1, at(0ms) });
    CHECK(fixture.start(1s).empty());
    route_configuration next = fixture.routes.configuration();
    next.version = version + 1;
    fixture.routes.setConfiguration(next);
    CHECK(fixture.start(1100ms).size() == 1);
}

// UNASKED: the reward calls of a batch that had been ended elsewhere went on while the ledger was behind.
TEST_CASE("Reward calls of an ended batch were sent by an owner whose ledger was behind")
{
    reward_fixture fixture(1);
    fixture.ledger.setConfirmedAt(0, at(0ms));
    fixture.rewards.add({ "b", 0 }, at(100ms));
    CHECK(fixture.start(1600ms).empty());
    fixture.ledger.setConfirmedAt(0, at(1600ms));
    const std::vector<start_reward> first = fixture.start(1700ms);
    REQUIRE(first.size() == 1);
    fixture.rewards.onEnd(first[0].call, { reward_end::Interrupted, {} }, at(3s));
    CHECK(fixture.start(3200ms).empty());
    fixture.ledger.setConfirmedAt(0, at(3200ms));
    CHECK(fixture.start(3300ms).size() == 1);
}

namespace {

/// Item scheduling runs at least this often.
constexpr std::chrono::milliseconds scheduleInterval { 10 };
constexpr std::size_t unansweredItems = 100;

/// Way in which the reward calls of a service end while none of them is scored.
struct unscored_case {
    const char* name;
    reward_end end;
    std::chrono::milliseconds duration;
    /// Most calls in a second, after ten seconds, of all items together and of one item.
    std::size_t mostOfService;
    std::size_t mostOfItem;
};

const unscored_case unscoredCases[] = {
    { "no answer within the time-out", reward_end::Interrupted, 1s, 2, 1 },
    { "connection closed at once", reward_end::Interrupted, 1ms, 70, 1 },
    { "unreachable at once", reward_end::Unreachable, 1ms, 70, 1 },
    { "unreachable within the time-out", reward_end::Unreachable, 1s, 5, 1 },
    { "not run", reward_end::NotRun, 1ms, 20, 20 },
};

/// Reward calls in a period during which none is scored.
struct call_count {
    std::size_t ofService = 0;
    std::map<std::size_t, std::size_t> ofItems;
};

call_count callsWithoutScore(reward_fixture& fixture, const unscored_case& row, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    call_count count;
    std::multimap<std::chrono::milliseconds, reward_number> open;
    for (std::chrono::milliseconds time { 0 }; time < to; time += scheduleInterval) {
        while (!open.empty() && open.begin()->first <= time) {
            fixture.rewards.onEnd(open.begin()->second, { row.end, {} }, at(open.begin()->first));
            open.erase(open.begin());
        }
        for (const start_reward& started : fixture.start(time)) {
            open.emplace(time + row.duration, started.call);
            if (time < from)
                continue;
            ++count.ofService;
            ++count.ofItems[started.key.item];
        }
    }
    return count;
}

}

TEST_CASE("Reward calls that are never scored are repeated without an end, but at a bounded rate")
{
    constexpr std::chrono::seconds before { 10 };
    constexpr std::chrono::seconds measured { 20 };
    for (const unscored_case& row : unscoredCases) {
        DYNAMIC_SECTION(row.name)
        {
            reward_fixture fixture(unansweredItems);
            for (std::size_t item = 0; item < unansweredItems; ++item)
                fixture.rewards.add({ "b", item }, at(0ms));
            const call_count count = callsWithoutScore(fixture, row, before, before + measured);
            std::size_t mostOfItem = 0;
            for (const std::pair<const std::size_t, std::size_t>& item : count.ofItems)
                mostOfItem = std::max(mostOfItem, item.second);
            CAPTURE(count.ofService, mostOfItem, count.ofItems.size());
            CHECK(count.ofService > 0);
            CHECK(count.ofService <= row.mostOfService * measured.count());
            CHECK(mostOfItem <= row.mostOfItem * measured.count());
            CHECK(fixture.rewards.waiting() == unansweredItems);
        }
    }
}
