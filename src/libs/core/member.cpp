#include "member.h"

namespace ragwortreach {

std::string_view toString(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Suspect:
        return "suspect";
    case member_state::Leaving:
        return "leaving";
    case member_state::Failed:
        return "failed";
    }
    return "failed";
}

}
