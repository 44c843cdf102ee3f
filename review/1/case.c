/*
 * Case 1: the second copy of a refusal, which arrives late on a kept connection, is taken for the refusal of the request
 * that is under way there. That request runs, and is sent to another server as well.
 *
 * Servers: SLOTS requests at once, QUEUE more wait, others get 503 with Bankbank-Not-Executed and their id. With the
 * disruption, FAULTY of the SERVERS servers send, for TROUBLE_MS, a second copy of every SPOILED_EVERY-th answer, in the
 * place where the next answer of that connection is due. Everything else that they do is sound.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "site.h"

enum {
    SERVERS = 4,
    FAULTY = 2,          /* share 0.5; the site file allows 0.6 */
    SPOILED_EVERY = 34,  /* x = 0.0294; the site file allows 0.03 */
    WARM_MS = 1500,
    TROUBLE_MS = 5000,   /* for_s = 5.0 in the site file */
    AFTER_MS = 3500,
    SLOTS = 6,           /* as vend-app in the site file */
    QUEUE = 24,
    WORK_MS = 69,
    CLIENTS = 150,
    PAUSE_MS = 20,
    DEADLINE_MS = 3000,
    MAX_REQUESTS = 200000
};

struct request {
    int runs;
    int status;
    int servers[4];
};

static struct request requests[MAX_REQUESTS];
static int request_count;
static uint64_t trouble_from_ms;
static uint64_t trouble_until_ms;
static volatile bool stopping;
static int copies_sent;
static int answers_spoiled[2]; /* refusals, others */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

struct load {
    int running;
    int queued;
    int answers;
    pthread_cond_t freed;
};
static struct load loads[SERVERS];

static bool is_spoiled(const struct server *server)
{
    bool due = ++loads[server->number].answers % SPOILED_EVERY == 0;
    uint64_t now = now_ms();
    return trouble() && due && server->number < FAULTY && now >= trouble_from_ms && now < trouble_until_ms;
}

/* Waits for a slot and works; false: the server is full. */
static bool run_request(struct server *server, int number)
{
    struct load *load = &loads[server->number];
    pthread_mutex_lock(&lock);
    if (load->running >= SLOTS && load->queued >= QUEUE) {
        pthread_mutex_unlock(&lock);
        return false;
    }
    load->queued++;
    while (load->running >= SLOTS) {
        pthread_cond_wait(&load->freed, &lock);
    }
    load->queued--;
    load->running++;
    struct request *request = &requests[number];
    if (request->runs < 4) {
        request->servers[request->runs] = server->number;
    }
    request->runs++;
    pthread_mutex_unlock(&lock);
    record("ran r-%d at server %d", number, server->number);
    sleep_ms(WORK_MS);
    pthread_mutex_lock(&lock);
    load->running--;
    pthread_cond_signal(&load->freed);
    pthread_mutex_unlock(&lock);
    return true;
}

