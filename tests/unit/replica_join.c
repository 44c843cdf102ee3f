/* A replica that organizes its members by itself, hosted without disk and network. */
#include <stdio.h>
#include <string.h>

#include "base/message.h"
#include "core/replica.h"
#include "suite.h"

enum { STEP_MS = 100, NEWCOMER = 9 };

static struct replica replica;
static ResultCode last_code;
static uint64_t now_ms;

static void on_save_state(void *context, uint32_t group, uint64_t term, uint32_t vote)
{
    (void)context;
    (void)group;
    (void)term;
    (void)vote;
}

static void on_append(void *context, uint32_t group, const struct raft_entry *entry)
{
    (void)context;
    (void)group;
    (void)entry;
}

static enum replica_sync on_sync(void *context)
{
    return *(enum replica_sync *)context;
}

static bool on_snapshot_begin(void *context, uint32_t group, const struct raft_snapshot *snapshot)
{
    (void)context;
    (void)group;
    (void)snapshot;
    return true;
}

static bool on_snapshot_write(void *context, uint32_t group, struct view bytes)
{
    (void)context;
    (void)group;
    (void)bytes;
    return true;
}

static bool on_snapshot_commit(void *context, uint32_t group, bool reset_log)
{
    (void)context;
    (void)group;
    (void)reset_log;
    return true;
}

static void on_snapshot_abort(void *context, uint32_t group)
{
    (void)context;
    (void)group;
}

static bool on_snapshot_read(void *context, uint32_t group, uint64_t index, uint64_t at, size_t most,
                             struct buffer *out)
{
    (void)context;
    (void)group;
    (void)index;
    (void)at;
    (void)most;
    (void)out;
    return false;
}

static void on_send(void *context, uint32_t to, struct view data)
{
    Frame frame = {0};
    (void)context;
    (void)to;
    if (message_decode(data, Frame_fields, &frame)) {
        last_code = frame.which_payload == Frame_reply_tag ? frame.payload.reply.code : last_code;
        message_free(Frame_fields, &frame);
    }
}

static enum replica_sync sync_result;
static bool request_again;

static void advance(int steps)
{
    for (int i = 0; i < steps; i++) {
        now_ms += STEP_MS;
        replica_tick(&replica, now_ms);
        replica_flush(&replica, now_ms);
    }
}

static void setup(void)
{
    struct replica_io io = {
        .context = &sync_result,
        .save_state = on_save_state,
        .append = on_append,
        .sync = on_sync,
        .snapshot_begin = on_snapshot_begin,
        .snapshot_write = on_snapshot_write,
        .snapshot_commit = on_snapshot_commit,
        .snapshot_abort = on_snapshot_abort,
        .snapshot_read = on_snapshot_read,
        .send = on_send,
    };
    struct history_io history = {0};
    struct replica_config config = {
        .node = 1,
        .groups = 1,
        .election_timeout_ms = 400,
        .heartbeat_ms = 80,
        .self_organized = true,
        .steady_stamps = true,
    };
    config.members.count = 1;
    config.members.nodes[0] = 1;
    sync_result = REPLICA_SYNC_DONE;
    request_again = false;
    last_code = RESULT_TIMEOUT;
    now_ms = 1000000;
    replica_init(&replica, &config, &io, &history);
    replica_start(&replica, now_ms);
    advance(2);
}

static void teardown(void)
{
    replica_close(&replica);
}

static void request(RequestKind kind, const pb_msgdesc_t *fields, const void *message)
{
    struct buffer body = {0};
    Frame frame = {0};
    ck_assert(message_encode(&body, fields, message));
    frame.which_payload = Frame_request_tag;
    frame.payload.request.id = 1;
    frame.payload.request.kind = kind;
    frame.payload.request.again = request_again;
    frame.payload.request.body = buffer_view(&body);
    replica_receive(&replica, now_ms, NEWCOMER, &frame);
    replica_flush(&replica, now_ms);
    buffer_close(&body);
}

static void ask_to_join_as(uint32_t node, uint32_t ip, const char *name)
{
    JoinRequest join = {.has_member = true};
    join.member.node = node;
    join.member.ip = ip;
    join.member.port = 7000;
    join.member.name = (char *)(uintptr_t)name;
    request(REQUEST_JOIN, JoinRequest_fields, &join);
}

static void ask_to_join(uint32_t node, uint32_t ip)
{
    ask_to_join_as(node, ip, "store-9");
}

static const struct raft_members *members(void)
{
    return &replica.groups[0].raft.members;
}

