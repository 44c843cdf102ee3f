/* Where a broken stream goes on:
 *   decide [servers N] [attempts N] [resumes N] [left MS] [gone] [closed] [fixed]
 *                                 `gone`: its server is known to have ended; `closed`: its zone is drained; `fixed`:
 * the route cannot be resumed */
#include "core/resume.h"
#include "script.h"

enum { LEFT_MS = 1000 };

static resume_view_t view_of(const script_command_t *command)
{
    resume_view_t view = {.resumable = true, .left_ms = LEFT_MS};
    for (int i = 1; i < command->count; i++) {
        if (script_is(command, i, "servers")) {
            view.servers = (uint32_t)script_number(command, i + 1, 0);
        } else if (script_is(command, i, "attempts")) {
            view.max_attempts = (uint32_t)script_number(command, i + 1, 0);
        } else if (script_is(command, i, "resumes")) {
            view.resumes = (uint32_t)script_number(command, i + 1, 0);
        } else if (script_is(command, i, "left")) {
            view.left_ms = script_number(command, i + 1, 0);
        } else if (script_is(command, i, "gone")) {
            view.server_gone = true;
        } else if (script_is(command, i, "closed")) {
            view.server_closed = true;
        } else if (script_is(command, i, "fixed")) {
            view.resumable = false;
        }
    }
    return view;
}

static void run(const script_command_t *command)
{
    resume_view_t view = view_of(command);
    switch (resume_decide(&view)) {
    case RESUME_NOT: script_print("not\n"); break;
    case RESUME_SAME: script_print("same\n"); break;
    case RESUME_OTHER: script_print("other\n"); break;
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
