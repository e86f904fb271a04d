#pragma once

#include "textstore.h"

namespace ragwortreach {

/// One read of texts by a text_store. Takes texts from the cache, then reads by offset, then, for records that the history
/// of the log no longer holds, from the pages of newest records.
class text_store::text_read : public std::enable_shared_from_this<text_read> {
public:
    text_read(text_store& store, std::vector<text_reference> references, std::function<void(const std::optional<text_list>&)> onDone);

    void start();

private:
    /// Reads the missing text with the lowest offset, or finishes when none is missing.
    void readNext();
    /// Reads from the offset of the text \a first on, for all missing texts of its partition.
    void readRange(std::size_t first);
    void applyRange(std::size_t first, const read_outcome& outcome);
    /// Takes the text \a index from \a records, which start at the offset \a from; false when they do not hold it.
    bool extractText(std::size_t index, std::uint64_t from, std::span<const keyed_record> records);
    void readPages(std::size_t first);
    void applyPagedTexts(std::span<const keyed_record> records);
    void setText(std::size_t index, std::string text);
    void finish(bool isComplete);

    text_store& m_store;
    std::vector<text_reference> m_references;
    text_list m_texts;
    std::function<void(const std::optional<text_list>&)> m_onDone;
};

}