static void handle(struct server *server, int fd)
{
    struct stream stream = {.fd = fd};
    struct message message;
    char extra[512] = "";
    while (message_read(&stream, &message, false)) {
        char id[SITE_ID_BYTES];
        char expected[SITE_ID_BYTES];
        char answer[512];
        message_header(&message, "Bankbank-Request-Id", id, sizeof(id));
        message_header(&message, "Bankbank-Expect-Instance", expected, sizeof(expected));
        message_close(&message);
        if (extra[0] != '\0') { /* here the next answer is due */
            record("second copy of an answer on the connection where %s waits, server %d: %.64s", id, server->number,
                   strstr(extra, "Bankbank-Request-Id"));
            site_send(fd, extra, strlen(extra));
            extra[0] = '\0';
            __atomic_add_fetch(&copies_sent, 1, __ATOMIC_RELAXED);
        }
        bool refused = false;
        if (strcmp(expected, server->id) != 0) {
            snprintf(answer, sizeof(answer),
                     "HTTP/1.1 421 Misdirected Request\r\nBankbank-Request-Id: %s\r\nBankbank-Instance-Id: %s\r\n"
                     "Bankbank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                     id, server->id);
        } else if (run_request(server, atoi(id + 2))) {
            snprintf(answer, sizeof(answer),
                     "HTTP/1.1 200 OK\r\nBankbank-Request-Id: %s\r\nBankbank-Server-Signature: s.%d.%s\r\n"
                     "Content-Length: 4\r\n\r\ndone",
                     id, server->number, id);
        } else {
            refused = true;
            snprintf(answer, sizeof(answer),
                     "HTTP/1.1 503 Service Unavailable\r\nBankbank-Request-Id: %s\r\nBankbank-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n",
                     id);
        }
        pthread_mutex_lock(&lock);
        bool spoiled = is_spoiled(server);
        answers_spoiled[refused ? 0 : 1] += spoiled ? 1 : 0;
        pthread_mutex_unlock(&lock);
        if (!site_send(fd, answer, strlen(answer))) {
            break;
        }
        if (spoiled) {
            strcpy(extra, answer);
        }
    }
    message_close(&message);
    free(stream.data);
}

static int new_request(void)
{
    pthread_mutex_lock(&lock);
    int number = request_count < MAX_REQUESTS - 1 ? request_count++ : MAX_REQUESTS - 1;
    pthread_mutex_unlock(&lock);
    return number;
}

/* Sends one request on the kept connection, or on a new one. */
static void call_once(struct stream *stream, const char *ip)
{
    char text[512];
    char value[64];
    struct message message;
    int number = new_request();
    if (stream->fd < 0) {
        stream->length = 0;
        stream->fd = site_connect(ip, site.caller_port);
    }
    if (stream->fd < 0) {
        return;
    }
    snprintf(text, sizeof(text),
             "POST /push/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: r-%d\r\nBankbank-Deadline-Ms: %d\r\n"
             "Content-Length: 5\r\n\r\nhello",
             number, DEADLINE_MS);
    record("sent r-%d to %s", number, ip);
    bool read = site_send(stream->fd, text, strlen(text)) && message_read(stream, &message, true);
    requests[number].status = read ? message.status : 0;
    record("answer to r-%d: %d", number, requests[number].status);
    message_header(&message, "Connection", value, sizeof(value));
    bool close_it = !read || strcmp(value, "close") == 0;
    if (read || message.body != NULL) {
        message_close(&message);
    }
    if (close_it) {
        close(stream->fd);
        stream->fd = -1;
    }
}

static void *client(void *argument)
{
    struct stream stream = {.fd = -1};
    int gateway = (int)(intptr_t)argument % site.gateways;
    const char *ip = site_ip(site.replicas + gateway);
    while (!stopping) {
        call_once(&stream, ip);
        sleep_ms(PAUSE_MS);
    }
    return NULL;
}

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"push\",\"host\":\"app.example\",\"path-prefix\":\"/push/\","
    "\"kind\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":500,\"priority\":2,\"service\":\"vend-app\","
    "\"max-attempts\":1}],\"services\":[{\"name\":\"vend-app\",\"health-path\":\"/healthz\",\"max-connections\":110,"
    "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

int main(void)
{
    static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
    pthread_t threads[CLIENTS];
    int twice = 0;
    int refused_after_run = 0;
    int served = 0;
    int refused = 0;
    record_open(getenv("CASE_RECORD"));
    for (int i = 0; i < SERVERS; i++) {
        pthread_cond_init(&loads[i].freed, NULL);
        site_add_server("vend-app", zones[i % 3], SLOTS, handle);
    }
    if (!site_start(3, 3, configuration)) {
        record("the site did not start");
        finish(EXIT_NOT_RUN);
    }
    trouble_from_ms = now_ms() + WARM_MS;
    trouble_until_ms = trouble_from_ms + TROUBLE_MS;
    for (intptr_t i = 0; i < CLIENTS; i++) {
        pthread_create(&threads[i], NULL, client, (void *)i);
    }
    sleep_ms(WARM_MS + TROUBLE_MS + AFTER_MS);
    stopping = true;
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    sleep_ms(500);
    for (int i = 0; i < request_count; i++) {
        const struct request *request = &requests[i];
        bool promised = request->status == 503 || request->status == 429 || request->status == 408 ||
                        request->status == 421;
        served += request->status == 200 ? 1 : 0;
        refused += promised ? 1 : 0;
        if (request->runs > 1) {
            twice++;
            record("TWICE: r-%d ran %d times, at servers %d and %d; its client got %d", i, request->runs,
                   request->servers[0], request->servers[1], request->status);
        }
        if (promised && request->runs > 0) {
            refused_after_run++;
            record("REFUSED: r-%d ran at server %d; its client got %d", i, request->servers[0], request->status);
        }
    }
    record("requests %d, served %d, refused %d; answers sent again late: %d (of refusals %d, of others %d)",
           request_count, served, refused, copies_sent, answers_spoiled[0], answers_spoiled[1]);
    record("broken: TWICE %d, REFUSED %d", twice, refused_after_run);
    printf("requests %d, served %d, refused %d, late copies %d: TWICE %d, REFUSED %d\n", request_count, served, refused,
           copies_sent, twice, refused_after_run);
    fflush(stdout);
    if (served < 100 || refused < 10 || (trouble() && copies_sent == 0)) {
        finish(EXIT_NOT_RUN);
    }
    finish(twice > 0 ? EXIT_BROKEN : EXIT_HELD);
}
