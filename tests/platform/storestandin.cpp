#include "storestandin.h"

#include <platform/base64.h>
#include <platform/recordframe.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace ragwortreach::Tests {

using nlohmann::json;

namespace {

    constexpr std::chrono::milliseconds tickInterval { 10 };
    /// Delay of the pages of a topic that is set to slow.
    constexpr std::chrono::milliseconds latePageDelay { 500 };
    /// Keys on one page of newest values; few, so that tests read several pages.
    constexpr std::size_t smallPageSize = 20;
    /// Keys on one page of the users' platform.
    constexpr std::size_t platformPageSize = 500;
    /// Bytes of values on one page of newest values; a larger value is a page by itself.
    constexpr std::size_t maxPageBytes = std::size_t { 1024 } * 1024;
    constexpr std::size_t defaultReadKilobytes = 1024;
    /// Largest body of an append on the users' platform.
    constexpr std::size_t maxAppendBytes = std::size_t { 2 } * 1024 * 1024;

    /// Key of a partition in the store: "topic/part".
    std::string partitionKey(const http_request& request)
    {
        return queryValue(request.target, "topic").value_or("") + "/" + queryValue(request.target, "part").value_or("0");
    }

    std::uint64_t queryNumber(const http_request& request, std::string_view name)
    {
        return std::stoull(queryValue(request.target, name).value_or("0"));
    }

    /// \a number as eight bytes, most significant first.
    std::string bigEndian(std::uint64_t number)
    {
        std::string bytes;
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes += static_cast<char>((number >> shift) & 0xff);
        return bytes;
    }

    /// Decodes percent encoding.
    std::string decodeKey(const std::string& text)
    {
        std::string key;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] != '%') {
                key += text[index];
                continue;
            }
            key += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        }
        return key;
    }

    /// Newest record of each key that has not been deleted.
    std::map<std::string, keyed_record> newestByKey(const std::vector<keyed_record>& records)
    {
        std::map<std::string, keyed_record> newest;
        for (const keyed_record& record : records) {
            if (record.value)
                newest[record.key] = record;
            else
                newest.erase(record.key);
        }
        return newest;
    }

}

store_standin::store_standin(boost::asio::io_context& context)
    : m_context(context)
    , m_timer(context)
    , m_pageSize(smallPageSize)
{
    tick();
}

std::string store_standin::addAddress()
{
    const std::shared_ptr<std::string> address = std::make_shared<std::string>();
    m_servers.push_back(std::make_unique<http_server>(
        m_context, http_server_limits { 65536, std::size_t { 8 } * 1024 * 1024 }, [this, address](const http_exchange& exchange) { answer(exchange, *address); },
        [](std::error_code) { return http_response { 400, {}, {} }; }));
    if (m_servers.back()->listen({ "127.0.0.1", 0 }))
        throw std::runtime_error("store stand-in: no free port on 127.0.0.1");
    *address = "127.0.0.1:" + std::to_string(m_servers.back()->port());
    return *address;
}

void store_standin::setAccess(const std::string& address, store_access access)
{
    m_access[address] = access;
    if (access != store_access::Silent)
        m_ignored.erase(address);
}

void store_standin::refuseReads(std::string address, std::string topic)
{
    m_refusingAddress = std::move(address);
    m_refusedTopic = std::move(topic);
}

void store_standin::redirectReplicas(std::string address, std::string replicaAddress)
{
    m_redirectedAddress = std::move(address);
    m_redirectedReplicas = std::move(replicaAddress);
}

keyed_record store_standin::shown(keyed_record record, const std::string& partitionKey, const std::string& address) const
{
    if (address != m_redirectedAddress || partitionKey != "keyed.servers/0" || !record.value)
        return record;
    json entry = json::parse(*record.value);
    entry["address"] = m_redirectedReplicas;
    record.value = entry.dump();
    return record;
}

void store_standin::setReadRate(double bytesPerSecond)
{
    m_readRate = bytesPerSecond;
    m_pageSize = platformPageSize;
}

