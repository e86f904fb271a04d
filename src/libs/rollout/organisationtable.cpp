#include "organisationtable.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <set>

namespace ragwortreach {

namespace {

    constexpr std::size_t maxKeyBytes = 512;
    constexpr std::size_t maxNameBytes = 256;

    /// Whether \a text can be a key: printable and without blanks.
    bool isVisibleAscii(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char byte) { return byte > ' ' && byte <= '~'; });
    }

    bool isEqualInConstantTime(std::string_view left, std::string_view right)
    {
        if (left.size() != right.size())
            return false;
        unsigned difference = 0;
        for (std::size_t place = 0; place < left.size(); ++place)
            difference |= static_cast<unsigned char>(left[place]) ^ static_cast<unsigned char>(right[place]);
        return difference == 0;
    }

    /// Whether \a text can be sent as the value of a header.
    bool hasNoControls(std::string_view text)
    {
        constexpr char deleteByte = 0x7f;
        return std::none_of(text.begin(), text.end(), [](char byte) { return static_cast<unsigned char>(byte) < ' ' || byte == deleteByte; });
    }

    std::string_view keyFault(std::string_view key)
    {
        if (key.empty())
            return "has an empty key";
        if (key.size() > maxKeyBytes)
            return "has a key that is too long";
        return isVisibleAscii(key) ? "" : "has a key with blanks or with bytes that are not printable";
    }

    std::string_view nameFault(std::string_view name)
    {
        if (name.empty())
            return "has no name";
        if (name.size() > maxNameBytes)
            return "has a name that is too long";
        return hasNoControls(name) ? "" : "has a name with control characters";
    }

}

organisation_table::organisation_table()
{
    std::random_device device;
    for (unsigned char& byte : m_secret)
        byte = static_cast<unsigned char>(device());
}

void organisation_table::setOrganisations(std::span<const organisation> organisations)
{
    m_entries.clear();
    for (const organisation& holder : organisations) {
        for (const std::string& key : holder.keys)
            m_entries.insert_or_assign(hashOf(key), entry { key, &holder });
    }
}

const organisation* organisation_table::find(std::string_view key) const
{
    const auto found = m_entries.find(hashOf(key));
    if (found == m_entries.end() || !isEqualInConstantTime(found->second.key, key))
        return nullptr;
    return found->second.holder;
}

organisation_table::key_hash organisation_table::hashOf(std::string_view key) const
{
    static_assert(secretBytes >= XXH3_SECRET_SIZE_MIN);
    const XXH128_hash_t hash = XXH3_128bits_withSecret(key.data(), key.size(), m_secret.data(), m_secret.size());
    return { hash.high64, hash.low64 };
}

std::string organisationFault(std::span<const organisation> organisations)
{
    std::set<std::string_view> names;
    std::set<std::string_view> keys;
    for (std::size_t number = 0; number < organisations.size(); ++number) {
        const organisation& holder = organisations[number];
        std::string_view fault = nameFault(holder.name);
        if (!fault.empty())
            return "The organisation at position " + std::to_string(number) + " " + std::string(fault) + ".";
        if (!names.insert(holder.name).second)
            return "Two organisations are called " + holder.name + ".";
        for (const std::string& key : holder.keys) {
            fault = keyFault(key);
            if (fault.empty() && !keys.insert(key).second)
                fault = "has a key that is listed twice";
            if (!fault.empty())
                return "The organisation " + holder.name + " " + std::string(fault) + ".";
        }
    }
    return {};
}

}
