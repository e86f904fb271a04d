#include "groupmember.h"

#include "bootclock.h"

#include <boost/asio/io_context.hpp>

namespace ragwortreach {

group_member::group_member(boost::asio::io_context& context, shared_log& log, options options, std::function<void()> onChanged)
    : m_log(log)
    , m_options(std::move(options))
    , m_onChanged(std::move(onChanged))
    , m_timer(context)
{
}

void group_member::start()
{
    join();
}

membership_request group_member::request() const
{
    return { m_options.group, m_options.member, m_options.topic, m_options.timeToLive, m_generation };
}

void group_member::join()
{
    if (m_isLeaving)
        return;
    const instant sentAt = bootNow();
    m_log.join(request(), [this, sentAt](const membership_outcome& outcome) { take(outcome, sentAt); });
}

void group_member::take(const membership_outcome& outcome, instant sentAt)
{
    if (m_isLeaving)
        return;
    if (outcome.isDone) {
        const std::set<std::uint32_t> partitions(outcome.partitions.begin(), outcome.partitions.end());
        const bool isChanged = partitions != m_partitions;
        m_partitions = partitions;
        m_generation = outcome.generation;
        m_validUntil = sentAt + m_options.timeToLive;
        if (isChanged)
            m_onChanged();
    }
    m_timer.expires_after(m_options.interval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            join();
    });
}

void group_member::leave(std::function<void()> onDone)
{
    m_isLeaving = true;
    m_timer.cancel();
    m_partitions.clear();
    m_log.leave(request(), std::move(onDone));
}

}
