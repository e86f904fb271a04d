#pragma once

#include "cataloguetable.h"
#include "instant.h"
#include "logrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

namespace catalogue_events {

    /// Answer of the log to read_log.
    struct log_records_received {
        std::vector<log_record> records;
        /// Offset after the last record of the answer.
        std::uint64_t next = 0;
        /// End of the stream.
        std::uint64_t end = 0;
    };

    /// The log no longer holds the offset that read_log asked for.
    struct log_truncated {
        std::uint64_t firstRetained = 0;
        std::uint64_t end = 0;
    };

    /// A read of the log or of the snapshots failed.
    struct log_unavailable {
    };

    /// Answer to read_snapshots, or the snapshot of a peer: texts written by encodeSnapshot(), possibly none.
    struct snapshots_received {
        std::vector<std::string> texts;
        bool isFromPeer = false;
    };

    /// Records of the log, sent by a peer that has read them before.
    struct peer_records_received {
        std::vector<log_record> records;
    };

    /// Time has passed; drives time-outs and retries.
    struct tick {
    };

}

using catalogue_event = std::variant<catalogue_events::log_records_received, catalogue_events::log_truncated,
    catalogue_events::log_unavailable, catalogue_events::snapshots_received, catalogue_events::peer_records_received,
    catalogue_events::tick>;

namespace catalogue_effects {

    /// Read the stream `catalogue` from this offset on; wait for records when there are none yet.
    struct read_log {
        std::uint64_t from = 0;

        bool operator==(const read_log&) const = default;
    };

    /// Read all retained records of the stream `catalogue-snapshots`.
    struct read_snapshots {
        bool operator==(const read_snapshots&) const = default;
    };

    /// Ask any peer for its records from this offset on, or for a snapshot that covers more.
    struct ask_peer {
        std::uint64_t from = 0;

        bool operator==(const ask_peer&) const = default;
    };

    /// Append this text to the stream `catalogue-snapshots`. The reply is not needed.
    struct write_snapshot {
        std::uint64_t covered = 0;
        std::string text;

        bool operator==(const write_snapshot&) const = default;
    };

    /// The entry of this name was put or deleted.
    struct entry_changed {
        std::string name;

        bool operator==(const entry_changed&) const = default;
    };

}

using catalogue_effect = std::variant<catalogue_effects::read_log, catalogue_effects::read_snapshots,
    catalogue_effects::ask_peer, catalogue_effects::write_snapshot, catalogue_effects::entry_changed>;

/// Keeps a catalogue_table up to date from the log, from snapshots and from peers.
///
/// A new reader loads the snapshots first, then follows the log. While the log cannot be reached, it asks peers.
/// When the log no longer holds the next record, or its answer skips records, the reader looks for a snapshot or a
/// peer that covers more; if it finds none within \c gapTimeout, it continues from the first retained record and
/// counts the gap. The position never moves back. At most one read of the log is in flight.
class catalogue_reader {
public:
    static constexpr duration retryPeriod = std::chrono::milliseconds(500);
    /// Time-out after which a read without an answer is repeated; longer than the log holds a read open.
    static constexpr duration readTimeout = std::chrono::seconds(5);
    /// Time to look for snapshots and peers that cover a gap before it is skipped.
    static constexpr duration gapTimeout = std::chrono::seconds(10);
    /// Number of new records after which a snapshot is written.
    static constexpr std::uint64_t snapshotRecords = 64;
    /// Time after which a snapshot is written even without new records, so that the retention of the log keeps one.
    static constexpr duration snapshotPeriod = std::chrono::minutes(10);

    /// Processes \a event and returns the effects that the caller is to carry out.
    std::vector<catalogue_effect> handle(const catalogue_event& event, instant now);

    const catalogue_table& table() const { return m_table; }

    /// Whether the catalogue may be served: a snapshot of the log or of a peer was restored, or a read reached the end of
    /// the log.
    bool isReady() const { return m_isReady; }

    /// Whether the last read of the log or of the snapshots failed.
    bool isLogDown() const { return m_isLogDown; }

    /// Sets whether this daemon writes snapshots. Several writers do no harm but waste appends.
    void setWriter(bool isWriter) { m_isWriter = isWriter; }

    /// Snapshot for a peer whose position is \a from; none when this reader has not applied more records.
    std::optional<std::string> snapshotFor(std::uint64_t from) const;

private:
    struct event_handler;

    enum class phase {
        /// Snapshots are being read.
        LoadingSnapshots,
        /// The log is being read from the position.
        Following,
        /// The log no longer holds the record at the position: a snapshot or the records of a peer are needed.
        RecoveringGap,
    };

    void handleRecords(const catalogue_events::log_records_received& event);
    void handleTruncated(const catalogue_events::log_truncated& event);
    void handleUnavailable();
    void handleSnapshots(const catalogue_events::snapshots_received& event);
    void handlePeerRecords(const catalogue_events::peer_records_received& event);
    void handleTick();

    /// Returns false when records before \a record are missing.
    bool apply(const log_record& record);
    /// Notes that the log has answered the read in flight.
    void finishRead();
    /// Emits entry_changed for the entries whose revision differs from that in \a before.
    void emitEntryChanges(const std::map<std::string, std::uint64_t>& before);
    void startGapRecovery(std::uint64_t firstRetained);
    void endGapRecoveryIfCovered();
    void skipGapIfOverdue();
    void follow();
    void read();
    void writeSnapshotIfDue();
    template <typename Effect>
    void emit(Effect effect) { m_effects.emplace_back(std::move(effect)); }

    catalogue_table m_table;
    phase m_phase = phase::LoadingSnapshots;
    bool m_isStarted = false;
    bool m_isReady = false;
    bool m_isLogDown = false;
    bool m_isWriter = false;
    bool m_isReading = false;
    /// Whether the snapshots were read since the recovery of the gap started.
    bool m_hasReadSnapshots = false;
    /// First offset that the log still holds, as reported with the gap. The recovery ends when the position reaches it.
    std::uint64_t m_firstRetained = 0;
    /// Position of the latest snapshot that was restored or written here.
    std::uint64_t m_snapshotCovered = 0;
    instant m_now;
    instant m_readSince;
    instant m_retryAt;
    instant m_gapSince;
    /// Time of the next periodic snapshot.
    instant m_snapshotAt;
    std::vector<catalogue_effect> m_effects;
};

}
