#pragma once

#include "batchledger.h"
#include "contentscache.h"
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

/// Effect: send the reward call of an item to a replica.
struct start_reward {
    reward_number call = 0;
    item_key key;
    std::string replica;
    std::string address;
    /// Time-out for the answer.
    duration timeout {};
    shared_text body {};
};
/// Effect: close the connection of a reward call.
struct cancel_reward {
    reward_number call = 0;
    std::string reason;
};
using reward_effect = std::variant<start_reward, cancel_reward>;

/// How one reward call ended.
enum class reward_end {
    /// The replica answered this call completely, with success and a signature.
    Scored,
    /// The replica answered with a failure.
    Failed,
    /// The replica answered with any other status; the call may succeed later.
    Rejected,
    /// The replica was full or draining, or another one has its address; the call did not run.
    NotRun,
    /// The answer was truncated, belongs to another request, or did not arrive in time.
    Interrupted,
    /// No connection; nothing was sent.
    Unreachable,
};
/// Name of \a end in log lines.
std::string_view toString(reward_end end);

/// How a reward call ended, with its signature.
struct reward_answer {
    reward_end end = reward_end::Interrupted;
    /// Signature of the replica; set with Scored only.
    std::string signature;
};

/// Final outcome of the reward of an item.
struct reward_outcome {
    item_key key;
    /// Empty when the reward was abandoned.
    std::optional<std::string> signature;
};

/// Totals since the start of the process.
struct reward_counters {
    std::uint64_t sent = 0;
    std::uint64_t scored = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t interrupted = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t cancelled = 0;
};

/// Gets the rewards of items whose text is complete.
///
/// The items of a batch end in bursts, and their reward calls share a few replicas of plain services with customers,
/// who have priority. So the slots of a service are divided into one equal share for each trained model and one for the
/// customers, and the open calls stay within the share of a model and within a limit that adapts to the latencies.
/// Items that complete a group of a batch whose trainer still waits go first.
///
/// Some calls may never get an answer, whoever is asked. So while first calls wait, calls that are repeated after a call
/// without success get a small part of a service: of the open calls or, where only few may be open, of the time.
class reward_scheduler {
public:
    /// \a contents: of the items; they are named between beginPass() and endPass() by schedule(), which calls neither.
    reward_scheduler(const batch_ledger& ledger, replica_pool& pool, const route_table& routes, contents_cache& contents);

    /// Adds an item whose text is complete.
    void add(const item_key& key, instant now);
    /// Removes an item whose reward this process no longer has to get, and cancels its open call.
    void remove(const item_key& key, std::string_view reason, instant now);
    /// Whether the item still waits for its reward.
    bool contains(const item_key& key) const { return m_pending.contains(key); }
    /// Items that have waited for their reward since before \a limit.
    std::vector<item_key> waitingSince(instant limit) const;
    std::vector<item_key> all() const { return waitingSince(instant::max()); }
    /// Sends the calls that may go out now and cancels those that are no longer needed.
    void schedule(instant now);
    /// Notes the end of a call. Returns the final outcome, or nothing when the call will be repeated or is unknown.
    std::optional<reward_outcome> onEnd(reward_number call, const reward_answer& answer, instant now);

    /// Returns the effects to carry out, in order, and clears them.
    std::vector<reward_effect> takeEffects();
    const reward_counters& counters() const { return m_counters; }
    /// Number of items without a reward, including those with an open call.
    std::size_t waiting() const { return m_pending.size(); }
    /// Number of open calls.
    std::size_t underWay() const { return m_calls.size(); }

private:
    struct pending_reward {
        instant since {};
        instant notBefore {};
        /// Number of failure answers; the reward is abandoned when they reach the attempt limit of the route.
        std::uint32_t failures = 0;
        /// Number of pauses so far; each doubles the next one, up to a limit.
        std::uint32_t pauses = 0;
        std::vector<std::string> excluded;
        reward_number call = 0;

        /// Whether a call has run without success.
        bool isRepeated() const { return pauses > 0; }
    };
    struct open_call {
        item_key key;
        std::string service;
        std::string replica;
        instant sentAt {};
        /// Number of open calls to the service when this one was sent, including this one.
        std::uint32_t inFlight = 0;
        bool isRepeated = false;
    };
    struct service_load {
        adaptive_limit limit;
        std::uint32_t inFlight = 0;
        /// Number of open calls that are repeated.
        std::uint32_t repeated = 0;
        /// Until then first calls go before repeated ones where only few calls may be open.
        instant firstCallsUntil {};
    };
    /// What the calls of one pass may take.
    enum class call_share {
        /// Repeated calls leave most of each service to first calls.
        Fair,
        /// All that is left.
        Rest,
    };
    using pending_map = std::map<item_key, pending_reward>;

    const reward_call& callOf(const item_key& key) const;
    /// Whether the body of the call is in memory.
    bool hasBody(const item_key& key);
    shared_text bodyOf(const item_key& key) const;
    const route* routeOf(const item_key& key) const;
    service_load& loadOf(const std::string& service);
    std::uint32_t slotsPerModel(std::string_view service) const;
    static bool hasRoom(const service_load& load, std::uint32_t slots, bool isRepeated, call_share share, instant now);
    void dropUnneeded(instant now);
    std::vector<pending_map::iterator> readyInOrder(instant now);
    void send(pending_map::iterator pending, call_share share, instant now);
    void close(reward_number call, replica_outcome outcome, instant now);
    void pause(pending_reward& pending, const open_call& ended, instant now);

    const batch_ledger& m_ledger;
    replica_pool& m_pool;
    const route_table& m_routes;
    contents_cache& m_contents;
    pending_map m_pending;
    std::map<reward_number, open_call> m_calls;
    std::map<std::string, service_load, std::less<>> m_loads;
    std::vector<reward_effect> m_effects;
    reward_number m_lastCall = 0;
    reward_counters m_counters;
};

}
