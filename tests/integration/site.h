/**
 * @file site.h
 * A stand-in of the platform in the test's own process, and real site daemons
 * before it: machine list and servers (threads on loopback addresses, with the
 * failures that the platform's pages name), state replicas and gateways. Daemon
 * N stands in zone z(N mod 3 + 1); z1 and z3 are in region r1, z2 in r2.
 */
#ifndef BANKBANK_TESTS_SITE_H
#define BANKBANK_TESTS_SITE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/buffer.h"
#include "proxy.h"

enum {
    SITE_STATES = 3,
    SITE_GATEWAYS = 2,
    SITE_FURTHER = 30, /**< Daemons at most besides the first five, of which the three state replicas are the seeds. */
    SITE_SERVERS = 4,
    SITE_LIMIT_MS = 20000,
    SITE_LONG_EVENTS = 12000,
    SITE_LARGE_BYTES = 7 << 20
};

/** How a server answers. */
enum site_mode {
    SITE_NORMAL,      /**< Whole and signed. */
    SITE_REFUSE,      /**< 503, not run. */
    SITE_MISDIRECTED, /**< 421: another incarnation has the address. */
    SITE_CUT,         /**< Runs, then closes without an answer. */
    SITE_CUT_MIDWAY,  /**< Runs, and closes in the middle of the answer. */
    SITE_STALL,       /**< Streams two events and says nothing more. */
    SITE_TORN,        /**< Streams, and closes in the middle of its second event, once for each request. */
    SITE_UNNUMBERED,  /**< Streams events without ids, and closes after the second one. */
    SITE_PAUSED,      /**< Streams two events, says nothing for two seconds, and ends in order. */
    SITE_PACED,       /**< Takes a moment before each piece of a whole answer. */
    SITE_CROSSED,     /**< Answers with another request's id. */
    SITE_UNSIGNED,    /**< A success without its signature. */
    SITE_ENCODED,     /**< An answer with a content encoding. */
    SITE_EXTRA,       /**< A whole answer, and bytes behind it. */
    SITE_SILENT,      /**< Runs and says nothing. */
    SITE_SLOW,        /**< Runs for a second, then answers. */
    SITE_LONG,        /**< Streams SITE_LONG_EVENTS events of more than a KiB each. */
    SITE_UNREAD,      /**< The same; one that is not read for a moment is cut off, as long as it was not taken up. */
    SITE_LARGE,       /**< A whole answer of SITE_LARGE_BYTES. */
    SITE_UNFRAMED,    /**< A whole answer without a length, which ends with its connection. */
    SITE_RESET        /**< Part of an answer without a length, whose connection is reset. */
};

/** What a server tells as it begins a request. */
typedef struct site_run_t {
    int server;       /**< The server. */
    int instance;     /**< Its instance: how often it was replaced. */
    const char *id;   /**< The request's id. */
    struct view body; /**< Its body. */
    int64_t left_ms;  /**< Time that the server is given; -1: it is told none. */
    uint64_t at_ms;   /**< When the server had read the request. */
} site_run_t;

/** An answer to a caller. */
struct site_answer {
    int status;         /**< Status, 0: none. */
    bool whole;         /**< It ended as its framing told. */
    struct buffer head; /**< Status line and headers. */
    struct buffer body; /**< Decoded body. */
};

/** Starts stand-ins and daemons, and puts the first configuration. */
void site_start(void);

/**
 * The same with `count` further state replicas, which are no seeds: daemons
 * SITE_STATES + SITE_GATEWAYS and on. All but two seeds run for a moment before those two.
 */
void site_start_many(int count);

/** Starts a site of so many state replicas and gateways, three and two at least, all at once. */
void site_start_shape(int states, int gateways);

/** Number of daemons, and which of them is a state replica or a gateway by its number. */
int site_daemons(void);
int site_state_daemon(int state);
int site_gateway_daemon(int gateway);

/** Puts the sites that start next on the machine's disk. Else they stand on a file system in memory, where there is one
 * with room: its syncs don't wait for what else the machine does. */
void site_store_on_disk(void);

/** Ends all; fails if a daemon does not stop cleanly. Logs and data stay where the program fails, and it says where. */
void site_stop(void);

/** Starts and ends a daemon: states first, then gateways. */
void site_start_daemon(int daemon);
int site_end_daemon(int daemon, int signal_number);

/** Daemons started from now on refer their watchers to replicas outside the group where they have more than that. */
void site_refer_watchers(int above);

/** A daemon runs the program of another build from its next start on; NULL: of site_build. */
void site_set_build(int daemon, const char *build);

/** Names other daemons (SITE_STATES of them) as seeds in all settings, and tells the daemons that they have changed. */
void site_change_seeds(const int *daemons);

