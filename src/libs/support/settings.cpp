#include "settings.h"

#include "schemavalidator.h"
#include "settingsschema.h"

#include <core/resultcode.h>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace ragwortreach {

using nlohmann::json;

namespace {

    struct log_level_name {
        log_level level;
        std::string_view name;
    };

    constexpr std::array logLevelNames {
        log_level_name { log_level::Debug, "debug" },
        log_level_name { log_level::Info, "info" },
        log_level_name { log_level::Warning, "warning" },
        log_level_name { log_level::Error, "error" },
    };

    /// JSON pointer of an address and the member that receives it.
    struct address_target {
        const char* pointer;
        std::string& address;
    };

    bool isSocketAddress(std::string_view text)
    {
        const std::size_t colon = text.rfind(':');
        std::string host(text.substr(0, colon));
        const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
        if (isBracketed)
            host = host.substr(1, host.size() - 2);
        boost::system::error_code error;
        const boost::asio::ip::address ip = boost::asio::ip::make_address(host, error);
        if (error || ip.is_v6() != isBracketed)
            return false;
        const std::string_view portText = text.substr(colon + 1);
        std::uint16_t port = 0;
        const std::from_chars_result result = std::from_chars(portText.begin(), portText.end(), port);
        return result.ec == std::errc() && result.ptr == portText.end() && port != 0;
    }

    std::error_code readAddress(const json& document, const address_target& target, std::string& detail)
    {
        const std::string text = document.at(json::json_pointer(target.pointer)).get<std::string>();
        if (isSocketAddress(text)) {
            target.address = text;
            return {};
        }
        std::string key(target.pointer + 1);
        key.replace(key.find('/'), 1, ".");
        detail = "The key '" + key + "' has the value \"" + text
            + "\"; expected an IP number and a port from 1 to 65535, such as 127.0.0.1:8080. Correct the value.";
        return result_code::SettingsOutOfRange;
    }

    std::error_code readAddresses(const json& document, daemon_settings& settings, std::string& detail)
    {
        const address_target targets[] = {
            { "/listen/caller", settings.listen.caller },
            { "/listen/admin", settings.listen.admin },
            { "/listen/gossip", settings.listen.gossip },
            { "/listen/peer", settings.listen.peer },
            { "/platform/log", settings.platform.log },
            { "/platform/vm_list", settings.platform.vmList },
            { "/platform/weight_store", settings.platform.weightStore },
        };
        for (const address_target& target : targets) {
            const std::error_code error = readAddress(document, target, detail);
            if (error)
                return error;
        }
        return {};
    }

    log_level logLevelFromName(std::string_view name)
    {
        for (const log_level_name& row : logLevelNames) {
            if (row.name == name)
                return row.level;
        }
        return log_level::Info;
    }

    void readOptionalValues(const json& document, daemon_settings& settings)
    {
        const json empty = json::object();
        const json& limits = document.contains("limits") ? document["limits"] : empty;
        settings.limits.headerBytes = limits.value("header_bytes", settings.limits.headerBytes);
        settings.limits.bodyBytes = limits.value("body_bytes", settings.limits.bodyBytes);
        const json& drain = document.contains("drain") ? document["drain"] : empty;
        settings.drain.unready = std::chrono::milliseconds(drain.value("unready_ms", settings.drain.unready.count()));
        settings.drain.streamBound = std::chrono::milliseconds(drain.value("stream_bound_ms", settings.drain.streamBound.count()));
        const json& log = document.contains("log") ? document["log"] : empty;
        settings.log.file = log.value("file", settings.log.file);
        settings.log.level = logLevelFromName(log.value("level", std::string(toString(settings.log.level))));
        settings.seed = document.value("seed", settings.seed);
    }

    std::error_code readSettings(const json& document, daemon_settings& settings, std::string& detail)
    {
        daemon_settings read;
        const std::error_code error = readAddresses(document, read, detail);
        if (error)
            return error;
        read.vm = document["vm"].get<std::string>();
        read.dataCentre = document["data_centre"].get<std::string>();
        read.region = document["region"].get<std::string>();
        readOptionalValues(document, read);
        settings = read;
        return {};
    }

    json parseObject(std::string_view text)
    {
        return json::parse(text.begin(), text.end(), nullptr, false);
    }

}

std::string_view toString(log_level level)
{
    return logLevelNames.at(static_cast<std::size_t>(level)).name;
}

std::error_code loadSettings(std::string_view text, daemon_settings& settings, std::string& detail)
{
    return loadSettings(text, "{}", settings, detail);
}

std::error_code loadSettings(std::string_view text, std::string_view overrides, daemon_settings& settings, std::string& detail)
{
    json document = parseObject(text);
    const json overrideDocument = parseObject(overrides);
    if (document.is_object() && overrideDocument.is_object())
        document.merge_patch(overrideDocument);
    // Malformed text is passed on unchanged, because the validator reports the position of the error.
    const std::string merged = document.is_discarded() ? std::string(text) : document.dump();
    const std::error_code error = Internal::validateJson(settingsSchema(), merged, detail);
    if (error)
        return error;
    if (document.is_discarded()) {
        detail = "The settings are not well-formed JSON; correct the text.";
        return result_code::SettingsUnreadable;
    }
    return readSettings(document, settings, detail);
}

}
