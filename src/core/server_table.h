/**
 * @file server_table.h
 * The servers that a gateway knows, their health as its own traffic shows it,
 * and the choice among them. Pure.
 *
 * A server may start again under its id, and then knows nothing of before. A
 * `struct server` is one life, told by id and start. Another address or service
 * shows another life too, also where the start is not told. With the next life all
 * that is known begins anew; the old one is kept aside until its calls end. A life
 * that tells its start only after a while is the same one.
 *
 * Starts say nothing of the order of lives, since clocks may go back. Lists have
 * an order, but each may lag more than the one before. So news of a life that
 * has ended here is late and changes nothing, as long as it does not stand for
 * SERVER_LATE_MS: then it was the other one that was wrong.
 *
 * A server that leaves, or whose zone is drained (zone_set.h), gets nothing new,
 * whatever else speaks for it; the latter works on what it has. A list
 * that lags may still show a server that has answered as another one; that
 * life is not used again.
 *
 * A server that has just started is used last, and only with a token (slow_start.h),
 * where its service names a rate for such servers. What the list tells of it lags:
 * one that comes back into use after it could not be reached, or when its zone is
 * opened again, counts as just started for SERVER_RETURN_MS, by when the list
 * tells it.
 *
 * A program stays at its home, which keeps its conversation, until the queue
 * there costs more than reading the conversation anew elsewhere. Reading 3,600
 * tokens at 65 a millisecond stops a batch of 8 for 55 ms: 440 ms of requests.
 * A place in a queue costs 30 ms where turns take 240 ms on 8 slots: about 15
 * places. Left for less, homes feed an overload: each program that leaves is read
 * anew, which makes the queue that the next one leaves for.
 *
 * Requests about one object go to one server, as long as that is not much
 * busier than others: rendezvous hashing with bounded loads (Thaler and
 * Ravishankar 1998; Mirrokni, Thorup and Zadimoghaddam 2018). A server that has
 * lately seen an object works faster on it.
 */
#ifndef BANKBANK_CORE_SERVER_TABLE_H
#define BANKBANK_CORE_SERVER_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"
#include "core/health.h"
#include "core/prefix_table.h"
#include "core/reach.h"
#include "core/route_table.h"
#include "core/zone_set.h"

enum {
    SERVER_BINDS = 2,            /**< What names regions for one request: its route and its tenant. */
    SERVER_MAX_TRIED = 8,        /**< Servers one request remembers as tried. */
    SERVER_SHED_PAUSE_MS = 30,   /**< Time a server that was full is passed over. */
    SERVER_HOME_QUEUE = 16,      /**< Requests beyond its slots that a program's home may have: see below. */
    SERVER_COLD_CALLS = 2,       /**< Requests that opening a connection counts as. */
    SERVER_REMOTE_CALLS = 2,     /**< Requests that a server in another zone counts as. */
    SERVER_FAILING_QUEUE = 2,    /**< Slots' worth of calls that failures count as, at most. */
    SERVER_WITNESSES = 2,        /**< Other gateways whose shares of failures together count as one's own. */
    SERVER_LEAVE_CALLS = 16,     /**< Requests that the home must have more than another one to be left. */
    SERVER_OBJECT_CALLS = 3,     /**< Requests that a server which has not seen the request's object counts as. */
    SERVER_LOADS_VALID_MS = 700, /**< Time the loads of other gateways count at least. */
    SERVER_ENDED_LIVES = 512,    /**< Lives that are known to have ended. */
    SERVER_RETURN_MS = 2500,     /**< Time for the list to tell that a server which returns has started: its lag (0.8 s
                                      on all sheets), two readings and the way. */
    SERVER_LATE_MS = 15000       /**< Longer than the platform's list lags. */
};

/** One life of a server. */
struct server {
    char *id;                /**< Id, which other lives may have too. */
    char *life;              /**< Name of this life: the id and, where it is known, @ and the start. */
    uint64_t born;           /**< Unix ms of its start, 0: not told. */
    bool reborn;             /**< Another life with its id was known here before. */
    bool ended;              /**< Another life has its id now. */
    ServerRecord *late;      /**< News of a life that has ended here, or NULL. */
    uint64_t late_ms;        /**< Time of that news, 0: not noted yet. */
    char *service;           /**< Service it belongs to. */
    char *address;           /**< IP:PORT. */
    char *zone;              /**< Zone. */
    const char *region;      /**< Region of that zone, kept by the caller; NULL: not known. */
    uint32_t slots;          /**< Requests it works on at once. */
    bool draining;           /**< It leaves. */
    bool zone_drained;       /**< Its zone is drained. */
    bool starting;           /**< The list shows that it has just started. */
    uint64_t returned_ms;    /**< Time at which it came back into use, 0: never. */
    bool told_starting;      /**< Whether the log last told that it counts as just started. */
    bool listed;             /**< It is on the newest list. */
    bool seen;               /**< The whole list that is looked at has its id. */
    bool misplaced;          /**< Another server answered at its address. */
    bool vacant;             /**< Nothing listened at its address: it has ended. */
    uint32_t calls;          /**< Own requests under way there. */
    uint32_t others;         /**< Requests of other gateways there, as told last. */
    uint32_t others_failed;  /**< Sum of the shares of failures that they see, as told last. */
    uint64_t heard_ms;       /**< Time it was heard last, or got a request while it had none. */
    uint64_t full_until_ms;  /**< Passed over until then, after it refused. */
    health_t health;         /**< How often it fails. */
    prefix_table_t prefixes; /**< Shared prompt parts that it keeps, as sent from here. */
    reach_t reach;           /**< Whether it can be reached. */
    bool told_failing;       /**< Whether the log last told that it fails. */
    uint64_t hash;           /**< Of its life's name. */
    UT_hash_handle hh;       /**< By id. */
};

