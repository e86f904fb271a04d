#include "sampledraft.h"

#include "resultcode.h"

namespace ragwortreach {

std::error_code sample_draft::append(std::uint32_t position, std::span<const std::uint32_t> tokenIds, std::string_view text,
    std::span<const weight_version> versions)
{
    const std::error_code error = m_label.append(position, static_cast<std::uint32_t>(tokenIds.size()), versions);
    if (error)
        return error;
    if (m_text.size() + text.size() > maxSampleTextBytes)
        return result_code::BodyTooLarge;
    if (tokenIds.empty() && text.empty())
        return {};
    m_tokenIds.insert(m_tokenIds.end(), tokenIds.begin(), tokenIds.end());
    m_text.append(text);
    m_chunkEnds.push_back({ tokens(), static_cast<std::uint32_t>(m_text.size()) });
    return {};
}

void sample_draft::truncate(std::uint32_t tokens)
{
    while (!m_chunkEnds.empty() && m_chunkEnds.back().tokens > tokens)
        m_chunkEnds.pop_back();
    const chunk_end end = m_chunkEnds.empty() ? chunk_end {} : m_chunkEnds.back();
    m_tokenIds.resize(end.tokens);
    m_text.resize(end.textBytes);
    m_label.truncate(end.tokens);
    if (m_tokenIds.empty())
        m_startedAt.reset();
}

void sample_draft::setStartedAt(instant startedAt)
{
    if (!m_startedAt)
        m_startedAt = startedAt;
}

}
