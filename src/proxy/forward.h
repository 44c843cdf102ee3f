/**
 * @file forward.h
 * One caller's request on its way to a server and back.
 *
 * WAITING (the gateway has just started and knows no configuration or servers yet)
 *   -> PREPARING (a turn: its tokens are reserved and its conversation fetched)
 *   -> QUEUED (no server has a place for it now: place_wait.h)
 *   -> RUNNING (at a server; again at another one where that is allowed)
 *   -> COMMITTING (a turn: it is stored before its answer ends) -> closed.
 *
 * What is known of the request decides its answer: one that has not run and
 * will not is refused with a time to come back; one that may have run gets
 * 502 or 504, or a connection that breaks off.
 */
#ifndef BANKBANK_PROXY_FORWARD_H
#define BANKBANK_PROXY_FORWARD_H

#include "net/event_stream.h"
#include "proxy/front.h"

enum {
    FORWARD_MAX_PARALLEL = 2,       /**< Servers asked at the same time. */
    FORWARD_HEDGE_MS = 150,         /**< Time without an answer before a second server is asked, at least. */
    FORWARD_MAX_SENDS = 8,          /**< Servers asked, those that refuse included. */
    FORWARD_MAX_ANSWER = 8 << 20,   /**< Largest answer that is not streamed. */
    FORWARD_STATE_PERCENT = 40,     /**< Part of a caller's time left that the state replicas may take, at most. */
    FORWARD_STATE_MS = 1500,        /**< Time the state replicas may take to reserve or to fetch. */
    FORWARD_NEAR_MS = 120,          /**< Time a near replica may take before the leader is asked. */
    FORWARD_MAX_PENDING = 64 << 10, /**< Bytes of a stream kept for a caller that reads slowly. */
    FORWARD_LEAST_MS = 30,          /**< Least time left to ask a server. */
    FORWARD_ENDED_SILENT_MS = 2000, /**< Silence at a server that has started again that ends a call, at least. */
    FORWARD_START_MS = 1500,        /**< Time a request waits for a gateway that has just started, at most. */
    FORWARD_START_SHARE = 2,        /**< Part of the caller's time it waits, at most: one in so many. */
    FORWARD_MAX_WAITING = 256       /**< Requests that wait for that. */
};

/** Phase of a request. */
enum forward_phase { FORWARD_WAITING, FORWARD_PREPARING, FORWARD_QUEUED, FORWARD_RUNNING, FORWARD_COMMITTING };

/** A turn of a program. */
struct forward_turn {
    char *program;                  /**< Program, with its tenant where there are tenants, or NULL: not a turn. */
    char *parent;                   /**< Turn it goes on from, or NULL. */
    uint64_t budget;                /**< Tokens of the program. */
    uint64_t most;                  /**< The most this turn may generate. */
    char *ran_at;                   /**< Server that ran this turn whole, or NULL. */
    char *home;                     /**< Server that keeps the program's prompt, or NULL. */
    bool keep;                      /**< It is stored. */
    bool begun;                     /**< A reservation was asked for. */
    bool settled;                   /**< Its settlement was sent. */
    struct node_request *reserving; /**< Reservation under way. */
    struct node_request *fetching;  /**< Conversation being fetched. */
    uint64_t since_ms;              /**< Begin of the reservation or of the commit. */
    struct buffer history;          /**< Conversation so far. */
    struct buffer output;           /**< Data of the events so far. */
};

/** One server asked for an answer. */
struct forward_attempt {
    struct forward *forward;            /**< The request; NULL: the attempt is free. */
    struct server *server;              /**< Server asked. */
    struct upstream_exchange *exchange; /**< Exchange under way, or NULL. */
    uint64_t sent_ms;                   /**< Loop time at which it was sent, or else chosen. */
    uint64_t start_until_ms;            /**< Until when its token for a server that has just started is good, or 0. */
    uint64_t heard_ms;                  /**< Loop time at which something came last, 0: never. */
    uint64_t ended_ms;                  /**< Loop time at which the server was seen to have started again, 0: never. */
    bool silent;                        /**< It was noted that no answer has begun for long. */
    int status;                         /**< Status of the answer, 0: none yet. */
    bool refused;                       /**< The server did not run the request. */
    bool streaming;                     /**< The answer is passed on event by event. */
    struct buffer lines;                /**< Header lines to pass on. */
    struct buffer body;                 /**< Body that is not streamed. */
};

/** An answer that is passed on event by event. */
struct forward_stream {
    bool begun;                 /**< The caller has got its head. */
    struct event_stream events; /**< Splitter. */
    uint64_t event_count;       /**< Events passed on. */
    uint64_t last_event;        /**< Id of the last one. */
    bool unnumbered;            /**< One of them has no number as its id: nobody could tell where to go on. */
    uint32_t resumes;           /**< Times it was taken up after it broke off. */
    uint64_t first_event_ms;    /**< Loop time of the first one. */
    bool paused;                /**< The caller reads slowly: the server's answer is not read meanwhile. */
};

