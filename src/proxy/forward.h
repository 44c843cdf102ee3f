/**
 * @file forward.h
 * A caller's request and its response while the gateway forwards it to a server.
 *
 * WAITING (for the first configuration and server list of this process)
 *   -> PREPARING (takes a rate limit token; a turn also reserves output tokens and
 *      fetches its conversation)
 *   -> QUEUED (no server has capacity now: queue_policy.h)
 *   -> RUNNING (sent to a server, and again if a retry is allowed)
 *   -> COMMITTING (a stored turn: stored before its response ends) -> closed.
 *
 * A request that has certainly not run is refused, with Retry-After if the
 * caller may retry it. One that may have run gets 502 or 504, or its connection
 * is aborted.
 */
#ifndef BANKBANK_PROXY_FORWARD_H
#define BANKBANK_PROXY_FORWARD_H

#include "net/event_stream.h"
#include "proxy/frontend.h"

enum {
    FORWARD_MAX_PARALLEL = 2,     /**< Maximum concurrent attempts of one request. */
    FORWARD_HEDGE_DELAY_MS = 150, /**< Minimum time from routing to a second server, if no response is complete. */
    FORWARD_MAX_SENDS = 8,        /**< Attempts at servers, including those that were refused or not sent. */
    FORWARD_MAX_RESPONSE_BYTES = 8 << 20,    /**< Maximum body of a response that is not streamed. */
    FORWARD_STATE_MAX_PERCENT = 40,          /**< Share of the time left that the state replicas may use. */
    FORWARD_STATE_TIMEOUT_MS = 1500,         /**< Upper limit of that time, for one reservation or fetch. */
    FORWARD_NEARBY_TIMEOUT_MS = 120,         /**< Timeout of a nearby replica before the leader is asked. */
    FORWARD_SMALL_RESPONSE_BYTES = 64 << 10, /**< Received even if the memory for requests is full. */
    FORWARD_MAX_REFUSAL_BYTES = 64 << 10,    /**< Of the body of a refusal, after which its end is not awaited. */
    FORWARD_MAX_COMMENT_BYTES = 64 << 10,    /**< Of events without data in a row. */
    FORWARD_MAX_PENDING_BYTES = 64 << 10, /**< Unsent bytes of a stream above which reading from the server pauses. */
    FORWARD_MIN_REMAINING_MS = 30,        /**< Minimum time left to send a request to a server. */
    FORWARD_RESTARTED_IDLE_MS = 2000,     /**< Minimum idle timeout of an attempt at a server that has restarted. */
    FORWARD_STARTUP_WAIT_MS = 1500,       /**< Maximum time in FORWARD_WAITING. */
    FORWARD_STARTUP_WAIT_DIVISOR = 2,     /**< That time is also at most the caller's timeout divided by this. */
    FORWARD_RECORD_WAIT_MS = 250,      /**< Maximum time for which a first event waits for the record of its version. */
    FORWARD_RECORD_SLACK_MS = 10000,   /**< Records are kept this much longer than the caller waits. */
    FORWARD_MAX_WAITING = 256,         /**< Maximum number of requests in FORWARD_WAITING. */
    FORWARD_FAILURE_WAIT_MS = 500,     /**< Maximum time for which a retry or resume waits for the leader's count. */
    FORWARD_FAILURE_ANSWER_MS = 100,   /**< The same for the answer of a request that is not sent again: its caller may
                                          repeat it at once, maybe after this process has been killed. */
    FORWARD_SUSPECTED_RETRY_MS = 1000, /**< Retry-After while other attempts at a suspected operation are open. */
    FORWARD_FAILURE_REPORT_MS = 10000  /**< Maximum time for which a failure is reported again to the leader. */
};

enum forward_phase { FORWARD_WAITING, FORWARD_PREPARING, FORWARD_QUEUED, FORWARD_RUNNING, FORWARD_COMMITTING };

