#include "streamregistry.h"

#include <core/overloaded.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

stream_registry::stream_registry(std::string vm, instant now)
    : m_vm(std::move(vm))
    , m_keepsSince(now)
{
}

/// Other daemons that keep the note. A data centre may be cut off, so all are candidates.
std::vector<std::string> stream_registry::keepersOf(std::string_view request) const
{
    std::vector<std::string> vms = m_daemons.candidates(request, {}, keepers + 1);
    std::erase(vms, m_vm);
    vms.resize(std::min(vms.size(), keepers));
    return vms;
}

void stream_registry::keep(const stream_note& note)
{
    if (!m_notes.emplace(note.request, note).second)
        return;
    m_order.push_back(note.request);
    if (m_order.size() <= maxNotes)
        return;
    m_notes.erase(m_order.front());
    m_order.pop_front();
}

const stream_note* stream_registry::noteOn(std::string_view request) const
{
    const auto found = m_notes.find(request);
    return found == m_notes.end() ? nullptr : &found->second;
}

void stream_registry::add(const stream_note& note, bool isShared)
{
    keep(note);
    if (!isShared)
        return;
    for (std::string& vm : keepersOf(note.request))
        m_effects.emplace_back(send_stream_message { std::move(vm), note });
}

stream_number stream_registry::find(const std::string& request, instant now)
{
    const stream_number number = ++m_lastNumber;
    const std::vector<std::string> vms = keepersOf(request);
    // Without others, this daemon is the only keeper.
    m_searches.emplace(number, search { now, vms.size(), vms.empty() ? now - m_keepsSince : duration::zero() });
    const stream_note* const known = noteOn(request);
    if (known || vms.empty()) {
        conclude(number, known ? known->software : std::string());
        return number;
    }
    for (const std::string& vm : vms)
        m_effects.emplace_back(send_stream_message { vm, stream_question { number, request } });
    return number;
}

void stream_registry::onMessage(std::string_view fromVm, const stream_message& message, instant now)
{
    std::visit(overloaded {
                   [this](const stream_note& note) { keep(note); },
                   [this, fromVm, now](const stream_question& question) { onQuestion(fromVm, question, now); },
                   [this](const stream_answer& answer) { onAnswer(answer); },
               },
        message);
}

void stream_registry::onQuestion(std::string_view fromVm, const stream_question& question, instant now)
{
    const stream_note* const known = noteOn(question.request);
    const stream_answer answer { question.number, known ? known->software : std::string(), now - m_keepsSince };
    m_effects.emplace_back(send_stream_message { std::string(fromVm), answer });
}

void stream_registry::onAnswer(const stream_answer& answer)
{
    const std::map<stream_number, search>::iterator found = m_searches.find(answer.number);
    if (found == m_searches.end())
        return;
    found->second.searchedBack = std::max(found->second.searchedBack, answer.keepsFor);
    if (!answer.software.empty() || --found->second.openQuestions == 0)
        conclude(answer.number, answer.software);
}

void stream_registry::conclude(stream_number number, const std::string& software)
{
    const std::map<stream_number, search>::iterator found = m_searches.find(number);
    m_effects.emplace_back(stream_found { number, software, found->second.searchedBack });
    m_searches.erase(found);
}

void stream_registry::tick(instant limit, instant now)
{
    std::vector<stream_number> overdue;
    for (const std::pair<const stream_number, search>& item : m_searches) {
        if (now - item.second.begunAt >= answerTimeout)
            overdue.push_back(item.first);
    }
    for (const stream_number number : overdue)
        conclude(number, {});
    while (!m_order.empty() && m_notes.find(m_order.front())->second.begunAt < limit) {
        m_notes.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<stream_effect> stream_registry::takeEffects()
{
    return std::exchange(m_effects, {});
}

}
