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

/// Runs the batches that this daemon owns: passes events to their trackers and executes the effects that these return.
class batch_owner {
public:
    explicit batch_owner(daemon_context& context);
    ~batch_owner();

    /// Does all periodic work of the batches and of the restores in progress.
    void tick();
    void handle(const engine_chunk_received& event);
    void handle(const engine_stream_ended& event);
    void handle(const score_ended& event);
    void handle(const versions_read& event);
    /// Each of these returns whether the event belonged to a batch.
    bool handle(const log_read_ended& event);
    bool handle(const append_ended& event);

    /// Tracker of \a batch; nullptr when this daemon does not run the batch.
    const batch_tracker* tracker(std::string_view batch) const;
    bool isRestoring(std::string_view batch) const { return m_restores.contains(batch); }
    std::size_t size() const { return m_owned.size(); }
    /// Ids of all batches that run here.
    std::vector<std::string> batches() const;

    /// Starts a new batch. \a openedAfter as in batch_settings.
    void start(const batch_spec& spec, std::optional<instant> openedAfter);
    /// Reads the log stream of \a batch and then continues the batch. \a spec is set when a request contained it;
    /// otherwise it is read from the stream.
    void restore(const std::string& batch, std::optional<batch_spec> spec, std::optional<instant> openedAfter);
    /// Answers \a request at once, when a sample is ready, at its deadline, or after the restore in progress.
    void fetch(const request_origin& from, const std::string& batch, const fetch_request& request);
    void cancel(const std::string& batch);
    /// Stops running \a batch because another daemon continues it. Waiting fetches are refused with PeerUnreachable,
    /// so that the trainer fetches again.
    void release(const std::string& batch, const std::string& reason);
    /// Forgets the waiting fetch of \a caller, whose connection closed.
    void abandonFetch(request_number caller);
    /// Returns the batches that finished since the last call: their trainer holds all samples.
    std::vector<std::string> takeFinished();

private:
    struct owned_batch;
    struct pending_restore;
    struct waiting_fetch {
        request_origin from;
        std::string batch;
    };
    /// Append in flight; \c trackerAppend is its number in the tracker of the batch.
    struct batch_append {
        std::string batch;
        std::uint64_t trackerAppend = 0;
        std::size_t records = 0;
    };

    /// Models that the batches use, without repeats.
    std::vector<std::string> models() const;
    owned_batch* add(const batch_spec& spec, std::optional<instant> openedAfter);
    void endRestores();
    void endRestore(const std::string& batch, pending_restore& done);
    /// Passes changes of catalogue entries to the batches.
    void updateSettings();
    /// Asks the weight store for the versions of the models in use.
    void readVersions();
    /// Divides the streams of each model evenly among the batches that can start some.
    void offerCapacity();
    void offerCapacity(const std::string& upstream);
    void removeFinished();

    /// Passes \a event to the tracker of \a batch and executes the effects.
    void run(const std::string& batch, const batch_event& event);
    void run(const std::optional<tracker_event>& event);
    void runFailures();
    void carryOut(const std::string& batch, owned_batch& owned, const batch_effect& effect);
    void append(const std::string& batch, const append_records& effect);
    void answer(const std::string& batch, const deliver_samples& effect);
    void answer(const refuse_fetch& effect);
    /// Removes a waiting fetch and returns who sent it.
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
