#pragma once

#include "cataloguereader.h"
#include "daemoncounters.h"
#include "daemoneffect.h"
#include "instant.h"
#include "membership.h"
#include "ownermap.h"
#include "upstreamdirectory.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace ragwortreach {

/// Identity of a daemon and the seed of its random numbers.
struct daemon_identity {
    /// This daemon as a member; its instance holds the start of this process.
    member local;
    std::uint64_t seed = 1;
};

namespace Internal {

    /// State that the controllers of one daemon share, and the effects that they have requested.
    class daemon_context {
    public:
        explicit daemon_context(const daemon_identity& identity);

        /// Adds \a effect to those that daemon_core::handle() returns.
        void emit(daemon_effect effect) { m_effects.push_back(std::move(effect)); }
        void addTimelineEvent(event_kind kind, std::string_view subject, std::string detail, result_code code = result_code::Ok);
        void count(daemon_counter counter, std::uint64_t amount = 1) { m_counters.add(counter, amount); }
        /// Returns the effects since the last call.
        daemon_effects takeEffects() { return std::exchange(m_effects, {}); }

        /// Number that is unique among the requests, appends, streams and scores of this process.
        std::uint64_t nextNumber() { return ++m_lastNumber; }
        /// Id for a record, unique among all records of the log: the VM, the start of the process and a counter.
        std::string nextRecordId();
        /// Next number of the seeded generator.
        std::uint64_t random();

        const daemon_identity& identity() const { return m_identity; }
        const std::string& vm() const { return m_identity.local.vm; }
        const daemon_counters& counters() const { return m_counters; }

        membership members;
        /// Assignments by the current membership view; rebuilt when a member changes.
        owner_map owners;
        catalogue_reader catalogue;
        upstream_directory upstreams;
        instant now {};
        bool isDraining = false;

    private:
        daemon_identity m_identity;
        daemon_counters m_counters;
        daemon_effects m_effects;
        std::uint64_t m_lastNumber = 0;
        std::uint64_t m_lastRecord = 0;
        std::uint64_t m_randomState;
    };

}

}
