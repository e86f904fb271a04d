#pragma once

#include <net/httpserver.h>
#include <platform/requestcodec.h>
#include <rollout/eventstreamreader.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Answer to a caller, made of the answers of one or more replicas to the same call.
///
/// Short answers are kept until they are complete, so that a truncated one can be replaced by that of another replica. Of
/// a stream whole events are passed on as they arrive; once it has begun, only its next events follow, whatever another
/// replica answers.
class relayed_answer {
public:
    /// The answer is sent to \a exchange. \a requestId: the id that answers of replicas have to name. \a lastEvent: the last
    /// event of a stream that the caller has.
    relayed_answer(const http_exchange& exchange, std::string requestId, bool isStream, std::uint64_t lastEvent);

    /// Forgets what is kept of the answer of the replica before. Whatever was sent to the caller stays.
    void beginAttempt();
    void setHead(const platform::replica_answer& answer, const http_response_head& head);
    /// Adds \a header to the head that setHead() has set.
    void addHeader(http_header header);
    /// Takes the next bytes of the body; false when they are no valid answer to the call.
    bool read(std::string_view piece);
    /// Completes the answer to the caller.
    void finish();

    /// Head of the replica's answer in this attempt.
    const platform::replica_answer& head() const { return m_head; }
    /// Whether the replica's answer is a success of its own to this call.
    bool isOwnSuccess() const;
    /// Whether the part that was read in this attempt may be all of the answer.
    bool isWhole() const { return !m_isStream || m_reader.isBetweenEvents(); }
    /// Whether a part of the answer was sent to the caller.
    bool hasStarted() const { return m_hasStarted; }
    /// Last event that was sent to the caller, or that the caller had before.
    std::uint64_t lastEvent() const { return m_lastEvent; }

private:
    bool keepFailure(std::string_view piece);
    bool readEvents(std::string_view piece);
    void readBody(std::string_view piece);
    void start();

    http_exchange m_exchange;
    std::string m_requestId;
    bool m_isStream;
    platform::replica_answer m_head;
    /// The part of the answer that has not been sent.
    http_response m_kept;
    std::optional<std::uint64_t> m_length;
    bool m_hasStarted = false;
    event_stream_reader m_reader;
    std::uint64_t m_lastEvent;
    /// The next event of the attempt has to be the one after m_lastEvent.
    bool m_isResuming = false;
};

}
