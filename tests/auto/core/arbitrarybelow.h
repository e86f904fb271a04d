#pragma once

#include <rapidcheck.h>

namespace ragwortreach {

/// Arbitrary number from 0 to \a bound - 1. It is uniformly distributed in all cases of a property; by default RapidCheck
/// starts with cases of small size and small numbers.
template <typename Number>
Number arbitraryBelow(Number bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(0, bound));
}

}
