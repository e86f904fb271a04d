#include "batchcontroller.h"

#include "daemoncontext.h"
#include "overloaded.h"

#include <algorithm>

namespace ragwortreach::Internal {

namespace {

    constexpr duration ownershipCheckPeriod = std::chrono::milliseconds(250);
    /// Prevents a hand-over on a short change of the membership view.
    constexpr duration handOverDelay = std::chrono::seconds(1);
    /// Time after which an opening is answered although it was not read back from the log.
    constexpr duration openRecordWait = std::chrono::milliseconds(1500);
    /// Added to the wait time of a fetch, so that the owner answers before the forwarding times out.
    constexpr duration forwardMargin = std::chrono::seconds(2);
    constexpr duration forwardTimeout = std::chrono::seconds(4);
    constexpr std::size_t maxOwnedBatches = 256;

    std::string_view toString(batch_state state)
    {
        switch (state) {
        case batch_state::Opened:
            return "open";
        case batch_state::Cancelled:
            return "cancelled";
        case batch_state::Closed:
            return "closed";
        }
        return "open";
    }

}

batch_controller::batch_controller(daemon_context& context)
    : m_context(context)
    , m_owner(context)
{
}

void batch_controller::tick()
{
    m_index.tick(m_context);
    m_owner.tick();
    answerPendingOpens();
    updateOwnership();
    recordFinishedBatches();
}

void batch_controller::handle(const batch_request_received& event)
{
    dispatch({ event.number, false }, event.request);
}

void batch_controller::handlePeer(request_number number, const peer_request& request)
{
    dispatch({ number, true }, request);
}

bool batch_controller::handle(const log_read_ended& event)
{
    if (m_owner.handle(event))
        return true;
    if (!m_index.handle(m_context, event))
        return false;
    answerPendingOpens();
    return true;
}

bool batch_controller::handle(const append_ended& event)
{
    return m_owner.handle(event) || m_index.handle(m_context, event);
}

bool batch_controller::handle(const peer_reply_received& event)
{
    const auto it = m_forwardedRequests.find(event.number);
    if (it == m_forwardedRequests.end())
        return false;
    const request_origin from = it->second;
    m_forwardedRequests.erase(it);
    if (event.code == result_code::Ok)
        reply(m_context, from, event.reply);
    else
        refuse(m_context, from, event.code, "The daemon that owns the batch did not answer; try again at any VM.");
    return true;
}

void batch_controller::dispatch(const request_origin& from, const peer_request& request)
{
    std::visit(overloaded {
                   [&](const open_batch_request& ask) { open(from, ask); },
                   [&](const fetch_batch_request& ask) { fetch(from, ask); },
                   [&](const cancel_batch_request& ask) { cancel(from, ask); },
                   [&](const batch_progress_request& ask) { progress(from, ask); },
                   [&](const catalogue_read_request&) { refuse(m_context, from, result_code::MalformedMessage, {}); },
                   [&](const status_request&) { refuse(m_context, from, result_code::MalformedMessage, {}); },
               },
        request);
}

std::string batch_controller::ownerOf(const std::string& batch) const
{
    const batch_tracker* const tracker = m_owner.tracker(batch);
    if (tracker)
        return m_context.owners.ownerOf(batch, tracker->spec().dataCentre);
    const batch_index_table::entry* const known = m_index.table().find(batch);
    return m_context.owners.ownerOf(batch, known ? known->opening.dataCentre : m_context.identity().local.dataCentre);
}

void batch_controller::forward(const request_origin& from, const std::string& owner, peer_request request, duration timeout)
{
    const member* const peer = m_context.members.find(owner);
    if (!peer) {
        refuse(m_context, from, result_code::PeerUnreachable, "No daemon is available to own the batch; try again.");
        return;
    }
    const request_number number = m_context.nextNumber();
    m_forwardedRequests[number] = from;
    m_context.emit(ask_peer { number, peer->addresses.peer, std::move(request), timeout });
}

void batch_controller::open(const request_origin& from, const open_batch_request& request)
{
    std::variant<batch_spec, batch_spec_error> parsed = parseBatchSpec(request.body);
    if (const batch_spec_error* const error = std::get_if<batch_spec_error>(&parsed)) {
        refuse(m_context, from, error->code, error->detail);
        return;
    }
    batch_spec spec = std::get<batch_spec>(std::move(parsed));
    const catalogue_entry* const entry = m_context.catalogue.table().entry(spec.entry);
    if (!entry || entry->entryClass != entry_class::Training) {
        refuse(m_context, from, result_code::UnknownEntry, "The catalogue has no training entry " + spec.entry + ".");
        return;
    }
    if (!spec.owner.empty() && spec.owner != entry->owner) {
        refuse(m_context, from, result_code::WrongOwner, "The entry " + spec.entry + " belongs to another owner.");
        return;
    }
    if (spec.dataCentre.empty())
        spec.dataCentre = m_context.identity().local.dataCentre;
    const std::string owner = m_context.owners.ownerOf(spec.id, spec.dataCentre);
    if (from.isPeer || owner == m_context.vm())
        openLocally(from, spec);
    else
        forward(from, owner, open_batch_request { toJson(spec) }, forwardTimeout);
}

void batch_controller::openLocally(const request_origin& from, const batch_spec& spec)
{
    const std::string hash = contentHash(spec);
    if (answerIfKnown(from, spec, hash))
        return;
    if (m_owner.tracker(spec.id)) {
        m_pendingOpens[spec.id].push_back({ from, hash, m_context.now });
        return;
    }
    if (m_owner.size() >= maxOwnedBatches) {
        refuse(m_context, from, result_code::QueueFull, "This daemon already owns the maximum number of batches; try again later.");
        return;
    }
    m_pendingOpens[spec.id].push_back({ from, hash, m_context.now });
    m_context.count(daemon_counter::BatchesOpened);
    m_context.addTimelineEvent(event_kind::BatchOpened, spec.id, "The batch is opened with " + std::to_string(slotCount(spec)) + " samples; this daemon owns it.");
    m_index.append(m_context, openingRecord(spec));
    m_owner.start(spec, m_context.now);
}

bool batch_controller::answerIfKnown(const request_origin& from, const batch_spec& spec, const std::string& hash)
{
    const batch_index_table::entry* const known = m_index.table().find(spec.id);
    const batch_tracker* const tracker = m_owner.tracker(spec.id);
    const bool isOtherContent = (known && known->opening.contentHash != hash) || (tracker && contentHash(tracker->spec()) != hash);
    if (isOtherContent) {
        refuse(m_context, from, result_code::BatchConflict, "The batch " + spec.id + " is open with other content.");
        return true;
    }
    if (!known)
        return false;
    if (known->state == batch_state::Cancelled) {
        refuse(m_context, from, result_code::BatchCancelled, "The batch " + spec.id + " was cancelled.");
        return true;
    }
    if (!tracker && known->state == batch_state::Opened)
        m_owner.restore(spec.id, spec, m_index.openedAfter(spec.id));
    reply(m_context, from, open_batch_reply { false, batchStateJson(spec.id, toString(known->state), true) });
    return true;
}

void batch_controller::answerPendingOpens()
{
    for (auto it = m_pendingOpens.begin(); it != m_pendingOpens.end();) {
        std::vector<pending_open>& waiting = it->second;
        std::erase_if(waiting, [this, &it](const pending_open& open) { return answerPendingOpen(it->first, open); });
        it = waiting.empty() ? m_pendingOpens.erase(it) : std::next(it);
    }
}

bool batch_controller::answerPendingOpen(const std::string& batch, const pending_open& waiting)
{
    const batch_index_table::entry* const known = m_index.table().find(batch);
    if (known && known->opening.contentHash != waiting.contentHash) {
        m_owner.release(batch, "The log has an earlier opening of this id with other content.");
        refuse(m_context, waiting.from, result_code::BatchConflict, "The batch " + batch + " is open with other content.");
        return true;
    }
    const bool isOverdue = m_context.now - waiting.since > openRecordWait;
    if (!known && !isOverdue)
        return false;
    reply(m_context, waiting.from, open_batch_reply { true, batchStateJson(batch, "open", known != nullptr) });
    return true;
}

void batch_controller::fetch(const request_origin& from, const fetch_batch_request& request)
{
    m_context.count(daemon_counter::FetchesReceived);
    std::string detail;
    const std::optional<fetch_request> parsed = parseFetchRequest(request.body, detail);
    if (!parsed) {
        refuse(m_context, from, result_code::MalformedRequest, detail);
        return;
    }
    const std::string owner = ownerOf(request.batch);
    if (from.isPeer || owner == m_context.vm()) {
        fetchLocally(from, request.batch, *parsed);
        return;
    }
    m_context.count(daemon_counter::FetchesForwarded);
    forward(from, owner, request, parsed->wait + forwardMargin);
}

void batch_controller::fetchLocally(const request_origin& from, const std::string& batch, const fetch_request& request)
{
    if (m_owner.tracker(batch) || m_owner.isRestoring(batch)) {
        m_owner.fetch(from, batch, request);
        return;
    }
    const batch_index_table::entry* const known = m_index.table().find(batch);
    if (!known) {
        refuse(m_context, from, result_code::UnknownBatch, "No batch " + batch + " is open; open it again under the same id.");
        return;
    }
    switch (known->state) {
    case batch_state::Opened:
        m_owner.restore(batch, std::nullopt, m_index.openedAfter(batch));
        m_owner.fetch(from, batch, request);
        return;
    case batch_state::Cancelled:
        refuse(m_context, from, result_code::BatchCancelled, "The batch " + batch + " was cancelled.");
        return;
    case batch_state::Closed:
        reply(m_context, from, fetch_batch_reply { toJson(batch, deliver_samples { 0, request.fetch, {}, 0, true }) });
        return;
    }
}

void batch_controller::cancel(const request_origin& from, const cancel_batch_request& request)
{
    const std::string owner = ownerOf(request.batch);
    if (!from.isPeer && owner != m_context.vm()) {
        forward(from, owner, request, forwardTimeout);
        return;
    }
    if (!m_index.table().find(request.batch) && !m_owner.tracker(request.batch)) {
        refuse(m_context, from, result_code::UnknownBatch, "No batch " + request.batch + " is open.");
        return;
    }
    batch_index_record record;
    record.state = batch_state::Cancelled;
    record.batch = request.batch;
    m_index.append(m_context, record);
    m_context.addTimelineEvent(event_kind::BatchCancelled, request.batch, "The trainer cancelled the batch.");
    m_owner.cancel(request.batch);
    reply(m_context, from, cancel_batch_reply { batchStateJson(request.batch, "cancelled", !m_index.isLogDown()) });
}

void batch_controller::progress(const request_origin& from, const batch_progress_request& request)
{
    const std::string owner = ownerOf(request.batch);
    if (!from.isPeer && owner != m_context.vm()) {
        forward(from, owner, request, forwardTimeout);
        return;
    }
    if (const batch_tracker* const tracker = m_owner.tracker(request.batch)) {
        reply(m_context, from, batch_progress_reply { toJson(request.batch, m_context.vm(), tracker->progress()) });
        return;
    }
    const batch_index_table::entry* const known = m_index.table().find(request.batch);
    if (known)
        reply(m_context, from, batch_progress_reply { batchStateJson(request.batch, toString(known->state), true) });
    else
        refuse(m_context, from, result_code::UnknownBatch, "No batch " + request.batch + " is open.");
}

void batch_controller::updateOwnership()
{
    if (m_context.now < m_nextOwnershipCheck)
        return;
    m_nextOwnershipCheck = m_context.now + ownershipCheckPeriod;
    for (auto it = m_index.table().batches().begin(); it != m_index.table().batches().end(); ++it) {
        const bool isOpen = it->second.state == batch_state::Opened;
        const bool isRunning = m_owner.tracker(it->first) || m_owner.isRestoring(it->first);
        if (isOpen && !isRunning && ownerOf(it->first) == m_context.vm())
            m_owner.restore(it->first, std::nullopt, m_index.openedAfter(it->first));
    }
    const std::vector<std::string> running = m_owner.batches();
    for (const std::string& batch : running) {
        const std::string owner = ownerOf(batch);
        const bool hasNoSuccessor = owner.empty() && m_context.isDraining;
        if (owner == m_context.vm() || (owner.empty() && !hasNoSuccessor)) {
            m_ownedElsewhereSince.erase(batch);
            continue;
        }
        const instant since = m_ownedElsewhereSince.try_emplace(batch, m_context.now).first->second;
        if (m_context.now - since < handOverDelay)
            continue;
        m_ownedElsewhereSince.erase(batch);
        m_owner.release(batch, hasNoSuccessor ? "No daemon is left to continue the batch; the log keeps its samples." : "The daemon " + owner + " continues the batch.");
    }
}

void batch_controller::recordFinishedBatches()
{
    const std::vector<std::string> finished = m_owner.takeFinished();
    for (const std::string& batch : finished) {
        m_context.count(daemon_counter::BatchesFinished);
        m_context.addTimelineEvent(event_kind::BatchClosed, batch, "The trainer holds all samples.");
        batch_index_record record;
        record.state = batch_state::Closed;
        record.batch = batch;
        m_index.append(m_context, record);
    }
}

}
