#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum { START_TIMEOUT_MS = 30000, POLL_MS = 50, BACKLOG = 512, FIRST_PORT = 12000, PORTS = 20000, PORT_STEP = 10 };

struct site site;
static FILE *record_file;
static uint64_t record_start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static bool first_start = true;

/* ---- Time and the record ------------------------------------------------------- */

uint64_t now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void sleep_ms(int ms)
{
    struct timespec span = {ms / 1000, (long)(ms % 1000) * 1000000};
    nanosleep(&span, NULL);
}

void record_open(const char *path)
{
    record_file = fopen(path, "w");
    record_start_ms = now_ms();
}

void record(const char *format, ...)
{
    va_list arguments;
    pthread_mutex_lock(&record_lock);
    if (record_file != NULL) {
        uint64_t ms = now_ms() - record_start_ms;
        fprintf(record_file, "%3llu.%03llu ", (unsigned long long)(ms / 1000), (unsigned long long)(ms % 1000));
        va_start(arguments, format);
        vfprintf(record_file, format, arguments);
        va_end(arguments);
        fputc('\n', record_file);
        fflush(record_file);
    }
    pthread_mutex_unlock(&record_lock);
}

bool trouble(void)
{
    const char *value = getenv("TROUBLE");
    return value == NULL || strcmp(value, "0") != 0;
}

void finish(int code)
{
    site_stop();
    _exit(code);
}

/* ---- Sockets ---------------------------------------------------------------------- */