/** State of a request that is a turn of a program. */
struct forward_turn {
    char *program;                 /**< Program id, prefixed by the tenant if there are tenants; NULL: not a turn. */
    char *parent;                  /**< Turn that this one continues, or NULL. */
    uint64_t budget_tokens;        /**< Budget of the program. */
    uint64_t max_tokens;           /**< Maximum tokens that this turn may generate. */
    char *served_by;               /**< Incarnation of the server that ran this turn to its end, or NULL. */
    char *home;                    /**< Incarnation of the server that holds the program's prompt cache, or NULL. */
    bool persistent;               /**< Stored when it completes. */
    bool reservation_sent;         /**< Proposed, and not refused so far. */
    bool settled;                  /**< The reservation is settled, or its settlement was sent. */
    struct node_request *proposal; /**< Reservation or commit in flight, or NULL. */
    struct node_request *fetch;    /**< Conversation fetch in flight, or NULL. */
    uint64_t proposed_ms;          /**< Loop time of the last proposal. */
    struct buffer history;         /**< Conversation before this turn. */
    struct buffer output;          /**< Event data received so far. */
};

struct forward_attempt {
    struct forward *forward; /**< NULL: this slot is free. */
    struct server *server;
    struct upstream_exchange *exchange; /**< In flight, or NULL. */
    uint64_t sent_ms;                /**< Loop time at which it was sent; until then, at which the server was chosen. */
    uint64_t start_token_expires_ms; /**< Expiry of the token for a server that has just started; 0: no token. */
    uint64_t last_received_ms;       /**< Loop time of the last bytes received; 0: none. */
    uint64_t restart_seen_ms;        /**< Loop time at which a restart of the server was noticed; 0: none. */
    const char *failure;             /**< Reason of its failure, while `failure_report` is in flight. */
    struct node_request *failure_report; /**< To the leader; in flight, or NULL. */
    uint64_t failure_reported_ms;        /**< Loop time. */
    bool may_go_on;                      /**< The request may be sent again unless it is quarantined. */
    bool unanswered_recorded;            /**< By forward_record_unanswered(), once. */
    int status;                          /**< 0: no response yet. */
    bool refused;                        /**< The response says that the server did not run the request. */
    size_t refusal_bytes;                /**< Of the body of that response. */
    bool streaming;                      /**< Response relayed event by event. */
    struct buffer header_lines;          /**< To relay, each ends with CRLF. */
    struct buffer body;                  /**< Body of a response that is not streamed. */
};

/** A response relayed event by event, from one or more attempts. */
struct forward_stream {
    bool head_sent; /**< The response head was sent to the caller. */
    struct event_stream events;
    uint64_t event_count;      /**< Relayed events with data. */
    uint64_t last_event;       /**< Id of the last event. */
    const char *service;       /**< Service and software version that began it, those of the server of the first event;
                                  NULL: not known yet. Borrowed from the route. */
    char *version;             /**< Set together with `service`. */
    bool version_unknown;      /**< That server restarted at about that time, maybe with another version. */
    bool has_unnumbered_event; /**< Some event has no numeric id, so no server can resume after it. */
    size_t comment_bytes;      /**< Of events without data since the last one with data. */
    uint32_t resumes;          /**< Times resumed. */
    uint64_t resumed_events;   /**< `event_count` when it was last resumed. */
    uint64_t first_event_ms;   /**< Loop time; 0: none yet. */
    bool paused;               /**< Reading from the server is paused, since the caller reads too slowly. */
};

/** The record of the software version that began a stream (core/stream_origins.h). */
struct forward_origin {
    struct node_request *lookup; /**< Read of the record in flight, or NULL. */
    struct node_request *record; /**< Proposal of the record in flight, or NULL. */
    char *recorded;              /**< Version last proposed or read; NULL: none. */
    bool first_event_seen;       /**< Whether it waits for the record is decided at the first event. */
    uint64_t held_until_ms;      /**< Loop time until which `held` waits for the record; 0: nothing is held. */
    struct buffer held;          /**< Events, from the first one on. */
};

/** Rate limiting of a request; all zero: its tenant has no limit. */
struct forward_quota {
    bool may_start_program;  /**< May be the first request of its program; known once the reservation succeeds. */
    bool starts_program;     /**< The first request of its program. */
    uint64_t request_number; /**< Token request (core/quota_lease.h) whose reply it waits for; 0: none. */
    uint64_t token_taken_ms; /**< Loop time; 0: no token taken. */
    uint64_t retry_after_ms; /**< Set when refused over the limit. */
    bool needs_leader;       /**< It has no token and the gateway is cut off from the leader: to be refused. */
};

