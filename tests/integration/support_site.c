/* Start and stop of the daemons, and requests to them. */
#include "ports.h"
#include "site.h"
#include "site_internal.h"

#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/statvfs.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"

enum {
    SITE_BASE_DAEMONS = SITE_REPLICAS + SITE_GATEWAYS,
    SITE_MAX_DAEMONS = SITE_BASE_DAEMONS + SITE_MAX_EXTRA_DAEMONS,
    SITE_SEED_START_DELAY_US = 700 * 1000,
    SITE_POLL_US = 10000,
    SITE_LOG_CHUNK_BYTES = 1 << 16,
    SITE_FULL_DISK_MAX_FILE_BYTES = 4096,
    SITE_MAX_DIRECTORIES = 128, /* sites that one program can start */
    SITE_DIRECTORY_BYTES = 64,
    SITE_COMMAND_BYTES = 128,
    SITE_MIN_TMPFS_BYTES = 1 << 30 /* free space required to store a site on tmpfs */
};

const char *site_build = "build";
int site_caller_port;
int site_control_port;
int site_ready_port;
int site_metrics_port;
static int site_peer_port;
static int site_list_port;
int site_closed_port;
bool site_hides_closed_port;
static char site_directory[SITE_DIRECTORY_BYTES];                         /* of the current site */
static char site_directories[SITE_MAX_DIRECTORIES][SITE_DIRECTORY_BYTES]; /* of all sites started by this program */
static int site_directory_count;
static pid_t site_directories_owner; /* process that created them */
static bool site_on_disk;
static pid_t site_processes[SITE_MAX_DAEMONS];
static int site_extra_daemons; /* additional daemons: state replicas, then gateways */
static int site_extra_replicas;
static bool site_bootstrapped;
static int site_memory_mb;
static int site_descriptors;
static int site_tolerated_zones;
static int site_server_drain_ms = SITE_SERVER_DRAIN_MS;
static int site_quarantine_s; /* 0: the default */
static int site_refer_above = -1;
static int site_seeds[SITE_REPLICAS] = {0, 1, 2};
static const char *site_builds[SITE_BASE_DAEMONS + SITE_MAX_EXTRA_DAEMONS]; /* NULL: site_build */

static int site_moves[SITE_MAX_DAEMONS]; /* how often the replica was moved to another machine */

/* ---- Daemons ------------------------------------------------------------------------------------- */

static const char *site_ip(int daemon)
{
    static char moved_ips[SITE_MAX_DAEMONS][24];
    if (site_moves[daemon] > 0) {
        snprintf(moved_ips[daemon], sizeof(moved_ips[daemon]), "127.1.%d.%d", site_moves[daemon] % 256, daemon + 1);
        return moved_ips[daemon];
    }
    static const char *const ips[SITE_BASE_DAEMONS] = {"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1", "127.0.2.2"};
    static char extra_ips[SITE_MAX_EXTRA_DAEMONS][24];
    if (daemon < SITE_BASE_DAEMONS) {
        return ips[daemon];
    }
    char *ip = extra_ips[daemon - SITE_BASE_DAEMONS];
    snprintf(ip, sizeof(extra_ips[0]), "127.0.3.%d", daemon - SITE_BASE_DAEMONS + 1);
    return ip;
}

int site_daemons(void)
{
    return SITE_BASE_DAEMONS + site_extra_daemons;
}

int site_replica_daemon(int replica)
{
    return replica < SITE_REPLICAS ? replica : SITE_GATEWAYS + replica;
}

int site_gateway_daemon(int gateway)
{
    return gateway < SITE_GATEWAYS ? SITE_REPLICAS + gateway : SITE_REPLICAS + site_extra_replicas + gateway;
}

int site_zone(int daemon)
{
    return daemon % SITE_REPLICAS + 1;
}

static bool site_is_gateway(int daemon)
{
    return (daemon >= SITE_REPLICAS && daemon < SITE_BASE_DAEMONS) || daemon >= SITE_BASE_DAEMONS + site_extra_replicas;
}

