#include <support/flagparser.h>
#include <support/settings.h>
#include <support/settingsflags.h>

#include <core/resultcode.h>

#include <catch2/catch.hpp>
#include <gflags/gflags.h>

#include <set>

using namespace ragwortreach;

DEFINE_int32(test_count, 1, "A number");
DEFINE_bool(test_switch, false, "A switch");

namespace {

const char* const settingsText = R"({"vm": "a", "data_centre": "d", "region": "r",
    "listen": {"caller": "127.0.0.1:1", "admin": "127.0.0.1:2", "gossip": "127.0.0.1:3", "peer": "127.0.0.1:4"},
    "platform": {"log": "127.0.0.1:5", "vm_list": "127.0.0.1:5", "weight_store": "127.0.0.1:5"}})";

struct bad_flag_row {
    std::vector<const char*> arguments;
    result_code code;
    const char* detail;
};

const bad_flag_row badFlags[] = {
    { { "d", "--no_such_flag=1" }, result_code::SettingsUnknownKey,
        "The flag '--no_such_flag' is not known; '--help' lists all flags. Remove the flag or correct its spelling." },
    { { "d", "--vm" }, result_code::SettingsOutOfRange, "The flag '--vm' has no value; expected one of type string. Add a value." },
    { { "d", "--test_count=many" }, result_code::SettingsWrongType,
        "The flag '--test_count' has the value 'many'; expected one of type int32. Correct the value." },
    { { "d", "--test_switch=perhaps" }, result_code::SettingsWrongType,
        "The flag '--test_switch' has the value 'perhaps'; expected one of type bool. Correct the value." },
    { { "d", "--seed=some" }, result_code::SettingsWrongType,
        "The key 'seed' has the value \"some\" of the wrong type; expected a whole number from 0 to 9007199254740991. Correct the value." },
    { { "d", "--limits_body_bytes=3" }, result_code::SettingsOutOfRange,
        "The key 'limits.body_bytes' has the value 3; expected a whole number of bytes from 1024 to 1073741824. Correct the value." },
    { { "d", "--listen_admin", "8081" }, result_code::SettingsWrongType,
        "The key 'listen.admin' has the value 8081 of the wrong type; expected an IP number and a port, such as 127.0.0.1:8080. Correct the value." },
    { { "d", "--vm=" }, result_code::SettingsOutOfRange,
        "The key 'vm' has the value \"\"; expected a name of letters, digits, dots, dashes and underscores that begins with a letter or digit, of at most 128 characters. Correct the value." },
};

std::error_code load(std::span<const char* const> arguments, daemon_settings& settings, std::string& detail)
{
    std::vector<std::string> positionalArguments;
    const std::error_code error = parseFlags(arguments, positionalArguments, detail);
    return error ? error : loadSettings(settingsText, settingsFlagsAsJson(), settings, detail);
}

}

TEST_CASE("Bad flags are rejected by the parser or by the schema")
{
    for (const bad_flag_row& row : badFlags) {
        const gflags::FlagSaver saver;
        CAPTURE(row.arguments);
        daemon_settings settings;
        std::string detail;
        CHECK(load(row.arguments, settings, detail) == row.code);
        CHECK(detail == row.detail);
    }
}

TEST_CASE("Flags override the settings file, and other arguments keep their order")
{
    const gflags::FlagSaver saver;
    const char* const arguments[] = { "d", "one", "--vm=12", "--listen_admin", "127.0.0.1:99", "-seed=5",
        "--log_level=error", "--test_switch", "--notest_switch", "-", "--", "--vm=13" };
    daemon_settings settings;
    std::vector<std::string> positionalArguments;
    std::string detail;
    REQUIRE(!parseFlags(arguments, positionalArguments, detail));
    REQUIRE(!loadSettings(settingsText, settingsFlagsAsJson(), settings, detail));
    CHECK(positionalArguments == std::vector<std::string> { "one", "-", "--vm=13" });
    CHECK(settings.vm == "12");
    CHECK(settings.listen.admin == "127.0.0.1:99");
    CHECK(settings.listen.caller == "127.0.0.1:1");
    CHECK(settings.seed == 5);
    CHECK(settings.log.level == log_level::Error);
    CHECK(!FLAGS_test_switch);
}

TEST_CASE("No two flags override the same setting")
{
    std::set<std::string_view> pointers;
    for (const settings_flag& flag : settingsFlags())
        CHECK(pointers.insert(flag.pointer).second);
}