/** Whether the request may run although its operation is suspected (core/open_attempts.h). */
struct forward_permit {
    struct node_request *request; /**< To the leader; in flight, or NULL. */
    bool granted;
    bool opened; /**< The log may hold an open attempt that is to be ended; not for turns, which their settlement ends.
                  */
};

struct forward {
    struct frontend *frontend;
    struct http_call *call;            /**< Owned by its connection. */
    struct route_table *table;         /**< Configuration when it was routed; holds a reference. */
    struct route *route;               /**< In `table`; NULL: none. */
    const struct route_tenant *tenant; /**< In `table`; NULL: none. */
    enum forward_phase phase;
    uv_timer_t timer;      /**< Fires for a hedged attempt and at the deadline. */
    uint64_t timer_due_ms; /**< Loop time. */
    bool timer_deferred;   /**< It fired late, and fires again after what has arrived was read. */
    uint64_t deadline_ms;  /**< Loop time. */
    char *id;              /**< DIALECT_REQUEST_ID, or NULL. */
    struct forward_turn turn;
    struct forward_quota quota;
    struct server_criteria criteria;
    prefix_chain_t chain;         /**< Shared parts of the prompt. */
    uint32_t own_tokens;          /**< Unshared part of the prompt. */
    uint64_t queued_ms;           /**< Loop time at which it was first queued; 0: never, or reset by a resume. */
    uint64_t program_deadline_ms; /**< Loop time at which the program should be complete. */
    struct forward_attempt attempts[FORWARD_MAX_PARALLEL];
    bool hedged;        /**< Sent to a second server because the first was slow. */
    char *last_server;  /**< Of the last attempt, for the log; NULL: none. */
    char *last_version; /**< Software version of that server, for the log; NULL: none. */
    char *resumes;      /**< DIALECT_RESUMES, or NULL. */
    uint64_t operation; /**< Once `has_operation` is set; see forward_operation(). */
    bool has_operation;
    bool admitted;              /**< There was memory for it (frontend_memory.h). */
    bool operation_by_contents; /**< Requests of other callers may have the same operation. */
    bool failure_uncounted;     /**< The leader may not have counted all failures: no further server may run it. */
    struct forward_permit permit;
    struct forward_origin origin;
    uint32_t sends;          /**< Attempts so far. */
    uint32_t possible_runs;  /**< Failed attempts in which a server may have run it. */
    char *bound_incarnation; /**< Incarnation of the only server that may resume it; NULL: any server may. */
    uint64_t bound_retry_ms; /**< Loop time before which that server is not tried. */
    struct forward_stream stream;
    const char *reason;       /**< Outcome, for the log. */
    int response_status;      /**< Status sent to the caller; 0: none. */
    uint64_t retry_after_ms;  /**< Set when refused because the gateway is cut off; 0: chosen by other rules. */
    struct forward *previous; /**< In frontend.forwards. */
    struct forward *next;     /**< In frontend.forwards. */
};

void forward_start(struct frontend *frontend, struct http_call *call);

/** Routes the requests in FORWARD_WAITING. */
void forward_route_waiting(struct frontend *frontend);

/** forward_attempt.c: records, once for each attempt, servers that have not responded for too long. */
void forward_record_unanswered(struct forward *forward);

/** Call when all queued bytes of the response were written (http_handler.drained). */
void forward_caller_drained(struct forward *forward);

/** Call when the caller has disconnected. */
void forward_caller_disconnected(struct forward *forward);

/** forward_resume.c: whether its stream may be resumed, judged by the route, the turn and the events so far. */
bool forward_is_resumable(const struct forward *forward);

/** forward_resume.c: ends those attempts at an unreachable server that were not sent, or may be retried or resumed. */
void forward_handle_unreachable_server(struct frontend *frontend, const struct server *server);

/** forward_resume.c: ends the attempts at restarted servers that were not sent or are idle. */
void forward_end_idle_after_restart(struct frontend *frontend);

