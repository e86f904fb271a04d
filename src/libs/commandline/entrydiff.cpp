#include "entrydiff.h"

#include <core/jsonreader.h>

#include <map>
#include <set>

namespace ragwortreach {

namespace {

    /// Values as JSON texts by their key paths, such as "limits.queue".
    using flat_body = std::map<std::string, std::string>;

    void flatten(const nlohmann::json& value, const std::string& path, flat_body& flat)
    {
        if (!value.is_object()) {
            flat.emplace(path, value.dump());
            return;
        }
        for (auto it = value.begin(); it != value.end(); ++it)
            flatten(it.value(), path.empty() ? it.key() : path + '.' + it.key(), flat);
    }

    flat_body flatBody(std::string_view text)
    {
        flat_body flat;
        const nlohmann::json body = parseJson(text);
        if (body.is_object())
            flatten(body, "", flat);
        return flat;
    }

    std::string line(std::string_view sign, const std::string& key, const std::string& value)
    {
        std::string text(sign);
        text += key;
        text += ": ";
        text += value;
        return text;
    }

    std::string valueAt(const flat_body& flat, const std::string& key)
    {
        const auto it = flat.find(key);
        return it == flat.end() ? std::string() : it->second;
    }

}

std::vector<std::string> diffBodies(std::string_view before, std::string_view after)
{
    const flat_body left = flatBody(before);
    const flat_body right = flatBody(after);
    std::set<std::string> keys;
    for (const std::pair<const std::string, std::string>& entry : left)
        keys.insert(entry.first);
    for (const std::pair<const std::string, std::string>& entry : right)
        keys.insert(entry.first);
    std::vector<std::string> lines;
    for (const std::string& key : keys) {
        const std::string removed = valueAt(left, key);
        const std::string added = valueAt(right, key);
        if (removed == added)
            continue;
        if (!removed.empty())
            lines.push_back(line("- ", key, removed));
        if (!added.empty())
            lines.push_back(line("+ ", key, added));
    }
    return lines;
}

}
