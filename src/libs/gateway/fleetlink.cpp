#include "fleetlink.h"

#include "bootclock.h"

#include <wire/factcodec.h>

#include <algorithm>
#include <random>

namespace ragwortreach {

namespace {

    constexpr duration tickPeriod = std::chrono::milliseconds(50);
    constexpr duration announcementWait = std::chrono::milliseconds(1000);
    constexpr duration announcementPollInterval = std::chrono::milliseconds(500);

    topic_partition announcementTopic()
    {
        return { "keyed.ragwortreach.vms", 0 };
    }

    membership_settings viewSettings(const member& local)
    {
        membership_settings settings;
        settings.local = local;
        settings.seed = std::random_device()();
        return settings;
    }

}

fleet_link::fleet_link(boost::asio::io_context& context, shared_log& log, member local, const std::string& instance, handlers handlers)
    : m_local(std::move(local))
    , m_handlers(std::move(handlers))
    , m_socket(context)
    , m_view(viewSettings(m_local))
    , m_announcements(context, log, { announcementTopic(), announcementWait, announcementPollInterval },
          { [this](std::span<const keyed_record>, std::span<const keyed_record> newRecords) { applyAnnouncements(newRecords); },
              [this](std::span<const keyed_record> records) { applyAnnouncements(records); } })
    , m_writer(context, log, announcementTopic(), instance + "-vms")
{
    m_socket.setHandler([this](std::string address, gossip_message message) {
        const std::string sender = message.sender;
        const payload_body* const payload = std::get_if<payload_body>(&message.body);
        const std::string bytes = payload ? payload->bytes : std::string();
        handle(message_received { std::move(address), std::move(message) });
        if (!bytes.empty())
            m_handlers.onPayload(sender, bytes);
    });
}

std::error_code fleet_link::open()
{
    return m_local.addresses.gossip.empty() ? std::error_code() : m_socket.open(m_local.addresses.gossip);
}

void fleet_link::start()
{
    if (m_local.addresses.gossip.empty())
        return;
    m_announcements.start();
    vm_list_entry entry;
    entry.dataCentre = m_local.dataCentre;
    entry.region = m_local.region;
    entry.addresses = m_local.addresses;
    m_writer.write({ { m_local.vm, encodeAnnouncement(entry), 0 } }, write_mode::RetryOnRefusal, {});
}

/// The offset of an announcement is the incarnation of its VM, so a later start of the same VM takes precedence.
void fleet_link::applyAnnouncements(std::span<const keyed_record> records)
{
    for (const keyed_record& record : records) {
        if (!record.value)
            continue;
        std::optional<vm_list_entry> entry = decodeAnnouncement(record.key, *record.value);
        if (!entry)
            continue;
        entry->incarnation = record.offset + 1;
        m_entries.insert_or_assign(record.key, std::move(*entry));
    }
    if (records.empty())
        return;
    vm_list_received list { ++m_listRevision, {} };
    for (const std::pair<const std::string, vm_list_entry>& item : m_entries)
        list.entries.push_back(item.second);
    handle(list);
    // Members that gossip made known before have their addresses now.
    m_handlers.onChanged();
}

void fleet_link::handle(const membership_event& event)
{
    bool hasChanged = false;
    for (membership_effect& effect : m_view.handle(event, bootNow())) {
        if (send_message* const sent = std::get_if<send_message>(&effect)) {
            m_socket.send(sent->address, std::move(sent->message));
        } else if (const member_changed* const change = std::get_if<member_changed>(&effect)) {
            noteChange(*change);
            hasChanged = true;
        }
    }
    if (hasChanged)
        m_handlers.onChanged();
}

void fleet_link::noteChange(const member_changed& change)
{
    if (change.state != member_state::Failed)
        m_lost.erase(change.vm);
    else if (change.previous && *change.previous != member_state::Leaving)
        m_lost.try_emplace(change.vm, lost_daemon { dataCentreOf(change.vm), bootNow() });
}

void fleet_link::tick()
{
    const instant now = bootNow();
    if (now < m_nextTick)
        return;
    m_nextTick = now + tickPeriod;
    handle(membership_tick {});
    const std::size_t forgotten = std::erase_if(m_lost, [now](const std::pair<const std::string, lost_daemon>& lost) { return now - lost.second.since > lostRetention; });
    if (forgotten > 0)
        m_handlers.onChanged();
}

void fleet_link::leave()
{
    handle(local_state_changed { true, 0, {} });
}

void fleet_link::send(const std::string& vm, std::string payload)
{
    const member* const receiver = m_view.find(vm);
    if (!receiver || receiver->addresses.gossip.empty())
        return;
    gossip_message message;
    message.sender = m_local.vm;
    message.senderInstance = m_view.local().instance;
    message.body = payload_body { std::move(payload) };
    m_socket.send(receiver->addresses.gossip, std::move(message));
}

std::vector<std::string> fleet_link::others() const
{
    std::vector<std::string> vms;
    m_view.visitMembers([this, &vms](const member& known) {
        if (known.isEligible() && known.vm != m_local.vm)
            vms.push_back(known.vm);
    });
    return vms;
}

std::vector<peer> fleet_link::peers() const
{
    std::vector<peer> peers;
    for (const std::string& vm : others()) {
        const auto entry = m_entries.find(vm);
        if (entry != m_entries.end() && !entry->second.addresses.peer.empty())
            peers.push_back({ vm, entry->second.dataCentre, entry->second.addresses.peer });
    }
    return peers;
}

std::size_t fleet_link::visibleCount() const
{
    std::size_t count = 1;
    m_view.visitMembers([this, &count](const member& known) { count += known.isEligible() && known.vm != m_local.vm ? 1 : 0; });
    return count;
}

std::string fleet_link::dataCentreOf(std::string_view vm) const
{
    const auto found = m_entries.find(vm);
    return found == m_entries.end() ? std::string() : found->second.dataCentre;
}

std::vector<std::string> fleet_link::lostDataCentres(instant now) const
{
    std::vector<std::string> dataCentres;
    for (const std::pair<const std::string, lost_daemon>& item : m_lost) {
        if (now - item.second.since <= lostRetention)
            dataCentres.push_back(item.second.dataCentre);
    }
    return dataCentres;
}

}
