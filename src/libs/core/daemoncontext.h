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

/// Who a daemon is and what its random draws start from.
struct daemon_identity {
    /// This daemon as a member; the run of its life is the start of the process in milliseconds since 1970.
    member local;
    std::uint64_t seed = 1;
};

namespace Internal {

    /// What the controllers of one daemon share.
    class daemon_context {
    public:
        explicit daemon_context(const daemon_identity& identity);

        void emit(daemon_effect effect) { m_effects.push_back(std::move(effect)); }
        void addTimelineEvent(event_kind kind, std::string_view subject, std::string detail, result_code code = result_code::Ok);
        void count(daemon_counter counter, std::uint64_t amount = 1) { m_counters.add(counter, amount); }
        daemon_effects takeEffects() { return std::exchange(m_effects, {}); }

        /// Number that no other request, append, stream or score of this process has.
        std::uint64_t nextNumber() { return ++m_lastNumber; }
        /// Id that no other record of the log has.
        std::string nextRecordId();
        /// Draw from the seeded generator.
        std::uint64_t random();

        const daemon_identity& identity() const { return m_identity; }
        const std::string& vm() const { return m_identity.local.vm; }
        const daemon_counters& counters() const { return m_counters; }

        membership members;
        /// Owners by the present view; rebuilt when a member changes.
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
