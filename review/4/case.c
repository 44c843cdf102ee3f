/*
 * The storage machines are stopped and started in turn, the leader last, while a conversation goes on. Is each
 * turn that was answered whole still known at the end?
 *
 * Two stateful routes: /desk/ keeps turns for 60 s, /kiosk/ for 5 s. All turns of the conversation that is judged
 * are sent within retention-s of the turn that they go on from, but for one: its program comes back after 20 s.
 * That turn may be answered 404; if it is answered whole, it counts like any other.
 */
#include "deployment.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    LONG_S = 60,
    SHORT_S = 5,
    FILL_BYTES = 1000 * 1000, /* below max-body-bytes */
    FILL_TURNS = 60,          /* a storage machine writes a snapshot after about 42 MB of log */
    AWAY_MS = 20000,
    GAP_MS = 5000, /* after the return of a storage machine; above catch-up-s (4.4 s) */
    CALL_MS = 4000
};

static const char CONFIGURATION[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"desk\",\"host\":\"app.example\",\"path-prefix\":\"/desk/\",\"kind\":\"streaming\",\"timeout-ms\":4000,"
    "\"target-latency-ms\":250,\"priority\":1,\"service\":\"agent-llm\",\"max-attempts\":1,\"stateful\":true,"
    "\"retention-s\":60.0,\"sticky\":true,\"resumable\":false,\"target-gap-ms\":200},"
    "{\"name\":\"kiosk\",\"host\":\"app.example\",\"path-prefix\":\"/kiosk/\",\"kind\":\"streaming\","
    "\"timeout-ms\":4000,\"target-latency-ms\":250,\"priority\":1,\"service\":\"agent-llm\",\"max-attempts\":1,"
    "\"stateful\":true,\"retention-s\":5.0,\"sticky\":true,\"resumable\":false,\"target-gap-ms\":200}],"
    "\"services\":[{\"name\":\"agent-llm\",\"health-path\":\"/healthz\",\"max-connections\":170,\"protocol\":\"h1\","
    "\"tls\":false,\"engine\":{\"slots\":12,\"chunk-size\":9,\"models\":[{\"name\":\"m\"}]}}],"
    "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
    "\"idle-timeout-ms\":15000}}";

struct turn {
    char id[40];
    bool whole;
    uint64_t answered_ms;
    int status;
};

static struct turn run_turn(int edge, const char *path, const char *program, const struct turn *parent,
                            const char *body, size_t length)
{
    char headers[512];
    char line[80] = "";
    struct turn turn = {0};
    if (parent != NULL) {
        snprintf(line, sizeof(line), "Bankbank-Parent-Turn: %s\r\n", parent->id);
    }
    snprintf(headers, sizeof(headers),
             "Bankbank-Model: m\r\nBankbank-Program-Id: %s\r\nBankbank-Session-Id: s-%s\r\n"
             "Bankbank-Program-Deadline-Ms: 60000\r\nBankbank-Token-Budget: 100000\r\n"
             "Bankbank-Token-Usage: 400,100\r\n%s",
             program, program, line);
    dep_new_id(turn.id);
    struct dep_response response = dep_call(edge, "POST", path, turn.id, headers, body, length, CALL_MS);
    turn.status = response.status;
    turn.whole = response.status == 200 && response.complete && response.signed_by_server;
    turn.answered_ms = dep_now_ms();
    dep_response_free(&response);
    return turn;
}

static struct turn ask(int edge, const char *path, const char *program, const struct turn *parent, const char *text)
{
    return run_turn(edge, path, program, parent, text, strlen(text));
}

/* Clients send a turn again after a failure; only 404 and 410 end the program. */
static struct turn ask_until_answered(int edge, const char *path, const char *program, const struct turn *parent,
                                      const char *text)
{
    struct turn turn = ask(edge, path, program, parent, text);
    for (int i = 0; i < 10 && !turn.whole && turn.status != 404 && turn.status != 410; i++) {
        dep_sleep_ms(200);
        turn = ask(edge, path, program, parent, text);
    }
    return turn;
}

static void restart_store(int store)
{
    dep_end_machine(store, SIGTERM);
    dep_start_machine(store);
    DEP_WAIT(dep_store_is_ready(store), 10000, "a restarted storage machine is ready");
    dep_record("%s is back", dep_name(store));
}

static bool all_have_snapshots(void)
{
    for (int i = 0; i < DEP_STORES; i++) {
        if (dep_metric(i, "raft_snapshots_total") < 1) {
            return false;
        }
    }
    return true;
}

int main(int argc, char **argv)
{
    dep_open(argc, argv, 115);
    dep_add_server("agent-llm", true);
    dep_add_server("agent-llm", true);
    dep_set_events(4, 2);
    dep_start_deployment(CONFIGURATION);

    struct turn desk = ask_until_answered(0, "/desk/a", "desk", NULL, "a borrower at the desk");
    struct turn first = ask_until_answered(0, "/kiosk/a", "kiosk", NULL, "a machine took my coins");
    if (!desk.whole || !first.whole) {
        dep_finish(DEP_COULD_NOT_RUN, "the first turns were not answered");
    }

    /* Other conversations, until each storage machine has written a snapshot. */
    char *text = malloc(FILL_BYTES);
    memset(text, 'x', FILL_BYTES);
    for (int i = 0; i < FILL_TURNS && !all_have_snapshots(); i++) {
        char program[16];
        snprintf(program, sizeof(program), "fill-%d", i);
        run_turn(i % DEP_EDGES, "/desk/fill", program, NULL, text, FILL_BYTES);
    }
    free(text);
    DEP_WAIT(all_have_snapshots(), 10000, "all storage machines have written a snapshot");
    while (dep_now_ms() < first.answered_ms + AWAY_MS) {
        ask(1, "/desk/b", "other", NULL, "other work");
        dep_sleep_ms(500);
    }

    int leader = -1;
    DEP_WAIT((leader = dep_leader()) >= 0, 5000, "there is a leader");
    dep_record("the leader is %s", dep_name(leader));
    for (int i = 0; i < DEP_STORES && dep_trouble(); i++) {
        if (i != leader) {
            restart_store(i);
            uint64_t back_ms = dep_now_ms();
            while (dep_now_ms() < back_ms + GAP_MS) {
                ask(1, "/desk/b", "other", NULL, "other work");
                dep_sleep_ms(500);
            }
        }
    }
    ask(1, "/desk/b", "other", NULL, "other work");

    struct turn turns[4];
    turns[0] = ask_until_answered(0, "/kiosk/a", "kiosk", &first, "I am back");
    if (!turns[0].whole) {
        dep_finish(DEP_HELD, "the program came back too late and was told so");
    }
    turns[1] = ask_until_answered(0, "/kiosk/a", "kiosk", &turns[0], "it was two coins");
    turns[2] = ask_until_answered(0, "/kiosk/a", "kiosk", &turns[1], "of one pound each");
    if (!turns[2].whole) {
        dep_finish(DEP_COULD_NOT_RUN, "the conversation was not answered");
    }
    if (dep_trouble()) {
        restart_store(leader);
    }
    turns[3] = ask_until_answered(1, "/kiosk/a", "kiosk", &turns[2], "what now?");
    uint64_t age_ms = dep_now_ms() - turns[2].answered_ms;
    dep_record("the parent %s was answered whole %llu ms before; retention-s is %d", turns[2].id,
               (unsigned long long)age_ms, SHORT_S);
    if ((turns[3].status == 404 || turns[3].status == 410) && age_ms < SHORT_S * 1000) {
        dep_finish(DEP_BROKEN, "LOST: a turn that goes on from one answered whole less than retention-s ago got 404");
    }
    if (!turns[3].whole) {
        dep_finish(DEP_COULD_NOT_RUN, "the last turn got no answer");
    }
    dep_finish(DEP_HELD, "all turns were answered");
}
