#include "gatewaysettings.h"

#include <core/resultcode.h>
#include <net/endpoint.h>
#include <support/schemavalidator.h>

#include <nlohmann/json.hpp>

#include <array>

namespace ragwortreach {

using nlohmann::json;

namespace {

    constexpr std::string_view schemaText = R"json({
  "$schema": "http://json-schema.org/draft-04/schema#",
  "type": "object",
  "description": "a JSON object with the settings of one daemon on the users' platform",
  "additionalProperties": false,
  "required": ["vm", "data_centre", "region", "gateway"],
  "properties": {
    "vm": { "type": "string", "minLength": 1, "description": "the name of the VM" },
    "data_centre": { "type": "string", "minLength": 1, "description": "the name of the data centre" },
    "region": { "type": "string", "description": "the name of the region" },
    "log_level": { "enum": ["debug", "info", "warning", "error"], "description": "one of debug, info, warning and error" },
    "gateway": {
      "type": "object",
      "description": "an object with the addresses and bounds of the daemon",
      "additionalProperties": false,
      "required": ["caller", "readiness", "metrics", "store"],
      "properties": {
        "caller": { "type": "string", "description": "an IP number and a port, such as 127.0.0.1:8080" },
        "readiness": { "type": "string", "description": "an IP number and a port, such as 127.0.0.1:8080" },
        "metrics": { "type": "string", "description": "an IP number and a port, such as 127.0.0.1:8080" },
        "peer": { "type": "string", "description": "an IP number and a port, such as 127.0.0.1:8080" },
        "gossip": { "type": "string", "description": "an IP number and a port, such as 127.0.0.1:8080" },
        "store": { "type": "string", "description": "an IP number and a port, such as 127.0.0.1:8080" },
        "journal_partitions": { "type": "integer", "minimum": 1, "maximum": 64, "description": "a whole number from 1 to 64" },
        "text_partitions": { "type": "integer", "minimum": 1, "maximum": 64, "description": "a whole number from 1 to 64" },
        "order_lease_ms": { "type": "integer", "minimum": 0, "maximum": 600000, "description": "milliseconds, from 0 to 600000" },
        "configuration_apply_ms": { "type": "integer", "minimum": 0, "maximum": 600000, "description": "milliseconds, from 0 to 600000" },
        "configuration_grace_ms": { "type": "integer", "minimum": 0, "maximum": 600000, "description": "milliseconds, from 0 to 600000" },
        "replica_heartbeat_ms": { "type": "integer", "minimum": 1, "maximum": 600000, "description": "milliseconds, from 1 to 600000" },
        "key_revocation_ms": { "type": "integer", "minimum": 500, "maximum": 600000, "description": "milliseconds, from 500 to 600000" },
        "load_share": { "type": "number", "minimum": 0.001, "maximum": 1, "description": "a part of the replicas of a service, from 0.001 to 1" },
        "processor_share": { "type": "number", "minimum": 0.001, "maximum": 1024, "description": "cores, from 0.001 to 1024" },
        "memory_mb": { "type": "number", "minimum": 1, "maximum": 1048576, "description": "mebibytes, from 1 to 1048576" },
        "max_descriptors": { "type": "integer", "minimum": 1, "maximum": 16777216, "description": "a whole number from 1 to 16777216" },
        "duty_api": { "type": "string", "description": "an IP number and a port, such as 127.0.0.1:8080" },
        "duties": { "type": "array", "items": { "type": "string" }, "description": "a list of strings" },
        "usage_window_s": { "type": "number", "minimum": 0.1, "maximum": 86400, "description": "seconds, from 0.1 to 86400" },
        "usage_due_s": { "type": "number", "minimum": 1, "maximum": 86400, "description": "seconds, from 1 to 86400" },
        "fencing_enforced": { "type": "boolean", "description": "true or false" },
        "stop_s": { "type": "number", "minimum": 0.1, "maximum": 3600, "description": "seconds, from 0.1 to 3600" }
      }
    }
  }
})json";

    constexpr double bytesPerMebibyte = 1024 * 1024;
    constexpr std::array levels { log_level::Debug, log_level::Info, log_level::Warning, log_level::Error };

    bool readAddress(const json& object, const char* key, std::string& address, std::string& detail)
    {
        address = object.at(key).get<std::string>();
        if (parseEndpoint(address))
            return true;
        detail = std::string("The key 'gateway.") + key + "' has the value \"" + address
            + "\"; expected an IP number and a port, such as 127.0.0.1:8080. Correct the value.";
        return false;
    }

    duration readSeconds(const json& object, const char* key, duration missing)
    {
        const double seconds = object.value(key, std::chrono::duration<double>(missing).count());
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    duty_settings readDuties(const json& gateway)
    {
        duty_settings duties;
        for (const json& duty : gateway.value("duties", json::array())) {
            duties.reportsUsage = duties.reportsUsage || duty == "usage";
            duties.ordersReplicas = duties.ordersReplicas || duty == "scaling";
        }
        duties.usage.windowLength = readSeconds(gateway, "usage_window_s", duties.usage.windowLength);
        duties.usage.dueTime = readSeconds(gateway, "usage_due_s", duties.usage.dueTime);
        duties.isFencingEnforced = gateway.value("fencing_enforced", duties.isFencingEnforced);
        return duties;
    }

    duration readMilliseconds(const json& object, const char* key, duration missing)
    {
        const std::int64_t value = object.value(key, std::chrono::duration_cast<std::chrono::milliseconds>(missing).count());
        return std::chrono::milliseconds(value);
    }

}

