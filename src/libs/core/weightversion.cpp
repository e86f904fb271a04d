#include "weightversion.h"

namespace ragwortreach {

namespace {

    std::uint64_t difference(std::uint64_t newer, std::uint64_t older)
    {
        return newer > older ? newer - older : 0;
    }

}

std::uint64_t versionsBehind(const weight_version& trainer, const weight_version& sample)
{
    if (trainer.base == sample.base)
        return difference(trainer.adapter, sample.adapter);
    if (trainer.adapter == 0 && sample.adapter == 0)
        return difference(trainer.base, sample.base);
    return incomparableVersions;
}

std::string toString(const weight_version& version)
{
    return std::to_string(version.base) + '.' + std::to_string(version.adapter);
}

}
