#include "core/document_patch.h"

#include <xxhash.h>
#include <zstd.h>

enum { PATCH_MIN_WINDOW_LOG = 10 /* ZSTD_WINDOWLOG_MIN */ };

uint64_t document_digest(struct view document)
{
    return XXH64(document.data, document.length, 0);
}

/* The window covers base and target, so that the end of the target can refer to the begin of the base. */
static int patch_window_log(size_t bytes)
{
    int log = PATCH_MIN_WINDOW_LOG;
    while (((size_t)1 << log) < bytes) {
        log++;
    }
    return log;
}

static bool patch_is_allowed(struct view base, struct view target)
{
    return target.length > 0 && target.length <= DOCUMENT_PATCH_MAX_DOCUMENT_BYTES &&
           base.length <= DOCUMENT_PATCH_MAX_DOCUMENT_BYTES;
}

static size_t patch_compress(ZSTD_CCtx *context, struct view base, struct view target, struct buffer *patch)
{
    size_t max_bytes = target.length / DOCUMENT_PATCH_MAX_RATIO;
    ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, DOCUMENT_PATCH_LEVEL);
    ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, patch_window_log(base.length + target.length));
    ZSTD_CCtx_refPrefix(context, base.data, base.length);
    return ZSTD_compress2(context, buffer_reserve(patch, max_bytes), max_bytes, target.data, target.length);
}

bool document_patch_encode(struct view base, struct view target, struct buffer *patch)
{
    buffer_clear(patch);
    ZSTD_CCtx *context = patch_is_allowed(base, target) ? ZSTD_createCCtx() : NULL;
    if (context == NULL) {
        return false;
    }
    size_t length = patch_compress(context, base, target, patch);
    ZSTD_freeCCtx(context);
    if (ZSTD_isError(length)) {
        return false;
    }
    patch->data = memory_resize(patch->data, length); /* it is kept, and usually far shorter than it may be */
    patch->length = length;
    patch->capacity = length;
    return true;
}

/* Returns 0 if the frame is malformed or states no length, or one that is not allowed. */
static size_t patch_target_length(struct view patch)
{
    unsigned long long length = ZSTD_getFrameContentSize(patch.data, patch.length);
    bool known = length != ZSTD_CONTENTSIZE_UNKNOWN && length != ZSTD_CONTENTSIZE_ERROR;
    return known && length <= DOCUMENT_PATCH_MAX_DOCUMENT_BYTES ? (size_t)length : 0;
}

bool document_patch_apply(struct view base, struct view patch, uint64_t digest, struct buffer *target)
{
    size_t length = patch_target_length(patch);
    buffer_clear(target);
    ZSTD_DCtx *context = length > 0 ? ZSTD_createDCtx() : NULL;
    if (context == NULL) {
        return false;
    }
    ZSTD_DCtx_refPrefix(context, base.data, base.length);
    size_t decoded = ZSTD_decompressDCtx(context, buffer_reserve(target, length), length, patch.data, patch.length);
    ZSTD_freeDCtx(context);
    target->length = decoded == length ? length : 0;
    if (target->length == 0 || document_digest(buffer_view(target)) != digest) {
        buffer_clear(target);
        return false;
    }
    return true;
}
