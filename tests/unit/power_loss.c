/*
 * What is read back after a start is on the disk before it is counted on.
 *
 * A process that is killed leaves all that it wrote: the kernel has it. A loss of power leaves what was synced: of a
 * file the bytes of its last sync, of a folder the names of its last sync. This program has the sync functions that
 * the stores call, and so knows both.
 */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "store/file.h"
#include "store/history_store.h"
#include "store/identity.h"
#include "store/log_store.h"
#include "suite.h"

enum { GROUPS = 1, NODE = 7, KEPT_MOST = 64, NAMES_MOST = 16, PATH = 256 };

/* ---- The disk --------------------------------------------------------------------- */

/* What the last sync of a file or folder covered. */
typedef struct kept_t {
    ino_t inode;
    int pin; /* keeps the number from being given to another file */
    bool folder;
    bool dropped; /* a sync of it failed: the kernel counts its pages as clean, and later syncs report nothing */
    struct buffer content;
    size_t name_count;
    char names[NAMES_MOST][PATH];
    ino_t inodes[NAMES_MOST];
    int pins[NAMES_MOST];
} kept_t;

static kept_t kept[KEPT_MOST];
static size_t kept_count;
static bool killed;           /* the process ended: nothing is synced any more, and what it wrote stays */
static bool killed_in_folder; /* it ends where it would sync a folder next */
static bool sync_fails;       /* the next sync reports an error, once */
static int syncs_left;        /* it ends in the sync behind so many; -1: in none */
static int kill_error;        /* what the sync reports then */
static char root[64];
static char data[96];

static kept_t *kept_of(ino_t inode)
{
    for (size_t i = 0; i < kept_count; i++) {
        if (kept[i].inode == inode) {
            return &kept[i];
        }
    }
    return NULL;
}

static void keep_names(kept_t *item)
{
    DIR *folder = fdopendir(openat(item->pin, ".", O_RDONLY | O_DIRECTORY));
    ck_assert_ptr_nonnull(folder);
    for (size_t i = 0; i < item->name_count; i++) {
        close(item->pins[i]);
    }
    item->name_count = 0;
    for (struct dirent *entry = readdir(folder); entry != NULL; entry = readdir(folder)) {
        if (strcmp(entry->d_name, ".") != 0 && strcmp(entry->d_name, "..") != 0) {
            ck_assert_uint_lt(item->name_count, NAMES_MOST);
            snprintf(item->names[item->name_count], PATH, "%s", entry->d_name);
            item->pins[item->name_count] = openat(item->pin, entry->d_name, O_RDONLY);
            item->inodes[item->name_count++] = entry->d_ino;
        }
    }
    closedir(folder);
}

static void keep_content(kept_t *item)
{
    char path[64];
    buffer_clear(&item->content);
    snprintf(path, sizeof(path), "/proc/self/fd/%d", item->pin);
    ck_assert(file_read_all(path, &item->content));
}

static int keep(int file)
{
    struct stat info;
    ck_assert_int_eq(fstat(file, &info), 0);
    killed = killed || syncs_left == 0 || (killed_in_folder && S_ISDIR(info.st_mode));
    syncs_left -= syncs_left > 0 ? 1 : 0;
    if (killed) {
        errno = kill_error;
        return -1;
    }
    kept_t *item = kept_of(info.st_ino);
    if (item == NULL) {
        ck_assert_uint_lt(kept_count, KEPT_MOST);
        item = &kept[kept_count++];
        item->inode = info.st_ino;
        item->pin = dup(file);
        item->folder = S_ISDIR(info.st_mode);
    }
    if (sync_fails) {
        sync_fails = false;
        item->dropped = true;
        errno = EIO;
        return -1;
    }
    if (item->folder) {
        keep_names(item);
    } else if (!item->dropped) {
        keep_content(item);
    }
    return 0;
}

int fsync(int file)
{
    return keep(file);
}

int fdatasync(int file)
{
    return keep(file);
}

static void run_shell(const char *format, const char *path)
{
    char command[2 * PATH];
    snprintf(command, sizeof(command), format, path);
    ck_assert_int_eq(system(command), 0);
}

/* Writes what was synced below `path`, whose folder has the number `inode`. */
static void write_kept(const char *path, ino_t inode)
{
    const kept_t *folder = kept_of(inode);
    for (size_t i = 0; folder != NULL && i < folder->name_count; i++) {
        const kept_t *item = kept_of(folder->inodes[i]);
        struct stat info;
        char *inner = file_path(path, folder->names[i]);
        ck_assert_int_eq(fstat(folder->pins[i], &info), 0);
        if (S_ISDIR(info.st_mode)) {
            ck_assert_int_eq(mkdir(inner, 0700), 0);
            write_kept(inner, folder->inodes[i]);
        } else {
            int file = open(inner, O_WRONLY | O_CREAT | O_EXCL, 0600);
            ck_assert(item == NULL || file_write_all(file, item->content.data, item->content.length));
            close(file);
        }
        free(inner);
    }
}