/** Its place in its tenant's quota; all zero: the tenant has no limit. */
struct forward_quota {
    bool may_begin;    /**< It may be the first of its program: that is known once its reservation is. */
    bool begins;       /**< It is. */
    uint64_t ask;      /**< Number of the ask whose answer it waits for, 0: none. */
    uint64_t taken_ms; /**< Loop time at which it got its token. */
    uint64_t retry_ms; /**< Refused: when to come back. */
};

/** The request. */
struct forward {
    struct front *front;               /**< The gateway. */
    struct http_call *call;            /**< The caller's side. */
    struct route_table *table;         /**< Configuration it began under. */
    struct route *route;               /**< Its route. */
    const struct route_tenant *tenant; /**< Whose it is, in `table`; NULL: nobody's. */
    enum forward_phase phase;          /**< Phase. */
    uv_timer_t limit;                  /**< Asks a second server, and ends it in time. */
    uint64_t limit_ms;                 /**< Loop time of that. */
    char *id;                          /**< The attempt's id. */
    struct forward_turn turn;          /**< As a turn. */
    struct forward_quota quota;        /**< Its tenant's quota. */
    struct server_wish wish;           /**< Where it may go. */
    prefix_chain_t chain;              /**< Shared parts of its prompt. */
    uint32_t own_tokens;               /**< Tokens of its own part. */
    uint64_t queued_ms;                /**< Loop time at which its wait for a place began; 0: none. */
    uint64_t program_due_ms;           /**< Loop time at which its program should be over. */
    struct forward_attempt attempts[FORWARD_MAX_PARALLEL]; /**< Servers that are being asked. */
    bool hedged;                                           /**< A second server was asked for want of an answer. */
    char *last_server;                                     /**< Server asked last, for the log. */
    uint32_t sends;                                        /**< Servers asked. */
    uint32_t runs;                                         /**< Servers on which it may have run. */
    char *bound;                  /**< Life of the server to which it comes back, or NULL: any. */
    uint64_t bound_due_ms;        /**< Loop time before which it does not ask there again. */
    struct forward_stream stream; /**< An answer under way to the caller. */
    const char *reason;           /**< Why it ended as it did, for the log. */
    int told_status;              /**< Status the caller got, 0: none. */
    struct forward *previous;     /**< Requests of the gateway. */
    struct forward *next;         /**< Requests of the gateway. */
};

/** Takes a caller's request. */
void forward_start(struct front *front, struct http_call *call);

/** Goes on with the requests that waited for configuration and servers. */
void forward_resume_waiting(struct front *front);

/** forward_attempt.c: notes the servers that have not begun to answer it for long. */
void forward_note_silence(struct forward *forward);

/** The caller has taken all of the answer so far. */
void forward_caller_drained(struct forward *forward);

/** The caller has left. */
void forward_caller_gone(struct forward *forward);

/** forward_resume.c: whether its stream may be taken up after it breaks off, as far as is known. */
bool forward_is_resumable(const struct forward *forward);

/** forward_resume.c: a server cannot be reached: what may go on elsewhere does; what its route binds to it only once
 * the server is gone. */
void forward_server_lost(struct front *front, const struct server *server);

/** forward_resume.c: ends what is silent at servers that have started again, as at one that crashed. */
void forward_end_silent(struct front *front);

/** forward_queue.c: it waits for a place at a server. */
void forward_queue_join(struct forward *forward);

/** forward_queue.c: places those that wait, as far as there are places, and refuses those that have waited too long. */
void forward_queue_serve(struct front *front);

/** forward_start.c: tells the choice of a server whether tokens are needed for those that have just started. */
void forward_pace_starts(struct forward *forward);

/** forward_start.c: whether a server may be sent a request: it has not just started, or a token is held for it. */
bool forward_may_start(const struct forward *forward, const struct server *server);

/** forward_start.c: takes the token that a server needs; returns until when it may be used, 0: it needs none. */
uint64_t forward_take_start(struct forward *forward, const struct server *server);

/** forward_start.c: where the chosen server (NULL: none) is busy, asks for a token of one that has just started. */
void forward_want_start(struct forward *forward, const struct server *chosen);

/** forward_start.c: sends the asks that are due to the leader. */
void forward_ask_starts(struct front *front);

/** forward_start.c: tells the log when a server comes to count as just started, or no more. */
void forward_report_starting(struct front *front, struct server *server);

/** forward_attempt.c: goes on once a turn is reserved and its conversation is there. */
void forward_place(struct forward *forward);

/** Ends as not run, with a time to come back. */
void forward_refuse(struct forward *forward, int status, const char *reason);

/** Ends the answer in order. */
void forward_complete(struct forward *forward);

