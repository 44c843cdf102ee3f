/**
 * @file file.h
 * File helpers. Functions that return bool return false and set errno on failure.
 */
#ifndef BANKBANK_STORE_FILE_H
#define BANKBANK_STORE_FILE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

/** Writes all bytes; retries after short writes and EINTR. */
bool file_write_all(int fd, const void *data, size_t length);

/** Appends the whole file to `out`. */
bool file_read_all(const char *path, struct buffer *out);

/** Atomically and durably replaces the file `name`: writes and syncs NAME.new, renames it and syncs the directory. */
bool file_replace(const char *directory, const char *name, struct view content);

/** Makes files created or renamed in the directory survive a power loss. */
bool file_sync_directory(const char *directory);

/** Durably creates the directory and its parents. */
bool file_make_directory(const char *directory);

/** Returns "directory/name"; the caller frees it. */
char *file_path(const char *directory, const char *name);

#endif
