/**
 * @file document_patch.h
 * Differences between two documents. A patch is a zstd frame that holds the target
 * compressed with the base as reference prefix, the format of `zstd --patch-from`.
 * With an empty base it is the compressed target.
 *
 * The frame states the length of the target, which is checked before memory is
 * allocated for it. The digest of the target is checked after decoding: a patch
 * that was made for another base has no effect.
 */
#ifndef BANKBANK_CORE_DOCUMENT_PATCH_H
#define BANKBANK_CORE_DOCUMENT_PATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

enum {
    DOCUMENT_PATCH_LEVEL = 3,                    /**< Compression level of zstd. */
    DOCUMENT_PATCH_MAX_DOCUMENT_BYTES = 8 << 20, /**< Base and target; larger ones are not patched. */
    DOCUMENT_PATCH_MAX_RATIO = 4 /**< A patch longer than the target divided by this is not worth its memory. */
};

uint64_t document_digest(struct view document);

/** Replaces `patch` by the difference from `base` to `target`. Returns false, with `patch` empty, if a document is too
 * large or empty, or the patch would be too long. */
bool document_patch_encode(struct view base, struct view target, struct buffer *patch);

/** Replaces `target`, which must not be the storage of `base`, by the result of a patch. Returns false, with `target`
 * empty, if the patch is malformed, states a larger target than is allowed, or gives one with another digest. */
bool document_patch_apply(struct view base, struct view patch, uint64_t digest, struct buffer *target);

#endif
