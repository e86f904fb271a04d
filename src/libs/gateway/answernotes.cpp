#include "answernotes.h"

#include "bootclock.h"

namespace ragwortreach {

namespace {

    /// A connection that is refused is refused within this time.
    constexpr duration maxRefusalTime = std::chrono::milliseconds(150);

}

void noteAnswer(replica_gate& gate, const replica_instance& replica, std::string_view id, const platform::replica_answer& answer)
{
    if (answer.isOtherReplica)
        return;
    if (answer.isLeaving)
        gate.noteLeaving(replica);
    // Only an answer that is certainly the replica's own says by its silence that a limit has ended.
    if (answer.limit || answer.belongsTo(id))
        gate.noteLimit(replica, answer.limit);
}

void noteUnanswered(replica_gate& gate, const replica_instance& replica, result_code code, instant begunAt)
{
    if (code == result_code::UpstreamUnreachable)
        gate.noteUnreached(replica, bootNow() - begunAt > maxRefusalTime ? access_failure::ConnectTimedOut : access_failure::Refused, begunAt);
    else if (code == result_code::UpstreamTimeout)
        gate.noteUnreached(replica, access_failure::Silent, begunAt);
}

platform::replica_answer noteResponse(replica_gate& gate, const replica_instance& replica, std::string_view id, const http_response& response)
{
    platform::replica_answer answer = platform::decodeReplicaAnswer({ response.status, response.headers, std::nullopt });
    noteAnswer(gate, replica, id, answer);
    return answer;
}

}
