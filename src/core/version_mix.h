/**
 * @file version_mix.h
 * The services whose servers run several software versions, as a gateway sees them.
 * No I/O; callers pass the time.
 *
 * A service counts as mixed while the list shows servers of several versions, and
 * for VERSION_MIX_LINGER_MS after its versions last changed: streams of a version
 * whose last server has left may still be resumed. In a service that is not mixed,
 * every stream that may still be resumed was begun by the one version, as far as
 * this gateway's list tells.
 */
#ifndef BANKBANK_CORE_VERSION_MIX_H
#define BANKBANK_CORE_VERSION_MIX_H

#include "core/server_table.h"

enum { VERSION_MIX_LINGER_MS = 30 * 1000 /**< Longer than callers resume a stream. */ };

typedef struct version_mix_service_t {
    char *version;       /**< Of a listed server, or of the last one. */
    bool several;        /**< Listed servers have other versions too. */
    bool in_update;      /**< A server of the list that is being applied was seen. */
    bool logged;         /**< It was last logged as mixed. */
    uint64_t changed_ms; /**< When its versions last changed, other than by its first server; 0: never. */
    UT_hash_handle hh;   /**< By name. */
    char name[];
} version_mix_service_t;

/** All zero: no list yet. */
typedef struct version_mix_t {
    version_mix_service_t *services;
} version_mix_t;

/** Also resets it to all zero. */
void version_mix_close(version_mix_t *mix);

/** Applies the versions of the listed servers. Must be called after each list. */
void version_mix_update(version_mix_t *mix, const struct server_table *table, uint64_t now_ms);

/** Whether the service is mixed; false for an unknown one and for NULL. */
bool version_mix_has(const version_mix_t *mix, const char *service, uint64_t now_ms);

/** The version that all listed servers of the service have; empty: they have several, or there is none. */
const char *version_mix_only(const version_mix_t *mix, const char *service);

/** Number of mixed services. */
uint32_t version_mix_count(const version_mix_t *mix, uint64_t now_ms);

#endif
