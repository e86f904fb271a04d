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

/// Token as the simulated engine generated it, to compare delivered samples with.
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

/// Two simultaneous owners of one batch, an engine, a log and a trainer that checks each sample it receives. Simulates time,
/// lost and repeated messages, and restarts.
class simulation {
public:
    simulation()
    {
        for (std::size_t ownerIndex = 0; ownerIndex < 2; ++ownerIndex)
            startOwner(ownerIndex, true);
    }

    /// Performs one arbitrary action; the numbers of \a chosen select the action and its details.
    void apply(const step& chosen)
    {
        const std::uint8_t argument = chosen.second;
        const std::size_t ownerIndex = argument % 2;
        switch (chosen.first % 19) {
        case 0:
            return advanceTime(50ms * (1 + argument % 8));
        case 1:
            return advanceTime(500ms * (1 + argument % 6));
        case 2:
            return send(ownerIndex, capacity_offered { argument % 8U });
        case 3:
        case 4:
        case 5:
        case 6:
            return generateChunk(ownerIndex, argument / 2);
        case 7:
            return failStream(ownerIndex, argument / 2);
        case 8:
            m_engineVersion.adapter += 1;
            return;
        case 9:
            m_trainerVersion.adapter = std::max(m_trainerVersion.adapter, std::min(m_engineVersion.adapter, m_trainerVersion.adapter + 1));
            return argument % 3 == 0 ? sendAll(version_published { m_trainerVersion }) : void();
        case 10:
        case 11:
            return fetch(ownerIndex, argument / 2 % 4);
        case 12:
            return receiveAnswer(argument);
        case 13:
            return answerScore(ownerIndex, argument);
        case 14:
            return answerAppend(ownerIndex, argument / 2 % 3);
        case 15:
            return startOwner(ownerIndex, argument % 3 == 0);
        case 16:
            m_bound = { argument % 3U, argument % 2 ? std::optional<duration>(4s + 1s * (argument % 9)) : std::nullopt };
            return sendAll(bound_changed { m_bound });
        case 17:
            return resendEvent(ownerIndex, argument);
        case 18:
            return restartTrainer(argument);
        }
    }

    /// Continues without faults and returns whether the trainer received all samples.
    bool finishesWithoutFaults()
    {
        for (int round = 0; round < 600 && m_heldSlots.size() < slotCount(testSpec()); ++round) {
            m_trainerVersion = m_engineVersion = std::max(m_trainerVersion, m_engineVersion);
            for (std::size_t ownerIndex = 0; ownerIndex < 2; ++ownerIndex) {
                send(ownerIndex, capacity_offered { 8 });
                for (std::uint8_t count = 0; count < 8; ++count)
                    generateChunk(ownerIndex, count % 4);
                answerScore(ownerIndex, 0);
                answerAppend(ownerIndex, 0);
            }
            fetch(round % 2, 3);
            advanceTime(200ms);
            while (!m_answers.empty())
                receiveAnswer(0);
        }
        return m_heldSlots.size() == slotCount(testSpec());
    }

private:
    void startOwner(std::size_t ownerIndex, bool knowsOpening)
    {
        batch_settings settings;
        settings.bound = m_bound;
        settings.lookAhead = ownerIndex == 0 ? look_ahead::Busy : look_ahead::Fresh;
        if (knowsOpening)
            settings.openedAfter = m_openedAt;
        m_owners[ownerIndex] = {};
        m_owners[ownerIndex].tracker = std::make_unique<batch_tracker>(testSpec(), settings);
        for (const batch_record& record : m_log)
            send(ownerIndex, restored_record { record.id, record.data });
    }

    void send(std::size_t ownerIndex, const batch_event& event)
    {
        m_history.push_back(event);
        for (batch_effect& effect : m_owners[ownerIndex].tracker->handle(event, m_now))
            std::visit([this, ownerIndex](auto& typed) { handle(m_owners[ownerIndex], typed); }, effect);
    }

    void sendAll(const batch_event& event)
    {
        send(0, event);
        send(1, event);
    }

