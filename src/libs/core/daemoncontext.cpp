#include "daemoncontext.h"

namespace ragwortreach::Internal {

namespace {

    /// Numbers assigned here start above those that the transport layer assigns to incoming requests.
    constexpr std::uint64_t firstInternalNumber = std::uint64_t { 1 } << 48U;

    membership_settings membershipSettings(const daemon_identity& identity)
    {
        membership_settings settings;
        settings.local = identity.local;
        settings.seed = identity.seed;
        return settings;
    }

}

daemon_context::daemon_context(const daemon_identity& identity)
    : members(membershipSettings(identity))
    , owners(members)
    , upstreams(identity.local.vm, identity.local.region, identity.seed)
    , m_identity(identity)
    , m_lastNumber(firstInternalNumber)
    , m_randomState(identity.seed)
{
}

void daemon_context::addTimelineEvent(event_kind kind, std::string_view subject, std::string detail, result_code code)
{
    emit(add_timeline_event { kind, std::string(subject), code, std::move(detail) });
}

std::string daemon_context::nextRecordId()
{
    ++m_lastRecord;
    return vm() + '-' + std::to_string(m_identity.local.instance.startMilliseconds) + '-' + std::to_string(m_lastRecord);
}

std::uint64_t daemon_context::random()
{
    // splitmix64
    m_randomState += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_randomState;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

}
