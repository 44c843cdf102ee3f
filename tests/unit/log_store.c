/* Log store: recovery, torn writes, corruption, snapshots. History store: lifetime of texts. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "store/file.h"
#include "store/history_store.h"
#include "store/log_store.h"
#include "suite.h"

enum { GROUPS = 2 };

static char directory[64];
static struct log_store store;

/* Data passed to the callbacks of log_store_open(). */
static struct {
    uint64_t snapshot_index;
    uint64_t term;
    uint32_t vote;
    uint64_t last_index;
    uint64_t entries;
} replayed[GROUPS];

static bool on_snapshot(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    (void)context;
    replayed[group].snapshot_index = snapshot->index;
    return true;
}

static void on_state(void *context, uint32_t group, uint64_t term, uint32_t vote)
{
    (void)context;
    replayed[group].term = term;
    replayed[group].vote = vote;
}

static bool on_entry(void *context, uint32_t group, const struct raft_entry *entry)
{
    (void)context;
    replayed[group].last_index = entry->index;
    replayed[group].entries++;
    return true;
}

static void on_reset(void *context, uint32_t group)
{
    (void)context;
    replayed[group].last_index = replayed[group].snapshot_index;
}

static bool open_store(void)
{
    struct log_restore_callbacks restore = {NULL, on_snapshot, on_state, on_entry, on_reset};
    memset(replayed, 0, sizeof(replayed));
    return log_store_open(&store, directory, GROUPS, &restore);
}

static void reopen(void)
{
    log_store_close(&store);
    ck_assert_msg(open_store(), "%s", store.error);
}