    void handle(simulated_owner& owner, const start_stream& effect)
    {
        RC_ASSERT(effect.resumeTokenIds.size() + effect.maxTokens == sampleTokens);
        owner.streams[{ effect.slot, effect.attempt }].position = static_cast<std::uint32_t>(effect.resumeTokenIds.size());
    }
    void handle(simulated_owner& owner, const cancel_stream& effect) { owner.streams.erase({ effect.slot, effect.attempt }); }
    void handle(simulated_owner& owner, const request_score& effect) { owner.scores.push_back(effect); }
    void handle(simulated_owner& owner, const append_records& effect) { owner.appends.push_back(effect); }
    void handle(simulated_owner& /*owner*/, const deliver_samples& effect) { m_answers.push_back({ effect, m_bound }); }
    void handle(simulated_owner& /*owner*/, const refuse_fetch& /*effect*/) { }
    void handle(simulated_owner& /*owner*/, const batch_finished& /*effect*/) { RC_ASSERT(m_everHeldSlots.size() == slotCount(testSpec())); }

    void advanceTime(duration time)
    {
        m_now += time;
        sendAll(tick {});
        if (m_isFetchOutstanding && m_now > m_deadline)
            m_isFetchOutstanding = false;
    }

    void generateChunk(std::size_t ownerIndex, std::uint8_t argument)
    {
        simulated_owner& owner = m_owners[ownerIndex];
        if (owner.streams.empty())
            return;
        auto it = std::next(owner.streams.begin(), static_cast<std::ptrdiff_t>(argument % owner.streams.size()));
        const std::pair<std::uint32_t, std::uint32_t> key = it->first;
        const std::uint32_t size = std::min<std::uint32_t>(1 + argument % 3, sampleTokens - it->second.position);
        chunk_received chunk { key.first, key.second, it->second.position, {}, "x", { m_engineVersion }, false };
        if (argument % 5 == 4 && m_engineVersion.adapter > 0)
            chunk.versions.push_back({ m_engineVersion.base, m_engineVersion.adapter - 1 });
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
            send(ownerIndex, chunk);
        if (argument % 19 == 18)
            send(ownerIndex, chunk);
    }

    void failStream(std::size_t ownerIndex, std::uint8_t argument)
    {
        simulated_owner& owner = m_owners[ownerIndex];
        if (owner.streams.empty())
            return;
        const auto it = std::next(owner.streams.begin(), static_cast<std::ptrdiff_t>(argument % owner.streams.size()));
        const stream_failed event { it->first.first, it->first.second, result_code::UpstreamBroken, argument % (sampleTokens + 1) };
        owner.streams.erase(it);
        send(ownerIndex, event);
    }

    void answerScore(std::size_t ownerIndex, std::uint8_t argument)
    {
        std::vector<request_score> scores = std::exchange(m_owners[ownerIndex].scores, {});
        for (const request_score& score : scores) {
            if (argument % 5 == 4)
                send(ownerIndex, score_failed { score.slot, score.attempt, result_code::ScorerUnavailable });
            if (argument % 5 < 3)
                send(ownerIndex, score_received { score.slot, score.attempt, static_cast<double>(score.tokenIds.front()) });
            if (argument % 5 == 2)
                send(ownerIndex, score_received { score.slot, score.attempt, -1 });
        }
    }

    void answerAppend(std::size_t ownerIndex, std::uint8_t outcome)
    {
        std::vector<append_records> appends = std::exchange(m_owners[ownerIndex].appends, {});
        for (const append_records& append : appends) {
            if (outcome != 1)
                m_log.insert(m_log.end(), append.records.begin(), append.records.end());
            if (outcome == 0)
                send(ownerIndex, append_acknowledged { append.append });
            else
                send(ownerIndex, append_failed { append.append, result_code::AppendUnknown });
        }
    }

