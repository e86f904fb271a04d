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

}
