#include <support/settings.h>
#include <support/settingsschema.h>

#include <core/resultcode.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

using namespace ragwortreach;
using nlohmann::json;

namespace {

const char* const validSettings = R"({
    "vm": "entry-a1", "data_centre": "ee-north-a", "region": "ee-north",
    "listen": {"caller": "127.0.0.1:8080", "admin": "127.0.0.1:8081", "gossip": "127.0.0.1:8082", "peer": "[::1]:8083"},
    "platform": {"log": "127.0.0.1:9000", "vm_list": "127.0.0.1:9000", "weight_store": "127.0.0.1:9000"},
    "limits": {"header_bytes": 2048}, "drain": {"unready_ms": 10}, "log": {"file": "x.log", "level": "debug"}, "seed": 7})";

struct bad_settings_row {
    const char* name;
    /// JSON patch on the valid settings.
    const char* patch;
    result_code code;
    const char* detail;
};

const bad_settings_row badSettings[] = {
    { "unknown key", R"([{"op":"add","path":"/vmm","value":1}])", result_code::SettingsUnknownKey,
        "The key 'vmm' with the value 1 is not known; expected one of vm, data_centre, region, listen, platform, limits, drain, log, seed. Remove the key or correct its spelling." },
    { "unknown key in an object", R"([{"op":"add","path":"/drain/unready","value":"3s"}])", result_code::SettingsUnknownKey,
        "The key 'drain.unready' with the value \"3s\" is not known; expected one of unready_ms, stream_bound_ms. Remove the key or correct its spelling." },
    { "wrong type", R"([{"op":"add","path":"/seed","value":"7"}])", result_code::SettingsWrongType,
        "The key 'seed' has the value \"7\" of the wrong type; expected a whole number from 0 to 9007199254740991. Correct the value." },
    { "fraction for a whole number", R"([{"op":"add","path":"/drain/unready_ms","value":1.5}])", result_code::SettingsWrongType,
        "The key 'drain.unready_ms' has the value 1.5 of the wrong type; expected a whole number of milliseconds from 0 to 600000. Correct the value." },
    { "null", R"([{"op":"add","path":"/vm","value":null}])", result_code::SettingsWrongType,
        "The key 'vm' has the value null of the wrong type; expected a name of letters, digits, dots, dashes and underscores that begins with a letter or digit, of at most 128 characters. Correct the value." },
    { "object expected", R"([{"op":"replace","path":"/listen","value":[]}])", result_code::SettingsWrongType,
        "The key 'listen' has the value [] of the wrong type; expected an object with the addresses caller, admin, gossip and peer. Correct the value." },
    { "too small", R"([{"op":"add","path":"/limits/header_bytes","value":10}])", result_code::SettingsOutOfRange,
        "The key 'limits.header_bytes' has the value 10; expected a whole number of bytes from 1024 to 1048576. Correct the value." },
    { "too large", R"([{"op":"add","path":"/limits/body_bytes","value":1073741825}])", result_code::SettingsOutOfRange,
        "The key 'limits.body_bytes' has the value 1073741825; expected a whole number of bytes from 1024 to 1073741824. Correct the value." },
    { "whole number with an exponent", R"([{"op":"add","path":"/limits/header_bytes","value":1e6}])", result_code::SettingsWrongType,
        "The key 'limits.header_bytes' has the value 1000000.0 of the wrong type; expected a whole number of bytes from 1024 to 1048576. Correct the value." },
    { "too large a bound", R"([{"op":"add","path":"/drain/stream_bound_ms","value":86400001}])", result_code::SettingsOutOfRange,
        "The key 'drain.stream_bound_ms' has the value 86400001; expected a whole number of milliseconds from 0 to 86400000. Correct the value." },
    { "negative seed", R"([{"op":"add","path":"/seed","value":-1}])", result_code::SettingsOutOfRange,
        "The key 'seed' has the value -1; expected a whole number from 0 to 9007199254740991. Correct the value." },
    { "unknown level", R"([{"op":"add","path":"/log/level","value":"loud"}])", result_code::SettingsOutOfRange,
        "The key 'log.level' has the value \"loud\"; expected one of debug, info, warning and error. Correct the value." },
    { "name in place of an IP number", R"([{"op":"add","path":"/listen/admin","value":"localhost:80"}])", result_code::SettingsOutOfRange,
        "The key 'listen.admin' has the value \"localhost:80\"; expected an IP number and a port, such as 127.0.0.1:8080. Correct the value." },
    { "port out of range", R"([{"op":"add","path":"/platform/vm_list","value":"127.0.0.1:65536"}])", result_code::SettingsOutOfRange,
        "The key 'platform.vm_list' has the value \"127.0.0.1:65536\"; expected an IP number and a port from 1 to 65535, such as 127.0.0.1:8080. Correct the value." },
    { "no such IP number", R"([{"op":"add","path":"/listen/peer","value":"256.0.0.1:80"}])", result_code::SettingsOutOfRange,
        "The key 'listen.peer' has the value \"256.0.0.1:80\"; expected an IP number and a port from 1 to 65535, such as 127.0.0.1:8080. Correct the value." },
    { "empty name", R"([{"op":"add","path":"/region","value":""}])", result_code::SettingsOutOfRange,
        "The key 'region' has the value \"\"; expected a name of letters, digits, dots, dashes and underscores that begins with a letter or digit, of at most 128 characters. Correct the value." },
    { "missing key", R"([{"op":"remove","path":"/vm"}])", result_code::SettingsOutOfRange,
        "The key 'vm' is missing; expected a name of letters, digits, dots, dashes and underscores that begins with a letter or digit, of at most 128 characters. Add the key." },
    { "missing key in an object", R"([{"op":"remove","path":"/platform/log"}])", result_code::SettingsOutOfRange,
        "The key 'platform.log' is missing; expected an IP number and a port, such as 127.0.0.1:8080. Add the key." },
    { "not an object", R"([{"op":"replace","path":"","value":[1]}])", result_code::SettingsWrongType,
        "The document has the value [1] of the wrong type; expected a JSON object with the settings of one daemon. Correct the value." },
};

