/* Whether a request is sent, waits for a place, or is refused:
 *   place [none] [begins] [calls N] [slots N] [waited MS] [left MS] [target MS]
 *                                 `none`: no server takes it now; `begins`: it is the first of its program */
#include "core/place_wait.h"
#include "script.h"

static place_view_t view_of(const script_command_t *command)
{
    place_view_t view = {.found = true};
    for (int i = 1; i < command->count; i++) {
        if (script_is(command, i, "none")) {
            view.found = false;
        } else if (script_is(command, i, "begins")) {
            view.begins = true;
        } else if (script_is(command, i, "calls")) {
            view.calls = (uint32_t)script_number(command, i + 1, 0);
        } else if (script_is(command, i, "slots")) {
            view.slots = (uint32_t)script_number(command, i + 1, 0);
        } else if (script_is(command, i, "waited")) {
            view.waited_ms = script_number(command, i + 1, 0);
        } else if (script_is(command, i, "left")) {
            view.left_ms = script_number(command, i + 1, 0);
        } else if (script_is(command, i, "target")) {
            view.target_ms = script_number(command, i + 1, 0);
        }
    }
    return view;
}

static void run(const script_command_t *command)
{
    place_view_t view = view_of(command);
    switch (place_decide(&view)) {
    case PLACE_SEND: script_print("send\n"); break;
    case PLACE_QUEUE: script_print("queue\n"); break;
    case PLACE_REFUSE: script_print("refuse\n"); break;
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
