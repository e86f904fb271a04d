#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Record of a text: the whole text, or one of the chunks that it is split into.
struct text_chunk {
    std::string key;
    std::shared_ptr<const std::string> bytes;
};

/// Most recently used records of texts, up to a number of bytes.
class text_cache {
public:
    explicit text_cache(std::size_t maxBytes);

    /// Adds \a chunk and evicts the least recently used ones beyond the limit.
    void add(text_chunk chunk);
    /// Bytes of the record \a key; null when it is not in the cache.
    std::shared_ptr<const std::string> find(std::string_view key);

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    /// Most recently used first.
    std::list<text_chunk> m_chunks;
    std::map<std::string, std::list<text_chunk>::iterator, std::less<>> m_index;
};

}
