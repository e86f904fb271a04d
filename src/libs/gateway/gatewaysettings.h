#pragma once

#include <core/instant.h>
#include <support/settings.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach {

/// Settings of a daemon that runs on the users' platform.
struct gateway_settings {
    std::string vm;
    std::string dataCentre;
    std::string region;
    /// Address for customers and trainers, "ip:port".
    std::string callerAddress;
    /// Address that says whether the daemon is ready, "ip:port".
    std::string readinessAddress;
    /// Address of the metrics, "ip:port".
    std::string metricsAddress;
    /// Address of the platform's log, "ip:port".
    std::string storeAddress;
    /// Partitions of the journal of batches.
    std::uint32_t journalPartitions = 1;
    /// Partitions of the texts of results.
    std::uint32_t textPartitions = 4;
    /// Time between two holders of the right to order weights.
    duration orderLease = std::chrono::milliseconds(3000);
    /// Replicas of a service that may load weights at once without slowing each other down, as a part of them.
    double loadShare = 0.2;
    /// Part of a core that the VM has.
    double processorShare = 1;
    /// Time from the request to stop until the process is killed.
    duration stopTime = std::chrono::milliseconds(8000);
    log_settings log;
};

/// JSON schema (draft 4) of the settings, as published in docs/gateway.schema.json.
std::string_view gatewaySettingsSchema();

/// Whether \a text holds settings for a daemon on the users' platform.
bool isGatewaySettings(std::string_view text);

/// Reads \a text into \a settings. On an error \a settings stays as it is and \a detail becomes a sentence that names
/// the key, the value, what was expected and the remedy.
std::error_code loadGatewaySettings(std::string_view text, gateway_settings& settings, std::string& detail);

}
