#include "admissionqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration maxRetryAfter = std::chrono::seconds(5);
    /// A new measurement changes the mean service time by one in this many parts.
    constexpr int serviceTimeWeight = 16;

    std::size_t indexOf(entry_class entryClass)
    {
        return static_cast<std::size_t>(entryClass);
    }

}

bool admission_queue::waiting_call::operator<(const waiting_call& other) const
{
    return deadline != other.deadline ? deadline < other.deadline : ticket < other.ticket;
}

admission_queue::admission_queue(const admission_settings& settings)
    : m_settings(settings)
{
}

std::vector<admission_effect> admission_queue::handle(const admission_event& event, instant now)
{
    m_now = std::max(m_now, now);
    std::visit([this](const auto& typed) { on(typed); }, event);
    grant();
    const bool isAnyWaiting = std::any_of(m_queues.begin(), m_queues.end(), [](const std::set<waiting_call>& queue) { return !queue.empty(); });
    m_meter.setSaturated(isAnyWaiting || m_running.size() >= m_settings.limit, m_now);
    return std::exchange(m_effects, {});
}

std::uint32_t admission_queue::inFlight(entry_class entryClass) const
{
    return m_runningByClass[indexOf(entryClass)];
}

std::size_t admission_queue::queued(entry_class entryClass) const
{
    return m_queues[indexOf(entryClass)].size();
}

std::optional<duration> admission_queue::serviceTime(entry_class entryClass) const
{
    return m_serviceTimes[indexOf(entryClass)];
}

void admission_queue::on(const admission_requested& event)
{
    std::set<waiting_call>& queue = m_queues[indexOf(event.entryClass)];
    const std::optional<duration> wait = expectedWait(event.entryClass, event.deadline);
    if (event.entryClass == entry_class::Training && m_shedTraining)
        refuse(event.ticket, result_code::ShedForCapacity, maxRetryAfter);
    else if (queue.size() >= m_settings.maxQueued[indexOf(event.entryClass)])
        refuse(event.ticket, result_code::QueueFull, wait.value_or(maxRetryAfter));
    else if (wait && m_now + *wait + expectedService(event.entryClass) > event.deadline)
        refuse(event.ticket, result_code::DueTimeUnreachable, *wait);
    else
        queue.insert({ event.deadline, event.ticket });
}

void admission_queue::on(const admission_released& event)
{
    const auto it = m_running.find(event.ticket);
    if (it == m_running.end())
        return;
    const running_call call = it->second;
    m_running.erase(it);
    --m_runningByClass[indexOf(call.entryClass)];
    if (!event.isCompleted)
        return;
    m_meter.addCompletion(m_now);
    std::optional<duration>& mean = m_serviceTimes[indexOf(call.entryClass)];
    const duration measured = m_now - call.grantedAt;
    mean = mean ? *mean + (measured - *mean) / serviceTimeWeight : measured;
}

void admission_queue::on(const admission_withdrawn& event)
{
    for (std::set<waiting_call>& queue : m_queues)
        std::erase_if(queue, [&event](const waiting_call& call) { return call.ticket == event.ticket; });
}

void admission_queue::on(const admission_limit_changed& event)
{
    m_settings.limit = event.limit;
}

void admission_queue::on(const admission_shedding_changed& event)
{
    m_shedTraining = event.shedTraining;
    if (!m_shedTraining)
        return;
    for (const waiting_call& call : std::exchange(m_queues[indexOf(entry_class::Training)], {}))
        refuse(call.ticket, result_code::ShedForCapacity, maxRetryAfter);
}

void admission_queue::on(const admission_tick& /*event*/)
{
}

void admission_queue::refuse(std::uint64_t ticket, result_code code, duration retryAfter)
{
    m_effects.emplace_back(admission_refused { ticket, code, std::clamp(retryAfter, duration(), maxRetryAfter) });
}

/// Time until a new call with \a deadline would be admitted; empty when the completion rate is not known.
std::optional<duration> admission_queue::expectedWait(entry_class entryClass, instant deadline)
{
    std::size_t ahead = 0;
    for (std::size_t before = 0; before < indexOf(entryClass); ++before)
        ahead += m_queues[before].size();
    const std::set<waiting_call>& queue = m_queues[indexOf(entryClass)];
    const bool isLast = queue.empty() || std::prev(queue.end())->deadline <= deadline;
    ahead += isLast ? queue.size()
                    : static_cast<std::size_t>(std::count_if(queue.begin(), queue.end(), [deadline](const waiting_call& call) { return call.deadline <= deadline; }));
    if (ahead == 0 && m_running.size() < m_settings.limit)
        return duration();
    const std::optional<double> rate = m_meter.rate(m_now);
    if (!rate)
        return std::nullopt;
    if (*rate <= 0)
        return maxRetryAfter;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(ahead + 1) / *rate));
}

duration admission_queue::expectedService(entry_class entryClass) const
{
    return m_serviceTimes[indexOf(entryClass)].value_or(duration());
}

void admission_queue::grant()
{
    grantFrom(entry_class::Customer);
    grantFrom(entry_class::Training);
}

/// Admits waiting calls of one class up to the limit, and refuses those that can no longer be answered by their deadline.
void admission_queue::grantFrom(entry_class entryClass)
{
    std::set<waiting_call>& queue = m_queues[indexOf(entryClass)];
    while (!queue.empty()) {
        const waiting_call call = *queue.begin();
        const bool isLate = m_now + expectedService(entryClass) > call.deadline;
        if (!isLate && m_running.size() >= m_settings.limit)
            return;
        queue.erase(queue.begin());
        if (isLate) {
            refuse(call.ticket, result_code::DueTimeUnreachable, duration());
            continue;
        }
        m_running[call.ticket] = { entryClass, m_now };
        ++m_runningByClass[indexOf(entryClass)];
        m_effects.emplace_back(admission_granted { call.ticket });
    }
}

}
