#include "ports.h"
#include "site.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/http_reader.h"

enum {
    SITE_DAEMONS = SITE_STATES + SITE_GATEWAYS,
    SITE_HEAD = 1 << 14,
    SITE_EVENTS = 3,
    SITE_STEP_US = 10000,
    SITE_PADDING = 1024
};

const char *site_build = "build";
int site_caller_port;
int site_control_port;
int site_ready_port;
int site_metrics_port;
static int site_peer_port;
static int site_list_port;
static char site_folder[64];
static pid_t site_processes[SITE_DAEMONS];
static bool site_formed;

/* One back end of the stand-in. */
struct site_server {
    int listener;
    int port;
    enum site_mode mode;
    bool draining;
    int runs;
};

static pthread_mutex_t site_lock = PTHREAD_MUTEX_INITIALIZER;
static struct site_server site_servers[SITE_SERVERS];
static int site_list_listener;
static char *site_body;
static int site_cancellations;

/* ---- Sockets ------------------------------------------------------------------------ */

static struct sockaddr_in site_address(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

int site_connect(const char *ip, int port)
{
    struct sockaddr_in address = site_address(ip, port);
    struct timeval limit = {.tv_sec = SITE_LIMIT_MS / 1000};
    int on = 1;
    int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(file, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(file);
        return -1;
    }
    return file;
}

static int site_listen(const char *ip, int *port)
{
    struct sockaddr_in address = site_address(ip, 0);
    socklen_t size = sizeof(address);
    int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(file, (struct sockaddr *)&address, sizeof(address)), 0);
    ck_assert_int_eq(listen(file, 128), 0);
    getsockname(file, (struct sockaddr *)&address, &size);
    *port = ntohs(address.sin_port);
    return file;
}

static void site_send(int file, const char *text, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(file, text, length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        text += sent;
        length -= (size_t)sent;
    }
}

/* ---- Reading messages ------------------------------------------------------------------ */

static bool site_on_head(void *context, struct http_reader *reader)
{
    (void)context;
    (void)reader;
    return true;
}

static bool site_on_body(void *context, struct http_reader *reader, struct view part)
{
    (void)reader;
    buffer_append(context, part.data, part.length);
    return true;
}

/* Reads one message; false: the connection ended first. */
static bool site_read(int file, struct http_reader *reader, enum http_parser_type type, struct buffer *body)
{
    char part[4096];
    memset(reader, 0, sizeof(*reader));
    reader->type = type;
    reader->max_head_bytes = SITE_HEAD;
    reader->max_body_bytes = 1 << 24;
    reader->events = (struct http_reader_events){body, site_on_head, site_on_body, site_on_head};
    http_reader_reset(reader);
    while (!reader->complete && reader->fault == HTTP_FAULT_NONE) {
        ssize_t got = recv(file, part, sizeof(part), 0);
        if (got <= 0) {
            http_reader_end(reader);
            break;
        }
        http_reader_feed(reader, (const uint8_t *)part, (size_t)got);
    }
    return reader->complete;
}

/* ---- Servers --------------------------------------------------------------------------------- */

struct site_connection {
    int file;
    struct site_server *server;
};

static void site_write_events(int file, const char *id, enum site_mode mode)
{
    struct buffer out = {0};
    buffer_printf(&out,
                  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                  "Bankbank-Request-Id: %s\r\nBankbank-Server-Signature: signed\r\n\r\n",
                  id);
    int events = mode == SITE_LONG ? SITE_LONG_EVENTS : SITE_EVENTS;
    int padding = mode == SITE_LONG ? SITE_PADDING : 0;
    for (int i = 1; i <= events; i++) {
        char event[SITE_PADDING + 64];
        int length = snprintf(event, sizeof(event), "id: %d\ndata: piece-%d%*s\n\n", i, i, padding, "");
        buffer_printf(&out, "%x\r\n%s\r\n", length, event);
        if (mode == SITE_CUT_MIDWAY && i == 2) {
            site_send(file, buffer_text(&out), out.length);
            buffer_close(&out);
            return;
        }
    }
    buffer_append_text(&out, "0\r\n\r\n");
    site_send(file, buffer_text(&out), out.length);
    buffer_close(&out);
}

static void site_write_plain(int file, const char *id, enum site_mode mode)
{
    struct buffer out = {0};
    buffer_printf(&out,
                  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nBankbank-Request-Id: %s\r\n",
                  mode == SITE_CROSSED ? "another" : id);
    buffer_append_text(&out, mode == SITE_UNSIGNED ? "" : "Bankbank-Server-Signature: signed\r\n");
    buffer_append_text(&out, mode == SITE_ENCODED ? "Content-Encoding: gzip\r\n" : "");
    buffer_append_text(&out, mode == SITE_CUT_MIDWAY ? "\r\nhe" : "\r\nhello");
    buffer_append_text(&out, mode == SITE_EXTRA ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : "");
    site_send(file, buffer_text(&out), out.length);
    buffer_close(&out);
}