/** forward_version.c: whether the request resumes a stream of an earlier request, which it names. */
bool forward_names_stream(const struct forward *forward);

/** forward_version.c: whether the request resumes a stream of an earlier request. */
bool forward_resumes_stream(const struct forward *forward);

/** forward_version.c: if the request resumes a stream, reads which version began it, and then calls forward_continue()
 * or refuses the request. */
void forward_begin_resumption(struct forward *forward);

/** forward_version.c: records the version of the server that the request is sent to, if several serve. */
void forward_record_version(struct forward *forward, const struct server *server);

/** forward_version.c: the same for the server that runs the stream, after the list of servers has changed. */
void forward_record_running(struct forward *forward);

/** forward_version.c: forwards events to the caller, the first ones once the version is recorded. */
void forward_send_event(struct forward *forward, struct view raw);

/** forward_version.c: forwards the held events. */
void forward_release_held(struct forward *forward);

/** forward_version.c: forwards the held events that have waited for FORWARD_RECORD_WAIT_MS. */
void forward_release_held_streams(struct frontend *frontend);

/** forward_version.c: events were received from the attempt's server: the stream stays at that server's version. */
void forward_pin_version(struct forward_attempt *attempt);

/** forward_version.c: the attempt's server may have been replaced by another version before it ran the stream. */
void forward_check_replaced_version(struct forward_attempt *attempt);

/** forward_version.c: whether no server may run the request for the sake of its stream's version. */
bool forward_lacks_version(const struct forward *forward);

/** forward_version.c: whether the stream may be resumed at another server of its version. */
bool forward_has_other_of_version(const struct forward_attempt *attempt);

/** forward_version.c: frees the members of `origin`; later replies of the state replicas are ignored. */
void forward_origin_close(struct forward *forward);

/** forward_queue.c. */
void forward_queue_add(struct forward *forward);

/** forward_queue.c: places the queued requests in order; ends those that have waited too long. */
void forward_queue_serve(struct frontend *frontend);

/** forward_slow_start.c: sets criteria.has_start_token if the service limits the request rate of servers that have just
 * started. */
void forward_set_start_filter(struct forward *forward);

/** forward_slow_start.c: whether the server needs no start token, or one is held. */
bool forward_may_send_to(const struct forward *forward, const struct server *server);

/** Whether FORWARD_MAX_SENDS allows another attempt; checked before each one. */
bool forward_may_send_again(const struct forward *forward);

/** forward_slow_start.c: returns the token's expiry (loop time), 0: the server needs none. */
uint64_t forward_take_start_token(struct forward *forward, const struct server *server);

/** forward_slow_start.c: if the chosen server is busy or NULL, adds demand for a token of a just started one. */
void forward_demand_start_token(struct forward *forward, const struct server *chosen);

/** forward_slow_start.c: requests tokens from the leader if there is demand, at a limited rate. */
void forward_request_start_tokens(struct frontend *frontend);

/** forward_slow_start.c: logs when a server begins or ceases to need start tokens. */
void forward_log_starting(struct frontend *frontend, struct server *server);

/** forward_attempt.c: chooses a server; sends, queues, refuses or fails the request. */
void forward_place(struct forward *forward);

/** Ends the request as not run; 429 and 503 carry a Retry-After time. Fails it if the response has begun. */
void forward_refuse(struct forward *forward, int status, const char *reason);

/** Whether requests to state replicas are pending that must be answered before it is placed. */
bool forward_has_pending_requests(const struct forward *forward);

/** frontend_contact.c: whether it has not run and waits for the quorum. */
bool forward_waits_for_quorum(const struct forward *forward);

/** frontend_contact.c: refuses a request that has certainly not run, because the gateway is cut off. */
void forward_refuse_cut_off(struct forward *forward);

/** frontend_contact.c: aborts a stored turn, because the gateway is cut off and cannot learn whether it commits. */
void forward_abort_uncommitted(struct forward *forward);

/** Ends the request after a complete streamed response. */
void forward_complete(struct forward *forward);

