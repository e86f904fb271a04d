#include "relayedanswer.h"

#include <utility>

namespace ragwortreach {

namespace {

    /// Answers up to this size are kept until they are complete.
    constexpr std::size_t maxKeptBytes = std::size_t { 256 } * 1024;
    /// Largest body of an error answer.
    constexpr std::size_t maxFailureBytes = std::size_t { 1024 } * 1024;
    /// Largest body of an answer that does not belong to the call; it is never passed on.
    constexpr std::size_t maxForeignBytes = std::size_t { 64 } * 1024;

}

relayed_answer::relayed_answer(const http_exchange& exchange, std::string requestId, bool isStream, std::uint64_t lastEvent)
    : m_exchange(exchange)
    , m_requestId(std::move(requestId))
    , m_isStream(isStream)
    , m_reader(platform::weightVersionField())
    , m_lastEvent(lastEvent)
{
}

void relayed_answer::beginAttempt()
{
    m_head = {};
    m_kept = {};
    m_reader = event_stream_reader(platform::weightVersionField());
    m_isResuming = m_lastEvent != 0;
}

void relayed_answer::setHead(const platform::replica_answer& answer, const http_response_head& head)
{
    m_head = answer;
    m_kept.status = head.status;
    m_kept.headers = platform::forwardedAnswerHeaders(head.headers);
    m_length = head.contentLength;
}

void relayed_answer::addHeader(http_header header)
{
    m_kept.headers.push_back(std::move(header));
}

bool relayed_answer::isOwnSuccess() const
{
    return m_head.belongsTo(m_requestId) && isSuccess(m_head.status);
}

bool relayed_answer::read(std::string_view piece)
{
    if (!isOwnSuccess())
        return keepFailure(piece);
    if (m_isStream)
        return readEvents(piece);
    readBody(piece);
    return true;
}

bool relayed_answer::keepFailure(std::string_view piece)
{
    const std::size_t limit = m_head.belongsTo(m_requestId) ? maxFailureBytes : maxForeignBytes;
    if (m_kept.body.size() + piece.size() > limit)
        return false;
    m_kept.body += piece;
    return true;
}

/// Sends complete events only, so that a stream can continue at another replica without a gap or a partial event.
bool relayed_answer::readEvents(std::string_view piece)
{
    for (const stream_event& event : m_reader.read(piece)) {
        if (event.id <= m_lastEvent)
            continue;
        if (std::exchange(m_isResuming, false) && event.id != m_lastEvent + 1)
            return false;
        start();
        m_lastEvent = event.id;
        m_exchange.write(event.bytes);
    }
    return m_reader.isValid();
}

void relayed_answer::readBody(std::string_view piece)
{
    if (!m_hasStarted && m_kept.body.size() + piece.size() <= maxKeptBytes) {
        m_kept.body += piece;
        return;
    }
    start();
    m_exchange.write(piece);
}

/// Sends the head and what is kept, unless that was done before.
void relayed_answer::start()
{
    if (std::exchange(m_hasStarted, true))
        return;
    m_exchange.beginStream({ m_kept.status, m_kept.headers, m_isStream ? std::nullopt : m_length });
    m_exchange.write(m_kept.body);
    m_kept.body.clear();
}

void relayed_answer::finish()
{
    if (m_hasStarted)
        m_exchange.endStream();
    else
        m_exchange.respond(std::move(m_kept));
}

}
