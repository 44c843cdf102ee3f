/*
 * bankbankd, the daemon: serves until SIGTERM or SIGINT, then drains and stops.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <argtable2.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/cache_releaser.h"
#include "daemon/control.h"
#include "daemon/gateway.h"
#include "daemon/http_servers.h"
#include "daemon/machine_list.h"
#include "daemon/settings.h"
#include "daemon/worker.h"
#include "net/http_client.h"

enum { MAIN_EXIT_USAGE = 2, MAIN_DRAIN_POLL_US = 10000, MAIN_MIN_DRAIN_MS = 300 };

static const char MAIN_LOG[] = "daemon";

/* Flags; a setting given here overrides the key of the same name in the settings file. */
struct main_flags {
    struct arg_file *config;
    struct arg_lit *check;
    struct arg_int *node;
    struct arg_str *zone;
    struct arg_str *data;
    struct arg_str *caller_address;
    struct arg_str *operator_address;
    struct arg_str *peer_address;
    struct arg_str *machine_list_url;
    struct arg_str *log_level;
    struct arg_lit *help;
    struct arg_end *end;
};

static void main_override(char **value, const struct arg_str *flag)
{
    if (flag->count > 0) {
        free(*value);
        *value = text_copy(flag->sval[0]);
    }
}

static void main_apply_flags(struct settings *settings, const struct main_flags *flags)
{
    if (flags->node->count > 0) {
        settings->node = (uint64_t)flags->node->ival[0];
    }
    main_override(&settings->zone, flags->zone);
    main_override(&settings->data, flags->data);
    main_override(&settings->caller_address, flags->caller_address);
    main_override(&settings->operator_address, flags->operator_address);
    main_override(&settings->peer_address, flags->peer_address);
    main_override(&settings->machine_list_url, flags->machine_list_url);
    main_override(&settings->log_level, flags->log_level);
}

/* False: the errors were printed. */
static bool main_load_settings(struct settings *settings, const struct main_flags *flags)
{
    struct findings findings = {0};
    const char *path = flags->config->count > 0 ? flags->config->filename[0] : NULL;
    settings_load(settings, path, &findings);
    main_apply_flags(settings, flags);
    settings_check(settings, path, &findings);
    struct buffer report = {0};
    findings_report(&findings, &report);
    bool valid = findings.count == 0;
    if (!valid) {
        fprintf(stderr, "%s", buffer_text(&report));
    }
    buffer_close(&report);
    findings_close(&findings);
    return valid;
}

static uint64_t main_boot_id(void)
{
    uint64_t id = 0;
    ssize_t got = getrandom(&id, sizeof(id), 0);
    return got == (ssize_t)sizeof(id) ? id : clock_monotonic_us();
}

static void main_wait_for_stop(const sigset_t *signals)
{
    int signal_number = 0;
    sigwait(signals, &signal_number);
    log_info(MAIN_LOG, "received signal %d, draining", signal_number);
}

/* Refuses new requests and waits for those in flight, at most the drain timeout. Within that, waits at least
 * MAIN_MIN_DRAIN_MS, so that pollers of /readyz see that the daemon is not ready before it stops. */
static void main_drain(struct gateway *gateway)
{
    __atomic_store_n(&gateway->draining, true, __ATOMIC_RELEASE);
    control_set_draining(gateway->control);
    uint64_t deadline_ms = clock_monotonic_ms() + gateway->settings->drain_timeout_ms;
    uint64_t min_end_ms = clock_monotonic_ms() + MAIN_MIN_DRAIN_MS;
    uint64_t now_ms = clock_monotonic_ms();
    while (now_ms < deadline_ms &&
           (now_ms < min_end_ms || __atomic_load_n(&gateway->in_flight, __ATOMIC_ACQUIRE) > 0)) {
        clock_sleep_us(MAIN_DRAIN_POLL_US);
        now_ms = clock_monotonic_ms();
    }
    long remaining = __atomic_load_n(&gateway->in_flight, __ATOMIC_ACQUIRE);
    if (remaining > 0) {
        log_warn(MAIN_LOG, "drain timeout: aborting %ld requests in flight", remaining);
    }
}

