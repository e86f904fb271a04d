#include "visibleshare.h"

#include <algorithm>

namespace ragwortreach {

double visibleShare(std::string_view dataCentre, std::size_t visible, std::span<const std::string> lostDataCentres)
{
    if (std::find(lostDataCentres.begin(), lostDataCentres.end(), dataCentre) == lostDataCentres.end())
        return 1;
    return static_cast<double>(visible) / static_cast<double>(visible + lostDataCentres.size());
}

}
