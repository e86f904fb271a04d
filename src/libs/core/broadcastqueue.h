#pragma once

#include "membertable.h"

#include <cstddef>

namespace ragwortreach::Internal {

/// Changes that are still to be spread, each a bounded number of times.
///
/// Pushes take a delta first; the last transmissions of each delta and all of the values ride on probes.
class broadcast_queue {
public:
    explicit broadcast_queue(std::size_t pushTransmissions);

    /// Spreads the state of \a entry from now on.
    void addDelta(member_entry& entry);
    /// Spreads the values of \a entry from now on.
    void addValues(member_entry& entry);
    /// True when a push has something to carry.
    bool hasPush() const;
    /// Fills \a message with deltas that wait for a push.
    void fillPush(gossip_message& message);
    /// Fills \a message with deltas, and with values if \a carriesValues, that ride along.
    void fillProbe(gossip_message& message, bool carriesValues);

private:
    using delta_list = boost::intrusive::list<member_entry, boost::intrusive::base_hook<queue_hook<delta_queue_tag>>,
        boost::intrusive::constant_time_size<false>>;
    using values_list = boost::intrusive::list<member_entry, boost::intrusive::base_hook<queue_hook<values_queue_tag>>,
        boost::intrusive::constant_time_size<false>>;

    std::size_t takeDeltas(delta_list& deltas, gossip_message& message, std::size_t room);

    std::size_t m_pushTransmissions;
    /// Deltas that still go into pushes.
    delta_list m_pushed;
    /// Deltas that only ride on probes.
    delta_list m_riding;
    values_list m_values;
};

}
