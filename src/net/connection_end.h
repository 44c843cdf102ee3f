/**
 * @file connection_end.h
 * Whether the end of a TCP connection completes a response that has no length
 * (RFC 9112, section 8): such a response is complete only if nothing but the
 * peer's orderly close (FIN) ended it.
 *
 * A read cannot tell for certain. A reset is reported once, as the error of
 * whichever call comes first: if that is the write of a request that is still being
 * sent, the next read returns 0, as after a close. And a peer that closes before
 * the whole request has reached it resets the connection only when the rest
 * arrives, which may be after its close was read. Hence:
 *
 *   a write failed with an error other than EPIPE    broken: EPIPE alone says that the close came first
 *   the response refuses the request                 complete; a server need not read what it refuses
 *   the peer has acknowledged the whole request      complete
 *   otherwise                                        wait: the rest will be acknowledged or answered with a reset
 */
#ifndef BANKBANK_NET_CONNECTION_END_H
#define BANKBANK_NET_CONNECTION_END_H

#include <stdbool.h>

enum { CONNECTION_END_POLL_MS = 10 /**< Between looks at a connection with CONNECTION_END_PENDING. */ };

typedef enum connection_end_t {
    CONNECTION_END_COMPLETE,
    CONNECTION_END_BROKEN,
    CONNECTION_END_PENDING /**< Look again once more of the request is written, or CONNECTION_END_POLL_MS later. */
} connection_end_t;

/** What is known when a read has returned 0. */
typedef struct connection_end_state_t {
    int fd;
    int status;           /**< Of the response. */
    bool request_written; /**< Completely, to the socket. */
    int write_error;      /**< errno of the first write that failed; 0: none. */
} connection_end_state_t;

connection_end_t connection_end_judge(const connection_end_state_t *state);

#endif
