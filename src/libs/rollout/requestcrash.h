#pragma once

#include "replicalimit.h"
#include "requestdigest.h"

namespace ragwortreach {

/// A replica ended while it ran a request, before any part of the answer arrived.
struct request_crash {
    request_digest request;
    replica_instance replica;
    instant at {};
};

/// A replica answered a request, so the request does not end replicas.
struct request_success {
    request_digest request;
    instant at {};
};

}
