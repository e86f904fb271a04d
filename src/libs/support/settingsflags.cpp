#include "settingsflags.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <array>

DEFINE_string(vm, "", "Name of this VM");
DEFINE_string(data_centre, "", "Data centre of this VM");
DEFINE_string(region, "", "Region of this VM");
DEFINE_string(listen_caller, "", "Address for callers, such as 127.0.0.1:8080");
DEFINE_string(listen_admin, "", "Address for operators");
DEFINE_string(listen_gossip, "", "UDP address for gossip between daemons");
DEFINE_string(listen_peer, "", "Address for messages between daemons");
DEFINE_string(platform_log, "", "Address of the append-only log");
DEFINE_string(platform_vm_list, "", "Address of the VM list");
DEFINE_string(platform_weight_store, "", "Address of the weight store");
DEFINE_string(limits_header_bytes, "", "Largest header of a request, in bytes");
DEFINE_string(limits_body_bytes, "", "Largest body of a request, in bytes");
DEFINE_string(drain_unready_ms, "", "Time for which the daemon continues to serve after it reports unready, in milliseconds");
DEFINE_string(drain_stream_bound_ms, "", "Longest wait for streams in progress, in milliseconds");
DEFINE_string(log_file, "", "Path of the log file; standard output when empty");
DEFINE_string(log_level, "", "Lowest level that is logged: debug, info, warning or error");
DEFINE_string(seed, "", "Seed of the random numbers");

namespace ragwortreach {

using nlohmann::json;

namespace {

    constexpr std::array settingsFlagTable {
        settings_flag { "vm", "/vm" },
        settings_flag { "data_centre", "/data_centre" },
        settings_flag { "region", "/region" },
        settings_flag { "listen_caller", "/listen/caller" },
        settings_flag { "listen_admin", "/listen/admin" },
        settings_flag { "listen_gossip", "/listen/gossip" },
        settings_flag { "listen_peer", "/listen/peer" },
        settings_flag { "platform_log", "/platform/log" },
        settings_flag { "platform_vm_list", "/platform/vm_list" },
        settings_flag { "platform_weight_store", "/platform/weight_store" },
        settings_flag { "limits_header_bytes", "/limits/header_bytes" },
        settings_flag { "limits_body_bytes", "/limits/body_bytes" },
        settings_flag { "drain_unready_ms", "/drain/unready_ms" },
        settings_flag { "drain_stream_bound_ms", "/drain/stream_bound_ms" },
        settings_flag { "log_file", "/log/file" },
        settings_flag { "log_level", "/log/level" },
        settings_flag { "seed", "/seed" },
    };

    /// JSON value of a flag. Names stay strings even when they are numeric.
    json flagValue(const settings_flag& flag, const std::string& text)
    {
        const bool isName = flag.pointer.find('/', 1) == std::string_view::npos && flag.pointer != "/seed";
        if (isName)
            return text;
        const json parsed = json::parse(text, nullptr, false);
        return parsed.is_number() ? parsed : json(text);
    }

}

std::span<const settings_flag> settingsFlags()
{
    return settingsFlagTable;
}

std::string settingsFlagsAsJson()
{
    json overrides = json::object();
    for (const settings_flag& flag : settingsFlagTable) {
        const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(std::string(flag.flag).c_str());
        if (!info.is_default)
            overrides[json::json_pointer(std::string(flag.pointer))] = flagValue(flag, info.current_value);
    }
    return overrides.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
