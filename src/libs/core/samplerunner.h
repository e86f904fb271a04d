#pragma once

#include "batcheffect.h"
#include "batchevent.h"
#include "catalogueentry.h"
#include "daemonevent.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Event for the tracker of a batch.
struct tracker_event {
    std::string batch;
    batch_event event;
};

/// Runs the engine streams and scorer calls that the batch trackers of this daemon request, and translates their results
/// into events for the trackers.
class sample_runner {
public:
    explicit sample_runner(daemon_context& context);

    /// Opens a stream at a replica chosen by the router, not at one that already runs a stream of the slot. Without a
    /// replica the failure is returned by takeFailures().
    void start(const std::string& batch, const catalogue_entry& entry, const start_stream& effect,
        const std::optional<weight_version>& trainerVersion);
    /// Closes a stream. Has no effect when it has already ended.
    void cancel(const std::string& batch, const cancel_stream& effect);
    /// Closes all streams of a batch that this daemon no longer runs.
    void closeStreams(const std::string& batch);
    /// Asks a replica of the scorer of \a entry for a reward.
    void score(const std::string& batch, const catalogue_entry& entry, const request_score& effect);

    /// Each of these returns the event for the tracker; empty when the stream or score is not known, or ended as expected.
    std::optional<tracker_event> handle(const engine_chunk_received& event);
    std::optional<tracker_event> handle(const engine_stream_ended& event);
    std::optional<tracker_event> handle(const score_ended& event);
    /// Returns and clears the failures of streams and scores for which there was no replica, so that nothing was sent.
    std::vector<tracker_event> takeFailures();

    std::size_t openStreams() const { return m_streams.size(); }
    /// Number of streams that this daemon has open at \a upstream.
    std::uint32_t openStreams(std::string_view upstream) const;

private:
    struct engine_stream {
        std::string batch;
        std::string upstream;
        std::string vm;
        std::uint32_t slot = 0;
        std::uint32_t attempt = 0;
        /// Number of tokens of the sample received so far, including those it was resumed with.
        std::uint32_t position = 0;
        bool isFinished = false;
    };
    struct score_call {
        std::string batch;
        std::string upstream;
        std::string vm;
        std::uint32_t slot = 0;
        std::uint32_t attempt = 0;
    };
    using stream_map = std::map<std::uint64_t, engine_stream>;

    std::string requestId(const std::string& batch, std::uint32_t slot, std::uint32_t attempt) const;
    /// VMs of the open streams of a slot.
    std::vector<std::string> vmsStreamingSlot(const std::string& batch, std::uint32_t slot) const;
    void close(stream_map::iterator it);

    daemon_context& m_context;
    stream_map m_streams;
    std::map<std::uint64_t, score_call> m_scores;
    std::vector<tracker_event> m_failures;
};

}
