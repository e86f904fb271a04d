#include <core/batchrecord.h>
#include <core/batchtracker.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <utility>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t sampleTokens = 6;

batch_spec testSpec()
{
    return { "b1", "pattern-rollouts", "owner", "t1", "", 60s, sampleTokens, { { "ask", 3 }, { "tell", 2 } } };
}

/// What the engine really did for one token.
struct generated_token {
    std::uint32_t slot = 0;
    std::uint32_t position = 0;
    bool last = false;
    std::vector<weight_version> versions;
    instant generatedAt;
};

struct engine_stream {
    std::uint32_t position = 0;
};

struct simulated_owner {
    std::unique_ptr<batch_tracker> tracker;
    std::map<std::pair<std::uint32_t, std::uint32_t>, engine_stream> streams;
    std::vector<request_score> scores;
    std::vector<append_records> appends;
};

struct in_flight_answer {
    deliver_samples answer;
    staleness_bound bound;
};

using step = std::pair<std::uint8_t, std::uint8_t>;

/// Two owners of one batch, an engine, a log and a trainer that checks all that it takes.
class simulation {
public:
    simulation()
    {
        for (std::size_t which = 0; which < 2; ++which)
            startOwner(which, true);
    }

    void apply(const step& chosen)
    {
        const std::uint8_t argument = chosen.second;
        const std::size_t which = argument % 2;
        switch (chosen.first % 19) {
        case 0:
            return advanceTime(50ms * (1 + argument % 8));
        case 1:
            return advanceTime(500ms * (1 + argument % 6));
        case 2:
            return send(which, capacity_offered { argument % 8U });
        case 3:
        case 4:
        case 5:
        case 6:
            return generateChunk(which, argument / 2);
        case 7:
            return failStream(which, argument / 2);
        case 8:
            m_engine.adapter += 1;
            return;
        case 9:
            m_trainer.adapter = std::max(m_trainer.adapter, std::min(m_engine.adapter, m_trainer.adapter + 1));
            return argument % 3 == 0 ? sendAll(version_published { m_trainer }) : void();
        case 10:
        case 11:
            return fetch(which, argument / 2 % 4);
        case 12:
            return takeAnswer(argument);
        case 13:
            return answerScore(which, argument);
        case 14:
            return answerAppend(which, argument / 2 % 3);
        case 15:
            return startOwner(which, argument % 3 == 0);
        case 16:
            m_bound = { argument % 3U, argument % 2 ? std::optional<duration>(4s + 1s * (argument % 9)) : std::nullopt };
            return sendAll(bound_changed { m_bound });
        case 17:
            return replay(which, argument);
        case 18:
            return restartTrainer(argument);
        }
    }

    /// Without further faults the trainer gets the rest.
    bool finishesWithoutFaults()
    {
        for (int round = 0; round < 600 && m_held.size() < slotCount(testSpec()); ++round) {
            m_trainer = m_engine = std::max(m_trainer, m_engine);
            for (std::size_t which = 0; which < 2; ++which) {
                send(which, capacity_offered { 8 });
                for (std::uint8_t count = 0; count < 8; ++count)
                    generateChunk(which, count % 4);
                answerScore(which, 0);
                answerAppend(which, 0);
            }
            fetch(round % 2, 3);
            advanceTime(200ms);
            while (!m_answers.empty())
                takeAnswer(0);
        }
        return m_held.size() == slotCount(testSpec());
    }

private:
    void startOwner(std::size_t which, bool knowsOpening)
    {
        batch_settings settings;
        settings.bound = m_bound;
        settings.lookAhead = which == 0 ? look_ahead::Busy : look_ahead::Fresh;
        if (knowsOpening)
            settings.openedAfter = m_opened;
        m_owners[which] = {};
        m_owners[which].tracker = std::make_unique<batch_tracker>(testSpec(), settings);
        for (const batch_record& record : m_log)
            send(which, restored_record { record.id, record.data });
    }

    void send(std::size_t which, const batch_event& event)
    {
        m_history.push_back(event);
        for (batch_effect& effect : m_owners[which].tracker->handle(event, m_now))
            std::visit([this, which](auto& typed) { take(m_owners[which], typed); }, effect);
    }

