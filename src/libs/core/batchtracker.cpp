#include "batchtracker.h"

#include "batchrecord.h"
#include "sampledraft.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace ragwortreach {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr duration firstBackOff = milliseconds(100);
    constexpr duration maxBackOff = seconds(5);
    constexpr duration scoreTimeout = seconds(10);
    constexpr duration appendPeriod = milliseconds(200);
    constexpr duration appendTimeout = seconds(30);
    constexpr duration streamStallTime = seconds(30);
    constexpr duration trainerIdleTime = seconds(10);
    /// look_ahead::Fresh starts one in this many slots while the trainer is not waiting.
    constexpr std::uint32_t freshShare = 4;
    /// Hedges start when at most one in this many slots has an open stream.
    constexpr std::uint32_t stragglerShare = 10;
    /// A stream is a straggler when it takes this many times the median.
    constexpr std::uint32_t stragglerFactor = 2;
    constexpr std::size_t minStreamTimes = 4;
    constexpr std::size_t maxStreamTimes = 64;

    duration backOffTime(std::uint32_t failures)
    {
        const std::uint32_t doublings = std::min<std::uint32_t>(failures, 16);
        return std::min<duration>(maxBackOff, firstBackOff * (1U << doublings));
    }

    std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }

    enum class slot_phase {
        Open,
        Scoring,
        Ready,
    };

    enum class record_phase {
        None,
        Queued,
        InFlight,
        Recorded,
    };

}

struct batch_tracker::stream_state {
    std::uint32_t attempt = 0;
    sample_draft draft;
    instant startedAt {};
    instant lastChunk {};
};

struct batch_tracker::slot_state {
    slot_phase phase = slot_phase::Open;
    record_phase record = record_phase::None;
    bool held = false;
    /// Whether the slot is in the queue of records.
    bool queued = false;
    std::uint32_t nextAttempt = 0;
    std::uint32_t failures = 0;
    std::uint32_t scoreFailures = 0;
    instant earliestStart {};
    instant scoreDeadline {};
    /// Tokens of a suspended stream, from which the next one resumes.
    sample_draft draft;
    std::vector<stream_state> streams;
    batch_sample sample;
    /// Time after which all tokens of the sample were generated; empty when its age is not known.
    std::optional<instant> generatedAfter;
};

struct batch_tracker::waiting_fetch {
    std::uint64_t request = 0;
    std::uint64_t fetch = 0;
    std::vector<bool> held;
    std::uint32_t remaining = 0;
    std::uint32_t max = 0;
    instant deadline;
};

batch_tracker::batch_tracker(batch_spec spec, const batch_settings& settings)
    : m_spec(std::move(spec))
    , m_settings(settings)
    , m_slots(slotCount(m_spec))
{
    m_counters.slots = static_cast<std::uint32_t>(m_slots.size());
}

batch_tracker::~batch_tracker() = default;
batch_tracker::batch_tracker(batch_tracker&&) noexcept = default;
batch_tracker& batch_tracker::operator=(batch_tracker&&) noexcept = default;

std::vector<batch_effect> batch_tracker::handle(const batch_event& event, instant now)
{
    m_now = std::max(m_now, now);
    if (!m_firstEvent)
        m_firstEvent = m_now;
    std::visit([this](const auto& typed) { on(typed); }, event);
    return std::exchange(m_effects, {});
}

batch_progress batch_tracker::progress() const
{
    batch_progress progress = m_counters;
    for (const slot_state& slot : m_slots) {
        progress.held += slot.held ? 1 : 0;
        progress.ready += !slot.held && slot.phase == slot_phase::Ready ? 1 : 0;
        progress.scoring += slot.phase == slot_phase::Scoring ? 1 : 0;
    }
    return progress;
}

std::uint32_t batch_tracker::wantedStreams() const
{
    if (m_cancelled)
        return 0;
    std::uint32_t open = 0;
    std::uint32_t done = 0;
    for (const slot_state& slot : m_slots) {
        const bool isOpen = !slot.held && slot.phase == slot_phase::Open;
        open += isOpen ? 1 : 0;
        done += !slot.held && !isOpen ? 1 : 0;
    }
    const std::uint32_t limit = startLimit();
    return std::min(open, limit > done ? limit - done : 0);
}

