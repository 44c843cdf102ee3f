/* Where an interrupted stream is resumed:
 *   decide [servers N] [attempts N] [resumes N] [left MS] [gone] [drained] [stalled] [not-resumable]
 *                                 prints the target and the backoff, if any; `gone`: sets `server_gone`; `drained`:
 *                                 the server's zone is drained; `stalled`: no event since the last resume;
 *                                 `not-resumable`: the route does not allow resuming */
#include "core/resume.h"
#include "script.h"

enum { LEFT_MS = 1000 };

static resume_stream_t stream_of(const script_command_t *command)
{
    resume_stream_t stream = {.resumable = true, .left_ms = LEFT_MS};
    for (int i = 1; i < command->count; i++) {
        if (script_is(command, i, "servers")) {
            stream.servers_used = (uint32_t)script_number(command, i + 1, 0);
        } else if (script_is(command, i, "attempts")) {
            stream.max_attempts = (uint32_t)script_number(command, i + 1, 0);
        } else if (script_is(command, i, "resumes")) {
            stream.resumes = (uint32_t)script_number(command, i + 1, 0);
        } else if (script_is(command, i, "left")) {
            stream.left_ms = script_number(command, i + 1, 0);
        } else if (script_is(command, i, "gone")) {
            stream.server_gone = true;
        } else if (script_is(command, i, "drained")) {
            stream.server_zone_drained = true;
        } else if (script_is(command, i, "stalled")) {
            stream.stalled = true;
        } else if (script_is(command, i, "not-resumable")) {
            stream.resumable = false;
        }
    }
    return stream;
}

static void run(const script_command_t *command)
{
    resume_stream_t stream = stream_of(command);
    switch (resume_decide(&stream)) {
    case RESUME_NONE: script_print("none\n"); break;
    case RESUME_SAME:
        script_print("same");
        script_print(resume_backoff_ms(&stream) > 0 ? " after %u ms\n" : "\n", resume_backoff_ms(&stream));
        break;
    case RESUME_OTHER: script_print("other\n"); break;
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
