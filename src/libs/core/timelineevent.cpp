#include "timelineevent.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace ragwortreach {

namespace {

    constexpr std::array eventKindTable {
        event_kind_info { event_kind::RequestReceived, "request_received" },
        event_kind_info { event_kind::RequestQueued, "request_queued" },
        event_kind_info { event_kind::RequestRefused, "request_refused" },
        event_kind_info { event_kind::RequestAnswered, "request_answered" },
        event_kind_info { event_kind::RequestFailed, "request_failed" },
        event_kind_info { event_kind::RequestCancelled, "request_cancelled" },
        event_kind_info { event_kind::AttemptStarted, "attempt_started" },
        event_kind_info { event_kind::AttemptEnded, "attempt_ended" },
        event_kind_info { event_kind::AttemptHedged, "attempt_hedged" },
        event_kind_info { event_kind::KeyClaimed, "key_claimed" },
        event_kind_info { event_kind::BatchOpened, "batch_opened" },
        event_kind_info { event_kind::BatchOwnerChanged, "batch_owner_changed" },
        event_kind_info { event_kind::BatchClosed, "batch_closed" },
        event_kind_info { event_kind::BatchCancelled, "batch_cancelled" },
        event_kind_info { event_kind::SampleStarted, "sample_started" },
        event_kind_info { event_kind::SampleFinished, "sample_finished" },
        event_kind_info { event_kind::SampleDiscarded, "sample_discarded" },
        event_kind_info { event_kind::SampleResumed, "sample_resumed" },
        event_kind_info { event_kind::SamplesDelivered, "samples_delivered" },
        event_kind_info { event_kind::EditSubmitted, "edit_submitted" },
        event_kind_info { event_kind::EditAccepted, "edit_accepted" },
        event_kind_info { event_kind::EditRejected, "edit_rejected" },
        event_kind_info { event_kind::EditApplied, "edit_applied" },
        event_kind_info { event_kind::SnapshotWritten, "snapshot_written" },
        event_kind_info { event_kind::SnapshotLoaded, "snapshot_loaded" },
        event_kind_info { event_kind::LogLost, "log_lost" },
        event_kind_info { event_kind::LogRestored, "log_restored" },
        event_kind_info { event_kind::MemberJoined, "member_joined" },
        event_kind_info { event_kind::MemberSuspected, "member_suspected" },
        event_kind_info { event_kind::MemberLeaving, "member_leaving" },
        event_kind_info { event_kind::MemberGone, "member_gone" },
        event_kind_info { event_kind::LimitChanged, "limit_changed" },
        event_kind_info { event_kind::CapacityChanged, "capacity_changed" },
        event_kind_info { event_kind::HolderChanged, "holder_changed" },
        event_kind_info { event_kind::OrderSent, "order_sent" },
        event_kind_info { event_kind::OrderRefused, "order_refused" },
        event_kind_info { event_kind::WeightsLoaded, "weights_loaded" },
        event_kind_info { event_kind::WeightsRejected, "weights_rejected" },
        event_kind_info { event_kind::DaemonStarted, "daemon_started" },
        event_kind_info { event_kind::DrainStarted, "drain_started" },
        event_kind_info { event_kind::DrainEnded, "drain_ended" },
    };

    // toString() uses the value of the constant as the index of its row.
    constexpr bool isTableInOrder()
    {
        for (std::size_t i = 0; i < eventKindTable.size(); ++i) {
            if (static_cast<std::size_t>(eventKindTable[i].kind) != i)
                return false;
        }
        return true;
    }
    static_assert(isTableInOrder());
    static_assert(eventKindTable.size() == static_cast<std::size_t>(event_kind::DrainEnded) + 1);

}

std::span<const event_kind_info> eventKinds()
{
    return eventKindTable;
}

std::string_view toString(event_kind kind)
{
    return eventKindTable.at(static_cast<std::size_t>(kind)).name;
}

std::optional<event_kind> eventKindFromName(std::string_view name)
{
    const auto it = std::find_if(eventKindTable.begin(), eventKindTable.end(),
        [name](const event_kind_info& info) { return info.name == name; });
    if (it == eventKindTable.end())
        return std::nullopt;
    return it->kind;
}

}