void batch_tracker::advance()
{
    answerFetches();
    if (!m_cancelled)
        startStreams();
    appendRecords();
}

void batch_tracker::on(const restored_record& event)
{
    if (parseSpecRecord(event)) {
        m_specRecorded = true;
        return;
    }
    std::optional<recorded_sample> recorded = parseSampleRecord(event);
    if (!recorded || recorded->sample.slot >= m_slots.size() || (m_settings.scored && !recorded->sample.reward)) {
        ++m_counters.ignoredRecords;
        return;
    }
    const std::uint32_t index = recorded->sample.slot;
    slot_state& slot = m_slots[index];
    const bool isKnown = slot.phase == slot_phase::Ready && recorded->sample.attempt <= slot.sample.attempt;
    slot.nextAttempt = std::max(slot.nextAttempt, recorded->sample.attempt + 1);
    if (isKnown) {
        ++m_counters.ignoredRecords;
        return;
    }
    cancelStreams(index);
    slot.sample = std::move(recorded->sample);
    slot.phase = slot_phase::Ready;
    slot.record = record_phase::Recorded;
    slot.generatedAfter.reset();
    if (m_settings.openedAfter)
        slot.generatedAfter = *m_settings.openedAfter + recorded->startedAfterOpening;
}

void batch_tracker::on(const capacity_offered& event)
{
    m_capacity = event.streams;
    suspendExcess();
    advance();
}

void batch_tracker::on(const tick& /*event*/)
{
    if (m_appending && m_now >= m_appendDeadline)
        requeueRecords();
    if (!m_cancelled) {
        suspendStalled();
        discardStale();
        retryOverdueScores();
    }
    advance();
    if (!m_cancelled)
        startHedges();
}

void batch_tracker::on(const chunk_received& event)
{
    stream_state* stream = findStream(event.slot, event.attempt);
    if (!stream)
        return;
    stream->lastChunk = m_now;
    const std::error_code error = stream->draft.append(event.position, event.tokenIds, event.text, event.versions);
    const bool isTooLong = stream->draft.tokens() > m_spec.maxTokens;
    if (!error && !isTooLong && !event.finished && stream->draft.tokens() < m_spec.maxTokens)
        return;
    if (error || isTooLong || !stream->draft.isComplete()) {
        ++m_counters.invalidDiscards;
        if (!event.finished)
            m_effects.emplace_back(cancel_stream { event.slot, event.attempt });
        discardStream(event.slot, event.attempt);
    } else {
        finishStream(event.slot, *stream);
    }
    advance();
}

void batch_tracker::on(const stream_failed& event)
{
    if (!findStream(event.slot, event.attempt))
        return;
    if (event.error == make_error_code(result_code::VersionMissing)) {
        ++m_counters.invalidDiscards;
        discardStream(event.slot, event.attempt);
    } else {
        suspendStream(event.slot, event.attempt, event.tokensKept);
        backOff(m_slots[event.slot]);
    }
    advance();
}

void batch_tracker::on(const score_received& event)
{
    if (event.slot >= m_slots.size() || !std::isfinite(event.reward))
        return;
    slot_state& slot = m_slots[event.slot];
    if (slot.phase != slot_phase::Scoring || slot.sample.attempt != event.attempt)
        return;
    slot.sample.reward = event.reward;
    completeSample(event.slot);
    advance();
}

void batch_tracker::on(const score_failed& event)
{
    if (event.slot >= m_slots.size())
        return;
    slot_state& slot = m_slots[event.slot];
    if (slot.phase != slot_phase::Scoring || slot.sample.attempt != event.attempt)
        return;
    slot.scoreDeadline = m_now + backOffTime(slot.scoreFailures);
    ++slot.scoreFailures;
}

void batch_tracker::on(const append_acknowledged& event)
{
    if (!m_appending || event.append != m_lastAppend)
        return;
    m_appending = false;
    m_appendFailures = 0;
    m_specRecorded = true;
    for (const std::uint32_t index : m_recordsInFlight) {
        if (m_slots[index].record == record_phase::InFlight)
            m_slots[index].record = record_phase::Recorded;
    }
    m_recordsInFlight.clear();
    appendRecords();
}

void batch_tracker::on(const append_failed& event)
{
    if (m_appending && event.append == m_lastAppend)
        requeueRecords();
}

