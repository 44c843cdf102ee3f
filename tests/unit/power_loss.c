/* Guards against data that a restarted process relies on but that a later power loss removes. A killed process leaves
 * all that it wrote; a power loss leaves files and directories as of their last sync, which replacements of fsync() and
 * fdatasync() record. */
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

enum { GROUPS = 1, NODE = 7, MAX_INODES = 64, MAX_NAMES = 16, PATH_BYTES = 256 };

/* ---- Simulated disk --------------------------------------------------------------- */

/* Content of a file, or names in a directory, as of its last sync. */
typedef struct synced_inode_t {
    ino_t inode;
    int pin; /* open descriptor, so that the inode number is not reused */
    bool is_directory;
    bool sync_failed; /* its pages are marked as clean: later syncs report no error */
    struct buffer content;
    size_t name_count;
    char names[MAX_NAMES][PATH_BYTES];
    ino_t inodes[MAX_NAMES];
    int pins[MAX_NAMES];
} synced_inode_t;

static synced_inode_t synced[MAX_INODES];
static size_t synced_count;
static bool killed;                 /* the process has ended: every sync fails */
static bool kill_at_directory_sync; /* the process ends in its next sync of a directory */
static bool fail_next_sync;         /* the next sync fails with EIO, once */
static int syncs_until_kill;        /* successful syncs until the process ends in the next one; -1: no limit */
static int kill_error;              /* errno of the sync in which the process ends, and of later ones */
static char root[64];
static char data_directory[96];

static synced_inode_t *find_synced(ino_t inode)
{
    for (size_t i = 0; i < synced_count; i++) {
        if (synced[i].inode == inode) {
            return &synced[i];
        }
    }
    return NULL;
}

static void record_names(synced_inode_t *item)
{
    DIR *directory = fdopendir(openat(item->pin, ".", O_RDONLY | O_DIRECTORY));
    ck_assert_ptr_nonnull(directory);
    for (size_t i = 0; i < item->name_count; i++) {
        close(item->pins[i]);
    }
    item->name_count = 0;
    for (struct dirent *entry = readdir(directory); entry != NULL; entry = readdir(directory)) {
        if (strcmp(entry->d_name, ".") != 0 && strcmp(entry->d_name, "..") != 0) {
            ck_assert_uint_lt(item->name_count, MAX_NAMES);
            snprintf(item->names[item->name_count], PATH_BYTES, "%s", entry->d_name);
            item->pins[item->name_count] = openat(item->pin, entry->d_name, O_RDONLY);
            item->inodes[item->name_count++] = entry->d_ino;
        }
    }
    closedir(directory);
}

static void record_content(synced_inode_t *item)
{
    char path[64];
    buffer_clear(&item->content);
    snprintf(path, sizeof(path), "/proc/self/fd/%d", item->pin);
    ck_assert(file_read_all(path, &item->content));
}

static int record_sync(int fd)
{
    struct stat info;
    ck_assert_int_eq(fstat(fd, &info), 0);
    killed = killed || syncs_until_kill == 0 || (kill_at_directory_sync && S_ISDIR(info.st_mode));
    syncs_until_kill -= syncs_until_kill > 0 ? 1 : 0;
    if (killed) {
        errno = kill_error;
        return -1;
    }
    synced_inode_t *item = find_synced(info.st_ino);
    if (item == NULL) {
        ck_assert_uint_lt(synced_count, MAX_INODES);
        item = &synced[synced_count++];
        item->inode = info.st_ino;
        item->pin = dup(fd);
        item->is_directory = S_ISDIR(info.st_mode);
    }
    if (fail_next_sync) {
        fail_next_sync = false;
        item->sync_failed = true;
        errno = EIO;
        return -1;
    }
    if (item->is_directory) {
        record_names(item);
    } else if (!item->sync_failed) {
        record_content(item);
    }
    return 0;
}

int fsync(int fd)
{
    return record_sync(fd);
}

int fdatasync(int fd)
{
    return record_sync(fd);
}

static void run_shell(const char *format, const char *path)
{
    char command[2 * PATH_BYTES];
    snprintf(command, sizeof(command), format, path);
    ck_assert_int_eq(system(command), 0);
}

