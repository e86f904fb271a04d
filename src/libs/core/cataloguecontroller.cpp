#include "cataloguecontroller.h"

#include "cataloguejson.h"
#include "daemoncontext.h"

#include <algorithm>

namespace ragwortreach::Internal {

namespace {

    constexpr std::string_view catalogueStream = "catalogue";
    constexpr std::string_view snapshotStream = "catalogue-snapshots";
    constexpr std::size_t maxRecordsPerRead = 500;
    /// Time for which the log may hold a read open while there are no new records.
    constexpr duration readWait = std::chrono::seconds(2);
    constexpr duration peerTimeout = std::chrono::seconds(2);
    /// Time-out after which an edit without a verdict is answered with AppendUnknown.
    constexpr duration verdictTimeout = std::chrono::seconds(8);
    constexpr std::size_t maxPendingEdits = 1024;

    std::vector<std::string> recordTexts(const log_page& page)
    {
        std::vector<std::string> texts;
        for (const log_record& record : page.records)
            texts.push_back(record.data);
        return texts;
    }

}

catalogue_controller::catalogue_controller(daemon_context& context)
    : m_context(context)
{
}

void catalogue_controller::tick()
{
    // Only the first candidate writes snapshots, because several writers waste appends.
    const std::vector<std::string> writers = m_context.owners.candidates(catalogueStream, {}, 1);
    m_context.catalogue.setWriter(!writers.empty() && writers.front() == m_context.vm());
    runReader(catalogue_events::tick {});
    answerEdits();
}

void catalogue_controller::handle(const edit_submitted& event)
{
    m_context.count(daemon_counter::EditsSubmitted);
    if (m_edits.size() >= maxPendingEdits) {
        m_context.emit(refuse_call { event.number, result_code::QueueFull, {}, std::chrono::seconds(1) });
        return;
    }
    const std::uint64_t append = m_context.nextNumber();
    m_edits[event.recordId] = { event.number, append, m_context.now, result_code::Ok };
    m_context.addTimelineEvent(event_kind::EditSubmitted, event.recordId, "An operator submitted the edit " + event.recordId + ".");
    m_context.emit(append_stream { append, std::string(catalogueStream), { { event.recordId, event.data } } });
}

bool catalogue_controller::handle(const log_read_ended& event)
{
    if (event.stream != catalogueStream && event.stream != snapshotStream)
        return false;
    if (event.code == result_code::LogUnavailable)
        runReader(catalogue_events::log_unavailable {});
    else if (event.stream == snapshotStream)
        runReader(catalogue_events::snapshots_received { recordTexts(event.page), false });
    else if (event.code == result_code::LogTruncated)
        runReader(catalogue_events::log_truncated { event.page.firstRetained, event.page.end });
    else
        runReader(catalogue_events::log_records_received { event.page.records, event.page.next, event.page.end });
    answerEdits();
    return true;
}

bool catalogue_controller::handle(const append_ended& event)
{
    const auto it = std::find_if(m_edits.begin(), m_edits.end(),
        [&event](const std::pair<const std::string, pending_edit>& item) { return item.second.append == event.append; });
    if (it == m_edits.end())
        return false;
    it->second.appendCode = event.code;
    if (event.code == result_code::LogUnavailable) {
        answerFailure(it->second, result_code::LogUnavailable);
        m_edits.erase(it);
    }
    return true;
}

bool catalogue_controller::handle(const peer_reply_received& event)
{
    if (event.number != m_peerRequest || m_peerRequest == 0)
        return false;
    m_peerRequest = 0;
    const catalogue_read_reply* const reply = std::get_if<catalogue_read_reply>(&event.reply);
    if (event.code != result_code::Ok || !reply)
        return true;
    if (reply->snapshot)
        runReader(catalogue_events::snapshots_received { { *reply->snapshot }, true });
    if (!reply->records.empty())
        runReader(catalogue_events::peer_records_received { reply->records });
    return true;
}

peer_reply catalogue_controller::answerRead(const catalogue_read_request& request) const
{
    catalogue_read_reply reply;
    reply.end = m_context.catalogue.table().position();
    reply.snapshot = m_context.catalogue.snapshotFor(request.from);
    return reply;
}

void catalogue_controller::runReader(const catalogue_event& event)
{
    const std::vector<catalogue_effect> effects = m_context.catalogue.handle(event, m_context.now);
    for (const catalogue_effect& effect : effects)
        carryOut(effect);
    const bool isLogDown = m_context.catalogue.isLogDown();
    if (isLogDown != m_wasLogDown) {
        m_wasLogDown = isLogDown;
        m_context.addTimelineEvent(isLogDown ? event_kind::LogLost : event_kind::LogRestored, "log",
            isLogDown ? "The log cannot be reached." : "The log can be reached again.");
    }
}

void catalogue_controller::carryOut(const catalogue_effect& effect)
{
    if (const catalogue_effects::read_log* const read = std::get_if<catalogue_effects::read_log>(&effect))
        m_context.emit(read_stream { std::string(catalogueStream), read->from, maxRecordsPerRead, readWait });
    else if (std::holds_alternative<catalogue_effects::read_snapshots>(effect))
        m_context.emit(read_stream { std::string(snapshotStream), 0, maxRecordsPerRead, {} });
    else if (const catalogue_effects::ask_peer* const ask = std::get_if<catalogue_effects::ask_peer>(&effect))
        askPeer(ask->from);
    else if (const catalogue_effects::write_snapshot* const write = std::get_if<catalogue_effects::write_snapshot>(&effect))
        m_context.emit(append_stream { m_context.nextNumber(), std::string(snapshotStream), { { m_context.nextRecordId(), write->text } } });
    else if (const catalogue_effects::entry_changed* const change = std::get_if<catalogue_effects::entry_changed>(&effect))
        m_context.addTimelineEvent(event_kind::EditApplied, change->name, "The entry " + change->name + " changed.");
}

void catalogue_controller::askPeer(std::uint64_t from)
{
    std::vector<std::string> addresses;
    m_context.members.visitMembers([this, &addresses](const member& candidate) {
        if (candidate.vm != m_context.vm() && candidate.isEligible())
            addresses.push_back(candidate.addresses.peer);
    });
    if (addresses.empty() || m_peerRequest != 0)
        return;
    m_peerRequest = m_context.nextNumber();
    const std::string& address = addresses[m_context.random() % addresses.size()];
    m_context.emit(ask_peer { m_peerRequest, address, catalogue_read_request { from }, peerTimeout });
}

void catalogue_controller::answerEdits()
{
    for (auto it = m_edits.begin(); it != m_edits.end();) {
        const std::optional<edit_verdict> verdict = m_context.catalogue.table().verdict(it->first);
        const bool isOverdue = m_context.now - it->second.submittedAt > verdictTimeout;
        if (!verdict && !isOverdue) {
            ++it;
            continue;
        }
        if (verdict)
            answerVerdict(it->second, *verdict);
        else
            answerFailure(it->second, result_code::AppendUnknown);
        it = m_edits.erase(it);
    }
}

void catalogue_controller::answerVerdict(const pending_edit& edit, const edit_verdict& verdict)
{
    const bool isAccepted = verdict.outcome == edit_outcome::Accepted;
    const result_code code = isAccepted ? result_code::Ok : verdict.code;
    m_context.addTimelineEvent(isAccepted ? event_kind::EditAccepted : event_kind::EditRejected, verdict.recordId,
        isAccepted ? "The edit is accepted as revision " + std::to_string(verdict.revision) + " of " + verdict.entry + "." : verdict.detail, code);
    m_context.emit(answer_request { edit.number, resultCodeInfo(code).httpStatus, verdictJson(verdict) });
}

void catalogue_controller::answerFailure(const pending_edit& edit, result_code code)
{
    m_context.emit(refuse_call { edit.number, code, {}, std::chrono::seconds(2) });
}

}
