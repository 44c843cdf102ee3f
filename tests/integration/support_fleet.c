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
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "emulator/answer.h"
#include "net/http_client.h"

enum { FLEET_UNAVAILABLE = 503, FLEET_RETRY_US = 200000 };
enum { FLEET_STEP_US = 20000, FLEET_TIMEOUT_MS = 30000, FLEET_ENGINES = 3, FLEET_MAX_WORDS = 32 };

const char *fleet_build;

bool fleet_wait_for(bool (*reached)(void *context), void *context)
{
    uint64_t limit_ms = clock_monotonic_ms() + FLEET_LIMIT_MS;
    while (!reached(context)) {
        if (clock_monotonic_ms() > limit_ms) {
            return false;
        }
        clock_sleep_us(FLEET_STEP_US);
    }
    return true;
}

/* ---- Processes ----------------------------------------------------------------------- */

/* Starts BUILD/NAME with its output in a file of the folder. */
static pid_t fleet_spawn(const struct fleet *fleet, const char *name, const char *log, char *const *arguments)
{
    char program[512];
    char output[512];
    snprintf(program, sizeof(program), "%s/%s", fleet_build, name);
    snprintf(output, sizeof(output), "%s/%s", fleet->folder, log);
    pid_t process = fork();
    ck_assert_int_ge(process, 0);
    if (process == 0) {
        int file = open(output, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        execv(program, arguments);
        _exit(127);
    }
    return process;
}

static void fleet_write_settings(const struct fleet *fleet, uint32_t node)
{
    char path[512];
    const struct fleet_node *self = &fleet->nodes[node - 1];
    snprintf(path, sizeof(path), "%s/node-%u.yaml", fleet->folder, node);
    FILE *file = fopen(path, "w");
    ck_assert_ptr_nonnull(file);
    fprintf(file, "cluster: test\nnode: %u\nzone: zone-%u\ndata: %s/node-%u\n", node, node, fleet->folder, node);
    fprintf(file, "caller_address: 127.0.0.1:%d\noperator_address: 127.0.0.1:%d\n", self->caller_port,
            self->operator_port);
    fprintf(file, "machine_list_url: http://127.0.0.1:%d/machines\nthreads: 32\n", fleet->emulator_port);
    if (fleet->count > 1) {
        fprintf(file, "peer_address: 127.0.0.1:%d\nreplicas:\n", self->peer_port);
        for (uint32_t i = 0; i < fleet->count; i++) {
            fprintf(file, "  - node: %u\n    address: 127.0.0.1:%d\n", i + 1, fleet->nodes[i].peer_port);
            if (i + fleet->spares >= fleet->count) {
                fprintf(file, "    spare: true\n");
            }
        }
    }
    fclose(file);
}

static bool fleet_port_answers(int port, const char *path)
{
    struct fleet_answer answer = {0};
    fleet_request(port, "GET", path, NULL, NULL, &answer);
    bool ready = answer.status == 200;
    fleet_answer_close(&answer);
    return ready;
}

static bool fleet_emulator_is_up(void *context)
{
    return fleet_port_answers(((const struct fleet *)context)->emulator_port, "/machines");
}

static void fleet_start_emulator(struct fleet *fleet)
{
    char address[64];
    char engines[16];
    fleet->emulator_port = ports_take();
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

void fleet_start_node(struct fleet *fleet, uint32_t node)
{
    char path[512];
    char log[64];
    snprintf(path, sizeof(path), "%s/node-%u.yaml", fleet->folder, node);
    snprintf(log, sizeof(log), "node-%u.log", node);
    char *arguments[] = {(char *)(uintptr_t) "bankbankd", (char *)(uintptr_t) "--config", path, NULL};
    fleet->nodes[node - 1].process = fleet_spawn(fleet, "bankbankd", log, arguments);
}

static bool fleet_node_is_ready(void *context)
{
    return fleet_port_answers(((const struct fleet_node *)context)->operator_port, "/readyz");
}

void fleet_wait_ready(const struct fleet *fleet, uint32_t node)
{
    ck_assert(fleet_wait_for(fleet_node_is_ready, (void *)(uintptr_t)&fleet->nodes[node - 1]));
}

int fleet_end_node(struct fleet *fleet, uint32_t node, int signal_number)
{
    int status = 0;
    pid_t process = fleet->nodes[node - 1].process;
    fleet->nodes[node - 1].process = 0;
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
    fleet_must_ctl(fleet, 1, pool);
    fleet_must_ctl(fleet, 1, policy);
    fleet_must_ctl(fleet, 1, service);
    static const char *const wait_for_all[] = {"wait", "4", NULL};
    fleet_must_ctl(fleet, 1, wait_for_all);
}

void fleet_lose_disk(const struct fleet *fleet, uint32_t node)
{
    char command[512];
    snprintf(command, sizeof(command), "rm -rf '%s/node-%u'", fleet->folder, node);
    ck_assert_int_eq(system(command), 0);
}

void fleet_start(struct fleet *fleet, uint32_t count)
{
    uint32_t spares = fleet->spares;
    memset(fleet, 0, sizeof(*fleet));
    fleet->spares = spares;
    snprintf(fleet->folder, sizeof(fleet->folder), "/tmp/bankbank-test-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(fleet->folder));
    signal(SIGPIPE, SIG_IGN);
    http_client_init();
    fleet->count = count;
    fleet_start_emulator(fleet);
    for (uint32_t i = 0; i < count; i++) {
        fleet->nodes[i].caller_port = ports_take();
        fleet->nodes[i].operator_port = ports_take();
        fleet->nodes[i].peer_port = ports_take();
    }
    for (uint32_t node = 1; node <= count; node++) {
        fleet_write_settings(fleet, node);
        fleet_start_node(fleet, node);
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
        if (fleet->nodes[node - 1].process != 0) {
            kill(fleet->nodes[node - 1].process, SIGTERM);
        }
    }
    for (uint32_t node = 1; node <= fleet->count; node++) {
        if (fleet->nodes[node - 1].process != 0) {
            clean = fleet_end_node(fleet, node, SIGTERM) == 0 && clean;
        }
    }
    kill(fleet->emulator, SIGTERM);
    waitpid(fleet->emulator, NULL, 0);
    http_client_close();
    if (!clean) {
        ck_abort_msg("a daemon did not stop cleanly, see %s", fleet->folder);
    }
    snprintf(command, sizeof(command), "rm -rf '%s'", fleet->folder);
    ck_assert_int_eq(system(command), 0);
}

int fleet_ctl(const struct fleet *fleet, uint32_t node, const char *const *words, char **output)
{
    char server[64];
    char *arguments[FLEET_MAX_WORDS + 4] = {(char *)(uintptr_t) "bankbankctl", (char *)(uintptr_t) "--server", server};
    int count = 3;
    snprintf(server, sizeof(server), "127.0.0.1:%d", fleet->nodes[node - 1].operator_port);
    for (int i = 0; words[i] != NULL && i < FLEET_MAX_WORDS; i++) {
        arguments[count++] = (char *)(uintptr_t)words[i];
    }
    char log[64];
    snprintf(log, sizeof(log), "ctl-%d-%u.log", (int)getpid(), node);
    char path[512];
    snprintf(path, sizeof(path), "%s/%s", fleet->folder, log);
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

/* The last lines of each daemon's log, for a test that has failed. */
static void fleet_print_logs(const struct fleet *fleet)
{
    char command[1024];
    snprintf(command, sizeof(command), "tail -n %d '%s'/node-*.log '%s'/emulator.log", FLEET_LOG_LINES, fleet->folder,
             fleet->folder);
    int status = system(command);
    (void)status;
}

void fleet_must_ctl(const struct fleet *fleet, uint32_t node, const char *const *words)
{
    char *output = NULL;
    int status = fleet_ctl(fleet, node, words, &output);
    if (status != 0) {
        fleet_print_logs(fleet);
    }
    ck_assert_msg(status == 0, "bankbankctl %s %s at daemon %u exited with %d: %s", words[0], words[1], node, status,
                  output);
    free(output);
}

/* ---- Requests ---------------------------------------------------------------------------- */

static bool fleet_on_data(void *context, int status, struct view data)
{
    struct fleet_answer *answer = context;
    (void)status;
    buffer_append(&answer->body, data.data, data.length);
    return true;
}

static void fleet_on_header(void *context, const char *name, const char *value)
{
    struct fleet_answer *answer = context;
    if (strcasecmp(name, "X-Run-State") == 0) {
        snprintf(answer->run_state, sizeof(answer->run_state), "%s", value);
    } else if (strcasecmp(name, "Retry-After") == 0) {
        snprintf(answer->retry_after, sizeof(answer->retry_after), "%s", value);
    }
}

void fleet_request(int port, const char *method, const char *path, const char *body, const char *const *headers,
                   struct fleet_answer *answer)
{
    struct buffer url = {0};
    memset(answer, 0, sizeof(*answer));
    buffer_printf(&url, "http://127.0.0.1:%d%s", port, path);
    struct http_request request = {
        .method = method,
        .url = buffer_text(&url),
        .body = body == NULL ? (struct view){0} : view_of_string(body),
        .timeout_ms = FLEET_TIMEOUT_MS,
        .connect_timeout_ms = 2000,
        .at_most_once = true,
        .context = answer,
        .on_data = fleet_on_data,
        .on_header = fleet_on_header,
    };
    for (int i = 0; headers != NULL && headers[i] != NULL; i++) {
        http_request_header(&request, "%s", headers[i]);
    }
    answer->whole = http_client_run(&request, &answer->status) == HTTP_TRANSFER_DONE;
    http_request_close(&request);
    buffer_close(&url);
}

void fleet_answer_close(struct fleet_answer *answer)
{
    buffer_close(&answer->body);
}

int fleet_connect(int port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons((uint16_t)port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int file = socket(AF_INET, SOCK_STREAM, 0);
    struct timeval limit = {.tv_sec = FLEET_LIMIT_MS / 1000};
    setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ck_assert_int_eq(connect(file, (struct sockaddr *)&address, sizeof(address)), 0);
    return file;
}

char *fleet_raw(int port, const char *bytes, size_t length, bool half_close)
{
    struct buffer reply = {0};
    char part[4096];
    int file = fleet_connect(port);
    ssize_t sent = send(file, bytes, length, MSG_NOSIGNAL);
    (void)sent; /* the daemon may close before it has read everything */
    if (half_close) {
        shutdown(file, SHUT_WR);
    }
    for (ssize_t got; (got = recv(file, part, sizeof(part), 0)) > 0;) {
        buffer_append(&reply, part, (size_t)got);
    }
    close(file);
    return buffer_text(&reply);
}

/* ---- Programs ------------------------------------------------------------------------------ */

void fleet_create_program(const struct fleet *fleet, uint32_t node, char *id, size_t size)
{
    struct fleet_answer answer;
    fleet_request(fleet->nodes[node - 1].caller_port, "POST", "/v1/programs",
                  "{\"policy\":\"default\",\"budget_tokens\":100000}", NULL, &answer);
    ck_assert_int_eq(answer.status / 100, 2);
    json_t *body = json_loads(buffer_text(&answer.body), 0, NULL);
    snprintf(id, size, "%s", json_string_value(json_object_get(body, "id")));
    json_decref(body);
    fleet_answer_close(&answer);
}

void fleet_ask(const struct fleet *fleet, uint32_t node, const char *program, uint32_t number, const char *text,
               bool stream, const char *const *options, struct fleet_answer *answer)
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
    fleet_request(fleet->nodes[node - 1].caller_port, "POST", "/v1/chat/completions", body, headers, answer);
}

char *fleet_must_answer(const struct fleet *fleet, uint32_t node, const char *program, uint32_t number,
                        const char *text)
{
    struct fleet_answer answer;
    uint64_t limit_ms = clock_monotonic_ms() + FLEET_LIMIT_MS;
    fleet_ask(fleet, node, program, number, text, false, NULL, &answer);
    while (answer.status == FLEET_UNAVAILABLE && clock_monotonic_ms() < limit_ms) {
        fleet_answer_close(&answer);
        clock_sleep_us(FLEET_RETRY_US);
        fleet_ask(fleet, node, program, number, text, false, NULL, &answer);
    }
    if (answer.status != 200) {
        ck_abort_msg("call %u through node %u: %d %s", number, node, answer.status, buffer_text(&answer.body));
    }
    ck_assert_str_eq(answer.run_state, "run");
    json_t *body = json_loads(buffer_text(&answer.body), 0, NULL);
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    char *content = text_copy(json_string_value(json_object_get(json_object_get(choice, "message"), "content")));
    json_decref(body);
    fleet_answer_close(&answer);
    return content;
}

void fleet_must_verify(const struct fleet *fleet, uint32_t node, const char *program, uint64_t answers)
{
    char path[256];
    uint64_t found = 0;
    struct fleet_answer answer;
    snprintf(path, sizeof(path), "/v1/programs/%s/history", program);
    fleet_request(fleet->nodes[node - 1].caller_port, "GET", path, NULL, NULL, &answer);
    uint64_t limit_ms = clock_monotonic_ms() + FLEET_LIMIT_MS;
    while (answer.status == FLEET_UNAVAILABLE && clock_monotonic_ms() < limit_ms) {
        fleet_answer_close(&answer);
        clock_sleep_us(FLEET_RETRY_US);
        fleet_request(fleet->nodes[node - 1].caller_port, "GET", path, NULL, NULL, &answer);
    }
    ck_assert_int_eq(answer.status, 200);
    json_t *history = json_loads(buffer_text(&answer.body), 0, NULL);
    ck_assert_uint_eq(answer_verify(json_object_get(history, "messages"), FLEET_MAX_TOKENS, &found), 0);
    ck_assert_uint_eq(found, answers);
    ck_assert_uint_eq(json_array_size(json_object_get(history, "messages")), 2 * answers);
    json_decref(history);
    fleet_answer_close(&answer);
}

/* ---- Stand-ins -------------------------------------------------------------------------------- */

void fleet_set_fault(const struct fleet *fleet, const char *fault, int amount, int count)
{
    fleet_set_fault_at(fleet, FLEET_ENGINES, fault, amount, count);
}

void fleet_set_fault_at(const struct fleet *fleet, int engines, const char *fault, int amount, int count)
{
    for (int engine = 0; engine < engines; engine++) {
        char body[160];
        struct fleet_answer answer;
        snprintf(body, sizeof(body), "{\"engine\":%d,\"fault\":\"%s\",\"amount\":%d,\"count\":%d}", engine, fault,
                 amount, count);
        fleet_request(fleet->emulator_port, "POST", "/control/fault", body, NULL, &answer);
        ck_assert_int_eq(answer.status, 200);
        fleet_answer_close(&answer);
    }
}

json_int_t fleet_sum(const struct fleet *fleet, const char *kind, const char *statistic)
{
    struct fleet_answer answer;
    json_int_t sum = 0;
    size_t position;
    json_t *item;
    fleet_request(fleet->emulator_port, "GET", "/control/stats", NULL, NULL, &answer);
    json_t *stats = json_loads(buffer_text(&answer.body), 0, NULL);
    ck_assert_ptr_nonnull(stats);
    json_array_foreach(json_object_get(stats, kind), position, item)
    {
        sum += json_integer_value(json_object_get(item, statistic));
    }
    json_decref(stats);
    fleet_answer_close(&answer);
    return sum;
}

double fleet_metric(const struct fleet *fleet, uint32_t node, const char *name)
{
    struct fleet_answer answer;
    char line[128];
    fleet_request(fleet->nodes[node - 1].operator_port, "GET", "/metrics", NULL, NULL, &answer);
    snprintf(line, sizeof(line), "\n%s ", name);
    const char *found = strstr(buffer_text(&answer.body), line);
    double value = found == NULL ? -1 : strtod(found + strlen(line), NULL);
    fleet_answer_close(&answer);
    return value;
}
