#include "textread.h"

#include "textkeys.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    /// Bytes that the key and the framing of a record take in an answer.
    constexpr std::size_t recordOverhead = 256;
    /// Largest answer that is asked for; the log gives at least one record.
    constexpr std::size_t maxRangeBytes = std::size_t { 1024 } * 1024;

    /// Texts that are scattered over more ranges are read from pages.
    constexpr std::size_t maxRanges = 16;
    /// Records in a range for each one that is wanted, at most.
    constexpr std::uint64_t maxRangeSpread = 4;

    std::size_t rangeBytes(const text_reference& reference)
    {
        return reference.bytes + reference.records * recordOverhead;
    }

}

std::uint32_t text_read::wanted_text::firstMissingChunk() const
{
    return static_cast<std::uint32_t>(std::distance(chunks.begin(), std::find(chunks.begin(), chunks.end(), nullptr)));
}

std::string text_read::wanted_text::chunkKeyOf(std::uint32_t chunk) const
{
    return chunkKey(reference.key, recordNumber(chunk));
}

void text_read::wanted_text::complete()
{
    if (firstMissingChunk() < chunks.size())
        return;
    std::shared_ptr<const std::string> joined = chunks.empty() ? nullptr : chunks.front();
    if (chunks.size() > 1) {
        std::string bytes;
        for (const std::shared_ptr<const std::string>& chunk : chunks)
            bytes += *chunk;
        joined = std::make_shared<const std::string>(std::move(bytes));
    }
    isAbsent = !joined || joined->size() != reference.bytes;
    if (!isAbsent)
        text = std::move(joined);
}

text_read::text_read(boost::asio::io_context& context, text_requests& requests, std::span<const text_reference> references, text_read_options options, done_handler onDone)
    : m_timer(context)
    , m_requests(requests)
    , m_options(std::move(options))
    , m_onDone(std::move(onDone))
{
    for (const text_reference& reference : references)
        m_wanted.push_back({ reference, std::vector<std::shared_ptr<const std::string>>(reference.records), nullptr });
}

void text_read::start()
{
    m_startedAt = bootNow();
    for (wanted_text& wanted : m_wanted) {
        for (std::uint32_t number = 0; number < wanted.chunks.size(); ++number)
            wanted.chunks[number] = m_requests.cache().find(wanted.chunkKeyOf(number));
        wanted.complete();
        m_requests.counters().fromCache += wanted.text ? 1U : 0U;
    }
    if (firstMissing())
        startTimer();
    readNext();
}

void text_read::startTimer()
{
    if (m_options.deadline == instant::max())
        return;
    m_timer.expires_after(m_options.deadline - m_startedAt);
    m_timer.async_wait([self = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<text_read> read = self.lock();
        if (!error && read)
            read->finish();
    });
}

void text_read::readNext()
{
    const wanted_text* const first = firstMissing();
    const bool isWanted = !m_options.isWanted || m_options.isWanted();
    if (!first || !isWanted || bootNow() >= m_options.deadline) {
        finish();
        return;
    }
    const text_requests::answer_handler onAnswer = [self = shared_from_this()](const text_answer& answer) { self->applyAnswer(answer); };
    if (m_requests.join(first->reference.key, onAnswer))
        return;
    const std::vector<const wanted_text*> wanted = missingLike(*first);
    m_requests.send(requestFor(wanted), onAnswer);
}

const text_read::wanted_text* text_read::firstMissing() const
{
    const wanted_text* first = nullptr;
    for (const wanted_text& candidate : m_wanted) {
        if (candidate.isMissing() && (!first || candidate.beginOffset() < first->beginOffset()))
            first = &candidate;
    }
    return first;
}

bool text_read::needsPage(const wanted_text& candidate) const
{
    return candidate.isMisplaced || m_requests.isExpired(candidate.reference.partition, candidate.firstMissingOffset());
}

std::vector<const text_read::wanted_text*> text_read::missingLike(const wanted_text& first) const
{
    std::vector<const wanted_text*> found;
    for (const wanted_text& candidate : m_wanted) {
        const bool isSameBatch = candidate.reference.partition == first.reference.partition && batchPrefixOf(candidate.reference.key) == batchPrefixOf(first.reference.key);
        if (candidate.isMissing() && isSameBatch && needsPage(candidate) == needsPage(first))
            found.push_back(&candidate);
    }
    const auto isBefore = [](const wanted_text* left, const wanted_text* right) { return left->beginOffset() < right->beginOffset(); };
    std::sort(found.begin(), found.end(), isBefore);
    return found;
}

