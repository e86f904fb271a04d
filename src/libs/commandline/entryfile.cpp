#include "entryfile.h"

#include <core/catalogueentry.h>

#include <core/jsonreader.h>

#include <fstream>
#include <iterator>
#include <set>

namespace ragwortreach {

using nlohmann::json;

namespace {

    using item_or_failure = std::variant<entry_file_item, command_failure>;

    command_failure invalid(const std::string& path, const std::string& message)
    {
        return { exit_code::Rejected, path + ": " + message };
    }

    /// First key that is not part of the file format; empty when there is none.
    std::string firstUnknownKey(const json& document)
    {
        const std::set<std::string> known { "entry", "revision", "action", "body", "operator" };
        for (auto it = document.begin(); it != document.end(); ++it) {
            if (!known.contains(it.key()))
                return it.key();
        }
        return {};
    }

    /// Message about the first error in the keys of an item, without the contents of its body; empty when it is valid.
    std::string firstItemError(const json& document)
    {
        if (!document.is_object())
            return "An item is not a JSON object; expected {\"entry\", \"body\"}.";
        const std::string unknown = firstUnknownKey(document);
        if (!unknown.empty())
            return "The key '" + unknown + "' is not known; expected entry, revision, action or body. Remove it.";
        const auto name = document.find("entry");
        if (name == document.end() || !name->is_string() || !isEntryName(name->get<std::string>()))
            return "The key 'entry' is missing or not a valid name; expected 1 to 64 letters, digits, '.', '_' and '-'.";
        const auto revision = document.find("revision");
        if (revision != document.end() && !revision->is_number_unsigned())
            return "The key 'revision' has the value " + revision->dump() + "; expected a whole number.";
        const json action = document.value("action", json("put"));
        if (action != "put" && action != "delete")
            return "The key 'action' has the value " + action.dump() + "; expected \"put\" or \"delete\".";
        if ((action == "put") != document.contains("body"))
            return action == "put" ? "The key 'body' is missing; expected an object." : "A deletion has no 'body'; remove it.";
        return {};
    }

    item_or_failure readItem(const std::string& path, const json& document)
    {
        const std::string error = firstItemError(document);
        if (!error.empty())
            return invalid(path, error);
        entry_file_item item;
        item.entry = document["entry"].get<std::string>();
        if (document.contains("revision"))
            item.revision = document["revision"].get<std::uint64_t>();
        if (!document.contains("body"))
            return item;
        catalogue_entry entry;
        std::string detail;
        if (parseEntry(document["body"].dump(), entry, detail))
            return invalid(path, "The body of entry '" + item.entry + "' is invalid: " + detail + '.');
        item.body = document["body"].dump();
        return item;
    }

}

std::variant<std::vector<entry_file_item>, command_failure> parseEntryFile(const std::string& path, std::string_view text)
{
    const json document = parseJson(text);
    if (document.is_discarded())
        return invalid(path, "The file is not JSON in UTF-8; correct the text.");
    const json items = document.is_array() ? document : json::array({ document });
    std::vector<entry_file_item> read;
    std::set<std::string> names;
    for (const json& row : items) {
        const item_or_failure item = readItem(path, row);
        if (const command_failure* failure = std::get_if<command_failure>(&item))
            return *failure;
        read.push_back(std::get<entry_file_item>(item));
        if (!names.insert(read.back().entry).second)
            return invalid(path, "The entry '" + read.back().entry + "' occurs twice in the file; remove one.");
    }
    return read;
}

std::variant<std::vector<entry_file_item>, command_failure> readEntryFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return command_failure { exit_code::Usage, "The file '" + path + "' cannot be read; check its path." };
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return parseEntryFile(path, text);
}

std::string canonicalBody(const std::string& body)
{
    catalogue_entry entry;
    std::string detail;
    return parseEntry(body, entry, detail) ? body : toJson(entry);
}

}
