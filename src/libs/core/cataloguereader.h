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

    /// Answer to read_snapshots, or the snapshot of a peer: texts of encodeSnapshot(), maybe none.
    struct snapshots_received {
        std::vector<std::string> texts;
        bool isFromPeer = false;
    };

    /// Records that a peer read from the log before.
    struct peer_records_received {
        std::vector<log_record> records;
    };

    /// Time has passed.
    struct tick {
    };

}

using catalogue_event = std::variant<catalogue_events::log_records_received, catalogue_events::log_truncated,
    catalogue_events::log_unavailable, catalogue_events::snapshots_received, catalogue_events::peer_records_received,
    catalogue_events::tick>;

namespace catalogue_effects {

    /// Read the stream `catalogue` from this offset, waiting for records if there are none.
    struct read_log {
        std::uint64_t from = 0;

        bool operator==(const read_log&) const = default;
    };

    /// Read all retained records of the stream `catalogue-snapshots`.
    struct read_snapshots {
        bool operator==(const read_snapshots&) const = default;
    };

    /// Ask some peer for its records from this offset, or for a snapshot that covers more.
    struct ask_peer {
        std::uint64_t from = 0;

        bool operator==(const ask_peer&) const = default;
    };

    /// Append this text to the stream `catalogue-snapshots`. A reply that is lost does not matter.
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
/// A fresh reader asks for the snapshots first, then follows the log. While the log cannot be reached it asks
/// peers. When the log no longer holds the next record, or answers with a gap, it looks for a snapshot or a
/// peer that covers more; if none is found within \c gapPatience it goes on from the first record retained
/// and the gap is counted. The position never moves back. One read of the log is under way at any time.
class catalogue_reader {
public:
    static constexpr duration retryPeriod = std::chrono::milliseconds(500);
    /// A read whose answer is lost is repeated after this time; longer than the wait of a read.
    static constexpr duration readTimeout = std::chrono::seconds(5);
    static constexpr duration gapPatience = std::chrono::seconds(10);
    /// A snapshot is written after so many records, or after this time so that retention keeps one.
    static constexpr std::uint64_t snapshotRecords = 64;
    static constexpr duration snapshotPeriod = std::chrono::minutes(10);

    std::vector<catalogue_effect> handle(const catalogue_event& event, instant now);

    const catalogue_table& table() const { return m_table; }

    /// Whether the catalogue may be served: it came from a snapshot, a peer, or the end of the log.
    bool isReady() const { return m_isReady; }

    /// Whether the last read of the log or of the snapshots failed.
    bool isLogDown() const { return m_isLogDown; }

    /// Whether this daemon writes the snapshots. Several writers only waste appends.
    void setWriter(bool isWriter) { m_isWriter = isWriter; }

    /// Answer to a peer that asks for what follows \a from: a snapshot, none when this reader has no more.
    std::optional<std::string> snapshotFor(std::uint64_t from) const;

private:
    struct event_handler;

    enum class phase {
        /// Snapshots are being read.
        LoadingSnapshots,
        /// The log is being read from the position.
        Following,
        /// The log cannot continue at the position: a snapshot or a peer is needed.
        Bridging,
    };

    void handleRecords(const catalogue_events::log_records_received& event);
    void handleTruncated(const catalogue_events::log_truncated& event);
    void handleUnavailable();
    void handleSnapshots(const catalogue_events::snapshots_received& event);
    void handlePeerRecords(const catalogue_events::peer_records_received& event);
    void handleTick();

    bool apply(const log_record& record);
    void noteLogAnswer();
    void noteChanges(const std::map<std::string, std::uint64_t>& before);
    void startBridge(std::uint64_t firstRetained);
    void endBridgeIfReached();
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
    /// Whether the snapshots were read since bridging began.
    bool m_hasReadSnapshots = false;
    /// First offset that the log still holds, while bridging.
    std::uint64_t m_firstRetained = 0;
    std::uint64_t m_snapshotCovered = 0;
    instant m_now;
    instant m_readSince;
    instant m_retryAt;
    instant m_bridgeSince;
    instant m_snapshotAt;
    std::vector<catalogue_effect> m_effects;
};

}
