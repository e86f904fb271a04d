#include "contentsfetcher.h"

#include "bootclock.h"
#include "textscan.h"

#include <wire/contentscodec.h>

#include <memory>
#include <string>
#include <utility>

namespace ragwortreach {

namespace {

    /// Decodes the item at \a location from the records that have it.
    std::optional<item_contents> decode(std::string records, const contents_location& location, std::uint64_t recordsBegin)
    {
        const std::uint64_t begin = location.offset - recordsBegin;
        if (begin + location.bytes > records.size())
            return std::nullopt;
        records.resize(begin + location.bytes);
        records.erase(0, begin);
        std::optional<batch_item> item = takeContentsItem(std::move(records));
        return item ? std::optional<item_contents>(takeContents(*item)) : std::nullopt;
    }

}

void readContents(text_store& texts, const ledger_batch& batch, std::size_t item, text_read_options options,
    std::function<void(std::optional<item_contents>)> onDone)
{
    const contents_location location = batch.items[item].contents;
    const record_range range = recordsOf(location.offset, location.bytes);
    const std::shared_ptr<std::string> records = std::make_shared<std::string>();
    records->reserve(range.count * maxRecordBytes);
    text_scan::handlers handlers;
    handlers.onPiece = [records](std::string_view piece) {
        *records += piece;
        return true;
    };
    handlers.onDone = [records, location, range, whenDone = std::move(onDone)](scan_end end) {
        if (end == scan_end::Whole)
            whenDone(decode(std::move(*records), location, std::uint64_t { range.first } * maxRecordBytes));
        else
            whenDone(std::nullopt);
    };
    std::make_shared<text_scan>(texts, *batch.submission.contents, range, std::move(options), std::move(handlers))->start();
}

contents_fetcher::contents_fetcher(journal& journal, contents_cache& cache, std::function<void()> onRead)
    : m_journal(journal)
    , m_cache(cache)
    , m_onRead(std::move(onRead))
{
}

void contents_fetcher::readMissing()
{
    for (const item_key& key : m_cache.takeReads())
        read(key);
}

void contents_fetcher::read(const item_key& key)
{
    const ledger_batch* const batch = m_journal.ledger().find(key.batch);
    if (!batch || !batch->isLoaded || !batch->hasStoredContents()) {
        m_cache.noteUnread(key, bootNow());
        return;
    }
    readContents(m_journal.texts(), *batch, key.item, {}, [this, key](std::optional<item_contents> contents) {
        const ledger_batch* const stillLoaded = m_journal.ledger().find(key.batch);
        if (contents && stillLoaded && stillLoaded->isLoaded)
            m_cache.add(key, std::move(*contents));
        else
            m_cache.noteUnread(key, bootNow());
        m_onRead();
    });
}

}