/* Waits until the client closes or a second is over; true: it closed. */
static bool site_client_closes(int file, int wait_ms)
{
    struct timeval limit = {.tv_sec = wait_ms / 1000, .tv_usec = wait_ms % 1000 * 1000};
    char byte;
    setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    return recv(file, &byte, 1, 0) == 0;
}

/* Serves one request; false: the connection ends. */
static bool site_serve(int file, struct site_server *server)
{
    struct http_reader reader;
    struct buffer body = {0};
    bool goes_on = false;
    if (!site_read(file, &reader, HTTP_REQUEST, &body)) {
        goto out;
    }
    struct view id_view = http_reader_header(&reader, "Bankbank-Request-Id");
    char id[64];
    snprintf(id, sizeof(id), "%.*s", (int)id_view.length, (const char *)id_view.data);
    pthread_mutex_lock(&site_lock);
    enum site_mode mode = server->mode;
    bool runs = mode != SITE_REFUSE && mode != SITE_MISDIRECTED;
    server->runs += runs ? 1 : 0;
    if (runs) {
        free(site_body);
        site_body = memory_copy(body.data, body.length);
    }
    pthread_mutex_unlock(&site_lock);
    bool stream = memmem(reader.target.data, reader.target.length, "/chat/", 6) != NULL;
    goes_on = true;
    switch (mode) {
    case SITE_REFUSE: {
        static const char refused[] = "HTTP/1.1 503 No\r\nBankbank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        site_send(file, refused, sizeof(refused) - 1);
        break;
    }
    case SITE_MISDIRECTED: {
        static const char other[] = "HTTP/1.1 421 No\r\nBankbank-Instance-Id: other\r\nContent-Length: 0\r\n\r\n";
        site_send(file, other, sizeof(other) - 1);
        break;
    }
    case SITE_CUT: goes_on = false; break;
    case SITE_SILENT:
    case SITE_SLOW:
        if (site_client_closes(file, mode == SITE_SLOW ? 1000 : SITE_LIMIT_MS)) {
            pthread_mutex_lock(&site_lock);
            site_cancellations++;
            pthread_mutex_unlock(&site_lock);
            goes_on = false;
            break;
        }
        /* fall through */
    default:
        if (stream) {
            site_write_events(file, id, mode);
        } else {
            site_write_plain(file, id, mode);
        }
        goes_on = mode != SITE_CUT_MIDWAY;
        break;
    }
out:
    http_reader_close(&reader);
    buffer_close(&body);
    return goes_on;
}

static void *site_run_connection(void *argument)
{
    struct site_connection *connection = argument;
    while (site_serve(connection->file, connection->server)) {
    }
    close(connection->file);
    free(connection);
    return NULL;
}

static void *site_run_server(void *argument)
{
    struct site_server *server = argument;
    for (;;) {
        int file = accept(server->listener, NULL, NULL);
        if (file < 0) {
            return NULL;
        }
        struct site_connection *connection = memory_new(sizeof(*connection));
        pthread_t thread;
        connection->file = file;
        connection->server = server;
        pthread_create(&thread, NULL, site_run_connection, connection);
        pthread_detach(thread);
    }
}

static void site_write_list(struct buffer *out)
{
    buffer_append_text(out, "{\"instances\":[");
    pthread_mutex_lock(&site_lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        buffer_printf(out,
                      "%s{\"id\":\"server-%d\",\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\","
                      "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\",\"cold-remaining-ms\":0,\"unknown\":[1]}",
                      i == 0 ? "" : ",", i, i < 2 ? "engine" : "plain", site_servers[i].port,
                      site_servers[i].draining ? "draining" : "ready");
    }
    pthread_mutex_unlock(&site_lock);
    buffer_append_text(out, "],\"next-token\":null}");
}

static void *site_run_list(void *argument)
{
    (void)argument;
    for (;;) {
        int file = accept(site_list_listener, NULL, NULL);
        if (file < 0) {
            return NULL;
        }
        struct http_reader reader;
        struct buffer body = {0};
        struct buffer list = {0};
        struct buffer out = {0};
        if (site_read(file, &reader, HTTP_REQUEST, &body)) {
            site_write_list(&list);
            buffer_printf(&out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n%s", list.length,
                          buffer_text(&list));
            site_send(file, buffer_text(&out), out.length);
        }
        close(file);
        http_reader_close(&reader);
        buffer_close(&body);
        buffer_close(&list);
        buffer_close(&out);
    }
}

void site_set_mode(int server, enum site_mode mode)
{
    pthread_mutex_lock(&site_lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        if (server < 0 || server == i) {
            site_servers[i].mode = mode;
            site_servers[i].runs = 0;
        }
    }
    site_cancellations = 0;
    pthread_mutex_unlock(&site_lock);
}

void site_set_draining(int server, bool draining)
{
    pthread_mutex_lock(&site_lock);
    site_servers[server].draining = draining;
    pthread_mutex_unlock(&site_lock);
}

int site_runs(int server)
{
    int runs = 0;
    pthread_mutex_lock(&site_lock);
    for (int i = 0; i < SITE_SERVERS; i++) {
        runs += server < 0 || server == i ? site_servers[i].runs : 0;
    }
    pthread_mutex_unlock(&site_lock);
    return runs;
}

