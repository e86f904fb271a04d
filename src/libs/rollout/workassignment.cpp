#include "workassignment.h"

namespace ragwortreach {

std::set<std::string, std::less<>> ownedModels(std::span<const std::string> models, const std::set<std::uint32_t>& held, std::uint32_t partitions)
{
    std::set<std::string, std::less<>> owned;
    const std::uint32_t shared = partitions > 1 ? partitions - 1 : 1;
    for (std::size_t index = 0; index < models.size(); ++index) {
        const std::uint32_t partition = static_cast<std::uint32_t>(partitions - 1 - index % shared);
        if (held.contains(partition))
            owned.insert(models[index]);
    }
    return owned;
}

}