std::uint64_t store_standin::readBytes(const std::string& address) const
{
    const std::map<std::string, std::uint64_t>::const_iterator found = m_readBytes.find(address);
    return found == m_readBytes.end() ? 0 : found->second;
}

void store_standin::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::vector<keyed_record>& records = m_partitions[topic + "/0"].records;
    records.push_back({ key, value, records.size() });
    answerWaiting(false);
}

void store_standin::compact()
{
    for (std::pair<const std::string, partition>& item : m_partitions)
        item.second.firstRetained = item.second.records.size();
}

std::size_t store_standin::keyCount(const std::string& topic) const
{
    std::size_t count = 0;
    for (const std::pair<const std::string, partition>& item : m_partitions) {
        if (item.first.starts_with(topic + "/"))
            count += newestByKey(item.second.records).size();
    }
    return count;
}

bool store_standin::turnAway(const http_exchange& exchange, const std::string& address)
{
    switch (m_access[address]) {
    case store_access::Serving:
        return false;
    case store_access::Busy:
        exchange.respond({ 503, {}, {} });
        return true;
    case store_access::TooManyRequests:
        exchange.respond({ 429, {}, {} });
        return true;
    case store_access::Resetting:
        exchange.abort();
        return true;
    case store_access::Silent:
        m_ignored.emplace(address, exchange);
        return true;
    }
    return false;
}

void store_standin::answer(const http_exchange& exchange, const std::string& address)
{
    if (turnAway(exchange, address))
        return;
    const std::string_view path = targetPath(exchange.request().target);
    const bool isRefusedRead = path != "/api/log-append" && address == m_refusingAddress && (m_refusedTopic.empty() || partitionKey(exchange.request()).starts_with(m_refusedTopic + "/"));
    if (m_behaviour == store_behaviour::Refusing || isRefusedRead) {
        exchange.respond({ 503, {}, {} });
        return;
    }
    if (path == "/api/log-append")
        append(exchange);
    else if (m_behaviour == store_behaviour::Unresponsive)
        m_unanswered.push_back(exchange);
    else if (path == "/api/log-read")
        read(exchange, address);
    else if (path == "/api/log-newest" && !m_slowTopic.empty() && partitionKey(exchange.request()).starts_with(m_slowTopic + "/"))
        m_latePages.push_back({ exchange, address, std::chrono::steady_clock::now() + latePageDelay });
    else if (path == "/api/log-newest")
        newest(exchange, address);
    else
        exchange.respond({ 404, {}, {} });
}

void store_standin::append(const http_exchange& exchange)
{
    const http_request& request = exchange.request();
    if (request.body.size() > maxAppendBytes) {
        exchange.respond({ 413, {}, {} });
        return;
    }
    partition& target = m_partitions[partitionKey(request)];
    const std::string producer = decodeKey(queryValue(request.target, "producer").value_or(""));
    const std::uint64_t sequence = queryNumber(request, "seq_no");
    const std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>::iterator known = target.producers.find(producer);
    const bool isRepeat = known != target.producers.end() && sequence + 1 == known->second.first;
    if (known != target.producers.end() && !isRepeat && sequence != known->second.first) {
        exchange.respond({ 409, {}, json { { "why", "seq" }, { "seq_no", known->second.first } }.dump() });
        return;
    }
    if (!isRepeat) {
        target.producers[producer] = { sequence + 1, target.records.size() };
        const std::optional<platform::decoded_read> decoded
            = platform::decodeRead(bigEndian(0) + bigEndian(0) + std::string(request.body.view()), target.records.size());
        target.records.insert(target.records.end(), decoded->records.begin(), decoded->records.end());
        answerWaiting(false);
    }
    if (m_behaviour == store_behaviour::Unresponsive) {
        m_unanswered.push_back(exchange);
        return;
    }
    const std::uint64_t offset = target.producers[producer].second;
    exchange.respond({ 200, {}, json { { "offset", offset }, { "end", target.records.size() } }.dump() });
}