/* Recreates the synced content of the directory `inode` at `path`. */
static void restore_synced(const char *path, ino_t inode)
{
    const synced_inode_t *directory = find_synced(inode);
    for (size_t i = 0; directory != NULL && i < directory->name_count; i++) {
        const synced_inode_t *item = find_synced(directory->inodes[i]);
        struct stat info;
        char *inner = file_path(path, directory->names[i]);
        ck_assert_int_eq(fstat(directory->pins[i], &info), 0);
        if (S_ISDIR(info.st_mode)) {
            ck_assert_int_eq(mkdir(inner, 0700), 0);
            restore_synced(inner, directory->inodes[i]);
        } else {
            int fd = open(inner, O_WRONLY | O_CREAT | O_EXCL, 0600);
            ck_assert(item == NULL || file_write_all(fd, item->content.data, item->content.length));
            close(fd);
        }
        free(inner);
    }
}

static void clear_synced(void)
{
    for (size_t i = 0; i < synced_count; i++) {
        for (size_t k = 0; k < synced[i].name_count; k++) {
            close(synced[i].pins[k]);
        }
        close(synced[i].pin);
        buffer_close(&synced[i].content);
    }
    memset(synced, 0, sizeof(synced));
    synced_count = 0;
}

/* Records a sync of `path` and everything below it. */
static void sync_all(const char *path)
{
    DIR *directory = opendir(path);
    for (struct dirent *entry = readdir(directory); entry != NULL; entry = readdir(directory)) {
        if (strcmp(entry->d_name, ".") != 0 && strcmp(entry->d_name, "..") != 0) {
            char *inner = file_path(path, entry->d_name);
            int fd = open(inner, O_RDONLY);
            if (entry->d_type == DT_DIR) {
                sync_all(inner);
            } else {
                ck_assert_int_eq(record_sync(fd), 0);
            }
            close(fd);
            free(inner);
        }
    }
    ck_assert_int_eq(record_sync(dirfd(directory)), 0);
    closedir(directory);
}

static void start_process(void)
{
    killed = false;
    kill_at_directory_sync = false;
    syncs_until_kill = -1;
}

/* All stores must be closed. */
static void lose_power(void)
{
    struct stat info;
    start_process();
    ck_assert_int_eq(stat(root, &info), 0);
    run_shell("rm -rf %s/*", root);
    restore_synced(root, info.st_ino);
    clear_synced();
    sync_all(root); /* the remaining data is durable */
}

/* ---- The log ---------------------------------------------------------------------- */

static struct log_store store;

/* Data passed to the callbacks of log_store_open(). */
static struct {
    uint64_t snapshot_index;
    uint64_t term;
    uint32_t vote;
    uint64_t last_index;
} replayed;

static bool on_snapshot(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    (void)context;
    (void)group;
    replayed.snapshot_index = snapshot->index;
    return true;
}

static void on_state(void *context, uint32_t group, uint64_t term, uint32_t vote)
{
    (void)context;
    (void)group;
    replayed.term = term;
    replayed.vote = vote;
}

static void on_reset(void *context, uint32_t group)
{
    (void)context;
    (void)group;
    replayed.last_index = replayed.snapshot_index;
}

static bool on_entry(void *context, uint32_t group, const struct raft_entry *entry)
{
    (void)context;
    (void)group;
    replayed.last_index = entry->index;
    return true;
}

static bool open_store(void)
{
    struct log_restore_callbacks restore = {
        .snapshot = on_snapshot, .state = on_state, .entry = on_entry, .reset = on_reset};
    memset(&replayed, 0, sizeof(replayed));
    return log_store_open(&store, data_directory, GROUPS, &restore);
}

static void start(void)
{
    start_process();
    ck_assert_msg(open_store(), "%s", store.error);
}

static void append(uint64_t index)
{
    struct raft_entry entry = {.index = index, .term = 1, .data = (uint8_t *)(uintptr_t) "data", .length = 4};
    log_store_append(&store, 0, &entry);
}

/* Kills the process between writing and syncing. */
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
    start_process();
    kill_error = EIO;
    snprintf(root, sizeof(root), "/tmp/bankbank-power-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(root));
    snprintf(data_directory, sizeof(data_directory), "%s/data", root);
    ck_assert_int_eq(mkdir(data_directory, 0700), 0);
    sync_all(root);
}

static void teardown(void)
{
    clear_synced();
    run_shell("rm -rf %s", root);
}