    void sendAll(const batch_event& event)
    {
        send(0, event);
        send(1, event);
    }

    void take(simulated_owner& owner, const start_stream& effect)
    {
        RC_ASSERT(effect.resumeTokenIds.size() + effect.maxTokens == sampleTokens);
        owner.streams[{ effect.slot, effect.attempt }].position = static_cast<std::uint32_t>(effect.resumeTokenIds.size());
    }
    void take(simulated_owner& owner, const cancel_stream& effect) { owner.streams.erase({ effect.slot, effect.attempt }); }
    void take(simulated_owner& owner, const request_score& effect) { owner.scores.push_back(effect); }
    void take(simulated_owner& owner, const append_records& effect) { owner.appends.push_back(effect); }
    void take(simulated_owner& /*own*/, const deliver_samples& effect) { m_answers.push_back({ effect, m_bound }); }
    void take(simulated_owner& /*own*/, const refuse_fetch& /*effect*/) { }
    void take(simulated_owner& /*own*/, const batch_finished& /*effect*/) { RC_ASSERT(m_everHeld.size() == slotCount(testSpec())); }

    void advanceTime(duration time)
    {
        m_now += time;
        sendAll(tick {});
        if (m_isFetchOutstanding && m_now > m_deadline)
            m_isFetchOutstanding = false;
    }

    void generateChunk(std::size_t which, std::uint8_t argument)
    {
        simulated_owner& owner = m_owners[which];
        if (owner.streams.empty())
            return;
        auto it = std::next(owner.streams.begin(), static_cast<std::ptrdiff_t>(argument % owner.streams.size()));
        const std::pair<std::uint32_t, std::uint32_t> key = it->first;
        const std::uint32_t size = std::min<std::uint32_t>(1 + argument % 3, sampleTokens - it->second.position);
        chunk_received chunk { key.first, key.second, it->second.position, {}, "x", { m_engine }, false };
        if (argument % 5 == 4 && m_engine.adapter > 0)
            chunk.versions.push_back({ m_engine.base, m_engine.adapter - 1 });
        it->second.position += size;
        chunk.finished = it->second.position == sampleTokens;
        for (std::uint32_t token = 0; token < size; ++token) {
            const std::uint32_t position = chunk.position + token;
            m_generated.push_back({ key.first, position, position + 1 == sampleTokens, chunk.versions, m_now });
            chunk.tokenIds.push_back(static_cast<std::uint32_t>(m_generated.size() - 1));
        }
        if (argument % 17 == 16)
            chunk.versions.clear();
        if (chunk.finished)
            owner.streams.erase(it);
        if (argument % 13 != 12)
            send(which, chunk);
        if (argument % 19 == 18)
            send(which, chunk);
    }

    void failStream(std::size_t which, std::uint8_t argument)
    {
        simulated_owner& owner = m_owners[which];
        if (owner.streams.empty())
            return;
        const auto it = std::next(owner.streams.begin(), static_cast<std::ptrdiff_t>(argument % owner.streams.size()));
        const stream_failed event { it->first.first, it->first.second, result_code::UpstreamBroken, argument % (sampleTokens + 1) };
        owner.streams.erase(it);
        send(which, event);
    }

    void answerScore(std::size_t which, std::uint8_t argument)
    {
        std::vector<request_score> scores = std::exchange(m_owners[which].scores, {});
        for (const request_score& score : scores) {
            if (argument % 5 == 4)
                send(which, score_failed { score.slot, score.attempt, result_code::ScorerUnavailable });
            if (argument % 5 < 3)
                send(which, score_received { score.slot, score.attempt, static_cast<double>(score.tokenIds.front()) });
            if (argument % 5 == 2)
                send(which, score_received { score.slot, score.attempt, -1 });
        }
    }

