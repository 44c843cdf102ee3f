/* Real site daemons before the stand-in, calls to them, and the start and end of all. */
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
    SITE_FIRST_DAEMONS = SITE_STATES + SITE_GATEWAYS,
    SITE_DAEMONS = SITE_FIRST_DAEMONS + SITE_FURTHER,
    SITE_HEAD_START_US = 700 * 1000,
    SITE_STEP_US = 10000,
    SITE_LOG_STEP = 1 << 16,
    SITE_FULL_BYTES = 4096,
    SITE_FOLDERS = 128, /* sites that one program starts, at most */
    SITE_FOLDER_BYTES = 64,
    SITE_COMMAND = 128,
    SITE_MEMORY_ROOM = 1 << 30 /* bytes free on the file system in memory for it to be used */
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
static char site_folder[SITE_FOLDER_BYTES];                /* of the site that runs */
static char site_folders[SITE_FOLDERS][SITE_FOLDER_BYTES]; /* of all sites of this program so far */
static int site_folder_count;
static pid_t site_folders_of; /* process that made them */
static bool site_on_disk;
static pid_t site_processes[SITE_DAEMONS];
static int site_further; /* daemons besides the first ones: state replicas, then gateways */
static int site_further_states;
static bool site_formed;
static int site_memory_mb;
static int site_refer_above = -1;
static int site_seeds[SITE_STATES] = {0, 1, 2};
static const char *site_builds[SITE_FIRST_DAEMONS + SITE_FURTHER]; /* NULL: site_build */

/* ---- Daemons ------------------------------------------------------------------------------------- */

static const char *site_ip(int daemon)
{
    static const char *const ips[SITE_FIRST_DAEMONS] = {"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1",
                                                        "127.0.2.2"};
    static char further[SITE_FURTHER][24];
    if (daemon < SITE_FIRST_DAEMONS) {
        return ips[daemon];
    }
    char *ip = further[daemon - SITE_FIRST_DAEMONS];
    snprintf(ip, sizeof(further[0]), "127.0.3.%d", daemon - SITE_FIRST_DAEMONS + 1);
    return ip;
}

int site_daemons(void)
{
    return SITE_FIRST_DAEMONS + site_further;
}

int site_state_daemon(int state)
{
    return state < SITE_STATES ? state : SITE_GATEWAYS + state;
}

int site_gateway_daemon(int gateway)
{
    return gateway < SITE_GATEWAYS ? SITE_STATES + gateway : SITE_STATES + site_further_states + gateway;
}

static bool site_is_gateway(int daemon)
{
    return (daemon >= SITE_STATES && daemon < SITE_FIRST_DAEMONS) || daemon >= SITE_FIRST_DAEMONS + site_further_states;
}

const char *site_caller_ip(int gateway)
{
    return site_ip(site_gateway_daemon(gateway));
}

const char *site_control_ip(int state)
{
    return site_ip(site_state_daemon(state));
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
    fprintf(file, "name: \"machine-%d\"\nzone: \"z%d\"\nip: \"%s\"\npeer_port: %d\nbootstrap: %s\n", daemon,
            daemon % SITE_STATES + 1, site_ip(daemon), site_peer_port, site_formed ? "false" : "true");
    fprintf(file, "machine_list: \"127.0.0.1:%d\"\nlist_period_ms: 100\ngrace_s: 6\n", site_list_port);
    if (site_memory_mb > 0) {
        fprintf(file, "memory_mb: %d\n", site_memory_mb);
    }
    fprintf(file, "metrics_address: \"%s:%d\"\n", site_ip(daemon), site_metrics_port);
    if (gateway) {
        fprintf(file, "caller_address: \"%s:%d\"\nready_address: \"%s:%d\"\n", site_ip(daemon), site_caller_port,
                site_ip(daemon), site_ready_port);
    } else {
        fprintf(file, "data: \"%s/data-%d\"\ncontrol_address: \"%s:%d\"\n", site_folder, daemon, site_ip(daemon),
                site_control_port);
    }
    fprintf(file, "seeds:\n");
    for (int i = 0; i < SITE_STATES; i++) {
        fprintf(file, "  - address: \"%s:%d\"\n", site_ip(site_seeds[i]), site_control_port);
    }
    fclose(file);
}

