#define _GNU_SOURCE
#include "deployment.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum { HEAD_MAX = 16384, STORE_MB = 280, EDGE_MB = 260, GRACE_S = 8, DRAIN_MS = 3000 };

struct server {
    char id[24];
    char service[24];
    char address[32];
    int port;
    bool stream;
    bool draining;
    int work_ms;
    int max_connections; /* 0: no limit */
    int connections;
};

char dep_folder[256];
int dep_caller_port;
static int ready_port, control_port, metrics_port, peer_port, list_port;
static char program[512];
static FILE *record_file;
static uint64_t opened_ms;
static pid_t processes[DEP_MACHINES];
static bool bootstrapped;
static struct server servers[DEP_MAX_SERVERS];
static int server_count;
static int stream_events = 8;
static int stream_gap_ms = 5;
static int long_events;
static int long_gap_ms;
static struct dep_run *runs;
static int run_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
bool (*dep_on_request)(int server, int fd, const char *head, const char *body, size_t length, int nth);

static const char *const zones[] = {"brum-hall", "cov-hall", "wolves-hall"};

/* ---- The script ------------------------------------------------------------------------------- */

uint64_t dep_now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void dep_sleep_ms(uint64_t ms)
{
    struct timespec pause = {(time_t)(ms / 1000), (long)(ms % 1000) * 1000000};
    nanosleep(&pause, NULL);
}

void dep_record(const char *format, ...)
{
    char line[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    double at = (double)(dep_now_ms() - opened_ms) / 1000;
    pthread_mutex_lock(&record_lock);
    if (record_file != NULL) {
        fprintf(record_file, "%8.3f s  %s\n", at, line);
        fflush(record_file);
    }
    pthread_mutex_unlock(&record_lock);
}

uint64_t dep_hash(const void *data, size_t length)
{
    const unsigned char *bytes = data;
    uint64_t hash = 1469598103934665603ULL;
    for (size_t i = 0; i < length; i++) {
        hash = (hash ^ bytes[i]) * 1099511628211ULL;
    }
    return hash;
}

bool dep_trouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}

static void end_processes(void)
{
    for (int i = 0; i < DEP_MACHINES; i++) {
        if (processes[i] > 0) {
            kill(processes[i], SIGKILL);
            kill(processes[i], SIGCONT);
            waitpid(processes[i], NULL, 0);
            processes[i] = 0;
        }
    }
}

static void remove_folder(void)
{
    if (dep_folder[0] == '\0') {
        return;
    }
    pid_t pid = fork();
    if (pid == 0) {
        execlp("rm", "rm", "-rf", dep_folder, (char *)NULL);
        _exit(127);
    }
    waitpid(pid, NULL, 0);
}

void dep_finish(int status, const char *why)
{
    static const char *const outcomes[] = {"the rule held", "THE RULE WAS BROKEN", "the case could not run"};
    dep_record("%s: %s", outcomes[status], why);
    printf("%s: %s\n", outcomes[status], why);
    end_processes();
    if (getenv("KEEP") == NULL) {
        remove_folder();
    } else {
        printf("kept %s\n", dep_folder);
    }
    fflush(NULL);
    _exit(status);
}

static void *watchdog(void *argument)
{
    dep_sleep_ms((uint64_t)(intptr_t)argument * 1000);
    dep_finish(DEP_COULD_NOT_RUN, "out of time");
    return NULL;
}

static void on_signal(int number)
{
    (void)number;
    end_processes();
    remove_folder();
    _exit(DEP_COULD_NOT_RUN);
}

static int free_port(void)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    if (fd < 0 || bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        dep_finish(DEP_COULD_NOT_RUN, "no free port");
    }
    close(fd);
    return ntohs(address.sin_port);
}

