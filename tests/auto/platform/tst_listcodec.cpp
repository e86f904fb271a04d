#include <platform/listcodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace ragwortreach;
using namespace ragwortreach::platform;

namespace {

constexpr const char* completeEntry = R"({"service":"llm","address":"127.0.0.1:9","zone":"north-a","slots":12,"state":"ready","seq_no":31,"born":17,
    "models":[{"name":"lace","version":4}]})";

struct entry_case {
    const char* name;
    const char* bytes;
};

const entry_case badEntries[] = {
    { "no bytes", "" },
    { "not JSON", "\xff{" },
    { "a list", "[1]" },
    { "no service", R"({"address":"127.0.0.1:9","zone":"a","slots":1,"state":"ready","seq_no":1})" },
    { "address of another type", R"({"service":"llm","address":9,"zone":"a","slots":1,"state":"ready","seq_no":1})" },
    { "unknown state", R"({"service":"llm","address":"127.0.0.1:9","zone":"a","slots":1,"state":"resting","seq_no":1})" },
    { "models of another type", R"({"service":"llm","address":"127.0.0.1:9","zone":"a","slots":1,"state":"ready","seq_no":1,"models":{"name":1}})" },
    { "no slots", R"({"service":"llm","address":"127.0.0.1:9","zone":"a","state":"ready","seq_no":1})" },
    { "slots of another type", R"({"service":"llm","address":"127.0.0.1:9","zone":"a","slots":"1","state":"ready","seq_no":1})" },
    { "no sequence number", R"({"service":"llm","address":"127.0.0.1:9","zone":"a","slots":1,"state":"ready"})" },
};

/// Entry that is complete but for \a field, which has \a value.
std::string entryWith(const std::string& field, const std::string& value)
{
    std::map<std::string, std::string> fields { { "service", "\"llm\"" }, { "address", "\"127.0.0.1:9\"" }, { "zone", "\"a\"" }, { "slots", "12" },
        { "state", "\"ready\"" }, { "seq_no", "1" }, { "born", "17" }, { "models", "[]" } };
    fields[field] = value;
    std::string entry;
    for (const std::pair<const std::string, std::string>& item : fields)
        entry += (entry.empty() ? "{\"" : ",\"") + item.first + "\":" + item.second;
    return entry + "}";
}

std::string nestedLists(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

struct odd_value_case {
    const char* name;
    const char* field;
    std::string value;
};

const odd_value_case oddValues[] = {
    { "models nested very deeply", "models", nestedLists(130930) },
    { "models nested deeply", "models", nestedLists(1000) },
    { "an unknown field nested very deeply", "more", nestedLists(130930) },
    { "slots beyond all numbers", "slots", "1e300" },
    { "slots beyond their type", "slots", "4294967296" },
    { "more slots than any replica has", "slots", "4294967295" },
    { "negative slots", "slots", "-1" },
    { "start beyond all numbers", "born", "1e300" },
    { "start beyond its type", "born", "18446744073709551615" },
    { "negative start", "born", "-1" },
    { "start of another type", "born", "\"17\"" },
    { "sequence number beyond all numbers", "seq_no", "1e30" },
    { "negative sequence number", "seq_no", "-1" },
    { "version beyond all numbers", "models", R"([{"name":"lace","version":1e300}])" },
    { "port out of range", "address", "\"127.0.0.1:99999\"" },
    { "negative port", "address", "\"127.0.0.1:-1\"" },
    { "port zero", "address", "\"127.0.0.1:0\"" },
    { "no port", "address", "\"127.0.0.1\"" },
    { "a name in place of an address", "address", "\"replica.example:80\"" },
    { "a number beyond JSON", "slots", "1e999" },
};

constexpr const char* completeConfiguration = R"({"version":7,"routes":[
    {"name":"r1","host":"h","path_prefix":"/a/","route_kind":"rollout","timeout_ms":10000,"full_value_ms":400,"priority":1,"service":"llm",
     "max_attempts":3,"retention_s":40.5,"result_target_ms":7500,"single_version":true,"resumable":true},
    {"name":"r2","host":"h","path_prefix":"/b/","route_kind":"surprise","timeout_ms":800,"split":[{"service":"llm","weight":90},{"service":"shop","weight":10}]}],
    "services":[{"name":"llm","engine":{"slots":12,"kv_capacity":94839,"models":[{"name":"lace"}]}},{"name":"shop","max_conns":110}],
    "limits":{"max_header_bytes":16384}})";

