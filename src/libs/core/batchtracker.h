#pragma once

#include "batcheffect.h"
#include "batchevent.h"
#include "batchsettings.h"
#include "batchspec.h"
#include "instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace ragwortreach {

/// Counters of one batch.
struct batch_progress {
    std::uint32_t slots = 0;
    std::uint32_t held = 0;
    std::uint32_t ready = 0;
    std::uint32_t scoring = 0;
    std::uint32_t streams = 0;
    std::uint64_t staleDiscards = 0;
    std::uint64_t invalidDiscards = 0;
    std::uint64_t hedges = 0;
    std::uint64_t ignoredRecords = 0;
};

/// Largest number of fetches that wait for a sample at one time.
inline constexpr std::size_t maxWaitingFetches = 16;
/// Largest number of samples in one answer.
inline constexpr std::uint32_t maxSamplesPerFetch = 256;

/// State of one batch at its owner.
///
/// Starts streams, assembles samples and their labels, has them scored, records them and answers the fetches of the trainer.
/// The trainer gets each slot once, because a slot that a fetch names as held is never in its answer; what this
/// process remembers of earlier answers plays no part. Staleness is checked for each sample in each answer.
class batch_tracker {
public:
    batch_tracker(batch_spec spec, const batch_settings& settings);
    ~batch_tracker();
    batch_tracker(batch_tracker&&) noexcept;
    batch_tracker& operator=(batch_tracker&&) noexcept;

    std::vector<batch_effect> handle(const batch_event& event, instant now);

    const batch_spec& spec() const { return m_spec; }
    batch_progress progress() const;
    /// Number of streams that would be open if capacity allowed.
    std::uint32_t wantedStreams() const;
    bool isFinished() const { return m_finished; }

private:
    struct stream_state;
    struct slot_state;
    struct waiting_fetch;

    void on(const restored_record& event);
    void on(const capacity_offered& event);
    void on(const tick& event);
    void on(const chunk_received& event);
    void on(const stream_failed& event);
    void on(const score_received& event);
    void on(const score_failed& event);
    void on(const append_acknowledged& event);
    void on(const append_failed& event);
    void on(const fetch_received& event);
    void on(const fetch_abandoned& event);
    void on(const version_published& event);
    void on(const bound_changed& event);
    void on(const batch_cancelled& event);

    void advance();
    void applyHeld(const waiting_fetch& fetch);
    void updateTrainerVersion(const weight_version& version);

    stream_state* findStream(std::uint32_t slot, std::uint32_t attempt);
    std::uint64_t streamSeed(std::uint32_t index, std::uint32_t attempt) const;
    void startStream(std::uint32_t index, bool hedge);
    void startStreams();
    void startStreams(bool suspended);
    void startHedges();
    void suspendExcess();
    void suspendStalled();
    void suspendStream(std::uint32_t index, std::uint32_t attempt, std::uint32_t tokensKept);
    void closeStream(std::uint32_t index, std::uint32_t attempt);
    void cancelStreams(std::uint32_t index);
    void discardStream(std::uint32_t index, std::uint32_t attempt);
    void finishStream(std::uint32_t index, stream_state& stream);

    void requestScore(std::uint32_t index);
    void retryOverdueScores();
    void completeSample(std::uint32_t index);
    void discardSample(std::uint32_t index);
    void discardStale();
    bool isStale(const sample_label& label, const std::optional<instant>& generatedAfter, instant when) const;

    void answerFetches();
    bool answer(const waiting_fetch& fetch);
    std::vector<std::uint32_t> deliverableSlots(const waiting_fetch& fetch);

    void queueRecord(std::uint32_t index);
    void appendRecords();
    void requeueRecords();

    std::uint32_t startLimit() const;
    std::uint32_t startedSlots() const;
    bool isTrainerWaiting() const;
    std::optional<duration> medianStreamTime() const;
    void backOff(slot_state& slot) const;

    batch_spec m_spec;
    batch_settings m_settings;
    std::vector<slot_state> m_slots;
    std::vector<waiting_fetch> m_fetches;
    std::vector<batch_effect> m_effects;
    instant m_now {};
    std::optional<instant> m_firstEvent;
    std::optional<weight_version> m_trainerVersion;
    std::optional<instant> m_lastFetch;
    std::deque<duration> m_streamTimes;
    std::deque<std::uint32_t> m_recordQueue;
    std::vector<std::uint32_t> m_recordsInFlight;
    std::uint64_t m_lastAppend = 0;
    std::uint32_t m_appendFailures = 0;
    instant m_nextAppend {};
    instant m_appendDeadline {};
    bool m_appending = false;
    bool m_specRecorded = false;
    std::uint32_t m_capacity = 0;
    bool m_finished = false;
    bool m_cancelled = false;
    batch_progress m_counters;
};

}
