#include "net/link_counts.h"

#include "control.pb.h"

enum { WIRE_TYPE_BITS = 3, VARINT_MORE = 0x80 };

/* An encoded Frame is an optional group field followed by the payload, whose field number is the kind. */
int link_frame_kind(struct view frame)
{
    static const uint8_t group_key = Frame_group_tag << WIRE_TYPE_BITS;
    size_t at = 0;
    if (frame.length > 0 && frame.data[0] == group_key) {
        at++;
        while (at < frame.length && (frame.data[at] & VARINT_MORE) != 0) {
            at++;
        }
        at++;
    }
    int kind = at < frame.length ? frame.data[at] >> WIRE_TYPE_BITS : 0;
    return kind < LINK_FRAME_KINDS ? kind : 0;
}

void link_counts_add(link_counts_t *counts, struct view frame)
{
    link_count_t *count = &counts->kinds[link_frame_kind(frame)];
    count->frames++;
    count->bytes += frame.length;
}

const char *link_frame_kind_name(int kind)
{
    static const char *const names[LINK_FRAME_KINDS] = {
        [0] = "unknown",
        [Frame_hello_tag] = "hello",
        [Frame_raft_tag] = "raft",
        [Frame_request_tag] = "request",
        [Frame_reply_tag] = "reply",
        [Frame_heartbeat_tag] = "heartbeat",
        [Frame_heartbeat_reply_tag] = "heartbeat_reply",
        [Frame_watch_tag] = "watch",
        [Frame_watch_update_tag] = "watch_update",
        [Frame_load_report_tag] = "load_report",
        [Frame_load_totals_tag] = "load_totals",
        [Frame_quarantine_notice_tag] = "quarantine_notice",
    };
    const char *name = kind >= 0 && kind < LINK_FRAME_KINDS ? names[kind] : NULL;
    return name == NULL ? names[0] : name;
}