/// Configuration that is complete but for its organisations, which are \a organisations, a JSON text.
std::string configurationWith(const std::string& organisations)
{
    std::string text = completeConfiguration;
    text.back() = ',';
    return text + "\"tenants\":" + organisations + "}";
}

}

TEST_CASE("The entry of a replica is decoded")
{
    const std::optional<replica_entry> entry = decodeReplicaEntry("i-1", completeEntry);
    REQUIRE(entry);
    CHECK(entry->id == "i-1");
    CHECK(entry->dataCentre == "north-a");
    CHECK(entry->slots == 12);
    CHECK(entry->startedAt == 17);
    CHECK(entry->weights.at("lace") == 4);
    CHECK_FALSE(entry->isDraining);
}

TEST_CASE("Invalid and incomplete entries are rejected")
{
    for (const entry_case& row : badEntries) {
        DYNAMIC_SECTION(row.name) { CHECK_FALSE(decodeReplicaEntry("i-1", row.bytes)); }
    }
}

// Odd entries of other writers ended the daemons that read them, or were taken for replicas of four billion slots.
TEST_CASE("An entry says whether its replica may be reclaimed and how soon it leaves; odd values of both are ignored")
{
    const std::optional<replica_entry> leaving = decodeReplicaEntry("r-1", entryWith("spot", R"(true,"leaves_ms":2500.5)"));
    REQUIRE(leaving);
    CHECK(leaving->isSpot);
    CHECK(leaving->leavesIn == std::chrono::milliseconds(2500));
    const std::optional<replica_entry> regular = decodeReplicaEntry("r-1", entryWith("spot", "false"));
    REQUIRE(regular);
    CHECK(!regular->isSpot);
    CHECK(!regular->leavesIn);
    for (const char* odd : { "1", "\"true\"", "null", "true,\"leaves_ms\":-1", "true,\"leaves_ms\":1e300", "true,\"leaves_ms\":\"2500\"" }) {
        const std::optional<replica_entry> entry = decodeReplicaEntry("r-1", entryWith("spot", odd));
        REQUIRE(entry);
        CHECK(!entry->leavesIn);
        CHECK(entry->isSpot == std::string_view(odd).starts_with("true"));
    }
}

TEST_CASE("An entry with an odd value names no replica")
{
    REQUIRE(decodeReplicaEntry("i-1", entryWith("slots", "12")));
    REQUIRE(decodeReplicaEntry("i-1", entryWith("more", "[[1]]")));
    for (const odd_value_case& row : oddValues) {
        DYNAMIC_SECTION(row.name) { CHECK_FALSE(decodeReplicaEntry("i-1", entryWith(row.field, row.value))); }
    }
}

TEST_CASE("Decoding a corrupted or truncated entry does not crash")
{
    REQUIRE(rc::check([] {
        std::string bytes = completeEntry;
        const std::size_t place = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[place] = *rc::gen::arbitrary<char>();
        decodeReplicaEntry("i-1", bytes);
        decodeReplicaEntry("i-1", std::string_view(bytes).substr(0, place));
    }));
}

TEST_CASE("A configuration is decoded; requests of an unknown route kind run at most once")
{
    const operator_record record = decodeOperatorRecord({ "config", completeConfiguration, 0 });
    REQUIRE(std::holds_alternative<route_configuration>(record));
    const route_configuration& configuration = std::get<route_configuration>(record);
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 2);
    CHECK(configuration.routes[0].kind == route_kind::Rollout);
    CHECK(configuration.routes[0].retention == std::chrono::milliseconds(40500));
    CHECK(configuration.routes[0].isSingleVersion);
    CHECK(configuration.routes[1].kind == route_kind::NonIdempotent);
    CHECK(configuration.routes[1].targets.size() == 2);
    CHECK(configuration.services[0].engine->models == std::vector<std::string> { "lace" });
    CHECK_FALSE(configuration.services[1].engine);
}