static struct sockaddr_in address_of(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

static int listen_on(const char *ip, int port)
{
    int one = 1;
    struct sockaddr_in address = address_of(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 || listen(fd, BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Whether a port is free on all addresses. */
static bool port_is_free(int port)
{
    int fd = listen_on("0.0.0.0", port);
    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

static int find_port(void)
{
    static int next;
    if (next == 0) {
        next = FIRST_PORT + (int)((unsigned)getpid() * 7919U % (PORTS / PORT_STEP)) * PORT_STEP;
    }
    for (int tries = 0; tries < PORTS; tries++) {
        int port = FIRST_PORT + (next++ - FIRST_PORT) % PORTS;
        if (port_is_free(port)) {
            return port;
        }
    }
    return 0;
}

int site_connect(const char *ip, int port)
{
    int one = 1;
    struct sockaddr_in address = address_of(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

bool site_send(int fd, const char *data, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, data, length, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        data += sent;
        length -= (size_t)sent;
    }
    return true;
}

/* ---- Messages ----------------------------------------------------------------------- */

static bool stream_fill(struct stream *stream)
{
    char part[16384];
    ssize_t count = 0;
    do {
        count = recv(stream->fd, part, sizeof(part), 0);
    } while (count < 0 && errno == EINTR);
    if (count <= 0) {
        return false;
    }
    stream->data = realloc(stream->data, stream->length + (size_t)count + 1);
    memcpy(stream->data + stream->length, part, (size_t)count);
    stream->length += (size_t)count;
    return true;
}

static void stream_take(struct stream *stream, size_t length)
{
    memmove(stream->data, stream->data + length, stream->length - length);
    stream->length -= length;
}

/* Reads until there are `length` bytes. */
static bool stream_need(struct stream *stream, size_t length)
{
    while (stream->length < length) {
        if (!stream_fill(stream)) {
            return false;
        }
    }
    return true;
}

/* Length of the first line with its end; 0: the connection ended before. */
static size_t stream_line(struct stream *stream)
{
    for (;;) {
        char *end = stream->length == 0 ? NULL : memmem(stream->data, stream->length, "\r\n", 2);
        if (end != NULL) {
            return (size_t)(end - stream->data) + 2;
        }
        if (!stream_fill(stream)) {
            return 0;
        }
    }
}

bool message_header(const struct message *message, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);
    const char *line = strstr(message->head, "\r\n");
    for (; line != NULL && line[2] != '\0' && line[2] != '\r'; line = strstr(line + 2, "\r\n")) {
        const char *start = line + 2;
        if (strncasecmp(start, name, length) == 0 && start[length] == ':') {
            start += length + 1;
            start += strspn(start, " \t");
            snprintf(value, size, "%.*s", (int)strcspn(start, "\r\n"), start);
            return true;
        }
    }
    value[0] = '\0';
    return false;
}

static void body_append(struct message *message, const char *data, size_t length)
{
    message->body = realloc(message->body, message->body_length + length + 1);
    memcpy(message->body + message->body_length, data, length);
    message->body_length += length;
    message->body[message->body_length] = '\0';
}

static bool read_chunks(struct stream *stream, struct message *message)
{
    for (;;) {
        size_t line = stream_line(stream);
        if (line == 0) {
            return false;
        }
        size_t length = strtoul(stream->data, NULL, 16);
        stream_take(stream, line);
        if (!stream_need(stream, length + 2)) {
            body_append(message, stream->length == 0 ? "" : stream->data,
                        stream->length < length ? stream->length : length);
            return false;
        }
        body_append(message, stream->data, length);
        stream_take(stream, length + 2);
        if (length == 0) {
            return true;
        }
    }
}

bool message_read(struct stream *stream, struct message *message, bool is_answer)
{
    char value[64];
    memset(message, 0, sizeof(*message));
    char *end = NULL;
    while (end == NULL) {
        end = stream->length == 0 ? NULL : memmem(stream->data, stream->length, "\r\n\r\n", 4);
        if (end == NULL && (stream->length >= SITE_HEAD_BYTES || !stream_fill(stream))) {
            return false;
        }
    }
    message->head_length = (size_t)(end - stream->data) + 4;
    if (message->head_length >= SITE_HEAD_BYTES) {
        return false;
    }
    memcpy(message->head, stream->data, message->head_length);
    stream_take(stream, message->head_length);
    message->status = is_answer ? atoi(message->head + strlen("HTTP/1.1 ")) : 0;
    body_append(message, "", 0);
    if (message_header(message, "Transfer-Encoding", value, sizeof(value))) {
        message->complete = read_chunks(stream, message);
    } else if (message_header(message, "Content-Length", value, sizeof(value))) {
        size_t length = strtoul(value, NULL, 10);
        message->complete = stream_need(stream, length);
        size_t used = stream->length < length ? stream->length : length;
        body_append(message, used == 0 ? "" : stream->data, used);
        if (used > 0) {
            stream_take(stream, used);
        }
    } else {
        message->complete = true;
    }
    return message->complete;
}

void message_close(struct message *message)
{
    free(message->body);
    message->body = NULL;
}

int site_call(const char *ip, int port, const char *method, const char *path, const char *body, char **answer)
{
    struct message message;
    struct timeval timeout = {2, 0};
    struct stream stream = {.fd = site_connect(ip, port)};
    if (stream.fd < 0) {
        return 0;
    }
    char head[512];
    size_t length = body == NULL ? 0 : strlen(body);
    setsockopt(stream.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n"
             "Connection: close\r\n\r\n",
             method, path, length);
    bool read = site_send(stream.fd, head, strlen(head)) && site_send(stream.fd, body == NULL ? "" : body, length) &&
                message_read(&stream, &message, true);
    int status = read ? message.status : 0;
    if (read && answer != NULL) {
        *answer = strdup(message.body);
    }
    if (read) {
        message_close(&message);
    }
    free(stream.data);
    close(stream.fd);
    return status;
}

/* ---- Servers and their list ------------------------------------------------------------ */

struct connection {
    struct server *server;
    server_handler handler;
    int fd;
};

static void *serve_connection(void *argument)
{
    struct connection connection = *(struct connection *)argument;
    free(argument);
    connection.handler(connection.server, connection.fd);
    close(connection.fd);
    return NULL;
}

static void start_thread(void *(*run)(void *), void *argument)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 << 10);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_create(&thread, &attributes, run, argument);
    pthread_attr_destroy(&attributes);
}

static void *accept_connections(void *argument)
{
    struct connection server = *(struct connection *)argument;
    int one = 1;
    free(argument);
    for (;;) {
        int fd = accept4(server.fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            sleep_ms(1);
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        struct connection *connection = malloc(sizeof(*connection));
        *connection = (struct connection){server.server, server.handler, fd};
        start_thread(serve_connection, connection);
    }
    return NULL;
}

struct server *site_add_server(const char *service, const char *zone, int slots, server_handler handler)
{
    struct server *server = &site.servers[site.server_count];
    server->number = site.server_count++;
    snprintf(server->id, sizeof(server->id), "i-%08x", 0x7f3a0000U + (unsigned)server->number);
    snprintf(server->ip, sizeof(server->ip), "127.0.3.%d", server->number + 1);
    server->port = find_port();
    server->service = service;
    server->zone = zone;
    server->slots = slots;
    server->listener = listen_on(server->ip, server->port);
    struct connection *listener = malloc(sizeof(*listener));
    *listener = (struct connection){server, handler, server->listener};
    start_thread(accept_connections, listener);
    return server;
}

static void serve_list(struct server *server, int fd)
{
    struct stream stream = {.fd = fd};
    struct message message;
    (void)server;
    while (message_read(&stream, &message, false)) {
        char body[8192] = "{\"instances\":[";
        char head[256];
        for (int i = 0; i < site.server_count; i++) {
            const struct server *listed = &site.servers[i];
            size_t used = strlen(body);
            snprintf(body + used, sizeof(body) - used,
                     "%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                     "\"slots\":%d,\"state\":\"ready\",\"cold-remaining-ms\":0}",
                     i == 0 ? "" : ",", listed->id, listed->service, listed->ip, listed->port, listed->zone,
                     listed->slots);
        }
        strcat(body, "],\"next-token\":null}");
        snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                 strlen(body));
        message_close(&message);
        if (!site_send(fd, head, strlen(head)) || !site_send(fd, body, strlen(body))) {
            break;
        }
    }
    message_close(&message);
    free(stream.data);
}

/* ---- Daemons ------------------------------------------------------------------------------ */

static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};

const char *site_ip(int daemon)
{
    static char ips[SITE_MAX_DAEMONS][40];
    bool replica = daemon < site.replicas;
    snprintf(ips[daemon], sizeof(ips[daemon]), "127.0.%d.%d", replica ? 1 : 2,
             replica ? daemon + 1 : daemon - site.replicas + 1);
    return ips[daemon];
}

/* Fills deploy/settings.yaml.in as the platform does, for a deployment like mpva-vend. */
static void write_settings(int daemon)
{
    char path[256];
    bool replica = daemon < site.replicas;
    snprintf(path, sizeof(path), "%s/settings-%d.yaml", site.directory, daemon);
    FILE *file = fopen(path, "w");
    fprintf(file, "name: \"%s-%s-%d\"\nzone: \"%s\"\nip: \"%s\"\npeer_port: %d\nbootstrap: %s\n",
            replica ? "storage" : "edge", zones[daemon % 3], daemon, zones[daemon % 3], site_ip(daemon),
            site.peer_port, first_start ? "true" : "false");
    fprintf(file, "machine_list: \"127.0.4.1:%d\"\ngrace_s: 8\nmemory_mb: %d\n", site.list_port, replica ? 280 : 260);
    if (replica) {
        fprintf(file, "data: \"%s/data-%d\"\ncontrol_address: \"%s:%d\"\n", site.directory, daemon, site_ip(daemon),
                site.control_port);
    } else {
        fprintf(file, "caller_address: \"%s:%d\"\nready_address: \"%s:%d\"\n", site_ip(daemon), site.caller_port,
                site_ip(daemon), site.ready_port);
    }
    fprintf(file, "metrics_address: \"%s:%d\"\nseeds:\n", site_ip(daemon), site.metrics_port);
    for (int i = 0; i < 3; i++) {
        fprintf(file, "  - address: \"%s:%d\"\n", site_ip(i), site.control_port);
    }
    fclose(file);
}

void site_start_daemon(int daemon)
{
    char settings[256];
    char log[256];
    char data[256];
    write_settings(daemon);
    snprintf(settings, sizeof(settings), "%s/settings-%d.yaml", site.directory, daemon);
    snprintf(log, sizeof(log), "%s/log-%d", site.directory, daemon);
    snprintf(data, sizeof(data), "%s/data-%d", site.directory, daemon);
    mkdir(data, 0700);
    pid_t parent = getpid();
    pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* the daemons end with this process */
        if (getppid() != parent) {
            _exit(127);
        }
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        setenv("BANKBANK_SETTINGS", settings, 1);
        setenv("BANKBANK_FURTHER",
               "\nzones:\n  - name: \"zone-a\"\n    region: \"r\"\n  - name: \"zone-b\"\n    region: \"r\"\n"
               "  - name: \"zone-c\"\n    region: \"r\"\n",
               1);
        setenv("BANKBANK_FURTHER_2", "", 1);
        setenv("BANKBANK_FURTHER_3", "server_drain_ms: 3000", 1);
        execl("target/bankbank-site", "target/bankbank-site", (char *)NULL); /* the command of the deploy file */
        _exit(127);
    }
    site.processes[daemon] = child;
}

void site_kill_daemon(int daemon, int signal_number)
{
    if (site.processes[daemon] > 0) {
        kill(site.processes[daemon], signal_number);
        waitpid(site.processes[daemon], NULL, 0);
        site.processes[daemon] = 0;
    }
}

void site_stop(void)
{
    for (int daemon = 0; daemon < site.replicas + site.gateways; daemon++) {
        if (site.processes[daemon] > 0) {
            kill(site.processes[daemon], SIGKILL);
            waitpid(site.processes[daemon], NULL, 0);
            site.processes[daemon] = 0;
        }
    }
}

static bool gateways_are_ready(void)
{
    for (int i = 0; i < site.gateways; i++) {
        if (site_call(site_ip(site.replicas + i), site.ready_port, "GET", "/api/readyz", NULL, NULL) != 200) {
            return false;
        }
    }
    return true;
}

static bool site_configure(const char *configuration)
{
    uint64_t end_ms = now_ms() + START_TIMEOUT_MS;
    for (int i = 0; now_ms() < end_ms; i++) {
        const char *ip = site_ip(i % site.replicas);
        if (site_call(ip, site.control_port, "POST", "/api/config/replace", configuration, NULL) == 200) {
            return true;
        }
        sleep_ms(POLL_MS);
    }
    return false;
}

bool site_start(int replicas, int gateways, const char *configuration)
{
    signal(SIGPIPE, SIG_IGN);
    site.replicas = replicas;
    site.gateways = gateways;
    site.directory = getenv("CASE_DIRECTORY");
    if (site.directory == NULL || access("target/bankbank-site", X_OK) != 0) {
        return false;
    }
    site.caller_port = find_port();
    site.ready_port = find_port();
    site.control_port = find_port();
    site.peer_port = find_port();
    site.metrics_port = find_port();
    site.list_port = find_port();
    struct connection *list = malloc(sizeof(*list));
    *list = (struct connection){NULL, serve_list, listen_on("127.0.4.1", site.list_port)};
    start_thread(accept_connections, list);
    for (int daemon = 0; daemon < replicas + gateways; daemon++) {
        site_start_daemon(daemon);
    }
    if (!site_configure(configuration)) {
        return false;
    }
    first_start = false;
    uint64_t end_ms = now_ms() + START_TIMEOUT_MS;
    while (!gateways_are_ready()) {
        if (now_ms() >= end_ms) {
            return false;
        }
        sleep_ms(POLL_MS);
    }
    return true;
}
