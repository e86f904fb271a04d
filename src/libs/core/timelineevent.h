#pragma once

#include "hybridtime.h"
#include "resultcode.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Kind of an event of the time line.
enum class event_kind {
    RequestReceived,
    RequestQueued,
    RequestRefused,
    RequestAnswered,
    RequestFailed,
    RequestCancelled,
    AttemptStarted,
    AttemptEnded,
    AttemptHedged,
    /// An idempotency key was claimed in the log.
    KeyClaimed,
    BatchOpened,
    BatchOwnerChanged,
    BatchClosed,
    BatchCancelled,
    SampleStarted,
    SampleFinished,
    SampleDiscarded,
    SampleResumed,
    SamplesDelivered,
    EditSubmitted,
    EditAccepted,
    EditRejected,
    EditApplied,
    SnapshotWritten,
    SnapshotLoaded,
    /// The log of the platform became unreachable.
    LogLost,
    LogRestored,
    MemberJoined,
    MemberSuspected,
    MemberLeaving,
    /// The member is considered failed.
    MemberGone,
    LimitChanged,
    CapacityChanged,
    /// This daemon acquired or lost the lease on the weight roll-outs of a model.
    HolderChanged,
    /// A replica was ordered to load weights.
    OrderSent,
    OrderRefused,
    WeightsLoaded,
    WeightsRejected,
    DaemonStarted,
    DrainStarted,
    DrainEnded,
};

/// Event kind with its name.
struct event_kind_info {
    event_kind kind;
    std::string_view name;
};

/// All event kinds with their names, in the order of the enumeration.
std::span<const event_kind_info> eventKinds();

/// Name of \a kind in lower case with underscores, as the time line shows it.
std::string_view toString(event_kind kind);

/// Event kind with the name \a name; empty when there is none.
std::optional<event_kind> eventKindFromName(std::string_view name);

/// Event of the time line of one process.
struct timeline_event {
    hybrid_time time;
    event_kind kind = event_kind::DaemonStarted;
    /// Id of the request, batch, edit, order, upstream or VM that the event is about.
    std::string subject;
    result_code code = result_code::Ok;
    /// Description for operators, a complete sentence.
    std::string detail;

    bool operator==(const timeline_event&) const = default;
};

}