void batch_tracker::on(const fetch_received& event)
{
    if (m_cancelled) {
        m_effects.emplace_back(refuse_fetch { event.request, event.fetch, result_code::BatchCancelled });
        return;
    }
    if (m_fetches.size() == maxWaitingFetches) {
        m_effects.emplace_back(refuse_fetch { event.request, event.fetch, result_code::QueueFull });
        return;
    }
    waiting_fetch fetch { event.request, event.fetch, std::vector<bool>(m_slots.size()), m_counters.slots, 0, event.deadline };
    for (const slot_range& range : event.held) {
        for (std::uint64_t index = range.first; index <= range.last && index < m_slots.size(); ++index)
            fetch.held[index] = true;
    }
    fetch.remaining -= static_cast<std::uint32_t>(std::count(fetch.held.begin(), fetch.held.end(), true));
    fetch.max = std::clamp<std::uint32_t>(event.max, 1, maxSamplesPerFetch);
    m_lastFetch = m_now;
    updateTrainerVersion(event.version);
    applyHeld(fetch);
    m_fetches.push_back(std::move(fetch));
    discardStale();
    advance();
}

void batch_tracker::on(const fetch_abandoned& event)
{
    std::erase_if(m_fetches, [&event](const waiting_fetch& fetch) { return fetch.request == event.request; });
}

void batch_tracker::on(const version_published& event)
{
    updateTrainerVersion(event.version);
    discardStale();
    advance();
}

void batch_tracker::on(const bound_changed& event)
{
    m_settings.bound = event.bound;
    discardStale();
    advance();
}

void batch_tracker::on(const batch_cancelled& /*event*/)
{
    m_cancelled = true;
    for (std::uint32_t index = 0; index < m_slots.size(); ++index)
        cancelStreams(index);
    for (const waiting_fetch& fetch : m_fetches)
        m_effects.emplace_back(refuse_fetch { fetch.request, fetch.fetch, result_code::BatchCancelled });
    m_fetches.clear();
}

void batch_tracker::applyHeld(const waiting_fetch& fetch)
{
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        m_slots[index].held = fetch.held[index];
        if (fetch.held[index])
            cancelStreams(index);
    }
    if (fetch.remaining == 0 && !m_finished) {
        m_finished = true;
        m_effects.emplace_back(batch_finished {});
    }
}

void batch_tracker::updateTrainerVersion(const weight_version& version)
{
    m_trainerVersion = m_trainerVersion ? std::max(*m_trainerVersion, version) : version;
}

batch_tracker::stream_state* batch_tracker::findStream(std::uint32_t index, std::uint32_t attempt)
{
    if (index >= m_slots.size())
        return nullptr;
    std::vector<stream_state>& streams = m_slots[index].streams;
    const auto it = std::find_if(streams.begin(), streams.end(),
        [attempt](const stream_state& stream) { return stream.attempt == attempt; });
    return it == streams.end() ? nullptr : &*it;
}

std::uint64_t batch_tracker::streamSeed(std::uint32_t index, std::uint32_t attempt) const
{
    const std::array<std::uint64_t, 2> place { index, attempt };
    return XXH3_64bits_withSeed(place.data(), sizeof(place), hashOf(m_spec.id, m_settings.seed));
}

void batch_tracker::startStream(std::uint32_t index, bool hedge)
{
    slot_state& slot = m_slots[index];
    const std::string& prompt = m_spec.groups[slotPlace(m_spec, index).group].prompt;
    stream_state stream;
    stream.attempt = slot.nextAttempt++;
    stream.draft = hedge ? slot.streams.front().draft : std::exchange(slot.draft, {});
    stream.draft.setStartedAt(hedge ? slot.streams.front().startedAt : m_now);
    stream.startedAt = m_now;
    stream.lastChunk = m_now;
    if (stream.draft.tokens() == 0)
        stream.draft.setSeed(streamSeed(index, stream.attempt));

    start_stream effect;
    effect.slot = index;
    effect.attempt = stream.attempt;
    effect.prompt = prompt;
    effect.resumeTokenIds = stream.draft.tokenIds();
    effect.maxTokens = m_spec.maxTokens - stream.draft.tokens();
    effect.seed = stream.draft.seed();
    effect.groupKey = hashOf(prompt, hashOf(m_spec.entry, 0));
    effect.hedge = hedge;
    m_effects.emplace_back(std::move(effect));
    slot.streams.push_back(std::move(stream));
    ++m_counters.streams;
}

