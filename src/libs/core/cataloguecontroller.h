#pragma once

#include "cataloguereader.h"
#include "daemonevent.h"

#include <map>
#include <string>
#include <string_view>

namespace ragwortreach::Internal {

class daemon_context;

/// Keeps the catalogue up to date and takes the edits of operators.
class catalogue_controller {
public:
    explicit catalogue_controller(daemon_context& context);

    void tick();
    void handle(const edit_submitted& event);
    /// Each returns whether the event belonged to the catalogue.
    bool handle(const log_read_ended& event);
    bool handle(const append_ended& event);
    bool handle(const peer_reply_received& event);
    /// Answer to a peer that lacks records.
    peer_reply answerRead(const catalogue_read_request& request) const;

private:
    /// Edit that waits for its verdict.
    struct pending_edit {
        request_number number = 0;
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
    /// By record id.
    std::map<std::string, pending_edit, std::less<>> m_edits;
    request_number m_peerRequest = 0;
    bool m_wasLogDown = false;
};

}
