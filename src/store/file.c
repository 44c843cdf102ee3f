#include "store/file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum { FILE_READ_STEP = 1 << 16 };

bool file_write_all(int file, const void *data, size_t length)
{
    const uint8_t *position = data;
    while (length > 0) {
        ssize_t written = write(file, position, length);
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
    int file = open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        return false;
    }
    ssize_t got = 0;
    do {
        got = read(file, buffer_reserve(out, FILE_READ_STEP), FILE_READ_STEP);
        out->length += got > 0 ? (size_t)got : 0;
    } while (got > 0 || (got < 0 && errno == EINTR));
    close(file);
    return got == 0;
}

char *file_path(const char *folder, const char *name)
{
    struct buffer path = {0};
    buffer_printf(&path, "%s/%s", folder, name);
    return buffer_text(&path);
}

bool file_sync_folder(const char *folder)
{
    int file = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0) {
        return false;
    }
    bool synced = fsync(file) == 0;
    close(file);
    return synced;
}

bool file_replace(const char *folder, const char *name, struct view content)
{
    bool done = false;
    struct buffer temporary = {0};
    buffer_printf(&temporary, "%s/%s.new", folder, name);
    char *final_path = file_path(folder, name);
    int file = open(buffer_text(&temporary), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) {
        goto out;
    }
    bool written = file_write_all(file, content.data, content.length) && fsync(file) == 0;
    if (close(file) != 0 || !written) {
        goto out;
    }
    if (rename(buffer_text(&temporary), final_path) != 0) {
        goto out;
    }
    done = file_sync_folder(folder);
out:
    if (!done) {
        int reason = errno;
        unlink(buffer_text(&temporary)); /* on a full disk its part would stay in the way */
        errno = reason;
    }
    buffer_close(&temporary);
    free(final_path);
    return done;
}

/* Makes one folder. Its name has to last in the folder above, or all that is ever synced in it is lost with it. */
static bool file_make_one(const char *path)
{
    if (mkdir(path, 0700) != 0) {
        return errno == EEXIST;
    }
    const char *slash = strrchr(path, '/');
    char *above = slash == NULL ? text_copy(".") : memory_copy(path, slash == path ? 1 : (size_t)(slash - path));
    bool synced = file_sync_folder(above);
    free(above);
    return synced;
}

bool file_make_folder(const char *folder)
{
    char *path = text_copy(folder);
    bool made = true;
    for (char *slash = strchr(path + 1, '/'); made && slash != NULL; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        made = file_make_one(path);
        *slash = '/';
    }
    made = made && file_make_one(path);
    free(path);
    return made;
}
