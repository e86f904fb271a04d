#include "itemrunner.h"

#include "answernotes.h"
#include "bootclock.h"

#include <support/log.h>
#include <support/logline.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace ragwortreach {

namespace {

    /// Time limit of one stream; the scheduler ends stalled streams much earlier.
    constexpr duration streamTimeout = std::chrono::minutes(15);
    constexpr duration connectTimeout = std::chrono::milliseconds(500);
    constexpr int okStatus = 200;
    constexpr int unprocessableStatus = 422;

}

/// Stream of one run of an item.
struct item_runner::stream {
    stream()
        : reader(platform::weightVersionField())
    {
    }

    std::string item;
    replica_instance replica;
    std::string model;
    instant sentAt {};
    http_call_handle handle;
    platform::replica_answer answer;
    event_stream_reader reader;
    /// The stream cannot be parsed; a posted handler will end the run.
    bool isMalformed = false;
};

class item_runner::effect_visitor {
public:
    /// Adds the texts to hand over to \a handedOver.
    effect_visitor(item_runner& runner, std::vector<item_progressed>& handedOver)
        : m_runner(runner)
        , m_handedOver(handedOver)
    {
    }

    void operator()(const start_run& effect) const { m_runner.start(effect); }
    void operator()(const cancel_run& effect) const { m_runner.cancel(effect); }
    void operator()(const start_reward& effect) const { m_runner.m_rewards.start(effect); }
    void operator()(const cancel_reward& effect) const { m_runner.m_rewards.cancel(effect); }
    void operator()(const write_record& effect) const { m_runner.write(effect); }
    void operator()(const hand_over_text& effect) const { m_handedOver.push_back(effect.text); }

private:
    item_runner& m_runner;
    std::vector<item_progressed>& m_handedOver;
};

item_runner::item_runner(boost::asio::io_context& context, http_client& client, journal& journal, progress_store& progress,
    item_scheduler& scheduler, replica_pool& pool, replica_gate& gate, log& log)
    : m_context(context)
    , m_client(client)
    , m_journal(journal)
    , m_progress(progress)
    , m_scheduler(scheduler)
    , m_pool(pool)
    , m_gate(gate)
    , m_log(log)
    , m_work(journal.ledger(), scheduler.routes(), log)
    , m_contents(journal, scheduler.contents(), [this] { scheduleRun(); })
    , m_rewards(client, journal.ledger(), pool, gate, m_work, log, [this](reward_number call, const reward_answer& answer) {
        m_scheduler.onRewardEnd(call, answer, bootNow());
        scheduleRun();
    })
{
}

item_runner::~item_runner() = default;

void item_runner::run()
{
    if (m_isStopped)
        return;
    m_scheduler.schedule(bootNow());
    executeEffects();
    m_contents.readMissing();
}

void item_runner::handOver()
{
    m_isStopped = true;
    m_scheduler.handOverAll();
    executeEffects();
}

void item_runner::scheduleRun()
{
    if (std::exchange(m_isRunScheduled, true))
        return;
    boost::asio::post(m_context, [this] {
        m_isRunScheduled = false;
        run();
    });
}

void item_runner::executeEffects()
{
    std::vector<item_progressed> handedOver;
    for (const scheduler_effect& effect : m_scheduler.takeEffects())
        std::visit(effect_visitor(*this, handedOver), effect);
    m_progress.handOver(handedOver);
}

void item_runner::logResumption(const start_run& effect, const batch_item& item) const
{
    const replica_pool::replica* const replica = m_pool.find(effect.replica);
    m_log.write(log_line(log_level::Info, "run_resumed")
                    .with("item", item.id)
                    .with("replica", effect.replica)
                    .with("after_event", effect.afterEvent)
                    .with("software", replica ? replica->entry.software : std::string())
                    .with("text_software", effect.textSoftware));
}

void item_runner::start(const start_run& effect)
{
    const ledger_batch* const batch = m_journal.ledger().find(effect.batch);
    if (!batch)
        return;
    const batch_item& item = batch->submission.items[effect.item];
    std::unique_ptr<stream> added = std::make_unique<stream>();
    added->item = item.id;
    added->replica = m_pool.instanceOf(effect.replica);
    added->model = batch->submission.model;
    added->sentAt = bootNow();
    m_work.noteBegun(work_kind::Item, *batch, item.id, effect.replica);
    if (effect.afterEvent != 0)
        logResumption(effect, item);
    stream& opened = *added;
    const run_number run = effect.run;
    m_streams.emplace(run, std::move(added));
    http_call_options options;
    options.timeout = streamTimeout;
    options.connectTimeout = connectTimeout;
    http_call_handlers handlers;
    handlers.onHead = [this, run](const http_response_head& head) { readHead(run, head); };
    handlers.onBody = [this, run](std::string_view piece) { readBody(run, piece); };
    handlers.onDone = [this, run](const http_outcome& outcome) { finishRun(run, outcome); };
    const platform::replica_request_options sent { effect.replica, std::nullopt, effect.afterEvent, batch->submission.organisation };
    opened.handle = m_client.call(parseEndpoint(effect.address).value_or(endpoint {}),
        platform::encodeItemRequest(batch->submission, item, effect.contents, sent), options, std::move(handlers));
}

