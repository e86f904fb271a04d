#include "usagereporter.h"

#include "bootclock.h"

#include <support/log.h>
#include <support/logline.h>
#include <wire/usagecodec.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration readWait = std::chrono::milliseconds(1000);
    constexpr duration holderPollInterval = std::chrono::milliseconds(100);
    constexpr duration idlePollInterval = std::chrono::seconds(2);
    /// Least time between two records of counts of a process.
    constexpr duration minWriteInterval = std::chrono::seconds(1);
    /// Each append takes a few milliseconds of the partition's time, so the processes of a large fleet write more rarely.
    constexpr duration writeTimePerDaemon = std::chrono::milliseconds(10);
    constexpr duration removalInterval = std::chrono::seconds(5);
    constexpr std::size_t maxRemovals = 200;
    /// Windows of which the number of tries is kept; older ones are not reported any more.
    constexpr std::uint64_t maxTrackedWindows = 1000;

    topic_partition usageTopic()
    {
        return { "keyed.ragwortreach.usage", 0 };
    }

    duration timeOfDay()
    {
        return std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch());
    }

    /// The platform compares the fencing tokens of all windows with each other.
    const duty_subject& subject()
    {
        static const duty_subject all { std::string(usage_reporter::leaseName), "usage" };
        return all;
    }

}

usage_reporter::usage_reporter(boost::asio::io_context& context, shared_log& log, duty_caller& caller, lease_agent& leases, const std::string& instance, ragwortreach::log& logger)
    : m_caller(caller)
    , m_leases(leases)
    , m_instance(instance)
    , m_logger(logger)
    , m_counter(m_time)
    , m_follower(context, log, { usageTopic(), readWait, holderPollInterval },
          { [this](std::span<const keyed_record>, std::span<const keyed_record> newRecords) { apply(newRecords); },
              [this](std::span<const keyed_record> records) { apply(records); } })
    , m_writer(context, log, usageTopic(), instance + "-usage")
{
}

void usage_reporter::setBounds(const std::optional<usage_bounds>& bounds)
{
    m_bounds = bounds;
    m_counter.setBounds(bounds);
    if (bounds)
        sampleTime();
}

void usage_reporter::tick(std::size_t daemons)
{
    if (!m_bounds)
        return;
    m_writeInterval = std::max(minWriteInterval, writeTimePerDaemon * static_cast<duration::rep>(daemons));
    sampleTime();
    writeCounts();
    updateHolder();
    if (!m_isHolder || !m_follower.isReady() || !m_caller.mayCall(subject()))
        return;
    report();
    removeObsolete();
}

void usage_reporter::sampleTime()
{
    const instant now = bootNow();
    if (m_time.needsSample(now))
        m_time.addSample(now, timeOfDay());
}

bool usage_reporter::hasPendingCounts() const
{
    return m_bounds && (m_isWritingCounts || m_counter.hasUnwritten(bootNow()));
}

void usage_reporter::writeCounts()
{
    const instant now = bootNow();
    if (m_isWritingCounts || now - m_countsWrittenAt < m_writeInterval || !m_counter.hasUnwritten(now))
        return;
    m_isWritingCounts = true;
    m_countsWrittenAt = now;
    m_writer.write({ encode("counts/" + m_instance, process_usage { m_counter.windowsToWrite(now) }) }, write_mode::FailOnRefusal, [this](const append_report& report) {
        m_isWritingCounts = false;
        if (report.status != append_status::Done)
            m_counter.markUnwritten();
    });
}

void usage_reporter::updateHolder()
{
    const bool isHolder = m_leases.isHeld(leaseName);
    if (isHolder == std::exchange(m_isHolder, isHolder))
        return;
    m_logger.write(log_line(log_level::Info, "usage_holder").with("is_holder", isHolder).with("fencing", m_leases.fencingToken(leaseName)));
    m_follower.setPollInterval(isHolder ? holderPollInterval : idlePollInterval);
    if (isHolder && !std::exchange(m_isFollowing, true))
        m_follower.start();
}

