#include "itemscheduler.h"

#include "itemorder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ragwortreach {

namespace {

    /// A run without an event for this time is moved. It has to exceed the pause of about a second that a load of
    /// weights causes.
    constexpr duration stallTimeout = std::chrono::milliseconds(2500);
    /// Time that the previous owner gets to hand over its texts.
    constexpr duration handoverDelay = std::chrono::milliseconds(300);
    /// Longest time that items wait for the texts of the previous owner.
    constexpr duration recoveryTimeout = std::chrono::milliseconds(1000);
    /// A text is saved each time it has grown by this number of events. Most items are shorter and never saved.
    constexpr std::uint64_t eventsPerSave = 12;
    /// A complete text that waits longer for its reward is saved. Most rewards arrive sooner.
    constexpr duration rewardSaveDelay = std::chrono::milliseconds(300);
    /// Interval of comparing replicas and forgetting closed batches, which iterate over all replicas and items.
    constexpr duration maintenanceInterval = std::chrono::milliseconds(100);
    /// Minimum time of a run on a replica, so that runs do not move back and forth.
    constexpr duration minRunTime = std::chrono::milliseconds(250);
    /// Delay of an item after a failure answer.
    constexpr duration failurePause = std::chrono::milliseconds(200);
    /// Least time between the second consecutive run of an item without an event and the next one; it doubles with each
    /// further one. The first such run is repeated at once, at another replica.
    constexpr duration fruitlessPause = std::chrono::milliseconds(25);
    constexpr std::uint32_t maxFruitlessDoublings = 5;
    /// Time that a text waits for a replica of its software version while others have room.
    constexpr duration continuationWait = std::chrono::milliseconds(500);
    /// Limit for the text of an item: what its tokens can need, and what a list of results can hold.
    constexpr std::size_t baseTextBytes = std::size_t { 256 } * 1024;
    constexpr std::size_t textBytesPerToken = 64;
    constexpr std::size_t maxTextBytes = std::size_t { 1024 } * 1024;

    std::size_t textLimit(const batch_item& item)
    {
        const std::uint64_t tokens = std::min<std::uint64_t>(item.tokens, maxTextBytes / textBytesPerToken);
        return std::min(maxTextBytes, baseTextBytes + tokens * textBytesPerToken);
    }

    /// Whether two items have the same reward call.
    bool hasSameReward(const ledger_batch& left, std::size_t leftItem, const ledger_batch& right, std::size_t rightItem)
    {
        const std::optional<reward_call>& leftCall = left.submission.items[leftItem].reward;
        const std::optional<reward_call>& rightCall = right.submission.items[rightItem].reward;
        if (!leftCall || !rightCall)
            return leftCall.has_value() == rightCall.has_value();
        const bool hasSameBody = left.items[leftItem].contents.rewardBody == right.items[rightItem].contents.rewardBody;
        return hasSameBody && std::tie(leftCall->id, leftCall->host, leftCall->path) == std::tie(rightCall->id, rightCall->host, rightCall->path);
    }

    /// Whether an item can go on with \a text, as far as the text itself tells.
    bool isUsable(const item_text& text)
    {
        return text.isComplete || !text.software.empty();
    }

}

