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

/// Runs the streams and scores that the trackers of this daemon ask for.
class sample_runner {
public:
    explicit sample_runner(daemon_context& context);

    void start(const std::string& batch, const catalogue_entry& entry, const start_stream& effect,
        const std::optional<weight_version>& trainerVersion);
    void cancel(const std::string& batch, const cancel_stream& effect);
    /// Closes all streams of a batch whose tracker is gone.
    void closeStreams(const std::string& batch);
    void score(const std::string& batch, const catalogue_entry& entry, const request_score& effect);

    std::optional<tracker_event> handle(const engine_chunk_received& event);
    std::optional<tracker_event> handle(const engine_stream_ended& event);
    std::optional<tracker_event> handle(const score_ended& event);
    /// Failures that were found before anything was sent.
    std::vector<tracker_event> takeFailures();

    std::size_t openStreams() const { return m_streams.size(); }
    /// Streams of \a upstream that this daemon keeps open.
    std::uint32_t openStreams(std::string_view upstream) const;

private:
    struct engine_stream {
        std::string batch;
        std::string upstream;
        std::string vm;
        std::uint32_t slot = 0;
        std::uint32_t attempt = 0;
        /// Tokens of the sample that are known so far.
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
    std::vector<std::string> vmsStreamingSlot(const std::string& batch, std::uint32_t slot) const;
    void close(stream_map::iterator it);

    daemon_context& m_context;
    stream_map m_streams;
    std::map<std::uint64_t, score_call> m_scores;
    std::vector<tracker_event> m_failures;
};

}
