#pragma once

#include "daemonevent.h"

#include <string>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Reads the VM list and the states of the engines, and runs the membership view.
class platform_controller {
public:
    explicit platform_controller(daemon_context& context);

    void tick();
    void handle(const vm_list_read& event);
    void handle(const message_received& event);
    void handle(const engine_state_read& event);
    /// Publishes by gossip whether this daemon is leaving and its catalogue position, when one of them changed.
    void announceLocalState();
    /// Whether the VM list was read at least once.
    bool isReady() const { return m_hasList; }

private:
    void readList();
    /// Reads the state of the next engine, round robin.
    void readEngines();
    /// VMs of all replicas of the models in the catalogue.
    std::vector<std::string> engineVms();
    void runMembership(const membership_event& event);
    void addMemberEvent(const member_changed& change);

    daemon_context& m_context;
    instant m_nextListRead {};
    instant m_nextEngineRead {};
    std::size_t m_engineTurn = 0;
    bool m_isReadingList = false;
    bool m_isListLost = false;
    bool m_hasList = false;
    bool m_announcedLeaving = false;
    std::uint64_t m_announcedPosition = 0;
};

}
