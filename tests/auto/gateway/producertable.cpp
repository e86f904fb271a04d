#include "producertable.h"

namespace ragwortreach {

std::optional<append_outcome> producer_table::admit(const append_identity& identity)
{
    const auto known = m_last.find(identity.producer);
    if (known != m_last.end()) {
        const append_identity& last = known->second;
        if (identity.epoch < last.epoch)
            return append_outcome { append_status::Fenced };
        if (identity.epoch == last.epoch && identity.sequence == last.sequence)
            return append_outcome { append_status::Done };
        if (identity.epoch == last.epoch && identity.sequence != last.sequence + 1)
            return append_outcome { append_status::WrongSequence, std::nullopt, last.sequence + 1 };
    }
    m_last[identity.producer] = identity;
    return std::nullopt;
}

}
