#include "fleet.h"
#include "ports.h"

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "emulator/answer.h"
#include "net/http_client.h"

enum { FLEET_UNAVAILABLE = 503, FLEET_RETRY_DELAY_US = 200000 };
enum { FLEET_POLL_US = 20000, FLEET_REQUEST_TIMEOUT_MS = 30000, FLEET_ENGINES = 3, FLEET_MAX_WORDS = 32 };

const char *fleet_build;
static int fleet_descriptors;

void fleet_limit_descriptors(int descriptors)
{
    fleet_descriptors = descriptors;
}

bool fleet_wait_for(bool (*reached)(void *context), void *context)
{
    uint64_t deadline_ms = clock_monotonic_ms() + FLEET_WAIT_TIMEOUT_MS;
    while (!reached(context)) {
        if (clock_monotonic_ms() > deadline_ms) {
            return false;
        }
        clock_sleep_us(FLEET_POLL_US);
    }
    return true;
}

/* ---- Processes ----------------------------------------------------------------------- */

/* Starts a program of the build; its output is appended to the file `log` in the directory of the fleet. */
static pid_t fleet_spawn(const struct fleet *fleet, const char *name, const char *log, char *const *arguments)
{
    char program[512];
    char output[512];
    snprintf(program, sizeof(program), "%s/%s", fleet_build, name);
    snprintf(output, sizeof(output), "%s/%s", fleet->directory, log);
    struct rlimit limit = {.rlim_cur = (rlim_t)fleet_descriptors, .rlim_max = (rlim_t)fleet_descriptors};
    pid_t process = fork();
    ck_assert_int_ge(process, 0);
    if (process == 0) {
        int fd = open(output, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        if (fleet_descriptors > 0) {
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        execv(program, arguments);
        _exit(127);
    }
    return process;
}

static void fleet_write_settings(const struct fleet *fleet, uint32_t node)
{
    char path[512];
    const struct fleet_daemon *self = &fleet->daemons[node - 1];
    snprintf(path, sizeof(path), "%s/node-%u.yaml", fleet->directory, node);
    FILE *file = fopen(path, "w");
    ck_assert_ptr_nonnull(file);
    fprintf(file, "cluster: test\nnode: %u\nzone: zone-%u\ndata: %s/node-%u\n", node, node, fleet->directory, node);
    fprintf(file, "caller_address: 127.0.0.1:%d\noperator_address: 127.0.0.1:%d\n", self->caller_port,
            self->operator_port);
    fprintf(file, "machine_list_url: http://127.0.0.1:%d/machines\nthreads: 32\n", fleet->emulator_port);
    if (fleet->count > 1) {
        fprintf(file, "peer_address: 127.0.0.1:%d\nreplicas:\n", self->peer_port);
        for (uint32_t i = 0; i < fleet->count; i++) {
            fprintf(file, "  - node: %u\n    address: 127.0.0.1:%d\n", i + 1, fleet->daemons[i].peer_port);
            if (i + fleet->spares >= fleet->count) {
                fprintf(file, "    spare: true\n");
            }
        }
    }
    fclose(file);
}

static bool fleet_port_returns_ok(int port, const char *path)
{
    struct fleet_response response = {0};
    fleet_request(port, "GET", path, NULL, NULL, &response);
    bool ok = response.status == 200;
    fleet_response_close(&response);
    return ok;
}

static bool fleet_emulator_is_up(void *context)
{
    return fleet_port_returns_ok(((const struct fleet *)context)->emulator_port, "/machines");
}

static void fleet_start_emulator(struct fleet *fleet)
{
    char address[64];
    char engines[16];
    fleet->emulator_port = ports_allocate();
    snprintf(address, sizeof(address), "127.0.0.1:%d", fleet->emulator_port);
    snprintf(engines, sizeof(engines), "%d", FLEET_ENGINES);
    char *arguments[] = {(char *)(uintptr_t) "bankbank-emulator",
                         (char *)(uintptr_t) "--listen",
                         address,
                         (char *)(uintptr_t) "--engines",
                         engines,
                         (char *)(uintptr_t) "--backends",
                         engines,
                         NULL};
    fleet->emulator = fleet_spawn(fleet, "bankbank-emulator", "emulator.log", arguments);
    ck_assert(fleet_wait_for(fleet_emulator_is_up, fleet));
}

void fleet_start_daemon(struct fleet *fleet, uint32_t node)
{
    char path[512];
    char log[64];
    snprintf(path, sizeof(path), "%s/node-%u.yaml", fleet->directory, node);
    snprintf(log, sizeof(log), "node-%u.log", node);
    char *arguments[] = {(char *)(uintptr_t) "bankbankd", (char *)(uintptr_t) "--config", path, NULL};
    fleet->daemons[node - 1].process = fleet_spawn(fleet, "bankbankd", log, arguments);
}

static bool fleet_daemon_is_ready(void *context)
{
    return fleet_port_returns_ok(((const struct fleet_daemon *)context)->operator_port, "/readyz");
}

void fleet_wait_ready(const struct fleet *fleet, uint32_t node)
{
    ck_assert(fleet_wait_for(fleet_daemon_is_ready, (void *)(uintptr_t)&fleet->daemons[node - 1]));
}

int fleet_kill_daemon(struct fleet *fleet, uint32_t node, int signal_number)
{
    int status = 0;
    pid_t process = fleet->daemons[node - 1].process;
    fleet->daemons[node - 1].process = 0;
    kill(process, signal_number);
    ck_assert_int_eq(waitpid(process, &status, 0), process);
    return status;
}

static void fleet_create_resources(const struct fleet *fleet)
{
    static const char *const policy[] = {"create", "policy", "default", "pool=agents", NULL};
    char texts[2 * FLEET_ENGINES][160];
    const char *pool[FLEET_MAX_WORDS] = {"create", "pool", "agents", "model=agent-model"};
    const char *service[FLEET_MAX_WORDS] = {"create", "service", "calculator"};
    for (int i = 0; i < FLEET_ENGINES; i++) {
        snprintf(texts[i], sizeof(texts[i]), "engine=engine-%d,http://127.0.0.1:%d/engines/%d,zone-1", i,
                 fleet->emulator_port, i);
        snprintf(texts[FLEET_ENGINES + i], sizeof(texts[0]),
                 "backend=backend-%d,http://127.0.0.1:%d/backends/%d,zone-1", i, fleet->emulator_port, i);
        pool[4 + i] = texts[i];
        service[3 + i] = texts[FLEET_ENGINES + i];
    }
    fleet_expect_ctl(fleet, 1, pool);
    fleet_expect_ctl(fleet, 1, policy);
    fleet_expect_ctl(fleet, 1, service);
    static const char *const wait_for_all[] = {"wait", "4", NULL}; /* revision 1 and three changes */
    fleet_expect_ctl(fleet, 1, wait_for_all);
}

void fleet_delete_data(const struct fleet *fleet, uint32_t node)
{
    char command[512];
    snprintf(command, sizeof(command), "rm -rf '%s/node-%u'", fleet->directory, node);
    ck_assert_int_eq(system(command), 0);
}

void fleet_start(struct fleet *fleet, uint32_t count)
{
    uint32_t spares = fleet->spares;
    memset(fleet, 0, sizeof(*fleet));
    fleet->spares = spares;
    snprintf(fleet->directory, sizeof(fleet->directory), "/tmp/bankbank-test-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(fleet->directory));
    signal(SIGPIPE, SIG_IGN);
    http_client_init();
    fleet->count = count;
    fleet_start_emulator(fleet);
    for (uint32_t i = 0; i < count; i++) {
        fleet->daemons[i].caller_port = ports_allocate();
        fleet->daemons[i].operator_port = ports_allocate();
        fleet->daemons[i].peer_port = ports_allocate();
    }
    for (uint32_t node = 1; node <= count; node++) {
        fleet_write_settings(fleet, node);
        fleet_start_daemon(fleet, node);
    }
    for (uint32_t node = 1; node <= count; node++) {
        fleet_wait_ready(fleet, node);
    }
    fleet_create_resources(fleet);
}

void fleet_stop(struct fleet *fleet)
{
    char command[512];
    bool clean = true;
    for (uint32_t node = 1; node <= fleet->count; node++) {
        if (fleet->daemons[node - 1].process != 0) {
            kill(fleet->daemons[node - 1].process, SIGTERM);
        }
    }
    for (uint32_t node = 1; node <= fleet->count; node++) {
        if (fleet->daemons[node - 1].process != 0) {
            clean = fleet_kill_daemon(fleet, node, SIGTERM) == 0 && clean;
        }
    }
    kill(fleet->emulator, SIGTERM);
    waitpid(fleet->emulator, NULL, 0);
    http_client_close();
    if (!clean) {
        ck_abort_msg("a daemon did not exit cleanly; logs are in %s", fleet->directory);
    }
    snprintf(command, sizeof(command), "rm -rf '%s'", fleet->directory);
    ck_assert_int_eq(system(command), 0);
}

int fleet_ctl(const struct fleet *fleet, uint32_t node, const char *const *words, char **output)
{
    char server[64];
    char *arguments[FLEET_MAX_WORDS + 4] = {(char *)(uintptr_t) "bankbankctl", (char *)(uintptr_t) "--server", server};
    int count = 3;
    snprintf(server, sizeof(server), "127.0.0.1:%d", fleet->daemons[node - 1].operator_port);
    for (int i = 0; words[i] != NULL && i < FLEET_MAX_WORDS; i++) {
        arguments[count++] = (char *)(uintptr_t)words[i];
    }
    char log[64];
    snprintf(log, sizeof(log), "ctl-%d-%u.log", (int)getpid(), node);
    char path[512];
    snprintf(path, sizeof(path), "%s/%s", fleet->directory, log);
    unlink(path);
    int status = 0;
    pid_t process = fleet_spawn(fleet, "bankbankctl", log, arguments);
    waitpid(process, &status, 0);
    if (output != NULL) {
        struct buffer text = {0};
        char part[1024];
        FILE *file = fopen(path, "r");
        for (size_t got; file != NULL && (got = fread(part, 1, sizeof(part), file)) > 0;) {
            buffer_append(&text, part, got);
        }
        if (file != NULL) {
            fclose(file);
        }
        *output = buffer_text(&text);
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void fleet_print_logs(const struct fleet *fleet)
{
    char command[1024];
    snprintf(command, sizeof(command), "tail -n %d '%s'/node-*.log '%s'/emulator.log", FLEET_LOG_LINES,
             fleet->directory, fleet->directory);
    int status = system(command);
    (void)status;
}

void fleet_expect_ctl(const struct fleet *fleet, uint32_t node, const char *const *words)
{
    char *output = NULL;
    int status = fleet_ctl(fleet, node, words, &output);
    if (status != 0) {
        fleet_print_logs(fleet);
    }
    ck_assert_msg(status == 0, "bankbankctl %s %s at node %u exited with %d: %s", words[0], words[1], node, status,
                  output);
    free(output);
}

/* ---- Requests ---------------------------------------------------------------------------- */

static bool fleet_on_data(void *context, int status, struct view data)
{
    struct fleet_response *response = context;
    (void)status;
    buffer_append(&response->body, data.data, data.length);
    return true;
}

static void fleet_on_header(void *context, const char *name, const char *value)
{
    struct fleet_response *response = context;
    if (strcasecmp(name, "X-Run-State") == 0) {
        snprintf(response->run_state, sizeof(response->run_state), "%s", value);
    } else if (strcasecmp(name, "Retry-After") == 0) {
        snprintf(response->retry_after, sizeof(response->retry_after), "%s", value);
    }
}

void fleet_request(int port, const char *method, const char *path, const char *body, const char *const *headers,
                   struct fleet_response *response)
{
    struct buffer url = {0};
    memset(response, 0, sizeof(*response));
    buffer_printf(&url, "http://127.0.0.1:%d%s", port, path);
    struct http_request request = {
        .method = method,
        .url = buffer_text(&url),
        .body = body == NULL ? (struct view){0} : view_of_string(body),
        .timeout_ms = FLEET_REQUEST_TIMEOUT_MS,
        .connect_timeout_ms = 2000,
        .at_most_once = true,
        .context = response,
        .on_data = fleet_on_data,
        .on_header = fleet_on_header,
    };
    for (int i = 0; headers != NULL && headers[i] != NULL; i++) {
        http_request_add_header(&request, "%s", headers[i]);
    }
    response->complete = http_client_run(&request, &response->status) == HTTP_TRANSFER_DONE;
    http_request_close(&request);
    buffer_close(&url);
}

void fleet_response_close(struct fleet_response *response)
{
    buffer_close(&response->body);
}

int fleet_connect(int port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons((uint16_t)port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct timeval limit = {.tv_sec = FLEET_WAIT_TIMEOUT_MS / 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    return fd;
}

char *fleet_send_raw(int port, const char *bytes, size_t length, bool half_close)
{
    struct buffer response = {0};
    char part[4096];
    int fd = fleet_connect(port);
    ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);
    (void)sent; /* the daemon may close before it has read everything */
    if (half_close) {
        shutdown(fd, SHUT_WR);
    }
    for (ssize_t got; (got = recv(fd, part, sizeof(part), 0)) > 0;) {
        buffer_append(&response, part, (size_t)got);
    }
    close(fd);
    return buffer_text(&response);
}

/* ---- Programs ------------------------------------------------------------------------------ */

void fleet_create_program(const struct fleet *fleet, uint32_t node, char *id, size_t size)
{
    struct fleet_response response;
    fleet_request(fleet->daemons[node - 1].caller_port, "POST", "/v1/programs",
                  "{\"policy\":\"default\",\"budget_tokens\":100000}", NULL, &response);
    ck_assert_int_eq(response.status / 100, 2);
    json_t *body = json_loads(buffer_text(&response.body), 0, NULL);
    snprintf(id, size, "%s", json_string_value(json_object_get(body, "id")));
    json_decref(body);
    fleet_response_close(&response);
}

void fleet_send_call(const struct fleet *fleet, uint32_t node, const char *program, uint32_t number, const char *text,
                     bool stream, const char *const *options, struct fleet_response *response)
{
    char body[1024];
    char program_header[160];
    char number_header[64];
    const char *headers[16] = {"Content-Type: application/json", program_header, number_header};
    int count = 3;
    snprintf(program_header, sizeof(program_header), "X-Program-Id: %s", program);
    snprintf(number_header, sizeof(number_header), "X-Program-Call: %u", number);
    for (int i = 0; options != NULL && options[i] != NULL; i++) {
        headers[count++] = options[i];
    }
    snprintf(body, sizeof(body),
             "{\"model\":\"agent-model\",\"max_tokens\":%d,\"stream\":%s,"
             "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
             FLEET_MAX_TOKENS, stream ? "true" : "false", text);
    fleet_request(fleet->daemons[node - 1].caller_port, "POST", "/v1/chat/completions", body, headers, response);
}

char *fleet_expect_answer(const struct fleet *fleet, uint32_t node, const char *program, uint32_t number,
                          const char *text)
{
    struct fleet_response response;
    uint64_t deadline_ms = clock_monotonic_ms() + FLEET_WAIT_TIMEOUT_MS;
    fleet_send_call(fleet, node, program, number, text, false, NULL, &response);
    while (response.status == FLEET_UNAVAILABLE && clock_monotonic_ms() < deadline_ms) {
        fleet_response_close(&response);
        clock_sleep_us(FLEET_RETRY_DELAY_US);
        fleet_send_call(fleet, node, program, number, text, false, NULL, &response);
    }
    if (response.status != 200) {
        ck_abort_msg("call %u through node %u: status %d, %s", number, node, response.status,
                     buffer_text(&response.body));
    }
    ck_assert_str_eq(response.run_state, "run");
    json_t *body = json_loads(buffer_text(&response.body), 0, NULL);
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    char *content = text_copy(json_string_value(json_object_get(json_object_get(choice, "message"), "content")));
    json_decref(body);
    fleet_response_close(&response);
    return content;
}

void fleet_expect_history(const struct fleet *fleet, uint32_t node, const char *program, uint64_t answers)
{
    char path[256];
    uint64_t found = 0;
    struct fleet_response response;
    snprintf(path, sizeof(path), "/v1/programs/%s/history", program);
    fleet_request(fleet->daemons[node - 1].caller_port, "GET", path, NULL, NULL, &response);
    uint64_t deadline_ms = clock_monotonic_ms() + FLEET_WAIT_TIMEOUT_MS;
    while (response.status == FLEET_UNAVAILABLE && clock_monotonic_ms() < deadline_ms) {
        fleet_response_close(&response);
        clock_sleep_us(FLEET_RETRY_DELAY_US);
        fleet_request(fleet->daemons[node - 1].caller_port, "GET", path, NULL, NULL, &response);
    }
    ck_assert_int_eq(response.status, 200);
    json_t *history = json_loads(buffer_text(&response.body), 0, NULL);
    ck_assert_uint_eq(answer_verify(json_object_get(history, "messages"), FLEET_MAX_TOKENS, &found), 0);
    ck_assert_uint_eq(found, answers);
    ck_assert_uint_eq(json_array_size(json_object_get(history, "messages")), 2 * answers);
    json_decref(history);
    fleet_response_close(&response);
}

/* ---- Emulator --------------------------------------------------------------------------------- */

void fleet_set_fault(const struct fleet *fleet, const char *fault, int amount, int count)
{
    fleet_set_fault_at(fleet, FLEET_ENGINES, fault, amount, count);
}

void fleet_set_fault_at(const struct fleet *fleet, int engines, const char *fault, int amount, int count)
{
    for (int engine = 0; engine < engines; engine++) {
        char body[160];
        struct fleet_response response;
        snprintf(body, sizeof(body), "{\"engine\":%d,\"fault\":\"%s\",\"amount\":%d,\"count\":%d}", engine, fault,
                 amount, count);
        fleet_request(fleet->emulator_port, "POST", "/control/fault", body, NULL, &response);
        ck_assert_int_eq(response.status, 200);
        fleet_response_close(&response);
    }
}

json_int_t fleet_stat_sum(const struct fleet *fleet, const char *kind, const char *statistic)
{
    struct fleet_response response;
    json_int_t sum = 0;
    size_t position;
    json_t *item;
    fleet_request(fleet->emulator_port, "GET", "/control/stats", NULL, NULL, &response);
    json_t *stats = json_loads(buffer_text(&response.body), 0, NULL);
    ck_assert_ptr_nonnull(stats);
    json_array_foreach(json_object_get(stats, kind), position, item)
    {
        sum += json_integer_value(json_object_get(item, statistic));
    }
    json_decref(stats);
    fleet_response_close(&response);
    return sum;
}

double fleet_metric(const struct fleet *fleet, uint32_t node, const char *name)
{
    struct fleet_response response;
    char line[128];
    fleet_request(fleet->daemons[node - 1].operator_port, "GET", "/metrics", NULL, NULL, &response);
    snprintf(line, sizeof(line), "\n%s ", name);
    const char *found = strstr(buffer_text(&response.body), line);
    double value = found == NULL ? -1 : strtod(found + strlen(line), NULL);
    fleet_response_close(&response);
    return value;
}