    void answerAppend(std::size_t which, std::uint8_t outcome)
    {
        std::vector<append_records> appends = std::exchange(m_owners[which].appends, {});
        for (const append_records& append : appends) {
            if (outcome != 1)
                m_log.insert(m_log.end(), append.records.begin(), append.records.end());
            if (outcome == 0)
                send(which, append_acknowledged { append.append });
            else
                send(which, append_failed { append.append, result_code::AppendUnknown });
        }
    }

    /// Events that come late or twice; only those that networks can repeat.
    void replay(std::size_t which, std::uint8_t argument)
    {
        if (m_history.empty())
            return;
        const batch_event event = m_history[m_history.size() - 1 - argument % std::min<std::size_t>(m_history.size(), 64)];
        const bool repeats = std::holds_alternative<score_failed>(event) || std::holds_alternative<fetch_received>(event)
            || std::holds_alternative<append_failed>(event) || std::holds_alternative<stream_failed>(event)
            || std::holds_alternative<restored_record>(event);
        if (repeats)
            send(which, event);
    }

    void fetch(std::size_t which, std::uint8_t wait)
    {
        if (!m_isFetchOutstanding) {
            if (m_answered)
                ++m_fetch;
            m_answered = false;
            m_isFetchOutstanding = true;
            m_connections.clear();
            m_versionInFetch = m_trainer;
            m_deadline = m_now + 500ms * wait;
        }
        fetch_received event { ++m_request, m_fetch, m_versionInFetch, {}, 2, m_deadline };
        for (const std::uint32_t slot : m_held)
            event.held.push_back({ slot, slot });
        m_connections.insert(m_request);
        send(which, event);
    }

    /// The trainer starts its step again and has lost what it held.
    void restartTrainer(std::uint8_t argument)
    {
        if (argument % 4 != 0)
            return;
        m_held.clear();
        m_isFetchOutstanding = false;
        m_answered = true;
    }

    /// An answer reaches the trainer, or gets lost on the way.
    void takeAnswer(std::uint8_t argument)
    {
        if (m_answers.empty())
            return;
        const auto it = std::next(m_answers.begin(), static_cast<std::ptrdiff_t>(argument % m_answers.size()));
        const in_flight_answer taken = *it;
        m_answers.erase(it);
        if (argument % 4 == 3 || !m_isFetchOutstanding || m_now > m_deadline || !m_connections.contains(taken.answer.request))
            return;
        m_isFetchOutstanding = false;
        m_answered = true;
        for (const batch_sample& sample : taken.answer.samples)
            check(sample, taken.bound);
    }

    void check(const batch_sample& sample, const staleness_bound& bound)
    {
        RC_ASSERT(m_held.insert(sample.slot).second);
        m_everHeld.insert(sample.slot);
        RC_ASSERT(sample.tokenIds.size() == sampleTokens);
        RC_ASSERT(sample.reward == static_cast<double>(sample.tokenIds.front()));
        for (const token_span& span : sample.label.spans()) {
            for (std::uint32_t position = span.begin; position < span.end; ++position) {
                const generated_token& token = m_generated.at(sample.tokenIds.at(position));
                RC_ASSERT(std::tie(token.slot, token.position) == std::tie(sample.slot, position));
                RC_ASSERT(std::is_permutation(span.versions.begin(), span.versions.end(), token.versions.begin(), token.versions.end()));
                for (const weight_version& version : token.versions)
                    RC_ASSERT(versionsBehind(m_versionInFetch, version) <= bound.versions);
                RC_ASSERT(!bound.age || m_now - token.generatedAt <= *bound.age);
            }
        }
        RC_ASSERT(sample.label.tokens() == sampleTokens);
    }

    instant m_now { 100s };
    const instant m_opened = m_now;
    staleness_bound m_bound { 2, 4s };
    weight_version m_engine { 1, 1 };
    weight_version m_trainer { 1, 1 };
    weight_version m_versionInFetch;
    std::array<simulated_owner, 2> m_owners;
    std::vector<generated_token> m_generated;
    std::vector<batch_record> m_log;
    std::vector<batch_event> m_history;
    std::vector<in_flight_answer> m_answers;
    std::set<std::uint32_t> m_held;
    std::set<std::uint32_t> m_everHeld;
    /// Connections that the trainer has not given up.
    std::set<std::uint64_t> m_connections;
    std::uint64_t m_request = 0;
    std::uint64_t m_fetch = 1;
    bool m_isFetchOutstanding = false;
    bool m_answered = false;
    instant m_deadline;
};

}

