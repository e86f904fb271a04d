#pragma once

#include "limittable.h"
#include "permitkeeper.h"
#include "permitmessage.h"

#include <core/ownermap.h>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

using permit_number = std::uint64_t;

/// Effect: send \c message to the daemon on \c vm.
struct send_permit_message {
    std::string vm;
    permit_message message;
};

/// Effect: the request may be sent to \c replica after \c wait.
struct permit_granted {
    permit_number number = 0;
    std::string replica;
    duration wait {};
};

/// Effect: no replica takes the request in time. The next turn that is free comes after \c wait.
struct permit_denied {
    permit_number number = 0;
    duration wait {};
};

using permit_effect = std::variant<send_permit_message, permit_granted, permit_denied>;

/// Totals since the start of the process.
struct permit_counters {
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
    /// Messages to keepers that were not answered in time.
    std::uint64_t unanswered = 0;
    /// Permits that this daemon gave out as a keeper.
    std::uint64_t given = 0;
};

/// Gets permits for requests to limited replicas, and gives them out for the replicas that this daemon keeps.
///
/// A limit holds for all daemons together. One daemon is the keeper of a replica, by rendezvous hashing over the daemons
/// that are alive in its data centre, and gives out all permits for it. So a daemon that is cut off from the keeper is most
/// likely cut off from the replica, too. When daemons of the data centre disappear, the keepers that are left give out the
/// share of the daemons that they see, since those out of sight may have a keeper of their own.
class permit_agent {
public:
    permit_agent(std::string vm, limit_table& limits);

    /// Position of a replica as far as this daemon knows.
    struct replica_sight {
        std::string dataCentre;
        /// Share that the daemons that are alive are of those that may send requests to the replica.
        double visibleShare = 1;
    };
    using sight_lookup = std::function<replica_sight(const replica_instance&)>;

    /// Sets the daemons that are alive.
    void setDaemons(const owner_map& daemons, sight_lookup sightOf);

    /// Asks for a permit to send a request to one of \a replicas, the best first. permit_granted or permit_denied follows.
    permit_number ask(std::vector<replica_instance> replicas, duration maxWait, instant now);
    /// Ends an ask whose request has ended.
    void cancel(permit_number number) { m_asks.erase(number); }
    void onMessage(std::string_view fromVm, const permit_message& message, instant now);
    void tick(instant now);

    /// Returns the effects to carry out, in order, and clears them.
    std::vector<permit_effect> takeEffects();
    const permit_counters& counters() const { return m_counters; }
    /// Returns the permits that this daemon gave out and denied as a keeper since the last call.
    std::vector<permit_use> takeUse() { return m_keeper.takeUse(); }

private:
    struct open_ask {
        std::vector<replica_instance> replicas;
        instant askedAt {};
        duration maxWait {};
        /// Replica and keeper of the message in flight.
        replica_instance replica;
        std::string keeper;
        std::uint64_t message = 0;
        instant sentAt {};
        std::uint32_t repeats = 0;
        bool isStandIn = false;
    };

    void askNext(permit_number number, instant now);
    bool askReplica(permit_number number, open_ask& ask, const replica_instance& replica, instant now);
    void send(open_ask& ask, instant now);
    void conclude(permit_number number, const permit_keeper::decision& decision, instant now);
    void onAsk(std::string_view fromVm, const permit_ask& message, instant now);
    void onReply(const permit_reply& message, instant now);
    permit_keeper::decision decideAsKeeper(const replica_instance& replica, duration maxWait, bool isStandIn, instant now);
    duration knownWait(const replica_instance& replica, instant now) const;

    std::string m_vm;
    limit_table& m_limits;
    permit_keeper m_keeper;
    owner_map m_daemons;
    sight_lookup m_sightOf = [](const replica_instance&) { return replica_sight {}; };
    std::map<permit_number, open_ask> m_asks;
    /// Numbers of the asks by the number of their message in flight.
    std::map<std::uint64_t, permit_number> m_messages;
    /// Next turns that keepers named when they denied a permit.
    std::map<replica_instance, instant> m_nextTurns;
    /// Keepers that did not answer, with the time until which others stand in for them.
    std::map<std::string, instant, std::less<>> m_silentKeepers;
    std::vector<permit_effect> m_effects;
    permit_number m_lastNumber = 0;
    std::uint64_t m_lastMessage = 0;
    permit_counters m_counters;
};

}