const char *site_daemon_ip(int daemon)
{
    return site_ip(daemon);
}

const char *site_caller_ip(int gateway)
{
    return site_ip(site_gateway_daemon(gateway));
}

const char *site_control_ip(int replica)
{
    return site_ip(site_replica_daemon(replica));
}

pid_t site_process(int daemon)
{
    return site_processes[daemon];
}

static void site_write_settings(int daemon, const char *path)
{
    bool gateway = site_is_gateway(daemon);
    FILE *file = fopen(path, "w");
    ck_assert_ptr_nonnull(file);
    char suffix[16] = "";
    if (site_moves[daemon] > 0) {
        snprintf(suffix, sizeof(suffix), "-%d", site_moves[daemon]);
    }
    fprintf(file, "name: \"machine-%d%s\"\nzone: \"z%d\"\nip: \"%s\"\npeer_port: %d\nbootstrap: %s\n", daemon, suffix,
            site_zone(daemon), site_ip(daemon), site_peer_port, site_bootstrapped ? "false" : "true");
    fprintf(file, "machine_list: \"127.0.0.1:%d\"\nlist_period_ms: 100\ngrace_s: 6\n", site_list_port);
    if (site_memory_mb > 0) {
        fprintf(file, "memory_mb: %d\n", site_memory_mb);
    }
    fprintf(file, "metrics_address: \"%s:%d\"\n", site_ip(daemon), site_metrics_port);
    if (gateway) {
        fprintf(file, "caller_address: \"%s:%d\"\nready_address: \"%s:%d\"\n", site_ip(daemon), site_caller_port,
                site_ip(daemon), site_ready_port);
    } else {
        fprintf(file, "data: \"%s/data-%d\"\ncontrol_address: \"%s:%d\"\n", site_directory, daemon, site_ip(daemon),
                site_control_port);
    }
    fprintf(file, "seeds:\n");
    for (int i = 0; i < SITE_REPLICAS; i++) {
        fprintf(file, "  - address: \"%s:%d\"\n", site_ip(site_seeds[i]), site_control_port);
    }
    fclose(file);
}

void site_set_refer_above(int above)
{
    site_refer_above = above;
}

void site_set_tolerated_zones(int zones)
{
    site_tolerated_zones = zones;
}

void site_set_server_drain_ms(int drain_ms)
{
    site_server_drain_ms = drain_ms;
}

void site_set_quarantine_s(int seconds)
{
    site_quarantine_s = seconds;
}

void site_limit_memory(int megabytes)
{
    site_memory_mb = megabytes;
}

void site_limit_descriptors(int descriptors)
{
    site_descriptors = descriptors;
}

