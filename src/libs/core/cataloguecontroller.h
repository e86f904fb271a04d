#pragma once

#include "cataloguereader.h"
#include "daemonevent.h"

#include <map>
#include <string>
#include <string_view>

namespace ragwortreach::Internal {

class daemon_context;

/// Keeps the catalogue of the daemon up to date and handles the edits of operators.
///
/// Carries out the effects of the catalogue_reader. An edit is appended to the log and answered when the reader
/// has applied its record.
class catalogue_controller {
public:
    explicit catalogue_controller(daemon_context& context);

    /// Runs time-outs and retries; called periodically.
    void tick();
    /// Appends an edit to the log; refuses it when too many edits wait for their verdicts.
    void handle(const edit_submitted& event);
    /// Handles \a event. Each overload returns false when the event does not belong to the catalogue.
    bool handle(const log_read_ended& event);
    bool handle(const append_ended& event);
    bool handle(const peer_reply_received& event);
    /// Reply to a peer that lacks records: the local position, and a snapshot when this daemon has applied more.
    peer_reply answerRead(const catalogue_read_request& request) const;

private:
    /// Edit that was sent to the log and whose verdict is not known yet.
    struct pending_edit {
        request_number number = 0;
        /// Number of the append.
        std::uint64_t append = 0;
        instant submittedAt {};
        /// Outcome of the append; Ok until it is known to have failed.
        result_code appendCode = result_code::Ok;
    };

    void runReader(const catalogue_event& event);
    void carryOut(const catalogue_effect& effect);
    void askPeer(std::uint64_t from);
    void answerEdits();
    void answerVerdict(const pending_edit& edit, const edit_verdict& verdict);
    void answerFailure(const pending_edit& edit, result_code code);

    daemon_context& m_context;
    /// Edits that are not answered yet, by record id.
    std::map<std::string, pending_edit, std::less<>> m_edits;
    /// Number of the request to a peer that is in flight; 0 when there is none.
    request_number m_peerRequest = 0;
    bool m_wasLogDown = false;
};

}
