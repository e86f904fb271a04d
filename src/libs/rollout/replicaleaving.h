#pragma once

#include "replicalimit.h"

namespace ragwortreach {

/// A replica announced in an answer that it is leaving.
struct replica_leaving {
    replica_instance replica;
    instant statedAt {};
};

}