/** Answers whole with what a server said; takes `lines` (header lines) and `body` over. */
void forward_complete_with(struct forward *forward, int status, struct buffer *lines, struct buffer *body);

/** Ends without a whole answer: `status` if the caller has got nothing yet, else its connection breaks off. */
void forward_fail(struct forward *forward, int status, const char *reason);

/** forward_tenant.c: finds whose it is; false: it was refused, for want of a key that is known. */
bool forward_tenant_find(struct forward *forward);

/** forward_tenant.c: whether its key still is the same tenant's. */
bool forward_tenant_still_holds(const struct forward *forward);

/** forward_tenant.c: hash of its tenant's name, 0: none. */
uint64_t forward_tenant_hash(const struct forward *forward);

/** forward_tenant.c: name under which the state replicas know a program of its tenant; the caller frees it. */
char *forward_tenant_program(const struct forward *forward, const char *program);

/** forward.c: goes on to a server, or waits on for what it still lacks: a token, a reservation, its conversation. */
void forward_go_on(struct forward *forward);

/**
 * forward_quota.c: takes a token of its tenant, or waits for the answer to the
 * next ask. What may be the first request of a program does neither before its
 * reservation tells whether it is.
 */
void forward_quota_begin(struct forward *forward);

/** forward_quota.c: the same once the reservation is there; false: it waits. */
bool forward_quota_settle(struct forward *forward);

/** forward_quota.c: takes a token; false: it waits. */
bool forward_quota_take(struct forward *forward);

/** forward_quota.c: gives a token back that it has not been sent with. */
void forward_quota_end(struct forward *forward);

/** forward_quota.c: whether its token, if it needs one, is not too old to be sent with. */
bool forward_quota_is_good(const struct forward *forward);

/** forward_quota.c: asks the leader for those that wait for a token. */
void forward_quota_ask(struct front *front);

/** forward_turn.c: tokens in one event of its service. */
uint64_t forward_chunk_tokens(const struct forward *forward);

/** forward_turn.c: reads the turn's headers. */
void forward_turn_read(struct forward *forward);

/** forward_turn.c: reserves tokens and fetches the conversation; then forward_place(). */
void forward_turn_begin(struct forward *forward);

/** forward_turn.c: stores the turn, then ends the answer. */
void forward_turn_commit(struct forward *forward);

/** forward_turn.c: settles what was handed out, once, when the turn is not stored. */
void forward_turn_settle(struct forward *forward);

/** forward_turn.c: frees it. */
void forward_turn_close(struct forward *forward);

/** forward_answer.c: the events of exchanges with servers. */
extern const struct upstream_events forward_upstream_events;

/** forward.c: ends for want of time; what may have run is not promised otherwise. */
void forward_out_of_time(struct forward *forward);

/** forward_resume.c: takes a stream that broke off up at a server; false: it cannot go on. Ends the attempt if so. */
bool forward_resume(struct forward_attempt *attempt, const char *reason);

/** forward_resume.c: whether it is bound to a server that gets nothing new: it can go on nowhere. */
bool forward_is_stranded(struct forward *forward);

/** forward_resume.c: the server to which a stream that broke off is bound; NULL: it is free to go anywhere. */
struct server *forward_bound_server(struct forward *forward);

/** forward_attempt.c: writes the request for a server, as it is now; false: there is no time left to run it, or the
 * server has come to leave. */
bool forward_on_write(void *owner, struct buffer *request);

/** forward_attempt.c: why an attempt ended without having been sent. */
const char *forward_unsent_reason(const struct forward_attempt *attempt);

/** forward_attempt.c: whether there is time left to ask a server. */
bool forward_has_time(const struct forward *forward);

/** forward_attempt.c: sends the request to a server. */
void forward_send(struct forward *forward, struct server *server);

/** forward_attempt.c: ends all attempts. */
void forward_end_attempts(struct forward *forward);

/** forward_attempt.c: whether some server may have begun on the request. */
bool forward_was_sent(const struct forward *forward);

/** forward_attempt.c: asks a second server, if the request may run again and has had no answer. */
void forward_hedge(struct forward *forward);

/** forward_attempt.c: a server did not run the request; the attempt ends. */
void forward_not_run(struct forward_attempt *attempt, const char *reason);

/** forward_attempt.c: a server may have run the request, and no answer came; the attempt ends. */
void forward_may_have_run(struct forward_attempt *attempt, const char *reason);

/** forward_attempt.c: ends an attempt: its exchange, if any, is given up. */
void forward_end_attempt(struct forward_attempt *attempt);

/** Value of a header of the request as a number; `absent` where it is missing or not one. */
uint64_t forward_number(const struct forward *forward, enum dialect_header header, uint64_t absent);

/** Value of a header of the request, a copy, or NULL. */
char *forward_text(const struct forward *forward, enum dialect_header header);

#endif