std::string_view toString(run_end end)
{
    switch (end) {
    case run_end::Complete:
        return "whole";
    case run_end::Interrupted:
        return "broken";
    case run_end::NotRun:
        return "not_run";
    case run_end::Failed:
        return "failed";
    case run_end::Impossible:
        return "impossible";
    case run_end::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

std::string_view toString(abandon_reason reason)
{
    switch (reason) {
    case abandon_reason::NoRoute:
        return "no_route";
    case abandon_reason::RetentionOver:
        return "retention_over";
    case abandon_reason::Failed:
        return "failed";
    case abandon_reason::Impossible:
        return "impossible";
    case abandon_reason::RewardFailed:
        return "reward_failed";
    }
    return "unknown";
}

item_scheduler::item_scheduler(const batch_ledger& ledger, replica_pool& pool, const route_table& routes)
    : m_ledger(ledger)
    , m_pool(pool)
    , m_routes(routes)
    , m_rewards(ledger, pool, routes, m_contents)
{
}

void item_scheduler::setOwnedModels(const std::set<std::string, std::less<>>& models, instant now)
{
    std::erase_if(m_owned, [&models](const std::pair<const std::string, ownership>& owned) { return !models.contains(owned.first); });
    for (const std::string& model : models)
        m_owned.try_emplace(model, ownership { now, false });
}

void item_scheduler::setRecovered(std::string_view model)
{
    const auto owned = m_owned.find(model);
    if (owned != m_owned.end())
        owned->second.isRecovered = true;
}

bool item_scheduler::awaitsRecovery(std::string_view model, instant now) const
{
    const auto owned = m_owned.find(model);
    return owned != m_owned.end() && !owned->second.isRecovered && now - owned->second.since < recoveryTimeout;
}

/// Whether the versions that generated \a text are allowed for the item.
bool item_scheduler::hasAllowedVersions(const ledger_batch& batch, std::size_t item, const item_text& text) const
{
    const route* const itemRoute = routeOf(batch, item);
    // A route that is not known yet may want a single version.
    const bool isSingleVersion = !itemRoute || itemRoute->isSingleVersion;
    if (text.versions.empty() || (isSingleVersion && text.versions.size() > 1))
        return false;
    return *std::min_element(text.versions.begin(), text.versions.end()) >= batch.submission.minVersion;
}

bool item_scheduler::adoptText(const ledger_batch& batch, std::size_t item, const item_text& text, instant now)
{
    if (!batch.isLoaded || !batch.isOpen() || batch.items[item].position || !hasAllowedVersions(batch, item, text))
        return false;
    item_state& state = m_items[{ batch.submission.id, item }];
    if (state.run != 0 || state.isRecorded || text.lastEvent <= state.output.lastEvent || !isUsable(text))
        return false;
    state.output = text;
    state.progressEvent = text.lastEvent;
    state.isCompleteSaved = text.isComplete;
    if (text.isComplete)
        complete({ batch.submission.id, item }, state, now);
    return true;
}

std::vector<item_progressed> item_scheduler::takeProgress(instant now)
{
    std::vector<item_progressed> texts;
    for (const std::pair<const run_number, run_state>& item : m_runs) {
        item_state& state = m_items[item.second.key];
        if (state.output.lastEvent >= state.progressEvent + eventsPerSave)
            collectText(item.second.key, state, texts);
    }
    for (const item_key& key : m_rewards.waitingSince(now - rewardSaveDelay)) {
        item_state& state = m_items[key];
        if (!state.isCompleteSaved && !state.reference)
            collectText(key, state, texts);
    }
    return texts;
}

void item_scheduler::collectText(const item_key& key, item_state& state, std::vector<item_progressed>& texts) const
{
    const ledger_batch* const batch = m_ledger.find(key.batch);
    if (!batch)
        return;
    state.progressEvent = state.output.lastEvent;
    state.isCompleteSaved = state.output.isComplete;
    texts.push_back({ key.batch, batch->submission.items[key.item].id, state.output });
}

/// Adopts the text of the same item in an earlier batch; true when that completed the item.
bool item_scheduler::adoptEarlier(const ledger_batch& batch, std::size_t item, item_state& state)
{
    const std::optional<earlier_item>& earlier = batch.items[item].earlier;
    const ledger_batch* const before = earlier ? m_ledger.find(earlier->batch) : nullptr;
    if (!before)
        return false;
    const std::optional<std::size_t>& position = before->items[earlier->item].position;
    if (position) {
        const ledger_result& result = before->results[*position];
        if (!result.isCompleted || !hasAllowedVersions(batch, item, result.output))
            return false;
        ++m_counters.resultsReused;
        state.output = result.output;
        state.output.isComplete = true;
        state.reference = result.reference;
        // The text can be reused with another reward call; the reward cannot.
        if (!hasSameReward(*before, earlier->item, batch, item))
            return false;
        finish({ batch.submission.id, item }, state, result.reward);
        return true;
    }
    const auto known = m_items.find({ earlier->batch, earlier->item });
    const item_text& text = known != m_items.end() ? known->second.output : before->items[earlier->item].progress;
    if (text.lastEvent > state.output.lastEvent && isUsable(text) && hasAllowedVersions(batch, item, text)) {
        ++m_counters.textsReused;
        state.output = text;
    }
    return false;
}

const route* item_scheduler::routeOf(const ledger_batch& batch, std::size_t item) const
{
    return m_routes.find(batch.submission.host, batch.submission.items[item].path);
}

/// Whether the configuration in force is at least as new as the one under which \a batch was accepted. An older one may
/// lack its route, and abandoning is final.
bool item_scheduler::knowsConfigurationOf(const ledger_batch& batch) const
{
    const std::uint64_t accepted = batch.submission.configuration;
    if (accepted != 0)
        return m_routes.version() >= accepted;
    // The record does not name the configuration, which was written before this process learned of the batch.
    return m_routes.confirmedAt() >= batch.learnedAt;
}

void item_scheduler::schedule(instant now)
{
    if (now - m_maintainedAt >= maintenanceInterval) {
        m_maintainedAt = now;
        m_pool.compareIntervals(now);
        forgetItems(now);
    }
    m_contents.beginPass();
    checkRuns(now);
    moveRunsFromSlowReplicas(now);
    handOverRewards(now);
    // Batches that their trainers no longer wait for get only the slots that the others leave free.
    for (const bool isSatisfied : { false, true }) {
        for (const std::string& id : m_ledger.order()) {
            const ledger_batch* const batch = m_ledger.find(id);
            if (batch->isOpen() && batch->isSatisfied() == isSatisfied)
                scheduleBatch(*batch, now);
        }
    }
    m_rewards.schedule(now);
    takeRewardEffects();
    m_contents.endPass(now);
}

void item_scheduler::scheduleBatch(const ledger_batch& batch, instant now)
{
    const auto owned = m_owned.find(batch.submission.model);
    if (!batch.isLoaded || owned == m_owned.end() || now - owned->second.since < (owned->second.isRecovered ? handoverDelay : recoveryTimeout))
        return;
    if (!knowsConfigurationOf(batch) || !m_routes.allows(configuration_use::ChooseService, now))
        return;
    const bool mayBegin = m_ledger.mayBeginWork(batch, now);
    bool hasRoom = true;
    for (const std::size_t item : orderOf(batch)) {
        const item_text& progress = batch.items[item].progress;
        if (batch.items[item].position)
            continue;
        if (!hasRoom && !progress.isComplete) {
            nameContentsAhead(batch, item);
            continue;
        }
        const std::pair<std::map<item_key, item_state>::iterator, bool> known = m_items.try_emplace({ batch.submission.id, item });
        item_state& state = known.first->second;
        if (state.isRecorded || state.run != 0 || state.notBefore > now)
            continue;
        if (known.second && adoptEarlier(batch, item, state))
            continue;
        const route* const itemRoute = routeOf(batch, item);
        // The retention that counts is that of a configuration which was read after the item's time was over.
        if (!itemRoute || m_routes.confirmedAt() - batch.learnedAt > itemRoute->retention) {
            abandon({ batch.submission.id, item }, state, itemRoute ? abandon_reason::RetentionOver : abandon_reason::NoRoute);
            continue;
        }
        if (isUsable(progress) && (progress.lastEvent > state.output.lastEvent || (progress.isComplete && !state.output.isComplete)))
            state.output = progress;
        if (state.output.isComplete)
            complete({ batch.submission.id, item }, state, now);
        else
            hasRoom = mayBegin && hasRoom && startItem(batch, item, *itemRoute, now);
    }
}

const std::vector<std::size_t>& item_scheduler::orderOf(const ledger_batch& batch)
{
    std::vector<std::size_t>& order = m_orders[batch.submission.id];
    if (order.empty())
        order = itemOrder(batch);
    return order;
}

/// Service for the item. All items of a group use the same one, also when the route splits its requests.
const service_definition* item_scheduler::serviceOf(const ledger_batch& batch, std::size_t item, const route& route) const
{
    const route_target* const target = chooseTarget(route, std::hash<std::string> {}(batch.submission.items[item].group));
    return target ? m_routes.service(target->service) : nullptr;
}

replica_criteria item_scheduler::criteriaFor(const ledger_batch& batch, const service_definition& service)
{
    replica_criteria criteria;
    criteria.service = service.name;
    criteria.model = batch.submission.model;
    criteria.minVersion = batch.submission.minVersion;
    criteria.maxInFlight = service.engine ? service.engine->slots : 1;
    criteria.usesPermits = true;
    return criteria;
}

/// Chooses the replica for the next run of the item, and drops a text that cannot go on there.
item_scheduler::run_place item_scheduler::placeRun(item_state& state, replica_criteria criteria, instant now)
{
    const std::string software = state.output.software;
    const bool mayContinue = !software.empty() && m_pool.isInUse(criteria.service, software);
    if (state.output.lastEvent != 0 && !mayContinue)
        dropText(state);
    if (state.output.lastEvent == 0)
        return { m_pool.pickOrWantPermit(criteria, state.excluded, now) };
    criteria.software = software;
    const replica_pool::replica* const continuing = m_pool.pickOrWantPermit(criteria, state.excluded, now);
    if (continuing && !m_pool.isLastResort(*continuing, now))
        return { continuing };
    criteria.software = {};
    const replica_pool::replica* const other = m_pool.pick(criteria, now);
    if (!other || m_pool.isLastResort(*other, now))
        return { continuing };
    if (!state.blockedSince)
        state.blockedSince = now;
    if (now - *state.blockedSince < continuationWait)
        return { nullptr, true };
    dropText(state);
    return { other };
}

bool item_scheduler::hasContents(const ledger_batch& batch, std::size_t item)
{
    return !batch.hasStoredContents() || m_contents.need({ batch.submission.id, item }, batch.items[item].contents.bytes, contents_use::Run);
}

item_contents item_scheduler::contentsOf(const ledger_batch& batch, std::size_t item) const
{
    const item_contents* const stored = m_contents.find({ batch.submission.id, item });
    if (stored)
        return *stored;
    batch_item copy = batch.submission.items[item];
    return takeContents(copy);
}

/// Has the contents of an item read that waits for a free slot, as far as there is room for them.
void item_scheduler::nameContentsAhead(const ledger_batch& batch, std::size_t item)
{
    if (!batch.hasStoredContents() || !m_contents.wantsLookAhead())
        return;
    const auto known = m_items.find({ batch.submission.id, item });
    if (known == m_items.end() || (known->second.run == 0 && !known->second.isRecorded))
        hasContents(batch, item);
}

/// Starts the item; false when no replica with suitable weights has a free slot for it or for others.
bool item_scheduler::startItem(const ledger_batch& batch, std::size_t item, const route& route, instant now)
{
    const service_definition* const service = serviceOf(batch, item, route);
    if (!service)
        return false;
    if (!hasContents(batch, item))
        return true;
    const item_key key { batch.submission.id, item };
    item_state& state = m_items[key];
    std::string& groupReplica = m_groupReplicas[{ key.batch, batch.submission.items[item].group }];
    replica_criteria criteria = criteriaFor(batch, *service);
    criteria.preferred = groupReplica;
    const run_place place = placeRun(state, criteria, now);
    const replica_pool::replica* const replica = place.replica;
    if (!replica)
        return place.hasRoomForOthers;
    state.blockedSince.reset();
    groupReplica = replica->entry.id;
    state.run = ++m_lastRun;
    run_state run;
    run.key = key;
    run.replica = replica->entry.id;
    run.replicaStartedAt = replica->entry.startedAt;
    run.software = replica->entry.software;
    run.startedAt = now;
    run.lastEventAt = now;
    run.minVersion = batch.submission.minVersion;
    run.isSingleVersion = route.isSingleVersion;
    run.maxTextBytes = textLimit(batch.submission.items[item]);
    m_effects.emplace_back(start_run { state.run, key.batch, item, run.replica, replica->entry.address, state.output.lastEvent, state.output.software, contentsOf(batch, item) });
    m_runs.emplace(state.run, run);
    m_pool.started(run.replica, true);
    ++m_counters.runsStarted;
    if (state.output.lastEvent == 0)
        return true;
    ++m_counters.runsResumed;
    if (run.software.empty() || run.software != state.output.software)
        ++m_counters.runsResumedAtOtherVersion;
    return true;
}

void item_scheduler::checkRuns(instant now)
{
    std::vector<run_number> stalled;
    std::vector<run_number> unneeded;
    std::vector<run_number> disowned;
    std::vector<run_number> atOtherInstance;
    for (const std::pair<const run_number, run_state>& item : m_runs) {
        const run_state& run = item.second;
        const ledger_batch* const batch = m_ledger.find(run.key.batch);
        if (!batch || batch->isEnded || batch->items[run.key.item].position)
            unneeded.push_back(item.first);
        else if (!m_owned.contains(batch->submission.model))
            disowned.push_back(item.first);
        else if (isAtOtherInstance(run))
            atOtherInstance.push_back(item.first);
        else if (now - run.lastEventAt > stallTimeout)
            stalled.push_back(item.first);
    }
    for (const run_number run : unneeded)
        cancel(run, "not needed", now);
    for (const run_number run : disowned)
        handOver(run, now);
    for (const run_number run : atOtherInstance) {
        dropText(m_items[m_runs.find(run)->second.key]);
        cancel(run, "another instance of the replica", now);
    }
    for (const run_number run : stalled) {
        ++m_counters.runsStalled;
        m_effects.emplace_back(cancel_run { run, "stalled" });
        onEnd(run, run_end::Interrupted, now);
    }
}

/// Whether the replica has started anew since the run was sent to it, as far as was known then. An instance that starts
/// under the same id may have another software version, so it is not known which one writes the text.
bool item_scheduler::isAtOtherInstance(const run_state& run) const
{
    const replica_pool::replica* const replica = m_pool.find(run.replica);
    return replica && replica->entry.startedAt != run.replicaStartedAt;
}

void item_scheduler::moveRunsFromSlowReplicas(instant now)
{
    std::vector<run_number> slow;
    for (const std::pair<const run_number, run_state>& item : m_runs) {
        const replica_pool::replica* const replica = m_pool.find(item.second.replica);
        if (replica && now - item.second.startedAt >= minRunTime && m_pool.isSlow(*replica, now))
            slow.push_back(item.first);
    }
    for (const run_number run : slow) {
        if (!moveRun(run, now))
            return;
    }
}

/// Moves a run to a faster replica that can go on with its text, if work on its batch may begin; false when no replica has a
/// free slot.
bool item_scheduler::moveRun(run_number run, instant now)
{
    const run_state& state = m_runs.find(run)->second;
    const item_key key = state.key;
    const ledger_batch& batch = *m_ledger.find(key.batch);
    if (!m_ledger.mayBeginWork(batch, now) || !m_routes.allows(configuration_use::ChooseService, now))
        return true;
    const route* const itemRoute = routeOf(batch, key.item);
    const service_definition* const service = itemRoute ? serviceOf(batch, key.item, *itemRoute) : nullptr;
    if (!service)
        return true;
    replica_criteria criteria = criteriaFor(batch, *service);
    criteria.isFastOnly = true;
    if (!m_pool.pick(criteria, now))
        return false;
    item_state& item = m_items[key];
    if (item.output.lastEvent != 0) {
        criteria.software = item.output.software;
        if (!m_pool.pick(criteria, now))
            return true;
    }
    if (!hasContents(batch, key.item))
        return true;
    ++m_counters.runsMoved;
    item.excluded.push_back(state.replica);
    cancel(run, "a faster replica has room", now);
    return startItem(batch, key.item, *itemRoute, now);
}

void item_scheduler::onHead(run_number run, std::optional<std::uint64_t> weightVersion)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end())
        found->second.version = weightVersion;
}

