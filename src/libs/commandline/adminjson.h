#pragma once

#include "adminmessage.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

/// Reads the messages of the admin interface. Malformed messages throw nlohmann::json::exception.
namespace ragwortreach::Internal {

entry_row readItem(const nlohmann::json& json);
catalogue_listing readListing(const nlohmann::json& json);
std::vector<catalogue_history_item> readHistory(const nlohmann::json& json);
submission_accepted readAccepted(const nlohmann::json& json);
submission_rejected readRejected(const nlohmann::json& json, const std::string& entry);
edit_confirmations readConfirmations(const nlohmann::json& json);
daemon_status readStatus(const nlohmann::json& json);
std::vector<shown_event> readTimeline(const nlohmann::json& json);

}
