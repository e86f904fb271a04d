#pragma once

#include "batchindextail.h"
#include "batchowner.h"
#include "daemonevent.h"
#include "requestorigin.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Answers the requests of trainers about batches: directly when this daemon owns the batch, otherwise by forwarding
/// the request to the owner.
///
/// The owner is computed from the membership view. While views differ a batch may have two owners; that only wastes
/// work, because the trainer names in each fetch the samples that it already holds.
class batch_controller {
public:
    explicit batch_controller(daemon_context& context);

    /// Does all periodic work: reads the log, answers waiting openings, hands batches over and records finished ones.
    void tick();
    void handle(const batch_request_received& event);
    void handle(const engine_chunk_received& event) { m_owner.handle(event); }
    void handle(const engine_stream_ended& event) { m_owner.handle(event); }
    void handle(const score_ended& event) { m_owner.handle(event); }
    void handle(const versions_read& event) { m_owner.handle(event); }
    void handle(const caller_gone& event) { m_owner.abandonFetch(event.number); }
    /// Handles a request that a peer forwarded; it is never forwarded again.
    void handlePeer(request_number number, const peer_request& request);
    /// Each of these returns whether the event belonged to a batch.
    bool handle(const log_read_ended& event);
    bool handle(const append_ended& event);
    bool handle(const peer_reply_received& event);

    const batch_owner& owner() const { return m_owner; }

private:
    /// Request to open a batch, answered once the opening is read back from the log or openRecordWait is over.
    struct pending_open {
        request_origin from;
        std::string contentHash;
        instant since {};
    };

    void dispatch(const request_origin& from, const peer_request& request);
    void open(const request_origin& from, const open_batch_request& request);
    void openLocally(const request_origin& from, const batch_spec& spec);
    /// Answers the opening of a batch that is already open or ended; returns false when the batch is new.
    bool answerIfKnown(const request_origin& from, const batch_spec& spec, const std::string& hash);
    void fetch(const request_origin& from, const fetch_batch_request& request);
    void fetchLocally(const request_origin& from, const std::string& batch, const fetch_request& request);
    void cancel(const request_origin& from, const cancel_batch_request& request);
    void progress(const request_origin& from, const batch_progress_request& request);
    void forward(const request_origin& from, const std::string& owner, peer_request request, duration timeout);

    std::string ownerOf(const std::string& batch) const;
    void answerPendingOpens();
    /// Returns false while the opening has to wait for the log.
    bool answerPendingOpen(const std::string& batch, const pending_open& waiting);
    /// Restores batches that this daemon has come to own, and releases those that another daemon owns.
    void updateOwnership();
    void recordFinishedBatches();

    daemon_context& m_context;
    batch_index_tail m_index;
    batch_owner m_owner;
    /// By id of the batch.
    std::map<std::string, std::vector<pending_open>> m_pendingOpens;
    /// By number of the request to the peer.
    std::map<request_number, request_origin> m_forwardedRequests;
    /// Time since which a batch that this daemon still runs belongs to another daemon.
    std::map<std::string, instant> m_ownedElsewhereSince;
    instant m_nextOwnershipCheck {};
};

}
