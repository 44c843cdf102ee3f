#include "core/place_wait.h"

static bool place_is_free(const place_view_t *view)
{
    return view->slots == 0 || view->calls < view->slots;
}

static uint64_t place_longest_ms(const place_view_t *view)
{
    if (view->begins) {
        return view->target_ms / PLACE_BEGIN_SHARE;
    }
    uint64_t share_ms = (view->left_ms + view->waited_ms) / PLACE_LEFT_SHARE;
    return share_ms < PLACE_LONGEST_MS ? share_ms : PLACE_LONGEST_MS;
}

place_choice_t place_decide(const place_view_t *view)
{
    bool sendable = view->found && (!view->begins || place_is_free(view));
    if (sendable) {
        return PLACE_SEND;
    }
    return view->waited_ms < place_longest_ms(view) ? PLACE_QUEUE : PLACE_REFUSE;
}
