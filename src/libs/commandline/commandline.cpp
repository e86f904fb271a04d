#include "commandline.h"

#include "cataloguecommand.h"
#include "loadcommand.h"
#include "statuscommand.h"
#include "syncexchange.h"
#include "timelinecommand.h"

#include <support/flagparser.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ostream>
#include <random>
#include <string_view>
#include <thread>

DECLARE_bool(help);
DEFINE_string(server, "127.0.0.1:8081", "Admin address of the daemon to ask");
DEFINE_string(output, "text", "Format of the output: text or json");
DEFINE_string(operator_name, "", "Operator named in edits; the environment variable USER when empty");
DEFINE_int32(timeout_ms, 10000, "Time-out of one call, in milliseconds");
DEFINE_int32(confirm_timeout_ms, 30000, "Time-out for all VMs to confirm an edit, in milliseconds");
DEFINE_string(subject, "", "timeline: id of the request, batch, edit, order or VM to show");
DEFINE_string(since, "", "timeline, explain: show events from this long ago, such as 30s, 5m or 2h");

namespace ragwortreach {

namespace {

    constexpr std::string_view usage = R"(Usage: ragwortreach [FLAGS] COMMAND

  catalogue check FILE      check the entries of a file without a daemon
  catalogue get [ENTRY]     list the entries, or write one in the format of apply
  catalogue diff FILE       show what apply would change
  catalogue apply FILE      apply the entries of a file and wait until they are in force
  catalogue history ENTRY   show all edits of an entry with their verdicts, accepted or rejected
  status                    show the state of a daemon and its view of the fleet
  explain ID                show the course of a request, batch, edit or order
  timeline                  show the events of all daemons, merged by time
  load                      generate the load of customers and trainers on the callers' ports of daemons

Flags:
)";

    /// Command, with the number of positional arguments that it takes after its name.
    struct command_row {
        std::string_view group;
        std::string_view name;
        std::size_t minArguments;
        std::size_t maxArguments;
        exit_code (*run)(const command_environment& environment, const std::string& argument, const command_options& options);
    };

    constexpr std::array commandTable {
        command_row { "catalogue", "check", 1, 1, [](const command_environment& environment, const std::string& argument, const command_options&) { return runCatalogueCheck(environment, argument); } },
        command_row { "catalogue", "get", 0, 1, [](const command_environment& environment, const std::string& argument, const command_options&) { return runCatalogueGet(environment, argument); } },
        command_row { "catalogue", "diff", 1, 1, [](const command_environment& environment, const std::string& argument, const command_options&) { return runCatalogueDiff(environment, argument); } },
        command_row { "catalogue", "apply", 1, 1, [](const command_environment& environment, const std::string& argument, const command_options&) { return runCatalogueApply(environment, argument); } },
        command_row { "catalogue", "history", 1, 1, [](const command_environment& environment, const std::string& argument, const command_options&) { return runCatalogueHistory(environment, argument); } },
        command_row { "", "status", 0, 0, [](const command_environment& environment, const std::string&, const command_options&) { return runStatus(environment); } },
        command_row { "", "explain", 1, 1, [](const command_environment& environment, const std::string& argument, const command_options& options) { return runExplain(environment, argument, options.since); } },
        command_row { "", "timeline", 0, 0, [](const command_environment& environment, const std::string&, const command_options& options) { return runTimeline(environment, options.subject, options.since); } },
        command_row { "", "load", 0, 0, [](const command_environment& environment, const std::string&, const command_options&) { return runLoad(environment); } },
    };

    std::string joined(std::span<const std::string> positionalArguments)
    {
        std::string text;
        for (const std::string& argument : positionalArguments)
            text += (text.empty() ? "" : " ") + argument;
        return text;
    }

    bool isCommand(const command_row& row, std::span<const std::string> positionalArguments)
    {
        if (row.group.empty())
            return !positionalArguments.empty() && positionalArguments[0] == row.name;
        return positionalArguments.size() >= 2 && positionalArguments[0] == row.group && positionalArguments[1] == row.name;
    }

    /// Random id of 128 bits, as hexadecimal digits.
    std::string newRecordId()
    {
        constexpr std::string_view digits = "0123456789abcdef";
        constexpr std::size_t idLength = 32;
        std::random_device device;
        std::uniform_int_distribution<std::size_t> distribution(0, digits.size() - 1);
        std::string id;
        for (std::size_t i = 0; i < idLength; ++i)
            id += digits[distribution(device)];
        return id;
    }

    /// Value of '--operator_name', else the environment variable USER, else "unknown".
    std::string operatorName()
    {
        if (!FLAGS_operator_name.empty())
            return FLAGS_operator_name;
        const char* user = std::getenv("USER");
        return user == nullptr ? "unknown" : user;
    }

    std::uint64_t wallMilliseconds()
    {
        const std::chrono::system_clock::duration now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    exit_code usageError(std::ostream& errors, const std::string& message)
    {
        errors << message << "\n'ragwortreach --help' lists all commands and flags.\n";
        return exit_code::Usage;
    }

}

exit_code runCommand(const command_environment& environment, std::span<const std::string> positionalArguments, const command_options& options)
{
    const auto it = std::find_if(commandTable.begin(), commandTable.end(), [positionalArguments](const command_row& row) { return isCommand(row, positionalArguments); });
    if (it == commandTable.end())
        return usageError(environment.errors, positionalArguments.empty() ? "A command is missing." : "The command '" + joined(positionalArguments) + "' is not known.");
    const std::span<const std::string> arguments = positionalArguments.subspan(it->group.empty() ? 1 : 2);
    if (arguments.size() < it->minArguments)
        return usageError(environment.errors, "The command '" + joined(positionalArguments) + "' needs an argument.");
    if (arguments.size() > it->maxArguments)
        return usageError(environment.errors, "The argument '" + arguments[it->maxArguments] + "' is unexpected; remove it.");
    return it->run(environment, arguments.empty() ? std::string() : arguments.front(), options);
}

exit_code runCommandLine(std::span<const char* const> arguments, std::ostream& output, std::ostream& errors)
{
    std::vector<std::string> positionalArguments;
    std::string detail;
    if (parseFlags(arguments, positionalArguments, detail))
        return usageError(errors, detail);
    if (FLAGS_help) {
        output << usage << flagsText();
        return exit_code::Ok;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return usageError(errors, "The flag '--output' has the value '" + FLAGS_output + "'; expected text or json.");
    if (FLAGS_timeout_ms <= 0 || FLAGS_confirm_timeout_ms < 0)
        return usageError(errors, "The flag '--timeout_ms' expects a time above 0, and '--confirm_timeout_ms' one of at least 0.");
    command_environment environment {
        [](std::span<const addressed_request> requests) { return exchangeBlocking(requests, std::chrono::milliseconds(FLAGS_timeout_ms)); },
        [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); },
        wallMilliseconds,
        newRecordId,
        output,
        errors,
        FLAGS_output == "json" ? output_format::Json : output_format::Text,
        FLAGS_server,
        operatorName(),
    };
    environment.confirmTimeout = std::chrono::milliseconds(FLAGS_confirm_timeout_ms);
    return runCommand(environment, positionalArguments, { FLAGS_subject, FLAGS_since });
}

}