text_request text_read::requestFor(std::span<const wanted_text* const> wanted) const
{
    if (needsPage(*wanted.front()))
        return pageFor(wanted);
    const std::vector<std::size_t> sizes = denseRuns(wanted);
    return sizes.size() > maxRanges ? pageFor(wanted) : rangeFor(wanted.first(sizes.front()));
}

/// Numbers of texts that lie close together, for each range that is needed to read the \a wanted texts.
std::vector<std::size_t> text_read::denseRuns(std::span<const wanted_text* const> wanted)
{
    std::vector<std::size_t> sizes;
    std::uint64_t begin = 0;
    std::uint64_t records = 0;
    for (const wanted_text* const candidate : wanted) {
        records += candidate->reference.records;
        if (sizes.empty() || candidate->endOffset() - begin > records * maxRangeSpread) {
            sizes.push_back(0);
            begin = candidate->beginOffset();
            records = candidate->reference.records;
        }
        ++sizes.back();
    }
    return sizes;
}

text_request text_read::rangeFor(std::span<const wanted_text* const> wanted)
{
    const wanted_text& first = *wanted.front();
    text_request request { first.reference.partition, {}, {} };
    std::uint64_t bytes = 0;
    std::uint64_t records = 0;
    for (const wanted_text* const candidate : wanted) {
        request.textKeys.insert(candidate->reference.key);
        bytes += rangeBytes(candidate->reference);
        records += candidate->reference.records;
    }
    // The records of others between them are taken to be as large.
    const std::uint64_t spread = wanted.back()->endOffset() - first.beginOffset();
    const std::uint64_t askedBytes = bytes * spread / std::max<std::uint64_t>(records, 1);
    request.kind = range_request { first.firstMissingOffset(), static_cast<std::size_t>(std::min<std::uint64_t>(askedBytes, maxRangeBytes)) };
    return request;
}

text_request text_read::pageFor(std::span<const wanted_text* const> wanted)
{
    text_request request { wanted.front()->reference.partition, {}, {} };
    std::string firstKey;
    for (const wanted_text* const candidate : wanted) {
        request.textKeys.insert(candidate->reference.key);
        const std::string key = candidate->chunkKeyOf(candidate->firstMissingChunk());
        if (firstKey.empty() || key < firstKey)
            firstKey = key;
    }
    request.kind = page_request { keyBefore(firstKey) };
    return request;
}

void text_read::applyAnswer(const text_answer& answer)
{
    if (m_isFinished)
        return;
    takeChunks(answer);
    // The request of another read that was sent before this one began says little about the log by now.
    if (!answer.isAnswered && answer.sentAt >= m_startedAt) {
        finish();
        return;
    }
    if (answer.isAnswered)
        noteUnfound(answer);
    readNext();
}

void text_read::takeChunks(const text_answer& answer)
{
    for (wanted_text& wanted : m_wanted) {
        if (!wanted.isMissing())
            continue;
        for (std::uint32_t number = 0; number < wanted.chunks.size(); ++number) {
            const auto found = answer.chunks.find(wanted.chunkKeyOf(number));
            if (found != answer.chunks.end())
                wanted.chunks[number] = found->second;
        }
        wanted.complete();
        if (wanted.text)
            ++(answer.isPage ? m_requests.counters().fromPages : m_requests.counters().fromLog);
    }
}

void text_read::noteUnfound(const text_answer& answer)
{
    for (wanted_text& wanted : m_wanted) {
        const bool isOfBatch = wanted.reference.partition == answer.partition && wanted.reference.key.starts_with(answer.batchPrefix);
        if (!wanted.isMissing() || !isOfBatch)
            continue;
        const std::uint32_t number = wanted.firstMissingChunk();
        wanted.isMisplaced = wanted.isMisplaced || answer.coversOffset(wanted.firstMissingOffset());
        wanted.isAbsent = answer.coversKey(wanted.chunkKeyOf(number));
    }
}

void text_read::finish()
{
    if (std::exchange(m_isFinished, true))
        return;
    m_timer.cancel();
    text_outcome outcome { {}, true };
    for (const wanted_text& wanted : m_wanted) {
        outcome.texts.push_back(wanted.text);
        outcome.isComplete = outcome.isComplete && wanted.text;
    }
    m_requests.counters().readFailures += outcome.isComplete ? 0U : 1U;
    std::exchange(m_onDone, {})(outcome);
}

}
