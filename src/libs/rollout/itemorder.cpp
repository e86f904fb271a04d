#include "itemorder.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace ragwortreach {

namespace {

    struct group_length {
        std::string_view group;
        /// The trainer waits for the group, however many other groups are complete.
        bool isRequired = false;
        std::uint64_t longestItem = 0;
        std::size_t firstItem = 0;
    };

    std::vector<group_length> groupLengths(const ledger_batch& batch)
    {
        std::map<std::string_view, group_length> byName;
        const std::vector<batch_item>& items = batch.submission.items;
        for (std::size_t index = 0; index < items.size(); ++index) {
            group_length& group = byName.try_emplace(items[index].group, group_length { items[index].group, false, 0, index }).first->second;
            group.longestItem = std::max(group.longestItem, items[index].expectedTokens);
            group.isRequired = group.isRequired || batch.requiredGroups.contains(items[index].group);
        }
        std::vector<group_length> groups;
        groups.reserve(byName.size());
        for (const std::pair<const std::string_view, group_length>& item : byName)
            groups.push_back(item.second);
        return groups;
    }

    /// Ranks of the groups: required ones first, then in ascending order of their longest item.
    std::map<std::string_view, std::size_t> rankGroups(const ledger_batch& batch)
    {
        std::vector<group_length> groups = groupLengths(batch);
        std::sort(groups.begin(), groups.end(), [](const group_length& left, const group_length& right) {
            return std::make_tuple(!left.isRequired, left.longestItem, left.firstItem)
                < std::make_tuple(!right.isRequired, right.longestItem, right.firstItem);
        });
        std::map<std::string_view, std::size_t> ranks;
        for (const group_length& group : groups)
            ranks.emplace(group.group, ranks.size());
        return ranks;
    }

}

std::vector<std::size_t> itemOrder(const ledger_batch& batch)
{
    const std::vector<batch_item>& items = batch.submission.items;
    const std::map<std::string_view, std::size_t> ranks = rankGroups(batch);
    const std::size_t wanted = batch.submission.wantedGroups != 0 ? batch.submission.wantedGroups : ranks.size();
    std::vector<std::size_t> order(items.size());
    for (std::size_t index = 0; index < order.size(); ++index)
        order[index] = index;
    std::stable_sort(order.begin(), order.end(), [&items, &ranks, wanted](std::size_t left, std::size_t right) {
        // Groups beyond the wanted number run one after the other, so that one of them is complete early.
        const std::size_t leftSpare = std::max(ranks.at(items[left].group) + 1, wanted);
        const std::size_t rightSpare = std::max(ranks.at(items[right].group) + 1, wanted);
        return std::make_tuple(leftSpare, items[right].expectedTokens) < std::make_tuple(rightSpare, items[left].expectedTokens);
    });
    return order;
}

}
