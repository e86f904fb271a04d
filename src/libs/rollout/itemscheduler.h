#pragma once

#include "batchledger.h"
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

/// Send an item to a replica.
struct start_run {
    run_number run = 0;
    std::string batch;
    std::size_t item = 0;
    std::string replica;
    std::string address;
    /// Event after which the replica goes on; 0 for the whole item.
    std::uint64_t afterEvent = 0;
};

/// Close the connection of a run.
struct cancel_run {
    run_number run = 0;
    std::string reason;
};

/// Append the record to the journal.
struct write_record {
    journal_record record;
};

using scheduler_effect = std::variant<start_run, cancel_run, start_reward, cancel_reward, write_record>;

/// How a run ended.
enum class run_end {
    /// The stream arrived whole.
    Complete,
    /// The stream broke; the item goes on after its last event.
    Interrupted,
    /// The replica was full, is leaving, or another one has its address; it did not run the item.
    NotRun,
    /// The replica failed on the item.
    Failed,
    /// The item can never be completed.
    Impossible,
    /// No connection; nothing was sent.
    Unreachable,
};

/// Name of \a end in log lines.
std::string_view toString(run_end end);

/// Sums since the start of the process.
struct scheduler_counters {
    std::uint64_t runsStarted = 0;
    std::uint64_t runsResumed = 0;
    std::uint64_t runsStalled = 0;
    /// Runs that went on at a faster replica.
    std::uint64_t runsMoved = 0;
    std::uint64_t runsNotRun = 0;
    std::uint64_t runsInterrupted = 0;
    std::uint64_t itemsCompleted = 0;
    std::uint64_t itemsAbandoned = 0;
    std::uint64_t textsDropped = 0;
    std::uint64_t handedOver = 0;
    /// Texts and results that went on from an earlier batch of the trainer.
    std::uint64_t textsReused = 0;
    std::uint64_t resultsReused = 0;
};

/// Runs the items of the batches whose models this daemon owns.
///
/// Load pattern: bursts of groups from several trainers, each of which needs most groups whole. Items go in the
/// order of itemOrder(), those of a group to one replica while it has room, so that their prompt is read once.
/// Runs on a replica that is much slower than the others go on elsewhere as soon as there is room: the longest items
/// take most of the time that a step has, and reading a prompt again is cheap.
/// Batches whose trainer has what it waits for come last: after an outage the end of a batch may arrive late, and its
/// rest would hold up the next step.
/// An item with a reward call has its result once the reward is there as well.
class item_scheduler {
public:
    /// Trainers ask again for the groups of a batch soon after they ended it.
    static constexpr duration reuseTime = std::chrono::seconds(30);

    item_scheduler(const batch_ledger& ledger, replica_pool& pool, const route_table& routes);

    /// Models whose batches this daemon runs. Items of a model that is new wait for the handover of the owner before
    /// and, for a while, until setRecovered().
    void setOwnedModels(const std::set<std::string, std::less<>>& models, instant now);
    bool owns(std::string_view model) const { return m_owned.find(model) != m_owned.end(); }
    /// The texts that earlier owners of \a model left were adopted, as far as there are any.
    void setRecovered(std::string_view model);
    /// Takes a text that an earlier owner left; false when it does not fit or is not longer than what is known.
    bool adoptText(const ledger_batch& batch, std::size_t item, const item_text& text, instant now);
    /// Texts of long items that have grown since they were last taken, and whole ones whose reward is late.
    std::vector<item_progressed> takeProgress(instant now);

    void onHead(run_number run, std::optional<std::uint64_t> weightVersion);
    void onEvent(run_number run, const stream_event& event, instant now);
    void onEnd(run_number run, run_end end, instant now);

    void onRewardEnd(reward_number call, const reward_answer& answer, instant now);
    /// Starts, cancels and gives up what is due.
    void schedule(instant now);
    /// Journals the text so far of all runs and ends them, for a graceful shutdown.
    void handOverAll();
    std::vector<scheduler_effect> takeEffects();
    bool hasEffects() const { return !m_effects.empty(); }

    const scheduler_counters& counters() const { return m_counters; }
    const reward_scheduler& rewards() const { return m_rewards; }
    std::size_t runs() const { return m_runs.size(); }

private:
    struct item_state {
        /// Without its text when \a reference says where that stands.
        item_text output;
        std::optional<text_reference> reference;
        std::uint32_t failures = 0;
        instant notBefore {};
        std::vector<std::string> excluded;
        run_number run = 0;
        bool isRecorded = false;
        /// Last event of the text that was taken last.
        std::uint64_t progressEvent = 0;
        bool isWholeTaken = false;
    };
    struct ownership {
        instant since {};
        bool isRecovered = false;
    };
    struct run_state {
        item_key key;
        std::string replica;
        instant startedAt {};
        instant lastEventAt {};
        std::optional<std::uint64_t> version;
        std::uint64_t minVersion = 0;
        bool isSingleVersion = false;
        bool hasEvents = false;
    };

    const std::vector<std::size_t>& orderOf(const ledger_batch& batch);
    void scheduleBatch(const ledger_batch& batch, instant now);
    bool startItem(const ledger_batch& batch, std::size_t item, const route& route, instant now);
    void checkRuns(instant now);
    void leaveSlowReplicas(instant now);
    bool moveRun(run_number run, instant now);
    static replica_criteria criteriaFor(const ledger_batch& batch, const service_definition& service);
    const service_definition* serviceOf(const ledger_batch& batch, std::size_t item, const route& route) const;
    void endRun(run_number run, replica_outcome outcome, instant now);
    void cancel(run_number run, std::string_view reason, instant now);
    bool addVersion(item_state& state, run_state& run, std::uint64_t version);
    void dropText(item_state& state);
    void complete(const item_key& key, item_state& state, instant now);
    void finish(const item_key& key, item_state& state, bool isCompleted, std::string reward = {});
    void writeResult(item_finished record, item_state& state);
    void handOver(run_number run, instant now);
    void handOverText(const item_key& key);
    void leaveRewards(instant now);
    void takeRewardEffects();
    const route* routeOf(const ledger_batch& batch, std::size_t item) const;
    void forgetItems(instant now);
    bool isOpen(std::string_view batch) const;
    void takeText(const item_key& key, item_state& state, std::vector<item_progressed>& texts) const;
    bool adoptEarlier(const ledger_batch& batch, std::size_t item, item_state& state);
    bool fits(const ledger_batch& batch, std::size_t item, const item_text& text) const;

    const batch_ledger& m_ledger;
    replica_pool& m_pool;
    const route_table& m_routes;
    reward_scheduler m_rewards;
    std::map<std::string, ownership, std::less<>> m_owned;
    std::map<item_key, item_state> m_items;
    std::map<run_number, run_state> m_runs;
    /// Order of the items of each open batch.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_orders;
    std::map<std::pair<std::string, std::string>, std::string> m_groupReplicas;
    std::vector<scheduler_effect> m_effects;
    run_number m_lastRun = 0;
    instant m_upkeepAt {};
    scheduler_counters m_counters;
};

}
