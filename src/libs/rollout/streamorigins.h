#pragma once

#include <functional>
#include <string>

namespace ragwortreach {

/// Tells which version of the replicas' software began the streams of callers.
class stream_origins {
public:
    virtual ~stream_origins() = default;

    /// Notes that a replica with the version \a software sent the first event of the stream of \a request.
    virtual void noteBegun(const std::string& request, const std::string& service, const std::string& software) = 0;
    /// Calls \a onFound, possibly at once, with the version that began the stream of \a request; empty when it is not known.
    virtual void find(const std::string& request, const std::string& service, std::function<void(const std::string& software)> onFound) = 0;
};

}
