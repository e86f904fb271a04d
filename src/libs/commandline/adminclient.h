#pragma once

#include "adminmessage.h"
#include "commandenvironment.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Result of a call: the message of the answer, or the failure.
template <typename message>
using admin_result = std::variant<message, command_failure>;

/// Client of the admin interface of daemons. Calls block until they are answered or time out.
class admin_client {
public:
    explicit admin_client(const command_environment& environment);

    /// All entries of the catalogue.
    admin_result<catalogue_listing> catalogue() const;
    /// The entry called \a name; its revision is 0 when the catalogue has no such entry.
    admin_result<entry_row> entry(std::string_view name) const;
    /// All edits of the entry called \a name, accepted and rejected, in the order of the log.
    admin_result<std::vector<catalogue_history_item>> history(std::string_view name) const;
    /// Sends an edit once, without a retry. A lost reply gives submission_unknown.
    admin_result<submission_outcome> submit(const catalogue_submission& submission) const;
    /// Which VMs have applied the edit at \a offset, and the catalogue positions of all.
    admin_result<edit_confirmations> confirmations(std::uint64_t offset) const;
    /// State of the daemon, with its view of the other VMs.
    admin_result<daemon_status> status() const;
    /// Timeline events since \a since that the daemons at the admin addresses \a addresses hold about \a subject (about
    /// anything when it is empty). One result per daemon, in the order of the addresses.
    std::vector<admin_result<std::vector<event_row>>> timelines(std::span<const std::string> addresses, std::string_view subject, hybrid_time since) const;

private:
    /// Body of a successful answer to GET.
    admin_result<std::string> read(const std::string& address, const std::string& target) const;

    const command_environment& m_environment;
};

}