/* For the child process before exec. */
static void site_apply_descriptor_limit(void)
{
    struct rlimit limit = {.rlim_cur = (rlim_t)site_descriptors, .rlim_max = (rlim_t)site_descriptors};
    if (site_descriptors > 0) {
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/* For the child process before exec. Sets no limit with sanitizers, whose own memory would exceed the limit; the daemon
 * then has the limit in its settings only. */
static void site_apply_memory_limit(void)
{
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    rlim_t bytes = (rlim_t)site_memory_mb << 20;
    struct rlimit limit = {.rlim_cur = bytes, .rlim_max = bytes};
    if (site_memory_mb > 0) {
        setrlimit(RLIMIT_DATA, &limit);
    }
#endif
}

/* Passes settings that the previous version does not know in the environment, as in a deployment: unknown keys in the
 * settings file are errors (node_settings.h). */
static void site_export_settings(void)
{
    struct buffer text = {0};
    buffer_printf(&text, "closed_port: %d\n", site_hides_closed_port ? 0 : site_closed_port);
    if (site_refer_above >= 0) {
        buffer_printf(&text, "refer_above: %d\n", site_refer_above);
    }
    buffer_append_text(&text, "zones:\n");
    for (int i = 0; i < SITE_REPLICAS; i++) {
        buffer_printf(&text, "  - name: \"z%d\"\n    region: \"%s\"\n", i + 1, i == 1 ? "r2" : "r1");
    }
    setenv("BANKBANK_FURTHER", buffer_text(&text), 1);
    buffer_clear(&text);
    buffer_printf(&text, "tolerated_zones: %d\n", site_tolerated_zones);
    setenv("BANKBANK_FURTHER_2", buffer_text(&text), 1);
    buffer_clear(&text);
    buffer_printf(&text, "server_drain_ms: %d\n", site_server_drain_ms);
    setenv("BANKBANK_FURTHER_3", buffer_text(&text), 1);
    if (site_quarantine_s > 0) {
        buffer_clear(&text);
        buffer_printf(&text, "quarantine_s: %d\n", site_quarantine_s);
        setenv("BANKBANK_FURTHER_4", buffer_text(&text), 1);
    }
    buffer_close(&text);
}

void site_set_build(int daemon, const char *build)
{
    site_builds[daemon] = build;
}

void site_change_seeds(const int *daemons)
{
    memcpy(site_seeds, daemons, sizeof(site_seeds));
    for (int daemon = 0; daemon < site_daemons(); daemon++) {
        char settings[128];
        snprintf(settings, sizeof(settings), "%s/settings-%d.yaml", site_directory, daemon);
        site_write_settings(daemon, settings);
        kill(site_processes[daemon], SIGHUP);
    }
}

void site_start_daemon(int daemon)
{
    char settings[128];
    char log[128];
    char program[256];
    char mkdir_command[128];
    snprintf(settings, sizeof(settings), "%s/settings-%d.yaml", site_directory, daemon);
    snprintf(log, sizeof(log), "%s/log-%d", site_directory, daemon);
    snprintf(mkdir_command, sizeof(mkdir_command), "mkdir -p %s/data-%d", site_directory, daemon);
    snprintf(program, sizeof(program), "%s/bankbank-site",
             site_builds[daemon] == NULL ? site_build : site_builds[daemon]);
    ck_assert_int_eq(system(mkdir_command), 0);
    site_write_settings(daemon, settings);
    site_processes[daemon] = fork();
    ck_assert_int_ge(site_processes[daemon], 0);
    if (site_processes[daemon] == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* kills the daemon if the test process dies */
        signal(SIGXFSZ, SIG_IGN);         /* makes writes beyond the file size limit fail, as on a full disk */
        site_apply_memory_limit();
        site_apply_descriptor_limit();
        site_export_settings();
        execl(program, program, "--config", settings, (char *)NULL);
        _exit(127);
    }
}

int site_kill_daemon(int daemon, int signal_number)
{
    int status = 0;
    ck_assert_int_gt(site_processes[daemon], 0);
    kill(site_processes[daemon], signal_number);
    kill(site_processes[daemon], SIGCONT); /* a failed test may have left it suspended */
    waitpid(site_processes[daemon], &status, 0);
    site_processes[daemon] = 0;
    return status;
}

void site_remove_data(int daemon)
{
    char command[128];
    snprintf(command, sizeof(command), "rm -rf %s/data-%d", site_directory, daemon);
    ck_assert_int_eq(system(command), 0);
}

void site_move_replica(int daemon)
{
    site_remove_data(daemon);
    site_moves[daemon]++;
}

void site_wait(bool (*reached)(void *context), void *context, const char *what)
{
    uint64_t end_ms = clock_monotonic_ms() + SITE_TIMEOUT_MS;
    while (!reached(context)) {
        ck_assert_msg(clock_monotonic_ms() < end_ms, "timeout, condition not met: %s", what);
        clock_sleep_us(SITE_POLL_US);
    }
}

/* ---- Calls ---------------------------------------------------------------------------------------- */

static void site_send_request(const char *ip, int port, const char *request, size_t length,
                              struct site_response *response)
{
    struct http_reader reader;
    memset(response, 0, sizeof(*response));
    int fd = site_connect(ip, port);
    if (fd < 0) {
        return;
    }
    site_send(fd, request, length);
    response->complete = site_read(fd, &reader, HTTP_RESPONSE, &response->body);
    response->status = reader.status;
    buffer_append(&response->head, reader.head.data, reader.head.length);
    http_reader_close(&reader);
    close(fd);
}

void site_call_as(int gateway, const char *id, const char *method, const char *path, const char *lines,
                  const char *body, struct site_response *response)
{
    static int last_id;
    char generated[32];
    struct buffer request = {0};
    snprintf(generated, sizeof(generated), "r%d-%d", (int)getpid(), ++last_id);
    buffer_printf(&request, "%s %s HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\nConnection: close\r\n%s",
                  method, path, id == NULL ? generated : id, lines);
    if (body != NULL) {
        buffer_printf(&request, "Content-Length: %zu\r\n", strlen(body));
    }
    buffer_printf(&request, "\r\n%s", body == NULL ? "" : body);
    site_send_request(site_caller_ip(gateway), site_caller_port, buffer_text(&request), request.length, response);
    buffer_close(&request);
}

void site_call(int gateway, const char *method, const char *path, const char *lines, const char *body,
               struct site_response *response)
{
    site_call_as(gateway, NULL, method, path, lines, body, response);
}

struct site_turn {
    int gateway;
    int number;
};

static bool site_large_turn_is_served(void *context)
{
    static char text[SITE_TURN_BYTES + 1];
    const struct site_turn *turn = context;
    char lines[160];
    struct site_response response;
    memset(text, 'a' + turn->number % 26, sizeof(text) - 1);
    snprintf(lines, sizeof(lines),
             "Bankbank-Program-Id: p-%d\r\nBankbank-Token-Budget: 100000\r\nBankbank-Token-Usage: 10,15\r\n",
             turn->number);
    site_call(turn->gateway, "POST", "/chat/x", lines, text, &response);
    int status = response.status;
    site_response_close(&response);
    return status == 200;
}

void site_large_turn(int gateway, int number)
{
    struct site_turn turn = {.gateway = gateway, .number = number};
    site_wait(site_large_turn_is_served, &turn, "a large turn is served");
}

void site_response_close(struct site_response *response)
{
    buffer_close(&response->head);
    buffer_close(&response->body);
}

int site_operator_call(int replica, const char *method, const char *path, const char *body,
                       struct buffer *response_body)
{
    struct site_response response;
    struct buffer request = {0};
    size_t length = body == NULL ? 0 : strlen(body);
    buffer_printf(&request,
                  "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                  method, path, length, body == NULL ? "" : body);
    site_send_request(site_control_ip(replica), site_control_port, buffer_text(&request), request.length, &response);
    if (response_body != NULL) {
        buffer_append(response_body, response.body.data, response.body.length);
    }
    int status = response.status;
    site_response_close(&response);
    buffer_close(&request);
    return status;
}

char *site_configuration(int version, const char *extra)
{
    return site_configuration_with(version, extra, "");
}

char *site_configuration_with(int version, const char *extra, const char *more)
{
    static const char format[] =
        "{\"version\":%d,\"unknown\":{},\"routes\":["
        "{\"name\":\"safe\",\"host\":\"app.example\",\"path-prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout-ms\":3000,"
        "\"target-latency-ms\":150,\"service\":\"plain\",\"max-attempts\":2%s},"
        "{\"name\":\"once\",\"host\":\"app.example\",\"path-prefix\":\"/once/\",\"kind\":\"unsafe\","
        "\"timeout-ms\":3000,\"service\":\"plain\",\"max-attempts\":1},"
        "{\"name\":\"chat\",\"host\":\"app.example\",\"path-prefix\":\"/chat/\",\"kind\":\"streaming\","
        "\"timeout-ms\":3000,\"service\":\"engine\",\"max-attempts\":1,\"stateful\":true,\"retention-s\":60.0,"
        "\"sticky\":true},"
        "{\"name\":\"open\",\"host\":\"app.example\",\"path-prefix\":\"/open/\",\"kind\":\"streaming\","
        "\"timeout-ms\":3000,\"service\":\"engine\",\"max-attempts\":1,\"retention-s\":60.0,"
        "\"sticky\":true,\"resumable\":true}],"
        "\"services\":[{\"name\":\"engine\",\"engine\":{\"chunk-size\":5,\"slots\":4}},{\"name\":\"plain\"}],"
        "\"limits\":{\"max-header-bytes\":8192,\"max-body-bytes\":65536,\"header-timeout-ms\":1000,"
        "\"idle-timeout-ms\":5000}%s}";
    struct buffer text = {0};
    buffer_printf(&text, format, version, extra, more); // NOLINT
    return buffer_text(&text);
}

char *site_large_configuration(int version)
{
    enum { FIELDS = 3000 };
    struct buffer more = {0};
    for (int i = 0; i < FIELDS; i++) {
        buffer_printf(&more, ",\"ignored-%d\":\"%08x\"", i, (unsigned)i * 2654435761U);
    }
    char *text = site_configuration_with(version, "", buffer_text(&more));
    buffer_close(&more);
    return text;
}

void site_set_disk_full(int daemon, bool full)
{
    struct rlimit limit = {.rlim_cur = full ? SITE_FULL_DISK_MAX_FILE_BYTES : RLIM_INFINITY, .rlim_max = RLIM_INFINITY};
    if (site_processes[daemon] != 0) {
        prlimit(site_processes[daemon], RLIMIT_FSIZE, &limit, NULL);
    }
}

double site_metric(int daemon, const char *name)
{
    static const char request[] = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    struct site_response response;
    double value = -1;
    char key[96];
    site_send_request(site_ip(daemon), site_metrics_port, request, sizeof(request) - 1, &response);
    snprintf(key, sizeof(key), "\nbankbank_%s ", name);
    const char *at = strstr(buffer_text(&response.body), key);
    if (at != NULL) {
        value = strtod(at + strlen(key), NULL);
    }
    site_response_close(&response);
    return value;
}

bool site_log_has(int daemon, const char *text)
{
    char path[128];
    struct buffer log = {0};
    snprintf(path, sizeof(path), "%s/log-%d", site_directory, daemon);
    FILE *file = fopen(path, "r");
    size_t got = 0;
    do {
        got = file == NULL ? 0 : fread(buffer_reserve(&log, SITE_LOG_CHUNK_BYTES), 1, SITE_LOG_CHUNK_BYTES, file);
        log.length += got;
    } while (got > 0);
    if (file != NULL) {
        fclose(file);
    }
    bool has = strstr(buffer_text(&log), text) != NULL;
    buffer_close(&log);
    return has;
}

/* ---- Site ------------------------------------------------------------------------------------------ */

static bool site_configuration_is_accepted(void *context)
{
    return site_operator_call(0, "POST", "/api/config/replace", context, NULL) == 200;
}

static bool site_gateway_is_ready(void *context)
{
    static const char request[] = "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    struct site_response response;
    int gateway = *(int *)context;
    site_send_request(site_caller_ip(gateway), site_ready_port, request, sizeof(request) - 1, &response);
    bool ready = response.status == 200;
    site_response_close(&response);
    return ready;
}

/* Exit handler: removes the data directories, or prints them if the program failed. */
static void site_remove_directories(int status, void *unused)
{
    (void)unused;
    for (int i = 0; i < site_directory_count && getpid() == site_directories_owner; i++) {
        char command[SITE_COMMAND_BYTES];
        snprintf(command, sizeof(command), status == 0 ? "rm -rf %s" : "echo logs and data: %s", site_directories[i]);
        if (system(command) != 0) {
            printf("command failed: %s\n", command);
        }
    }
}

/* Prefers tmpfs: tests send requests without retries, which could fail on a slow disk. */
static const char *site_base_directory(void)
{
    static const char tmpfs[] = "/dev/shm";
    struct statvfs space;
    bool use_tmpfs = !site_on_disk && access(tmpfs, W_OK) == 0 && statvfs(tmpfs, &space) == 0 &&
                     (uint64_t)space.f_bavail * space.f_frsize >= SITE_MIN_TMPFS_BYTES;
    return use_tmpfs ? tmpfs : "/tmp";
}

const char *site_data_directory(void)
{
    return site_directory;
}

void site_store_on_disk(void)
{
    site_on_disk = true;
}

static void site_make_directory(void)
{
    if (site_directory_count == 0) {
        ck_assert_int_eq(on_exit(site_remove_directories, NULL), 0);
        site_directories_owner = getpid();
    }
    ck_assert_int_lt(site_directory_count, SITE_MAX_DIRECTORIES);
    snprintf(site_directory, sizeof(site_directory), "%s/bankbank-site-XXXXXX", site_base_directory());
    ck_assert_ptr_nonnull(mkdtemp(site_directory));
    memcpy(site_directories[site_directory_count++], site_directory, sizeof(site_directory));
}

static void site_prepare(void)
{
    signal(SIGPIPE, SIG_IGN);
    site_make_directory();
    site_bootstrapped = false;
    site_extra_daemons = 0;
    site_extra_replicas = 0;
    memset(site_moves, 0, sizeof(site_moves));
    site_caller_port = ports_allocate();
    site_control_port = ports_allocate();
    site_ready_port = ports_allocate();
    site_metrics_port = ports_allocate();
    site_peer_port = ports_allocate();
    site_closed_port = ports_allocate();
    site_servers_start(&site_list_port);
}

static void site_wait_until_gateways_are_ready(void)
{
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        site_wait(site_gateway_is_ready, &i, "the gateways are ready");
    }
}

static void site_wait_until_bootstrapped(void)
{
    char *configuration = site_configuration(1, "");
    site_wait(site_configuration_is_accepted, configuration, "the first configuration is accepted");
    free(configuration);
    site_bootstrapped = true;
    site_wait_until_gateways_are_ready();
}

void site_start(void)
{
    site_prepare();
    for (int i = 0; i < SITE_BASE_DAEMONS; i++) {
        site_start_daemon(i);
    }
    site_wait_until_bootstrapped();
}

void site_start_sized(int replicas, int gateways)
{
    site_prepare();
    site_extra_replicas = replicas - SITE_REPLICAS;
    site_extra_daemons = site_extra_replicas + gateways - SITE_GATEWAYS;
    ck_assert_int_ge(site_extra_replicas, 0);
    ck_assert_int_ge(gateways, SITE_GATEWAYS);
    ck_assert_int_le(site_extra_daemons, SITE_MAX_EXTRA_DAEMONS);
    for (int i = 0; i < site_daemons(); i++) {
        site_start_daemon(i);
    }
    site_wait_until_bootstrapped();
}

void site_start_with_extra_replicas(int count)
{
    site_prepare();
    site_extra_daemons = count;
    site_extra_replicas = count;
    site_start_daemon(0);
    for (int i = SITE_REPLICAS; i < site_daemons(); i++) {
        site_start_daemon(i);
    }
    clock_sleep_us(SITE_SEED_START_DELAY_US);
    for (int i = 1; i < SITE_REPLICAS; i++) {
        site_start_daemon(i);
    }
    site_wait_until_bootstrapped();
}

void site_restart_all(void)
{
    for (int i = 0; i < site_daemons(); i++) {
        kill(site_processes[i], SIGKILL);
    }
    for (int i = 0; i < site_daemons(); i++) {
        site_kill_daemon(i, SIGKILL);
    }
    for (int i = 0; i < site_daemons(); i++) {
        site_start_daemon(i);
    }
    site_wait_until_gateways_are_ready();
}

void site_stop(void)
{
    for (int i = SITE_MAX_DAEMONS - 1; i >= 0; i--) {
        if (site_processes[i] != 0) {
            kill(site_processes[i], SIGTERM);
            kill(site_processes[i], SIGCONT); /* a failed test may have left it suspended */
        }
    }
    for (int i = SITE_MAX_DAEMONS - 1; i >= 0; i--) {
        if (site_processes[i] != 0) {
            int status = 0;
            waitpid(site_processes[i], &status, 0);
            ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0,
                          "daemon %d did not exit cleanly: wait status %x", i, (unsigned)status);
        }
    }
}
