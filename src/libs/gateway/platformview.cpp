#include "platformview.h"

#include "bootclock.h"
#include "pollintervals.h"

#include <core/resultcode.h>
#include <platform/listcodec.h>
#include <support/log.h>
#include <support/logline.h>

#include <set>

namespace ragwortreach {

namespace {

    /// Short, so that the configuration in force is confirmed often to be the newest one.
    constexpr duration operatorWait = std::chrono::milliseconds(500);
    constexpr duration operatorPollInterval = std::chrono::milliseconds(30);
    constexpr duration replicaWait = std::chrono::milliseconds(1000);
    /// Entries can expire during an outage of the list. Replicas that are still alive are listed again within this time
    /// after the list is back.
    constexpr duration relistTime = std::chrono::milliseconds(2300);
    /// Largest configuration where the memory is not known.
    constexpr std::size_t defaultConfigurationBytes = std::size_t { 16 } * 1024 * 1024;
    /// Part of the memory that the text of a configuration may take; while it is read, several times as much is in use.
    constexpr std::size_t configurationMemoryDivisor = 24;

}

class platform_view::operator_visitor {
public:
    /// \a startedAt: decoding the record began.
    operator_visitor(platform_view& view, const keyed_record& record, instant startedAt)
        : m_view(view)
        , m_record(record)
        , m_startedAt(startedAt)
    {
    }

    void operator()(const std::monostate&) const { m_view.reportUnreadable(m_record); }

    void operator()(const platform::unreadable_configuration& unreadable) const
    {
        m_view.m_isConfigurationReadable = false;
        m_view.reportUnreadable(m_record, unreadable.reason);
    }

    void operator()(const platform::named_version& named) const { m_view.m_handlers.onVersionNamed(named.model, named.version); }

