#include "loadcommand.h"

#include "loaddriver.h"

#include <gflags/gflags.h>

#include <ostream>

DEFINE_string(callers, "127.0.0.1:8080", "load: callers' ports of the daemons, separated by commas");
DEFINE_string(weight_store, "", "load: address of the weight store where trainers publish versions; none are published when empty");
DEFINE_string(customers, "", "load: ENTRY:KIND:RATE:OWNER, separated by commas, KIND model or service, RATE in requests per second");
DEFINE_string(trainers, "", "load: ENTRY:NAME:OWNER:MODEL, separated by commas");
DEFINE_int32(time_ms, 10000, "load: time during which customers arrive and batches are opened, in milliseconds");
DEFINE_int32(grace_ms, 10000, "load: additional time after that for the answers of requests in flight, in milliseconds");
DEFINE_int32(customer_due_ms, 2000, "load: time from the arrival of customers' requests to their deadline, in milliseconds");
DEFINE_int32(customer_max_tokens, 32, "load: tokens of an answer to a customer");
DEFINE_int32(batches, 0, "load: batches of each trainer; as many as the time allows when 0");
DEFINE_int32(groups, 8, "load: groups of a batch");
DEFINE_int32(samples, 4, "load: samples of a group");
DEFINE_int32(max_tokens, 64, "load: tokens of a sample");
DEFINE_int32(batch_due_ms, 60000, "load: time from opening a batch to its deadline, in milliseconds");
DEFINE_int32(train_ms, 1000, "load: time of a training step, in milliseconds");
DEFINE_uint64(load_seed, 1, "load: seed of the arrivals");

namespace ragwortreach {

namespace {

    /// Flag whose value must not be below \a least.
    struct bounded_flag {
        const char* name;
        std::int32_t value;
        std::int32_t minimum;
    };

    /// Message about the first number that is out of its range; empty when all are valid.
    std::string checkNumbers()
    {
        const bounded_flag flags[] = {
            { "time_ms", FLAGS_time_ms, 1 },
            { "grace_ms", FLAGS_grace_ms, 0 },
            { "customer_due_ms", FLAGS_customer_due_ms, 1 },
            { "customer_max_tokens", FLAGS_customer_max_tokens, 1 },
            { "batches", FLAGS_batches, 0 },
            { "groups", FLAGS_groups, 1 },
            { "samples", FLAGS_samples, 1 },
            { "max_tokens", FLAGS_max_tokens, 1 },
            { "batch_due_ms", FLAGS_batch_due_ms, 1 },
            { "train_ms", FLAGS_train_ms, 0 },
        };
        for (const bounded_flag& flag : flags) {
            if (flag.value < flag.minimum)
                return std::string("The flag '--") + flag.name + "' has the value " + std::to_string(flag.value) + "; expected at least " + std::to_string(flag.minimum) + '.';
        }
        return {};
    }

    /// Message about an invalid value; empty when \a expected is empty.
    std::string flagError(const char* name, const std::string& value, const std::string& expected)
    {
        return expected.empty() ? std::string() : std::string("The flag '--") + name + "' has the value '" + value + "'; expected " + expected + '.';
    }

    /// Fills the addresses, customers and trainers of \a plan; returns a message about the first invalid flag.
    std::string readTargets(load_plan& plan)
    {
        std::vector<endpoint> stores;
        const std::string errors[] = {
            flagError("callers", FLAGS_callers, parseEndpoints(FLAGS_callers, plan.callerEndpoints)),
            flagError("weight_store", FLAGS_weight_store, parseEndpoints(FLAGS_weight_store, stores)),
            flagError("customers", FLAGS_customers, parseCustomers(FLAGS_customers, plan.customers)),
            flagError("trainers", FLAGS_trainers, parseTrainers(FLAGS_trainers, plan.trainers)),
        };
        for (const std::string& error : errors) {
            if (!error.empty())
                return error;
        }
        if (!stores.empty())
            plan.weightStore = stores.front();
        if (plan.callerEndpoints.empty() || (plan.customers.empty() && plan.trainers.empty()))
            return "There is no load to generate; set '--callers' and '--customers' or '--trainers'.";
        return {};
    }

    /// Fills \a plan from the flags; returns a message about the first invalid flag, empty when all are valid.
    std::string readPlan(load_plan& plan)
    {
        std::string numberError = checkNumbers();
        if (!numberError.empty())
            return numberError;
        plan.arrivalPeriod = std::chrono::milliseconds(FLAGS_time_ms);
        plan.grace = std::chrono::milliseconds(FLAGS_grace_ms);
        plan.seed = FLAGS_load_seed;
        std::string targetError = readTargets(plan);
        for (customer_plan& customer : plan.customers) {
            customer.timeout = std::chrono::milliseconds(FLAGS_customer_due_ms);
            customer.maxTokens = static_cast<std::uint32_t>(FLAGS_customer_max_tokens);
        }
        for (trainer_plan& trainer : plan.trainers) {
            trainer.batches = static_cast<std::uint32_t>(FLAGS_batches);
            trainer.groups = static_cast<std::uint32_t>(FLAGS_groups);
            trainer.samplesPerGroup = static_cast<std::uint32_t>(FLAGS_samples);
            trainer.maxTokens = static_cast<std::uint32_t>(FLAGS_max_tokens);
            trainer.timeout = std::chrono::milliseconds(FLAGS_batch_due_ms);
            trainer.trainingTime = std::chrono::milliseconds(FLAGS_train_ms);
        }
        return targetError;
    }

}

exit_code runLoad(const command_environment& environment)
{
    load_plan plan;
    const std::string error = readPlan(plan);
    if (!error.empty())
        return report(environment, { exit_code::Usage, error });
    plan.runId = environment.newRecordId();
    const load_report report = load_driver(plan).run();
    environment.output << (environment.format == output_format::Json ? toJson(report) + '\n' : toText(report));
    return exit_code::Ok;
}

}