/** Ends the request with a response that is not streamed; takes ownership of `lines` (header lines) and `body`. */
void forward_complete_with(struct forward *forward, int status, struct buffer *lines, struct buffer *body);

/** Ends without a complete response: sends `status` if the response has not begun, else aborts the connection. */
void forward_fail(struct forward *forward, int status, const char *reason);

/** forward_tenant.c: sets `tenant`; false: the request was refused for lack of a known key. */
bool forward_tenant_find(struct forward *forward);

/** forward_tenant.c: whether its key still belongs to its tenant, if the configuration changed while it waited. */
bool forward_tenant_is_valid(const struct forward *forward);

/** forward_tenant.c: 0: no tenant. */
uint64_t forward_tenant_hash(const struct forward *forward);

/** forward_tenant.c: program id at the state replicas, unique among tenants; the caller frees it. */
char *forward_tenant_program(const struct forward *forward, const char *program);

/** forward.c: places the request once no rate limit token, reservation or conversation is outstanding. */
void forward_continue(struct forward *forward);

/** forward_quota.c: takes a token or waits for one, unless the request may be the first of its program: only its
 * reservation shows whether it is, and so which kind of token it needs. */
void forward_quota_begin(struct forward *forward);

/** forward_quota.c: takes the token that forward_quota_begin() left; false: as forward_quota_take(). */
bool forward_quota_after_reservation(struct forward *forward);

/** forward_quota.c: takes a token; false: it waits for the reply to the next token request, or is to be refused
 * (forward_quota.needs_leader). */
bool forward_quota_take(struct forward *forward);

/** forward_quota.c: returns its token if it made no attempt. */
void forward_quota_return(struct forward *forward);

/** forward_quota.c: whether it needs no token (any more), or its token has not expired. */
bool forward_quota_is_fresh(const struct forward *forward);

/** forward_quota.c: requests tokens from the leader for the waiting requests. */
void forward_quota_request(struct frontend *frontend);

/** forward_operation.c: hash that a program's request has in common with those that repeat it under other ids, at any
 * gateway. A request without a program shares it only with those that resume its stream. */
uint64_t forward_operation(struct forward *forward);

/** forward_quarantine.c: whether no server may run its operation for now. */
bool forward_is_quarantined(struct forward *forward);

/** forward_quarantine.c: ends a request whose operation is quarantined: as not run if no server may have run it. */
void forward_refuse_quarantined(struct forward *forward);

/** forward_quarantine.c: counts and reports that the attempt's server failed while it ran the request. True:
 * forward_after_failure() is called once the leader has counted it, or after FORWARD_FAILURE_WAIT_MS. */
bool forward_report_failure(struct forward_attempt *attempt, const char *reason);

/** forward_permit.c: whether servers failed while they ran its operation, as far as this gateway knows. */
bool forward_is_suspected(struct forward *forward);

/** forward_permit.c: whether it needs no permit, or has one. */
bool forward_is_permitted(struct forward *forward);

/** forward_permit.c: asks the leader for a permit; the request is placed or ended when it has replied. */
void forward_request_permit(struct forward *forward);

/** forward_permit.c: whether the operation's failures and other open attempts leave no room for another one. */
bool forward_exceeds_suspicion(const struct forward *forward, uint32_t suspicion);

/** forward_permit.c: ends a request that the suspicion of its operation forbids: as not run if no server may have run
 * it. */
void forward_refuse_suspected(struct forward *forward);

/** forward_permit.c: identifies the request in reports. */
uint64_t forward_attempt_key(const struct forward *forward);

/** forward_permit.c: ends its open attempt. */
void forward_permit_close(struct forward *forward);

/** forward_quarantine.c: ends the waits for the leader's count that last too long. */
void forward_end_failure_waits(struct frontend *frontend);

/** forward_operation.c: remembers that a server has responded to the request. */
void forward_record_served(struct forward *forward);

/** forward_quarantine.c: counts and reports servers that have ended without a sign on the connection, for a request
 * that ends while it waits for them. */
void forward_report_silent_servers(const struct forward *forward);

/** forward_quarantine.c: whether a report of a failure is in flight, on whose reply further attempts depend. */
bool forward_awaits_failure_count(const struct forward *forward);

