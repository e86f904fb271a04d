#include "relaynetwork.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration stepTime = std::chrono::milliseconds(50);
    constexpr duration answerTime = std::chrono::milliseconds(5);

}

relay_network::relay_network(gossip_network& network)
    : m_network(network)
    , m_nodes(network.size())
{
}

void relay_network::run(duration time)
{
    const instant end = m_network.now() + time;
    while (m_network.now() < end)
        step();
}

std::optional<duration> relay_network::runUntilInForce(duration limit)
{
    append();
    const instant start = m_network.now();
    while (m_network.now() - start < limit) {
        step();
        bool isInForce = true;
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            isInForce = isInForce && (!m_network.isRunning(index) || m_nodes[index].position == m_end);
        if (isInForce)
            return m_network.now() - start;
    }
    return std::nullopt;
}

void relay_network::step()
{
    m_network.run(stepTime);
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_network.isRunning(index))
            stepNode(index);
    }
    const instant now = m_network.now();
    const auto firstOpen = std::stable_partition(m_requests.begin(), m_requests.end(),
        [now](const relay_request& item) { return item.answerAt <= now; });
    const std::vector<relay_request> due(m_requests.begin(), firstOpen);
    m_requests.erase(m_requests.begin(), firstOpen);
    for (const relay_request& item : due)
        answer(item);
}

void relay_network::stepNode(std::size_t index)
{
    node& item = m_nodes[index];
    const membership& view = m_network.view(index);
    if (item.processStart != view.local().instance.startMilliseconds)
        item = { catalogue_relay(index), view.local().instance.startMilliseconds, 0, 0 };
    handle(index, relay_events::view_changed { makeRelayView(view, relaysPerDataCentre) });
    handle(index, relay_events::head_announced { view.catalogueHead() });
    handle(index, relay_events::tick {});
    if (item.relay->isTailing() && !m_cut.contains(m_network.dataCentre(index)))
        setPosition(index, m_end);
}

void relay_network::handle(std::size_t index, const relay_event& event)
{
    for (const relay_effect& effect : m_nodes[index].relay->handle(event, m_network.now())) {
        const relay_effects::ask_relay* ask = std::get_if<relay_effects::ask_relay>(&effect);
        if (!ask)
            continue;
        ++m_asks;
        const std::size_t to = m_network.find(ask->relay.vm);
        const bool isReachable = m_network.isRunning(to) && m_network.group(to) == m_network.group(index);
        m_requests.push_back({ index, to, m_network.now() + (isReachable ? answerTime : catalogue_relay::askTimeout) });
    }
}

void relay_network::answer(const relay_request& item)
{
    if (!m_network.isRunning(item.from) || !m_nodes[item.from].relay)
        return;
    const std::string& vm = m_network.vm(item.to);
    if (!m_network.isRunning(item.to) || m_network.group(item.to) != m_network.group(item.from)) {
        handle(item.from, relay_events::relay_failed { vm });
        return;
    }
    ++m_nodes[item.to].answers;
    setPosition(item.from, m_nodes[item.to].position);
    handle(item.from, relay_events::relay_answered { vm, m_nodes[item.to].position });
}

void relay_network::setPosition(std::size_t index, std::uint64_t position)
{
    if (position <= m_nodes[index].position)
        return;
    m_nodes[index].position = position;
    m_network.setState(index, position);
    handle(index, relay_events::position_applied { position });
}

std::size_t relay_network::tailing() const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
        count += m_network.isRunning(index) && m_nodes[index].relay->isTailing() ? 1 : 0;
    return count;
}

std::uint64_t relay_network::mostAnswers() const
{
    return std::max_element(m_nodes.begin(), m_nodes.end(),
        [](const node& left, const node& right) { return left.answers < right.answers; })
        ->answers;
}

}
