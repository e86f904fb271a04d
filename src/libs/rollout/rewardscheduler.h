#pragma once

#include "batchledger.h"
#include "itemkey.h"
#include "replicapool.h"
#include "routetable.h"

#include <core/adaptivelimit.h>
#include <core/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

using reward_number = std::uint64_t;

/// Send the reward call of an item to a replica.
struct start_reward {
    reward_number call = 0;
    item_key key;
    std::string replica;
    std::string address;
    /// Time that the replica has for the answer.
    duration timeout {};
};
/// Close the connection of a reward call.
struct cancel_reward {
    reward_number call = 0;
    std::string reason;
};
using reward_effect = std::variant<start_reward, cancel_reward>;

/// How one reward call ended.
enum class reward_end {
    /// A whole answer of the replica to this call, with success and a signature.
    Scored,
    /// The replica failed on the call.
    Failed,
    /// The replica answered with another status; the call may succeed later.
    Rejected,
    /// The replica was full, is leaving, or another one has its address; it did not run the call.
    NotRun,
    /// The answer broke, belongs to another request, or did not come in time.
    Interrupted,
    /// No connection; nothing was sent.
    Unreachable,
};
/// Name of \a end in log lines.
std::string_view toString(reward_end end);

/// End of a reward call.
struct reward_answer {
    reward_end end = reward_end::Interrupted;
    /// Signature of the replica; with Scored only.
    std::string signature;
};

/// Final outcome of the reward of an item.
struct reward_outcome {
    item_key key;
    /// Empty when the reward was given up.
    std::optional<std::string> signature;
};

/// Sums since the start of the process.
struct reward_counters {
    std::uint64_t sent = 0;
    std::uint64_t scored = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t broken = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t cancelled = 0;
};

/// Gets the rewards of items whose text is whole.
///
/// Load pattern: the items of a batch end in bursts, and their reward calls share a few plain replicas with
/// customers, who come first. So the calls under way stay within a part of the slots, one part for each model that is
/// trained and one for the customers, and within what the latencies of the replicas show to be free. Items that
/// complete a group of a batch whose trainer still waits go first.
class reward_scheduler {
public:
    reward_scheduler(const batch_ledger& ledger, replica_pool& pool, const route_table& routes);

    /// The text of the item is whole.
    void add(const item_key& key, instant now);
    /// The reward is no longer wanted here.
    void remove(const item_key& key, std::string_view reason, instant now);
    bool contains(const item_key& key) const { return m_pending.contains(key); }
    /// Items that wait for their reward since before \a limit.
    std::vector<item_key> waitingSince(instant limit) const;
    std::vector<item_key> all() const { return waitingSince(instant::max()); }
    /// Sends and cancels what is due.
    void schedule(instant now);
    /// Empty while the reward is to be asked for again.
    std::optional<reward_outcome> onEnd(reward_number call, const reward_answer& answer, instant now);

    std::vector<reward_effect> takeEffects();
    const reward_counters& counters() const { return m_counters; }
    std::size_t waiting() const { return m_pending.size(); }
    std::size_t underWay() const { return m_calls.size(); }

private:
    struct pending_reward {
        instant since {};
        instant notBefore {};
        /// Answers of failure, which count towards giving up.
        std::uint32_t failures = 0;
        /// Ends of any other kind in a row, which make the pauses longer.
        std::uint32_t setbacks = 0;
        std::vector<std::string> excluded;
        reward_number call = 0;
    };
    struct open_call {
        item_key key;
        std::string service;
        std::string replica;
        instant sentAt {};
        /// Calls under way at the service when this one was sent.
        std::uint32_t inFlight = 0;
    };
    struct service_load {
        adaptive_limit limit;
        std::uint32_t inFlight = 0;
    };
    using pending_map = std::map<item_key, pending_reward>;

    const reward_call& callOf(const item_key& key) const;
    const route* routeOf(const item_key& key) const;
    service_load& loadOf(const std::string& service);
    std::uint32_t slotPart(std::string_view service) const;
    void dropUnneeded(instant now);
    std::vector<pending_map::iterator> dueInOrder(instant now);
    void send(pending_map::iterator pending, instant now);
    void close(reward_number call, replica_outcome outcome, instant now);
    void pause(pending_reward& pending, instant now) const;

    const batch_ledger& m_ledger;
    replica_pool& m_pool;
    const route_table& m_routes;
    pending_map m_pending;
    std::map<reward_number, open_call> m_calls;
    std::map<std::string, service_load, std::less<>> m_loads;
    std::vector<reward_effect> m_effects;
    reward_number m_lastCall = 0;
    reward_counters m_counters;
};

}
