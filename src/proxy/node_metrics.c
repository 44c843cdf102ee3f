#include "proxy/node_metrics.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "base/process_memory.h"
#include "proxy/client_limits.h"
#include "proxy/frontend.h"
#include "proxy/state_host.h"

static void metrics_write(struct buffer *out, const char *type, const char *name, const char *help, uint64_t value)
{
    buffer_printf(out, "# HELP bankbank_%s %s\n# TYPE bankbank_%s %s\nbankbank_%s %llu\n", name, help, name, type, name,
                  (unsigned long long)value);
}

void metrics_write_counter(struct buffer *out, const char *name, const char *help, uint64_t value)
{
    metrics_write(out, "counter", name, help, value);
}

void metrics_write_gauge(struct buffer *out, const char *name, const char *help, uint64_t value)
{
    metrics_write(out, "gauge", name, help, value);
}

static void metrics_write_kinds(struct buffer *out, const char *direction, const link_counts_t *counts)
{
    for (int kind = 0; kind < LINK_FRAME_KINDS; kind++) {
        const link_count_t *count = &counts->kinds[kind];
        if (count->frames > 0) {
            buffer_printf(out, "bankbank_link_kind_frames_total{direction=\"%s\",kind=\"%s\"} %llu\n", direction,
                          link_frame_kind_name(kind), (unsigned long long)count->frames);
            buffer_printf(out, "bankbank_link_kind_bytes_total{direction=\"%s\",kind=\"%s\"} %llu\n", direction,
                          link_frame_kind_name(kind), (unsigned long long)count->bytes);
        }
    }
}

static void metrics_write_links(const struct links *links, struct buffer *out)
{
    buffer_printf(out, "# HELP bankbank_link_kind_frames_total Frames between daemons by kind.\n"
                       "# TYPE bankbank_link_kind_frames_total counter\n"
                       "# HELP bankbank_link_kind_bytes_total Their bytes.\n"
                       "# TYPE bankbank_link_kind_bytes_total counter\n");
    metrics_write_kinds(out, "in", &links->counts_in);
    metrics_write_kinds(out, "out", &links->counts_out);
}

void node_write_metrics(const struct node *node, struct buffer *out)
{
    const struct upstream_counters *upstreams = &node->upstreams.counters;
    bool relayed = node->watch.relay != RAFT_NO_NODE && node->watch.target == node->watch.relay;
    metrics_write_gauge(out, "watches_relay", "Whether it watches a replica outside the group.", relayed ? 1 : 0);
    metrics_write_gauge(out, "state_fresh", "Whether a state replica in touch with a quorum answered lately.",
                        node_is_fresh(node) ? 1 : 0);
    metrics_write_gauge(out, "configuration_version", "Version of the configuration in force.",
                        node->state.document_version);
    metrics_write_counter(out, "watch_patches_failed_total",
                          "Patches of the configuration that did not fit; the whole was asked for.",
                          node->watch.patches_failed);
    metrics_write_counter(out, "link_frames_in_total", "Frames received from daemons.", node->links.frames_in);
    metrics_write_counter(out, "link_frames_out_total", "Frames sent to daemons.", node->links.frames_out);
    metrics_write_counter(out, "link_bytes_in_total", "Bytes received from daemons.", node->links.bytes_in);
    metrics_write_counter(out, "link_bytes_out_total", "Bytes sent to daemons.", node->links.bytes_out);
    metrics_write_links(&node->links, out);
    metrics_write_counter(out, "processor_ms_total", "Processor time of the process.", clock_cpu_ms());
    metrics_write_counter(out, "machine_list_calls_total", "Calls to the platform's machine list.",
                          node->machine_reader.calls);
    metrics_write_counter(out, "machine_list_failures_total", "Readings of the machine list that failed.",
                          node->machine_reader.failures);
    metrics_write_counter(out, "machine_list_left_out_total", "Entries of the machine list that named no server.",
                          node->machine_reader.skipped_total);
    metrics_write_gauge(out, "machine_list_left_out", "The same of the last reading.",
                        server_entries_skipped_total(&node->machine_reader.logged_skipped));
    metrics_write_counter(out, "upstream_connections_total", "New connections to servers.",
                          upstreams->connect_attempts);
    metrics_write_counter(out, "upstream_reuses_total", "Requests on kept connections.", upstreams->reuses);
    metrics_write_counter(out, "upstream_stray_bytes_total", "Connections closed for bytes of no request.",
                          upstreams->stray_data_closes);
    metrics_write_counter(out, "upstream_refused_total", "Connections that did not come up.",
                          upstreams->connect_failures);
    metrics_write_counter(out, "upstream_broken_total", "Requests sent that got no whole answer.", upstreams->broken);
    metrics_write_gauge(out, "memory_resident_bytes", "Resident memory of the process.", process_resident_bytes());
    metrics_write_counter(out, "log_lines_left_out_total", "Log lines left out.", event_log_dropped());
    client_limits_write_metrics(node, out);
    if (node->frontend != NULL) {
        frontend_write_metrics(node->frontend, out);
    }
    if (node->host != NULL) {
        state_host_write_metrics(node->host, out);
    }
}