void store_standin::read(const http_exchange& exchange, const std::string& address)
{
    const http_request& request = exchange.request();
    const std::chrono::milliseconds wait { queryNumber(request, "wait_ms") };
    const std::size_t maxKilobytes = queryValue(request.target, "max_kb") ? queryNumber(request, "max_kb") : defaultReadKilobytes;
    m_waiting.push_back({ exchange, address, partitionKey(request), queryNumber(request, "from"), maxKilobytes * 1024, std::chrono::steady_clock::now() + wait });
    answerWaiting(false);
}

void store_standin::answerWaiting(bool answersAll)
{
    if (m_behaviour != store_behaviour::Serving)
        return;
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    std::erase_if(m_waiting, [this, answersAll, now](const waiting_read& waiting) {
        if (!answersAll && waiting.from >= m_partitions[waiting.partitionKey].records.size() && now < waiting.deadline)
            return false;
        respondRecords(waiting);
        return true;
    });
}

void store_standin::respondRecords(const waiting_read& waiting)
{
    const partition& source = m_partitions[waiting.partitionKey];
    if (waiting.from < source.firstRetained) {
        waiting.exchange.respond({ 410, {}, json { { "first", source.firstRetained } }.dump() });
        return;
    }
    std::string body = bigEndian(source.records.size()) + bigEndian(source.firstRetained);
    std::size_t end = waiting.from;
    for (std::size_t bytes = 0; end < source.records.size(); ++end) {
        bytes += source.records[end].bytes();
        if (end > waiting.from && bytes > waiting.maxBytes)
            break;
    }
    std::vector<keyed_record> records;
    for (std::size_t offset = waiting.from; offset < end; ++offset)
        records.push_back(shown(source.records[offset], waiting.partitionKey, waiting.address));
    body += platform::encodeRecords(records);
    respondToRead(waiting.exchange, waiting.address, { 200, {}, std::move(body) });
}

void store_standin::newest(const http_exchange& exchange, const std::string& address)
{
    const http_request& request = exchange.request();
    const partition& source = m_partitions[partitionKey(request)];
    const std::string after = decodeKey(queryValue(request.target, "after").value_or(""));
    json items = json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (const std::pair<const std::string, keyed_record>& item : newestByKey(source.records)) {
        if (item.first <= after)
            continue;
        bytes += item.second.value->size();
        hasMore = items.size() == m_pageSize || (!items.empty() && bytes > maxPageBytes);
        if (hasMore)
            break;
        items.push_back({ { "key", item.first }, { "value", platform::encodeBase64(*shown(item.second, partitionKey(request), address).value) }, { "offset", item.second.offset } });
    }
    respondToRead(exchange, address, { 200, {}, json { { "items", items }, { "more_pages", hasMore }, { "end", source.records.size() } }.dump() });
}

void store_standin::respondToRead(const http_exchange& exchange, const std::string& address, http_response response)
{
    m_readBytes[address] += response.body.size();
    if (m_readRate == 0) {
        exchange.respond(std::move(response));
        return;
    }
    const std::chrono::duration<double> time(static_cast<double>(response.body.size()) / m_readRate);
    m_readsDoneAt = std::max(m_readsDoneAt, std::chrono::steady_clock::now()) + std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
    m_lateAnswers.push_back({ exchange, std::move(response), m_readsDoneAt });
}

void store_standin::sendLateAnswers()
{
    while (!m_lateAnswers.empty() && m_lateAnswers.front().sendAt <= std::chrono::steady_clock::now()) {
        m_lateAnswers.front().exchange.respond(std::move(m_lateAnswers.front().response));
        m_lateAnswers.pop_front();
    }
}

void store_standin::answerLatePages()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    std::erase_if(m_latePages, [this, now](const late_page& page) {
        if (now < page.answerAt)
            return false;
        newest(page.exchange, page.address);
        return true;
    });
}

void store_standin::tick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (m_behaviour != store_behaviour::Unresponsive)
            m_unanswered.clear();
        answerWaiting(false);
        answerLatePages();
        sendLateAnswers();
        tick();
    });
}

}
