#pragma once

#include "endpoint.h"

#include <core/enginemessage.h>
#include <core/instant.h>

#include <functional>
#include <optional>

namespace ragwortreach {

class http_client;

/// Client of the scorers, the services that score samples.
class scorer_client {
public:
    explicit scorer_client(http_client& client);

    /// Requests the reward of a sample. Scoring is idempotent, so a failed request may be repeated. \a handler gets no reward
    /// when the request failed.
    void score(const endpoint& address, const score_request& request, duration timeout,
        std::function<void(std::optional<double>)> handler);

private:
    http_client& m_client;
};

}