void dep_open(int argc, char **argv, int limit_s)
{
    opened_ms = dep_now_ms();
    if (argc < 3) {
        fprintf(stderr, "usage: %s REPOSITORY RECORD\n", argv[0]);
        _exit(DEP_COULD_NOT_RUN);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    record_file = fopen(argv[2], "w");
    snprintf(program, sizeof(program), "%s/target/bankbank-site", argv[1]);
    if (access(program, X_OK) != 0) {
        dep_finish(DEP_COULD_NOT_RUN, "target/bankbank-site is missing: build it by the deploy file first");
    }
    const char *base = getenv("TMPDIR");
    snprintf(dep_folder, sizeof(dep_folder), "%s/bankbank-review-XXXXXX", base == NULL ? "/tmp" : base);
    if (mkdtemp(dep_folder) == NULL) {
        dep_folder[0] = '\0';
        dep_finish(DEP_COULD_NOT_RUN, "no temporary folder");
    }
    runs = calloc(DEP_MAX_RUNS, sizeof(*runs));
    dep_caller_port = free_port();
    ready_port = free_port();
    control_port = free_port();
    metrics_port = free_port();
    peer_port = free_port();
    list_port = free_port();
    pthread_t thread;
    pthread_create(&thread, NULL, watchdog, (void *)(intptr_t)limit_s);
    dep_record("TROUBLE=%d", dep_trouble() ? 1 : 0);
}

void dep_wait_until(bool reached, const char *what)
{
    if (!reached) {
        char text[256];
        snprintf(text, sizeof(text), "not reached in time: %s", what);
        dep_finish(DEP_COULD_NOT_RUN, text);
    }
}

/* ---- Sockets ----------------------------------------------------------------------------------- */

static int connect_to(const char *ip, int port, int timeout_ms)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    struct timeval limit = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool send_all(int fd, const void *data, size_t length)
{
    const char *at = data;
    while (length > 0) {
        ssize_t sent = send(fd, at, length, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        at += sent;
        length -= (size_t)sent;
    }
    return true;
}

static int listen_on(const char *ip, int *port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)*port)};
    socklen_t size = sizeof(address);
    inet_pton(AF_INET, ip, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 || listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        dep_finish(DEP_COULD_NOT_RUN, "a stand-in cannot listen");
    }
    *port = ntohs(address.sin_port);
    return fd;
}

/* The value of a header in a head, copied to `out`; false: absent. */
static bool header_value(const char *head, const char *name, char *out, size_t size)
{
    size_t length = strlen(name);
    for (const char *line = strstr(head, "\r\n"); line != NULL; line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, name, length) == 0 && line[2 + length] == ':') {
            const char *value = line + 2 + length + 1;
            value += strspn(value, " \t");
            size_t used = strcspn(value, "\r\n");
            used = used < size - 1 ? used : size - 1;
            memcpy(out, value, used);
            out[used] = '\0';
            return true;
        }
    }
    return false;
}

/* ---- Servers ------------------------------------------------------------------------------------ */

struct accepted {
    int fd;
    int server;
};

static void record_run(int server, const char *id, const char *body, size_t length)
{
    pthread_mutex_lock(&lock);
    if (run_count < DEP_MAX_RUNS) {
        struct dep_run *run = &runs[run_count++];
        snprintf(run->id, sizeof(run->id), "%s", id);
        run->server = server;
        run->body_hash = dep_hash(body, length);
        run->body_length = length;
        run->at_ms = dep_now_ms();
    }
    pthread_mutex_unlock(&lock);
    dep_record("server %s runs %s (%zu bytes)", servers[server].id, id, length);
}

void dep_set_long_events(int events, int gap_ms)
{
    long_events = events;
    long_gap_ms = gap_ms;
}

int dep_runs_of(const char *id)
{
    int count = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < run_count; i++) {
        count += strcmp(runs[i].id, id) == 0 ? 1 : 0;
    }
    pthread_mutex_unlock(&lock);
    return count;
}

const struct dep_run *dep_last_run(const char *id)
{
    const struct dep_run *found = NULL;
    pthread_mutex_lock(&lock);
    for (int i = run_count - 1; i >= 0 && found == NULL; i--) {
        found = strcmp(runs[i].id, id) == 0 ? &runs[i] : NULL;
    }
    pthread_mutex_unlock(&lock);
    return found;
}

static bool answer_stream(int fd, const char *id, int from, int events, int gap_ms)
{
    char head[512];
    int length = snprintf(head, sizeof(head),
                          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBankbank-Request-Id: %s\r\n"
                          "Bankbank-Server-Signature: s.%s\r\nTransfer-Encoding: chunked\r\n\r\n",
                          id, id);
    if (!send_all(fd, head, (size_t)length)) {
        return false;
    }
    for (int i = from + 1; i <= events; i++) {
        char event[256];
        char chunk[320];
        dep_sleep_ms((uint64_t)gap_ms);
        int bytes = snprintf(event, sizeof(event), "id: %d\ndata: %s-%d\n\n", i, id, i);
        length = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", (unsigned)bytes, event);
        if (!send_all(fd, chunk, (size_t)length)) {
            return false;
        }
    }
    return send_all(fd, "0\r\n\r\n", 5);
}

