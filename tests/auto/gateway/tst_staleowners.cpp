#include "journalfleet.h"

#include <gateway/pollintervals.h>
#include <rollout/itemscheduler.h>
#include <support/rolloutfixture.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t bytesPerSecond = std::uint64_t { 200 } * 1000;
constexpr std::size_t ownerCount = 3;
/// The platform allows work for 3 s after the end of its batch, and a request may be on its way for 0.5 s.
constexpr duration maxWorkAfterEnd = 2500ms;
/// Age of a journal that has caught up.
constexpr duration maxAge = 850ms;
/// Time from then until work on open batches starts again.
constexpr duration restartLimit = 1s;
/// Longest time without a new run at an owner whose work goes on.
constexpr duration longestPauseOfWork = 500ms;
/// How far the journals of owners have to be behind in the cases in which no work may begin.
constexpr duration leastAgeBehind = 4s;

constexpr const char* slowReplica = "slow";
constexpr std::uint64_t eventsPerItem = 8;
constexpr duration scheduleInterval = 20ms;
constexpr duration rewardTime = 100ms;

/// Batch of an owner's model, in the order of acceptance. Each group has two items.
struct batch_plan {
    const char* name;
    std::size_t groups;
    bool hasRewards;
    bool isEnded;
};

// An owner starts about 12 items a second, so that it has items of ended batches left for all of the time it is behind.
constexpr std::array<batch_plan, 6> batchPlans { {
    { "ended-1", 15, true, true },
    { "ended-2", 15, false, true },
    { "ended-3", 15, true, true },
    { "ended-4", 30, false, true },
    { "open-1", 40, true, false },
    { "open-2", 60, false, false },
} };

std::string modelOf(std::size_t owner)
{
    return "lace-" + std::to_string(owner);
}

batch_submission submissionOf(const batch_plan& plan, const std::string& model)
{
    batch_submission batch = makeBatch(model + "-" + plan.name, plan.groups, 2);
    batch.model = model;
    for (batch_item& item : batch.items) {
        if (plan.hasRewards)
            item.reward = reward_call { "reward-" + item.id, "rewards.example", "/score/1", item.id };
    }
    return batch;
}

enum class begun_kind {
    Run,
    /// Run that continues a text at another replica.
    MovedRun,
    Reward,
};

/// Request that an owner sent to a replica.
struct begun_work {
    begun_kind kind = begun_kind::Run;
    std::string batch;
    instant time;
};

/// Daemon that owns a model all the while, with replicas that answer what it sends.
class model_owner {
public:
    model_owner(virtual_time& time, journal_fleet::daemon& daemon, std::string model)
        : m_time(time)
        , m_daemon(daemon)
        , m_model(std::move(model))
        , m_pool("north-a")
        , m_scheduler(daemon.batches().ledger(), m_pool, m_routes)
    {
        m_daemon.batches().setPollInterval(activePollIntervals.journal);
        m_routes.setConfiguration(makeRewardConfiguration({ m_model }, 2));
        for (const char* id : { "r1", "r2", slowReplica }) {
            replica_entry engine = makeReplica(id, "north-a", 1);
            engine.weights = { { m_model, 1 } };
            m_pool.update(engine);
        }
        for (const char* id : { "s1", "s2" }) {
            replica_entry scorer = makeReplica(id, "north-a", 1);
            scorer.service = testRewardService;
            scorer.weights.clear();
            m_pool.update(scorer);
        }
    }

    /// Schedules for as long as time advances.
    void scheduleSteadily()
    {
        journal& batches = m_daemon.batches();
        batches.fetchBatchesOf({ m_model });
        loadBatches();
        m_routes.setConfirmedAt(m_time.now());
        m_scheduler.setOwnedModels({ m_model }, m_time.now());
        m_scheduler.setRecovered(m_model);
        m_scheduler.schedule(m_time.now());
        for (const scheduler_effect& effect : m_scheduler.takeEffects())
            carryOut(effect);
        noteAge();
        m_time.callAfter(scheduleInterval, [this] { scheduleSteadily(); });
    }

