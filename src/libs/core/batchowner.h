#pragma once

#include "batchrestore.h"
#include "batchtracker.h"
#include "catalogueentry.h"
#include "daemonevent.h"
#include "fetchrequest.h"
#include "requestorigin.h"
#include "samplerunner.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Runs the trackers of the batches that this daemon owns.
class batch_owner {
public:
    explicit batch_owner(daemon_context& context);
    ~batch_owner();

    void tick();
    void handle(const engine_chunk_received& event);
    void handle(const engine_stream_ended& event);
    void handle(const score_ended& event);
    void handle(const versions_read& event);
    /// Each returns whether the event belonged to a batch.
    bool handle(const log_read_ended& event);
    bool handle(const append_ended& event);

    /// Tracker of \a batch; nullptr when this daemon has none.
    const batch_tracker* tracker(std::string_view batch) const;
    bool isRestoring(std::string_view batch) const { return m_restores.contains(batch); }
    std::size_t size() const { return m_owned.size(); }
    std::vector<std::string> batches() const;

    /// Starts a new batch.
    void start(const batch_spec& spec, std::optional<instant> openedAfter);
    /// Reads the stream of \a batch and goes on with it. \a spec is given when a caller named it.
    void restore(const std::string& batch, std::optional<batch_spec> spec, std::optional<instant> openedAfter);
    /// Answers now, later, or after the restore that is under way.
    void fetch(const request_origin& from, const std::string& batch, const fetch_request& request);
    void cancel(const std::string& batch);
    /// Drops the tracker; fetches that wait are told to try again.
    void release(const std::string& batch, const std::string& reason);
    void abandonFetch(request_number caller);
    /// Batches whose trainer holds all samples since the last call.
    std::vector<std::string> takeFinished();

private:
    struct owned_batch;
    struct pending_restore;
    struct waiting_fetch {
        request_origin from;
        std::string batch;
    };
    struct batch_append {
        std::string batch;
        std::uint64_t trackerAppend = 0;
        std::size_t records = 0;
    };

    /// Models that the batches here use, each once.
    std::vector<std::string> models() const;
    owned_batch* add(const batch_spec& spec, std::optional<instant> openedAfter);
    void endRestores();
    void endRestore(const std::string& batch, pending_restore& done);
    void updateSettings();
    void readVersions();
    void offerCapacity();
    void offerCapacity(const std::string& upstream);
    void removeFinished();

    void run(const std::string& batch, const batch_event& event);
    void run(const std::optional<tracker_event>& event);
    void runFailures();
    void carryOut(const std::string& batch, owned_batch& owned, const batch_effect& effect);
    void append(const std::string& batch, const append_records& effect);
    void answer(const std::string& batch, const deliver_samples& effect);
    void answer(const refuse_fetch& effect);
    std::optional<request_origin> takeFetch(request_number number);

    daemon_context& m_context;
    sample_runner m_runner;
    std::map<std::string, std::unique_ptr<owned_batch>, std::less<>> m_owned;
    std::map<std::string, std::unique_ptr<pending_restore>, std::less<>> m_restores;
    std::map<request_number, waiting_fetch> m_fetches;
    std::map<std::uint64_t, batch_append> m_appends;
    /// Latest version of each model in the weight store.
    std::map<std::string, weight_version, std::less<>> m_published;
    std::vector<std::string> m_finished;
    instant m_nextCapacity {};
    instant m_nextVersionRead {};
};

}