/// Starts streams as far as capacity and look-ahead allow. Suspended samples are resumed before new ones are started.
void batch_tracker::startStreams()
{
    startStreams(true);
    startStreams(false);
}

void batch_tracker::startStreams(bool suspended)
{
    if (m_counters.streams >= m_capacity)
        return;
    const std::uint32_t limit = startLimit();
    std::uint32_t started = startedSlots();
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        if (m_counters.streams >= m_capacity || started >= limit)
            return;
        const slot_state& slot = m_slots[index];
        if (slot.held || slot.phase != slot_phase::Open || !slot.streams.empty() || slot.earliestStart > m_now)
            continue;
        if (suspended != (slot.draft.tokens() > 0))
            continue;
        startStream(index, false);
        ++started;
    }
}

/// Starts a second stream for slots that take far longer than the median, when few streams are open and the trainer waits.
void batch_tracker::startHedges()
{
    const std::optional<duration> median = medianStreamTime();
    const std::uint32_t stragglers = std::max<std::uint32_t>(1, m_counters.slots / stragglerShare);
    if (!median || !isTrainerWaiting() || m_counters.streams > stragglers)
        return;
    for (std::uint32_t index = 0; index < m_slots.size() && m_counters.streams < m_capacity; ++index) {
        const slot_state& slot = m_slots[index];
        if (slot.streams.size() != 1 || m_now - slot.streams.front().startedAt < *median * stragglerFactor)
            continue;
        startStream(index, true);
        ++m_counters.hedges;
    }
}

/// Suspends the streams that exceed the capacity, those with the fewest tokens first.
void batch_tracker::suspendExcess()
{
    struct open_stream {
        std::uint32_t tokens;
        std::uint32_t slot;
        std::uint32_t attempt;
    };
    if (m_counters.streams <= m_capacity)
        return;
    std::vector<open_stream> open;
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        for (const stream_state& stream : m_slots[index].streams)
            open.push_back({ stream.draft.tokens(), index, stream.attempt });
    }
    std::stable_sort(open.begin(), open.end(),
        [](const open_stream& left, const open_stream& right) { return left.tokens < right.tokens; });
    open.resize(m_counters.streams - m_capacity);
    for (const open_stream& stream : open) {
        m_effects.emplace_back(cancel_stream { stream.slot, stream.attempt });
        suspendStream(stream.slot, stream.attempt, stream.tokens);
    }
}

void batch_tracker::suspendStalled()
{
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        const std::vector<stream_state>& streams = m_slots[index].streams;
        const auto it = std::find_if(streams.begin(), streams.end(),
            [this](const stream_state& stream) { return m_now - stream.lastChunk >= streamStallTime; });
        if (it == streams.end())
            continue;
        m_effects.emplace_back(cancel_stream { index, it->attempt });
        suspendStream(index, it->attempt, it->draft.tokens());
        backOff(m_slots[index]);
    }
}

/// Removes a stream and keeps its tokens for the next one, unless another stream of the slot is still open.
void batch_tracker::suspendStream(std::uint32_t index, std::uint32_t attempt, std::uint32_t tokensKept)
{
    stream_state* stream = findStream(index, attempt);
    sample_draft draft = std::move(stream->draft);
    closeStream(index, attempt);
    if (!m_slots[index].streams.empty())
        return;
    draft.truncate(std::min(tokensKept, draft.tokens()));
    if (!draft.label().isInvalid())
        m_slots[index].draft = std::move(draft);
}

void batch_tracker::closeStream(std::uint32_t index, std::uint32_t attempt)
{
    const std::size_t closed = std::erase_if(m_slots[index].streams,
        [attempt](const stream_state& stream) { return stream.attempt == attempt; });
    m_counters.streams -= static_cast<std::uint32_t>(closed);
}

/// Removes a stream together with its tokens.
void batch_tracker::discardStream(std::uint32_t index, std::uint32_t attempt)
{
    closeStream(index, attempt);
    backOff(m_slots[index]);
}