    const std::vector<begun_work>& begun() const { return m_begun; }
    duration greatestAge() const { return m_greatestAge; }
    /// Number of times that the journal was read anew.
    std::uint64_t snapshots() const { return m_daemon.batches().snapshots().snapshots; }
    /// First time at which the journal had caught up after it was too far behind for new work.
    std::optional<instant> caughtUpAt() const { return m_caughtUpAt; }

private:
    void loadBatches()
    {
        const batch_ledger& ledger = m_daemon.batches().ledger();
        for (const batch_plan& plan : batchPlans) {
            const batch_submission submission = submissionOf(plan, m_model);
            const ledger_batch* const batch = ledger.find(submission.id);
            if (batch && !batch->isLoaded)
                load(submission);
        }
    }

    void load(const batch_submission& submission)
    {
        std::vector<loaded_item> items;
        for (batch_item item : submission.items) {
            const contents_location location = digestsOf(item);
            m_scheduler.contents().offer({ submission.id, items.size() }, takeContents(item));
            items.push_back({ std::move(item), location });
        }
        m_daemon.batches().load(submission.id, std::move(items));
    }

    void carryOut(const scheduler_effect& effect)
    {
        if (const start_run* const run = std::get_if<start_run>(&effect))
            beginRun(*run);
        else if (const start_reward* const reward = std::get_if<start_reward>(&effect))
            beginReward(*reward);
        else if (const write_record* const written = std::get_if<write_record>(&effect))
            m_daemon.batches().write(written->record, write_mode::RetryOnRefusal, {});
    }

    void beginRun(const start_run& run)
    {
        m_begun.push_back({ run.afterEvent == 0 ? begun_kind::Run : begun_kind::MovedRun, run.batch, m_time.now() });
        m_scheduler.onHead(run.run, 1);
        sendEvent(run.run, run.afterEvent + 1, run.replica == slowReplica ? 150ms : 50ms);
    }

    void sendEvent(run_number run, std::uint64_t event, duration interval)
    {
        m_time.callAfter(interval, [this, run, event, interval] {
            if (!m_scheduler.isRunning(run))
                return;
            m_scheduler.onEvent(run, { event, "text", std::nullopt, "" }, m_time.now());
            if (event < eventsPerItem)
                sendEvent(run, event + 1, interval);
            else
                m_scheduler.onEnd(run, run_end::Complete, m_time.now());
        });
    }

    void beginReward(const start_reward& reward)
    {
        m_begun.push_back({ begun_kind::Reward, reward.key.batch, m_time.now() });
        m_time.callAfter(rewardTime, [this, call = reward.call] { m_scheduler.onRewardEnd(call, { reward_end::Scored, "signature" }, m_time.now()); });
    }

    void noteAge()
    {
        const duration age = m_daemon.age();
        m_greatestAge = std::max(m_greatestAge, age);
        if (m_greatestAge >= batch_ledger::maxAgeForWork && age <= maxAge && !m_caughtUpAt)
            m_caughtUpAt = m_time.now();
    }

    virtual_time& m_time;
    journal_fleet::daemon& m_daemon;
    std::string m_model;
    replica_pool m_pool;
    route_table m_routes;
    item_scheduler m_scheduler;
    std::vector<begun_work> m_begun;
    duration m_greatestAge {};
    std::optional<instant> m_caughtUpAt;
};

void setCutOff(journal_fleet& fleet, std::size_t daemons, bool isCutOff)
{
    for (std::size_t number = 0; number < daemons; ++number)
        fleet.daemons()[number]->log().setCutOff(isCutOff);
}

void cutOffOwners(journal_fleet& fleet)
{
    setCutOff(fleet, ownerCount, true);
}

void reconnectOwners(journal_fleet& fleet)
{
    setCutOff(fleet, ownerCount, false);
}

void cutOffAll(journal_fleet& fleet)
{
    setCutOff(fleet, fleet.daemons().size(), true);
}

void reconnectAll(journal_fleet& fleet)
{
    setCutOff(fleet, fleet.daemons().size(), false);
}

/// Lets others ask the log for so much that its next answers are late.
void fillLog(journal_fleet& fleet)
{
    constexpr duration backlog = 7s;
    const topic_partition others { "others", 0 };
    const keyed_record large { "key", std::string(rated_log::maxPageBytes, 'x'), 0 };
    fleet.log().append(others, { "others", 1, 1 }, { &large, 1 });
    const rated_log::newest_call call = std::make_shared<rated_call<newest_outcome>>();
    call->onQueued = [](std::size_t) {};
    while (fleet.log().backlog() < backlog)
        fleet.log().readNewest(others, {}, call);
}