static bool answer_plain(int fd, const char *id)
{
    char text[512];
    int length = snprintf(text, sizeof(text),
                          "HTTP/1.1 200 OK\r\nBankbank-Request-Id: %s\r\nBankbank-Server-Signature: s.%s\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          id, id, strlen(id), id);
    return send_all(fd, text, (size_t)length);
}

/* Reads one request; `*used` bytes of `buffer` belong to it. False: the connection ended. */
static bool read_request(int fd, char **buffer, size_t *held, size_t *capacity, size_t *head_bytes, size_t *body_bytes)
{
    char value[32];
    *head_bytes = 0;
    while (true) {
        char *end = *held > 0 ? memmem(*buffer, *held, "\r\n\r\n", 4) : NULL;
        if (end != NULL) {
            *head_bytes = (size_t)(end - *buffer) + 4;
            char saved = (*buffer)[*head_bytes];
            (*buffer)[*head_bytes] = '\0';
            *body_bytes = header_value(*buffer, "Content-Length", value, sizeof(value)) ? strtoul(value, NULL, 10) : 0;
            (*buffer)[*head_bytes] = saved;
            if (*held >= *head_bytes + *body_bytes) {
                return true;
            }
        }
        if (*held + 65536 + 1 > *capacity) {
            *capacity = 2 * *capacity + 2 * 65536;
            *buffer = realloc(*buffer, *capacity);
        }
        ssize_t got = recv(fd, *buffer + *held, 65536, 0);
        if (got <= 0) {
            return false;
        }
        *held += (size_t)got;
        (*buffer)[*held] = '\0';
    }
}

static bool serve_request(int server, int fd, const char *head, const char *body, size_t length, int nth)
{
    char id[40] = "";
    char expected[40] = "";
    char from[16] = "";
    header_value(head, "Bankbank-Request-Id", id, sizeof(id));
    if (header_value(head, "Bankbank-Expect-Instance", expected, sizeof(expected)) &&
        strcmp(expected, servers[server].id) != 0) {
        char text[256];
        int bytes = snprintf(text, sizeof(text),
                             "HTTP/1.1 421 Misdirected Request\r\nBankbank-Instance-Id: %s\r\n"
                             "Bankbank-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
                             servers[server].id, id);
        return send_all(fd, text, (size_t)bytes);
    }
    if (id[0] == '\0') {
        static const char refusal[] = "HTTP/1.1 400 Bad Request\r\nBankbank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        return send_all(fd, refusal, sizeof(refusal) - 1);
    }
    if (dep_on_request != NULL && dep_on_request(server, fd, head, body, length, nth)) {
        return false;
    }
    record_run(server, id, body, length);
    if (servers[server].work_ms > 0) {
        dep_sleep_ms((uint64_t)servers[server].work_ms);
    }
    bool resumed = header_value(head, "Last-Event-Id", from, sizeof(from));
    bool is_long = long_events > 0 && strstr(head, "/long HTTP/1.1") != NULL;
    return servers[server].stream ? answer_stream(fd, id, resumed ? atoi(from) : 0,
                                                  is_long ? long_events : stream_events,
                                                  is_long ? long_gap_ms : stream_gap_ms)
                                  : answer_plain(fd, id);
}

static void *serve_connection(void *argument)
{
    struct accepted *accepted = argument;
    char *buffer = NULL;
    size_t held = 0, capacity = 0, head_bytes = 0, body_bytes = 0;
    int nth = 0;
    bool open = true;
    while (open && read_request(accepted->fd, &buffer, &held, &capacity, &head_bytes, &body_bytes)) {
        char *head = strndup(buffer, head_bytes);
        open = serve_request(accepted->server, accepted->fd, head, buffer + head_bytes, body_bytes, nth++);
        free(head);
        held -= head_bytes + body_bytes;
        memmove(buffer, buffer + head_bytes + body_bytes, held);
        buffer[held] = '\0';
    }
    close(accepted->fd);
    __atomic_sub_fetch(&servers[accepted->server].connections, 1, __ATOMIC_SEQ_CST);
    free(buffer);
    free(accepted);
    return NULL;
}

struct acceptor {
    int listener;
    int server;
    char ip[24];
};

static int open_connections(const struct server *server)
{
    return __atomic_load_n(&server->connections, __ATOMIC_SEQ_CST);
}

/* At its limit a server does not listen: the kernel answers further connections with a reset. */
static void keep_to_limit(struct acceptor *acceptor)
{
    struct server *server = &servers[acceptor->server];
    if (server->max_connections == 0 || open_connections(server) < server->max_connections) {
        return;
    }
    close(acceptor->listener);
    while (open_connections(server) >= server->max_connections) {
        dep_sleep_ms(5);
    }
    acceptor->listener = listen_on(acceptor->ip, &server->port);
}

static void *accept_connections(void *argument)
{
    struct acceptor *acceptor = argument;
    while (true) {
        keep_to_limit(acceptor);
        int fd = accept4(acceptor->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        struct accepted *accepted = malloc(sizeof(*accepted));
        *accepted = (struct accepted){fd, acceptor->server};
        __atomic_add_fetch(&servers[acceptor->server].connections, 1, __ATOMIC_SEQ_CST);
        pthread_t thread;
        if (pthread_create(&thread, NULL, serve_connection, accepted) == 0) {
            pthread_detach(thread);
        } else {
            close(fd);
            __atomic_sub_fetch(&servers[acceptor->server].connections, 1, __ATOMIC_SEQ_CST);
            free(accepted);
        }
    }
    return NULL;
}

int dep_add_server(const char *service, bool stream)
{
    int number = server_count++;
    struct server *server = &servers[number];
    struct acceptor *acceptor = malloc(sizeof(*acceptor));
    char ip[24];
    snprintf(ip, sizeof(ip), "127.0.9.%d", number + 1);
    snprintf(server->id, sizeof(server->id), "i-%d", number + 1);
    snprintf(server->service, sizeof(server->service), "%s", service);
    server->stream = stream;
    acceptor->server = number;
    snprintf(acceptor->ip, sizeof(acceptor->ip), "%s", ip);
    acceptor->listener = listen_on(ip, &server->port);
    snprintf(server->address, sizeof(server->address), "%s:%d", ip, server->port);
    pthread_t thread;
    pthread_create(&thread, NULL, accept_connections, acceptor);
    return number;
}

void dep_set_draining(int server, bool draining)
{
    servers[server].draining = draining;
}

void dep_set_max_connections(int server, int most)
{
    servers[server].max_connections = most;
}

const char *dep_server_id(int server)
{
    return servers[server].id;
}

int dep_servers_of(const char *id)
{
    unsigned seen = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < run_count; i++) {
        seen |= strcmp(runs[i].id, id) == 0 ? 1U << runs[i].server : 0;
    }
    pthread_mutex_unlock(&lock);
    return __builtin_popcount(seen);
}

void dep_count_run(int server, const char *id, const char *body, size_t length)
{
    record_run(server, id, body, length);
}

void dep_set_work_ms(int server, int ms)
{
    servers[server].work_ms = ms;
}

void dep_set_events(int events, int gap_ms)
{
    stream_events = events;
    stream_gap_ms = gap_ms;
}

/* ---- The platform's list ------------------------------------------------------------------------- */

static void *serve_list(void *argument)
{
    int listener = (int)(intptr_t)argument;
    while (true) {
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
        char request[HEAD_MAX];
        size_t held = 0;
        struct timeval limit = {1, 0};
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        while (held < sizeof(request) - 1) {
            ssize_t got = recv(fd, request + held, sizeof(request) - 1 - held, 0);
            if (got <= 0) {
                break;
            }
            held += (size_t)got;
            request[held] = '\0';
            if (strstr(request, "\r\n\r\n") != NULL) {
                break;
            }
        }
        char body[8192];
        size_t length = (size_t)snprintf(body, sizeof(body), "{\"instances\":[");
        for (int i = 0; i < server_count; i++) {
            length += (size_t)snprintf(body + length, sizeof(body) - length,
                                       "%s{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                                       "\"slots\":12,\"state\":\"%s\",\"cold-remaining-ms\":0,\"id\":\"%s\"}",
                                       i == 0 ? "" : ",", servers[i].service, servers[i].address, zones[i % 3],
                                       servers[i].draining ? "draining" : "ready", servers[i].id);
        }
        length += (size_t)snprintf(body + length, sizeof(body) - length, "],\"next-token\":null}");
        char head[256];
        int bytes = snprintf(head, sizeof(head),
                             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n"
                             "Connection: close\r\n\r\n",
                             length);
        if (send_all(fd, head, (size_t)bytes)) {
            send_all(fd, body, length);
        }
        close(fd);
    }
    return NULL;
}

void dep_start_platform(void)
{
    pthread_t thread;
    int listener = listen_on("127.0.0.1", &list_port);
    pthread_create(&thread, NULL, serve_list, (void *)(intptr_t)listener);
}

/* ---- Machines --------------------------------------------------------------------------------------- */

static bool is_store(int machine)
{
    return machine < DEP_STORES;
}

const char *dep_name(int machine)
{
    static const char *const names[DEP_MACHINES] = {"storage-brum-hall-1", "storage-cov-hall-1", "storage-wolves-hall-1",
                                                    "edge-brum-hall-1", "edge-cov-hall-1"};
    return names[machine];
}

const char *dep_ip(int machine)
{
    static const char *const ips[DEP_MACHINES] = {"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1", "127.0.2.2"};
    return ips[machine];
}

/* The text of deploy/settings.yaml.in, filled in. */
static void write_settings(int machine, const char *path)
{
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        dep_finish(DEP_COULD_NOT_RUN, "cannot write the settings");
    }
    fprintf(file, "name: \"%s\"\nzone: \"%s\"\nip: \"%s\"\npeer_port: %d\nbootstrap: %s\n", dep_name(machine),
            zones[is_store(machine) ? machine : machine - DEP_STORES], dep_ip(machine), peer_port,
            bootstrapped ? "false" : "true");
    fprintf(file, "machine_list: \"127.0.0.1:%d\"\ngrace_s: %d\nmemory_mb: %d\n", list_port, GRACE_S,
            is_store(machine) ? STORE_MB : EDGE_MB);
    if (is_store(machine)) {
        fprintf(file, "data: \"%s/data-%d\"\ncontrol_address: \"%s:%d\"\n", dep_folder, machine, dep_ip(machine),
                control_port);
    } else {
        fprintf(file, "caller_address: \"%s:%d\"\nready_address: \"%s:%d\"\n", dep_ip(machine), dep_caller_port,
                dep_ip(machine), ready_port);
    }
    fprintf(file, "metrics_address: \"%s:%d\"\nseeds:\n", dep_ip(machine), metrics_port);
    for (int i = 0; i < DEP_STORES; i++) {
        fprintf(file, "  - address: \"%s:%d\"\n", dep_ip(i), control_port);
    }
    fclose(file);
}