TEST_CASE("A trainer gets each sample once, fresh and truly labelled, whatever fails")
{
    REQUIRE(rc::check([] {
        const std::vector<step> steps = *rc::gen::resize(400, rc::gen::arbitrary<std::vector<step>>());
        simulation simulated;
        for (const step& chosen : steps)
            simulated.apply(chosen);
        RC_ASSERT(simulated.finishesWithoutFaults());
    }));
}

namespace {

/// One owner whose events are sent by hand.
struct fixture {
    explicit fixture(const batch_settings& settings = {}, batch_spec spec = testSpec())
        : tracker(std::move(spec), settings)
    {
    }

    std::vector<batch_effect> send(const batch_event& event, duration wait = 0s)
    {
        now += wait;
        return tracker.handle(event, now);
    }

    template <typename Effect>
    static std::vector<Effect> effectsOf(const std::vector<batch_effect>& effects)
    {
        std::vector<Effect> found;
        for (const batch_effect& effect : effects) {
            if (std::holds_alternative<Effect>(effect))
                found.push_back(std::get<Effect>(effect));
        }
        return found;
    }

    std::vector<batch_effect> finishSample(std::uint32_t slot, std::uint32_t attempt, duration wait = 0s)
    {
        return send(chunk_received { slot, attempt, 0, { 1, 2 }, "ab", { { 1, 1 } }, true }, wait);
    }

    std::vector<batch_effect> fetch(std::vector<slot_range> held, duration wait = 0s)
    {
        ++request;
        return send(fetch_received { request, request, { 1, 1 }, std::move(held), 8, now + wait });
    }

    instant now { 10s };
    std::uint64_t request = 0;
    batch_tracker tracker;
};

batch_settings unscored()
{
    batch_settings settings;
    settings.scored = false;
    return settings;
}

}

TEST_CASE("Streams are started up to the capacity and the look-ahead of the entry")
{
    struct row {
        look_ahead lookAhead;
        std::uint32_t capacity;
        bool fetched;
        std::size_t started;
    };
    const std::array rows { row { look_ahead::Busy, 3, false, 3 }, row { look_ahead::Busy, 9, false, 5 },
        row { look_ahead::Fresh, 9, false, 1 }, row { look_ahead::Fresh, 9, true, 5 } };
    for (const row& each : rows) {
        batch_settings settings;
        settings.lookAhead = each.lookAhead;
        fixture batch(settings);
        if (each.fetched)
            batch.fetch({}, 1s);
        const std::vector<start_stream> started = fixture::effectsOf<start_stream>(batch.send(capacity_offered { each.capacity }));
        CHECK(started.size() == each.started);
        CHECK(batch.tracker.progress().streams == each.started);
        CHECK((started.size() < 4 || (started[0].groupKey == started[2].groupKey && started[0].groupKey != started[3].groupKey)));
    }
}

TEST_CASE("Less capacity suspends streams and keeps their tokens")
{
    fixture batch;
    batch.send(capacity_offered { 2 });
    batch.send(chunk_received { 1, 0, 0, { 7, 8 }, "x", { { 1, 1 } }, false });
    CHECK(fixture::effectsOf<cancel_stream>(batch.send(capacity_offered { 1 })).at(0).slot == 0);
    CHECK(fixture::effectsOf<cancel_stream>(batch.send(capacity_offered { 0 })).at(0).slot == 1);
    CHECK(batch.send(chunk_received { 1, 0, 2, { 9 }, "late", { { 1, 1 } }, true }).empty());
    const std::vector<start_stream> resumed = fixture::effectsOf<start_stream>(batch.send(capacity_offered { 2 }));
    CHECK(resumed.at(0).resumeTokenIds == std::vector<std::uint32_t> { 7, 8 });
    CHECK(resumed.at(0).maxTokens == sampleTokens - 2);
    CHECK(resumed.at(0).attempt == 1);
}