    /// Sends an earlier event again, if it is of a type that can arrive late or twice.
    void resendEvent(std::size_t ownerIndex, std::uint8_t argument)
    {
        if (m_history.empty())
            return;
        const batch_event event = m_history[m_history.size() - 1 - argument % std::min<std::size_t>(m_history.size(), 64)];
        const bool repeats = std::holds_alternative<score_failed>(event) || std::holds_alternative<fetch_received>(event)
            || std::holds_alternative<append_failed>(event) || std::holds_alternative<stream_failed>(event)
            || std::holds_alternative<restored_record>(event);
        if (repeats)
            send(ownerIndex, event);
    }

    void fetch(std::size_t ownerIndex, std::uint8_t wait)
    {
        if (!m_isFetchOutstanding) {
            if (m_isFetchAnswered)
                ++m_fetchNumber;
            m_isFetchAnswered = false;
            m_isFetchOutstanding = true;
            m_openConnections.clear();
            m_versionInFetch = m_trainerVersion;
            m_deadline = m_now + 500ms * wait;
        }
        fetch_received event { ++m_connection, m_fetchNumber, m_versionInFetch, {}, 2, m_deadline };
        for (const std::uint32_t slot : m_heldSlots)
            event.held.push_back({ slot, slot });
        m_openConnections.insert(m_connection);
        send(ownerIndex, event);
    }

    /// The trainer restarts its step and has lost the samples that it held.
    void restartTrainer(std::uint8_t argument)
    {
        if (argument % 4 != 0)
            return;
        m_heldSlots.clear();
        m_isFetchOutstanding = false;
        m_isFetchAnswered = true;
    }

    /// An answer reaches the trainer or is lost.
    void receiveAnswer(std::uint8_t argument)
    {
        if (m_answers.empty())
            return;
        const auto it = std::next(m_answers.begin(), static_cast<std::ptrdiff_t>(argument % m_answers.size()));
        const in_flight_answer taken = *it;
        m_answers.erase(it);
        if (argument % 4 == 3 || !m_isFetchOutstanding || m_now > m_deadline || !m_openConnections.contains(taken.answer.request))
            return;
        m_isFetchOutstanding = false;
        m_isFetchAnswered = true;
        for (const batch_sample& sample : taken.answer.samples)
            check(sample, taken.bound);
    }

    void check(const batch_sample& sample, const staleness_bound& bound)
    {
        RC_ASSERT(m_heldSlots.insert(sample.slot).second);
        m_everHeldSlots.insert(sample.slot);
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
    const instant m_openedAt = m_now;
    staleness_bound m_bound { 2, 4s };
    weight_version m_engineVersion { 1, 1 };
    weight_version m_trainerVersion { 1, 1 };
    weight_version m_versionInFetch;
    std::array<simulated_owner, 2> m_owners;
    std::vector<generated_token> m_generated;
    std::vector<batch_record> m_log;
    std::vector<batch_event> m_history;
    std::vector<in_flight_answer> m_answers;
    std::set<std::uint32_t> m_heldSlots;
    std::set<std::uint32_t> m_everHeldSlots;
    /// Connections that the trainer has not abandoned.
    std::set<std::uint64_t> m_openConnections;
    std::uint64_t m_connection = 0;
    std::uint64_t m_fetchNumber = 1;
    bool m_isFetchOutstanding = false;
    bool m_isFetchAnswered = false;
    instant m_deadline;
};

}

TEST_CASE("A trainer gets each sample once, within the staleness bound and with a correct label, under all faults")
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

/// One tracker with a clock, to which a test sends single events.
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

    /// The effects of type Effect.
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

TEST_CASE("A lower capacity suspends streams and keeps their tokens")
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

TEST_CASE("Records of a failed append are appended again under the same ids")
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

TEST_CASE("A fetch waits for a sample or for its deadline, and its answer tells when the batch is complete")
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

TEST_CASE("A slow slot gets a second stream, and the stream that finishes first wins")
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

TEST_CASE("A scorer that fails or does not answer in time is asked again")
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

TEST_CASE("The number of waiting fetches is limited")
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

TEST_CASE("The age of a restored sample counts from a time before the opening of its batch")
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
    // The previous owner started the sample 2.5 s after its first event of the batch.
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
