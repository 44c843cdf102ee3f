/**
 * @file zone_reach.h
 * Zones that a gateway cannot reach, derived from the failures of single servers.
 * No I/O; callers pass the time.
 *
 * When a zone is cut off, each of its servers would otherwise have to fail before
 * it is avoided. A zone is therefore unreachable once ZONE_REACH_FAILED_SERVERS of
 * its servers are unreachable (reach.h) or had a connection attempt time out. Any
 * data or successful probe from any server of the zone ends this; a later failure
 * begins it again while enough servers count as failed.
 *
 *   reachable -> (failure, and enough servers have failed) unreachable
 *   unreachable -> (data or a successful probe from any server) reachable
 *   unreachable -> (too few failed servers are left on the list) reachable
 *
 * Each server holds a pointer to its zone, so that the selection of a server looks
 * up no zone by name.
 */
#ifndef BANKBANK_CORE_ZONE_REACH_H
#define BANKBANK_CORE_ZONE_REACH_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

enum {
    ZONE_REACH_FAILED_SERVERS = 2 /**< A single server fails by itself far more often than a zone is cut off. */
};

typedef struct zone_reach_zone_t {
    char *name;
    uint32_t failed_servers; /**< Listed servers that count as failed. */
    bool unreachable;
    bool logged_unreachable; /**< It was last logged as unreachable; kept by the caller. */
    uint64_t since_ms;       /**< When it last became unreachable. */
    uint64_t probe_due_ms; /**< Earliest time of the next probe of a server that has not failed; kept by the caller. */
    UT_hash_handle hh;     /**< By name. */
} zone_reach_zone_t;

/** All zero: no zones, and no own zone. */
typedef struct zone_reach_t {
    const char *own_zone; /**< Never counted, owned by the caller; NULL: none. */
    zone_reach_zone_t *zones;
} zone_reach_t;

/** Part of a server. All zero: its zone is not counted. */
typedef struct zone_reach_server_t {
    zone_reach_zone_t *zone; /**< Owned by the zone_reach_t; NULL: not counted. */
    bool failed;             /**< It counts as failed. */
} zone_reach_server_t;

/** State change of a zone caused by an event. */
typedef enum zone_reach_change_t {
    ZONE_REACH_UNCHANGED,
    ZONE_REACH_UNREACHABLE,
    ZONE_REACH_RECOVERED
} zone_reach_change_t;

/** Frees the zones; no server may refer to them any more. */
void zone_reach_close(zone_reach_t *reach);

/** Assigns a new server to its zone; an empty name is no zone. `reach` may be NULL: zones are not counted. */
void zone_reach_assign(zone_reach_t *reach, zone_reach_server_t *server, const char *zone);

/** Records that a listed server has become unreachable, or that a connection attempt to it timed out. */
zone_reach_change_t zone_reach_record_failure(zone_reach_server_t *server, uint64_t now_ms);

/** Records that a server sent data or that a probe of it succeeded. */
zone_reach_change_t zone_reach_record_received(zone_reach_server_t *server);

/** Drops a server's failure without evidence that its zone is reachable: it left the list, or this process stalled. */
zone_reach_change_t zone_reach_drop_failure(zone_reach_server_t *server);

/** Whether the server's zone is unreachable. */
bool zone_reach_is_unreachable(const zone_reach_server_t *server);

/** Number of unreachable zones. */
uint32_t zone_reach_count_unreachable(const zone_reach_t *reach);

#endif