struct malformed_row {
    const char* text;
    const char* detail;
};

}

TEST_CASE("All settings are read")
{
    daemon_settings settings;
    std::string detail;
    REQUIRE(!loadSettings(validSettings, settings, detail));
    CHECK(settings.vm == "entry-a1");
    CHECK(settings.dataCentre == "ee-north-a");
    CHECK(settings.region == "ee-north");
    CHECK(settings.listen.caller == "127.0.0.1:8080");
    CHECK(settings.listen.peer == "[::1]:8083");
    CHECK(settings.platform.weightStore == "127.0.0.1:9000");
    CHECK(settings.limits.headerBytes == 2048);
    CHECK(settings.limits.bodyBytes == request_limit_settings().bodyBytes);
    CHECK(settings.drain.unready == std::chrono::milliseconds(10));
    CHECK(settings.drain.streamBound == drain_settings().streamBound);
    CHECK(settings.log.file == "x.log");
    CHECK(settings.log.level == log_level::Debug);
    CHECK(settings.seed == 7);
}

TEST_CASE("Bad settings are rejected with the key, the value, what was expected and the remedy")
{
    for (const bad_settings_row& row : badSettings) {
        CAPTURE(row.name);
        const std::string text = json::parse(validSettings).patch(json::parse(row.patch)).dump();
        daemon_settings settings;
        settings.vm = "untouched";
        std::string detail;
        CHECK(loadSettings(text, settings, detail) == row.code);
        CHECK(detail == row.detail);
        CHECK(settings.vm == "untouched");
    }
}

TEST_CASE("Malformed JSON is rejected with the position of the error")
{
    const malformed_row rows[] = {
        { "", "The JSON is malformed at byte 0: The document is empty. Correct the text there." },
        { "{", "The JSON is malformed at byte 1: Missing a name for object member. Correct the text there." },
        { R"({"vm" "a"})", "The JSON is malformed at byte 6: Missing a colon after a name of object member. Correct the text there." },
        { R"({"vm":"a"} x)", "The JSON is malformed at byte 11: The document root must not be followed by other values. Correct the text there." },
        { "{\"vm\":\"\xff\"}", "The JSON is malformed at byte 7: Invalid encoding in string. Correct the text there." },
    };
    for (const malformed_row& row : rows) {
        CAPTURE(row.text);
        daemon_settings settings;
        std::string detail;
        CHECK(loadSettings(row.text, settings, detail) == result_code::SettingsUnreadable);
        CHECK(detail == row.detail);
    }
}

TEST_CASE("The published schema of the settings is the built-in one")
{
    std::ifstream file(std::string(std::getenv("RAGWORTREACH_SOURCE_DIR")) + "/docs/settings.schema.json");
    const std::string page((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    CHECK(page == settingsSchema());
}
