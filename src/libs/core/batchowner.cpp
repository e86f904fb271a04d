#include "batchowner.h"

#include "daemoncontext.h"
#include "overloaded.h"

#include <xxhash.h>

#include <algorithm>

namespace ragwortreach::Internal {

namespace {

    constexpr duration capacityPeriod = std::chrono::milliseconds(100);
    constexpr duration versionPeriod = std::chrono::seconds(1);
    /// Time for which the tracker of a finished batch is kept, to answer repeated fetches.
    constexpr duration finishedRetention = std::chrono::minutes(1);
    constexpr std::uint32_t streamsPerReplica = 16;

}

struct batch_owner::owned_batch {
    batch_tracker tracker;
    catalogue_entry entry;
    std::optional<weight_version> trainerVersion;
    std::optional<instant> finishedAt;
};

struct batch_owner::pending_restore {
    batch_restore reader;
    std::optional<instant> openedAfter;
    std::vector<std::pair<request_origin, fetch_request>> fetches;
};

batch_owner::batch_owner(daemon_context& context)
    : m_context(context)
    , m_runner(context)
{
}

batch_owner::~batch_owner() = default;

void batch_owner::tick()
{
    for (auto it = m_restores.begin(); it != m_restores.end(); ++it)
        it->second->reader.tick(m_context);
    endRestores();
    readVersions();
    updateSettings();
    offerCapacity();
    const std::vector<std::string> owned = batches();
    for (const std::string& batch : owned)
        run(batch, ragwortreach::tick {});
    runFailures();
    removeFinished();
}

void batch_owner::handle(const engine_chunk_received& event)
{
    run(m_runner.handle(event));
}

void batch_owner::handle(const engine_stream_ended& event)
{
    run(m_runner.handle(event));
}

void batch_owner::handle(const score_ended& event)
{
    run(m_runner.handle(event));
}

void batch_owner::handle(const versions_read& event)
{
    if (!event.versions || event.versions->empty())
        return;
    weight_version& latest = m_published[event.model];
    const weight_version read = *std::max_element(event.versions->begin(), event.versions->end());
    if (read <= latest)
        return;
    latest = read;
    const std::vector<std::string> owned = batches();
    for (const std::string& batch : owned) {
        if (m_owned.at(batch)->entry.upstream == event.model)
            run(batch, version_published { latest });
    }
}

bool batch_owner::handle(const log_read_ended& event)
{
    const bool isHandled = std::any_of(m_restores.begin(), m_restores.end(),
        [this, &event](const std::pair<const std::string, std::unique_ptr<pending_restore>>& item) {
            return item.second->reader.handle(m_context, event);
        });
    if (isHandled)
        endRestores();
    return isHandled;
}

bool batch_owner::handle(const append_ended& event)
{
    const auto it = m_appends.find(event.append);
    if (it == m_appends.end())
        return false;
    const batch_append ended = it->second;
    m_appends.erase(it);
    if (event.code == result_code::Ok) {
        m_context.count(daemon_counter::RecordsAppended, ended.records);
        run(ended.batch, append_acknowledged { ended.trackerAppend });
        return true;
    }
    m_context.count(event.code == result_code::LogUnavailable ? daemon_counter::AppendsFailed : daemon_counter::AppendsUnknown);
    run(ended.batch, append_failed { ended.trackerAppend, event.code });
    return true;
}

const batch_tracker* batch_owner::tracker(std::string_view batch) const
{
    const auto it = m_owned.find(batch);
    return it == m_owned.end() ? nullptr : &it->second->tracker;
}

std::vector<std::string> batch_owner::batches() const
{
    std::vector<std::string> names;
    for (auto it = m_owned.begin(); it != m_owned.end(); ++it)
        names.push_back(it->first);
    return names;
}

std::vector<std::string> batch_owner::models() const
{
    std::vector<std::string> names;
    for (auto it = m_owned.begin(); it != m_owned.end(); ++it)
        names.push_back(it->second->entry.upstream);
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

void batch_owner::start(const batch_spec& spec, std::optional<instant> openedAfter)
{
    if (add(spec, openedAfter))
        offerCapacity(m_owned.at(spec.id)->entry.upstream);
}

batch_owner::owned_batch* batch_owner::add(const batch_spec& spec, std::optional<instant> openedAfter)
{
    const catalogue_entry* const entry = m_context.catalogue.table().entry(spec.entry);
    if (!entry)
        return nullptr;
    batch_settings settings;
    settings.bound = entry->staleness;
    settings.lookAhead = entry->lookAhead;
    settings.scored = !entry->scorer.empty();
    settings.seed = XXH3_64bits_withSeed(spec.id.data(), spec.id.size(), m_context.identity().seed);
    settings.openedAfter = openedAfter;
    std::unique_ptr<owned_batch> added(new owned_batch { batch_tracker(spec, settings), *entry, {}, {} });
    return m_owned.insert_or_assign(spec.id, std::move(added)).first->second.get();
}

void batch_owner::restore(const std::string& batch, std::optional<batch_spec> spec, std::optional<instant> openedAfter)
{
    const auto it = m_restores.find(batch);
    if (it != m_restores.end()) {
        if (spec)
            it->second->reader.setSpec(std::move(*spec));
        return;
    }
    std::unique_ptr<pending_restore> added(new pending_restore { batch_restore(batch, std::move(spec)), openedAfter, {} });
    added->reader.tick(m_context);
    m_restores.emplace(batch, std::move(added));
}

void batch_owner::endRestores()
{
    std::vector<std::string> done;
    for (auto it = m_restores.begin(); it != m_restores.end(); ++it) {
        if (it->second->reader.isDone())
            done.push_back(it->first);
    }
    for (const std::string& batch : done) {
        const std::unique_ptr<pending_restore> ended = std::move(m_restores.find(batch)->second);
        m_restores.erase(batch);
        endRestore(batch, *ended);
    }
}

void batch_owner::endRestore(const std::string& batch, pending_restore& done)
{
    const bool isStarted = done.reader.spec() && add(*done.reader.spec(), done.openedAfter);
    if (!isStarted) {
        for (const std::pair<request_origin, fetch_request>& waiting : done.fetches)
            refuse(m_context, waiting.first, result_code::UnknownBatch, "The content of the batch " + batch + " is not in the log; open it again under the same id.");
        return;
    }
    m_context.count(daemon_counter::BatchesRestored);
    m_context.addTimelineEvent(event_kind::BatchOwnerChanged, batch,
        "This daemon continues the batch from " + std::to_string(done.reader.records().size()) + " records.");
    for (const restored_record& record : done.reader.records())
        run(batch, record);
    for (const std::pair<request_origin, fetch_request>& waiting : done.fetches)
        fetch(waiting.first, batch, waiting.second);
    offerCapacity(m_owned.at(batch)->entry.upstream);
}

void batch_owner::fetch(const request_origin& from, const std::string& batch, const fetch_request& request)
{
    const auto restoring = m_restores.find(batch);
    if (restoring != m_restores.end()) {
        restoring->second->fetches.emplace_back(from, request);
        return;
    }
    const auto it = m_owned.find(batch);
    if (it == m_owned.end()) {
        refuse(m_context, from, result_code::UnknownBatch, "No batch " + batch + " is open; open it again under the same id.");
        return;
    }
    it->second->trainerVersion = std::max(it->second->trainerVersion.value_or(weight_version {}), request.version);
    const request_number number = m_context.nextNumber();
    m_fetches[number] = { from, batch };
    run(batch, fetch_received { number, request.fetch, request.version, request.held, request.max, m_context.now + request.wait });
}

void batch_owner::cancel(const std::string& batch)
{
    run(batch, batch_cancelled {});
}

void batch_owner::release(const std::string& batch, const std::string& reason)
{
    if (m_owned.erase(batch) == 0)
        return;
    m_context.count(daemon_counter::BatchesHandedOver);
    m_context.addTimelineEvent(event_kind::BatchOwnerChanged, batch, reason);
    m_runner.closeStreams(batch);
    for (auto it = m_fetches.begin(); it != m_fetches.end();) {
        if (it->second.batch != batch) {
            ++it;
            continue;
        }
        refuse(m_context, it->second.from, result_code::PeerUnreachable, "Another daemon continues the batch; fetch again.");
        it = m_fetches.erase(it);
    }
}

void batch_owner::abandonFetch(request_number caller)
{
    const auto it = std::find_if(m_fetches.begin(), m_fetches.end(), [caller](const std::pair<const request_number, waiting_fetch>& item) {
        return !item.second.from.isPeer && item.second.from.number == caller;
    });
    if (it == m_fetches.end())
        return;
    const std::pair<request_number, waiting_fetch> abandoned = *it;
    m_fetches.erase(it);
    run(abandoned.second.batch, fetch_abandoned { abandoned.first });
}

std::vector<std::string> batch_owner::takeFinished()
{
    return std::exchange(m_finished, {});
}

void batch_owner::updateSettings()
{
    const std::vector<std::string> owned = batches();
    for (const std::string& batch : owned) {
        owned_batch& state = *m_owned.at(batch);
        const catalogue_entry* const entry = m_context.catalogue.table().entry(state.tracker.spec().entry);
        if (!entry || *entry == state.entry)
            continue;
        state.entry = *entry;
        run(batch, bound_changed { entry->staleness });
    }
}

void batch_owner::readVersions()
{
    if (m_context.now < m_nextVersionRead)
        return;
    m_nextVersionRead = m_context.now + versionPeriod;
    const std::vector<std::string> served = models();
    for (const std::string& model : served)
        m_context.emit(read_versions { model });
}

void batch_owner::offerCapacity()
{
    if (m_context.now < m_nextCapacity)
        return;
    m_nextCapacity = m_context.now + capacityPeriod;
    const std::vector<std::string> served = models();
    for (const std::string& model : served)
        offerCapacity(model);
}

void batch_owner::offerCapacity(const std::string& upstream)
{
    replica_router* const router = m_context.upstreams.router(upstream);
    std::uint32_t total = 0;
    if (router) {
        const std::vector<replica_status> replicas = router->replicas();
        total = streamsPerReplica * static_cast<std::uint32_t>(std::count_if(replicas.begin(), replicas.end(), [](const replica_status& replica) { return replica.state == replica_state::Live; }));
    }
    std::vector<std::string> wanting;
    for (auto it = m_owned.begin(); it != m_owned.end(); ++it) {
        if (it->second->entry.upstream == upstream && it->second->tracker.wantedStreams() > 0)
            wanting.push_back(it->first);
    }
    const std::uint32_t share = wanting.empty() ? 0 : std::max<std::uint32_t>(total / static_cast<std::uint32_t>(wanting.size()), total > 0 ? 1 : 0);
    for (const std::string& batch : wanting)
        run(batch, capacity_offered { share });
}

void batch_owner::removeFinished()
{
    for (auto it = m_owned.begin(); it != m_owned.end();) {
        const std::optional<instant> finishedAt = it->second->finishedAt;
        const bool isOver = finishedAt && m_context.now - *finishedAt > finishedRetention;
        it = isOver ? m_owned.erase(it) : std::next(it);
    }
}

void batch_owner::run(const std::optional<tracker_event>& event)
{
    if (event)
        run(event->batch, event->event);
    runFailures();
}

void batch_owner::runFailures()
{
    const std::vector<tracker_event> failures = m_runner.takeFailures();
    for (const tracker_event& failure : failures)
        run(failure.batch, failure.event);
}

void batch_owner::run(const std::string& batch, const batch_event& event)
{
    const auto it = m_owned.find(batch);
    if (it == m_owned.end())
        return;
    owned_batch& owned = *it->second;
    const std::vector<batch_effect> effects = owned.tracker.handle(event, m_context.now);
    for (const batch_effect& effect : effects)
        carryOut(batch, owned, effect);
}

void batch_owner::carryOut(const std::string& batch, owned_batch& owned, const batch_effect& effect)
{
    std::visit(overloaded {
                   [&](const start_stream& start) { m_runner.start(batch, owned.entry, start, owned.trainerVersion); },
                   [&](const cancel_stream& cancelled) { m_runner.cancel(batch, cancelled); },
                   [&](const request_score& score) { m_runner.score(batch, owned.entry, score); },
                   [&](const append_records& records) { append(batch, records); },
                   [&](const deliver_samples& delivery) { answer(batch, delivery); },
                   [&](const refuse_fetch& refused) { answer(refused); },
                   [&](const batch_finished&) {
                       owned.finishedAt = m_context.now;
                       m_finished.push_back(batch);
                   },
               },
        effect);
}

void batch_owner::append(const std::string& batch, const append_records& effect)
{
    const std::uint64_t number = m_context.nextNumber();
    m_appends[number] = { batch, effect.append, effect.records.size() };
    append_stream appended { number, batchStream(batch), {} };
    for (const batch_record& record : effect.records)
        appended.records.push_back({ record.id, record.data });
    m_context.emit(std::move(appended));
}

void batch_owner::answer(const std::string& batch, const deliver_samples& effect)
{
    const std::optional<request_origin> from = takeFetch(effect.request);
    if (!from)
        return;
    m_context.count(daemon_counter::SamplesDelivered, effect.samples.size());
    if (!effect.samples.empty())
        m_context.addTimelineEvent(event_kind::SamplesDelivered, batch,
            std::to_string(effect.samples.size()) + " samples answer fetch " + std::to_string(effect.fetch) + "; " + std::to_string(effect.remaining) + " were still missing at the trainer.");
    reply(m_context, *from, fetch_batch_reply { toJson(batch, effect) });
}

void batch_owner::answer(const refuse_fetch& effect)
{
    const std::optional<request_origin> from = takeFetch(effect.request);
    if (from)
        refuse(m_context, *from, static_cast<result_code>(effect.error.value()), {});
}

std::optional<request_origin> batch_owner::takeFetch(request_number number)
{
    const auto it = m_fetches.find(number);
    if (it == m_fetches.end())
        return std::nullopt;
    const request_origin from = it->second.from;
    m_fetches.erase(it);
    return from;
}

}
