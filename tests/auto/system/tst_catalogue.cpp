#include "testfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ragwortreach::Tests;
using nlohmann::json;

TEST_CASE("An accepted edit comes into force on every daemon")
{
    const test_fleet fleet(3);
    const json edit = { { "id", "e1" }, { "entry", "shop" }, { "replaces", 0 }, { "operator", "mart" }, { "action", "put" }, { "body", shopEntry(true) } };
    const http_reply accepted = fleet.admin(0, "POST", "/v1/catalogue/edits", edit);
    CAPTURE(accepted.body);
    REQUIRE(accepted.status == 200);
    const json answer = accepted.json();
    CHECK(answer["accepted"] == true);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(waitUntil([&] { return fleet.admin(i, "GET", "/v1/catalogue/shop").status == 200; }));
        const json entry = fleet.admin(i, "GET", "/v1/catalogue/shop").json();
        CHECK(entry["revision"] == answer["revision"]);
        CHECK(entry["body"]["upstream"] == "bobbin-shop");
    }
    const std::string target = "/v1/catalogue/confirmations?offset=" + answer["offset"].dump();
    CHECK(waitUntil([&] {
        const json vms = fleet.admin(0, "GET", target).json().value("vms", json::array());
        return vms.size() == 3 && std::all_of(vms.begin(), vms.end(), [](const json& vm) { return vm["confirmed"] == true; });
    }));
    SECTION("An edit that replaces an outdated revision is refused and changes no daemon")
    {
        json late = edit;
        late["id"] = "e2";
        late["operator"] = "kadri";
        late["body"] = shopEntry(false);
        const http_reply refused = fleet.admin(1, "POST", "/v1/catalogue/edits", late);
        CHECK(refused.status == 409);
        CHECK(refused.json()["current"]["revision"] == answer["revision"]);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CHECK(fleet.admin(i, "GET", "/v1/catalogue/shop").json()["body"]["idempotent"] == true);
    }
    SECTION("An edit is accepted once when the log loses the reply to its append")
    {
        fleet.standins().injectFaults({ { "log", { { "lose_reply_after_write", 1 } } } });
        json next = edit;
        next["id"] = "e3";
        next["replaces"] = answer["revision"];
        CHECK(fleet.admin(2, "POST", "/v1/catalogue/edits", next).status == 200);
        const json records = fleet.standins().get("/streams/catalogue/records?from=0").json()["records"];
        CHECK(std::count_if(records.begin(), records.end(), [](const json& record) { return record["id"] == "e3"; }) == 1);
    }
}
