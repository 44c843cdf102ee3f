#include "proxy/node_work.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "proxy/node.h"
#include "proxy/state_host.h"

/* Returns an object of kind: [frames, bytes], counted since `previous`; NULL: out of memory. */
static json_t *node_work_counts(const link_counts_t *counts, const link_counts_t *previous)
{
    json_t *kinds = json_object();
    for (int kind = 0; kind < LINK_FRAME_KINDS && kinds != NULL; kind++) {
        json_int_t frames = (json_int_t)(counts->kinds[kind].frames - previous->kinds[kind].frames);
        json_int_t bytes = (json_int_t)(counts->kinds[kind].bytes - previous->kinds[kind].bytes);
        if (frames > 0) {
            json_object_set_new(kinds, link_frame_kind_name(kind), json_pack("[I,I]", frames, bytes));
        }
    }
    return kinds;
}

void node_work_log(struct node *node)
{
    node_work_t *work = &node->work;
    uint64_t now_ms = node_now(node);
    if (now_ms < work->logged_ms + NODE_WORK_PERIOD_MS) {
        return;
    }
    uint64_t processor_ms = clock_cpu_ms();
    if (work->logged_ms != 0) {
        event_log("work", "{s:I,s:I,s:b,s:o,s:o}", "period_ms", (json_int_t)(now_ms - work->logged_ms), "processor_ms",
                  (json_int_t)(processor_ms - work->processor_ms), "leads",
                  node->host != NULL && state_host_is_leader(node->host), "frames_bytes_in",
                  node_work_counts(&node->links.counts_in, &work->counts_in), "frames_bytes_out",
                  node_work_counts(&node->links.counts_out, &work->counts_out));
    }
    work->logged_ms = now_ms;
    work->processor_ms = processor_ms;
    work->counts_in = node->links.counts_in;
    work->counts_out = node->links.counts_out;
}
