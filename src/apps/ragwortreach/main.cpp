#include <commandline/commandline.h>

#include <cstdio>
#include <exception>
#include <iostream>
#include <span>

int main(int argc, char** argv)
{
    try {
        const std::span<const char* const> arguments(argv, static_cast<std::size_t>(argc));
        return static_cast<int>(ragwortreach::runCommandLine(arguments, std::cout, std::cerr));
    } catch (const std::exception& error) {
        std::fprintf(stderr, "ragwortreach: The command stopped: %s\n", error.what());
        return static_cast<int>(ragwortreach::exit_code::Internal);
    }
}