/** Limits the memory that a daemon started from now on may hold, in MB; 0: no limit. */
void site_limit_memory(int megabytes);

/** Process id of a daemon. */
pid_t site_process(int daemon);

/** Removes a stopped state replica's data. */
void site_lose_disk(int state);

/** Sets how servers answer; -1: all of them. Forgets what they ran. */
void site_set_mode(int server, enum site_mode mode);

/** The longest, in ms, that bytes of a request lay unread in this process in the last few seconds. */
uint64_t site_late_ms(void);

/** From now on servers answer with the request's id as their text, and tell each run. May be called from many threads.
 */
void site_echo(void (*run)(const site_run_t *run));

/** Puts a proxy before each server, from the next reading of the list on. */
void site_use_proxies(void);

/** Changes what the proxy before a server does; -1: all of them. */
void site_set_proxy(int server, enum proxy_mode mode);

/** Makes a server take no connection any more, without a word, or take them again. */
void site_set_dark(int server, bool dark);

/** Shows a server as one that has just started, or no more. */
void site_set_starting(int server, bool starting);

/** Puts another instance of a server into a zone (a constant text); at first all are in z1. */
void site_set_zone(int server, const char *zone);

/** Drops all that comes to a server and to its machine's closed port, the kernel's answers included, as if it had no
 * power; one server at a time. */
void site_set_dead(int server, bool dead);

/** Drops what comes to the closed port of the servers' machine, as a packet filter does, or lets it be refused again.
 */
void site_filter_closed_port(bool filtered);

/** Drops for good all that comes to the connections which a server has now; it takes new ones. */
void site_silence_connections(int server);

/** Shows a server as leaving on the list, or as ready. */
void site_set_draining(int server, bool draining);

/** Puts another instance in the place of a server that left: it has the address, and an id of its own. */
void site_replace_server(int server);

/** The instance of a server that runs now. */
int site_instance(int server);

/** Shows all servers as started at `born`, a Unix time in ms, under the ids that they have; 0: they do not tell. */
void site_set_born(uint64_t born);

/** Puts entries of another writer behind the servers on the list, as they are written: each begins with a comma. */
void site_list_also(const char *entries);

/** Number of requests that a server ran; -1: all servers. */
int site_runs(int server);

/** Body of the last request that any server ran; owned by the caller. */
char *site_last_body(void);

/** Head of the last request that any server ran; owned by the caller. */
char *site_last_head(void);

/** Connections that clients closed while a server was at work. */
int site_cancelled(void);

/** Address of a gateway's callers, and of a state replica's operators. */
const char *site_caller_ip(int gateway);
const char *site_control_ip(int state);

/** Sends a request with an id of its own and header lines (each with CRLF, or ""). */
void site_call(int gateway, const char *method, const char *path, const char *lines, const char *body,
               struct site_answer *answer);

/** The same with an id; NULL: a fresh one. */
void site_call_as(int gateway, const char *id, const char *method, const char *path, const char *lines,
                  const char *body, struct site_answer *answer);

void site_answer_close(struct site_answer *answer);

enum { SITE_TURN_BYTES = 60 * 1024 /**< What a large turn brings; the route takes 64 KiB. */ };

/** Runs the only turn of a program of its own, SITE_TURN_BYTES long, which makes logs grow; one that is refused while
 * the replicas' disk stands still is asked for again. */
void site_large_turn(int gateway, int number);

/** Sends an operator's call to a state replica; returns the status. */
int site_order(int state, const char *method, const char *path, const char *body, struct buffer *reply);

/** A configuration of the given version; `extra` is put into the first route. The caller frees it. */
char *site_configuration(int version, const char *extra);

/** The same with further fields of the whole; `more` begins with a comma, or is empty. */
char *site_configuration_with(int version, const char *extra, const char *more);

/** Opens a connection. */
int site_connect(const char *ip, int port);

/** Reads an answer's status from a connection and closes it; 0: no answer came. */
int site_read_status(int file);

/** Ports, the same on all machines. */
extern int site_caller_port;
extern int site_control_port;
extern int site_ready_port;
extern int site_metrics_port;

/** Port at which the machine of the servers listens never. */
extern int site_closed_port;

/** Whether the daemons that start next are told of no closed port. */
extern bool site_hides_closed_port;

/** Repeats until `reached` is true; fails after SITE_LIMIT_MS. */
void site_wait(bool (*reached)(void *context), void *context, const char *what);

/** Lets the files that a state replica writes grow no more, as on a full disk, or grow again. */
void site_set_disk_full(int state, bool full);

/** Value of a metric of a daemon; -1: none. */
double site_metric(int daemon, const char *name);

/** Whether a daemon's log has a text. */
bool site_log_has(int daemon, const char *text);

/** Folder of the programs under test. */
extern const char *site_build;

#endif
