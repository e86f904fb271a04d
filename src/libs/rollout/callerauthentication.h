#pragma once

#include "calleridentity.h"
#include "routetable.h"

#include <string_view>

namespace ragwortreach {

/// Whether a request is admitted.
enum class admission_verdict {
    Admitted,
    /// No organisation holds the key of the request, or it has none.
    UnknownKey,
    /// The key may have been added or withdrawn since the configuration was last confirmed.
    Unconfirmed,
};

struct caller_admission {
    admission_verdict verdict = admission_verdict::Admitted;
    caller_identity identity;
};

/// Decides by the configuration of \a routes whether a request with \a key is admitted at \a now; \a key is empty when the
/// request has none. \a isPublic: the route of the request needs no key.
///
/// A daemon that cannot read the log does not learn that a key was withdrawn. So it honours keys for a bounded time only
/// after its configuration was confirmed, and says that a key is unknown only while it would know of a new one.
caller_admission admitCaller(const route_table& routes, std::string_view key, bool isPublic, instant now);

}
