#pragma once

#include <platform/requestcodec.h>
#include <rollout/replicagate.h>

#include <string_view>

namespace ragwortreach {

/// Notes what \a answer of \a replica to the request \a id says about the replica itself.
void noteAnswer(replica_gate& gate, const replica_instance& replica, std::string_view id, const platform::replica_answer& answer);

}
