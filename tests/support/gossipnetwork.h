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

/// Size, delays and faults of a gossip_network.
struct gossip_network_settings {
    std::size_t size = 12;
    std::size_t dataCentres = 3;
    std::uint64_t seed = 1;
    /// Probabilities that a message is lost or duplicated, in thousandths.
    unsigned lost = 0;
    unsigned duplicated = 0;
    duration latency = std::chrono::milliseconds(1);
    /// Data centres 0 to 2 form one region, the others a second one.
    duration latencyBetweenRegions = std::chrono::milliseconds(20);
};

/// Simulates the membership views of many daemons on virtual time, connected by a lossy network.
///
/// It knows the actual state of each daemon and compares the views with it.
class gossip_network {
public:
    using message_observer = std::function<void(std::size_t from, std::size_t to, const gossip_message& message)>;
    using change_observer = std::function<void(std::size_t node, const member_changed& change)>;

    /// The daemons start one after the other within \a startSpan.
    explicit gossip_network(gossip_network_settings settings, duration startSpan = std::chrono::milliseconds(500));

    void run(duration time);
    /// Runs until agrees() is true, for at most \a limit. Returns the time it took; empty when it did not happen.
    std::optional<duration> runUntilAgreed(duration limit, duration step = std::chrono::milliseconds(100));
    /// Whether the view of each running daemon matches the actual state of all daemons.
    bool agrees() const;
    /// Description of the first difference between a view and the actual state; empty when there is none.
    std::string difference() const;

    /// Ends the process at once.
    void kill(std::size_t node);
    /// Starts a new process instance, which reads the VM list first. A VM that was retired returns as a new incarnation.
    void start(std::size_t node);
    /// The process announces that it is leaving; the VM list does not name it as leaving.
    void leave(std::size_t node);
    /// The VM list names the VM as leaving, permanently for this incarnation, and the daemon reads the list.
    void retire(std::size_t node);
    /// Suspends the process; its messages are queued until resume().
    void pause(std::size_t node);
    void resume(std::size_t node);
    /// Simulates a partition: only daemons of the same group reach each other.
    void setGroup(std::size_t node, int group);
    /// Cuts the link between two daemons in both directions; all others still reach both.
    void cutLink(std::size_t left, std::size_t right) { m_cutLink = std::pair(std::min(left, right), std::max(left, right)); }
    /// Ends the partition.
    void heal();
    void setState(std::size_t node, std::uint64_t cataloguePosition, std::vector<owner_demand> demands = {});
    void sendList(std::size_t node, vm_list_received list);
    /// Current VM list, with a new revision.
    vm_list_received makeList();

    std::size_t size() const { return m_nodes.size(); }
    bool isRunning(std::size_t node) const { return m_nodes[node].view.has_value(); }
    bool isLeaving(std::size_t node) const { return m_nodes[node].isLeaving; }
    membership& view(std::size_t node) { return *m_nodes[node].view; }
    const membership& view(std::size_t node) const { return *m_nodes[node].view; }
    int group(std::size_t node) const { return m_nodes[node].group; }
    /// Index of the daemon on \a vm.
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
        member_instance instance { 1, 0 };
        bool isLeaving = false;
        bool isRetired = false;
        bool isPaused = false;
        int group = 0;
        /// Messages waiting in the socket of a paused daemon.
        std::vector<message_received> inbox;
        local_state_changed state;
    };

    struct event {
        std::size_t node = 0;
        /// Start of the process instance that a tick belongs to.
        std::uint64_t processStart = 0;
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
    std::uint64_t m_lastStart = 1'790'000'000'000;
    std::uint64_t m_listRevision = 0;
    message_observer m_messageObserver;
    change_observer m_changeObserver;
};

}