void doNothing(journal_fleet&)
{
}

/// Way in which the journals of owners are behind.
struct behind_case {
    const char* name;
    /// Whether no work may begin for a time; otherwise it has to go on.
    bool isFarBehind;
    /// From the beginning on.
    duration endsAfter;
    duration lasts;
    void (*begin)(journal_fleet&);
    void (*finish)(journal_fleet&);
    duration history = rated_log_options().history;
};

const std::array<behind_case, 6> behindCases { {
    { "not behind", false, 1s, 4s, doNothing, doNothing },
    { "briefly late", false, 200ms, 600ms, cutOffOwners, reconnectOwners },
    { "owners cut off silently", true, 1s, 9s, cutOffOwners, reconnectOwners },
    { "answers of the log late", true, 500ms, 7s, fillLog, doNothing },
    { "history dropped while owners were cut off", true, 1s, 9s, cutOffOwners, reconnectOwners, 3s },
    { "outage for all just before the end", true, 100ms, 6500ms, cutOffAll, reconnectAll },
} };

/// Fleet with owners that have begun to run their batches.
class owner_fleet {
public:
    owner_fleet(std::size_t size, duration history)
        : m_fleet(size, bytesPerSecond, history)
    {
        m_fleet.start();
        m_fleet.time().advance(500ms);
        for (std::size_t number = 0; number < ownerCount; ++number)
            m_owners.push_back(std::make_unique<model_owner>(m_fleet.time(), *m_fleet.daemons()[number], modelOf(number)));
        acceptBatches();
        m_fleet.time().advance(500ms);
        for (const std::unique_ptr<model_owner>& owner : m_owners)
            owner->scheduleSteadily();
        m_fleet.time().advance(1s);
    }

    /// Lets the journals be behind, and advances until a time after they have caught up.
    void play(const behind_case& row)
    {
        constexpr duration longestRecovery = 5s;
        m_begin = m_fleet.time().now();
        row.begin(m_fleet);
        m_fleet.time().advance(row.endsAfter);
        endBatches();
        m_fleet.time().advance(row.lasts - row.endsAfter);
        row.finish(m_fleet);
        for (duration waited {}; row.isFarBehind && !haveCaughtUp() && waited < longestRecovery; waited += scheduleInterval)
            m_fleet.time().advance(scheduleInterval);
        m_fleet.time().advance(2 * restartLimit);
    }

    const std::vector<std::unique_ptr<model_owner>>& owners() const { return m_owners; }
    std::size_t acknowledgedEnds() const { return m_endedAt.size(); }
    bool haveCaughtUp() const
    {
        return std::all_of(m_owners.begin(), m_owners.end(), [](const std::unique_ptr<model_owner>& owner) { return owner->caughtUpAt().has_value(); });
    }

    std::size_t countBegun(begun_kind kind) const
    {
        return countWork([kind](const begun_work& work) { return work.kind == kind; });
    }

    /// Number of requests of a kind that were sent too late after the end of their batch.
    std::size_t countLate(begun_kind kind) const
    {
        return countWork([this, kind](const begun_work& work) { return work.kind == kind && timeAfterEnd(work) > maxWorkAfterEnd; });
    }

    /// Longest time after the end of a batch at which work on it was begun.
    duration latestAfterEnd() const
    {
        duration latest {};
        for (const std::unique_ptr<model_owner>& owner : m_owners) {
            for (const begun_work& work : owner->begun())
                latest = std::max(latest, timeAfterEnd(work));
        }
        return latest;
    }

    /// Time from \a from until the owner begins work of \a kind on a batch that is open; the greatest one if it does not.
    duration timeUntilOpenWork(const model_owner& owner, begun_kind kind, instant from) const
    {
        for (const begun_work& work : owner.begun()) {
            if (work.kind == kind && work.time >= from && !m_endedAt.contains(work.batch))
                return work.time - from;
        }
        return duration::max();
    }

