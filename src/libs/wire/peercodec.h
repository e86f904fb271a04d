#pragma once

#include <core/peermessage.h>

#include <core/instant.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach {

/// Longest time that a caller may wait for a reply.
constexpr duration maxPeerTimeout = std::chrono::hours(24);

/// Request with the data that the channel needs to match the reply and to expire the request.
struct peer_request_frame {
    /// Hybrid time of the sender.
    std::uint64_t hybridTime = 0;
    /// Number of the request, unique at its sender.
    std::uint64_t correlation = 0;
    /// Time left until the caller stops waiting.
    duration remaining {};
    peer_request request;
    bool operator==(const peer_request_frame&) const = default;
};

/// Reply to the request with the same correlation number.
struct peer_reply_frame {
    /// Hybrid time of the sender.
    std::uint64_t hybridTime = 0;
    std::uint64_t correlation = 0;
    peer_reply reply;
    bool operator==(const peer_reply_frame&) const = default;
};

/// Encoded form of \a frame.
std::string encodePeerRequest(const peer_request_frame& frame);

/// Encoded form of \a frame.
std::string encodePeerReply(const peer_reply_frame& frame);

/// Decodes \a bytes into \a frame. Returns MalformedMessage when they do not parse or exceed a bound.
std::error_code decodePeerRequest(std::string_view bytes, peer_request_frame& frame);

/// Decodes \a bytes into \a frame. Returns MalformedMessage when they do not parse or exceed a bound.
std::error_code decodePeerReply(std::string_view bytes, peer_reply_frame& frame);

}