void item_runner::cancel(const cancel_run& effect)
{
    const auto found = m_streams.find(effect.run);
    if (found == m_streams.end())
        return;
    const duration age = bootNow() - found->second->sentAt;
    m_log.write(log_line(log_level::Info, "run_cancelled")
                    .with("item", found->second->item)
                    .with("replica", found->second->replica.id)
                    .with("reason", effect.reason)
                    .with("is_answered", found->second->answer.status != 0)
                    .with("age_us", age.count()));
    found->second->handle.cancel();
    m_streams.erase(found);
}

void item_runner::write(const write_record& effect)
{
    const item_finished* const finished = std::get_if<item_finished>(&effect.record);
    const ledger_batch* const batch = finished ? m_journal.ledger().find(finished->batch) : nullptr;
    if (batch && effect.abandoned)
        m_log.write(log_line(log_level::Warning, "item_abandoned")
                        .with("batch", finished->batch)
                        .with("item", finished->item)
                        .with("reason", toString(*effect.abandoned))
                        .with("configuration", m_scheduler.routes().version())
                        .with("batch_age_us", (bootNow() - batch->learnedAt).count()));
    m_journal.write(effect.record, write_mode::RetryOnRefusal, {});
}

void item_runner::readHead(run_number run, const http_response_head& head)
{
    const auto found = m_streams.find(run);
    if (found == m_streams.end())
        return;
    stream& stream = *found->second;
    stream.answer = platform::decodeReplicaAnswer(head);
    noteAnswer(m_gate, stream.replica, stream.item, stream.answer);
    if (stream.answer.status != okStatus)
        return;
    m_scheduler.onHead(run, stream.answer.weightVersion);
    if (stream.answer.weightVersion)
        m_pool.noteVersion(stream.replica.id, stream.model, *stream.answer.weightVersion);
}

void item_runner::readBody(run_number run, std::string_view piece)
{
    const auto found = m_streams.find(run);
    if (found == m_streams.end())
        return;
    stream& stream = *found->second;
    const bool isOwnAnswer = stream.answer.status == okStatus && stream.answer.belongsTo(stream.item);
    if (!isOwnAnswer)
        return;
    for (const stream_event& event : stream.reader.read(piece)) {
        // Only the end of this run ends the loop; effects that wait may concern other items.
        if (!m_scheduler.isRunning(run))
            break;
        if (event.weightVersion)
            m_pool.noteVersion(stream.replica.id, stream.model, *event.weightVersion);
        m_scheduler.onEvent(run, event, bootNow());
    }
    if (!stream.reader.isValid() && !std::exchange(stream.isMalformed, true))
        boost::asio::post(m_context, [this, run] { abortMalformedStream(run); });
    if (m_scheduler.hasEffects())
        scheduleRun();
}

void item_runner::abortMalformedStream(run_number run)
{
    const auto found = m_streams.find(run);
    if (found == m_streams.end())
        return;
    found->second->handle.cancel();
    finishRun(run, { result_code::MalformedMessage, "The body is not a valid stream of events." });
}

run_end item_runner::classifyEnd(const stream& stream, const http_outcome& outcome) const
{
    if (outcome.code == result_code::UpstreamUnreachable)
        return run_end::Unreachable;
    if (outcome.code == result_code::MalformedRequest)
        return run_end::Impossible;
    if (outcome.code != result_code::Ok)
        return run_end::Interrupted;
    if (stream.answer.isNotRun)
        return run_end::NotRun;
    if (stream.answer.requestId != stream.item)
        return run_end::Interrupted;
    if (stream.answer.status == unprocessableStatus)
        return run_end::Impossible;
    if (stream.answer.status == okStatus && stream.answer.isStamped)
        return stream.reader.isBetweenEvents() && stream.reader.isValid() ? run_end::Complete : run_end::Interrupted;
    return run_end::Failed;
}

void item_runner::finishRun(run_number run, const http_outcome& outcome)
{
    const auto found = m_streams.find(run);
    if (found == m_streams.end())
        return;
    const run_end end = classifyEnd(*found->second, outcome);
    if (found->second->answer.status == 0)
        noteUnanswered(m_gate, found->second->replica, outcome.code, found->second->sentAt);
    if (end != run_end::Complete && end != run_end::NotRun)
        m_log.write(log_line(log_level::Info, "run_ended")
                        .with("item", found->second->item)
                        .with("replica", found->second->replica.id)
                        .with("status", found->second->answer.status)
                        .with("outcome", toString(end))
                        .with("reason", outcome.detail));
    m_streams.erase(found);
    m_scheduler.onEnd(run, end, bootNow());
    scheduleRun();
}

}