/* A newcomer has answered nothing yet; that is no silence. */
START_TEST(a_newcomer_stays)
{
    ask_to_join(NEWCOMER, 77);
    ck_assert_int_eq(last_code, RESULT_OK);
    for (int i = 0; i < 20; i++) {
        advance(1);
        ck_assert_uint_eq(members()->count, 2);
    }
    ck_assert(members()->learners[1]);
    ck_assert_str_eq(members()->places[1].name, "store-9");
}
END_TEST

START_TEST(a_machine_that_comes_back_under_another_id_replaces_itself)
{
    ask_to_join(NEWCOMER, 77);
    advance(1);
    ask_to_join(NEWCOMER + 1, 77);
    advance(5);
    ck_assert_uint_eq(members()->count, 2);
    ck_assert_uint_eq(members()->nodes[1], NEWCOMER + 1);
}
END_TEST

static void put_version_four(void)
{
    Entry entry = {0};
    entry.which_command = Entry_document_put_tag;
    entry.command.document_put.version = 4;
    entry.command.document_put.content = view_of_string("four");
    request(REQUEST_PROPOSE, Entry_fields, &entry);
}

/* While the disk takes nothing, nothing is acknowledged and nothing is lost. */
START_TEST(a_blocked_disk_holds_answers_back)
{
    sync_result = REPLICA_SYNC_BLOCKED;
    put_version_four();
    advance(10);
    ck_assert_int_eq(last_code, RESULT_TIMEOUT);
    ck_assert_uint_eq(replica.groups[0].machine.site.document.version, 0);
    ck_assert(!replica.failed);
    sync_result = REPLICA_SYNC_DONE;
    advance(2);
    ck_assert_int_eq(last_code, RESULT_OK);
    ck_assert_uint_eq(replica.groups[0].machine.site.document.version, 4);
}
END_TEST

START_TEST(the_last_machines_may_not_be_emptied)
{
    Entry entry = {0};
    entry.which_command = Entry_retire_start_tag;
    entry.command.retire_start.machine = (char *)"store-9";
    request(REQUEST_PROPOSE, Entry_fields, &entry);
    ck_assert_int_eq(last_code, RESULT_NOT_FOUND);
    ask_to_join(NEWCOMER, 77);
    request(REQUEST_PROPOSE, Entry_fields, &entry);
    ck_assert_int_eq(last_code, RESULT_LIMIT);
}
END_TEST

/* A large site has more machines than members; those that wait hold nothing and may be emptied at once. */
START_TEST(a_machine_that_waits_is_known)
{
    enum { ASKING = 9, MEMBERS = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES };
    for (uint32_t round = 0; round < 5; round++) {
        for (uint32_t i = 0; i < ASKING; i++) {
            char name[RAFT_NAME_MAX];
            snprintf(name, sizeof(name), "store-%u", 10 + i);
            ask_to_join_as(NEWCOMER + 1 + i, 100 + i, name);
        }
        advance(2);
    }
    ck_assert_uint_eq(members()->count, MEMBERS);
    Entry entry = {0};
    entry.which_command = Entry_retire_start_tag;
    entry.command.retire_start.machine = (char *)"store-18";
    request(REQUEST_PROPOSE, Entry_fields, &entry);
    ck_assert_int_eq(last_code, RESULT_OK);
    entry.command.retire_start.machine = (char *)"store-99";
    request(REQUEST_PROPOSE, Entry_fields, &entry);
    ck_assert_int_eq(last_code, RESULT_NOT_FOUND);
}
END_TEST

/* A gateway asks again where its answer is slow: the entry stands in the log once. */
START_TEST(a_request_that_waits_is_not_taken_twice)
{
    sync_result = REPLICA_SYNC_BLOCKED;
    put_version_four();
    uint64_t last = raft_last_index(&replica.groups[0].raft);
    request_again = true;
    put_version_four();
    ck_assert_uint_eq(raft_last_index(&replica.groups[0].raft), last);
    sync_result = REPLICA_SYNC_DONE;
    advance(2);
    ck_assert_int_eq(last_code, RESULT_OK);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("replica_join");
    TCase *tests = tcase_create("one replica");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, a_newcomer_stays);
    tcase_add_test(tests, a_machine_that_comes_back_under_another_id_replaces_itself);
    tcase_add_test(tests, a_blocked_disk_holds_answers_back);
    tcase_add_test(tests, the_last_machines_may_not_be_emptied);
    tcase_add_test(tests, a_machine_that_waits_is_known);
    tcase_add_test(tests, a_request_that_waits_is_not_taken_twice);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
