/**
 * @file service_versions.h
 * The software version that the listed servers of each service have, and when it last
 * changed, replicated by group 0. No I/O; callers pass the time.
 *
 * Streams are recorded only while servers of several versions serve
 * (stream_origins.h). A stream without a record was begun by the version that serves
 * now if that has been the only one for as long as callers resume streams: the service
 * is settled. Gateways that have just started cannot tell, and ask group 0.
 *
 * The leader logs each change before it spreads the list that shows it.
 */
#ifndef BANKBANK_CORE_SERVICE_VERSIONS_H
#define BANKBANK_CORE_SERVICE_VERSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    SERVICE_VERSIONS_MAX = 1024,           /**< Services; further ones are never settled. */
    SERVICE_VERSIONS_SETTLE_MS = 30 * 1000 /**< Longer than callers resume a stream. */
};

typedef struct service_version_t {
    char *version;       /**< Owned; of one of the servers. */
    bool several;        /**< Other servers have other versions. */
    uint64_t changed_ms; /**< When the versions last changed; 0: never. */
    UT_hash_handle hh;   /**< By name. */
    char name[];
} service_version_t;

/** All zero: empty. */
typedef struct service_versions_t {
    service_version_t *services;
    uint64_t since_ms; /**< Time of the first entry; 0: none yet. */
} service_versions_t;

/** Also resets it to all zero. */
void service_versions_close(service_versions_t *versions);

/** Adds a listed server. */
void service_versions_count_server(service_versions_t *versions, const char *service, const char *version);

/** Whether the entry says the same as what is known of its service. */
bool service_versions_has(const service_versions_t *versions, const ServiceVersion *entry);

/** Applies an entry; false: a limit is reached. */
bool service_versions_put(service_versions_t *versions, uint64_t now_ms, const ServiceVersion *entry);

/** Whether all streams that may still be resumed were begun by the service's only version. `version`: as known to the
 * sender of the question, must be the same one; NULL: not checked. */
bool service_versions_is_settled(const service_versions_t *versions, uint64_t now_ms, const char *service,
                                 const char *version);

/** Fills the versions of a snapshot, which borrow their strings; release them with service_versions_free_export(). */
void service_versions_export(const service_versions_t *versions, SiteSnapshot *snapshot);
void service_versions_free_export(SiteSnapshot *snapshot);

/** Loads the versions of a snapshot into empty ones. */
void service_versions_import(service_versions_t *versions, const SiteSnapshot *snapshot);

#endif
