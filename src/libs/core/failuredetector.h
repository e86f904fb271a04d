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

/// Periods and time-outs of probes; see membership_settings.
struct probe_times {
    duration period {};
    duration directTimeout {};
    duration probeTimeout {};
};

/// Member to probe; \c isRandom is false for the successor on the ring.
struct probe_target {
    const member_entry* entry = nullptr;
    bool isRandom = false;
};

/// Probe that has neither been answered nor failed yet.
struct probe {
    std::uint64_t sequence = 0;
    std::string vm;
    member_instance instance;
    instant startedAt;
    bool isIndirect = false;
};

/// Indirect probe that this daemon makes for another one.
struct relayed_probe {
    std::uint64_t sequence = 0;
    std::string requesterAddress;
    std::uint64_t requesterSequence = 0;
    instant startedAt;
};

/// Selects the members to probe and tracks the probes under way.
///
/// Probes go alternately to the successor of this daemon on the ring of hashes, so that each member is probed once
/// in two periods, and to all members in random order. Each failed probe allows two further ones at once, so that
/// the loss of many members is detected early.
class failure_detector {
public:
    failure_detector(std::string_view localVm, probe_times times, std::uint64_t seed);

    /// Member to probe now, or nothing when no probe is to be sent. The caller then calls begin().
    std::optional<probe_target> next(const member_table& table, instant now);
    /// Starts a probe and returns its sequence number.
    std::uint64_t begin(const member_entry& target, instant now);
    /// Starts a probe for the daemon at \a requesterAddress and returns its sequence number.
    std::uint64_t relay(std::string requesterAddress, std::uint64_t requesterSequence, instant now);
    /// Ends the probe \a sequence, which \a vm answered. Returns the probe when it was made for another daemon.
    std::optional<relayed_probe> acknowledge(std::uint64_t sequence, std::string_view vm);
    /// Probes without a direct answer in time, to be tried through other members; each is returned once.
    std::vector<probe> takeUnanswered(instant now);
    /// Probes without any answer in time; each is returned once.
    std::vector<probe> takeFailed(instant now);
    /// Drops all probes under way.
    void reset();

private:
    const member_entry* ringSuccessor(const member_table& table) const;
    const member_entry* randomMember(const member_table& table);
    bool isBeingProbed(const member_entry& entry) const;

    std::uint64_t m_localHash;
    probe_times m_times;
    std::mt19937_64 m_random;
    std::uint64_t m_lastSequence = 0;
    std::optional<instant> m_nextProbe;
    bool m_isRingTurn = false;
    std::size_t m_extraProbes = 0;
    std::vector<const member_entry*> m_randomOrder;
    std::uint64_t m_randomOrderErasures = 0;
    std::vector<probe> m_probes;
    std::vector<relayed_probe> m_relayed;
};

}
