#include "timeline.h"

#include <core/daemoneffect.h>
#include <support/log.h>
#include <support/logline.h>

#include <nlohmann/json.hpp>

#include <chrono>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::size_t ringCapacity = 16384;
    constexpr std::size_t maxEventsPerAnswer = 4096;

    std::uint64_t wallMilliseconds()
    {
        const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

    /// Whether events of \a kind change a state and are therefore also written to the log. Events of single requests, samples
    /// and weight load orders are not.
    bool isStateChange(event_kind kind)
    {
        switch (kind) {
        case event_kind::BatchOpened:
        case event_kind::BatchOwnerChanged:
        case event_kind::BatchClosed:
        case event_kind::BatchCancelled:
        case event_kind::EditAccepted:
        case event_kind::EditRejected:
        case event_kind::EditApplied:
        case event_kind::SnapshotWritten:
        case event_kind::SnapshotLoaded:
        case event_kind::LogLost:
        case event_kind::LogRestored:
        case event_kind::MemberJoined:
        case event_kind::MemberSuspected:
        case event_kind::MemberLeaving:
        case event_kind::MemberGone:
        case event_kind::LimitChanged:
        case event_kind::CapacityChanged:
        case event_kind::HolderChanged:
        case event_kind::WeightsLoaded:
        case event_kind::DaemonStarted:
        case event_kind::DrainStarted:
        case event_kind::DrainEnded:
            return true;
        case event_kind::RequestReceived:
        case event_kind::RequestQueued:
        case event_kind::RequestRefused:
        case event_kind::RequestAnswered:
        case event_kind::RequestFailed:
        case event_kind::RequestCancelled:
        case event_kind::AttemptStarted:
        case event_kind::AttemptEnded:
        case event_kind::AttemptHedged:
        case event_kind::KeyClaimed:
        case event_kind::SampleStarted:
        case event_kind::SampleFinished:
        case event_kind::SampleDiscarded:
        case event_kind::SampleResumed:
        case event_kind::SamplesDelivered:
        case event_kind::EditSubmitted:
        case event_kind::OrderSent:
        case event_kind::OrderRefused:
        case event_kind::WeightsRejected:
            return false;
        }
        return false;
    }

    json eventJson(const std::string& vm, const timeline_event& event)
    {
        return { { "time", std::to_string(event.time.packed) }, { "wall_ms", event.time.wallMilliseconds() },
            { "logical", event.time.logical() }, { "vm", vm }, { "kind", toString(event.kind) }, { "subject", event.subject },
            { "code", static_cast<int>(event.code) }, { "detail", event.detail } };
    }

}

timeline::timeline(std::string vm, log& log)
    : m_vm(std::move(vm))
    , m_log(log)
    , m_ring(ringCapacity)
{
}

void timeline::add(const add_timeline_event& event)
{
    m_ring.add({ m_clock.next(wallMilliseconds()), event.kind, event.subject, event.code, event.detail });
    if (!isStateChange(event.kind))
        return;
    log_line line(log_level::Info, toString(event.kind));
    line.with("subject", event.subject).with("code", static_cast<int>(event.code)).with("detail", event.detail);
    m_log.write(line);
}

std::uint64_t timeline::stamp()
{
    return m_clock.next(wallMilliseconds()).packed;
}

void timeline::observe(std::uint64_t packed)
{
    if (packed != 0)
        m_clock.receive({ packed }, wallMilliseconds());
}

std::string timeline::query(std::string_view subject, hybrid_time since) const
{
    json events = json::array();
    const std::vector<timeline_event> found = m_ring.query(subject, since, maxEventsPerAnswer);
    for (const timeline_event& event : found)
        events.push_back(eventJson(m_vm, event));
    return json { { "vm", m_vm }, { "events", std::move(events) }, { "overwritten", m_ring.overwritten() } }
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

}
