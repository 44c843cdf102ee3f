/**
 * @file http_connection.h
 * A connection of a listener, shared by the parts of it; not for others.
 *
 *   http_listener.c  accepting, reading requests, time limits, closing
 *   http_answer.c    writing answers
 */
#ifndef BANKBANK_NET_HTTP_CONNECTION_H
#define BANKBANK_NET_HTTP_CONNECTION_H

#include "net/http_listener.h"

/** What a connection is at. */
enum http_connection_state {
    HTTP_READING,   /**< A request is due or arriving. */
    HTTP_ANSWERING, /**< A call is with the handler. */
    HTTP_LINGERING, /**< The last answer is written, what still comes is thrown away. */
    HTTP_CLOSED     /**< Its memory goes with the loop's next turn. */
};

/** One connection of a listener. */
struct http_connection {
    uv_tcp_t socket;                  /**< Socket. */
    struct http_listener *listener;   /**< Where it came in. */
    enum http_connection_state state; /**< What it is at. */
    struct http_reader reader;        /**< Reads requests. */
    struct http_call call;            /**< Current request and its answer. */
    struct buffer ahead;              /**< Bytes behind the current request. */
    uint64_t since_ms;                /**< Start of the current rest, request or linger. */
    uint64_t came_ms;                 /**< Loop time at which the first bytes of the current or next request came. */
    uint64_t newest_ms;               /**< Loop time at which the newest bytes came. */
    uint64_t unread_since_ms;         /**< Loop time since which nothing was read here; 0: since the turn before. */
    bool arriving;                    /**< A part of a request has come. */
    size_t arriving_bytes;            /**< Length of the body that is being read, as told or else the most it may be. */
    bool no_room;                     /**< There is no memory to read it. */
    size_t unsent;                    /**< Bytes of answers not taken yet, at the last look at time limits. */
    bool looked_again;                /**< Its time was over, and bytes of its request were there unread. */
    bool close_after;                 /**< The answer closes the connection. */
    bool handling;                    /**< Guards against recursion while bytes are handled. */
    struct http_connection *previous; /**< Connections of the listener. */
    struct http_connection *next;     /**< Connections of the listener. */
};

/** Closes it; its memory goes once the loop has closed the socket. */
void http_connection_close(struct http_connection *connection);

/** The client has gone: tells the handler of a call under way, and closes. */
void http_connection_lost(struct http_connection *connection);

/** Handles the bytes at hand, request after request. */
void http_connection_advance(struct http_connection *connection);

/** Writes, now as far as the socket takes it and the rest later. */
void http_connection_write(struct http_connection *connection, struct view data);

/** Ends the sending side and waits for the client's end, so that no reset overtakes the answer. */
void http_connection_linger(struct http_connection *connection);

/** The answer is written: the next request may come. */
void http_connection_finish(struct http_connection *connection);

#endif
