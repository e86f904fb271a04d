#include "streamstore.h"

#include <algorithm>

using nlohmann::json;

namespace ragwortreach::StandIns {

std::uint64_t stream_store::append(const std::string& stream, const json& records)
{
    stream_records& target = m_streams[stream];
    const std::uint64_t first = end(stream);
    for (const json& record : records) {
        const std::uint64_t offset = end(stream);
        target.records.push_back({ { "offset", offset }, { "id", record.value("id", "") }, { "data", record.value("data", json()) } });
    }
    return first;
}

void stream_store::retain(std::size_t count)
{
    for (std::pair<const std::string, stream_records>& item : m_streams) {
        stream_records& stream = item.second;
        while (stream.records.size() > count) {
            stream.records.pop_front();
            ++stream.first;
        }
    }
}

std::uint64_t stream_store::firstRetained(const std::string& stream) const
{
    const std::map<std::string, stream_records>::const_iterator found = m_streams.find(stream);
    return found == m_streams.end() ? 0 : found->second.first;
}

std::uint64_t stream_store::end(const std::string& stream) const
{
    const std::map<std::string, stream_records>::const_iterator found = m_streams.find(stream);
    return found == m_streams.end() ? 0 : found->second.first + found->second.records.size();
}

json stream_store::read(const std::string& stream, std::uint64_t from, std::size_t max, offset_range gap) const
{
    json records = json::array();
    const std::uint64_t first = firstRetained(stream);
    std::uint64_t next = std::max(from, first);
    for (; next < end(stream) && records.size() < max; ++next) {
        if (next < gap.first || next >= gap.last)
            records.push_back(m_streams.at(stream).records[next - first]);
    }
    return { { "first_retained", first }, { "next", next }, { "end", end(stream) }, { "records", records } };
}

}