TEST_CASE("Records wait while the log is down and keep their ids")
{
    fixture batch(unscored());
    const append_records opening = fixture::effectsOf<append_records>(batch.send(capacity_offered { 5 })).at(0);
    CHECK(parseSpecRecord({ opening.records.at(0).id, opening.records.at(0).data }) == testSpec());
    batch.send(append_acknowledged { opening.append });
    const append_records sent = fixture::effectsOf<append_records>(batch.finishSample(0, 0, 1s)).at(0);
    batch.finishSample(1, 0);
    CHECK(batch.send(append_failed { sent.append, result_code::AppendUnknown }).empty());
    CHECK(batch.fetch({}).size() == 1);
    const append_records again = fixture::effectsOf<append_records>(batch.send(tick {}, 10s)).at(0);
    REQUIRE(again.records.size() == 2);
    CHECK(again.records.back().id == sent.records.at(0).id);
    CHECK(again.records.back().data == sent.records.at(0).data);
    CHECK(fixture::effectsOf<append_records>(batch.send(tick {}, 31s)).empty());
    CHECK(fixture::effectsOf<append_records>(batch.send(tick {}, 31s)).at(0).records.size() == 2);
}

TEST_CASE("A fetch waits for a sample or for its deadline, and knows when the batch is complete")
{
    fixture batch(unscored());
    batch.send(capacity_offered { 5 });
    CHECK(batch.fetch({}, 1s).empty());
    const deliver_samples early = fixture::effectsOf<deliver_samples>(batch.finishSample(2, 0)).at(0);
    CHECK(early.samples.size() == 1);
    CHECK(early.remaining == 5);
    CHECK(batch.fetch({ { 2, 2 } }, 1s).empty());
    const deliver_samples late = fixture::effectsOf<deliver_samples>(batch.send(tick {}, 1s)).at(0);
    CHECK(late.samples.empty());
    CHECK(late.remaining == 4);
    const std::vector<batch_effect> last = batch.fetch({ { 0, 4000000000 } });
    CHECK(fixture::effectsOf<batch_finished>(last).size() == 1);
    CHECK(fixture::effectsOf<cancel_stream>(last).size() == 4);
    CHECK(fixture::effectsOf<deliver_samples>(last).at(0).complete);
    CHECK(fixture::effectsOf<batch_finished>(batch.fetch({ { 0, 4 } })).empty());
    CHECK(fixture::effectsOf<deliver_samples>(batch.fetch({})).at(0).samples.size() == 1);
}

TEST_CASE("A straggler gets a second stream, and the first that finishes wins")
{
    fixture batch(unscored());
    batch.send(capacity_offered { 5 });
    for (std::uint32_t slot = 0; slot < 4; ++slot)
        batch.finishSample(slot, 0, 100ms);
    batch.fetch({});
    CHECK(fixture::effectsOf<start_stream>(batch.send(tick {})).empty());
    const start_stream hedge = fixture::effectsOf<start_stream>(batch.send(tick {}, 1s)).at(0);
    CHECK(hedge.hedge);
    CHECK(hedge.slot == 4);
    CHECK(fixture::effectsOf<cancel_stream>(batch.finishSample(4, hedge.attempt)).at(0).attempt == 0);
    CHECK(batch.finishSample(4, 0).empty());
    CHECK(batch.tracker.progress().ready == 5);
}

TEST_CASE("A scorer that never answers is asked again")
{
    fixture batch;
    batch.send(capacity_offered { 1 });
    CHECK(fixture::effectsOf<request_score>(batch.finishSample(0, 0)).size() == 1);
    CHECK(fixture::effectsOf<request_score>(batch.send(tick {}, 9s)).empty());
    CHECK(fixture::effectsOf<request_score>(batch.send(tick {}, 1s)).size() == 1);
    batch.send(score_failed { 0, 0, result_code::ScorerUnavailable });
    CHECK(fixture::effectsOf<request_score>(batch.send(tick {}, 1s)).size() == 1);
    CHECK(fixture::effectsOf<deliver_samples>(batch.fetch({})).at(0).samples.empty());
    batch.send(score_received { 0, 0, 0.5 });
    CHECK(fixture::effectsOf<deliver_samples>(batch.fetch({})).at(0).samples.at(0).reward == 0.5);
}

