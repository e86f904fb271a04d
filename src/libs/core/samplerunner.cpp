#include "samplerunner.h"

#include "daemoncontext.h"

#include <algorithm>

namespace ragwortreach::Internal {

namespace {

    constexpr duration streamTimeout = std::chrono::minutes(10);
    constexpr duration scoreTimeout = std::chrono::seconds(10);

}

sample_runner::sample_runner(daemon_context& context)
    : m_context(context)
{
}

void sample_runner::start(const std::string& batch, const catalogue_entry& entry, const start_stream& effect,
    const std::optional<weight_version>& trainerVersion)
{
    const std::vector<std::string> excluded = vmsStreamingSlot(batch, effect.slot);
    route_request route;
    route.groupKey = effect.groupKey;
    route.excluded = excluded;
    route.trainerVersion = trainerVersion;
    route.maxVersionsBehind = entry.staleness.versions;
    replica_router* const router = m_context.upstreams.router(entry.upstream);
    const std::optional<std::string> vm = router ? router->pick(route) : std::nullopt;
    if (!vm) {
        const std::uint32_t kept = static_cast<std::uint32_t>(effect.resumeTokenIds.size());
        m_failures.push_back({ batch, stream_failed { effect.slot, effect.attempt, result_code::NoUpstream, kept } });
        return;
    }
    router->started(*vm);
    m_context.count(daemon_counter::StreamsStarted);
    const std::uint64_t number = m_context.nextNumber();
    engine_stream stream { batch, entry.upstream, *vm, effect.slot, effect.attempt, 0, false };
    stream.position = static_cast<std::uint32_t>(effect.resumeTokenIds.size());
    m_streams.emplace(number, std::move(stream));
    open_engine_stream open;
    open.stream = number;
    open.address = m_context.upstreams.replica(*vm)->listing.address;
    open.timeout = streamTimeout;
    open.request = { entry.upstream, effect.prompt, requestId(batch, effect.slot, effect.attempt), effect.maxTokens, effect.seed, effect.resumeTokenIds };
    m_context.emit(std::move(open));
}

void sample_runner::cancel(const std::string& batch, const cancel_stream& effect)
{
    const auto it = std::find_if(m_streams.begin(), m_streams.end(), [&](const stream_map::value_type& item) {
        return item.second.batch == batch && item.second.slot == effect.slot && item.second.attempt == effect.attempt;
    });
    if (it != m_streams.end())
        close(it);
}

void sample_runner::closeStreams(const std::string& batch)
{
    for (auto it = m_streams.begin(); it != m_streams.end();) {
        const auto next = std::next(it);
        if (it->second.batch == batch)
            close(it);
        it = next;
    }
}

void sample_runner::score(const std::string& batch, const catalogue_entry& entry, const request_score& effect)
{
    m_context.count(daemon_counter::ScoresAsked);
    replica_router* const router = m_context.upstreams.router(entry.scorer);
    const std::optional<std::string> vm = router ? router->pick({}) : std::nullopt;
    if (!vm) {
        m_context.count(daemon_counter::ScoresFailed);
        m_failures.push_back({ batch, score_failed { effect.slot, effect.attempt, result_code::ScorerUnavailable } });
        return;
    }
    router->started(*vm);
    const std::uint64_t number = m_context.nextNumber();
    m_scores.emplace(number, score_call { batch, entry.scorer, *vm, effect.slot, effect.attempt });
    const std::string sampleId = batch + '/' + std::to_string(effect.slot) + '/' + std::to_string(effect.attempt);
    m_context.emit(ask_scorer { number, m_context.upstreams.replica(*vm)->listing.address, { sampleId, effect.prompt, effect.tokenIds }, scoreTimeout });
}

std::optional<tracker_event> sample_runner::handle(const engine_chunk_received& event)
{
    const auto it = m_streams.find(event.stream);
    if (it == m_streams.end())
        return std::nullopt;
    engine_stream& stream = it->second;
    chunk_received chunk;
    chunk.slot = stream.slot;
    chunk.attempt = stream.attempt;
    chunk.position = stream.position;
    chunk.tokenIds = event.chunk.tokens;
    chunk.text = event.chunk.text;
    chunk.versions = event.chunk.versions;
    chunk.finished = event.chunk.isFinished;
    stream.position += static_cast<std::uint32_t>(event.chunk.tokens.size());
    stream.isFinished = event.chunk.isFinished;
    return tracker_event { stream.batch, std::move(chunk) };
}

std::optional<tracker_event> sample_runner::handle(const engine_stream_ended& event)
{
    const auto it = m_streams.find(event.stream);
    if (it == m_streams.end())
        return std::nullopt;
    const engine_stream stream = it->second;
    m_streams.erase(it);
    if (replica_router* const router = m_context.upstreams.router(stream.upstream))
        router->finished(stream.vm);
    if (event.code == result_code::Ok || stream.isFinished) {
        m_context.upstreams.noteSuccess(stream.vm);
        return std::nullopt;
    }
    m_context.count(daemon_counter::StreamsFailed);
    m_context.upstreams.noteFailure(stream.vm, m_context.now);
    m_context.addTimelineEvent(event_kind::SampleResumed, stream.batch,
        "The stream of slot " + std::to_string(stream.slot) + " at " + stream.vm + " was interrupted after " + std::to_string(stream.position) + " tokens: " + event.detail, event.code);
    return tracker_event { stream.batch, stream_failed { stream.slot, stream.attempt, event.code, stream.position } };
}

std::optional<tracker_event> sample_runner::handle(const score_ended& event)
{
    const auto it = m_scores.find(event.score);
    if (it == m_scores.end())
        return std::nullopt;
    const score_call call = it->second;
    m_scores.erase(it);
    if (replica_router* const router = m_context.upstreams.router(call.upstream))
        router->finished(call.vm);
    if (event.reward)
        return tracker_event { call.batch, score_received { call.slot, call.attempt, *event.reward } };
    m_context.count(daemon_counter::ScoresFailed);
    m_context.upstreams.noteFailure(call.vm, m_context.now);
    return tracker_event { call.batch, score_failed { call.slot, call.attempt, result_code::ScorerUnavailable } };
}

std::vector<tracker_event> sample_runner::takeFailures()
{
    return std::exchange(m_failures, {});
}

std::uint32_t sample_runner::openStreams(std::string_view upstream) const
{
    return static_cast<std::uint32_t>(std::count_if(m_streams.begin(), m_streams.end(),
        [upstream](const stream_map::value_type& item) { return item.second.upstream == upstream; }));
}

std::string sample_runner::requestId(const std::string& batch, std::uint32_t slot, std::uint32_t attempt) const
{
    return batch + '/' + std::to_string(slot) + '/' + std::to_string(attempt) + '@' + m_context.vm();
}

std::vector<std::string> sample_runner::vmsStreamingSlot(const std::string& batch, std::uint32_t slot) const
{
    std::vector<std::string> vms;
    for (auto it = m_streams.begin(); it != m_streams.end(); ++it) {
        if (it->second.batch == batch && it->second.slot == slot)
            vms.push_back(it->second.vm);
    }
    return vms;
}

void sample_runner::close(stream_map::iterator it)
{
    if (replica_router* const router = m_context.upstreams.router(it->second.upstream))
        router->finished(it->second.vm);
    m_context.count(daemon_counter::StreamsStopped);
    m_context.emit(close_engine_stream { it->first });
    m_streams.erase(it);
}

}
