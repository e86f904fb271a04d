#include "flagparser.h"

#include <core/resultcode.h>

#include <gflags/gflags.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace ragwortreach {

namespace {

    /// Flag of the command line, without its dashes.
    struct flag_argument {
        std::string name;
        std::optional<std::string> value;
    };

    flag_argument splitFlag(std::string_view text)
    {
        text.remove_prefix(text.starts_with("--") ? 2 : 1);
        const std::size_t equals = text.find('=');
        flag_argument flag { std::string(text.substr(0, equals)), std::nullopt };
        if (equals != std::string_view::npos)
            flag.value = std::string(text.substr(equals + 1));
        return flag;
    }

    /// Turns "--noflag" into "--flag=false" when only that flag exists.
    void resolveNegation(flag_argument& flag)
    {
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(flag.name.c_str(), &info) || !flag.name.starts_with("no") || flag.value)
            return;
        const std::string positive = flag.name.substr(2);
        if (gflags::GetCommandLineFlagInfo(positive.c_str(), &info) && info.type == "bool")
            flag = { positive, "false" };
    }

    /// Sets \a flag; a flag without "=value" that is not a switch takes its value from \a next.
    std::error_code setFlag(flag_argument& flag, const char* next, bool& isNextConsumed, std::string& detail)
    {
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(flag.name.c_str(), &info)) {
            detail = "The flag '--" + flag.name + "' is not known; '--help' lists all flags. Remove the flag or correct its spelling.";
            return result_code::SettingsUnknownKey;
        }
        if (!flag.value && info.type == "bool")
            flag.value = "true";
        isNextConsumed = !flag.value && next != nullptr;
        if (isNextConsumed)
            flag.value = next;
        if (!flag.value) {
            detail = "The flag '--" + flag.name + "' has no value; expected one of type " + info.type + ". Add a value.";
            return result_code::SettingsOutOfRange;
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), flag.value->c_str()).empty()) {
            detail = "The flag '--" + flag.name + "' has the value '" + *flag.value + "'; expected one of type " + info.type + ". Correct the value.";
            return result_code::SettingsWrongType;
        }
        return {};
    }

}

std::error_code parseFlags(std::span<const char* const> arguments, std::vector<std::string>& positionalArguments, std::string& detail)
{
    bool haveFlagsEnded = false;
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        const std::string_view argument = arguments[i];
        if (haveFlagsEnded || argument.size() < 2 || argument.front() != '-') {
            positionalArguments.emplace_back(argument);
            continue;
        }
        if (argument == "--") {
            haveFlagsEnded = true;
            continue;
        }
        flag_argument flag = splitFlag(argument);
        resolveNegation(flag);
        bool isNextConsumed = false;
        const char* next = i + 1 < arguments.size() ? arguments[i + 1] : nullptr;
        const std::error_code error = setFlag(flag, next, isNextConsumed, detail);
        if (error)
            return error;
        i += isNextConsumed ? 1 : 0;
    }
    return {};
}

std::string flagsText()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::string text;
    for (const gflags::CommandLineFlagInfo& flag : flags) {
        if (flag.filename.find("/gflags") != std::string::npos)
            continue;
        text += "  --" + flag.name;
        text += "  " + flag.description;
        text += " (" + flag.type;
        text += ", default '" + flag.default_value;
        text += "')\n";
    }
    return text;
}

}