static void forget_kept(void)
{
    for (size_t i = 0; i < kept_count; i++) {
        for (size_t k = 0; k < kept[i].name_count; k++) {
            close(kept[i].pins[k]);
        }
        close(kept[i].pin);
        buffer_close(&kept[i].content);
    }
    memset(kept, 0, sizeof(kept));
    kept_count = 0;
}

static void sync_all(const char *path)
{
    DIR *folder = opendir(path);
    for (struct dirent *entry = readdir(folder); entry != NULL; entry = readdir(folder)) {
        if (strcmp(entry->d_name, ".") != 0 && strcmp(entry->d_name, "..") != 0) {
            char *inner = file_path(path, entry->d_name);
            int file = open(inner, O_RDONLY);
            if (entry->d_type == DT_DIR) {
                sync_all(inner);
            } else {
                ck_assert_int_eq(keep(file), 0);
            }
            close(file);
            free(inner);
        }
    }
    ck_assert_int_eq(keep(dirfd(folder)), 0);
    closedir(folder);
}

/* Another process begins. */
static void live_on(void)
{
    killed = false;
    killed_in_folder = false;
    syncs_left = -1;
}

/* Every process has ended. */
static void lose_power(void)
{
    struct stat info;
    live_on();
    ck_assert_int_eq(stat(root, &info), 0);
    run_shell("rm -rf %s/*", root);
    write_kept(root, info.st_ino);
    forget_kept();
    sync_all(root); /* what is there now was there before the next start */
}

/* ---- The log ---------------------------------------------------------------------- */

static struct log_store store;

/* What a replay reported. */
static struct {
    uint64_t snapshot_index;
    uint64_t term;
    uint32_t vote;
    uint64_t last_index;
} seen;

static bool on_snapshot(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    (void)context;
    (void)group;
    seen.snapshot_index = snapshot->index;
    return true;
}

static void on_state(void *context, uint32_t group, uint64_t term, uint32_t vote)
{
    (void)context;
    (void)group;
    seen.term = term;
    seen.vote = vote;
}

static void on_reset(void *context, uint32_t group)
{
    (void)context;
    (void)group;
    seen.last_index = seen.snapshot_index;
}

static bool on_entry(void *context, uint32_t group, const struct raft_entry *entry)
{
    (void)context;
    (void)group;
    seen.last_index = entry->index;
    return true;
}

static bool open_store(void)
{
    struct log_restore restore = {.snapshot = on_snapshot, .state = on_state, .entry = on_entry, .reset = on_reset};
    memset(&seen, 0, sizeof(seen));
    return log_store_open(&store, data, GROUPS, &restore);
}

static void start(void)
{
    live_on();
    ck_assert_msg(open_store(), "%s", store.error);
}

static void append(uint64_t index)
{
    struct raft_entry entry = {.index = index, .term = 1, .data = (uint8_t *)(uintptr_t) "data", .length = 4};
    log_store_append(&store, 0, &entry);
}

/* Killed between writing and syncing. */
static void kill_in_sync(void)
{
    killed = true;
    ck_assert(!log_store_sync(&store));
    log_store_close(&store);
}

static bool save(uint64_t index, bool reset_log)
{
    struct raft_snapshot snapshot = {.index = index, .term = 1, .members = {.count = 1, .nodes = {1}}};
    return log_store_snapshot_begin(&store, 0, &snapshot) &&
           log_store_snapshot_write(&store, 0, view_of_string("state")) &&
           log_store_snapshot_commit(&store, 0, reset_log);
}

static bool save_snapshot(uint64_t index)
{
    return save(index, false);
}