std::string_view gatewaySettingsSchema()
{
    return schemaText;
}

bool isGatewaySettings(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    return document.is_object() && document.contains("gateway");
}

std::error_code loadGatewaySettings(std::string_view text, gateway_settings& settings, std::string& detail)
{
    const std::error_code error = Internal::validateJson(schemaText, text, detail);
    if (error)
        return error;
    const json document = json::parse(text);
    const json& gateway = document["gateway"];
    gateway_settings read;
    read.vm = document["vm"].get<std::string>();
    read.dataCentre = document["data_centre"].get<std::string>();
    read.region = document["region"].get<std::string>();
    const bool areAddresses = readAddress(gateway, "caller", read.callerAddress, detail)
        && readAddress(gateway, "readiness", read.readinessAddress, detail)
        && readAddress(gateway, "metrics", read.metricsAddress, detail) && readAddress(gateway, "store", read.storeAddress, detail);
    read.duties = readDuties(gateway);
    const bool areOptionalAddresses = (!gateway.contains("gossip") || readAddress(gateway, "gossip", read.gossipAddress, detail))
        && (!gateway.contains("peer") || readAddress(gateway, "peer", read.peerAddress, detail))
        && (!gateway.contains("duty_api") || readAddress(gateway, "duty_api", read.duties.address, detail));
    if (!areAddresses || !areOptionalAddresses)
        return result_code::SettingsOutOfRange;
    read.journalPartitions = gateway.value("journal_partitions", read.journalPartitions);
    read.textPartitions = gateway.value("text_partitions", read.textPartitions);
    read.orderLease = readMilliseconds(gateway, "order_lease_ms", read.orderLease);
    read.configurationApply = readMilliseconds(gateway, "configuration_apply_ms", read.configurationApply);
    read.configurationGrace = readMilliseconds(gateway, "configuration_grace_ms", read.configurationGrace);
    read.replicaHeartbeat = readMilliseconds(gateway, "replica_heartbeat_ms", read.replicaHeartbeat);
    if (gateway.contains("key_revocation_ms"))
        read.keyRevocation = readMilliseconds(gateway, "key_revocation_ms", {});
    read.loadShare = gateway.value("load_share", read.loadShare);
    if (gateway.contains("memory_mb"))
        read.memoryBytes = static_cast<std::size_t>(gateway["memory_mb"].get<double>() * bytesPerMebibyte);
    if (gateway.contains("max_descriptors"))
        read.maxDescriptors = gateway["max_descriptors"].get<std::size_t>();
    read.processorShare = gateway.value("processor_share", read.processorShare);
    read.stopTime = readSeconds(gateway, "stop_s", read.stopTime);
    const std::string levelName = document.value("log_level", std::string("info"));
    for (const log_level level : levels) {
        if (toString(level) == levelName)
            read.log.level = level;
    }
    settings = read;
    return {};
}

}