TEST_CASE("Organisations, public routes and scaling bounds are decoded; a configuration without organisations asks for no keys")
{
    const operator_record without = decodeOperatorRecord({ "config", completeConfiguration, 0 });
    REQUIRE(std::holds_alternative<route_configuration>(without));
    CHECK_FALSE(std::get<route_configuration>(without).organisations);

    std::string text = configurationWith(R"([{"name":"lace-guild","api_keys":["k1","k2"],"priority":1},{"name":"weavers","api_keys":[]}])");
    text.replace(text.find(R"("name":"shop","max_conns")"), 0,
        R"("scaling":{"min":1,"max":30,"boot_s":4.5,"spot_price":0.25,"zone_prices":{"north-a":1.0,"north-b":0.5}},)");
    text.replace(text.find(R"("name":"r2")"), 0, R"("public":true,)");
    const operator_record record = decodeOperatorRecord({ "config", text, 0 });
    REQUIRE(std::holds_alternative<route_configuration>(record));
    const route_configuration& configuration = std::get<route_configuration>(record);
    REQUIRE(configuration.organisations);
    REQUIRE(configuration.organisations->size() == 2);
    const organisation& guild = configuration.organisations->front();
    CHECK(guild.name == "lace-guild");
    CHECK(guild.keys == std::vector<std::string> { "k1", "k2" });
    CHECK(guild.priority == 1U);
    CHECK_FALSE(configuration.organisations->back().priority);
    CHECK_FALSE(configuration.routes[0].isPublic);
    CHECK(configuration.routes[1].isPublic);
    CHECK_FALSE(configuration.services[0].scaling);
    const std::optional<scaling_bounds>& scaling = configuration.services[1].scaling;
    REQUIRE(scaling);
    CHECK(scaling->minReplicas == 1);
    CHECK(scaling->maxReplicas == 30);
    CHECK(scaling->startTime == std::chrono::milliseconds(4500));
    CHECK(scaling->spotPrice == 0.25);
    CHECK(scaling->dataCentrePrices.at("north-b") == 0.5);
}

TEST_CASE("A configuration with faulty organisations is unreadable, and the reason names no key")
{
    for (const char* const faulty : { R"([{"name":"guild","api_keys":["secret","secret"]}])", R"([{"name":"guild"}])", R"([{"name":"guild","api_keys":"secret"}])",
             R"([{"name":7,"api_keys":["secret"]}])", R"([{"name":"guild","api_keys":["secret",7]}])", R"([{"name":"guild","api_keys":["secret"],"priority":-1}])",
             R"([{"name":"guild","api_keys":["secret"],"priority":1e300}])", R"({"guild":["secret"]})" }) {
        INFO(faulty);
        const operator_record record = decodeOperatorRecord({ "config", configurationWith(faulty), 0 });
        REQUIRE(std::holds_alternative<unreadable_configuration>(record));
        CHECK(std::get<unreadable_configuration>(record).reason.find("secret") == std::string::npos);
    }
}

TEST_CASE("Versions are decoded, and invalid or unknown records of the operators' topic are rejected")
{
    const operator_record named = decodeOperatorRecord({ "version/lace", R"({"model_id":"lace","version":3})", 0 });
    REQUIRE(std::holds_alternative<named_version>(named));
    CHECK(std::get<named_version>(named).version == 3);
    for (const keyed_record& record : { keyed_record { "version/lace", R"({"model_id":3})", 0 }, keyed_record { "other", "{}", 0 } })
        CHECK(std::holds_alternative<std::monostate>(decodeOperatorRecord(record)));
    for (const keyed_record& record : { keyed_record { "config", "{", 0 }, keyed_record { "config", R"({"version":"x"})", 0 }, keyed_record { "config", std::nullopt, 0 }, keyed_record { "config", nestedLists(130930), 0 }, keyed_record { "config", R"({"version":1e300,"routes":[],"services":[]})", 0 } })
        CHECK(std::holds_alternative<unreadable_configuration>(decodeOperatorRecord(record)));
}