START_TEST(synced_records_survive_power_loss)
{
    start();
    log_store_save_state(&store, 0, 3, 2);
    append(1);
    ck_assert(log_store_sync(&store));
    append(2);
    kill_in_sync();
    lose_power();
    start();
    ck_assert_uint_eq(replayed.last_index, 1);
    ck_assert_uint_eq(replayed.term, 3);
    ck_assert_uint_eq(replayed.vote, 2);
    log_store_close(&store);
}
END_TEST

/* The second process may acknowledge the replayed entry. */
START_TEST(a_replayed_entry_survives_power_loss)
{
    start();
    append(1);
    ck_assert(log_store_sync(&store));
    append(2);
    kill_in_sync();
    start();
    ck_assert_uint_eq(replayed.last_index, 2);
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(replayed.last_index, 2);
    log_store_close(&store);
}
END_TEST

/* After a failed sync the kernel may mark unwritten pages as clean and still return them to readers. The next process
 * must not replay and acknowledge an entry only because another sync of the same file reports no error. */
START_TEST(an_entry_replayed_after_a_failed_sync_survives_power_loss)
{
    start();
    append(1);
    ck_assert(log_store_sync(&store));
    append(2);
    fail_next_sync = true;
    ck_assert(!log_store_sync(&store));
    ck_assert(store.failed);
    log_store_close(&store);
    start();
    uint64_t acknowledged_index = replayed.last_index;
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(replayed.last_index, acknowledged_index);
    log_store_close(&store);
}
END_TEST

START_TEST(a_replayed_vote_survives_power_loss)
{
    start();
    log_store_save_state(&store, 0, 5, 3);
    kill_in_sync();
    start();
    ck_assert_uint_eq(replayed.vote, 3);
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(replayed.term, 5);
    ck_assert_uint_eq(replayed.vote, 3);
    log_store_close(&store);
}
END_TEST

/* The process ends between creating a segment and writing terms and votes to it; the next snapshot then deletes the
 * older segment, which has them. */
START_TEST(a_vote_survives_an_incomplete_new_segment)
{
    enum { FIRST_SEGMENT, DIRECTORY, HEAD, SYNCS };
    uint8_t *large = memory_new(LOG_STORE_SEGMENT_BYTES);
    struct raft_entry filling = {.index = 1, .term = 1, .data = large, .length = LOG_STORE_SEGMENT_BYTES};
    /* The process ends in sync `round / 2`; odd rounds also lose power. */
    for (int round = 2 * DIRECTORY; round < 2 * SYNCS; round++) {
        start();
        log_store_save_state(&store, 0, 7, 2);
        ck_assert(log_store_sync(&store));
        log_store_append(&store, 0, &filling);
        syncs_until_kill = round / 2;
        ck_assert(!log_store_sync(&store));
        log_store_close(&store);
        if (round % 2 == 1) {
            lose_power();
        }
        start();
        ck_assert_uint_eq(replayed.vote, 2);
        append(2);
        ck_assert(log_store_sync(&store));
        ck_assert(save_snapshot(2));
        ck_assert_uint_eq(store.segment_count, 1);
        log_store_close(&store);
        start();
        ck_assert_uint_eq(replayed.snapshot_index, 2);
        ck_assert_uint_eq(replayed.term, 7);
        ck_assert_uint_eq(replayed.vote, 2);
        log_store_close(&store);
        run_shell("rm -rf %s/*", data_directory);
    }
    free(large);
}
END_TEST

/* The process ends between the rename of a snapshot and the sync of the directory; the next one uses the snapshot. */
START_TEST(a_loaded_snapshot_survives_power_loss)
{
    start();
    append(1);
    ck_assert(log_store_sync(&store));
    ck_assert(save_snapshot(1));
    kill_at_directory_sync = true;
    ck_assert(!save_snapshot(9));
    log_store_close(&store);
    start();
    ck_assert_uint_eq(replayed.snapshot_index, 9);
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(replayed.snapshot_index, 9);
    log_store_close(&store);
}
END_TEST

