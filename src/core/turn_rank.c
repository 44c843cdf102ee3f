#include "core/turn_rank.h"

uint32_t turn_rank(bool busy, bool first)
{
    if (!busy) {
        return TURN_RANK_DEFAULT;
    }
    return first ? TURN_RANK_FIRST : TURN_RANK_CONTINUED;
}
