#include "gossipnetwork.h"

#include <array>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration tickPeriod = std::chrono::milliseconds(50);
    constexpr std::array<const char*, 5> dataCentreNames { "ee-north-a", "ee-north-b", "ee-north-c", "zagreb-a", "zagreb-b" };
    constexpr std::size_t firstRegionSize = 3;
    /// Size of a paused daemon's socket buffer, in messages.
    constexpr std::size_t maxInbox = 200;

    std::string makeAddress(std::size_t index, int port)
    {
        return "10.4." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":" + std::to_string(port);
    }

}

gossip_network::gossip_network(gossip_network_settings settings, duration startSpan)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_nodes(settings.size)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        node& item = m_nodes[index];
        const std::size_t dataCentre = index % settings.dataCentres;
        item.vm = "entry-" + std::to_string(index);
        item.dataCentre = dataCentreNames.at(dataCentre);
        item.region = dataCentre < firstRegionSize ? "ee-north" : "zagreb";
        item.addresses = { makeAddress(index, 8082), makeAddress(index, 8083), makeAddress(index, 8081), makeAddress(index, 8080) };
        m_byAddress[item.addresses.gossip] = index;
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        run(startSpan / static_cast<int>(m_nodes.size()));
        start(index);
    }
}

void gossip_network::run(duration time)
{
    const instant end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto first = m_events.begin();
        m_now = first->first;
        event next = std::move(first->second);
        m_events.erase(first);
        if (next.message)
            deliver(next.node, std::move(*next.message));
        else if (isRunning(next.node) && m_nodes[next.node].instance.startMilliseconds == next.processStart)
            tick(next.node);
    }
    m_now = end;
}

void gossip_network::tick(std::size_t index)
{
    m_events.emplace(m_now + tickPeriod, event { index, m_nodes[index].instance.startMilliseconds, std::nullopt });
    if (!m_nodes[index].isPaused)
        handle(index, membership_tick {});
}

void gossip_network::handle(std::size_t index, const membership_event& event)
{
    const std::vector<membership_effect> effects = m_nodes[index].view->handle(event, m_now);
    for (const membership_effect& effect : effects) {
        if (const send_message* sent = std::get_if<send_message>(&effect))
            send(index, *sent);
        const member_changed* change = std::get_if<member_changed>(&effect);
        if (change && m_changeObserver)
            m_changeObserver(index, *change);
    }
}

void gossip_network::send(std::size_t from, const send_message& effect)
{
    const auto to = m_byAddress.find(effect.address);
    if (to == m_byAddress.end())
        return;
    if (m_messageObserver)
        m_messageObserver(from, to->second, effect.message);
    if (m_cutLink && *m_cutLink == std::pair(std::min(from, to->second), std::max(from, to->second)))
        return;
    const unsigned copies = m_random() % 1000 < m_settings.duplicated ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        if (m_random() % 1000 < m_settings.lost || m_nodes[from].group != m_nodes[to->second].group)
            continue;
        const duration latency = latencyBetween(m_nodes[from], m_nodes[to->second]);
        m_events.emplace(m_now + latency, event { to->second, 0, message_received { m_nodes[from].addresses.gossip, effect.message } });
    }
}

duration gossip_network::latencyBetween(const node& from, const node& to)
{
    const duration base = from.region == to.region ? m_settings.latency : m_settings.latencyBetweenRegions;
    return base + duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(base.count())));
}

void gossip_network::deliver(std::size_t to, message_received message)
{
    node& target = m_nodes[to];
    if (!target.view)
        return;
    if (!target.isPaused)
        handle(to, message);
    else if (target.inbox.size() < maxInbox)
        target.inbox.push_back(std::move(message));
}

void gossip_network::kill(std::size_t node)
{
    m_nodes[node].view.reset();
    m_nodes[node].inbox.clear();
    m_nodes[node].isPaused = false;
}

