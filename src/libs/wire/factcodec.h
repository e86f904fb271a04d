#pragma once

#include <core/membership.h>
#include <rollout/fact.h>
#include <rollout/permitmessage.h>
#include <rollout/streamnote.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Payload of a gossip message: facts, a message about a permit, and one about a stream.
struct fact_message {
    std::vector<fact> facts;
    std::optional<permit_message> permit;
    std::optional<stream_message> stream {};
};

/// Bytes of \a message at \a now (protobuf, facts.proto). Times are sent as ages, since clocks differ between VMs.
std::string encodeFactMessage(const fact_message& message, instant now);
/// Decodes the output of encodeFactMessage() that arrived at \a now; none for malformed bytes.
std::optional<fact_message> decodeFactMessage(std::string_view bytes, instant now);

/// Record that announces the daemon \a entry to the others.
std::string encodeAnnouncement(const vm_list_entry& entry);
/// Decodes the announcement of the daemon on \a vm.
std::optional<vm_list_entry> decodeAnnouncement(const std::string& vm, std::string_view bytes);

}
