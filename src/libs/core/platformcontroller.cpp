#include "platformcontroller.h"

#include "daemoncontext.h"

#include <algorithm>

namespace ragwortreach::Internal {

namespace {

    constexpr duration listPeriod = std::chrono::milliseconds(1000);
    constexpr duration engineStatePeriod = std::chrono::milliseconds(500);
    /// Engine states are read one at a time; this bounds the traffic of a daemon that knows many replicas.
    constexpr duration minEngineReadPeriod = std::chrono::milliseconds(125);

    /// \a period shortened by a random part of up to a quarter, so that daemons do not read at the same time.
    duration jittered(duration period, std::uint64_t draw)
    {
        return period - duration(static_cast<duration::rep>(draw % static_cast<std::uint64_t>(period.count() / 4)));
    }

    vm_list_entry membershipEntry(const listed_vm& vm)
    {
        vm_list_entry entry;
        entry.vm = vm.vm;
        entry.incarnation = vm.incarnation;
        entry.dataCentre = vm.dataCentre;
        entry.region = vm.region;
        entry.addresses = { vm.gossip, vm.peer, vm.admin, vm.address };
        entry.leaving = vm.isLeaving;
        return entry;
    }

    vm_list_received membershipList(const vm_list& list)
    {
        vm_list_received event;
        event.revision = list.revision;
        for (const listed_vm& vm : list.vms) {
            if (vm.role == vm_role::Entry)
                event.entries.push_back(membershipEntry(vm));
        }
        return event;
    }

    event_kind eventKind(const member_changed& change)
    {
        switch (change.state) {
        case member_state::Alive:
            return event_kind::MemberJoined;
        case member_state::Suspect:
            return event_kind::MemberSuspected;
        case member_state::Leaving:
            return event_kind::MemberLeaving;
        case member_state::Failed:
            return event_kind::MemberGone;
        }
        return event_kind::MemberGone;
    }

}

platform_controller::platform_controller(daemon_context& context)
    : m_context(context)
{
}

void platform_controller::tick()
{
    readList();
    readEngines();
    announceLocalState();
    m_context.upstreams.tick(m_context.now);
    runMembership(membership_tick {});
}

void platform_controller::readList()
{
    if (m_isReadingList || m_context.now < m_nextListRead)
        return;
    m_isReadingList = true;
    m_nextListRead = m_context.now + jittered(listPeriod, m_context.random());
    m_context.emit(read_vm_list {});
}

void platform_controller::handle(const vm_list_read& event)
{
    m_isReadingList = false;
    if (!event.list) {
        m_context.count(daemon_counter::VmListFailures);
        m_isListLost = true;
        return;
    }
    m_isListLost = false;
    m_hasList = true;
    if (m_context.upstreams.setList(*event.list))
        runMembership(membershipList(*event.list));
}

void platform_controller::handle(const message_received& event)
{
    runMembership(event);
}

void platform_controller::readEngines()
{
    if (m_context.now < m_nextEngineRead)
        return;
    const std::vector<std::string> vms = engineVms();
    if (vms.empty())
        return;
    const duration turn = engineStatePeriod / static_cast<duration::rep>(vms.size());
    m_nextEngineRead = m_context.now + jittered(std::max(turn, minEngineReadPeriod), m_context.random());
    const std::string& vm = vms[m_engineTurn++ % vms.size()];
    m_context.emit(read_engine_state { vm, m_context.upstreams.replica(vm)->listing.address });
}

std::vector<std::string> platform_controller::engineVms()
{
    std::vector<std::string> models;
    const std::vector<catalogue_entry_state> entries = m_context.catalogue.table().entries();
    for (const catalogue_entry_state& item : entries) {
        if (item.body.kind == entry_kind::Model)
            models.push_back(item.body.upstream);
    }
    std::sort(models.begin(), models.end());
    models.erase(std::unique(models.begin(), models.end()), models.end());
    std::vector<std::string> vms;
    for (const std::string& model : models) {
        const replica_router* const router = m_context.upstreams.router(model);
        const std::vector<replica_status> replicas = router ? router->replicas() : std::vector<replica_status>();
        for (const replica_status& status : replicas)
            vms.push_back(status.vm);
    }
    return vms;
}

void platform_controller::handle(const engine_state_read& event)
{
    m_context.upstreams.setEngineState(event.vm, event.state, m_context.now);
}

void platform_controller::announceLocalState()
{
    const std::uint64_t position = m_context.catalogue.table().position();
    if (position == m_announcedPosition && m_context.isDraining == m_announcedLeaving)
        return;
    m_announcedPosition = position;
    m_announcedLeaving = m_context.isDraining;
    runMembership(local_state_changed { m_context.isDraining, position, {} });
}

void platform_controller::runMembership(const membership_event& event)
{
    std::vector<membership_effect> effects = m_context.members.handle(event, m_context.now);
    const bool isViewChanged = std::any_of(effects.begin(), effects.end(),
        [](const membership_effect& effect) { return std::holds_alternative<member_changed>(effect); });
    if (isViewChanged)
        m_context.owners = owner_map(m_context.members);
    for (membership_effect& effect : effects) {
        if (send_message* const message = std::get_if<send_message>(&effect))
            m_context.emit(std::move(*message));
        else if (const member_changed* const change = std::get_if<member_changed>(&effect))
            addMemberEvent(*change);
    }
}

void platform_controller::addMemberEvent(const member_changed& change)
{
    if (change.previous == change.state)
        return;
    m_context.addTimelineEvent(eventKind(change), change.vm,
        "The member " + change.vm + " is now " + std::string(toString(change.state)) + ".");
}

}
