#include "itemcodec.h"

#include <utility>

namespace ragwortreach {

namespace {

    void writeReward(const reward_call& from, wire::JournalRewardCall& to)
    {
        to.set_id(from.id);
        to.set_host(from.host);
        to.set_path(from.path);
        to.set_body(from.body);
    }

    void writeAllButBody(const batch_item& from, wire::JournalItem& to)
    {
        to.set_id(from.id);
        to.set_path(from.path);
        to.set_tokens(from.tokens);
        to.set_expected_tokens(from.expectedTokens);
        to.set_group(from.group);
        if (from.reward)
            writeReward(*from.reward, *to.mutable_reward());
        for (const item_header& header : from.headers) {
            wire::JournalHeader& written = *to.add_headers();
            written.set_name(header.name);
            written.set_value(header.value);
        }
    }

}

void writeItem(const batch_item& from, wire::JournalItem& to)
{
    writeAllButBody(from, to);
    to.set_body(from.body);
}

std::string encodeItemWithoutBody(const batch_item& item)
{
    wire::JournalItem message;
    writeAllButBody(item, message);
    return message.SerializeAsString();
}

batch_item takeItem(wire::JournalItem& from)
{
    batch_item item { from.id(), from.path(), {}, std::move(*from.mutable_body()), from.tokens(), from.expected_tokens(), from.group() };
    for (const wire::JournalHeader& header : from.headers())
        item.headers.push_back({ header.name(), header.value() });
    if (from.has_reward())
        item.reward = reward_call { from.reward().id(), from.reward().host(), from.reward().path(), std::move(*from.mutable_reward()->mutable_body()) };
    return item;
}

}
