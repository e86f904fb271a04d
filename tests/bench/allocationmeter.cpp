#include "allocationmeter.h"

#include <algorithm>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

std::size_t allocated = 0;
std::size_t peak = 0;

}

namespace ragwortreach::allocation_meter {

std::size_t restart()
{
    peak = allocated;
    return allocated;
}

std::size_t peakBytes()
{
    return peak;
}

}

void* operator new(std::size_t size)
{
    void* const memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    allocated += malloc_usable_size(memory);
    peak = std::max(peak, allocated);
    return memory;
}

void operator delete(void* memory) noexcept
{
    allocated -= memory ? malloc_usable_size(memory) : 0;
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}