void gossip_network::start(std::size_t index)
{
    node& item = m_nodes[index];
    kill(index);
    item.instance.startMilliseconds = ++m_lastStart;
    item.instance.incarnation += item.isRetired ? 1 : 0;
    item.isLeaving = false;
    item.isRetired = false;
    item.state = {};
    membership_settings settings;
    settings.local.vm = item.vm;
    settings.local.instance = item.instance;
    settings.local.dataCentre = item.dataCentre;
    settings.local.region = item.region;
    settings.local.addresses = item.addresses;
    settings.seed = m_random();
    item.view.emplace(std::move(settings));
    handle(index, makeList());
    m_events.emplace(m_now + duration(static_cast<std::int64_t>(m_random() % 50'000)), event { index, item.instance.startMilliseconds, std::nullopt });
}

void gossip_network::leave(std::size_t index)
{
    m_nodes[index].isLeaving = true;
    m_nodes[index].state.leaving = true;
    handle(index, m_nodes[index].state);
}

void gossip_network::retire(std::size_t index)
{
    m_nodes[index].isLeaving = true;
    m_nodes[index].isRetired = true;
    sendList(index, makeList());
}

void gossip_network::pause(std::size_t node)
{
    m_nodes[node].isPaused = m_nodes[node].view.has_value();
}

void gossip_network::resume(std::size_t index)
{
    node& item = m_nodes[index];
    item.isPaused = false;
    for (message_received& message : std::exchange(item.inbox, {}))
        deliver(index, std::move(message));
}

void gossip_network::setGroup(std::size_t node, int group)
{
    m_nodes[node].group = group;
}

std::size_t gossip_network::find(std::string_view vm) const
{
    std::size_t index = 0;
    while (m_nodes[index].vm != vm)
        ++index;
    return index;
}

void gossip_network::heal()
{
    for (node& item : m_nodes)
        item.group = 0;
}

void gossip_network::setState(std::size_t index, std::uint64_t cataloguePosition, std::vector<owner_demand> demands)
{
    m_nodes[index].state.cataloguePosition = cataloguePosition;
    m_nodes[index].state.demands = std::move(demands);
    handle(index, m_nodes[index].state);
}

void gossip_network::sendList(std::size_t node, vm_list_received list)
{
    handle(node, std::move(list));
}

vm_list_received gossip_network::makeList()
{
    vm_list_received list { ++m_listRevision, {} };
    for (const node& item : m_nodes)
        list.entries.push_back({ item.vm, item.instance.incarnation, item.dataCentre, item.region, item.addresses, item.isRetired });
    return list;
}

bool gossip_network::isExpectedAt(std::size_t observer, std::size_t subject) const
{
    const node& item = m_nodes[subject];
    const bool isReachable = item.group == m_nodes[observer].group && !item.isPaused;
    return item.view && (observer == subject || isReachable);
}

std::string gossip_network::difference() const
{
    for (std::size_t observer = 0; observer < m_nodes.size(); ++observer) {
        if (!m_nodes[observer].view || m_nodes[observer].isPaused)
            continue;
        for (std::size_t subject = 0; subject < m_nodes.size(); ++subject) {
            const node& item = m_nodes[subject];
            const member* seen = m_nodes[observer].view->find(item.vm);
            const bool isKnown = seen && seen->state != member_state::Failed;
            const member_state expected = item.isLeaving ? member_state::Leaving : member_state::Alive;
            const bool isRight = isExpectedAt(observer, subject)
                ? isKnown && seen->state == expected && seen->instance == item.instance
                : !isKnown;
            if (!isRight)
                return vm(observer) + " sees " + item.vm + " as " + (seen ? std::string(toString(seen->state)) : "unknown");
        }
    }
    return {};
}

bool gossip_network::agrees() const
{
    return difference().empty();
}

std::optional<duration> gossip_network::runUntilAgreed(duration limit, duration step)
{
    const instant start = m_now;
    while (m_now - start < limit) {
        run(step);
        if (agrees())
            return m_now - start;
    }
    return std::nullopt;
}

}