void item_scheduler::onEvent(run_number run, const stream_event& event, instant now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    run_state& state = found->second;
    item_state& item = m_items[state.key];
    if (event.weightVersion)
        state.version = event.weightVersion;
    const bool isInOrder = event.id == item.output.lastEvent + 1;
    if (!isInOrder || !state.version) {
        m_effects.emplace_back(cancel_run { run, "event out of order or without a version" });
        onEnd(run, run_end::Interrupted, now);
        return;
    }
    if (!addVersion(item, state, *state.version)) {
        dropText(item);
        m_effects.emplace_back(cancel_run { run, "weights do not fit the batch" });
        // The replica has other weights than its list entry says.
        item.excluded.push_back(state.replica);
        endRun(run, replica_outcome::Cancelled, now);
        return;
    }
    if (item.output.text.size() + event.data.size() > state.maxTextBytes) {
        dropText(item);
        m_effects.emplace_back(cancel_run { run, "text without end" });
        onEnd(run, run_end::Interrupted, now);
        return;
    }
    if (state.hasEvents)
        m_pool.noteEvent(state.replica, now - state.lastEventAt, now);
    if (item.output.lastEvent != 0)
        item.output.text += '\n';
    else
        item.output.software = state.software;
    item.output.text += event.data;
    item.output.lastEvent = event.id;
    item.fruitlessRuns = 0;
    state.lastEventAt = now;
    state.hasEvents = true;
}

