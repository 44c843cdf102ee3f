#include "core/stream_origins.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

void stream_origins_close(stream_origins_t *origins)
{
    stream_origin_t *origin;
    stream_origin_t *next;
    HASH_ITER(hh, origins->streams, origin, next)
    {
        HASH_DEL(origins->streams, origin);
        free(origin);
    }
    for (uint32_t i = 0; i < origins->version_count; i++) {
        free(origins->versions[i].service);
        free(origins->versions[i].version);
    }
    free(origins->versions);
    memset(origins, 0, sizeof(*origins));
}

static bool stream_version_is(const stream_version_t *version, const char *service, const char *name)
{
    return version->streams > 0 && text_equal(version->service, text_or_empty(service)) &&
           text_equal(version->version, text_or_empty(name));
}

/* Position of a version, which is added if it is missing; STREAM_ORIGINS_MAX_VERSIONS: there are too many. */
static uint32_t stream_origins_add_version(stream_origins_t *origins, const char *service, const char *name)
{
    uint32_t position = origins->version_count;
    for (uint32_t i = 0; i < origins->version_count; i++) {
        if (stream_version_is(&origins->versions[i], service, name)) {
            return i;
        }
        position = origins->versions[i].streams == 0 ? i : position;
    }
    if (position == STREAM_ORIGINS_MAX_VERSIONS) {
        return position;
    }
    if (position == origins->version_count) {
        origins->version_count++;
        origins->versions = memory_resize(origins->versions, origins->version_count * sizeof(*origins->versions));
        memset(&origins->versions[position], 0, sizeof(*origins->versions));
    }
    stream_version_t *version = &origins->versions[position];
    free(version->service);
    free(version->version);
    version->service = text_copy(text_or_empty(service));
    version->version = text_copy(text_or_empty(name));
    return position;
}

static stream_origin_t *stream_origins_find_stream(const stream_origins_t *origins, uint64_t stream)
{
    stream_origin_t *origin = NULL;
    HASH_FIND(hh, origins->streams, &stream, sizeof(stream), origin);
    return origin;
}

static void stream_origins_remove(stream_origins_t *origins, stream_origin_t *origin)
{
    origins->versions[origin->version].streams--;
    HASH_DEL(origins->streams, origin);
    free(origin);
}

static void stream_origins_set(stream_origins_t *origins, const stream_origin_t *values)
{
    stream_origin_t *origin = stream_origins_find_stream(origins, values->stream);
    if (origin == NULL) {
        origin = memory_new(sizeof(*origin));
        origin->stream = values->stream;
        HASH_ADD(hh, origins->streams, stream, sizeof(origin->stream), origin);
    } else {
        origins->versions[origin->version].streams--;
    }
    origin->version = values->version;
    origin->attempt = values->attempt;
    origin->expires_ms = values->expires_ms;
    origins->versions[origin->version].streams++;
}

bool stream_origins_put(stream_origins_t *origins, uint64_t now_ms, const StreamBegin *begin)
{
    stream_origin_t *known = stream_origins_find_stream(origins, begin->stream);
    if (known != NULL && known->attempt > begin->attempt) {
        return true;
    }
    if (begin->forget) {
        if (known != NULL) {
            stream_origins_remove(origins, known);
        }
        return true;
    }
    if (known == NULL && HASH_COUNT(origins->streams) >= STREAM_ORIGINS_MAX) {
        return false;
    }
    uint64_t keep_ms = begin->keep_ms < STREAM_ORIGINS_MAX_KEEP_MS ? begin->keep_ms : STREAM_ORIGINS_MAX_KEEP_MS;
    stream_origin_t origin = {.stream = begin->stream, .attempt = begin->attempt, .expires_ms = now_ms + keep_ms};
    origin.version = stream_origins_add_version(origins, begin->service, begin->version);
    if (origin.version == STREAM_ORIGINS_MAX_VERSIONS) {
        return false;
    }
    stream_origins_set(origins, &origin);
    return true;
}

const stream_version_t *stream_origins_find(const stream_origins_t *origins, uint64_t stream)
{
    const stream_origin_t *origin = stream_origins_find_stream(origins, stream);
    return origin == NULL ? NULL : &origins->versions[origin->version];
}

bool stream_origins_has_service(const stream_origins_t *origins, const char *service)
{
    for (uint32_t i = 0; i < origins->version_count; i++) {
        if (origins->versions[i].streams > 0 && text_equal(origins->versions[i].service, text_or_empty(service))) {
            return true;
        }
    }
    return false;
}

void stream_origins_expire(stream_origins_t *origins, uint64_t now_ms)
{
    stream_origin_t *origin;
    stream_origin_t *next;
    HASH_ITER(hh, origins->streams, origin, next)
    {
        if (now_ms >= origin->expires_ms) {
            stream_origins_remove(origins, origin);
        }
    }
}

size_t stream_origins_bytes(const stream_origins_t *origins)
{
    return HASH_COUNT(origins->streams) * (sizeof(stream_origin_t) + STREAM_ORIGINS_OVERHEAD_BYTES);
}

/* ---- Snapshots -------------------------------------------------------------------------------------- */

void stream_origins_export(const stream_origins_t *origins, const stream_origin_t **next, SiteSnapshot *snapshot)
{
    if (*next == NULL) {
        return;
    }
    size_t count = HASH_COUNT(origins->streams);
    size_t room = count < PB_SIZE_MAX ? count : PB_SIZE_MAX;
    snapshot->stream_versions = memory_new(origins->version_count * sizeof(*snapshot->stream_versions));
    snapshot->stream_versions_count = (pb_size_t)origins->version_count;
    for (uint32_t i = 0; i < origins->version_count; i++) {
        snapshot->stream_versions[i].service = origins->versions[i].service;
        snapshot->stream_versions[i].version = origins->versions[i].version;
    }
    snapshot->streams = memory_new(room * sizeof(*snapshot->streams));
    for (; *next != NULL && snapshot->streams_count < room; *next = (*next)->hh.next) {
        const stream_origin_t *origin = *next;
        snapshot->streams[snapshot->streams_count++] = (StreamRecord){
            .stream = origin->stream,
            .version = origin->version,
            .attempt = origin->attempt,
            .expires_ms = origin->expires_ms,
        };
    }
}

void stream_origins_free_export(SiteSnapshot *snapshot)
{
    free(snapshot->stream_versions);
    free(snapshot->streams);
}

void stream_origins_import(stream_origins_t *origins, const SiteSnapshot *snapshot)
{
    for (pb_size_t i = 0; i < snapshot->streams_count; i++) {
        const StreamRecord *record = &snapshot->streams[i];
        if (record->version >= snapshot->stream_versions_count) {
            continue;
        }
        const StreamVersionRecord *version = &snapshot->stream_versions[record->version];
        stream_origin_t origin = {
            .stream = record->stream, .attempt = record->attempt, .expires_ms = record->expires_ms};
        origin.version = stream_origins_add_version(origins, version->service, version->version);
        if (origin.version < STREAM_ORIGINS_MAX_VERSIONS) {
            stream_origins_set(origins, &origin);
        }
    }
}
