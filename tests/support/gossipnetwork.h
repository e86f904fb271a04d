#pragma once

#include <core/membership.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwortreach {

/// Size and faults of a gossip_network.
struct gossip_network_settings {
    std::size_t size = 12;
    std::size_t dataCentres = 3;
    std::uint64_t seed = 1;
    /// Chances out of a thousand for each message.
    unsigned lost = 0;
    unsigned duplicated = 0;
    duration latency = std::chrono::milliseconds(1);
    /// Data centres 0 to 2 are one region, the others another one.
    duration latencyBetweenRegions = std::chrono::milliseconds(20);
};

/// Membership views in one process, on virtual time, joined by a network that loses messages.
///
/// It knows the truth about each daemon, which the views are compared with.
class gossip_network {
public:
    using message_observer = std::function<void(std::size_t from, std::size_t to, const gossip_message& message)>;
    using change_observer = std::function<void(std::size_t node, const member_changed& change)>;

    /// All daemons start at random times within \a startSpan.
    explicit gossip_network(gossip_network_settings settings, duration startSpan = std::chrono::milliseconds(500));

    void run(duration time);
    /// Runs until agrees() holds, at most for \a limit. Returns the time that it took.
    std::optional<duration> runUntilAgreed(duration limit, duration step = std::chrono::milliseconds(100));
    /// True when the view of each running daemon says what the network knows.
    bool agrees() const;
    /// First difference between a view and the truth; empty when there is none.
    std::string difference() const;

    void kill(std::size_t node);
    /// Starts a new process, with the VM list in hand. A VM that was retired comes back as a new incarnation.
    void start(std::size_t node);
    /// The process stops soon; the VM list does not say so.
    void leave(std::size_t node);
    /// The VM list names the VM as leaving, for good for this incarnation, and the daemon reads the list.
    void retire(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    /// Only daemons of equal groups reach each other.
    void setGroup(std::size_t node, int group);
    /// Two daemons no longer reach each other; others reach both.
    void cutLink(std::size_t left, std::size_t right) { m_cutLink = std::pair(std::min(left, right), std::max(left, right)); }
    void heal();
    void setState(std::size_t node, std::uint64_t cataloguePosition, std::vector<owner_demand> demands = {});
    void sendList(std::size_t node, vm_list_received list);
    /// VM list that is right now, with a new revision.
    vm_list_received makeList();

    std::size_t size() const { return m_nodes.size(); }
    bool isRunning(std::size_t node) const { return m_nodes[node].view.has_value(); }
    bool isLeaving(std::size_t node) const { return m_nodes[node].isLeaving; }
    membership& view(std::size_t node) { return *m_nodes[node].view; }
    const membership& view(std::size_t node) const { return *m_nodes[node].view; }
    int group(std::size_t node) const { return m_nodes[node].group; }
    /// Index of the VM of this name.
    std::size_t find(std::string_view vm) const;
    const std::string& vm(std::size_t node) const { return m_nodes[node].vm; }
    const std::string& dataCentre(std::size_t node) const { return m_nodes[node].dataCentre; }
    instant now() const { return m_now; }
    void observeMessages(message_observer observer) { m_messageObserver = std::move(observer); }
    void observeChanges(change_observer observer) { m_changeObserver = std::move(observer); }

private:
    struct node {
        std::string vm;
        std::string dataCentre;
        std::string region;
        member_addresses addresses;
        std::optional<membership> view;
        member_instance life { 1, 0 };
        bool isLeaving = false;
        bool isRetired = false;
        bool isPaused = false;
        int group = 0;
        /// Messages that wait in the socket of a paused daemon.
        std::vector<message_received> inbox;
        local_state_changed state;
    };

    struct event {
        std::size_t node = 0;
        /// Run of the process that a tick belongs to.
        std::uint64_t run = 0;
        /// Empty for a tick.
        std::optional<message_received> message;
    };

    void handle(std::size_t index, const membership_event& event);
    void send(std::size_t from, const send_message& effect);
    void deliver(std::size_t to, message_received message);
    void tick(std::size_t index);
    duration latencyBetween(const node& from, const node& to);
    bool isExpectedAt(std::size_t observer, std::size_t subject) const;

    gossip_network_settings m_settings;
    std::mt19937_64 m_random;
    instant m_now = instant(std::chrono::hours(1));
    std::vector<node> m_nodes;
    std::map<std::string, std::size_t> m_byAddress;
    std::multimap<instant, event> m_events;
    std::optional<std::pair<std::size_t, std::size_t>> m_cutLink;
    std::uint64_t m_lastRun = 1'790'000'000'000;
    std::uint64_t m_listRevision = 0;
    message_observer m_messageObserver;
    change_observer m_changeObserver;
};

}
