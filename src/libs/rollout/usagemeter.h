#pragma once

#include <core/instant.h>

#include <string_view>

namespace ragwortreach {

/// Counts the requests of organisations that begin to run.
class usage_meter {
public:
    virtual ~usage_meter() = default;

    /// Notes that a replica began to run a request of \a organisation at \a at. To be called once for each request.
    virtual void noteBegun(std::string_view organisation, instant at) = 0;
    /// Takes back what noteBegun() noted, since the replica did not run the request after all.
    virtual void noteNotBegun(std::string_view organisation, instant at) = 0;
};

}
