#include "core/turn_rank.h"

uint32_t turn_rank(bool first)
{
    return first ? TURN_RANK_FIRST : TURN_RANK_UNDER_WAY;
}