void dep_start_machine(int machine)
{
    char settings[512], log[512], data[512], further[512];
    snprintf(settings, sizeof(settings), "%s/settings-%d.yaml", dep_folder, machine);
    snprintf(log, sizeof(log), "%s/log-%d", dep_folder, machine);
    snprintf(data, sizeof(data), "%s/data-%d", dep_folder, machine);
    mkdir(data, 0700);
    write_settings(machine, settings);
    snprintf(further, sizeof(further),
             "zones:\n  - name: \"%s\"\n    region: \"west-mids\"\n  - name: \"%s\"\n    region: \"west-mids\"\n"
             "  - name: \"%s\"\n    region: \"west-mids\"\n",
             zones[0], zones[1], zones[2]);
    pid_t pid = fork();
    if (pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        signal(SIGPIPE, SIG_DFL);
        setenv("BANKBANK_SETTINGS", settings, 1);
        setenv("BANKBANK_FURTHER", further, 1);
        setenv("BANKBANK_FURTHER_2", "tolerated_zones: 0", 1);
        setenv("BANKBANK_FURTHER_3", "server_drain_ms: 3000", 1);
        execl(program, program, (char *)NULL);
        _exit(127);
    }
    processes[machine] = pid;
    dep_record("start of %s", dep_name(machine));
}

