#include "core/place_wait.h"

bool place_may_wait(uint64_t waited_ms, uint64_t left_ms)
{
    uint64_t share_ms = (left_ms + waited_ms) / PLACE_LEFT_SHARE;
    uint64_t longest_ms = share_ms < PLACE_LONGEST_MS ? share_ms : PLACE_LONGEST_MS;
    return waited_ms < longest_ms;
}
