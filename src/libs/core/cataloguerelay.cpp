#include "cataloguerelay.h"

#include "membership.h"
#include "ownermap.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ragwortreach {

relay_view makeRelayView(const membership& members, std::size_t count)
{
    const owner_map map(members);
    const member& local = members.local();
    std::set<std::string> dataCentres;
    members.visitMembers([&dataCentres](const member& item) { dataCentres.insert(item.dataCentre); });
    relay_view view;
    for (const std::string& dataCentre : dataCentres) {
        for (const std::string& vm : map.relaysOf(dataCentre, count)) {
            const relay_address relay { vm, members.find(vm)->addresses.peer };
            if (vm == local.vm)
                view.isLocalRelay = true;
            else if (dataCentre == local.dataCentre)
                view.localRelays.push_back(relay);
            else
                view.remoteRelays.push_back(relay);
        }
    }
    return view;
}

catalogue_relay::catalogue_relay(std::uint64_t seed)
    : m_random(seed)
{
}

std::vector<relay_effect> catalogue_relay::handle(const relay_event& event, instant now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto& typed) { on(typed); }, event);
    return std::exchange(m_effects, {});
}

void catalogue_relay::on(const relay_events::view_changed& event)
{
    if (event.view == m_view)
        return;
    const bool wasRelay = m_view.isLocalRelay;
    m_view = event.view;
    orderRelays();
    if (m_view.isLocalRelay || m_order.empty())
        setTailing(true);
    else if (wasRelay)
        setTailing(false);
}

void catalogue_relay::orderRelays()
{
    std::vector<relay_address> remoteRelays = m_view.remoteRelays;
    m_order = m_view.localRelays;
    std::shuffle(m_order.begin(), m_order.end(), m_random);
    std::shuffle(remoteRelays.begin(), remoteRelays.end(), m_random);
    remoteRelays.resize(std::min(remoteRelays.size(), maxRemoteRelays));
    m_order.insert(m_order.end(), remoteRelays.begin(), remoteRelays.end());
    m_next = 0;
}

void catalogue_relay::on(const relay_events::head_announced& event)
{
    if (event.position <= m_head)
        return;
    const bool wasCurrent = m_position == m_head;
    m_head = event.position;
    if (!m_isTailing)
        m_askAt = m_now;
    else if (wasCurrent)
        m_askAt = m_now + tailTimeout;
    askIfDue();
}

void catalogue_relay::on(const relay_events::position_applied& event)
{
    m_position = std::max(m_position, event.position);
    m_head = std::max(m_head, m_position);
    if (m_view.isLocalRelay && m_position == m_head)
        m_askAt = m_now + pollPeriod;
}

void catalogue_relay::on(const relay_events::relay_answered& event)
{
    if (!m_asked || m_asked->vm != event.vm)
        return;
    m_asked.reset();
    m_head = std::max(m_head, event.end);
    if (m_position < m_head) {
        tryNext();
        return;
    }
    m_next = 0;
    m_askAt = m_now + pollPeriod;
    if (!m_view.isLocalRelay)
        setTailing(false);
}

void catalogue_relay::on(const relay_events::relay_failed& event)
{
    if (!m_asked || m_asked->vm != event.vm)
        return;
    m_asked.reset();
    tryNext();
}

void catalogue_relay::tryNext()
{
    ++m_next;
    m_askAt = m_now + retryPeriod;
    if (m_next < m_order.size())
        return;
    m_next = 0;
    m_askAt = m_now + fallbackPeriod;
    setTailing(true);
}

void catalogue_relay::on(const relay_events::tick&)
{
    if (!m_askAt)
        m_askAt = m_now + duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(retryPeriod.count())));
    askIfDue();
}

void catalogue_relay::askIfDue()
{
    const bool isDue = m_askAt && m_now >= *m_askAt;
    const bool isCurrentRelay = m_view.isLocalRelay && m_position == m_head;
    if (isDue && !m_asked && !isCurrentRelay && !m_order.empty())
        ask();
}

void catalogue_relay::ask()
{
    m_asked = m_order[m_next % m_order.size()];
    m_askAt = m_now + pollPeriod;
    m_effects.emplace_back(relay_effects::ask_relay { *m_asked, m_position });
}

void catalogue_relay::setTailing(bool isTailing)
{
    if (m_isTailing == isTailing)
        return;
    m_isTailing = isTailing;
    m_effects.emplace_back(relay_effects::tailing_changed { isTailing });
}

}