void site_refer_watchers(int above)
{
    site_refer_above = above;
}

void site_limit_memory(int megabytes)
{
    site_memory_mb = megabytes;
}

/* In the daemon's own process, before its program begins. A sanitizer's own memory would not fit: there the daemon
 * is only told its limit. */
static void site_apply_limit(void)
{
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    rlim_t bytes = (rlim_t)site_memory_mb << 20;
    struct rlimit limit = {.rlim_cur = bytes, .rlim_max = bytes};
    if (site_memory_mb > 0) {
        setrlimit(RLIMIT_DATA, &limit);
    }
#endif
}

/* What the version before does not know, as a deployment passes it to both (node_settings.h). */
static void site_set_further(void)
{
    struct buffer text = {0};
    buffer_printf(&text, "closed_port: %d\n", site_hides_closed_port ? 0 : site_closed_port);
    if (site_refer_above >= 0) {
        buffer_printf(&text, "refer_above: %d\n", site_refer_above);
    }
    buffer_append_text(&text, "zones:\n");
    for (int i = 0; i < SITE_STATES; i++) {
        buffer_printf(&text, "  - name: \"z%d\"\n    region: \"%s\"\n", i + 1, i == 1 ? "r2" : "r1");
    }
    setenv("BANKBANK_FURTHER", buffer_text(&text), 1);
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
        snprintf(settings, sizeof(settings), "%s/settings-%d.yaml", site_folder, daemon);
        site_write_settings(daemon, settings);
        kill(site_processes[daemon], SIGHUP);
    }
}

void site_start_daemon(int daemon)
{
    char settings[128];
    char log[128];
    char program[256];
    char data[128];
    snprintf(settings, sizeof(settings), "%s/settings-%d.yaml", site_folder, daemon);
    snprintf(log, sizeof(log), "%s/log-%d", site_folder, daemon);
    snprintf(data, sizeof(data), "mkdir -p %s/data-%d", site_folder, daemon);
    snprintf(program, sizeof(program), "%s/bankbank-site",
             site_builds[daemon] == NULL ? site_build : site_builds[daemon]);
    ck_assert_int_eq(system(data), 0);
    site_write_settings(daemon, settings);
    site_processes[daemon] = fork();
    ck_assert_int_ge(site_processes[daemon], 0);
    if (site_processes[daemon] == 0) {
        int file = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* a test that fails leaves no daemon behind */
        signal(SIGXFSZ, SIG_IGN);         /* a limit of file sizes is an error of the write, as a full disk is */
        site_apply_limit();
        site_set_further();
        execl(program, program, "--config", settings, (char *)NULL);
        _exit(127);
    }
}

int site_end_daemon(int daemon, int signal_number)
{
    int status = 0;
    ck_assert_int_gt(site_processes[daemon], 0);
    kill(site_processes[daemon], signal_number);
    kill(site_processes[daemon], SIGCONT); /* a test that failed may have left it stopped */
    waitpid(site_processes[daemon], &status, 0);
    site_processes[daemon] = 0;
    return status;
}

void site_lose_disk(int state)
{
    char command[128];
    snprintf(command, sizeof(command), "rm -rf %s/data-%d", site_folder, state);
    ck_assert_int_eq(system(command), 0);
}

void site_wait(bool (*reached)(void *context), void *context, const char *what)
{
    uint64_t end_ms = clock_monotonic_ms() + SITE_LIMIT_MS;
    while (!reached(context)) {
        ck_assert_msg(clock_monotonic_ms() < end_ms, "not reached: %s", what);
        clock_sleep_us(SITE_STEP_US);
    }
}

/* ---- Calls ---------------------------------------------------------------------------------------- */

static void site_exchange(const char *ip, int port, const char *request, size_t length, struct site_answer *answer)
{
    struct http_reader reader;
    memset(answer, 0, sizeof(*answer));
    int file = site_connect(ip, port);
    if (file < 0) {
        return;
    }
    site_send(file, request, length);
    answer->whole = site_read(file, &reader, HTTP_RESPONSE, &answer->body);
    answer->status = reader.status;
    buffer_append(&answer->head, reader.head.data, reader.head.length);
    http_reader_close(&reader);
    close(file);
}

