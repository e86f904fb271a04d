#include "textcache.h"

namespace ragwortreach {

text_cache::text_cache(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void text_cache::add(text_chunk chunk)
{
    if (find(chunk.key))
        return;
    m_bytes += chunk.bytes->size();
    m_chunks.push_front(std::move(chunk));
    m_index.emplace(m_chunks.front().key, m_chunks.begin());
    while (m_bytes > m_maxBytes && m_chunks.size() > 1) {
        m_bytes -= m_chunks.back().bytes->size();
        m_index.erase(m_chunks.back().key);
        m_chunks.pop_back();
    }
}

std::shared_ptr<const std::string> text_cache::find(std::string_view key)
{
    const auto found = m_index.find(key);
    if (found == m_index.end())
        return nullptr;
    m_chunks.splice(m_chunks.begin(), m_chunks, found->second);
    return found->second->bytes;
}

}
