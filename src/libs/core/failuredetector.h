#pragma once

#include "instant.h"
#include "member.h"
#include "membertable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach::Internal {

/// Times of a probe.
struct probe_times {
    duration period {};
    duration directTimeout {};
    duration probeTimeout {};
};

/// Member to probe.
struct probe_target {
    const member_entry* entry = nullptr;
    bool isRandom = false;
};

/// Probe under way.
struct probe {
    std::uint64_t sequence = 0;
    std::string vm;
    member_instance life;
    instant startedAt;
    bool isIndirect = false;
};

/// Probe that this daemon makes for another one.
struct relayed_probe {
    std::uint64_t sequence = 0;
    std::string requesterAddress;
    std::uint64_t requesterSequence = 0;
    instant startedAt;
};

/// Chooses the members to probe and keeps the probes under way.
///
/// Probes go in turn to the successor of this daemon on the ring of hashes, so that each member is probed once
/// in two periods, and to the members in a random order. Each probe that failed allows two more at once, so
/// that the loss of many members is noticed soon.
class failure_detector {
public:
    failure_detector(std::string_view localVm, probe_times times, std::uint64_t seed);

    /// Member to probe now; empty when none is due. The caller then calls begin().
    std::optional<probe_target> next(const member_table& table, instant now);
    /// Begins a probe and returns its sequence number.
    std::uint64_t begin(const member_entry& target, instant now);
    /// Begins a probe for the daemon at \a requesterAddress and returns its sequence number.
    std::uint64_t relay(std::string requesterAddress, std::uint64_t requesterSequence, instant now);
    /// Ends the probe that \a vm answered. Returns the relayed probe when it was one for another daemon.
    std::optional<relayed_probe> acknowledge(std::uint64_t sequence, std::string_view vm);
    /// Probes that now go through other members; each is returned once.
    std::vector<probe> takeUnanswered(instant now);
    /// Probes that failed; each is returned once.
    std::vector<probe> takeFailed(instant now);
    /// Drops all probes under way.
    void reset();

private:
    const member_entry* ringSuccessor(const member_table& table) const;
    const member_entry* randomMember(const member_table& table);
    bool isUnderWay(const member_entry& entry) const;

    std::uint64_t m_localHash;
    probe_times m_times;
    std::mt19937_64 m_random;
    std::uint64_t m_lastSequence = 0;
    std::optional<instant> m_nextProbe;
    bool m_isRingTurn = false;
    std::size_t m_extraProbes = 0;
    std::vector<const member_entry*> m_order;
    std::uint64_t m_orderErasures = 0;
    std::vector<probe> m_probes;
    std::vector<relayed_probe> m_relayed;
};

}
