#include "answernotes.h"

namespace ragwortreach {

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

platform::replica_answer noteResponse(replica_gate& gate, const replica_instance& replica, std::string_view id, const http_response& response)
{
    platform::replica_answer answer = platform::decodeReplicaAnswer({ response.status, response.headers, std::nullopt });
    noteAnswer(gate, replica, id, answer);
    return answer;
}

}