/* A snapshot from the leader ends at index 3; the local entries 4 and 5 conflict with the leader's log. */
START_TEST(a_reset_record_takes_effect_only_with_its_snapshot)
{
    enum { LOG, SNAPSHOT, DIRECTORY, SYNCS };
    for (int completed_syncs = LOG; completed_syncs <= SYNCS; completed_syncs++) {
        start();
        for (uint64_t index = 1; index <= 5; index++) {
            append(index);
        }
        ck_assert(log_store_sync(&store));
        syncs_until_kill = completed_syncs == SYNCS ? -1 : completed_syncs;
        ck_assert_int_eq(save(3, true), completed_syncs == SYNCS);
        log_store_close(&store);
        start();
        ck_assert_uint_eq(replayed.snapshot_index, completed_syncs < DIRECTORY ? 0 : 3);
        ck_assert_uint_eq(replayed.last_index, completed_syncs < DIRECTORY ? 5 : 3);
        append(4);
        ck_assert(log_store_sync(&store));
        log_store_close(&store);
        lose_power();
        start();
        ck_assert_uint_eq(replayed.last_index, 4);
        log_store_close(&store);
        run_shell("rm -rf %s/*", data_directory);
    }
}
END_TEST

/* Replayed data that cannot be synced must not be relied on. */
START_TEST(opening_fails_if_the_log_cannot_be_synced)
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

START_TEST(a_loaded_identity_survives_power_loss)
{
    struct identity identity;
    kill_at_directory_sync = true;
    ck_assert(!identity_load(data_directory, NODE, &identity));
    start_process();
    ck_assert(identity_load(data_directory, NODE + 1, &identity));
    ck_assert_uint_eq(identity.node, NODE);
    lose_power();
    ck_assert(identity_load(data_directory, NODE + 2, &identity));
    ck_assert_uint_eq(identity.node, NODE);
}
END_TEST

START_TEST(a_loaded_membership_survives_power_loss)
{
    struct identity identity;
    struct raft_members members = {.count = 1, .nodes = {NODE}};
    ck_assert(identity_load(data_directory, NODE, &identity));
    kill_at_directory_sync = true;
    ck_assert(!identity_set_group(data_directory, &identity, &members));
    start_process();
    ck_assert(identity_load(data_directory, NODE, &identity));
    ck_assert(identity.has_group);
    lose_power();
    ck_assert(identity_load(data_directory, NODE, &identity));
    ck_assert(identity.has_group);
}
END_TEST

/* ---- Texts and directories -------------------------------------------------------- */

START_TEST(synced_texts_survive_power_loss)
{
    struct history_store texts;
    struct history_ref ref;
    struct buffer text = {0};
    char *directory = file_path(data_directory, "texts");
    ck_assert(history_store_open(&texts, directory));
    struct history_io io = history_store_io(&texts);
    io.append(io.context, view_of_string("hello"), &ref);
    ck_assert(history_store_sync(&texts));
    history_store_close(&texts);
    lose_power();
    ck_assert(history_store_open(&texts, directory));
    io = history_store_io(&texts);
    ck_assert(io.read(io.context, &ref, &text));
    ck_assert_str_eq(buffer_text(&text), "hello");
    history_store_close(&texts);
    buffer_close(&text);
    free(directory);
}
END_TEST

/* After a failed sync the kernel may drop unwritten pages, and the next sync reports success. */
START_TEST(a_failed_sync_of_texts_is_permanent)
{
    struct history_store texts;
    struct history_ref ref;
    ck_assert(history_store_open(&texts, data_directory));
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

START_TEST(a_log_in_a_new_directory_survives_power_loss)
{
    snprintf(data_directory, sizeof(data_directory), "%s/made/for/it", root);
    start();
    append(1);
    ck_assert(log_store_sync(&store));
    log_store_close(&store);
    lose_power();
    start();
    ck_assert_uint_eq(replayed.last_index, 1);
    log_store_close(&store);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("power_loss");
    TCase *tests = tcase_create("power_loss");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, synced_records_survive_power_loss);
    tcase_add_test(tests, a_replayed_entry_survives_power_loss);
    tcase_add_test(tests, an_entry_replayed_after_a_failed_sync_survives_power_loss);
    tcase_add_test(tests, a_replayed_vote_survives_power_loss);
    tcase_add_test(tests, a_vote_survives_an_incomplete_new_segment);
    tcase_add_test(tests, a_loaded_snapshot_survives_power_loss);
    tcase_add_test(tests, a_reset_record_takes_effect_only_with_its_snapshot);
    tcase_add_test(tests, opening_fails_if_the_log_cannot_be_synced);
    tcase_add_test(tests, a_loaded_identity_survives_power_loss);
    tcase_add_test(tests, a_loaded_membership_survives_power_loss);
    tcase_add_test(tests, synced_texts_survive_power_loss);
    tcase_add_test(tests, a_failed_sync_of_texts_is_permanent);
    tcase_add_test(tests, a_log_in_a_new_directory_survives_power_loss);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
