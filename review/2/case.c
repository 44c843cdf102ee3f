/*
 * Case 2: one storage machine of three loses its disk again and again, each time shortly after its return. The group
 * then counts two voters that are gone for good and never has a quorum again, though three machines run and are
 * connected.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "site.h"

enum {
    VICTIM = 2,
    TURNS = 10,
    DOWN_MS = 2000,    /* for_s = 2.0 in the site file */
    WAIT_MS = 40000,   /* after the last return: recover-s is 12, contact-ms 3,000 */
    JUDGED_MS = 20000, /* the last part of it, in which nothing may fail any more */
    PAUSE_MS = 250,
    EVENTS = 4
};

/* How long the machine runs after each return but the last one, in ms: a machine that crashes right after its start. */
static const int up_ms[] = {100, 120, 100, 120, 100};

static void handle(struct server *server, int fd)
{
    struct stream stream = {.fd = fd};
    struct message message;
    while (message_read(&stream, &message, false)) {
        char id[SITE_ID_BYTES];
        char out[2048];
        message_header(&message, "Bankbank-Request-Id", id, sizeof(id));
        message_close(&message);
        int used = snprintf(out, sizeof(out),
                            "HTTP/1.1 200 OK\r\nBankbank-Request-Id: %s\r\nBankbank-Server-Signature: s.%d.%s\r\n"
                            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                            id, server->number, id);
        for (int i = 1; i <= EVENTS; i++) {
            char event[128];
            int length = snprintf(event, sizeof(event), "id: %d\ndata: part %d of %s\n\n", i, i, id);
            used += snprintf(out + used, sizeof(out) - (size_t)used, "%x\r\n%s\r\n", (unsigned)length, event);
        }
        used += snprintf(out + used, sizeof(out) - (size_t)used, "0\r\n\r\n");
        record("ran %s at server %d", id, server->number);
        if (!site_send(fd, out, (size_t)used)) {
            break;
        }
    }
    message_close(&message);
    free(stream.data);
}

/* One turn on a new connection; returns the status, 0: no whole answer. */
static int turn(const char *id, const char *parent)
{
    static int next;
    char text[1024];
    char line[96] = "";
    struct message message;
    const char *ip = site_ip(site.replicas + next++ % site.gateways);
    struct stream stream = {.fd = site_connect(ip, site.caller_port)};
    if (stream.fd < 0) {
        return 0;
    }
    if (parent != NULL) {
        snprintf(line, sizeof(line), "Bankbank-Parent-Turn: %s\r\n", parent);
    }
    snprintf(text, sizeof(text),
             "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nBankbank-Request-Id: %s\r\nBankbank-Program-Id: p-%s\r\n"
             "Bankbank-Session-Id: s-%s\r\nBankbank-Deadline-Ms: 4000\r\nBankbank-Program-Deadline-Ms: 8000\r\n"
             "Bankbank-Token-Budget: 2304\r\nBankbank-Token-Usage: 1840,288\r\n%sContent-Length: 5\r\n\r\nhello",
             id, parent == NULL ? id : parent, parent == NULL ? id : parent, line);
    bool whole = site_send(stream.fd, text, strlen(text)) && message_read(&stream, &message, true);
    int status = whole ? message.status : 0;
    if (whole) {
        message_close(&message);
    }
    free(stream.data);
    close(stream.fd);
    record("turn %s, parent %s, at %s: answered %d", id, parent == NULL ? "none" : parent, ip, status);
    return status;
}

static const char configuration[] =
    "{\"version\":%d,\"routes\":[{\"name\":\"chat\",\"host\":\"app.example\",\"path-prefix\":\"/chat/\","
    "\"kind\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":250,\"priority\":1,\"service\":\"agent-llm\","
    "\"max-attempts\":1,\"stateful\":true,\"retention-s\":60.0,\"sticky\":true,\"resumable\":false,"
    "\"target-gap-ms\":200}],\"services\":[{\"name\":\"agent-llm\",\"health-path\":\"/healthz\","
    "\"max-connections\":170,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kv-capacity\":139361,"
    "\"chunk-size\":9,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max-header-bytes\":16384,"
    "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

static void lose_disk(int daemon)
{
    char command[512];
    site_kill_daemon(daemon, SIGKILL);
    sleep_ms(DOWN_MS);
    snprintf(command, sizeof(command), "rm -rf %s/data-%d", site.directory, daemon);
    if (system(command) != 0) {
        finish(EXIT_NOT_RUN);
    }
    site_start_daemon(daemon);
}

int main(void)
{
    static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
    char text[2048];
    int kept = 0;
    record_open(getenv("CASE_RECORD"));
    for (int i = 0; i < 3; i++) {
        site_add_server("agent-llm", zones[i], 12, handle);
    }
    snprintf(text, sizeof(text), configuration, 1);
    if (!site_start(3, 3, text)) {
        record("the site did not start");
        finish(EXIT_NOT_RUN);
    }
    for (int i = 0; i < TURNS; i++) {
        snprintf(text, sizeof(text), "t-%d", i);
        kept += turn(text, NULL) == 200 ? 1 : 0;
    }
    snprintf(text, sizeof(text), configuration, 2);
    int acknowledged = site_call(site_ip(0), site.control_port, "POST", "/api/config/replace", text, NULL);
    record("configuration 2 sent to %s: answered %d", site_ip(0), acknowledged);
    if (kept < TURNS || acknowledged != 200) {
        finish(EXIT_NOT_RUN);
    }
    sleep_ms(1000);
    /* LOSSES=1: the control, a single loss; it holds. */
    int losses = getenv("LOSSES") == NULL ? (int)(sizeof(up_ms) / sizeof(up_ms[0])) + 1 : atoi(getenv("LOSSES"));
    int most = (int)(sizeof(up_ms) / sizeof(up_ms[0])) + 1;
    losses = losses > most ? most : losses;
    for (int i = 0; trouble() && i < losses; i++) {
        record("storage machine %d (%s) loses its disk and comes back empty", VICTIM, site_ip(VICTIM));
        lose_disk(VICTIM);
        if (i + 1 < losses) {
            sleep_ms(up_ms[i]);
        }
    }
    uint64_t end_ms = now_ms() + WAIT_MS;
    int reads = 0;
    int read_well = 0;
    int turns = 0;
    int turns_served = 0;
    for (int i = 0; now_ms() < end_ms; i++) {
        char id[64];
        char parent[64];
        char *answer = NULL;
        const char *ip = site_ip(i % 3);
        int status = site_call(ip, site.control_port, "GET", "/api/config/get", NULL, &answer);
        bool newest = status == 200 && answer != NULL && strstr(answer, "\"version\":2") != NULL;
        free(answer);
        record("configuration read at %s: answered %d%s", ip, status, newest ? ", version 2" : "");
        snprintf(id, sizeof(id), "late-%d", i);
        snprintf(parent, sizeof(parent), "t-%d", i % TURNS);
        bool served = turn(id, parent) == 200;
        if (now_ms() >= end_ms - JUDGED_MS) {
            reads++;
            read_well += newest ? 1 : 0;
            turns++;
            turns_served += served ? 1 : 0;
        }
        sleep_ms(PAUSE_MS);
    }
    record("in the last %d s: configuration read %d times, it came %d times; %d turns continued, %d served",
           JUDGED_MS / 1000, reads, read_well, turns, turns_served);
    printf("configuration read %d times, came %d times; turns %d, served %d\n", reads, read_well, turns, turns_served);
    fflush(stdout);
    finish(read_well == 0 ? EXIT_BROKEN : EXIT_HELD);
}
