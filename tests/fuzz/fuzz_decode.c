/* Fuzzes the decoders of untrusted input: frames, entries, snapshots, member lists and server-sent events. */
#include "base/message.h"
#include "control.pb.h"
#include "core/raft.h"
#include "net/sse.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool count_event(void *context, struct view payload)
{
    *(size_t *)context += payload.length;
    return true;
}

static void decode(const pb_msgdesc_t *fields, void *message, struct view bytes)
{
    if (message_decode(bytes, fields, message)) {
        message_free(fields, message);
    }
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct view bytes = view_of(data, size);
    Frame frame = {0};
    Entry entry = {0};
    StateSnapshot snapshot = {0};
    struct raft_members members;
    struct sse_parser parser = {0};
    size_t seen = 0;
    decode(Frame_fields, &frame, bytes);
    decode(Entry_fields, &entry, bytes);
    decode(StateSnapshot_fields, &snapshot, bytes);
    raft_members_decode(bytes, &members);
    sse_feed(&parser, view_of(data, size / 2), count_event, &seen);
    sse_feed(&parser, view_of(data + size / 2, size - size / 2), count_event, &seen);
    sse_close(&parser);
    return 0;
}