void dep_set_bootstrapped(bool done)
{
    bootstrapped = done;
}

int dep_signal_machine(int machine, int signal_number)
{
    dep_record("signal %d to %s", signal_number, dep_name(machine));
    return processes[machine] > 0 ? kill(processes[machine], signal_number) : -1;
}

int dep_end_machine(int machine, int signal_number)
{
    int status = 0;
    if (processes[machine] <= 0) {
        return -1;
    }
    dep_record("signal %d to %s", signal_number, dep_name(machine));
    kill(processes[machine], signal_number);
    waitpid(processes[machine], &status, 0);
    processes[machine] = 0;
    dep_record("%s has ended (wait status %d)", dep_name(machine), status);
    return status;
}

bool dep_log_has(int machine, const char *text)
{
    char path[512];
    snprintf(path, sizeof(path), "%s/log-%d", dep_folder, machine);
    FILE *file = fopen(path, "r");
    char *line = NULL;
    size_t size = 0;
    bool found = false;
    while (file != NULL && !found && getline(&line, &size, file) > 0) {
        found = strstr(line, text) != NULL;
    }
    free(line);
    if (file != NULL) {
        fclose(file);
    }
    return found;
}

/* ---- Answers ------------------------------------------------------------------------------------------ */

struct reader {
    int fd;
    char *bytes;
    size_t held;
    size_t capacity;
    bool ended; /* the peer closed in order */
    bool failed;
};

