/**
 * @file stream_origins.h
 * Which software version of which service began each stream, replicated by group 0
 * so that any gateway can resume a stream whose gateway is gone.
 *
 * Gateways record a stream only while servers of several versions serve its service
 * (core/version_mix.h). A stream without a record was therefore begun by a gateway
 * that knew of one version, or its record was not committed; which of them, only
 * its caller's gateway can judge.
 *
 * A record is kept for as long as the caller may resume the stream. Streams are
 * identified by a 64-bit hash. Memory grows with the streams of that time, some 100
 * bytes each, up to STREAM_ORIGINS_MAX.
 */
#ifndef BANKBANK_CORE_STREAM_ORIGINS_H
#define BANKBANK_CORE_STREAM_ORIGINS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "control.pb.h"

enum {
    STREAM_ORIGINS_MAX = 1 << 17,            /**< Streams. */
    STREAM_ORIGINS_MAX_VERSIONS = 1024,      /**< Pairs of a service and a version. */
    STREAM_ORIGINS_MAX_KEEP_MS = 300 * 1000, /**< Upper limit of StreamBegin.keep_ms. */
    STREAM_ORIGINS_OVERHEAD_BYTES = 32       /**< Estimated allocator overhead per stream. */
};

typedef struct stream_version_t {
    char *service; /**< Owned, as is `version`. */
    char *version;
    uint32_t streams; /**< Records that refer to it; 0: unused. */
} stream_version_t;

typedef struct stream_origin_t {
    uint64_t stream;
    uint32_t version; /**< Position in stream_origins_t.versions. */
    uint32_t attempt;
    uint64_t expires_ms;
    UT_hash_handle hh; /**< By `stream`. */
} stream_origin_t;

/** All zero: empty. */
typedef struct stream_origins_t {
    stream_origin_t *streams;
    stream_version_t *versions; /**< Positions are stable while in use. */
    uint32_t version_count;     /**< Unused ones included. */
} stream_origins_t;

/** Also resets it to all zero. */
void stream_origins_close(stream_origins_t *origins);

/** Adds, replaces or removes a record; false: a limit is reached and nothing was changed. */
bool stream_origins_put(stream_origins_t *origins, uint64_t now_ms, const StreamBegin *begin);

/** The version that began a stream, or NULL; valid until the next change. */
const stream_version_t *stream_origins_find(const stream_origins_t *origins, uint64_t stream);

/** Whether a stream of the service has a record. */
bool stream_origins_has_service(const stream_origins_t *origins, const char *service);

void stream_origins_expire(stream_origins_t *origins, uint64_t now_ms);

/** Estimated memory use. */
size_t stream_origins_bytes(const stream_origins_t *origins);

/**
 * Fills the records of a snapshot, which borrow their strings; release them with stream_origins_free_export(). Starts
 * at `*next` and sets it to the first stream for which there is no room, or NULL.
 */
void stream_origins_export(const stream_origins_t *origins, const stream_origin_t **next, SiteSnapshot *snapshot);
void stream_origins_free_export(SiteSnapshot *snapshot);

/** Adds the records of a snapshot. */
void stream_origins_import(stream_origins_t *origins, const SiteSnapshot *snapshot);

#endif
