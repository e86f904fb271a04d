#include <gateway/journalkeys.h>

#include <catch2/catch.hpp>

#include <set>

using namespace ragwortreach;

namespace {

struct name_case {
    const char* name;
    std::string id;
    bool isOwnName;
};

const name_case nameCases[] = {
    { "digits and letters", "24a7007435703782", true },
    { "the longest name", std::string(64, 'a'), true },
    { "one byte more", std::string(65, 'a'), false },
    { "several kilobytes", std::string(5000, 'a'), false },
    { "no character", "", false },
    { "a separator", "a/b", false },
    { "the prefix of the directory", "~", false },
    { "the marker of digests", "#a", false },
    { "a zero byte", std::string("a\0b", 3), false },
    { "bytes beyond ASCII", "\xc3\xb5", false },
};

}

TEST_CASE("Each id has a name of its own that fits into keys")
{
    std::set<std::string> names;
    for (const name_case& row : nameCases) {
        DYNAMIC_SECTION(row.name)
        {
            const std::string name = journalName(row.id);
            CHECK((name == row.id) == row.isOwnName);
            CHECK(name.size() <= 64);
            CHECK(name.find('/') == std::string::npos);
            CHECK(nameInKey(batchPrefix(name) + "vm1-17/3/0") == name);
            CHECK(nameInKey(std::string(directoryPrefix) + batchPrefix(name) + "vm1-17/3/0") == name);
            CHECK(name < directoryPrefix);
        }
        names.insert(journalName(row.id));
    }
    CHECK(names.size() == std::size(nameCases));
}
