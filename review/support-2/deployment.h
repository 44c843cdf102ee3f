/*
 * A small deployment for review scripts: bankbank-site processes with the settings of
 * deploy/settings.yaml.in, and stand-ins for the platform's list, servers, clients and the operator as
 * PROTOCOL.md describes them. All addresses are loopback addresses. No code of the project is linked.
 *
 * The figures are those of mpva-vend: 3 storage machines (280 MB), edge machines (260 MB), 3 zones,
 * grace-s 8, drain-ms 3000, fault-tolerance of one machine.
 */
#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    DEP_STORES = 3,
    DEP_EDGES = 2,
    DEP_MACHINES = DEP_STORES + DEP_EDGES, /* stores first */
    DEP_MAX_SERVERS = 8,
    DEP_MAX_RUNS = 400000
};

/* Exit status of a script. */
enum { DEP_HELD = 0, DEP_BROKEN = 1, DEP_COULD_NOT_RUN = 2 };

/* One request that a server began to run. */
struct dep_run {
    char id[40];
    int server;
    uint64_t body_hash;
    size_t body_length;
    uint64_t at_ms;
};

struct dep_response {
    int status;    /* 0: no answer */
    bool complete; /* by its framing */
    bool signed_by_server;
    char *body; /* without chunked framing; NUL-terminated */
    size_t length;
    char *text; /* for streams: the data of each event with a line feed behind; NUL-terminated */
    size_t text_length;
    int events;
    int last_event;
};

/* ---- The script ---- */
uint64_t dep_now_ms(void);
void dep_sleep_ms(uint64_t ms);
/* Writes a line with the time to record.txt and to stdout. */
void dep_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Parses the arguments (repository root, record file); ends the process after `limit_s` with status 2. */
void dep_open(int argc, char **argv, int limit_s);
/* Ends all processes that were started, removes the temporary folder and exits. */
void dep_finish(int status, const char *why) __attribute__((noreturn));
bool dep_trouble(void); /* TROUBLE=0: false */
uint64_t dep_hash(const void *data, size_t length);

/* ---- Machines ---- */
void dep_start_machine(int machine);
/* What `bootstrap` says in the settings of machines that start from now on: true only at the first start. */
void dep_set_bootstrapped(bool done);
int dep_signal_machine(int machine, int signal_number); /* for SIGSTOP and SIGCONT */
int dep_end_machine(int machine, int signal_number);    /* signals and waits; returns the wait status */
const char *dep_name(int machine);
const char *dep_ip(int machine);
bool dep_log_has(int machine, const char *text);
double dep_metric(int machine, const char *name); /* -1: none */
int dep_leader(void);                             /* store that leads; -1: none */
bool dep_store_is_ready(int store);               /* it runs, votes and knows the leader */
bool dep_edge_is_ready(int edge);                 /* edge: 0 .. DEP_EDGES - 1 */
#define DEP_WAIT(condition, ms, what) dep_wait_until(({                                                                \
    bool reached = false;                                                                                              \
    for (uint64_t end = dep_now_ms() + (ms); !reached && dep_now_ms() < end;) {                                        \
        reached = (condition);                                                                                         \
        if (!reached) {                                                                                                \
            dep_sleep_ms(20);                                                                                          \
        }                                                                                                              \
    }                                                                                                                  \
    reached;                                                                                                           \
}), what)
void dep_wait_until(bool reached, const char *what); /* false: the script could not run */

/* ---- Servers ---- */
/* `stream`: answers requests with events (a model server), else with the request's id as text. */
int dep_add_server(const char *service, bool stream);
void dep_set_draining(int server, bool draining);
void dep_set_work_ms(int server, int ms);   /* before the answer begins */
/* Connections of all callers together; further ones are reset. Call it before the machines start. */
void dep_set_max_connections(int server, int most);
const char *dep_server_id(int server);
int dep_servers_of(const char *id); /* on how many servers the request began to run */
/* For dep_on_request: the server begins to run the request. */
void dep_count_run(int server, const char *id, const char *body, size_t length);
void dep_set_events(int events, int gap_ms); /* of streams */
void dep_set_long_events(int events, int gap_ms); /* of streams whose path ends with /long */
int dep_runs_of(const char *id);            /* how often servers began to run the request */
const struct dep_run *dep_last_run(const char *id);
/* Called for each connection that is accepted and each request; may be NULL. Returns true if it has handled
 * the request itself (the connection is then closed). */
extern bool (*dep_on_request)(int server, int fd, const char *head, const char *body, size_t length, int nth);

/* ---- Platform, operator, clients ---- */
void dep_start_platform(void);
int dep_operator(int store, const char *method, const char *path, const char *body, char **answer);
void dep_new_id(char id[40]);
struct dep_response dep_call(int edge, const char *method, const char *path, const char *id, const char *headers,
                             const void *body, size_t length, int timeout_ms);
void dep_response_free(struct dep_response *response);
/* Starts all machines, puts the configuration and waits until the edges are ready. */
void dep_start_deployment(const char *configuration);

extern char dep_folder[256];
extern int dep_caller_port;

#endif
