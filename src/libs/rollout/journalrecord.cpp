#include "journalrecord.h"

#include <utility>
#include <xxhash.h>

namespace ragwortreach {

namespace {

    request_digest digestOf(std::string_view text)
    {
        const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
        return { hash.high64, hash.low64 };
    }

}

std::size_t item_contents::bytes() const
{
    constexpr std::size_t overhead = 256;
    std::size_t bytes = overhead + body.size() + rewardBody.size();
    for (const item_header& header : headers)
        bytes += sizeof(header) + header.name.size() + header.value.size();
    return bytes;
}

item_contents takeContents(batch_item& item)
{
    item_contents contents { std::exchange(item.headers, {}), std::exchange(item.body, {}), {} };
    if (item.reward)
        contents.rewardBody = std::exchange(item.reward->body, {});
    return contents;
}

std::size_t sharedBytes(const batch_item& item)
{
    // Numbers and framing.
    constexpr std::size_t overhead = 48;
    return overhead + item.id.size() + item.group.size();
}

contents_location digestsOf(const batch_item& item)
{
    return digestsOf(item, item.body);
}

contents_location digestsOf(const batch_item& item, std::string_view body)
{
    contents_location location;
    location.body = digestOf(body);
    if (item.reward)
        location.rewardBody = digestOf(item.reward->body);
    return location;
}

std::uint64_t text_reference::offsetOf(std::uint32_t record) const
{
    const std::uint32_t append = recordsPerAppend != 0 ? record / recordsPerAppend : 0;
    if (append == 0 || append > laterAppends.size() || laterAppends[append - 1] == 0)
        return offset + record;
    return laterAppends[append - 1] + record % recordsPerAppend;
}

batch_item withoutContents(batch_item item)
{
    item.path = {};
    item.headers = {};
    item.body = {};
    item.reward.reset();
    return item;
}

}