/// Notes a version of the text; false when it must not be part of the item's text.
bool item_scheduler::addVersion(item_state& state, run_state& run, std::uint64_t version)
{
    if (version < run.minVersion)
        return false;
    std::vector<std::uint64_t>& versions = state.output.versions;
    if (std::find(versions.begin(), versions.end(), version) != versions.end())
        return true;
    if (run.isSingleVersion && !versions.empty())
        return false;
    versions.push_back(version);
    return true;
}

void item_scheduler::dropText(item_state& state)
{
    state.output = {};
    ++m_counters.textsDropped;
}

void item_scheduler::onEnd(run_number run, run_end end, instant now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    const run_state ended = found->second;
    item_state& item = m_items[ended.key];
    const ledger_batch* const batch = m_ledger.find(ended.key.batch);
    const route* const itemRoute = batch ? routeOf(*batch, ended.key.item) : nullptr;
    switch (end) {
    case run_end::Complete:
        endRun(run, replica_outcome::Answered, now);
        if (item.output.lastEvent != 0) {
            item.output.isComplete = true;
            complete(ended.key, item, now);
        }
        return;
    case run_end::Interrupted:
        ++m_counters.runsInterrupted;
        endRun(run, ended.hasEvents ? replica_outcome::Cancelled : replica_outcome::Failed, now);
        item.excluded.push_back(ended.replica);
        if (!ended.hasEvents)
            pauseAfterFruitlessRun(item, ended.startedAt);
        return;
    case run_end::NotRun:
        ++m_counters.runsNotRun;
        endRun(run, replica_outcome::Full, now);
        return;
    case run_end::Unreachable:
        endRun(run, replica_outcome::Failed, now);
        item.excluded.push_back(ended.replica);
        pauseAfterFruitlessRun(item, ended.startedAt);
        return;
    case run_end::Failed:
        endRun(run, replica_outcome::Answered, now);
        item.notBefore = now + failurePause;
        if (++item.failures >= (itemRoute ? itemRoute->maxAttempts : 1))
            abandon(ended.key, item, abandon_reason::Failed);
        return;
    case run_end::Impossible:
        endRun(run, replica_outcome::Answered, now);
        abandon(ended.key, item, abandon_reason::Impossible);
        return;
    }
}

