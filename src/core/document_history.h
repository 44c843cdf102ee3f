/**
 * @file document_history.h
 * The last versions of a document, and patches from each of them to the newest.
 * A patch is encoded once, when it is first needed, for all receivers with the same
 * base.
 *
 * The texts take at most the given number of bytes, the patches at most half of that
 * and a quarter of the newest text: a patch is at most a quarter of the newest text
 * (DOCUMENT_PATCH_MAX_RATIO), and made only from the empty document and from versions
 * of at least half the newest text's length (DOCUMENT_HISTORY_MIN_BASE_RATIO).
 */
#ifndef BANKBANK_CORE_DOCUMENT_HISTORY_H
#define BANKBANK_CORE_DOCUMENT_HISTORY_H

#include "core/document_patch.h"

enum { DOCUMENT_HISTORY_MAX_VERSIONS = 8, DOCUMENT_HISTORY_MIN_BASE_RATIO = 2 };

/** A version, and the patch from it to the newest one. */
typedef struct document_version_t {
    uint64_t version;
    struct buffer text;
    struct buffer patch; /**< Empty: not encoded, or not worth its memory. */
    bool encoded;        /**< Encoding was attempted. */
} document_version_t;

typedef struct document_history_t {
    document_version_t versions[DOCUMENT_HISTORY_MAX_VERSIONS]; /**< Oldest first. */
    uint32_t count;
    size_t text_bytes;
    document_version_t none; /**< Version 0, the empty document. */
    uint64_t newest;         /**< Version that the patches lead to. */
    uint64_t newest_digest;
} document_history_t;

/** Sets the newest version, if it is newer, and drops the oldest ones above `max_bytes`. */
void document_history_put(document_history_t *history, uint64_t version, struct view text, size_t max_bytes);

/** Patch from `base` to `newest`, the text of the newest version. If `base` is not kept or too short, it is the patch
 * from version 0, and *base is set to 0. Empty: there is none that is worth it. Valid until the next put. */
struct view document_history_patch(document_history_t *history, uint64_t *base, struct view newest);

/** Bytes that the newest version takes for a receiver that has `base`: of the patch, or all of `newest` if there is
 * none that is worth it. 0: not encoded yet. */
size_t document_history_bytes(const document_history_t *history, uint64_t base, struct view newest);

void document_history_close(document_history_t *history);

#endif
