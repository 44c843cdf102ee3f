#include "store/file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum { FILE_READ_CHUNK_BYTES = 1 << 16 };

bool file_write_all(int fd, const void *data, size_t length)
{
    const uint8_t *position = data;
    while (length > 0) {
        ssize_t written = write(fd, position, length);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        position += written;
        length -= (size_t)written;
    }
    return true;
}

bool file_read_all(const char *path, struct buffer *out)
{
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return false;
    }
    ssize_t count = 0;
    do {
        count = read(fd, buffer_reserve(out, FILE_READ_CHUNK_BYTES), FILE_READ_CHUNK_BYTES);
        out->length += count > 0 ? (size_t)count : 0;
    } while (count > 0 || (count < 0 && errno == EINTR));
    close(fd);
    return count == 0;
}

char *file_path(const char *directory, const char *name)
{
    struct buffer path = {0};
    buffer_printf(&path, "%s/%s", directory, name);
    return buffer_text(&path);
}

bool file_sync_directory(const char *directory)
{
    int fd = open(directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return false;
    }
    bool synced = fsync(fd) == 0;
    close(fd);
    return synced;
}

bool file_replace(const char *directory, const char *name, struct view content)
{
    bool replaced = false;
    struct buffer temporary = {0};
    buffer_printf(&temporary, "%s/%s.new", directory, name);
    char *final_path = file_path(directory, name);
    int fd = open(buffer_text(&temporary), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) {
        goto out;
    }
    bool written = file_write_all(fd, content.data, content.length) && fsync(fd) == 0;
    if (close(fd) != 0 || !written) {
        goto out;
    }
    if (rename(buffer_text(&temporary), final_path) != 0) {
        goto out;
    }
    replaced = file_sync_directory(directory);
out:
    if (!replaced) {
        int saved_errno = errno;
        unlink(buffer_text(&temporary)); /* it may take up space on a full disk */
        errno = saved_errno;
    }
    buffer_close(&temporary);
    free(final_path);
    return replaced;
}

/* Without the sync of the parent, a power loss may remove the directory with all files in it, even synced ones. */
static bool file_make_leaf_directory(const char *path)
{
    if (mkdir(path, 0700) != 0) {
        return errno == EEXIST;
    }
    const char *slash = strrchr(path, '/');
    char *parent = slash == NULL ? text_copy(".") : memory_copy(path, slash == path ? 1 : (size_t)(slash - path));
    bool synced = file_sync_directory(parent);
    free(parent);
    return synced;
}

bool file_make_directory(const char *directory)
{
    char *path = text_copy(directory);
    bool created = true;
    for (char *slash = strchr(path + 1, '/'); created && slash != NULL; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        created = file_make_leaf_directory(path);
        *slash = '/';
    }
    created = created && file_make_leaf_directory(path);
    free(path);
    return created;
}
