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

/// Progress of one batch.
struct batch_progress {
    std::uint32_t slots = 0;
    /// Samples that the trainer holds.
    std::uint32_t held = 0;
    /// Complete samples that the trainer does not hold yet.
    std::uint32_t ready = 0;
    /// Samples that wait for their reward.
    std::uint32_t scoring = 0;
    /// Open streams.
    std::uint32_t streams = 0;
    std::uint64_t staleDiscards = 0;
    /// Samples discarded because of an invalid label, missing tokens or too many tokens.
    std::uint64_t invalidDiscards = 0;
    /// Second streams that were started for slow slots.
    std::uint64_t hedges = 0;
    /// Restored records that were malformed or outdated.
    std::uint64_t ignoredRecords = 0;
};

/// Largest number of fetches that wait for a sample at one time.
inline constexpr std::size_t maxWaitingFetches = 16;
/// Largest number of samples in one answer.
inline constexpr std::uint32_t maxSamplesPerFetch = 256;

/// State machine of one batch at its owner: events go in, effects come out, and it does no input or output itself.
///
/// It starts streams, assembles samples with their labels, has them scored, records them in the log and answers the fetches
/// of the trainer. The trainer gets each slot once, because an answer never contains a slot that the fetch names as held;
/// this does not depend on what the process remembers of earlier answers. Staleness is checked for each sample in each
/// answer.
class batch_tracker {
public:
    batch_tracker(batch_spec spec, const batch_settings& settings);
    ~batch_tracker();
    batch_tracker(batch_tracker&&) noexcept;
    batch_tracker& operator=(batch_tracker&&) noexcept;

    /// Applies \a event and returns the effects to execute, in order. Time never goes back: a \a now
    /// earlier than in a previous call is replaced by the previous one.
    std::vector<batch_effect> handle(const batch_event& event, instant now);

    const batch_spec& spec() const { return m_spec; }
    batch_progress progress() const;
    /// Number of streams that would be open without a limit on capacity.
    std::uint32_t wantedStreams() const;
    /// Whether the trainer reported that it holds all samples.
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

    /// Answers fetches, starts streams and appends records as far as samples, capacity and time allow.
    void advance();
    /// Marks the slots that \a fetch names as held and cancels their streams. A slot that an earlier fetch named and this
    /// one does not is wanted again.
    void applyHeld(const waiting_fetch& fetch);
    /// Raises the version of the trainer, against which staleness is measured; it never goes down.
    void updateTrainerVersion(const weight_version& version);

    stream_state* findStream(std::uint32_t slot, std::uint32_t attempt);
    std::uint64_t streamSeed(std::uint32_t index, std::uint32_t attempt) const;
    void startStream(std::uint32_t index, bool hedge);
    void startStreams();
    /// Starts streams only for slots with tokens of a suspended stream, or only for slots without.
    void startStreams(bool suspended);
    void startHedges();
    void suspendExcess();
    /// Suspends streams that delivered no chunk for streamStallTime.
    void suspendStalled();
    void suspendStream(std::uint32_t index, std::uint32_t attempt, std::uint32_t tokensKept);
    /// Removes a stream that ended, without an effect.
    void closeStream(std::uint32_t index, std::uint32_t attempt);
    /// Cancels all streams of a slot and drops their tokens.
    void cancelStreams(std::uint32_t index);
    void discardStream(std::uint32_t index, std::uint32_t attempt);
    /// Turns the finished stream into the sample of its slot, cancels other streams of the slot and starts the scoring.
    void finishStream(std::uint32_t index, stream_state& stream);

    void requestScore(std::uint32_t index);
    /// Asks again for rewards that did not arrive in time or whose back-off is over.
    void retryOverdueScores();
    /// Makes the sample of a slot deliverable and queues its record.
    void completeSample(std::uint32_t index);
    /// Drops the stale sample of a slot, so that it is generated again.
    void discardSample(std::uint32_t index);
    void discardStale();
    /// Whether a sample generated after \a generatedAfter (empty: age not known) exceeds the bound on versions, or the
    /// bound on age at \a when.
    bool isStale(const sample_label& label, const std::optional<instant>& generatedAfter, instant when) const;

    void answerFetches();
    /// Returns false while the fetch has to wait.
    bool answer(const waiting_fetch& fetch);
    std::vector<std::uint32_t> deliverableSlots(const waiting_fetch& fetch);

    void queueRecord(std::uint32_t index);
    void appendRecords();
    void requeueRecords();

    std::uint32_t startLimit() const;
    /// Number of slots that the trainer does not hold and that have an open stream or a complete sample.
    std::uint32_t startedSlots() const;
    /// Whether a fetch waits or the last one arrived less than trainerIdleTime ago.
    bool isTrainerWaiting() const;
    /// Empty when fewer than minStreamTimes streams have finished.
    std::optional<duration> medianStreamTime() const;
    /// Delays the next stream of \a slot after a failure.
    void backOff(slot_state& slot) const;

    batch_spec m_spec;
    batch_settings m_settings;
    std::vector<slot_state> m_slots;
    std::vector<waiting_fetch> m_fetches;
    std::vector<batch_effect> m_effects;
    instant m_now {};
    /// Start of the ages that records store, see recorded_sample.
    std::optional<instant> m_firstEvent;
    std::optional<weight_version> m_trainerVersion;
    std::optional<instant> m_lastFetch;
    /// Times from start to finish of the latest streams, at most maxStreamTimes.
    std::deque<duration> m_streamTimes;
    std::deque<std::uint32_t> m_recordQueue;
    std::vector<std::uint32_t> m_recordsInFlight;
    std::uint64_t m_lastAppend = 0;
    std::uint32_t m_appendFailures = 0;
    instant m_nextAppend {};
    instant m_appendDeadline {};
    /// Whether an append is in flight.
    bool m_appending = false;
    bool m_specRecorded = false;
    std::uint32_t m_capacity = 0;
    bool m_finished = false;
    bool m_cancelled = false;
    batch_progress m_counters;
};

}