    void operator()(route_configuration&& configuration) const
    {
        m_view.m_isConfigurationReadable = true;
        if (!m_view.m_routes.setConfiguration(std::move(configuration)))
            return;
        ++m_view.m_counters.configurations;
        const duration took = bootNow() - m_startedAt;
        m_view.m_logger.write(log_line(log_level::Info, "configuration_in_force")
                                  .with("configuration", m_view.m_routes.version())
                                  .with("routes", m_view.m_routes.configuration().routes.size())
                                  .with("offset", m_record.offset)
                                  .with("bytes", m_record.bytes())
                                  .with("took_us", took.count()));
        m_view.m_handlers.onConfiguration();
    }

private:
    platform_view& m_view;
    const keyed_record& m_record;
    instant m_startedAt;
};

platform_view::platform_view(boost::asio::io_context& context, shared_log& log, route_table& routes, replica_pool& pool,
    ragwortreach::log& logger, handlers handlers)
    : m_routes(routes)
    , m_pool(pool)
    , m_logger(logger)
    , m_handlers(std::move(handlers))
    , m_operators(context, log, { platform::operatorTopic(), operatorWait, operatorPollInterval },
          { [this](std::span<const keyed_record> all, std::span<const keyed_record>) { applyOperatorRecords(all); },
              [this](std::span<const keyed_record> records) { applyOperatorRecords(records); },
              [this] { confirmConfiguration(); },
              [this] { m_routes.noteRefused(); },
              [this] { m_routes.noteUnread(bootNow()); },
              [this](const oversized_record& record) { applyOversized(record); } })
    , m_replicas(context, log, { platform::replicaTopic(), replicaWait, activePollIntervals.replicas },
          { [this](std::span<const keyed_record> all, std::span<const keyed_record>) { applyReplicaSnapshot(all); },
              [this](std::span<const keyed_record> records) { applyReplicaRecords(records); } })
{
}

void platform_view::start()
{
    m_operators.start();
    m_replicas.start();
}

std::size_t platform_view::maxConfigurationBytes(std::size_t memoryBytes)
{
    return memoryBytes / configurationMemoryDivisor;
}

void platform_view::setMemory(std::optional<std::size_t> memoryBytes)
{
    m_operators.setMaxRecordBytes(memoryBytes ? maxConfigurationBytes(*memoryBytes) : defaultConfigurationBytes);
}

void platform_view::applyOperatorRecords(std::span<const keyed_record> records)
{
    for (const keyed_record& record : records) {
        const instant startedAt = bootNow();
        std::visit(operator_visitor(*this, record, startedAt), platform::decodeOperatorRecord(record));
    }
}

void platform_view::confirmConfiguration()
{
    m_routes.noteAllRead();
    if (m_routes.isReady() && m_isConfigurationReadable)
        m_routes.setConfirmedAt(m_operators.confirmedAt());
}

void platform_view::applyOversized(const oversized_record& record)
{
    ++m_counters.unreadable;
    if (!platform::mayBeConfiguration(record))
        return;
    m_isConfigurationReadable = false;
    m_routes.noteTooLarge(bootNow());
}

void platform_view::applyReplicaSnapshot(std::span<const keyed_record> all)
{
    std::set<std::string, std::less<>> listed;
    for (const keyed_record& record : all) {
        listed.insert(record.key);
        applyReplicaRecord(record);
    }
    std::vector<std::string> missing;
    for (const std::pair<const std::string, replica_pool::replica>& known : m_pool.replicas()) {
        if (!listed.contains(known.first))
            missing.push_back(known.first);
    }
    for (const std::string& id : missing)
        removeReplica(id);
}

void platform_view::applyReplicaRecords(std::span<const keyed_record> records)
{
    for (const keyed_record& record : records)
        applyReplicaRecord(record);
}

void platform_view::applyReplicaRecord(const keyed_record& record)
{
    if (!record.value) {
        removeReplica(record.key);
        return;
    }
    const std::optional<replica_entry> entry = platform::decodeReplicaEntry(record.key, *record.value);
    const entry_standing standing = entry ? m_history.note(*entry, bootNow()) : entry_standing::Foreign;
    switch (standing) {
    case entry_standing::Foreign:
        skipReplicaRecord(record);
        return;
    case entry_standing::Late:
        ++m_counters.replicaEntries;
        ++m_counters.lateEntries;
        m_logger.write(log_line(log_level::Info, "replica_entry_late")
                           .with("replica", record.key)
                           .with("number", entry->number)
                           .with("started_at_ms", entry->startedAt)
                           .with("draining", entry->isDraining)
                           .with("offset", record.offset));
        return;
    case entry_standing::Current:
    case entry_standing::Returned:
        ++m_counters.replicaEntries;
        listReplica(*entry, standing, record.offset);
        return;
    }
}

void platform_view::skipReplicaRecord(const keyed_record& record)
{
    reportUnreadable(record);
    if (m_pool.find(record.key))
        m_pool.markVanished(record.key, bootNow());
}

void platform_view::listReplica(const replica_entry& entry, entry_standing standing, std::uint64_t offset)
{
    const replica_pool::replica* const known = m_pool.find(entry.id);
    const bool isChanged = !known || known->entry.isDraining != entry.isDraining || known->entry.startedAt != entry.startedAt || known->entry.software != entry.software;
    const instant now = bootNow();
    // A start that says it is leaving does not take that back, whatever is listed later.
    if (entry.isDraining && entry.startedAt != 0)
        m_pool.noteLeaving({ { entry.id, entry.startedAt }, now });
    m_pool.update(entry);
    if (standing == entry_standing::Returned)
        m_pool.setUnconfirmed(entry.id, now + m_history.confirmationTime());
    if (isChanged)
        m_logger.write(log_line(log_level::Info, "replica_listed")
                           .with("replica", entry.id)
                           .with("service", entry.service)
                           .with("address", entry.address)
                           .with("software", entry.software)
                           .with("draining", entry.isDraining)
                           .with("standing", toString(standing))
                           .with("offset", offset));
}

void platform_view::removeReplica(const std::string& id)
{
    const instant now = bootNow();
    const bool isAfterOutage = m_replicas.regainedAt() != instant {} && now - m_replicas.regainedAt() < relistTime;
    if (!isAfterOutage)
        m_history.noteRemoved(id, now);
    if (!m_pool.find(id))
        return;
    m_logger.write(log_line(log_level::Info, "replica_removed").with("replica", id).with("after_outage", isAfterOutage));
    if (isAfterOutage)
        m_pool.markVanished(id, now);
    else
        m_pool.remove(id);
}

void platform_view::reportUnreadable(const keyed_record& record, std::string_view reason)
{
    ++m_counters.unreadable;
    m_logger.write(log_line(log_level::Warning, "record_skipped")
                       .with("code", static_cast<int>(result_code::MalformedMessage))
                       .with("key", record.key)
                       .with("offset", record.offset)
                       .with("reason", reason));
}

void platform_view::tick()
{
    const instant now = bootNow();
    for (const std::string& id : m_pool.removeVanishedBefore(now - relistTime))
        m_history.noteRemoved(id, now);
    for (const replica_entry& entry : m_history.takeConfirmed(now))
        listReplica(entry, entry_standing::Current, 0);
    m_history.forgetOld(now);
}

}
