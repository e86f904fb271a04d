#include <gateway/gatewaysettings.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;

namespace {

constexpr const char* validSettings = R"({"vm":"vm1","data_centre":"north-a","region":"north","log_level":"warning","gateway":{
    "caller":"127.0.0.1:1","readiness":"127.0.0.1:2","metrics":"127.0.0.1:3","store":"127.0.0.1:4","order_lease_ms":2500,"configuration_apply_ms":3000,"configuration_grace_ms":6000,"replica_heartbeat_ms":700,"memory_mb":88.5,"max_descriptors":1024,"stop_s":7.5}})";

struct settings_case {
    const char* name;
    const char* text;
    const char* detail;
};

const settings_case badSettings[] = {
    { "not JSON", "{", "" },
    { "missing key", R"({"vm":"v","data_centre":"d","region":"r","gateway":{"caller":"127.0.0.1:1","readiness":"127.0.0.1:2","metrics":"127.0.0.1:3"}})", "store" },
    { "unknown key", R"({"vm":"v","data_centre":"d","region":"r","extra":1,"gateway":{"caller":"127.0.0.1:1","readiness":"127.0.0.1:2","metrics":"127.0.0.1:3","store":"127.0.0.1:4"}})", "extra" },
    { "host name instead of an IP address", R"({"vm":"v","data_centre":"d","region":"r","gateway":{"caller":"localhost:1","readiness":"127.0.0.1:2","metrics":"127.0.0.1:3","store":"127.0.0.1:4"}})", "localhost:1" },
    { "no memory", R"({"vm":"v","data_centre":"d","region":"r","gateway":{"caller":"127.0.0.1:1","readiness":"127.0.0.1:2","metrics":"127.0.0.1:3","store":"127.0.0.1:4","memory_mb":0}})", "memory_mb" },
    { "no descriptors", R"({"vm":"v","data_centre":"d","region":"r","gateway":{"caller":"127.0.0.1:1","readiness":"127.0.0.1:2","metrics":"127.0.0.1:3","store":"127.0.0.1:4","max_descriptors":0}})", "max_descriptors" },
    { "descriptors that are no number", R"({"vm":"v","data_centre":"d","region":"r","gateway":{"caller":"127.0.0.1:1","readiness":"127.0.0.1:2","metrics":"127.0.0.1:3","store":"127.0.0.1:4","max_descriptors":"many"}})", "max_descriptors" },
};

}

TEST_CASE("Valid settings of the gateway are loaded")
{
    gateway_settings settings;
    std::string detail;
    REQUIRE(isGatewaySettings(validSettings));
    REQUIRE_FALSE(loadGatewaySettings(validSettings, settings, detail));
    CHECK(settings.vm == "vm1");
    CHECK(settings.storeAddress == "127.0.0.1:4");
    CHECK(settings.orderLease == std::chrono::milliseconds(2500));
    CHECK(settings.configurationApply == std::chrono::milliseconds(3000));
    CHECK(settings.configurationGrace == std::chrono::milliseconds(6000));
    CHECK(settings.replicaHeartbeat == std::chrono::milliseconds(700));
    CHECK(settings.stopTime == std::chrono::milliseconds(7500));
    CHECK(settings.log.level == log_level::Warning);
    CHECK(settings.memoryBytes == std::size_t { 177 } * 512 * 1024);
    CHECK(settings.maxDescriptors == std::size_t { 1024 });
}

TEST_CASE("The duties of a daemon are those that the settings name; without any it has none")
{
    gateway_settings settings;
    std::string detail;
    REQUIRE_FALSE(loadGatewaySettings(validSettings, settings, detail));
    CHECK(!settings.duties.reportsUsage);
    CHECK(!settings.duties.ordersReplicas);
    std::string text = validSettings;
    text.insert(text.find("\"stop_s\""), R"("duty_api":"127.0.0.1:5","duties":["another","scaling"],)");
    REQUIRE_FALSE(loadGatewaySettings(text, settings, detail));
    CHECK(settings.duties.address == "127.0.0.1:5");
    CHECK(!settings.duties.reportsUsage);
    CHECK(settings.duties.ordersReplicas);
}

TEST_CASE("Invalid settings are reported by key or value and leave the settings unchanged")
{
    for (const settings_case& row : badSettings) {
        DYNAMIC_SECTION(row.name)
        {
            gateway_settings settings;
            settings.vm = "before";
            std::string detail;
            CHECK(loadGatewaySettings(row.text, settings, detail));
            CHECK_THAT(detail, Catch::Contains(row.detail));
            CHECK(settings.vm == "before");
        }
    }
}
