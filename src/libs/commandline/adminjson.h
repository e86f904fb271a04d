#pragma once

#include "adminmessage.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

/// Converts JSON answers of the admin interface into messages. Malformed answers throw nlohmann::json::exception; a
/// malformed time throws std::invalid_argument or std::out_of_range.
namespace ragwortreach::Internal {

entry_row readItem(const nlohmann::json& json);
catalogue_listing readListing(const nlohmann::json& json);
std::vector<catalogue_history_item> readHistory(const nlohmann::json& json);
submission_accepted readAccepted(const nlohmann::json& json);
submission_rejected readRejected(const nlohmann::json& json, const std::string& entry);
edit_confirmations readConfirmations(const nlohmann::json& json);
daemon_status readStatus(const nlohmann::json& json);
std::vector<event_row> readTimeline(const nlohmann::json& json);

}
