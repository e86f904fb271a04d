#pragma once

#include "daemonevent.h"

#include <string>

namespace ragwortreach::Internal {

class daemon_context;

/// Who waits for the answer to a request about a batch: a caller, or a peer that forwarded it.
struct request_origin {
    request_number number = 0;
    bool isPeer = false;
};

/// Answers a request. A caller gets the HTTP answer that stands for \a answer.
void reply(daemon_context& context, const request_origin& to, peer_reply answer);

/// Answers a request with an error.
void refuse(daemon_context& context, const request_origin& to, result_code code, std::string detail);

}
