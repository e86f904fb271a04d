#include "memorylog.h"

#include <boost/asio/post.hpp>

namespace ragwortreach {

namespace {
    /// Small pages, so that tests read several.
    constexpr std::size_t pageSize = 3;
}

memory_log::memory_log(boost::asio::io_context& context)
    : m_context(context)
{
}

void memory_log::setFaults(std::vector<append_fault> faults)
{
    m_faults.assign(faults.begin(), faults.end());
}

void memory_log::put(const std::string& key, const std::string& value)
{
    m_records.push_back({ key, value, m_records.size() });
}

void memory_log::erase(const std::string& key)
{
    m_records.push_back({ key, std::nullopt, m_records.size() });
}

append_outcome memory_log::apply(const append_identity& identity, std::span<const keyed_record> records)
{
    const auto known = m_producers.find(identity.producer);
    if (known != m_producers.end()) {
        const append_identity& last = known->second;
        if (identity.epoch < last.epoch)
            return { append_status::Fenced };
        if (identity.epoch == last.epoch && identity.sequence == last.sequence)
            return { append_status::Done };
        if (identity.epoch == last.epoch && identity.sequence != last.sequence + 1)
            return { append_status::WrongSequence, last.sequence + 1 };
    }
    m_producers[identity.producer] = identity;
    for (const keyed_record& record : records)
        m_records.push_back({ record.key, record.value, m_records.size() });
    return { append_status::Done };
}

void memory_log::append(const topic_partition&, const append_identity& identity, std::span<const keyed_record> records,
    std::function<void(const append_outcome&)> onDone)
{
    append_fault fault = m_isDown ? append_fault::Refuse : append_fault::None;
    if (!m_isDown && !m_faults.empty()) {
        fault = m_faults.front();
        m_faults.pop_front();
    }
    append_outcome outcome { append_status::Unknown };
    switch (fault) {
    case append_fault::None:
        outcome = apply(identity, records);
        break;
    case append_fault::Refuse:
        outcome.status = append_status::Refused;
        break;
    case append_fault::LoseAnswer:
        apply(identity, records);
        break;
    case append_fault::ApplyLate:
        m_late.push_back({ identity, { records.begin(), records.end() } });
        break;
    case append_fault::LoseCall:
        break;
    }
    if (fault == append_fault::None) {
        for (const pending_append& late : m_late)
            apply(late.identity, late.records);
        m_late.clear();
    }
    boost::asio::post(m_context, [outcome, whenDone = std::move(onDone)] { whenDone(outcome); });
}

void memory_log::read(const topic_partition&, std::uint64_t from, duration, std::function<void(const read_outcome&)> onDone)
{
    ++m_reads;
    read_outcome outcome;
    outcome.end = m_records.size();
    if (!m_isDown && from < m_firstRetained) {
        outcome.status = read_status::Expired;
    } else if (!m_isDown) {
        outcome.status = read_status::Done;
        outcome.records.assign(m_records.begin() + static_cast<std::ptrdiff_t>(from), m_records.end());
    }
    boost::asio::post(m_context, [outcome, whenDone = std::move(onDone)] { whenDone(outcome); });
}

void memory_log::readNewest(const topic_partition&, std::string_view afterKey, std::function<void(const newest_outcome&)> onDone)
{
    std::map<std::string, keyed_record> newest;
    for (const keyed_record& record : m_records) {
        if (record.value)
            newest[record.key] = record;
        else
            newest.erase(record.key);
    }
    newest_outcome outcome;
    outcome.isDone = !m_isDown;
    outcome.end = m_records.size();
    for (const std::pair<const std::string, keyed_record>& item : newest) {
        if (item.first <= afterKey)
            continue;
        outcome.hasMore = outcome.records.size() == pageSize;
        if (outcome.hasMore)
            break;
        outcome.records.push_back(item.second);
    }
    boost::asio::post(m_context, [outcome, whenDone = std::move(onDone)] { whenDone(outcome); });
}

}