void item_scheduler::endRun(run_number run, replica_outcome outcome, instant now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    m_items[found->second.key].run = 0;
    m_pool.finished(found->second.replica, outcome, now - found->second.startedAt, now);
    m_runs.erase(found);
}

/// When this process is cut off from the replicas, runs end at once; without a pause they would be repeated without end.
void item_scheduler::pauseAfterFruitlessRun(item_state& item, instant startedAt)
{
    if (++item.fruitlessRuns > 1)
        item.notBefore = startedAt + fruitlessPause * (1U << std::min(item.fruitlessRuns - 2, maxFruitlessDoublings));
}

void item_scheduler::cancel(run_number run, std::string_view reason, instant now)
{
    m_effects.emplace_back(cancel_run { run, std::string(reason) });
    endRun(run, replica_outcome::Cancelled, now);
}

/// Requests the reward of an item whose text is complete, or finishes an item that needs none.
void item_scheduler::complete(const item_key& key, item_state& state, instant now)
{
    const ledger_batch* const batch = m_ledger.find(key.batch);
    if (!batch)
        return;
    if (batch->submission.items[key.item].reward)
        m_rewards.add(key, now);
    else
        finish(key, state);
}

void item_scheduler::finish(const item_key& key, item_state& state, std::string reward)
{
    const ledger_batch* const batch = m_ledger.find(key.batch);
    if (!batch || state.isRecorded)
        return;
    item_finished record { key.batch, batch->submission.items[key.item].id, true, std::move(state.output), std::move(state.reference), std::move(reward) };
    markRecorded(key, state);
    ++m_counters.itemsCompleted;
    m_effects.emplace_back(write_record { std::move(record) });
}

