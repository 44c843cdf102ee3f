/*
 * The storage machines are stopped and started in turn, the leader last, while conversations go on. Is each turn
 * that was answered whole still known at the end?
 *
 * Two stateful routes: /desk/ keeps turns for 60 s, /kiosk/ for 5 s. Two conversations on /kiosk/ are judged:
 *   "clinic"  each of its turns is sent at once after the turn that it goes on from; the second one runs for 24 s
 *             (the route allows 30 s)
 *   "kiosk"   its program is away for 20 s and more, and then comes back. That turn may be answered 404; if it is
 *             answered whole, it counts like any other.
 */
#include "deployment.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    LONG_S = 60,
    SHORT_S = 5,
    FILL_BYTES = 1000 * 1000, /* below max-body-bytes */
    FILL_TURNS = 60,          /* a storage machine writes a snapshot after about 42 MB of log */
    FIRST_FILL_TURNS = 30,
    LONG_EVENTS = 120,
    LONG_GAP_MS = 200,
    AWAY_MS = 20000,
    GAP_MS = 5000, /* after the return of a storage machine; above catch-up-s (4.4 s) */
    CALL_MS = 4000,
    LONG_CALL_MS = 30000
};

static const char CONFIGURATION[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"desk\",\"host\":\"app.example\",\"path-prefix\":\"/desk/\",\"kind\":\"streaming\",\"timeout-ms\":4000,"
    "\"target-latency-ms\":250,\"priority\":1,\"service\":\"agent-llm\",\"max-attempts\":1,\"stateful\":true,"
    "\"retention-s\":60.0,\"sticky\":true,\"resumable\":false,\"target-gap-ms\":200},"
    "{\"name\":\"kiosk\",\"host\":\"app.example\",\"path-prefix\":\"/kiosk/\",\"kind\":\"streaming\","
    "\"timeout-ms\":30000,\"target-latency-ms\":250,\"priority\":1,\"service\":\"agent-llm\",\"max-attempts\":1,"
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
                            const char *body, size_t length, int call_ms)
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
             "Bankbank-Token-Usage: 400,1200\r\n%s",
             program, program, line);
    dep_new_id(turn.id);
    struct dep_response response = dep_call(edge, "POST", path, turn.id, headers, body, length, call_ms);
    turn.status = response.status;
    turn.whole = response.status == 200 && response.complete && response.signed_by_server;
    turn.answered_ms = dep_now_ms();
    dep_response_free(&response);
    return turn;
}

static struct turn ask(int edge, const char *path, const char *program, const struct turn *parent, const char *text)
{
    return run_turn(edge, path, program, parent, text, strlen(text), CALL_MS);
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

static void fill_log(int first, int turns)
{
    char *text = malloc(FILL_BYTES);
    memset(text, 'x', FILL_BYTES);
    for (int i = first; i < first + turns && !all_have_snapshots(); i++) {
        char program[16];
        snprintf(program, sizeof(program), "fill-%d", i);
        run_turn(i % DEP_EDGES, "/desk/fill", program, NULL, text, FILL_BYTES, CALL_MS);
    }
    free(text);
}

struct long_turn {
    struct turn parent;
    struct turn turn;
    volatile bool done;
};

static void *run_long_turn(void *argument)
{
    struct long_turn *work = argument;
    static const char text[] = "please read all of this to me";
    work->turn = run_turn(0, "/kiosk/long", "clinic", &work->parent, text, strlen(text), LONG_CALL_MS);
    work->done = true;
    return NULL;
}

/* Takes two more turns, and returns the last one. */
static struct turn go_on(const char *program, struct turn turn)
{
    turn = ask_until_answered(0, "/kiosk/a", program, &turn, "it was two coins");
    if (!turn.whole) {
        dep_finish(DEP_COULD_NOT_RUN, "a conversation was not answered");
    }
    turn = ask_until_answered(0, "/kiosk/a", program, &turn, "of one pound each");
    if (!turn.whole) {
        dep_finish(DEP_COULD_NOT_RUN, "a conversation was not answered");
    }
    return turn;
}

/* Returns whether the rule is broken: a 404 to a turn whose parent is younger than retention-s. */
static bool is_lost(const char *program, const struct turn *parent)
{
    struct turn turn = ask_until_answered(1, "/kiosk/a", program, parent, "what now?");
    uint64_t age_ms = dep_now_ms() - parent->answered_ms;
    dep_record("%s: the parent %s was answered whole %llu ms before; retention-s is %d", program, parent->id,
               (unsigned long long)age_ms, SHORT_S);
    return (turn.status == 404 || turn.status == 410) && age_ms < SHORT_S * 1000;
}

int main(int argc, char **argv)
{
    dep_open(argc, argv, 115);
    dep_add_server("agent-llm", true);
    dep_add_server("agent-llm", true);
    dep_set_events(4, 2);
    dep_set_long_events(LONG_EVENTS, LONG_GAP_MS);
    dep_start_deployment(CONFIGURATION);

    struct turn desk = ask_until_answered(0, "/desk/a", "desk", NULL, "a borrower at the desk");
    struct turn kiosk = ask_until_answered(0, "/kiosk/a", "kiosk", NULL, "a machine took my coins");
    fill_log(0, FIRST_FILL_TURNS);
    struct long_turn clinic = {.parent = ask_until_answered(0, "/kiosk/a", "clinic", NULL, "where do I go?")};
    if (!desk.whole || !kiosk.whole || !clinic.parent.whole) {
        dep_finish(DEP_COULD_NOT_RUN, "the first turns were not answered");
    }
    pthread_t thread;
    pthread_create(&thread, NULL, run_long_turn, &clinic);

    /* Other conversations, until each storage machine has written a snapshot. */
    fill_log(FIRST_FILL_TURNS, FILL_TURNS - FIRST_FILL_TURNS);
    DEP_WAIT(all_have_snapshots(), 10000, "all storage machines have written a snapshot");
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
    while (!clinic.done || dep_now_ms() < kiosk.answered_ms + AWAY_MS) {
        ask(1, "/desk/b", "other", NULL, "other work");
        dep_sleep_ms(500);
    }
    pthread_join(thread, NULL);
    struct turn back = ask_until_answered(0, "/kiosk/a", "kiosk", &kiosk, "I am back");
    if (clinic.turn.whole) {
        clinic.turn = go_on("clinic", clinic.turn);
    }
    if (back.whole) {
        back = go_on("kiosk", back);
    }
    if (!clinic.turn.whole && !back.whole) {
        dep_finish(DEP_HELD, "both programs were told at once that their turns are gone");
    }
    if (dep_trouble()) {
        restart_store(leader);
    }
    bool clinic_lost = clinic.turn.whole && is_lost("clinic", &clinic.turn);
    bool kiosk_lost = back.whole && is_lost("kiosk", &back);
    char text[200];
    snprintf(text, sizeof(text), "LOST: 404 to a turn that goes on from one answered whole less than retention-s ago (%s%s%s)",
             clinic_lost ? "clinic" : "", clinic_lost && kiosk_lost ? ", " : "", kiosk_lost ? "kiosk" : "");
    dep_finish(clinic_lost || kiosk_lost ? DEP_BROKEN : DEP_HELD, clinic_lost || kiosk_lost ? text : "all turns were answered");
}