void site_call_as(int gateway, const char *id, const char *method, const char *path, const char *lines,
                  const char *body, struct site_answer *answer)
{
    static int next_id;
    char fresh[32];
    struct buffer request = {0};
    snprintf(fresh, sizeof(fresh), "r%d-%d", (int)getpid(), ++next_id);
    buffer_printf(&request, "%s %s HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\nConnection: close\r\n%s",
                  method, path, id == NULL ? fresh : id, lines);
    if (body != NULL) {
        buffer_printf(&request, "Content-Length: %zu\r\n", strlen(body));
    }
    buffer_printf(&request, "\r\n%s", body == NULL ? "" : body);
    site_exchange(site_caller_ip(gateway), site_caller_port, buffer_text(&request), request.length, answer);
    buffer_close(&request);
}

void site_call(int gateway, const char *method, const char *path, const char *lines, const char *body,
               struct site_answer *answer)
{
    site_call_as(gateway, NULL, method, path, lines, body, answer);
}

struct site_turn {
    int gateway;
    int number;
};

static bool site_turn_is_served(void *context)
{
    static char text[SITE_TURN_BYTES + 1];
    const struct site_turn *turn = context;
    char lines[160];
    struct site_answer answer;
    memset(text, 'a' + turn->number % 26, sizeof(text) - 1);
    snprintf(lines, sizeof(lines),
             "Bankbank-Program-Id: p-%d\r\nBankbank-Token-Budget: 100000\r\nBankbank-Token-Usage: 10,15\r\n",
             turn->number);
    site_call(turn->gateway, "POST", "/chat/x", lines, text, &answer);
    int status = answer.status;
    site_answer_close(&answer);
    return status == 200;
}

void site_large_turn(int gateway, int number)
{
    struct site_turn turn = {.gateway = gateway, .number = number};
    site_wait(site_turn_is_served, &turn, "a large turn is served");
}

void site_answer_close(struct site_answer *answer)
{
    buffer_close(&answer->head);
    buffer_close(&answer->body);
}