/** Tells that another life has the id of `server` now. */
typedef void (*server_life_ended)(void *context, const struct server *server);

/** All servers. */
struct server_table {
    struct server *servers;             /**< By id: the life that each has now. */
    uint32_t rotation;                  /**< Breaks ties. */
    uint64_t ended[SERVER_ENDED_LIVES]; /**< Hashes of lives that have ended, a ring. */
    uint32_t ended_count;               /**< Those so far. */
    server_life_ended life_ended;       /**< Receiver, or NULL. */
    void *context;                      /**< Its first argument. */
    const zone_place_t *places;         /**< Zones and their regions, kept by the caller. */
    size_t place_count;                 /**< Number of those. */
    const zone_set_t *drained;          /**< Drained zones, kept by the caller; NULL: none. */
    uint64_t loads_until_ms;            /**< Time until which the loads of other gateways count. */
};

/** A request to place. */
struct server_wish {
    const char *service;                          /**< Service. */
    const char *zone;                             /**< The gateway's zone. */
    const route_regions_t *regions[SERVER_BINDS]; /**< Regions that may be used: all of these bind; NULL: any. */
    const prefix_chain_t *chain;                  /**< Shared parts of its prompt, or NULL. */
    const prefix_cost_t *cost;                    /**< What a call costs on average; with `chain`. */
    const char *home;                             /**< Life that keeps the program's prompt, or NULL. */
    uint64_t object;                              /**< Hash of the object that it is about, 0: none. */
    /** Whether a token is held for a server that has just started; NULL: such servers are used as others are. */
    bool (*may_start)(void *context, const struct server *server);
    const struct server *tried[SERVER_MAX_TRIED];     /**< Not these. */
    uint32_t tried_count;                             /**< Number of those. */
    bool (*warm)(void *context, const char *address); /**< Whether a connection rests there; NULL: unknown. */
    void *context;                                    /**< Its first argument. */
};

/** Frees everything. */
void server_table_close(struct server_table *table);

/** Takes a new list. */
void server_table_update(struct server_table *table, const ServerList *list);

/** Takes what changed since the list before: servers that left it, then those that came or changed. */
void server_table_change(struct server_table *table, char *const *gone, size_t gone_count, const ServerList *changed);

/** To be called when the drained zones have changed. */
void server_table_zones_changed(struct server_table *table, uint64_t now_ms);

/** Whether a server counts as just started. */
bool server_is_starting(const struct server *server, uint64_t now_ms);

/** A server that may be used but for the token that a starting one needs; a different one each time. NULL: none. */
struct server *server_table_starting(struct server_table *table, uint64_t now_ms, const struct server_wish *wish);

/** Whether the wish's service has servers, but each stands in a drained zone or in a region that the wish bars. */
bool server_table_bars(const struct server_table *table, const struct server_wish *wish);

/** Whether a server gets nothing new: it leaves, is not on the list, or its zone is drained. */
bool server_is_closed(const struct server *server);

/** The life with a name (`life` of struct server), or NULL where it has ended. */
struct server *server_table_life(const struct server_table *table, const char *life);

/** Takes news of lives that has stood for so long that it is not late. */
void server_table_review(struct server_table *table, uint64_t now_ms);

/** Takes what other gateways have under way. */
void server_table_take_loads(struct server_table *table, uint64_t now_ms, const LoadTotals *totals);

/** Fills what this gateway has under way and sees failing; free `report->loads`. */
void server_table_report_loads(const struct server_table *table, uint64_t now_ms, LoadReport *report);

/** Chooses a server, or NULL if none may be used. */
struct server *server_table_choose(struct server_table *table, uint64_t now_ms, const struct server_wish *wish);

/** Whether a server has ended, leaves or is gone (reach.h): a run there is out of the count of those that a route
 * allows. */
bool server_is_gone(const struct server *server);

/** Whether a service has a server that may be used by a request with a wish, whose own service is not looked at. */
bool server_table_serves(const struct server_table *table, uint64_t now_ms, const char *service,
                         const struct server_wish *wish);

/** Notes that a request was sent to a server; a second time there counts once. */
void server_wish_note_tried(struct server_wish *wish, const struct server *server);

/** Notes begin and end of a request. The server may be freed by the end. */
void server_begin(struct server *server, uint64_t now_ms);
void server_end(struct server_table *table, struct server *server);

/** Whether a server has more requests under way than it works on at once, as far as is known. */
bool server_is_busy(const struct server_table *table, const struct server *server, uint64_t now_ms);

/** Share of failures of a server, as this gateway or several others see it, of HEALTH_ONE. */
uint32_t server_failures(const struct server_table *table, const struct server *server, uint64_t now_ms);

/** Notes that a server refused a request: it is passed over for a moment. */
void server_refused(const struct server_table *table, struct server *server, uint64_t now_ms);

/** Notes that a server has left a request without an answer for long; a queue there excuses it. */
void server_unanswered(const struct server_table *table, struct server *server, uint64_t now_ms);

/** Notes that something came from a server; one whose address was vacant has started since. */
void server_heard(struct server *server, uint64_t now_ms);

#endif