char *site_last_body(void)
{
    pthread_mutex_lock(&site_lock);
    char *copy = text_copy(site_body);
    pthread_mutex_unlock(&site_lock);
    return copy;
}

int site_cancelled(void)
{
    pthread_mutex_lock(&site_lock);
    int count = site_cancellations;
    pthread_mutex_unlock(&site_lock);
    return count;
}

/* ---- Daemons ------------------------------------------------------------------------------------- */

static const char *site_ip(int daemon)
{
    static const char *const ips[SITE_DAEMONS] = {"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1", "127.0.2.2"};
    return ips[daemon];
}

const char *site_caller_ip(int gateway)
{
    return site_ip(SITE_STATES + gateway);
}

const char *site_control_ip(int state)
{
    return site_ip(state);
}

pid_t site_process(int daemon)
{
    return site_processes[daemon];
}

static void site_write_settings(int daemon, const char *path)
{
    bool gateway = daemon >= SITE_STATES;
    FILE *file = fopen(path, "w");
    ck_assert_ptr_nonnull(file);
    fprintf(file, "name: \"machine-%d\"\nzone: \"z%d\"\nip: \"%s\"\npeer_port: %d\nbootstrap: %s\n", daemon,
            daemon % SITE_STATES + 1, site_ip(daemon), site_peer_port, site_formed ? "false" : "true");
    fprintf(file, "machine_list: \"127.0.0.1:%d\"\nlist_period_ms: 100\ngrace_s: 6\n", site_list_port);
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
        fprintf(file, "  - address: \"%s:%d\"\n", site_ip(i), site_control_port);
    }
    fclose(file);
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
    snprintf(program, sizeof(program), "%s/bankbank-site", site_build);
    ck_assert_int_eq(system(data), 0);
    site_write_settings(daemon, settings);
    site_processes[daemon] = fork();
    ck_assert_int_ge(site_processes[daemon], 0);
    if (site_processes[daemon] == 0) {
        int file = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        execl(program, program, "--config", settings, (char *)NULL);
        _exit(127);
    }
}

int site_end_daemon(int daemon, int signal_number)
{
    int status = 0;
    ck_assert_int_gt(site_processes[daemon], 0);
    kill(site_processes[daemon], signal_number);
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
    static const char format[] =
        "{\"version\":%d,\"unknown\":{},\"routes\":["
        "{\"name\":\"safe\",\"host\":\"app.example\",\"path-prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout-ms\":3000,"
        "\"target-latency-ms\":150,\"service\":\"plain\",\"max-attempts\":2%s},"
        "{\"name\":\"once\",\"host\":\"app.example\",\"path-prefix\":\"/once/\",\"kind\":\"unsafe\","
        "\"timeout-ms\":3000,\"service\":\"plain\",\"max-attempts\":1},"
        "{\"name\":\"chat\",\"host\":\"app.example\",\"path-prefix\":\"/chat/\",\"kind\":\"streaming\","
        "\"timeout-ms\":3000,\"service\":\"engine\",\"max-attempts\":1,\"stateful\":true,\"retention-s\":60.0,"
        "\"sticky\":true}],"
        "\"services\":[{\"name\":\"engine\",\"engine\":{\"chunk-size\":5,\"slots\":4}},{\"name\":\"plain\"}],"
        "\"limits\":{\"max-header-bytes\":8192,\"max-body-bytes\":65536,\"header-timeout-ms\":1000,"
        "\"idle-timeout-ms\":5000}}";
    struct buffer text = {0};
    buffer_printf(&text, format, version, extra); // NOLINT
    return buffer_text(&text);
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

void site_start(void)
{
    pthread_t thread;
    signal(SIGPIPE, SIG_IGN);
    snprintf(site_folder, sizeof(site_folder), "/tmp/bankbank-site-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(site_folder));
    site_caller_port = ports_take();
    site_control_port = ports_take();
    site_ready_port = ports_take();
    site_metrics_port = ports_take();
    site_peer_port = ports_take();
    site_list_listener = site_listen("127.0.0.1", &site_list_port);
    pthread_create(&thread, NULL, site_run_list, NULL);
    for (int i = 0; i < SITE_SERVERS; i++) {
        site_servers[i].listener = site_listen("127.0.0.1", &site_servers[i].port);
        pthread_create(&thread, NULL, site_run_server, &site_servers[i]);
    }
    for (int i = 0; i < SITE_DAEMONS; i++) {
        site_start_daemon(i);
    }
    char *configuration = site_configuration(1, "");
    site_wait(site_takes_configuration, configuration, "the first configuration is taken");
    free(configuration);
    site_formed = true;
    for (int i = 0; i < SITE_GATEWAYS; i++) {
        site_wait(site_is_ready, &i, "the gateways are ready");
    }
}

void site_stop(void)
{
    char command[128];
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
    snprintf(command, sizeof(command), "rm -rf %s", site_folder);
    ck_assert_int_eq(system(command), 0);
}