void usage_reporter::report()
{
    const instant now = bootNow();
    const usage_view view { *m_time.at(now), *m_time.at(m_follower.confirmedAt()), m_writeInterval };
    const usage_steps steps = usage_plan(*m_bounds).steps(m_ledger, view);
    for (const usage_report& addition : steps.additions) {
        if (!m_written.contains(addition.window))
            write(addition);
    }
    if (m_isCalling || !m_pause.isOver(now))
        return;
    const std::vector<usage_report>::const_iterator next = std::min_element(steps.calls.begin(), steps.calls.end(),
        [this](const usage_report& left, const usage_report& right) { return m_tries[left.window] < m_tries[right.window]; });
    if (next != steps.calls.end())
        send(*next);
}

void usage_reporter::write(const usage_report& report)
{
    const bool isClosed = m_ledger.isClosed(report.window);
    ++m_counters.added;
    m_counters.incomplete += isClosed ? 0U : 1U;
    m_written.insert(report.window);
    m_logger.write(log_line(log_level::Info, "usage_added_up").with("window", report.window).with("organisations", report.counts.size()).with("complete", isClosed));
    m_writer.write({ encode("report/" + std::to_string(report.window) + '/' + m_instance, report) }, write_mode::FailOnRefusal,
        [this, window = report.window](const append_report& outcome) {
            if (outcome.status == append_status::Refused)
                m_written.erase(window);
        });
}

void usage_reporter::send(const usage_report& report)
{
    m_isCalling = true;
    ++m_tries[report.window];
    m_tries.erase(m_tries.begin(), m_tries.lower_bound(report.window - std::min<std::uint64_t>(report.window, maxTrackedWindows)));
    m_caller.call(
        subject(), [&report](const platform::duty_authority& authority) { return platform::encodeUsageReport(report, authority); },
        [this, report](platform::duty_outcome outcome) { onSent(report, outcome); });
}

void usage_reporter::onSent(const usage_report& report, platform::duty_outcome outcome)
{
    m_isCalling = false;
    m_logger.write(log_line(log_level::Info, "usage_reported")
                       .with("window", report.window)
                       .with("organisations", report.counts.size())
                       .with("fencing", m_leases.fencingToken(leaseName))
                       .with("outcome", static_cast<int>(outcome)));
    switch (outcome) {
    case platform::duty_outcome::Done:
        ++m_counters.accepted;
        m_pause.reset();
        noteAccepted(report.window);
        return;
    case platform::duty_outcome::Refused:
        m_caller.giveUpToken(subject());
        return;
    case platform::duty_outcome::TooMany:
    case platform::duty_outcome::Unknown:
        m_pause.noteFailure(bootNow());
        return;
    }
}

void usage_reporter::noteAccepted(std::uint64_t window)
{
    const std::string key = "accepted/" + std::to_string(window);
    const usage_accepted accepted { window };
    m_ledger.apply(key, accepted, 0);
    m_writer.write({ encode(key, accepted) }, write_mode::FailOnRefusal, {});
}

void usage_reporter::removeObsolete()
{
    const instant now = bootNow();
    if (m_isRemoving || now - m_removedAt < removalInterval)
        return;
    m_removedAt = now;
    std::vector<keyed_record> removals;
    for (std::string& key : usage_plan(*m_bounds).obsoleteKeys(m_ledger, *m_time.at(now), maxRemovals))
        removals.push_back({ std::move(key), std::nullopt, 0 });
    if (removals.empty())
        return;
    m_isRemoving = true;
    m_writer.write(std::move(removals), write_mode::FailOnRefusal, [this](const append_report&) { m_isRemoving = false; });
}

void usage_reporter::apply(std::span<const keyed_record> records)
{
    for (const keyed_record& record : records) {
        std::optional<usage_record> decoded;
        if (record.value)
            decoded = decodeUsageRecord(*record.value);
        if (record.value && !decoded) {
            ++m_counters.unreadable;
            continue;
        }
        m_ledger.apply(record.key, decoded, record.offset);
        const usage_report* const report = decoded ? std::get_if<usage_report>(&*decoded) : nullptr;
        if (report)
            m_written.erase(report->window);
    }
}

keyed_record usage_reporter::encode(std::string key, const usage_record& record) const
{
    return { std::move(key), encodeUsageRecord(record), 0 };
}

}