void batch_tracker::cancelStreams(std::uint32_t index)
{
    slot_state& slot = m_slots[index];
    for (const stream_state& stream : slot.streams)
        m_effects.emplace_back(cancel_stream { index, stream.attempt });
    m_counters.streams -= static_cast<std::uint32_t>(slot.streams.size());
    slot.streams.clear();
    slot.draft = {};
}

void batch_tracker::finishStream(std::uint32_t index, stream_state& stream)
{
    slot_state& slot = m_slots[index];
    const slot_place place = slotPlace(m_spec, index);
    m_streamTimes.push_back(m_now - stream.startedAt);
    if (m_streamTimes.size() > maxStreamTimes)
        m_streamTimes.pop_front();
    slot.sample = { index, place.group, place.index, stream.attempt, stream.draft.tokenIds(), stream.draft.text(), std::nullopt,
        stream.draft.label() };
    slot.generatedAfter = stream.draft.startedAt();
    closeStream(index, slot.sample.attempt);
    cancelStreams(index);
    if (!m_settings.scored) {
        completeSample(index);
        return;
    }
    slot.phase = slot_phase::Scoring;
    slot.scoreFailures = 0;
    requestScore(index);
}

void batch_tracker::requestScore(std::uint32_t index)
{
    slot_state& slot = m_slots[index];
    slot.scoreDeadline = m_now + scoreTimeout;
    m_effects.emplace_back(request_score { index, slot.sample.attempt, m_spec.groups[slot.sample.group].prompt, slot.sample.tokenIds });
}

void batch_tracker::retryOverdueScores()
{
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        const slot_state& slot = m_slots[index];
        if (slot.phase == slot_phase::Scoring && !slot.held && m_now >= slot.scoreDeadline)
            requestScore(index);
    }
}

void batch_tracker::completeSample(std::uint32_t index)
{
    m_slots[index].phase = slot_phase::Ready;
    queueRecord(index);
}

void batch_tracker::discardSample(std::uint32_t index)
{
    slot_state& slot = m_slots[index];
    slot.phase = slot_phase::Open;
    slot.record = record_phase::None;
    slot.sample = {};
    slot.generatedAfter.reset();
    ++m_counters.staleDiscards;
    backOff(slot);
}

/// Discards samples that are too stale to be delivered, including those that are still being generated.
void batch_tracker::discardStale()
{
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        slot_state& slot = m_slots[index];
        if (slot.held)
            continue;
        if (slot.phase != slot_phase::Open && isStale(slot.sample.label, slot.generatedAfter, m_now))
            discardSample(index);
        if (slot.draft.tokens() > 0 && isStale(slot.draft.label(), slot.draft.startedAt(), m_now))
            slot.draft = {};
        const bool hasStale = std::any_of(slot.streams.begin(), slot.streams.end(), [this](const stream_state& stream) {
            return isStale(stream.draft.label(), stream.draft.startedAt(), m_now);
        });
        if (!hasStale)
            continue;
        cancelStreams(index);
        ++m_counters.staleDiscards;
        backOff(slot);
    }
}

bool batch_tracker::isStale(const sample_label& label, const std::optional<instant>& generatedAfter, instant when) const
{
    if (m_trainerVersion && label.versionsBehind(*m_trainerVersion) > m_settings.bound.versions)
        return true;
    if (!m_settings.bound.age)
        return false;
    return !generatedAfter || when - *generatedAfter > *m_settings.bound.age;
}

void batch_tracker::answerFetches()
{
    const auto isAnswered = [this](const waiting_fetch& fetch) { return answer(fetch); };
    m_fetches.erase(std::remove_if(m_fetches.begin(), m_fetches.end(), isAnswered), m_fetches.end());
}

bool batch_tracker::answer(const waiting_fetch& fetch)
{
    const std::vector<std::uint32_t> slots = deliverableSlots(fetch);
    if (slots.empty() && fetch.remaining > 0 && m_now < fetch.deadline)
        return false;
    deliver_samples effect { fetch.request, fetch.fetch, {}, fetch.remaining, fetch.remaining == 0 };
    for (const std::uint32_t index : slots)
        effect.samples.push_back(m_slots[index].sample);
    m_effects.emplace_back(std::move(effect));
    return true;
}

