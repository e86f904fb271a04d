#pragma once

#include "batchledger.h"
#include "contentscache.h"
#include "eventstreamreader.h"
#include "itemkey.h"
#include "replicapool.h"
#include "rewardscheduler.h"
#include "routetable.h"

#include <core/instant.h>

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace ragwortreach {

using run_number = std::uint64_t;

/// Effect: send an item to a replica.
struct start_run {
    run_number run = 0;
    std::string batch;
    std::size_t item = 0;
    std::string replica;
    std::string address;
    /// Event after which the replica resumes the item; 0 to run it from the start.
    std::uint64_t afterEvent = 0;
    /// Version of the software that wrote the text before; empty when it is unknown.
    std::string textSoftware {};
    item_contents contents {};
};

/// Effect: close the connection of a run.
struct cancel_run {
    run_number run = 0;
    std::string reason;
};

/// Why an item has no text as its result.
enum class abandon_reason {
    /// No route of the configuration in force matches the item.
    NoRoute,
    /// The retention time of the route is over.
    RetentionOver,
    /// Replicas answered the item with failures, as often as the route allows.
    Failed,
    /// A replica answered that the item can never be completed.
    Impossible,
    /// The reward call failed, as often as its route allows.
    RewardFailed,
};

/// Name of \a reason in log lines.
std::string_view toString(abandon_reason reason);

/// Effect: append a record to the journal.
struct write_record {
    journal_record record;
    /// Set when the record abandons an item.
    std::optional<abandon_reason> abandoned {};
};

/// Effect: save the text of an item that this daemon no longer runs, for the next owner of its model.
struct hand_over_text {
    item_progressed text;
};

using scheduler_effect = std::variant<start_run, cancel_run, start_reward, cancel_reward, write_record, hand_over_text>;

/// How a run ended.
enum class run_end {
    /// The stream arrived complete.
    Complete,
    /// The stream was interrupted or invalid; the item resumes after its last event.
    Interrupted,
    /// The replica was full or draining, or another one has its address; the item did not run.
    NotRun,
    /// The replica answered the item with a failure.
    Failed,
    /// The item can never be completed.
    Impossible,
    /// No connection; nothing was sent.
    Unreachable,
};

/// Name of \a end in log lines.
std::string_view toString(run_end end);

/// Totals since the start of the process.
struct scheduler_counters {
    std::uint64_t runsStarted = 0;
    /// Runs that continued a partial text.
    std::uint64_t runsResumed = 0;
    /// Of these, at a replica of another software version than wrote the text, or of an unknown one.
    std::uint64_t runsResumedAtOtherVersion = 0;
    /// Runs that were ended because no event arrived in time.
    std::uint64_t runsStalled = 0;
    /// Runs that were moved to a faster replica.
    std::uint64_t runsMoved = 0;
    std::uint64_t runsNotRun = 0;
    std::uint64_t runsInterrupted = 0;
    std::uint64_t itemsCompleted = 0;
    std::uint64_t itemsAbandoned = 0;
    /// Texts that were dropped because of weights that are not allowed, since they were too large, or since no replica of their
    /// software version took them.
    std::uint64_t textsDropped = 0;
    /// Texts that were handed over to another owner.
    std::uint64_t handedOver = 0;
    /// Texts and results taken over from an earlier batch of the trainer.
    std::uint64_t textsReused = 0;
    std::uint64_t resultsReused = 0;
};

/// Runs the items of the batches whose models this daemon owns.
///
/// Several trainers submit bursts of groups, and each needs most groups of its batch complete. Items start in the order
/// of itemOrder(), those of a group on one replica while it has free slots, so that their prompt is processed once.
/// Runs on a replica that is much slower than the others move to another one as soon as a slot is free: the longest
/// items take most of the time that a training step has, and processing a prompt again is cheap. Batches whose trainer
/// has all groups that it waits for come last: after an outage the end of a batch may arrive late, and its remaining
/// items would delay the next step. An item with a reward call has its result only once the reward has arrived.
///
/// The batches and the configuration are read apart, so a batch can be known before the route that was added for it. A
/// batch waits until the configuration is at least as new as the one under which it was accepted, and while another daemon
/// has read a newer one.
///
/// A text goes on only at replicas of the software version that wrote it, since what two versions write does not fit
/// together. When none of them is in use any more, or for a while only others have room, the item begins anew.
///
/// The contents of the items may take more memory than the VM has. An item whose contents are not in memory waits until they
/// have been read, and others start meanwhile.
class item_scheduler {
public:
    /// Texts of a closed batch are kept for this time, since trainers resubmit its groups soon after they ended it.
    static constexpr duration reuseTime = std::chrono::seconds(30);

    item_scheduler(const batch_ledger& ledger, replica_pool& pool, const route_table& routes);

    /// Sets the models whose batches this daemon runs. Items of a newly owned model wait for the previous owner to hand
    /// over its texts and then, up to a time-out, for setRecovered().
    void setOwnedModels(const std::set<std::string, std::less<>>& models, instant now);
    bool owns(std::string_view model) const { return m_owned.find(model) != m_owned.end(); }
    std::size_t ownedModelCount() const { return m_owned.size(); }
    /// Reports that the texts saved by earlier owners of \a model, if any, were adopted.
    void setRecovered(std::string_view model);
    /// Whether the items of \a model wait for setRecovered().
    bool awaitsRecovery(std::string_view model, instant now) const;
    /// Adopts a text that an earlier owner saved. False when its versions do not suit the batch, the item runs or has a
    /// result, or the text is not longer than the known one.
    bool adoptText(const ledger_batch& batch, std::size_t item, const item_text& text, instant now);
    /// Texts to save: those of running items that have grown enough since the last call, and complete ones whose reward
    /// is late.
    std::vector<item_progressed> takeProgress(instant now);

    /// Notes the head of a replica's answer with the version of its weights, if it names one.
    void onHead(run_number run, std::optional<std::uint64_t> weightVersion);
    /// Appends an event to the text of the item. An event that is out of order or of a version that is unknown or not
    /// allowed, or one that makes the text larger than the item's tokens can need, ends the run.
    void onEvent(run_number run, const stream_event& event, instant now);
    /// Notes the end of a run's connection.
    void onEnd(run_number run, run_end end, instant now);

    /// Notes the end of a reward call; a final outcome finishes the item.
    void onRewardEnd(reward_number call, const reward_answer& answer, instant now);
    /// Starts, moves, cancels and abandons items as their state at \a now requires.
    void schedule(instant now);
    /// Hands over the texts of all runs and of all items that wait for rewards, and ends them, for a graceful shutdown.
    void handOverAll();
    /// Returns the effects to carry out, in order, and clears them.
    std::vector<scheduler_effect> takeEffects();
    bool hasEffects() const { return !m_effects.empty(); }

    const scheduler_counters& counters() const { return m_counters; }
    const reward_scheduler& rewards() const { return m_rewards; }
    /// Contents of the items of batches that are stored apart from the journal; schedule() names those that it needs.
    contents_cache& contents() { return m_contents; }
    const contents_cache& contents() const { return m_contents; }
    std::size_t runs() const { return m_runs.size(); }
    /// Whether \a run has not ended.
    bool isRunning(run_number run) const { return m_runs.contains(run); }
    /// Configuration by which items are scheduled.
    const route_table& routes() const { return m_routes; }

private:
    struct item_state {
        /// The text is empty when \a reference is set; it is then stored in records of its own.
        item_text output;
        std::optional<text_reference> reference;
        std::uint32_t failures = 0;
        /// Consecutive runs that ended without an event because the replica was out of reach or the connection broke.
        std::uint32_t fruitlessRuns = 0;
        instant notBefore {};
        /// Since when only replicas of other software versions than wrote the text had room.
        std::optional<instant> blockedSince;
        std::vector<std::string> excluded;
        run_number run = 0;
        bool isRecorded = false;
        /// Last event of the text that was last saved.
        std::uint64_t progressEvent = 0;
        bool isCompleteSaved = false;
    };
    struct ownership {
        instant since {};
        bool isRecovered = false;
    };
    struct run_state {
        item_key key;
        std::string replica;
        /// Start of the replica, as far as it was known.
        std::int64_t replicaStartedAt = 0;
        /// Version of the replica's software.
        std::string software;
        instant startedAt {};
        instant lastEventAt {};
        std::optional<std::uint64_t> version;
        std::uint64_t minVersion = 0;
        bool isSingleVersion = false;
        std::size_t maxTextBytes = 0;
        bool hasEvents = false;
    };

    const std::vector<std::size_t>& orderOf(const ledger_batch& batch);
    void scheduleBatch(const ledger_batch& batch, instant now);
    bool startItem(const ledger_batch& batch, std::size_t item, const route& route, instant now);
    /// Whether the contents of the item are in memory; otherwise they will be read.
    bool hasContents(const ledger_batch& batch, std::size_t item);
    item_contents contentsOf(const ledger_batch& batch, std::size_t item) const;
    void nameContentsAhead(const ledger_batch& batch, std::size_t item);
    void checkRuns(instant now);
    void moveRunsFromSlowReplicas(instant now);
    bool moveRun(run_number run, instant now);
    /// Replica for a run; when there is none, whether other items may find one.
    struct run_place {
        const replica_pool::replica* replica = nullptr;
        bool hasRoomForOthers = false;
    };
    run_place placeRun(item_state& state, replica_criteria criteria, instant now);
    bool isAtOtherInstance(const run_state& run) const;
    static replica_criteria criteriaFor(const ledger_batch& batch, const service_definition& service);
    const service_definition* serviceOf(const ledger_batch& batch, std::size_t item, const route& route) const;
    void endRun(run_number run, replica_outcome outcome, instant now);
    static void pauseAfterFruitlessRun(item_state& item, instant startedAt);
    void cancel(run_number run, std::string_view reason, instant now);
    bool addVersion(item_state& state, run_state& run, std::uint64_t version);
    void dropText(item_state& state);
    void complete(const item_key& key, item_state& state, instant now);
    /// Records the text of \a state as the result of the item.
    void finish(const item_key& key, item_state& state, std::string reward = {});
    void abandon(const item_key& key, item_state& state, abandon_reason reason);
    void markRecorded(const item_key& key, item_state& state);
    void handOver(run_number run, instant now);
    void handOverText(const item_key& key);
    void handOverRewards(instant now);
    void takeRewardEffects();
    const route* routeOf(const ledger_batch& batch, std::size_t item) const;
    bool knowsConfigurationOf(const ledger_batch& batch) const;
    void forgetItems(instant now);
    bool isOpen(std::string_view batch) const;
    void collectText(const item_key& key, item_state& state, std::vector<item_progressed>& texts) const;
    bool adoptEarlier(const ledger_batch& batch, std::size_t item, item_state& state);
    bool hasAllowedVersions(const ledger_batch& batch, std::size_t item, const item_text& text) const;

    const batch_ledger& m_ledger;
    replica_pool& m_pool;
    const route_table& m_routes;
    contents_cache m_contents;
    reward_scheduler m_rewards;
    std::map<std::string, ownership, std::less<>> m_owned;
    std::map<item_key, item_state> m_items;
    std::map<run_number, run_state> m_runs;
    /// Start order of the items of each open batch.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_orders;
    std::map<std::pair<std::string, std::string>, std::string> m_groupReplicas;
    std::vector<scheduler_effect> m_effects;
    run_number m_lastRun = 0;
    instant m_maintainedAt {};
    scheduler_counters m_counters;
};

}
