#pragma once

#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach {

struct gossip_message;

/// Encoded form of \a message.
std::string encodeGossip(const gossip_message& message);

/// Decodes \a bytes into \a message.
///
/// Returns MalformedMessage, and leaves \a message in an unspecified state, when the bytes do not parse or
/// exceed a bound of gossipmessage.h.
std::error_code decodeGossip(std::string_view bytes, gossip_message& message);

}
