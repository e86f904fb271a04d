#include <core/resultcode.h>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

using namespace ragwortreach;

namespace {

std::string tableRow(const result_code_info& info)
{
    std::ostringstream row;
    row << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << toString(info.run) << " | "
        << info.httpStatus << " | " << info.text << " |";
    return row.str();
}

}

TEST_CASE("The table in docs/RESULT-CODES.md lists each result code as it is defined")
{
    const char* sourceDir = std::getenv("RAGWORTREACH_SOURCE_DIR");
    REQUIRE(sourceDir != nullptr);
    std::ifstream file(std::string(sourceDir) + "/docs/RESULT-CODES.md");
    std::stringstream page;
    page << file.rdbuf();
    for (const result_code_info& info : resultCodes()) {
        CAPTURE(info.name);
        CHECK(page.str().find(tableRow(info)) != std::string::npos);
    }
}

TEST_CASE("Result codes are sorted by number and convert to std::error_code")
{
    int previous = -1;
    for (const result_code_info& info : resultCodes()) {
        CHECK(static_cast<int>(info.code) > previous);
        previous = static_cast<int>(info.code);
        const std::error_code error = info.code;
        CHECK(error.category() == resultCategory());
        CHECK(error.message() == info.text);
    }
}