static int main_serve(const struct settings *settings)
{
    int status = EXIT_FAILURE;
    struct gateway gateway;
    struct http_servers servers;
    struct worker cache_releaser = {0};
    struct worker machine_list = {0};
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    struct control *control = control_start(settings, main_boot_id());
    if (control == NULL) {
        return EXIT_FAILURE;
    }
    gateway_init(&gateway, settings, control);
    if (!http_servers_start(&servers, &gateway)) {
        goto out_control;
    }
    if (!worker_start(&cache_releaser, CACHE_RELEASER_PERIOD_MS, cache_releaser_run, &gateway)) {
        goto out_server;
    }
    if (settings->machine_list_url[0] != '\0') {
        worker_start(&machine_list, MACHINE_LIST_PERIOD_MS, machine_list_run, &gateway);
    }
    log_info(MAIN_LOG, "node %llu: caller address %s, operator address %s", (unsigned long long)settings->node,
             settings->gateway_role ? settings->caller_address : "none", settings->operator_address);
    main_wait_for_stop(&signals);
    main_drain(&gateway);
    log_info(MAIN_LOG, "stopping");
    status = EXIT_SUCCESS;
    worker_stop(&machine_list);
    worker_stop(&cache_releaser);
out_server:
    http_servers_stop(&servers);
out_control:
    control_stop(control);
    gateway_close(&gateway);
    return status;
}

static int main_run(const struct main_flags *flags)
{
    struct settings settings;
    int status = MAIN_EXIT_USAGE;
    enum log_level level;
    if (!main_load_settings(&settings, flags)) {
        goto out;
    }
    if (flags->check->count > 0) {
        printf("the settings are valid\n");
        status = EXIT_SUCCESS;
        goto out;
    }
    log_level_parse(settings.log_level, &level);
    status = EXIT_FAILURE;
    if (!log_init(level) || !http_client_init()) {
        goto out;
    }
    status = main_serve(&settings);
    http_client_close();
    log_close();
out:
    settings_close(&settings);
    return status;
}

int main(int argc, char **argv)
{
    struct main_flags flags = {
        .config = arg_file0("c", "config", "FILE", "settings file (YAML)"),
        .check = arg_lit0(NULL, "check", "check the settings, report all errors and exit"),
        .node = arg_int0(NULL, "node", "ID", "node id, unique in the fleet"),
        .zone = arg_str0(NULL, "zone", "NAME", "zone of the machine"),
        .data = arg_str0(NULL, "data", "FOLDER", "data folder"),
        .caller_address = arg_str0(NULL, "caller-address", "IP:PORT", "listen address for callers"),
        .operator_address = arg_str0(NULL, "operator-address", "IP:PORT", "listen address for operators"),
        .peer_address = arg_str0(NULL, "peer-address", "IP:PORT", "listen address for other daemons"),
        .machine_list_url = arg_str0(NULL, "machine-list-url", "URL", "URL of the platform's machine list"),
        .log_level = arg_str0(NULL, "log-level", "LEVEL", "error, warn, info or debug"),
        .help = arg_lit0("h", "help", "show this text"),
        .end = arg_end(8),
    };
    void *table[] = {flags.config,
                     flags.check,
                     flags.node,
                     flags.zone,
                     flags.data,
                     flags.caller_address,
                     flags.operator_address,
                     flags.peer_address,
                     flags.machine_list_url,
                     flags.log_level,
                     flags.help,
                     flags.end};
    int status = EXIT_SUCCESS;
    int errors = arg_parse(argc, argv, table);
    if (flags.help->count > 0) {
        printf("Usage: bankbankd");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
    } else if (errors > 0) {
        arg_print_errors(stderr, flags.end, "bankbankd");
        status = MAIN_EXIT_USAGE;
    } else {
        status = main_run(&flags);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