static void setup(void)
{
    memset(&store, 0, sizeof(store));
    live_on();
    kill_error = EIO;
    snprintf(root, sizeof(root), "/tmp/bankbank-power-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(root));
    snprintf(data, sizeof(data), "%s/data", root);
    ck_assert_int_eq(mkdir(data, 0700), 0);
    sync_all(root);
}

static void teardown(void)
{
    forget_kept();
    run_shell("rm -rf %s", root);
}

START_TEST(synced_records_outlive_a_loss_of_power)
{
    start();
    log_store_save_state(&store, 0, 3, 2);
    append(1);
    ck_assert(log_store_sync(&store));
    append(2);
    kill_in_sync();
    lose_power();
    start();
    ck_assert_uint_eq(seen.last_index, 1);
    ck_assert_uint_eq(seen.term, 3);
    ck_assert_uint_eq(seen.vote, 2);
    log_store_close(&store);
}
END_TEST

/* The second process counts the entry as synced, and may acknowledge it. */
START_TEST(an_entry_read_back_outlives_a_loss_of_power)
{
    start();
    append(1);
    ck_assert(log_store_sync(&store));
    append(2);
    kill_in_sync();
    start();
    ck_assert_uint_eq(seen.last_index, 2);
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(seen.last_index, 2);
    log_store_close(&store);
}
END_TEST

/*
 * A sync that failed. The kernel drops what it could not write and counts those pages as clean: it reports the error
 * once, and reads them back as if they stood on the disk. The process ends, and its successor reads the entry, syncs
 * the file without an error, and counts it. After a loss of power it is not there: last_index 1 where 2 was counted.
 */
START_TEST(an_entry_read_back_after_a_failed_sync_outlives_a_loss_of_power)
{
    start();
    append(1);
    ck_assert(log_store_sync(&store));
    append(2);
    sync_fails = true;
    ck_assert(!log_store_sync(&store));
    ck_assert(store.failed);
    log_store_close(&store);
    start();
    uint64_t counted = seen.last_index;
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(seen.last_index, counted);
    log_store_close(&store);
}
END_TEST

START_TEST(a_vote_read_back_outlives_a_loss_of_power)
{
    start();
    log_store_save_state(&store, 0, 5, 3);
    kill_in_sync();
    start();
    ck_assert_uint_eq(seen.vote, 3);
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(seen.term, 5);
    ck_assert_uint_eq(seen.vote, 3);
    log_store_close(&store);
}
END_TEST

/* The process ends where a segment begins: between its file and the terms and votes at its head. The older segment goes
 * with the next snapshot. */
START_TEST(a_vote_outlives_a_segment_that_was_only_begun)
{
    enum { FIRST_SEGMENT, FOLDER, HEAD, SYNCS };
    uint8_t *large = memory_new(LOG_STORE_SEGMENT_BYTES);
    struct raft_entry filling = {.index = 1, .term = 1, .data = large, .length = LOG_STORE_SEGMENT_BYTES};
    for (int round = 2 * FOLDER; round < 2 * SYNCS; round++) {
        start();
        log_store_save_state(&store, 0, 7, 2);
        ck_assert(log_store_sync(&store));
        log_store_append(&store, 0, &filling);
        syncs_left = round / 2;
        ck_assert(!log_store_sync(&store));
        log_store_close(&store);
        if (round % 2 == 1) {
            lose_power();
        }
        start();
        ck_assert_uint_eq(seen.vote, 2);
        append(2);
        ck_assert(log_store_sync(&store));
        ck_assert(save_snapshot(2));
        ck_assert_uint_eq(store.segment_count, 1);
        log_store_close(&store);
        start();
        ck_assert_uint_eq(seen.snapshot_index, 2);
        ck_assert_uint_eq(seen.term, 7);
        ck_assert_uint_eq(seen.vote, 2);
        log_store_close(&store);
        run_shell("rm -rf %s/*", data);
    }
    free(large);
}
END_TEST

/* A snapshot takes its place by a rename, and the log goes on behind it. */
START_TEST(a_snapshot_read_back_outlives_a_loss_of_power)
{
    start();
    append(1);
    ck_assert(log_store_sync(&store));
    ck_assert(save_snapshot(1));
    killed_in_folder = true;
    ck_assert(!save_snapshot(9));
    log_store_close(&store);
    start();
    ck_assert_uint_eq(seen.snapshot_index, 9);
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(seen.snapshot_index, 9);
    log_store_close(&store);
}
END_TEST

/* A snapshot from the leader: of the entries 1 to 5 here, those behind 3 are of another branch. */
START_TEST(a_reset_counts_with_its_snapshot_only)
{
    enum { LOG, SNAPSHOT, FOLDER, SYNCS };
    for (int done = LOG; done <= SYNCS; done++) {
        start();
        for (uint64_t index = 1; index <= 5; index++) {
            append(index);
        }
        ck_assert(log_store_sync(&store));
        syncs_left = done == SYNCS ? -1 : done;
        ck_assert_int_eq(save(3, true), done == SYNCS);
        log_store_close(&store);
        start();
        ck_assert_uint_eq(seen.snapshot_index, done < FOLDER ? 0 : 3);
        ck_assert_uint_eq(seen.last_index, done < FOLDER ? 5 : 3);
        append(4);
        ck_assert(log_store_sync(&store));
        log_store_close(&store);
        lose_power();
        start();
        ck_assert_uint_eq(seen.last_index, 4);
        log_store_close(&store);
        run_shell("rm -rf %s/*", data);
    }
}
END_TEST

/* What was read back and cannot be synced is not to be counted on. */
START_TEST(a_log_that_cannot_be_synced_does_not_open)
{
    start();
    append(1);
    kill_in_sync();
    ck_assert(!open_store());
    ck_assert_ptr_nonnull(strstr(store.error, "cannot sync"));
    log_store_close(&store);
}
END_TEST

/* ---- Identity --------------------------------------------------------------------- */

START_TEST(an_identity_read_back_outlives_a_loss_of_power)
{
    struct identity identity;
    killed_in_folder = true;
    ck_assert(!identity_load(data, NODE, &identity));
    live_on();
    ck_assert(identity_load(data, NODE + 1, &identity));
    ck_assert_uint_eq(identity.node, NODE);
    lose_power();
    ck_assert(identity_load(data, NODE + 2, &identity));
    ck_assert_uint_eq(identity.node, NODE);
}
END_TEST

START_TEST(a_membership_read_back_outlives_a_loss_of_power)
{
    struct identity identity;
    struct raft_members members = {.count = 1, .nodes = {NODE}};
    ck_assert(identity_load(data, NODE, &identity));
    killed_in_folder = true;
    ck_assert(!identity_form(data, &identity, &members));
    live_on();
    ck_assert(identity_load(data, NODE, &identity));
    ck_assert(identity.formed);
    lose_power();
    ck_assert(identity_load(data, NODE, &identity));
    ck_assert(identity.formed);
}
END_TEST

/* ---- Texts and folders ------------------------------------------------------------ */

START_TEST(synced_texts_outlive_a_loss_of_power)
{
    struct history_store texts;
    struct history_ref ref;
    struct buffer text = {0};
    char *folder = file_path(data, "texts");
    ck_assert(history_store_open(&texts, folder));
    struct history_io io = history_store_io(&texts);
    io.append(io.context, view_of_string("hello"), &ref);
    ck_assert(history_store_sync(&texts));
    history_store_close(&texts);
    lose_power();
    ck_assert(history_store_open(&texts, folder));
    io = history_store_io(&texts);
    ck_assert(io.read(io.context, &ref, &text));
    ck_assert_str_eq(buffer_text(&text), "hello");
    history_store_close(&texts);
    buffer_close(&text);
    free(folder);
}
END_TEST

/* The kernel may drop what it could not write, and call the next sync of it done. */
START_TEST(texts_whose_sync_failed_are_never_called_synced)
{
    struct history_store texts;
    struct history_ref ref;
    ck_assert(history_store_open(&texts, data));
    struct history_io io = history_store_io(&texts);
    io.append(io.context, view_of_string("hello"), &ref);
    killed = true;
    kill_error = ENOSPC;
    ck_assert(!history_store_sync(&texts));
    killed = false;
    ck_assert(!history_store_sync(&texts));
    ck_assert(texts.failed);
    history_store_close(&texts);
}
END_TEST

START_TEST(a_log_in_a_new_folder_outlives_a_loss_of_power)
{
    snprintf(data, sizeof(data), "%s/made/for/it", root);
    start();
    append(1);
    ck_assert(log_store_sync(&store));
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(seen.last_index, 1);
    log_store_close(&store);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("power_loss");
    TCase *tests = tcase_create("power_loss");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, synced_records_outlive_a_loss_of_power);
    tcase_add_test(tests, an_entry_read_back_outlives_a_loss_of_power);
    tcase_add_test(tests, an_entry_read_back_after_a_failed_sync_outlives_a_loss_of_power);
    tcase_add_test(tests, a_vote_read_back_outlives_a_loss_of_power);
    tcase_add_test(tests, a_vote_outlives_a_segment_that_was_only_begun);
    tcase_add_test(tests, a_snapshot_read_back_outlives_a_loss_of_power);
    tcase_add_test(tests, a_reset_counts_with_its_snapshot_only);
    tcase_add_test(tests, a_log_that_cannot_be_synced_does_not_open);
    tcase_add_test(tests, an_identity_read_back_outlives_a_loss_of_power);
    tcase_add_test(tests, a_membership_read_back_outlives_a_loss_of_power);
    tcase_add_test(tests, synced_texts_outlive_a_loss_of_power);
    tcase_add_test(tests, texts_whose_sync_failed_are_never_called_synced);
    tcase_add_test(tests, a_log_in_a_new_folder_outlives_a_loss_of_power);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
