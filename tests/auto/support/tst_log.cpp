#include <support/log.h>
#include <support/logline.h>

#include <core/resultcode.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace ragwortreach;
using nlohmann::json;

namespace {

std::string logPath()
{
    return std::string(std::getenv("RAGWORTREACH_BUILD_DIR")) + "/tst_log.log";
}

std::vector<json> readLines(const std::string& path)
{
    std::ifstream file(path);
    std::vector<json> lines;
    std::string line;
    while (std::getline(file, line))
        lines.push_back(json::parse(line));
    return lines;
}

}

TEST_CASE("Each line of the log is one JSON object with typed fields")
{
    std::filesystem::remove(logPath());
    {
        ragwortreach::log written({ logPath(), log_level::Info }, "entry-\"a1");
        REQUIRE(!written.error());
        written.write(log_line(log_level::Debug, "hidden"));
        written.write(log_line(log_level::Warning, "member_gone").with("vm_gone", "b\"\n\\\xff").with("count", 3u).with("share", 0.5).with("is_last", true));
        written.write(log_line(log_level::Error, "second"));
    }
    const std::vector<json> lines = readLines(logPath());
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["time"].get<std::string>().size() == std::string("2026-01-01T00:00:00.000000Z").size());
    CHECK(lines[0]["level"] == "warning");
    CHECK(lines[0]["vm"] == "entry-\"a1");
    CHECK(lines[0]["event"] == "member_gone");
    CHECK(lines[0]["vm_gone"] == "b\"\n\\\xef\xbf\xbd");
    CHECK(lines[0]["count"] == 3);
    CHECK(lines[0]["share"] == 0.5);
    CHECK(lines[0]["is_last"] == true);
    CHECK(lines[1]["level"] == "error");
}

TEST_CASE("A log file that cannot be opened is an error")
{
    ragwortreach::log written({ "/nonexistent-folder/x.log", log_level::Info }, "entry-a1");
    CHECK(written.error() == result_code::SettingsOutOfRange);
}
