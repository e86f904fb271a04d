#pragma once

#include "adminmessage.h"
#include "commandenvironment.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// What a call brought: the message or the reason why there is none.
template <typename message>
using admin_result = std::variant<message, command_failure>;

/// Calls of the admin interface of daemons, as typed messages.
class admin_client {
public:
    explicit admin_client(const command_environment& environment);

    admin_result<catalogue_listing> catalogue() const;
    /// The entry called \a name, with revision 0 when there is none.
    admin_result<entry_row> entry(std::string_view name) const;
    admin_result<std::vector<catalogue_history_item>> history(std::string_view name) const;
    admin_result<submission_outcome> submit(const catalogue_submission& submission) const;
    /// How far the VMs are in applying the edit at \a offset.
    admin_result<edit_confirmations> confirmations(std::uint64_t offset) const;
    admin_result<daemon_status> status() const;
    /// Events that the daemons at the admin addresses \a addresses hold about \a subject, all when it is empty. The
    /// results come in the order of the addresses.
    std::vector<admin_result<std::vector<shown_event>>> timelines(std::span<const std::string> addresses, std::string_view subject, hybrid_time since) const;

private:
    /// Body of a successful answer to GET.
    admin_result<std::string> read(const std::string& address, const std::string& target) const;

    const command_environment& m_environment;
};

}
