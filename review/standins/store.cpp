#include "store.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace review {

using nlohmann::json;

namespace {

    constexpr std::size_t recordBytes = 262144;
    constexpr std::size_t callBytes = 2097152;
    constexpr std::size_t pageKeys = 500;
    constexpr std::size_t pageBytes = 1024 * 1024;
    constexpr milliseconds answerTime { 4 };

    std::string bigEndian(std::uint64_t number, int size)
    {
        std::string bytes;
        for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
            bytes += static_cast<char>(number >> shift & 0xff);
        return bytes;
    }

    std::string jsonResponse(int status, const json& body)
    {
        return responseText(status, { { "Content-Type", "application/json" } }, body.dump());
    }

}

store::store(std::size_t daemons)
{
    for (std::size_t index = 0; index < daemons; ++index) {
        m_doors.push_back(std::make_unique<door>());
        door& added = *m_doors.back();
        added.listener = std::make_unique<server>([this, &added](connection& peer, const http_message& request) { return answer(added, peer, request); });
    }
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_partitions[topic + "/0"].records.push_back({ key, value, bigEndian(key.size(), 1) + key + value });
    m_changed.notify_all();
}

bool store::answer(door& entered, connection& peer, const http_message& request)
{
    std::string response = responseText(503, {}, "");
    if (!entered.isBusy) {
        if (request.path() == "/api/log-read") {
            response = read(entered, request);
        } else {
            std::this_thread::sleep_for(answerTime);
            response = request.path() == "/api/log-append" ? append(request) : request.path() == "/api/log-newest" ? newest(request) : responseText(404, {}, "");
        }
    }
    return peer.send(response);
}

std::string store::append(const http_message& request)
{
    std::vector<record> added;
    std::string_view body = request.body;
    while (body.size() >= 4) {
        std::size_t size = 0;
        for (std::size_t place = 0; place < 4; ++place)
            size = size << 8 | static_cast<unsigned char>(body[place]);
        if (size > recordBytes || body.size() < 4 + size)
            return jsonResponse(413, {});
        const std::string content(body.substr(4, size));
        const std::size_t keySize = static_cast<unsigned char>(content[0]);
        added.push_back({ content.substr(1, keySize), content.substr(1 + keySize), content });
        body.remove_prefix(4 + size);
    }
    if (request.body.size() > callBytes + 4 * added.size())
        return jsonResponse(413, {});
    const std::string name = request.query("producer");
    const std::uint64_t epoch = std::stoull(request.query("epoch"));
    const std::uint64_t number = std::stoull(request.query("seq_no"));
    const std::lock_guard lock(m_mutex);
    partition& target = m_partitions[request.query("topic") + "/" + request.query("part")];
    const bool isKnown = target.producers.contains(name);
    partition::producer& producer = target.producers[name];
    if (isKnown && epoch < producer.epoch)
        return jsonResponse(409, { { "why", "fenced" } });
    if (isKnown && epoch == producer.epoch) {
        if (producer.offsets.contains(number))
            return jsonResponse(200, { { "offset", producer.offsets[number] }, { "end", target.records.size() } });
        if (number != producer.nextNumber)
            return jsonResponse(409, { { "why", "seq" }, { "seq_no", producer.nextNumber } });
    }
    producer.epoch = epoch;
    producer.nextNumber = number + 1;
    const std::uint64_t offset = target.records.size();
    producer.offsets[number] = offset;
    if (producer.offsets.size() > 5)
        producer.offsets.erase(producer.offsets.begin());
    target.records.insert(target.records.end(), added.begin(), added.end());
    m_changed.notify_all();
    return jsonResponse(200, { { "offset", offset }, { "end", target.records.size() } });
}

std::string store::read(door& entered, const http_message& request)
{
    const std::string wait = request.query("wait_ms");
    const std::string limit = request.query("max_kb");
    const clock::time_point deadline = clock::now() + milliseconds(wait.empty() ? 0 : std::stoi(wait));
    const std::size_t maxBytes = (limit.empty() ? 1024 : std::stoul(limit)) * 1024;
    const std::uint64_t from = std::stoull(request.query("from"));
    std::unique_lock lock(m_mutex);
    const partition& source = m_partitions[request.query("topic") + "/" + request.query("part")];
    while (source.records.size() <= from && clock::now() < deadline && !entered.isBusy)
        m_changed.wait_until(lock, std::min(deadline, clock::now() + milliseconds(10)));
    if (entered.isBusy)
        return responseText(503, {}, "");
    std::string body = bigEndian(source.records.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t offset = from; offset < source.records.size() && (offset == from || body.size() < maxBytes); ++offset)
        body += bigEndian(source.records[offset].content.size(), 4) + source.records[offset].content;
    return responseText(200, {}, body);
}

std::string store::newest(const http_message& request)
{
    const std::string after = request.query("after");
    const std::lock_guard lock(m_mutex);
    const partition& source = m_partitions[request.query("topic") + "/" + request.query("part")];
    std::map<std::string, std::uint64_t> offsets;
    for (std::uint64_t offset = 0; offset < source.records.size(); ++offset) {
        if (source.records[offset].value.empty())
            offsets.erase(source.records[offset].key);
        else
            offsets[source.records[offset].key] = offset;
    }
    json items = json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (const auto& [key, offset] : offsets) {
        if (key <= after)
            continue;
        hasMore = items.size() >= pageKeys || bytes >= pageBytes;
        if (hasMore)
            break;
        bytes += source.records[offset].value.size();
        items.push_back({ { "key", key }, { "value", encodeBase64(source.records[offset].value) }, { "offset", offset } });
    }
    return jsonResponse(200, { { "items", items }, { "more_pages", hasMore }, { "end", source.records.size() } });
}

}
