/* Counting of frames by kind:
 *   frame KIND GROUP   counts an encoded Frame of that kind and group
 *   bytes NUMBER...    counts raw bytes
 *   print              prints the frames of each kind, and resets the counts */
#include <string.h>

#include "base/message.h"
#include "net/link_counts.h"
#include "script.h"

#include "control.pb.h"

enum { MAX_BYTES = 16 };

static link_counts_t counts;

static void count_frame(const script_command_t *command)
{
    char name[32];
    struct buffer encoded = {0};
    Frame frame = {0};
    frame.group = (uint32_t)script_number(command, 2, 0);
    script_copy(command, 1, name, sizeof(name));
    for (int kind = 1; kind < LINK_FRAME_KINDS; kind++) {
        frame.which_payload = strcmp(link_frame_kind_name(kind), name) == 0 ? (pb_size_t)kind : frame.which_payload;
    }
    if (message_encode(&encoded, Frame_fields, &frame)) {
        link_counts_add(&counts, buffer_view(&encoded));
    }
    buffer_close(&encoded);
}

static void count_bytes(const script_command_t *command)
{
    uint8_t bytes[MAX_BYTES];
    size_t length = 0;
    for (int i = 1; i < command->count && length < MAX_BYTES; i++) {
        bytes[length++] = (uint8_t)script_number(command, i, 0);
    }
    link_counts_add(&counts, view_of(bytes, length));
}

static void print_counts(void)
{
    for (int kind = 0; kind < LINK_FRAME_KINDS; kind++) {
        if (counts.kinds[kind].frames > 0) {
            script_print("%s %llu\n", link_frame_kind_name(kind), (unsigned long long)counts.kinds[kind].frames);
        }
    }
    memset(&counts, 0, sizeof(counts));
}

static void run(const script_command_t *command)
{
    if (script_is(command, 0, "frame")) {
        count_frame(command);
    } else if (script_is(command, 0, "bytes")) {
        count_bytes(command);
    } else if (script_is(command, 0, "print")) {
        print_counts();
    } else {
        script_print("unknown command\n");
    }
}

int main(int argc, char **argv)
{
    return script_main(argc > 1 ? argv[1] : "tests/scripted/link_counts.script", run);
}