void item_scheduler::abandon(const item_key& key, item_state& state, abandon_reason reason)
{
    const ledger_batch* const batch = m_ledger.find(key.batch);
    if (!batch || state.isRecorded)
        return;
    markRecorded(key, state);
    ++m_counters.itemsAbandoned;
    m_effects.emplace_back(write_record { item_finished { key.batch, batch->submission.items[key.item].id, false, {} }, reason });
}

void item_scheduler::markRecorded(const item_key& key, item_state& state)
{
    m_contents.drop(key);
    state.isRecorded = true;
    state.output = {};
    state.reference.reset();
}

void item_scheduler::handOver(run_number run, instant now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    const item_key key = found->second.key;
    cancel(run, "handed over", now);
    handOverText(key);
}

void item_scheduler::handOverText(const item_key& key)
{
    const item_state& item = m_items[key];
    const ledger_batch* const batch = m_ledger.find(key.batch);
    if (!batch || item.output.lastEvent == 0 || item.reference)
        return;
    ++m_counters.handedOver;
    m_effects.emplace_back(hand_over_text { { key.batch, batch->submission.items[key.item].id, item.output } });
}

/// Hands over items that wait for rewards when another daemon owns their model by now.
void item_scheduler::handOverRewards(instant now)
{
    for (const item_key& key : m_rewards.all()) {
        const ledger_batch* const batch = m_ledger.find(key.batch);
        if (batch && m_owned.contains(batch->submission.model))
            continue;
        m_rewards.remove(key, "handed over", now);
        handOverText(key);
    }
}

