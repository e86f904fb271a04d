#include "cataloguereader.h"

#include "cataloguesnapshot.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ragwortreach {

namespace {

    std::map<std::string, std::uint64_t> revisionsOf(const catalogue_table& table)
    {
        std::map<std::string, std::uint64_t> revisions;
        for (const catalogue_entry_state& entryState : table.entries())
            revisions.emplace(entryState.name, entryState.revision);
        return revisions;
    }

}

struct catalogue_reader::event_handler {
    catalogue_reader& reader;

    void operator()(const catalogue_events::log_records_received& event) const { reader.handleRecords(event); }
    void operator()(const catalogue_events::log_truncated& event) const { reader.handleTruncated(event); }
    void operator()(const catalogue_events::log_unavailable&) const { reader.handleUnavailable(); }
    void operator()(const catalogue_events::snapshots_received& event) const { reader.handleSnapshots(event); }
    void operator()(const catalogue_events::peer_records_received& event) const { reader.handlePeerRecords(event); }
    void operator()(const catalogue_events::tick&) const { reader.handleTick(); }
};

std::vector<catalogue_effect> catalogue_reader::handle(const catalogue_event& event, instant now)
{
    m_now = now;
    if (!std::exchange(m_isStarted, true)) {
        m_snapshotAt = now + snapshotPeriod;
        read();
    }
    std::visit(event_handler { *this }, event);
    writeSnapshotIfDue();
    return std::exchange(m_effects, {});
}

void catalogue_reader::handleRecords(const catalogue_events::log_records_received& event)
{
    finishRead();
    for (const log_record& record : event.records) {
        if (!apply(record))
            return startGapRecovery(record.offset);
    }
    if (event.next > m_table.position())
        return startGapRecovery(event.next);
    m_isReady = m_isReady || event.next >= event.end;
    follow();
}

void catalogue_reader::handleTruncated(const catalogue_events::log_truncated& event)
{
    finishRead();
    if (event.firstRetained > m_table.position())
        return startGapRecovery(event.firstRetained);
    follow();
}

void catalogue_reader::handleUnavailable()
{
    m_isReading = false;
    m_isLogDown = true;
    m_retryAt = m_now + retryPeriod;
    emit(catalogue_effects::ask_peer { m_table.position() });
}

void catalogue_reader::handleSnapshots(const catalogue_events::snapshots_received& event)
{
    const std::map<std::string, std::uint64_t> before = revisionsOf(m_table);
    if (restoreBest(m_table, event.texts) == restore_result::Restored) {
        m_isReady = true;
        m_snapshotCovered = m_table.position();
        emitEntryChanges(before);
    }
    if (!event.isFromPeer)
        finishRead();
    m_hasReadSnapshots = m_hasReadSnapshots || !event.isFromPeer;
    if (m_phase == phase::LoadingSnapshots)
        m_phase = phase::Following;
    endGapRecoveryIfCovered();
    if (m_phase == phase::Following && !m_isLogDown)
        follow();
}

void catalogue_reader::handlePeerRecords(const catalogue_events::peer_records_received& event)
{
    for (const log_record& record : event.records) {
        if (!apply(record))
            break;
    }
    endGapRecoveryIfCovered();
}

void catalogue_reader::handleTick()
{
    if (m_isReading && m_now - m_readSince >= readTimeout)
        return handleUnavailable();
    skipGapIfOverdue();
    if (!m_isReading && m_now >= m_retryAt)
        read();
}

bool catalogue_reader::apply(const log_record& record)
{
    if (record.offset > m_table.position())
        return false;
    if (record.offset < m_table.position())
        return true;
    const edit_verdict verdict = m_table.apply(record);
    if (verdict.outcome == edit_outcome::Accepted && !verdict.isRepeated)
        emit(catalogue_effects::entry_changed { verdict.entry });
    return true;
}

void catalogue_reader::finishRead()
{
    m_isReading = false;
    m_isLogDown = false;
}

void catalogue_reader::emitEntryChanges(const std::map<std::string, std::uint64_t>& before)
{
    const std::map<std::string, std::uint64_t> after = revisionsOf(m_table);
    for (const std::pair<const std::string, std::uint64_t>& entry : after) {
        const std::map<std::string, std::uint64_t>::const_iterator it = before.find(entry.first);
        if (it == before.end() || it->second != entry.second)
            emit(catalogue_effects::entry_changed { entry.first });
    }
    for (const std::pair<const std::string, std::uint64_t>& entry : before) {
        if (!after.contains(entry.first))
            emit(catalogue_effects::entry_changed { entry.first });
    }
}

void catalogue_reader::startGapRecovery(std::uint64_t firstRetained)
{
    m_firstRetained = std::max(m_firstRetained, firstRetained);
    if (m_phase == phase::RecoveringGap)
        return;
    m_phase = phase::RecoveringGap;
    m_gapSince = m_now;
    m_hasReadSnapshots = false;
    read();
}

void catalogue_reader::endGapRecoveryIfCovered()
{
    if (m_phase != phase::RecoveringGap)
        return;
    if (m_table.position() >= m_firstRetained)
        return follow();
    m_retryAt = m_now + retryPeriod;
}

void catalogue_reader::skipGapIfOverdue()
{
    if (m_phase != phase::RecoveringGap || !m_hasReadSnapshots || m_now - m_gapSince < gapTimeout)
        return;
    m_table.skipTo(m_firstRetained);
    follow();
}

void catalogue_reader::follow()
{
    m_phase = phase::Following;
    if (!m_isReading && !m_isLogDown)
        read();
}

void catalogue_reader::read()
{
    m_isReading = true;
    m_readSince = m_now;
    switch (m_phase) {
    case phase::LoadingSnapshots:
        return emit(catalogue_effects::read_snapshots {});
    case phase::Following:
        return emit(catalogue_effects::read_log { m_table.position() });
    case phase::RecoveringGap:
        emit(catalogue_effects::read_snapshots {});
        return emit(catalogue_effects::ask_peer { m_table.position() });
    }
}

void catalogue_reader::writeSnapshotIfDue()
{
    const std::uint64_t position = m_table.position();
    if (!m_isWriter || !m_isReady || m_isLogDown || m_phase != phase::Following || position == 0)
        return;
    if (position < m_snapshotCovered + snapshotRecords && m_now < m_snapshotAt)
        return;
    m_snapshotCovered = position;
    m_snapshotAt = m_now + snapshotPeriod;
    emit(catalogue_effects::write_snapshot { position, encodeSnapshot(makeSnapshot(m_table)) });
}

std::optional<std::string> catalogue_reader::snapshotFor(std::uint64_t from) const
{
    if (m_table.position() <= from)
        return std::nullopt;
    return encodeSnapshot(makeSnapshot(m_table));
}

}
