/* Whether a silent server can be reached:
 *   heard MS                      something came from it; tells `regained` if it was lost
 *   due MS [busy]                 whether it is dialled now; `busy`: it has requests under way
 *   answer MS                     an answer began after so long
 *   dial                          a dial begins
 *   answers MS | silent MS        the dial's outcome, and what it changes
 *   open silent                   its machine answered nothing on an open connection, and what that changes
 *   gone                          whether it is gone */
#include "core/reach.h"
#include "script.h"

static reach_t reach;
static uint64_t heard_ms;

static const char *change_word(reach_change_t change)
{
    switch (change) {
    case REACH_AS_BEFORE: return "as before\n";
    case REACH_LOST: return "lost\n";
    case REACH_CUT_OFF: return "cut off\n";
    case REACH_GONE: return "gone\n";
    case REACH_REGAINED: return "regained\n";
    }
    return "";
}

static void run(const script_command_t *command)
{
    uint64_t at_ms = script_number(command, 1, 0);
    if (script_is(command, 0, "heard")) {
        heard_ms = at_ms;
        reach_change_t change = reach_note_heard(&reach);
        script_print("%s", change == REACH_AS_BEFORE ? "" : change_word(change));
    } else if (script_is(command, 0, "due")) {
        script_print(reach_is_due(&reach, at_ms, script_is(command, 2, "busy"), heard_ms) ? "yes\n" : "no\n");
    } else if (script_is(command, 0, "answer")) {
        reach_note_answer(&reach, at_ms);
    } else if (script_is(command, 0, "dial")) {
        reach_note_dial(&reach);
    } else if (script_is(command, 0, "open")) {
        script_print("%s", change_word(reach_note_silent_open(&reach)));
    } else if (script_is(command, 0, "gone")) {
        script_print(reach_is_gone(&reach) ? "yes\n" : "no\n");
    } else {
        script_print("%s", change_word(reach_note_outcome(&reach, at_ms, script_is(command, 0, "answers"))));
    }
}

int main(int argc, char **argv)
{
    return argc > 1 ? script_main(argv[1], run) : 1;
}
