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
DEFINE_int32(timeout_ms, 10000, "Time for one call, in milliseconds");
DEFINE_int32(confirm_timeout_ms, 30000, "Time for all VMs to confirm an edit, in milliseconds");
DEFINE_string(subject, "", "timeline: id of the request, batch, edit, order or VM to show");
DEFINE_string(since, "", "timeline, explain: show events from this long ago, such as 30s, 5m or 2h");

namespace ragwortreach {

namespace {

    constexpr std::string_view usage = R"(Usage: ragwortreach [FLAGS] COMMAND

  catalogue check FILE      check the entries of a file without a daemon
  catalogue get [ENTRY]     list the entries, or write one as a file
  catalogue diff FILE       show what apply would change
  catalogue apply FILE      apply the entries of a file and wait until they are in force
  catalogue history ENTRY   show all edits of an entry with their verdicts
  status                    show a daemon and what it knows about the others
  explain ID                tell what happened to a request, batch, edit or order
  timeline                  show the events of all daemons in one order
  load                      play customers and trainers against callers' ports

Flags:
)";

    /// Command with the number of words that may follow its name.
    struct command_row {
        std::string_view group;
        std::string_view name;
        std::size_t leastWords;
        std::size_t mostWords;
        exit_code (*run)(const command_environment& environment, const std::string& word, const command_options& options);
    };

    constexpr std::array commandTable {
        command_row { "catalogue", "check", 1, 1, [](const command_environment& environment, const std::string& word, const command_options&) { return runCatalogueCheck(environment, word); } },
        command_row { "catalogue", "get", 0, 1, [](const command_environment& environment, const std::string& word, const command_options&) { return runCatalogueGet(environment, word); } },
        command_row { "catalogue", "diff", 1, 1, [](const command_environment& environment, const std::string& word, const command_options&) { return runCatalogueDiff(environment, word); } },
        command_row { "catalogue", "apply", 1, 1, [](const command_environment& environment, const std::string& word, const command_options&) { return runCatalogueApply(environment, word); } },
        command_row { "catalogue", "history", 1, 1, [](const command_environment& environment, const std::string& word, const command_options&) { return runCatalogueHistory(environment, word); } },
        command_row { "", "status", 0, 0, [](const command_environment& environment, const std::string&, const command_options&) { return runStatus(environment); } },
        command_row { "", "explain", 1, 1, [](const command_environment& environment, const std::string& word, const command_options& options) { return runExplain(environment, word, options.since); } },
        command_row { "", "timeline", 0, 0, [](const command_environment& environment, const std::string&, const command_options& options) { return runTimeline(environment, options.subject, options.since); } },
        command_row { "", "load", 0, 0, [](const command_environment& environment, const std::string&, const command_options&) { return runLoad(environment); } },
    };

    std::string joined(std::span<const std::string> words)
    {
        std::string text;
        for (const std::string& word : words)
            text += (text.empty() ? "" : " ") + word;
        return text;
    }

    bool isCommand(const command_row& row, std::span<const std::string> words)
    {
        if (row.group.empty())
            return !words.empty() && words[0] == row.name;
        return words.size() >= 2 && words[0] == row.group && words[1] == row.name;
    }

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

    exit_code usageError(std::ostream& errors, const std::string& sentence)
    {
        errors << sentence << "\n'ragwortreach --help' lists all commands and flags.\n";
        return exit_code::Usage;
    }

}

exit_code runCommand(const command_environment& environment, std::span<const std::string> words, const command_options& options)
{
    const auto it = std::find_if(commandTable.begin(), commandTable.end(), [words](const command_row& row) { return isCommand(row, words); });
    if (it == commandTable.end())
        return usageError(environment.errors, words.empty() ? "A command is missing." : "The command '" + joined(words) + "' is not known.");
    const std::span<const std::string> arguments = words.subspan(it->group.empty() ? 1 : 2);
    if (arguments.size() < it->leastWords)
        return usageError(environment.errors, "The command '" + joined(words) + "' needs an argument.");
    if (arguments.size() > it->mostWords)
        return usageError(environment.errors, "The argument '" + arguments[it->mostWords] + "' is one too many.");
    return it->run(environment, arguments.empty() ? std::string() : arguments.front(), options);
}

exit_code runCommandLine(std::span<const char* const> arguments, std::ostream& output, std::ostream& errors)
{
    std::vector<std::string> words;
    std::string detail;
    if (parseFlags(arguments, words, detail))
        return usageError(errors, detail);
    if (FLAGS_help) {
        output << usage << flagsText();
        return exit_code::Ok;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return usageError(errors, "The flag '--output' has the value '" + FLAGS_output + "'; expected text or json.");
    if (FLAGS_timeout_ms <= 0 || FLAGS_confirm_timeout_ms < 0)
        return usageError(errors, "The flags '--timeout_ms' and '--confirm_timeout_ms' expect times above 0.");
    command_environment environment {
        [](std::span<const addressed_request> requests) { return exchangeNow(requests, std::chrono::milliseconds(FLAGS_timeout_ms)); },
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
    return runCommand(environment, words, { FLAGS_subject, FLAGS_since });
}

}