int site_order(int state, const char *method, const char *path, const char *body, struct buffer *reply)
{
    struct site_answer answer;
    struct buffer request = {0};
    size_t length = body == NULL ? 0 : strlen(body);
    buffer_printf(&request,
                  "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                  method, path, length, body == NULL ? "" : body);
    site_exchange(site_control_ip(state), site_control_port, buffer_text(&request), request.length, &answer);
    if (reply != NULL) {
        buffer_append(reply, answer.body.data, answer.body.length);
    }
    int status = answer.status;
    site_answer_close(&answer);
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

void site_set_disk_full(int state, bool full)
{
    struct rlimit limit = {.rlim_cur = full ? SITE_FULL_BYTES : RLIM_INFINITY, .rlim_max = RLIM_INFINITY};
    if (site_processes[state] != 0) {
        prlimit(site_processes[state], RLIMIT_FSIZE, &limit, NULL);
    }
}

double site_metric(int daemon, const char *name)
{
    static const char request[] = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    struct site_answer answer;
    double value = -1;
    char key[96];
    site_exchange(site_ip(daemon), site_metrics_port, request, sizeof(request) - 1, &answer);
    snprintf(key, sizeof(key), "\nbankbank_%s ", name);
    const char *at = strstr(buffer_text(&answer.body), key);
    if (at != NULL) {
        value = strtod(at + strlen(key), NULL);
    }
    site_answer_close(&answer);
    return value;
}

bool site_log_has(int daemon, const char *text)
{
    char path[128];
    struct buffer log = {0};
    snprintf(path, sizeof(path), "%s/log-%d", site_folder, daemon);
    FILE *file = fopen(path, "r");
    size_t got = 0;
    do {
        got = file == NULL ? 0 : fread(buffer_reserve(&log, SITE_LOG_STEP), 1, SITE_LOG_STEP, file);
        log.length += got;
    } while (got > 0);
    if (file != NULL) {
        fclose(file);
    }
    bool has = strstr(buffer_text(&log), text) != NULL;
    buffer_close(&log);
    return has;
}

/* ---- The whole ------------------------------------------------------------------------------------- */

static bool site_takes_configuration(void *context)
{
    return site_order(0, "POST", "/api/config/replace", context, NULL) == 200;
}

static bool site_is_ready(void *context)
{
    static const char request[] = "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    struct site_answer answer;
    int gateway = *(int *)context;
    site_exchange(site_caller_ip(gateway), site_ready_port, request, sizeof(request) - 1, &answer);
    bool ready = answer.status == 200;
    site_answer_close(&answer);
    return ready;
}

/* A suite that fails leaves logs and data, and says where. */
static void site_leave_folders(int status, void *unused)
{
    (void)unused;
    for (int i = 0; i < site_folder_count && getpid() == site_folders_of; i++) {
        char command[SITE_COMMAND];
        snprintf(command, sizeof(command), status == 0 ? "rm -rf %s" : "echo logs and data: %s", site_folders[i]);
        if (system(command) != 0) {
            printf("not carried out: %s\n", command);
        }
    }
}

/* Suites ask once and expect an answer: what the machine's own disk does beside them is not theirs to judge. */
static const char *site_base(void)
{
    static const char memory[] = "/dev/shm"; /* a file system in memory, where there is one */
    struct statvfs room;
    bool fits = !site_on_disk && access(memory, W_OK) == 0 && statvfs(memory, &room) == 0 &&
                (uint64_t)room.f_bavail * room.f_frsize >= SITE_MEMORY_ROOM;
    return fits ? memory : "/tmp";
}

void site_store_on_disk(void)
{
    site_on_disk = true;
}

static void site_make_folder(void)
{
    if (site_folder_count == 0) {
        ck_assert_int_eq(on_exit(site_leave_folders, NULL), 0);
        site_folders_of = getpid();
    }
    ck_assert_int_lt(site_folder_count, SITE_FOLDERS);
    snprintf(site_folder, sizeof(site_folder), "%s/bankbank-site-XXXXXX", site_base());
    ck_assert_ptr_nonnull(mkdtemp(site_folder));
    memcpy(site_folders[site_folder_count++], site_folder, sizeof(site_folder));
}

static void site_prepare(void)
{
    signal(SIGPIPE, SIG_IGN);
    site_make_folder();
    site_formed = false;
    site_further = 0;
    site_further_states = 0;
    site_caller_port = ports_take();
    site_control_port = ports_take();
    site_ready_port = ports_take();
    site_metrics_port = ports_take();
    site_peer_port = ports_take();
    site_closed_port = ports_take();
    site_servers_start(&site_list_port);
}

static void site_form(void)
{
    char *configuration = site_configuration(1, "");
    site_wait(site_takes_configuration, configuration, "the first configuration is taken");
    free(configuration);
    site_formed = true;
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        site_wait(site_is_ready, &i, "the gateways are ready");
    }
}

void site_start(void)
{
    site_prepare();
    for (int i = 0; i < SITE_FIRST_DAEMONS; i++) {
        site_start_daemon(i);
    }
    site_form();
}

void site_start_shape(int states, int gateways)
{
    site_prepare();
    site_further_states = states - SITE_STATES;
    site_further = site_further_states + gateways - SITE_GATEWAYS;
    ck_assert_int_ge(site_further_states, 0);
    ck_assert_int_ge(gateways, SITE_GATEWAYS);
    ck_assert_int_le(site_further, SITE_FURTHER);
    for (int i = 0; i < site_daemons(); i++) {
        site_start_daemon(i);
    }
    site_form();
}

void site_start_many(int count)
{
    site_prepare();
    site_further = count;
    site_further_states = count;
    site_start_daemon(0);
    for (int i = SITE_STATES; i < site_daemons(); i++) {
        site_start_daemon(i);
    }
    clock_sleep_us(SITE_HEAD_START_US);
    for (int i = 1; i < SITE_STATES; i++) {
        site_start_daemon(i);
    }
    site_form();
}

void site_stop(void)
{
    for (int i = SITE_DAEMONS - 1; i >= 0; i--) {
        if (site_processes[i] != 0) {
            kill(site_processes[i], SIGTERM);
        }
    }
    for (int i = SITE_DAEMONS - 1; i >= 0; i--) {
        if (site_processes[i] != 0) {
            int status = 0;
            waitpid(site_processes[i], &status, 0);
            ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0, "daemon %d ended with %d", i, status);
        }
    }
}
