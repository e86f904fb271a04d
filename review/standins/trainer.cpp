#include "trainer.h"

#include "fleet.h"
#include "record.h"

namespace review {

using nlohmann::json;

json batchJob(const std::string& id, const std::string& prefix, const std::string& model, int groups, int size)
{
    json items = json::array();
    for (int group = 0; group < groups; ++group) {
        const std::string shared = id + std::to_string(1000 + group);
        for (int number = 0; number < size; ++number) {
            const std::string item = id + "i" + std::to_string(group * size + number);
            const json headers { { "Model-Id", model }, { "Token-Usage", "271,400" }, { "Prompt-Prefix", shared + ":255," + item + ":16" } };
            items.push_back({ { "id", item }, { "path", prefix + "items/" + item }, { "headers", headers }, { "body", encodeBase64("prompt of " + item) },
                { "token_count", 671 }, { "group_id", "g" + shared } });
        }
    }
    return { { "train_step", 0 }, { "model_id", model }, { "min_version", 1 }, { "group_count", groups }, { "items", items } };
}

int submit(const std::string& daemon, const std::string& prefix, const std::string& id, const json& job)
{
    const http_message response = call(daemon, "POST", prefix + id,
        { { "Host", host }, { "Request-Id", id }, { "Content-Type", "application/json" }, { "Deadline-Ms", "12000" } }, job.dump(), std::chrono::seconds(5));
    record("batch job " + id + " with " + std::to_string(job["items"].size()) + " items, answered " + std::to_string(response.status));
    return response.status;
}

int readResults(const std::string& daemon, const std::string& id, std::size_t position, std::vector<listed_result>& results)
{
    const http_message response = call(daemon, "GET", "/api/lots/" + id + "?after=" + std::to_string(position), { { "Host", host }, { "Wait-Ms", "1000" } }, "", milliseconds(2500));
    if (response.status != 200 || !response.isComplete)
        return response.status == 200 ? 0 : response.status;
    const json body = json::parse(response.body);
    for (const json& result : body["results"])
        results.push_back({ result["id"], result["state"], result.value("output", "") });
    return 200;
}

int endJob(const std::string& daemon, const std::string& id)
{
    return call(daemon, "DELETE", "/api/lots/" + id, { { "Host", host } }, "", std::chrono::seconds(3)).status;
}

}