/// Slots for the answer to \a fetch, oldest sample first. Discards samples that would be stale when the answer arrives,
/// which is at the deadline of the fetch or half the bound on age from now, whichever is earlier.
std::vector<std::uint32_t> batch_tracker::deliverableSlots(const waiting_fetch& fetch)
{
    instant latestArrival = std::max(m_now, fetch.deadline);
    if (m_settings.bound.age)
        latestArrival = std::min(latestArrival, m_now + *m_settings.bound.age / 2);
    std::vector<std::uint32_t> slots;
    for (std::uint32_t index = 0; index < m_slots.size(); ++index) {
        const slot_state& slot = m_slots[index];
        if (fetch.held[index] || slot.phase != slot_phase::Ready)
            continue;
        if (isStale(slot.sample.label, slot.generatedAfter, latestArrival))
            discardSample(index);
        else
            slots.push_back(index);
    }
    std::stable_sort(slots.begin(), slots.end(), [this](std::uint32_t left, std::uint32_t right) {
        return m_slots[left].generatedAfter < m_slots[right].generatedAfter;
    });
    slots.resize(std::min<std::size_t>(slots.size(), fetch.max));
    return slots;
}

void batch_tracker::queueRecord(std::uint32_t index)
{
    slot_state& slot = m_slots[index];
    slot.record = record_phase::Queued;
    if (!slot.queued)
        m_recordQueue.push_back(index);
    slot.queued = true;
}

/// Appends the queued records, except for samples that were discarded meanwhile or that the trainer holds.
void batch_tracker::appendRecords()
{
    if (m_appending || m_cancelled || m_now < m_nextAppend)
        return;
    append_records effect;
    if (!m_specRecorded)
        effect.records.push_back(specRecord(m_spec));
    while (!m_recordQueue.empty() && effect.records.size() < maxRecordsPerAppend) {
        const std::uint32_t index = m_recordQueue.front();
        m_recordQueue.pop_front();
        slot_state& slot = m_slots[index];
        slot.queued = false;
        if (slot.record != record_phase::Queued || slot.held || !slot.generatedAfter)
            continue;
        slot.record = record_phase::InFlight;
        m_recordsInFlight.push_back(index);
        effect.records.push_back(sampleRecord({ slot.sample, *slot.generatedAfter - *m_firstEvent }));
    }
    if (effect.records.empty())
        return;
    effect.append = ++m_lastAppend;
    m_appending = true;
    m_appendDeadline = m_now + appendTimeout;
    m_nextAppend = m_now + appendPeriod;
    m_effects.emplace_back(std::move(effect));
}

/// Puts the records of a failed append back into the queue; they keep their ids.
void batch_tracker::requeueRecords()
{
    m_appending = false;
    m_nextAppend = m_now + backOffTime(m_appendFailures);
    ++m_appendFailures;
    for (const std::uint32_t index : m_recordsInFlight) {
        if (m_slots[index].record == record_phase::InFlight)
            queueRecord(index);
    }
    m_recordsInFlight.clear();
}

/// Largest number of slots, not counting those that the trainer holds, that may be started or finished by now.
std::uint32_t batch_tracker::startLimit() const
{
    const std::uint32_t slots = m_counters.slots;
    switch (m_settings.lookAhead) {
    case look_ahead::Busy:
        return slots;
    case look_ahead::Fresh:
        return isTrainerWaiting() ? slots : std::max<std::uint32_t>(1, slots / freshShare);
    }
    return slots;
}

std::uint32_t batch_tracker::startedSlots() const
{
    return static_cast<std::uint32_t>(std::count_if(m_slots.begin(), m_slots.end(), [](const slot_state& slot) {
        return !slot.held && (slot.phase != slot_phase::Open || !slot.streams.empty());
    }));
}

bool batch_tracker::isTrainerWaiting() const
{
    return !m_fetches.empty() || (m_lastFetch && m_now - *m_lastFetch < trainerIdleTime);
}

std::optional<duration> batch_tracker::medianStreamTime() const
{
    if (m_streamTimes.size() < minStreamTimes)
        return std::nullopt;
    std::vector<duration> times(m_streamTimes.begin(), m_streamTimes.end());
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

void batch_tracker::backOff(slot_state& slot) const
{
    slot.earliestStart = m_now + backOffTime(slot.failures);
    ++slot.failures;
}

}