void item_scheduler::onRewardEnd(reward_number call, const reward_answer& answer, instant now)
{
    const std::optional<reward_outcome> outcome = m_rewards.onEnd(call, answer, now);
    if (!outcome)
        return;
    item_state& item = m_items[outcome->key];
    if (outcome->signature)
        finish(outcome->key, item, *outcome->signature);
    else
        abandon(outcome->key, item, abandon_reason::RewardFailed);
}

void item_scheduler::takeRewardEffects()
{
    for (reward_effect& effect : m_rewards.takeEffects())
        std::visit([this](auto& taken) { m_effects.emplace_back(std::move(taken)); }, effect);
}

void item_scheduler::handOverAll()
{
    m_owned.clear();
    while (!m_runs.empty())
        handOver(m_runs.begin()->first, {});
    handOverRewards({});
    takeRewardEffects();
}

void item_scheduler::forgetItems(instant now)
{
    std::erase_if(m_items, [this, now](const std::pair<const item_key, item_state>& entry) {
        const ledger_batch* const batch = m_ledger.find(entry.first.batch);
        const bool isReusable = batch && entry.second.output.lastEvent != 0 && now - batch->learnedAt < reuseTime;
        return entry.second.run == 0 && !m_rewards.contains(entry.first) && (!batch || !batch->isOpen()) && !isReusable;
    });
    std::erase_if(m_orders, [this](const std::pair<const std::string, std::vector<std::size_t>>& entry) { return !isOpen(entry.first); });
    std::erase_if(m_groupReplicas,
        [this](const std::pair<const std::pair<std::string, std::string>, std::string>& entry) { return !isOpen(entry.first.first); });
}

bool item_scheduler::isOpen(std::string_view batch) const
{
    const ledger_batch* const known = m_ledger.find(batch);
    return known && known->isOpen();
}

std::vector<scheduler_effect> item_scheduler::takeEffects()
{
    return std::exchange(m_effects, {});
}

}
