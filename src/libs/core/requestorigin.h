#pragma once

#include "daemonevent.h"

#include <string>

namespace ragwortreach::Internal {

class daemon_context;

/// Sender of a request about a batch, who waits for the answer: a caller, or a peer that forwarded the request.
struct request_origin {
    request_number number = 0;
    bool isPeer = false;
};

/// Sends \a answer to a peer as it is, and to a caller as the corresponding HTTP answer.
void reply(daemon_context& context, const request_origin& to, peer_reply answer);

/// Answers a request with an error.
void refuse(daemon_context& context, const request_origin& to, result_code code, std::string detail);

}
