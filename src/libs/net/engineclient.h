#pragma once

#include "endpoint.h"
#include "httpclient.h"

#include <core/enginemessage.h>

#include <functional>
#include <optional>
#include <string>

namespace ragwortreach {

/// Client of the model engines.
class engine_client {
public:
    explicit engine_client(http_client& client);

    /// \a onDone gets Ok only when the stream ended with its finish reason.
    http_call_handle complete(const endpoint& address, const completion_request& request, duration timeout,
        std::function<void(completion_chunk)> onChunk, std::function<void(const http_outcome&)> onDone);
    void cancel(const endpoint& address, std::string_view requestId);
    void readState(const endpoint& address, std::function<void(std::optional<engine_state>)> handler);
    void orderLoad(const endpoint& address, std::string_view model, const weight_version& weights,
        std::uint64_t fencing, std::function<void(order_answer)> handler);

private:
    http_client& m_client;
};

}
