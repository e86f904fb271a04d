#include "cataloguecommand.h"

#include "adminclient.h"
#include "applycommand.h"
#include "entrydiff.h"
#include "entryfile.h"
#include "texttable.h"

#include <core/catalogueentry.h>

#include <core/jsonreader.h>

#include <ostream>

namespace ragwortreach {

using nlohmann::json;

namespace {

    constexpr int jsonIndent = 2;

    using entry_file = std::variant<std::vector<entry_file_item>, command_failure>;

    command_failure badName(const std::string& entry)
    {
        return { exit_code::Usage, "The name '" + entry + "' is not a valid entry name; expected 1 to 64 letters, digits, '.', '_' and '-'." };
    }

    json bodyJson(const std::string& body)
    {
        return body.empty() ? json() : parseJson(body);
    }

    json itemJson(const entry_row& item)
    {
        return { { "entry", item.entry }, { "revision", item.revision }, { "body", bodyJson(item.body) } };
    }

    std::string listingText(const catalogue_listing& listing)
    {
        text_table table({ "ENTRY", "REVISION", "CLASS", "KIND", "OWNER", "UPSTREAM" });
        for (const entry_row& item : listing.entries) {
            const json body = bodyJson(item.body);
            table.add({ item.entry, std::to_string(item.revision), body.value("class", ""), body.value("kind", ""),
                body.value("owner", ""), body.value("upstream", "") });
        }
        return table.text();
    }

    exit_code listEntries(const command_environment& environment)
    {
        const admin_result<catalogue_listing> result = admin_client(environment).catalogue();
        if (const command_failure* failure = std::get_if<command_failure>(&result))
            return report(environment, *failure);
        const catalogue_listing& listing = std::get<catalogue_listing>(result);
        if (environment.format == output_format::Text) {
            environment.output << listingText(listing);
            return exit_code::Ok;
        }
        json entries = json::array();
        for (const entry_row& item : listing.entries)
            entries.push_back(itemJson(item));
        environment.output << json { { "position", listing.position }, { "entries", entries } }.dump(jsonIndent) << '\n';
        return exit_code::Ok;
    }

    json historyJson(const catalogue_history_item& edit)
    {
        return { { "offset", edit.offset }, { "record", edit.record }, { "operator", edit.operatorName }, { "replaces", edit.replaces },
            { "revision", edit.revision }, { "code", edit.code }, { "detail", edit.detail }, { "body", bodyJson(edit.body) } };
    }

    void writeHistory(std::ostream& output, const std::vector<catalogue_history_item>& edits)
    {
        std::string previous;
        for (const catalogue_history_item& edit : edits) {
            const bool isAccepted = edit.code == 0;
            output << "offset " << edit.offset << ": " << edit.operatorName << (isAccepted ? " made revision " : " was rejected on revision ")
                   << (isAccepted ? edit.revision : edit.replaces) << " (record " << edit.record << ')';
            output << (edit.detail.empty() ? "" : ": " + edit.detail) << '\n';
            for (const std::string& line : diffBodies(previous, edit.body))
                output << "  " << line << '\n';
            if (isAccepted)
                previous = edit.body;
        }
    }

    /// Difference between the entry of the daemon and \a item, as JSON with the lines of diffBodies().
    std::variant<json, command_failure> diffItem(const command_environment& environment, const entry_file_item& item)
    {
        const admin_result<entry_row> current = admin_client(environment).entry(item.entry);
        if (const command_failure* failure = std::get_if<command_failure>(&current))
            return *failure;
        const entry_row& read = std::get<entry_row>(current);
        return json { { "entry", item.entry }, { "revision", read.revision }, { "lines", diffBodies(canonicalBody(read.body), canonicalBody(item.body)) } };
    }

    void writeDiff(std::ostream& output, const json& diff)
    {
        output << "entry '" << diff["entry"].get<std::string>() << "', revision " << diff["revision"]
               << (diff["lines"].empty() ? ": no difference\n" : ":\n");
        for (const json& line : diff["lines"])
            output << "  " << line.get<std::string>() << '\n';
    }

}

exit_code runCatalogueCheck(const command_environment& environment, const std::string& path)
{
    const entry_file file = readEntryFile(path);
    if (const command_failure* failure = std::get_if<command_failure>(&file))
        return report(environment, *failure);
    json names = json::array();
    for (const entry_file_item& item : std::get<std::vector<entry_file_item>>(file)) {
        names.push_back(item.entry);
        if (environment.format == output_format::Text)
            environment.output << path << ": entry '" << item.entry << "' is valid.\n";
    }
    if (environment.format == output_format::Json)
        environment.output << json { { "valid", true }, { "entries", names } } << '\n';
    return exit_code::Ok;
}

exit_code runCatalogueGet(const command_environment& environment, const std::string& entry)
{
    if (entry.empty())
        return listEntries(environment);
    if (!isEntryName(entry))
        return report(environment, badName(entry));
    const admin_result<entry_row> result = admin_client(environment).entry(entry);
    if (const command_failure* failure = std::get_if<command_failure>(&result))
        return report(environment, *failure);
    const entry_row& item = std::get<entry_row>(result);
    if (item.revision == 0 || item.body.empty())
        return report(environment, { exit_code::Rejected, "The catalogue has no entry '" + entry + "'; list all with 'ragwortreach catalogue get'." });
    environment.output << itemJson(item).dump(jsonIndent) << '\n';
    return exit_code::Ok;
}

exit_code runCatalogueDiff(const command_environment& environment, const std::string& path)
{
    const entry_file file = readEntryFile(path);
    if (const command_failure* failure = std::get_if<command_failure>(&file))
        return report(environment, *failure);
    for (const entry_file_item& item : std::get<std::vector<entry_file_item>>(file)) {
        const std::variant<json, command_failure> diff = diffItem(environment, item);
        if (const command_failure* failure = std::get_if<command_failure>(&diff))
            return report(environment, *failure);
        if (environment.format == output_format::Json)
            environment.output << std::get<json>(diff) << '\n';
        else
            writeDiff(environment.output, std::get<json>(diff));
    }
    return exit_code::Ok;
}

exit_code runCatalogueApply(const command_environment& environment, const std::string& path)
{
    const entry_file file = readEntryFile(path);
    if (const command_failure* failure = std::get_if<command_failure>(&file))
        return report(environment, *failure);
    for (const entry_file_item& item : std::get<std::vector<entry_file_item>>(file)) {
        const exit_code code = apply_command(environment).run(item);
        if (code != exit_code::Ok)
            return code;
    }
    return exit_code::Ok;
}

exit_code runCatalogueHistory(const command_environment& environment, const std::string& entry)
{
    if (!isEntryName(entry))
        return report(environment, badName(entry));
    const admin_result<std::vector<catalogue_history_item>> result = admin_client(environment).history(entry);
    if (const command_failure* failure = std::get_if<command_failure>(&result))
        return report(environment, *failure);
    const std::vector<catalogue_history_item>& edits = std::get<std::vector<catalogue_history_item>>(result);
    if (edits.empty())
        return report(environment, { exit_code::Rejected, "The log holds no edit of an entry '" + entry + "'; list all entries with 'ragwortreach catalogue get'." });
    if (environment.format == output_format::Text) {
        writeHistory(environment.output, edits);
        return exit_code::Ok;
    }
    json rows = json::array();
    for (const catalogue_history_item& edit : edits)
        rows.push_back(historyJson(edit));
    environment.output << json { { "entry", entry }, { "edits", rows } }.dump(jsonIndent) << '\n';
    return exit_code::Ok;
}

}
