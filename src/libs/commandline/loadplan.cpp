#include "loadplan.h"

#include <cstdlib>

namespace ragwortreach {

namespace {

    constexpr std::size_t planFields = 4;

    std::vector<std::string> split(std::string_view text, char separator)
    {
        std::vector<std::string> parts;
        while (!text.empty()) {
            const std::size_t end = text.find(separator);
            parts.emplace_back(text.substr(0, end));
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        }
        return parts;
    }

}

std::string parseCustomers(std::string_view text, std::vector<customer_plan>& customers)
{
    for (const std::string& part : split(text, ',')) {
        const std::vector<std::string> fields = split(part, ':');
        if (fields.size() != planFields || (fields[1] != "model" && fields[1] != "service"))
            return "ENTRY:KIND:RATE:OWNER with KIND model or service, such as bobbin-shop:service:50:pitsinurk";
        customer_plan customer;
        customer.entry = fields[0];
        customer.kind = fields[1] == "model" ? entry_kind::Model : entry_kind::Service;
        customer.requestsPerSecond = std::strtod(fields[2].c_str(), nullptr);
        customer.owner = fields[3];
        if (!(customer.requestsPerSecond > 0))
            return "a RATE above 0 requests per second";
        customers.push_back(customer);
    }
    return {};
}

std::string parseTrainers(std::string_view text, std::vector<trainer_plan>& trainers)
{
    for (const std::string& part : split(text, ',')) {
        const std::vector<std::string> fields = split(part, ':');
        if (fields.size() != planFields)
            return "ENTRY:NAME:OWNER:MODEL, such as pattern-rollouts:t1:pitsinurk:pattern-llm";
        trainer_plan trainer;
        trainer.entry = fields[0];
        trainer.name = fields[1];
        trainer.owner = fields[2];
        trainer.model = fields[3];
        trainers.push_back(trainer);
    }
    return {};
}

std::string parseEndpoints(std::string_view text, std::vector<endpoint>& endpoints)
{
    for (const std::string& part : split(text, ',')) {
        const std::optional<endpoint> address = parseEndpoint(part);
        if (!address)
            return "IP numbers with ports, such as 127.0.0.1:8080,127.0.0.1:8180";
        endpoints.push_back(*address);
    }
    return {};
}

}