static bool reader_more(struct reader *reader)
{
    if (reader->ended || reader->failed) {
        return false;
    }
    if (reader->held + 65536 + 1 > reader->capacity) {
        reader->capacity = 2 * reader->capacity + 2 * 65536;
        reader->bytes = realloc(reader->bytes, reader->capacity);
    }
    ssize_t got = recv(reader->fd, reader->bytes + reader->held, 65536, 0);
    reader->ended = got == 0;
    reader->failed = got < 0;
    reader->held += got > 0 ? (size_t)got : 0;
    reader->bytes[reader->held] = '\0';
    return got > 0;
}

static bool read_chunked(struct reader *reader, size_t at, struct dep_response *response)
{
    while (true) {
        char *end = NULL;
        while ((end = memmem(reader->bytes + at, reader->held - at, "\r\n", 2)) == NULL) {
            if (!reader_more(reader)) {
                return false;
            }
        }
        size_t size = strtoul(reader->bytes + at, NULL, 16);
        size_t start = (size_t)(end - reader->bytes) + 2;
        while (reader->held < start + size + 2) {
            if (!reader_more(reader)) {
                return false;
            }
        }
        if (size == 0) {
            return true;
        }
        response->body = realloc(response->body, response->length + size + 1);
        memcpy(response->body + response->length, reader->bytes + start, size);
        response->length += size;
        response->body[response->length] = '\0';
        at = start + size + 2;
    }
}

static void read_events(struct dep_response *response)
{
    char *at = response->body;
    response->text = malloc(response->length + 1);
    while (at != NULL && *at != '\0') {
        char *end = strchr(at, '\n');
        size_t length = end == NULL ? strlen(at) : (size_t)(end - at);
        if (strncmp(at, "data: ", 6) == 0) {
            memcpy(response->text + response->text_length, at + 6, length - 6);
            response->text_length += length - 6;
            response->text[response->text_length++] = '\n';
            response->events++;
        } else if (strncmp(at, "id: ", 4) == 0) {
            response->last_event = atoi(at + 4);
        }
        at = end == NULL ? NULL : end + 1;
    }
    response->text[response->text_length] = '\0';
}

static void read_response(int fd, struct dep_response *response)
{
    struct reader reader = {.fd = fd};
    char value[64];
    char *end = NULL;
    memset(response, 0, sizeof(*response));
    response->body = calloc(1, 1);
    while (reader.held == 0 || (end = memmem(reader.bytes, reader.held, "\r\n\r\n", 4)) == NULL) {
        if (!reader_more(&reader)) {
            free(reader.bytes);
            return;
        }
    }
    size_t head_bytes = (size_t)(end - reader.bytes) + 4;
    char *head = strndup(reader.bytes, head_bytes);
    response->status = atoi(head + 9);
    response->signed_by_server = header_value(head, "Bankbank-Server-Signature", value, sizeof(value));
    if (header_value(head, "Transfer-Encoding", value, sizeof(value))) {
        response->complete = read_chunked(&reader, head_bytes, response);
    } else if (header_value(head, "Content-Length", value, sizeof(value))) {
        size_t length = strtoul(value, NULL, 10);
        while (reader.held < head_bytes + length && reader_more(&reader)) {
        }
        response->complete = reader.held >= head_bytes + length;
        response->length = reader.held - head_bytes;
        response->body = realloc(response->body, response->length + 1);
        memcpy(response->body, reader.bytes + head_bytes, response->length);
        response->body[response->length] = '\0';
    } else {
        response->complete = true;
    }
    read_events(response);
    free(head);
    free(reader.bytes);
}

