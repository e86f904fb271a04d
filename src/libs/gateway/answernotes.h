#pragma once

#include <platform/requestcodec.h>
#include <rollout/replicagate.h>

#include <core/instant.h>
#include <core/resultcode.h>

#include <string_view>

namespace ragwortreach {

/// Notes what \a answer of \a replica to the request \a id says about the replica itself.
void noteAnswer(replica_gate& gate, const replica_instance& replica, std::string_view id, const platform::replica_answer& answer);

/// Notes that an attempt at \a replica, begun at \a begunAt, ended with \a code and without any part of an answer, if that may
/// mean that the replica is out of reach.
void noteUnanswered(replica_gate& gate, const replica_instance& replica, result_code code, instant begunAt);

/// Does what noteAnswer() does for the head of \a response, whose body may be incomplete. Returns the head.
platform::replica_answer noteResponse(replica_gate& gate, const replica_instance& replica, std::string_view id, const http_response& response);

}
