/**
 * @file file.h
 * Files of the data folder. Functions return false, or -1, on failure and
 * leave errno set.
 */
#ifndef BANKBANK_STORE_FILE_H
#define BANKBANK_STORE_FILE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

/** Writes all bytes, going on after short writes. */
bool file_write_all(int file, const void *data, size_t length);

/** Appends the whole file to `out`. */
bool file_read_all(const char *path, struct buffer *out);

/** Durably replaces `path`: writes beside it, syncs, renames, syncs the folder. */
bool file_replace(const char *folder, const char *name, struct view content);

/** Syncs a folder, so that created and renamed names last. */
bool file_sync_folder(const char *folder);

/** Durably creates a folder and its parents. */
bool file_make_folder(const char *folder);

/** Returns "folder/name"; the caller frees it. */
char *file_path(const char *folder, const char *name);

#endif