void dep_response_free(struct dep_response *response)
{
    free(response->body);
    free(response->text);
    memset(response, 0, sizeof(*response));
}

static void request(const char *ip, int port, const char *head, const void *body, size_t length, int timeout_ms,
                    struct dep_response *response)
{
    memset(response, 0, sizeof(*response));
    int fd = connect_to(ip, port, timeout_ms);
    if (fd < 0) {
        return;
    }
    if (send_all(fd, head, strlen(head)) && send_all(fd, body, length)) {
        read_response(fd, response);
    }
    close(fd);
}

/* ---- Operator and clients ------------------------------------------------------------------------------ */

int dep_operator(int store, const char *method, const char *path, const char *body, char **answer)
{
    char head[512];
    struct dep_response response;
    size_t length = body == NULL ? 0 : strlen(body);
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n", method,
             path, length);
    request(dep_ip(store), control_port, head, body, length, 2000, &response);
    int status = response.complete ? response.status : 0;
    if (answer != NULL) {
        *answer = response.body == NULL ? NULL : strdup(response.body);
    }
    dep_response_free(&response);
    return status;
}

void dep_new_id(char id[40])
{
    static uint64_t number;
    uint64_t next = __atomic_add_fetch(&number, 1, __ATOMIC_SEQ_CST);
    snprintf(id, 40, "%08x%08x", (unsigned)getpid(), (unsigned)next);
}

struct dep_response dep_call(int edge, const char *method, const char *path, const char *id, const char *headers,
                             const void *body, size_t length, int timeout_ms)
{
    struct dep_response response;
    char head[2048];
    char framing[64] = "";
    if (length > 0 || strcmp(method, "POST") == 0) {
        snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", length);
    }
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\nBankbank-Deadline-Ms: %d\r\n%s%s\r\n",
             method, path, id, timeout_ms, headers, framing);
    request(dep_ip(DEP_STORES + edge), dep_caller_port, head, body, length, timeout_ms + 500, &response);
    dep_record("client: %s %s %s at %s -> %d%s, %d events", method, path, id, dep_name(DEP_STORES + edge),
               response.status, response.status != 0 && !response.complete ? " (broken off)" : "", response.events);
    return response;
}

double dep_metric(int machine, const char *name)
{
    struct dep_response response;
    char key[96];
    double value = -1;
    request(dep_ip(machine), metrics_port, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "", 0, 2000,
            &response);
    snprintf(key, sizeof(key), "\nbankbank_%s ", name);
    const char *at = response.body == NULL ? NULL : strstr(response.body, key);
    if (at != NULL) {
        value = strtod(at + strlen(key), NULL);
    }
    dep_response_free(&response);
    return value;
}

int dep_leader(void)
{
    for (int i = 0; i < DEP_STORES; i++) {
        if (processes[i] > 0 && dep_metric(i, "raft_leading") == 1) {
            return i;
        }
    }
    return -1;
}

bool dep_store_is_ready(int store)
{
    return dep_metric(store, "replica_running") == 1 && dep_metric(store, "raft_voting") == 1 &&
           dep_operator(store, "GET", "/api/config/get", NULL, NULL) == 200;
}

bool dep_edge_is_ready(int edge)
{
    struct dep_response response;
    request(dep_ip(DEP_STORES + edge), ready_port, "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            "", 0, 1000, &response);
    int status = response.status;
    dep_response_free(&response);
    return status == 200;
}

void dep_start_deployment(const char *configuration)
{
    dep_start_platform();
    for (int i = 0; i < DEP_MACHINES; i++) {
        dep_start_machine(i);
    }
    DEP_WAIT(dep_operator(0, "POST", "/api/config/replace", configuration, NULL) == 200, 15000,
             "the first configuration is acknowledged");
    bootstrapped = true;
    for (int i = 0; i < DEP_EDGES; i++) {
        DEP_WAIT(dep_edge_is_ready(i), 10000, "the edges are ready");
    }
    for (int i = 0; i < DEP_STORES; i++) {
        DEP_WAIT(dep_store_is_ready(i), 10000, "the storage machines are ready");
    }
    dep_record("the deployment is ready");
}