static void setup(void)
{
    snprintf(directory, sizeof(directory), "/tmp/bankbank-log-XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(directory));
    ck_assert(open_store());
}

static void teardown(void)
{
    char command[128];
    log_store_close(&store);
    snprintf(command, sizeof(command), "rm -rf %s", directory);
    ck_assert_int_eq(system(command), 0);
}

static void append(uint32_t group, uint64_t index, uint64_t term)
{
    struct raft_entry entry = {.index = index, .term = term, .data = (uint8_t *)(uintptr_t) "data", .length = 4};
    log_store_append(&store, group, &entry);
}

static bool save_snapshot(uint32_t group, uint64_t index, const char *state)
{
    struct raft_snapshot snapshot = {.index = index, .term = 1, .members = {.count = 1, .nodes = {1}}};
    return log_store_snapshot_begin(&store, group, &snapshot) &&
           log_store_snapshot_write(&store, group, view_of_string(state)) &&
           log_store_snapshot_commit(&store, group, false);
}

static char *segment_path(void)
{
    return file_path(directory, "log-0000000001");
}

START_TEST(synced_records_survive)
{
    log_store_save_state(&store, 0, 3, 2);
    append(0, 1, 3);
    append(1, 1, 3);
    append(1, 2, 3);
    ck_assert(log_store_sync(&store));
    append(1, 3, 3); /* never synced */
    reopen();
    ck_assert_uint_eq(replayed[0].term, 3);
    ck_assert_uint_eq(replayed[0].vote, 2);
    ck_assert_uint_eq(replayed[0].last_index, 1);
    ck_assert_uint_eq(replayed[1].last_index, 2);
}
END_TEST

START_TEST(a_torn_last_write_is_truncated_at_every_length)
{
    append(0, 1, 1);
    ck_assert(log_store_sync(&store));
    char *path = segment_path();
    struct stat before;
    ck_assert_int_eq(stat(path, &before), 0);
    append(0, 2, 1);
    ck_assert(log_store_sync(&store));
    struct stat after;
    ck_assert_int_eq(stat(path, &after), 0);
    for (off_t size = after.st_size - 1; size > before.st_size; size--) {
        ck_assert_int_eq(truncate(path, size), 0);
        reopen();
        ck_assert_uint_eq(replayed[0].last_index, 1);
        append(0, 2, 1);
        ck_assert(log_store_sync(&store));
    }
    reopen();
    ck_assert_uint_eq(replayed[0].last_index, 2);
    free(path);
}
END_TEST

/* After a power loss, any part of an unsynced write may be missing, not only its end. */
START_TEST(a_last_write_torn_in_its_middle_is_truncated)
{
    enum { RECORDS = 3 };
    char zeros[16] = {0};
    char *path = segment_path();
    struct stat before;
    struct stat after;
    append(0, 1, 1);
    ck_assert(log_store_sync(&store));
    ck_assert_int_eq(stat(path, &before), 0);
    for (int intact_records = 0; intact_records < RECORDS; intact_records++) {
        for (int i = 0; i < RECORDS; i++) {
            append(0, 2 + (uint64_t)i, 1);
        }
        ck_assert(log_store_sync(&store));
        ck_assert_int_eq(stat(path, &after), 0);
        off_t record_bytes = (after.st_size - before.st_size) / RECORDS;
        int fd = open(path, O_RDWR);
        ck_assert_int_eq(pwrite(fd, zeros, sizeof(zeros), before.st_size + intact_records * record_bytes),
                         sizeof(zeros));
        close(fd);
        reopen();
        ck_assert_uint_eq(replayed[0].last_index, 1 + (uint64_t)intact_records);
        ck_assert_int_eq(truncate(path, before.st_size), 0);
        reopen();
        ck_assert_uint_eq(replayed[0].last_index, 1);
    }
    free(path);
}
END_TEST

START_TEST(corruption_before_the_last_write_is_reported_with_its_offset)
{
    for (uint64_t index = 1; index <= 3; index++) {
        append(0, index, 1);
        ck_assert(log_store_sync(&store));
    }
    log_store_close(&store);
    char *path = segment_path();
    struct stat info;
    ck_assert_int_eq(stat(path, &info), 0);
    int fd = open(path, O_RDWR);
    ck_assert_int_eq(pwrite(fd, "X", 1, info.st_size / 2), 1);
    close(fd);
    ck_assert(!open_store());
    ck_assert_ptr_nonnull(strstr(store.error, "log-0000000001: byte"));
    ck_assert_ptr_nonnull(strstr(store.error, "damaged"));
    free(path);
}
END_TEST

START_TEST(a_snapshot_is_loaded_and_a_corrupt_one_refused)
{
    append(0, 1, 1);
    ck_assert(log_store_sync(&store));
    ck_assert(save_snapshot(0, 1, "state"));
    reopen();
    ck_assert_uint_eq(replayed[0].snapshot_index, 1);
    log_store_close(&store);
    char *path = file_path(directory, "snapshot-0");
    int fd = open(path, O_RDWR);
    ck_assert_int_eq(pwrite(fd, "X", 1, 45), 1);
    close(fd);
    ck_assert(!open_store());
    ck_assert_ptr_nonnull(strstr(store.error, "snapshot"));
    free(path);
}
END_TEST

START_TEST(covered_segments_are_deleted)
{
    uint8_t *large = memory_new(1 << 20);
    uint64_t index = 0;
    while (store.segment_count < 3) {
        struct raft_entry entry = {.index = ++index, .term = 1, .data = large, .length = 1 << 20};
        log_store_append(&store, 0, &entry);
        ck_assert(log_store_sync(&store));
    }
    log_store_save_state(&store, 1, 9, 1);
    ck_assert(log_store_sync(&store));
    ck_assert(save_snapshot(0, index, "s"));
    ck_assert_uint_eq(store.segment_count, 1);
    reopen();
    ck_assert_uint_eq(replayed[0].snapshot_index, index);
    ck_assert_uint_eq(replayed[1].term, 9);
    free(large);
}
END_TEST

static void append_large(const uint8_t *large, uint64_t index, uint64_t term)
{
    struct raft_entry entry = {.index = index, .term = term, .data = (uint8_t *)(uintptr_t)large, .length = 1 << 20};
    log_store_append(&store, 0, &entry);
    ck_assert(log_store_sync(&store));
}

/* Entries of a later segment void entry 4 of an older one; without the later segment, entry 4 would come back. */
START_TEST(a_segment_that_overwrites_entries_of_an_older_one_is_kept)
{
    uint8_t *large = memory_new(1 << 20);
    for (uint64_t index = 1; index <= 4; index++) {
        append_large(large, index, 1);
    }
    ck_assert_uint_eq(store.segment_count, 2);
    append_large(large, 2, 2);
    append_large(large, 3, 2);
    append_large(large, 2, 3);
    append_large(large, 3, 3);
    ck_assert_uint_eq(store.segment_count, 3);
    ck_assert(save_snapshot(0, 3, "s"));
    reopen();
    ck_assert_uint_eq(replayed[0].snapshot_index, 3);
    ck_assert_uint_eq(replayed[0].last_index, 3);
    for (uint64_t index = 4; index <= 8; index++) {
        append_large(large, index, 3);
    }
    ck_assert(save_snapshot(0, 8, "s"));
    ck_assert_uint_eq(store.segment_count, 1);
    reopen();
    ck_assert_uint_eq(replayed[0].snapshot_index, 8);
    free(large);
}
END_TEST

/* A snapshot covers entries up to 3; the log has entries 1 to 5, then a newer entry 3. */
START_TEST(an_entry_within_the_snapshot_voids_later_entries)
{
    struct raft raft;
    struct raft_config config = {.node = 1};
    struct raft_io io = {0};
    struct raft_members members = {.count = 1, .nodes = {1}};
    struct raft_entry entry = {.term = 1};
    raft_init(&raft, &config, &io, &members);
    raft_restore_snapshot(&raft, 3, 2, &members);
    for (entry.index = 1; entry.index <= 5; entry.index++) {
        ck_assert(raft_restore_entry(&raft, &entry));
    }
    ck_assert_uint_eq(raft_last_index(&raft), 5);
    entry.index = 3;
    entry.term = 2;
    ck_assert(raft_restore_entry(&raft, &entry));
    ck_assert_uint_eq(raft_last_index(&raft), 3);
    ck_assert_uint_eq(raft.synced, 3);
    raft_close(&raft);
}
END_TEST

START_TEST(a_failed_write_fails_all_later_syncs)
{
    close(store.fd);
    store.fd = open("/dev/full", O_WRONLY);
    append(0, 1, 1);
    ck_assert(!log_store_sync(&store));
    ck_assert_ptr_nonnull(strstr(store.error, "cannot write"));
    ck_assert(!log_store_sync(&store));
}
END_TEST

/* No record may be lost or duplicated by a write that is retried after the disk was full. */
START_TEST(a_write_to_a_full_disk_is_retried)
{
    append(0, 1, 1);
    ck_assert(log_store_sync(&store));
    uint64_t before = store.file_bytes;
    struct rlimit old;
    signal(SIGXFSZ, SIG_IGN);
    ck_assert_int_eq(getrlimit(RLIMIT_FSIZE, &old), 0);
    struct rlimit full = {.rlim_cur = before + 10, .rlim_max = old.rlim_max};
    ck_assert_int_eq(setrlimit(RLIMIT_FSIZE, &full), 0);
    append(0, 2, 1);
    bool synced = log_store_sync(&store);
    ck_assert_int_eq(setrlimit(RLIMIT_FSIZE, &old), 0);
    char *path = segment_path();
    struct stat info;
    ck_assert_int_eq(stat(path, &info), 0);
    free(path);
    ck_assert(!synced);
    ck_assert(!store.failed);
    ck_assert_uint_eq((uint64_t)info.st_size, before);
    append(0, 3, 1);
    ck_assert(log_store_sync(&store));
    reopen();
    ck_assert_uint_eq(replayed[0].entries, 3);
    ck_assert_uint_eq(replayed[0].last_index, 3);
}
END_TEST

START_TEST(history_texts_are_kept_until_released_and_swept)
{
    struct history_store history;
    char *path = file_path(directory, "history");
    ck_assert(history_store_open(&history, path));
    struct history_io io = history_store_io(&history);
    struct history_ref first;
    struct history_ref second;
    io.append(io.context, view_of_string("hello"), &first);
    io.append(io.context, view_of_string("world"), &second);
    ck_assert(history_store_sync(&history));
    history_store_close(&history);
    ck_assert(history_store_open(&history, path));
    io = history_store_io(&history);
    io.mark_used(io.context, &second);
    history_store_sweep(&history);
    struct buffer text = {0};
    ck_assert(io.read(io.context, &second, &text));
    ck_assert_str_eq(buffer_text(&text), "world");
    io.release(io.context, &second);
    buffer_clear(&text);
    ck_assert(io.read(io.context, &second, &text)); /* a stored snapshot may still refer to it */
    ck_assert_str_eq(buffer_text(&text), "world");
    io.reclaim(io.context);
    ck_assert(!io.read(io.context, &second, &text));
    buffer_close(&text);
    history_store_close(&history);
    free(path);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("log_store");
    TCase *tests = tcase_create("recovery");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, synced_records_survive);
    tcase_add_test(tests, a_torn_last_write_is_truncated_at_every_length);
    tcase_add_test(tests, a_last_write_torn_in_its_middle_is_truncated);
    tcase_add_test(tests, corruption_before_the_last_write_is_reported_with_its_offset);
    tcase_add_test(tests, a_snapshot_is_loaded_and_a_corrupt_one_refused);
    tcase_add_test(tests, covered_segments_are_deleted);
    tcase_add_test(tests, a_segment_that_overwrites_entries_of_an_older_one_is_kept);
    tcase_add_test(tests, an_entry_within_the_snapshot_voids_later_entries);
    tcase_add_test(tests, a_failed_write_fails_all_later_syncs);
    tcase_add_test(tests, a_write_to_a_full_disk_is_retried);
    tcase_add_test(tests, history_texts_are_kept_until_released_and_swept);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
