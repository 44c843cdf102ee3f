#include "daemon/metrics.h"

#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

enum { METRICS_HANDLED = 200 };

static void metrics_write_counter(struct buffer *out, const char *name, const char *help, uint64_t value)
{
    buffer_printf(out, "# HELP bankbank_%s %s\n# TYPE bankbank_%s counter\nbankbank_%s %llu\n", name, help, name, name,
                  (unsigned long long)value);
}

static void metrics_write_gauge(struct buffer *out, const char *name, const char *help, double value)
{
    buffer_printf(out, "# HELP bankbank_%s %s\n# TYPE bankbank_%s gauge\nbankbank_%s %.17g\n", name, help, name, name,
                  value);
}

static void metrics_write_gateway(const struct gateway *gateway, struct buffer *out)
{
    const struct gateway_counters *counters = &gateway->counters;
    metrics_write_counter(out, "calls_started_total", "Chat calls begun.", counters->calls_started);
    metrics_write_counter(out, "calls_finished_total", "Chat calls answered whole.", counters->calls_finished);
    metrics_write_counter(out, "calls_replayed_total", "Answers given from the ledger.", counters->calls_replayed);
    metrics_write_counter(out, "calls_refused_total", "Calls refused before they ran.", counters->calls_refused);
    metrics_write_counter(out, "calls_unknown_total", "Calls with an unknown outcome.", counters->calls_unknown);
    metrics_write_counter(out, "attempts_retried_total", "Attempts repeated on another engine.",
                          counters->attempts_retried);
    metrics_write_counter(out, "answers_crossed_total", "Answers of other attempts, dropped.",
                          counters->answers_mismatched);
    metrics_write_counter(out, "prompt_tokens_total", "Prompt tokens.", counters->prompt_tokens);
    metrics_write_counter(out, "cached_tokens_total", "Prompt tokens served from engine caches.",
                          counters->cached_tokens);
    metrics_write_counter(out, "completion_tokens_total", "Tokens generated.", counters->completion_tokens);
    metrics_write_counter(out, "service_requests_total", "Plain service requests.", counters->service_requests);
    metrics_write_counter(out, "service_failures_total", "Plain service requests that failed.",
                          counters->service_failures);
    metrics_write_counter(out, "memory_releases_total", "Engine memory releases confirmed.", counters->memory_releases);
    metrics_write_gauge(out, "body_bytes", "Memory of bodies, each counted several times.",
                        (double)__atomic_load_n(&gateway->bodies.used, __ATOMIC_RELAXED));
    metrics_write_gauge(out, "body_bytes_limit", "Most of it.", (double)gateway->bodies.max_bytes);
    metrics_write_counter(out, "bodies_refused_total", "Bodies that there was no memory for.",
                          __atomic_load_n(&gateway->bodies.refused, __ATOMIC_RELAXED));
    metrics_write_gauge(out, "requests_in_flight", "Requests being served.", (double)gateway->in_flight);
}

static void metrics_write_control(const struct control_status *status, struct buffer *out)
{
    metrics_write_gauge(out, "ready", "1 while program calls are taken.", status->ready ? 1 : 0);
    metrics_write_gauge(out, "config_revision", "Configuration revision in force here.", (double)status->revision);
    metrics_write_gauge(out, "lease_epoch", "Epoch of this daemon's lease.", (double)status->epoch);
    metrics_write_gauge(out, "programs", "Programs held by the local replica.", (double)status->programs);
    metrics_write_counter(out, "control_messages_total", "Frames sent by the control client.", status->client_messages);
    metrics_write_counter(out, "control_bytes_total", "Bytes sent by the control client.", status->client_bytes);
    metrics_write_counter(out, "link_received_bytes_total", "Bytes received from peers.", status->link_bytes_in);
    metrics_write_counter(out, "link_sent_bytes_total", "Bytes sent to peers.", status->link_bytes_out);
    metrics_write_counter(out, "link_received_frames_total", "Frames received from peers.", status->link_frames_in);
    metrics_write_counter(out, "link_sent_frames_total", "Frames sent to peers.", status->link_frames_out);
    metrics_write_counter(out, "log_syncs_total", "Syncs of the log.", status->counters.syncs);
    metrics_write_counter(out, "log_entries_total", "Entries written to the log.", status->counters.written_entries);
    metrics_write_counter(out, "log_bytes_total", "Payload bytes written to the log.", status->counters.written_bytes);
    metrics_write_counter(out, "entries_applied_total", "Entries applied.", status->counters.applied);
    metrics_write_counter(out, "snapshots_total", "Snapshots taken.", status->counters.snapshots);
    metrics_write_counter(out, "state_digests_compared_total",
                          "Digests of replicas compared with those of this leader.", status->counters.digests_compared);
    metrics_write_counter(out, "state_digests_differing_total", "Those that differed.",
                          status->counters.digests_differing);
    metrics_write_counter(out, "role_changes_total", "Role, term or leader changes.", status->counters.role_changes);
    for (uint32_t group = 0; group < status->group_count; group++) {
        buffer_printf(out, "bankbank_group_is_leader{group=\"%u\"} %d\n", group, status->groups[group].is_leader);
    }
}

static double metrics_cpu_seconds(void)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

static double metrics_resident_bytes(void)
{
    unsigned long pages = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    if (file != NULL) {
        if (fscanf(file, "%*u %lu", &pages) != 1) {
            pages = 0;
        }
        fclose(file);
    }
    return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

int metrics_handle(struct mg_connection *connection, void *context)
{
    struct gateway *gateway = context;
    struct control_status status;
    struct buffer out = {0};
    control_read_status(gateway->control, &status);
    metrics_write_gateway(gateway, &out);
    metrics_write_control(&status, &out);
    metrics_write_gauge(&out, "process_cpu_seconds_total", "Processor time used.", metrics_cpu_seconds());
    metrics_write_gauge(&out, "process_resident_memory_bytes", "Resident memory.", metrics_resident_bytes());
    http_send(connection, 200, "text/plain; version=0.0.4", NULL, buffer_view(&out));
    buffer_close(&out);
    return METRICS_HANDLED;
}

int healthz_handle(struct mg_connection *connection, void *context)
{
    (void)context;
    http_send(connection, 200, "text/plain", NULL, view_of_string("ok\n"));
    return METRICS_HANDLED;
}

int readyz_handle(struct mg_connection *connection, void *context)
{
    const struct gateway *gateway = context;
    bool ready = control_is_ready(gateway->control) && !gateway_is_draining(gateway);
    http_send(connection, ready ? 200 : 503, "text/plain", NULL, view_of_string(ready ? "ready\n" : "not ready\n"));
    return METRICS_HANDLED;
}