    /// Longest time between two pieces of work of \a kind since the journals began to be behind.
    duration longestPause(const model_owner& owner, begun_kind kind) const
    {
        duration longest {};
        instant last = m_begin;
        for (const begun_work& work : owner.begun()) {
            if (work.kind != kind || work.time < m_begin)
                continue;
            longest = std::max(longest, work.time - last);
            last = work.time;
        }
        return std::max(longest, m_fleet.time().now() - last);
    }

private:
    void acceptBatches()
    {
        for (std::size_t number = 0; number < ownerCount; ++number) {
            for (const batch_plan& plan : batchPlans)
                m_fleet.writer().batches().write(batch_accepted { submissionOf(plan, modelOf(number)) }, write_mode::RetryOnRefusal, {});
        }
    }

    void endBatches()
    {
        for (std::size_t number = 0; number < ownerCount; ++number) {
            for (const batch_plan& plan : batchPlans) {
                if (plan.isEnded)
                    endBatch(modelOf(number) + "-" + plan.name);
            }
        }
    }

    void endBatch(const std::string& batch)
    {
        m_fleet.writer().batches().write(batch_ended { batch }, write_mode::RetryOnRefusal, [this, batch](const append_report& report) {
            if (report.status == append_status::Done)
                m_endedAt[batch] = m_fleet.time().now();
        });
    }

    std::size_t countWork(const std::function<bool(const begun_work&)>& isCounted) const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<model_owner>& owner : m_owners)
            count += static_cast<std::size_t>(std::count_if(owner->begun().begin(), owner->begun().end(), isCounted));
        return count;
    }

    /// Time from the acknowledged end of the batch until \a work was begun; negative when the batch
    /// had not ended.
    duration timeAfterEnd(const begun_work& work) const
    {
        const std::map<std::string, instant>::const_iterator ended = m_endedAt.find(work.batch);
        return ended == m_endedAt.end() ? duration::min() : work.time - ended->second;
    }

    journal_fleet m_fleet;
    std::vector<std::unique_ptr<model_owner>> m_owners;
    instant m_begin {};
    /// Times of the acknowledgements, by batch.
    std::map<std::string, instant> m_endedAt;
};

void checkRestart(const owner_fleet& fleet, const behind_case& row)
{
    REQUIRE(fleet.haveCaughtUp());
    for (const std::unique_ptr<model_owner>& owner : fleet.owners()) {
        CHECK(owner->snapshots() == (row.history < row.lasts ? 2 : 1));
        CHECK(owner->greatestAge() >= leastAgeBehind);
        for (const begun_kind kind : { begun_kind::Run, begun_kind::Reward })
            CHECK(fleet.timeUntilOpenWork(*owner, kind, *owner->caughtUpAt()) <= restartLimit);
    }
}

void checkWorkGoesOn(const owner_fleet& fleet)
{
    for (const std::unique_ptr<model_owner>& owner : fleet.owners()) {
        CHECK(owner->greatestAge() < batch_ledger::maxAgeForWork);
        CHECK(fleet.longestPause(*owner, begun_kind::Run) <= longestPauseOfWork);
    }
}

}

// UNASKED: owners that were cut off from the log sent items and rewards of batches that had ended elsewhere meanwhile.
TEST_CASE("Owners whose journal was behind began work on batches that were ended elsewhere")
{
    for (const behind_case& row : behindCases) {
        for (const std::size_t size : { 10, 100 }) {
            DYNAMIC_SECTION(size << " daemons, " << row.name)
            {
                owner_fleet fleet(size, row.history);
                fleet.play(row);
                REQUIRE(fleet.acknowledgedEnds() == ownerCount * 4);
                CAPTURE(fleet.countBegun(begun_kind::Run), fleet.countBegun(begun_kind::MovedRun), fleet.countBegun(begun_kind::Reward));
                CAPTURE(fleet.latestAfterEnd().count());
                for (const begun_kind kind : { begun_kind::Run, begun_kind::MovedRun, begun_kind::Reward })
                    CHECK(fleet.countBegun(kind) > 0);
                CHECK(fleet.countLate(begun_kind::Run) == 0);
                CHECK(fleet.countLate(begun_kind::MovedRun) == 0);
                CHECK(fleet.countLate(begun_kind::Reward) == 0);
                if (row.isFarBehind)
                    checkRestart(fleet, row);
                else
                    checkWorkGoesOn(fleet);
            }
        }
    }
}
