#pragma once

#include <platform/requestcodec.h>
#include <rollout/replicagate.h>

#include <string_view>

namespace ragwortreach {

/// Notes what \a answer of \a replica to the request \a id says about the replica itself.
void noteAnswer(replica_gate& gate, const replica_instance& replica, std::string_view id, const platform::replica_answer& answer);

/// Does the same for the head of \a response, whose body may be incomplete. Returns the head.
platform::replica_answer noteResponse(replica_gate& gate, const replica_instance& replica, std::string_view id, const http_response& response);

}