TEST_CASE("A cancelled batch closes its streams and refuses fetches")
{
    fixture batch;
    batch.send(capacity_offered { 2 });
    batch.fetch({}, 9s);
    const std::vector<batch_effect> effects = batch.send(batch_cancelled {});
    CHECK(fixture::effectsOf<cancel_stream>(effects).size() == 2);
    CHECK(fixture::effectsOf<refuse_fetch>(effects).at(0).error == result_code::BatchCancelled);
    CHECK(fixture::effectsOf<refuse_fetch>(batch.fetch({})).size() == 1);
    CHECK(fixture::effectsOf<start_stream>(batch.send(capacity_offered { 5 })).empty());
}

TEST_CASE("Waiting fetches are bounded")
{
    fixture batch;
    for (std::size_t count = 0; count < maxWaitingFetches; ++count)
        CHECK(fixture::effectsOf<refuse_fetch>(batch.fetch({}, 9s)).empty());
    CHECK(fixture::effectsOf<refuse_fetch>(batch.fetch({}, 9s)).at(0).error == result_code::QueueFull);
    batch.send(fetch_abandoned { 3 });
    CHECK(batch.fetch({}, 9s).empty());
}

TEST_CASE("The age of a sample counts from its first stream, also when it is resumed")
{
    batch_settings settings = unscored();
    settings.bound.age = 10s;
    batch_spec spec = testSpec();
    spec.groups = { { "ask", 1 } };
    fixture batch(settings, spec);
    batch.send(capacity_offered { 5 });
    batch.send(chunk_received { 0, 0, 0, { 1 }, "a", { { 1, 1 } }, false }, 1s);
    batch.send(stream_failed { 0, 0, result_code::UpstreamBroken, 1 }, 4s);
    batch.send(tick {}, 1s);
    batch.send(chunk_received { 0, 1, 1, { 2 }, "b", { { 1, 1 } }, true });
    CHECK(fixture::effectsOf<deliver_samples>(batch.fetch({})).at(0).samples.size() == 1);
    batch.send(tick {}, 4s);
    CHECK(fixture::effectsOf<deliver_samples>(batch.fetch({})).at(0).samples.size() == 1);
    batch.now += 1us;
    CHECK(fixture::effectsOf<deliver_samples>(batch.fetch({})).at(0).samples.empty());
    CHECK(batch.tracker.progress().staleDiscards == 1);
}

TEST_CASE("The age of a restored sample counts from a time at which its batch was not open")
{
    struct row {
        std::optional<instant> openedAfter;
        duration readAt;
        std::size_t delivered;
    };
    const std::array rows { row { instant(10s), 0s, 1 }, row { instant(10s), 12s, 1 }, row { instant(10s), 13s, 0 },
        row { std::nullopt, 0s, 0 } };
    batch_sample sample { 1, 0, 1, 3, { 1, 2 }, "ab", std::nullopt, {} };
    CHECK_FALSE(sample.label.append(0, 2, std::array { weight_version { 1, 1 } }));
    // Its owner started it 2.5 s after it knew of the opening.
    const batch_record record = sampleRecord({ sample, 2500ms });
    for (const row& each : rows) {
        batch_settings settings = unscored();
        settings.bound.age = 10s;
        settings.openedAfter = each.openedAfter;
        fixture batch(settings);
        batch.send(restored_record { record.id, record.data }, each.readAt);
        const std::vector<batch_sample> samples = fixture::effectsOf<deliver_samples>(batch.fetch({})).at(0).samples;
        REQUIRE(samples.size() == each.delivered);
        CHECK((samples.empty() || samples.front() == sample));
        const std::vector<start_stream> started = fixture::effectsOf<start_stream>(batch.send(capacity_offered { 5 }, 1s));
        CHECK(started.size() == 5 - each.delivered);
        CHECK((each.delivered == 1 || started.at(1).attempt == 4));
    }
}