/** forward_turn.c: loop time by which a request to the state replicas must be answered. */
uint64_t forward_replica_deadline_ms(const struct forward *forward);

/** forward_turn.c: at least 1. */
uint64_t forward_tokens_per_event(const struct forward *forward);

/** forward_turn.c: reads the headers; turn.program stays NULL if the request is not a turn. */
void forward_turn_read(struct forward *forward);

/** forward_turn.c: reserves tokens and fetches the conversation, at the same time; each then calls
 * forward_continue(). */
void forward_turn_begin(struct forward *forward);

/** forward_turn.c: stores a persistent turn, or settles its reservation, then ends the response. */
void forward_turn_commit(struct forward *forward);

/** forward_turn.c: settles the reservation with the tokens used, in the background and at most once. */
void forward_turn_settle(struct forward *forward);

/** forward_turn.c: frees the members of `turn`; later replies of the state replicas are ignored. */
void forward_turn_close(struct forward *forward);

/** forward_response.c; the owner of an exchange is its struct forward_attempt. */
extern const struct upstream_events forward_upstream_events;

/** forward.c: refuses the request if certainly no server has run it, else fails it. */
void forward_timed_out(struct forward *forward);

/** Answers the request since the gateway is about to exit: as not run if no server may have begun to run it. */
void forward_end_at_stop(struct forward *forward);

/** forward_resume.c: resumes an interrupted stream and ends the attempt; false: neither. */
bool forward_resume(struct forward_attempt *attempt, const char *reason);

/** forward_resume.c: whether the only server that may resume its stream is in a drained zone. */
bool forward_bound_server_drained(struct forward *forward);

/** forward_resume.c: the only server that may resume an interrupted stream; NULL: any server may. */
struct server *forward_bound_server(struct forward *forward);

/** forward_attempt.c: upstream_events.write; false: no time is left, the start token has expired, or the server has
 * gone out of rotation since it was chosen. */
bool forward_on_write(void *owner, struct buffer *request);

/** forward_attempt.c: why the attempt was not sent, for the log and the response. */
const char *forward_unsent_reason(const struct forward_attempt *attempt);

/** forward_attempt.c: whether enough time is left to send the request to a server. */
bool forward_has_time(const struct forward *forward);

/** forward_attempt.c; an attempt slot must be free. */
void forward_send(struct forward *forward, struct server *server);

/** forward_attempt.c. */
void forward_end_attempts(struct forward *forward);

/** forward_attempt.c: whether a server may have begun to run the request. */
bool forward_was_sent(const struct forward *forward);

/** forward_attempt.c: tries a second server if the request may run again, no response is complete and the retry budget
 * allows it. */
void forward_hedge(struct forward *forward);

/** forward_attempt.c: ends an attempt that certainly did not run; if no other one is left, retries, queues, refuses or
 * fails the request. */
void forward_attempt_not_run(struct forward_attempt *attempt, const char *reason);

/** forward_attempt.c: ends an attempt whose response was not valid; forward_after_failure(). */
void forward_attempt_outcome_unknown(struct forward_attempt *attempt, const char *reason);

/** forward_attempt.c: like forward_attempt_outcome_unknown() if the connection to the server, or the server itself,
 * failed: the failure is reported before the request is sent to a server again. */
void forward_attempt_failed(struct forward_attempt *attempt, const char *reason);

/** forward_attempt.c: whether it may be sent to another server although one may have run it. */
bool forward_may_retry(const struct forward *forward);

/** forward_attempt.c: resumes its stream or, if no other attempt is left, retries or fails the request; ends the
 * attempt. */
void forward_after_failure(struct forward_attempt *attempt, const char *reason);

/** forward_attempt.c: cancels the attempt's exchange, if any, and frees its slot. */
void forward_end_attempt(struct forward_attempt *attempt);

/** Returns `default_value` if the request header is missing, too long or does not begin with a digit. */
uint64_t forward_header_number(const struct forward *forward, enum dialect_header header, uint64_t default_value);

/** Copy of a request header's value, which the caller frees, or NULL. */
char *forward_header_text(const struct forward *forward, enum dialect_header header);

#endif
