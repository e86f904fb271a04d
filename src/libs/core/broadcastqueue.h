#pragma once

#include "membertable.h"

#include <cstddef>

namespace ragwortreach::Internal {

/// Queue of member changes that are still to be sent, each a bounded number of times.
///
/// The first transmissions of a delta go out in pushes; its last transmissions and all values are piggybacked on
/// probes and their answers.
class broadcast_queue {
public:
    explicit broadcast_queue(std::size_t pushTransmissions);

    /// Queues the state of \a entry; transmissions of an earlier state stop.
    void addDelta(member_entry& entry);
    /// Queues the values of \a entry; transmissions of earlier values stop.
    void addValues(member_entry& entry);
    /// Whether deltas wait for a push.
    bool hasPush() const;
    /// Adds the deltas that wait for a push to \a message, as many as fit.
    void fillPush(gossip_message& message);
    /// Adds piggybacked deltas to \a message, and values if \a carriesValues, as many as fit.
    void fillProbe(gossip_message& message, bool carriesValues);

private:
    using delta_list = boost::intrusive::list<member_entry, boost::intrusive::base_hook<queue_hook<delta_queue_tag>>,
        boost::intrusive::constant_time_size<false>>;
    using values_list = boost::intrusive::list<member_entry, boost::intrusive::base_hook<queue_hook<values_queue_tag>>,
        boost::intrusive::constant_time_size<false>>;

    /// Moves deltas that fit into \a room bytes to \a message. Returns the bytes left.
    std::size_t takeDeltas(delta_list& deltas, gossip_message& message, std::size_t room);

    std::size_t m_pushTransmissions;
    /// Deltas that still wait for pushes.
    delta_list m_pushed;
    /// Deltas that are only piggybacked on probes.
    delta_list m_piggybacked;
    values_list m_values;
};

}
