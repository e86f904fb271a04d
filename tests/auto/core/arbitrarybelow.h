#pragma once

#include <rapidcheck.h>

namespace ragwortreach {

/// Arbitrary number below \a bound, spread evenly also in the first cases of a property.
template <typename Number>
Number arbitraryBelow(Number bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(0, bound));
}

}
