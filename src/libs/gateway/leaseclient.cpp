#include "leaseclient.h"

#include "bootclock.h"
#include "pollintervals.h"

#include <support/log.h>
#include <support/logline.h>
#include <wire/leasecodec.h>

#include <optional>
#include <set>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration readWait = std::chrono::milliseconds(1000);
    /// Most records that are removed in one append, so that it delays the renewals little.
    constexpr std::size_t maxRemovals = 500;
    /// Each claim and release has a key of its own, so the log keeps it until it is removed. The renewals of a process share
    /// one key, so the log keeps only the newest.
    constexpr std::string_view renewalKey = "/renewal";

    topic_partition leaseTopic()
    {
        return { "keyed.ragwortreach.leases", 0 };
    }

}

lease_client::lease_client(boost::asio::io_context& context, shared_log& log, lease_party self, const lease_options& options,
    ragwortreach::log& logger, std::function<void()> onChanged)
    : m_writerName(self.instance)
    , m_logger(logger)
    , m_onChanged(std::move(onChanged))
    , m_agent(m_table, std::move(self), options)
    , m_follower(context, log, { leaseTopic(), readWait, activePollIntervals.leases },
          { [this](std::span<const keyed_record> all, std::span<const keyed_record> newRecords) { applySnapshot(all, newRecords); },
              [this](std::span<const keyed_record> records) { apply(records); } })
    , m_writer(context, log, leaseTopic(), m_writerName + "-leases")
{
}

void lease_client::applySnapshot(std::span<const keyed_record> all, std::span<const keyed_record> newRecords)
{
    std::set<std::string, std::less<>> keys;
    for (const keyed_record& record : all)
        keys.insert(record.key);
    m_records.retain(keys);
    apply(newRecords);
}

void lease_client::apply(std::span<const keyed_record> records)
{
    for (const keyed_record& record : records) {
        if (!record.value) {
            m_records.remove(record.key);
            continue;
        }
        const std::optional<lease_record> decoded = decodeLeaseRecord(*record.value);
        if (!decoded) {
            ++m_unreadable;
            continue;
        }
        const instant now = bootNow();
        m_table.apply(*decoded, record.offset, now);
        m_records.add(record.key, *decoded, record.offset, m_table, now);
        m_agent.onRead(*decoded);
    }
    if (!records.empty())
        m_onChanged();
}

void lease_client::logClaims(const std::vector<lease_record>& records)
{
    for (const lease_record& record : records) {
        const lease_claim* const claim = std::get_if<lease_claim>(&record);
        if (!claim)
            continue;
        const duration age = bootNow() - m_follower.confirmedAt();
        m_logger.write(log_line(log_level::Info, "lease_claimed")
                           .with("lease", claim->lease)
                           .with("former_claim", claim->formerClaim ? static_cast<std::int64_t>(*claim->formerClaim) : -1)
                           .with("view_age_us", age.count()));
    }
}

void lease_client::tick()
{
    const instant now = bootNow();
    const std::vector<lease_record> records = m_agent.tick({ m_follower.confirmedAt(), m_follower.regainedAt() }, now);
    if (records.empty())
        return;
    logClaims(records);
    std::vector<keyed_record> encoded = encode(records);
    if (m_agent.removesRecords())
        addRemovals(encoded, now);
    m_writer.write(std::move(encoded), write_mode::FailOnRefusal, [this](const append_report&) { m_agent.onWritten(bootNow()); });
}

void lease_client::release(std::function<void()> onDone)
{
    const std::optional<lease_release> record = m_agent.release(bootNow());
    if (!record) {
        onDone();
        return;
    }
    m_writer.write(encode({ *record }), write_mode::FailOnRefusal, [whenDone = std::move(onDone)](const append_report&) { whenDone(); });
}

std::vector<keyed_record> lease_client::encode(const std::vector<lease_record>& records)
{
    std::vector<keyed_record> encoded;
    for (const lease_record& record : records) {
        keyed_record added { m_writerName, encodeLeaseRecord(record), 0 };
        if (std::holds_alternative<lease_renewal>(record)) {
            added.key += renewalKey;
        } else {
            added.key += '/';
            added.key += std::to_string(++m_lastRecord);
        }
        encoded.push_back(std::move(added));
    }
    return encoded;
}

/// Removals go with the renewals, so they cost no append of their own. One that is not carried out is written again.
void lease_client::addRemovals(std::vector<keyed_record>& records, instant now) const
{
    for (std::string& key : m_records.obsoleteSince(now - m_agent.recordRetention(), maxRemovals))
        records.push_back({ std::move(key), std::nullopt, 0 });
}

}
