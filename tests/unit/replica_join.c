/* Tests membership, retirement and a blocked disk with one replica; disk and network are stubs. */
#include <stdio.h>
#include <string.h>

#include "base/message.h"
#include "core/replica.h"
#include "suite.h"

enum { STEP_MS = 100, NEW_NODE = 9 };

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

static enum replica_sync_result on_sync(void *context)
{
    return *(enum replica_sync_result *)context;
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

static bool on_snapshot_read(void *context, uint32_t group, uint64_t index, uint64_t offset, size_t max_bytes,
                             struct buffer *out)
{
    (void)context;
    (void)group;
    (void)index;
    (void)offset;
    (void)max_bytes;
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

static enum replica_sync_result sync_result;
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
        .auto_membership = true,
        .monotonic_timestamps = true,
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
    replica_receive(&replica, now_ms, NEW_NODE, &frame);
    replica_flush(&replica, now_ms);
    buffer_close(&body);
}

static void request_join_as(uint32_t node, uint32_t ip, const char *name)
{
    JoinRequest join = {.has_member = true};
    join.member.node = node;
    join.member.ip = ip;
    join.member.port = 7000;
    join.member.name = (char *)(uintptr_t)name;
    request(REQUEST_JOIN, JoinRequest_fields, &join);
}

static void request_join(uint32_t node, uint32_t ip)
{
    request_join_as(node, ip, "store-9");
}

static const struct raft_members *members(void)
{
    return &replica.groups[0].raft.members;
}

/* A new member that has not replied to the leader yet does not count as unreachable. */
START_TEST(new_member_is_kept)
{
    request_join(NEW_NODE, 77);
    ck_assert_int_eq(last_code, RESULT_OK);
    for (int i = 0; i < 20; i++) {
        advance(1);
        ck_assert_uint_eq(members()->count, 2);
    }
    ck_assert(members()->learners[1]);
    ck_assert_str_eq(members()->locations[1].name, "store-9");
}
END_TEST

START_TEST(rejoin_under_new_id_replaces_old_member)
{
    request_join(NEW_NODE, 77);
    advance(1);
    request_join(NEW_NODE + 1, 77);
    advance(5);
    ck_assert_uint_eq(members()->count, 2);
    ck_assert_uint_eq(members()->nodes[1], NEW_NODE + 1);
}
END_TEST

static void propose_document(void)
{
    Entry entry = {0};
    entry.which_command = Entry_document_put_tag;
    entry.command.document_put.version = 4;
    entry.command.document_put.content = view_of_string("four");
    request(REQUEST_PROPOSE, Entry_fields, &entry);
}

/* While the disk is blocked, proposals are neither acknowledged nor lost. */
START_TEST(blocked_disk_delays_replies)
{
    sync_result = REPLICA_SYNC_BLOCKED;
    propose_document();
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

START_TEST(retirement_below_member_minimum_is_refused)
{
    Entry entry = {0};
    entry.which_command = Entry_retire_start_tag;
    entry.command.retire_start.machine = (char *)"store-9";
    request(REQUEST_PROPOSE, Entry_fields, &entry);
    ck_assert_int_eq(last_code, RESULT_NOT_FOUND);
    request_join(NEW_NODE, 77);
    request(REQUEST_PROPOSE, Entry_fields, &entry);
    ck_assert_int_eq(last_code, RESULT_LIMIT);
}
END_TEST

/* A machine beyond the member limit holds no data and may be retired. */
START_TEST(machine_that_is_not_a_member_can_be_retired)
{
    enum { MACHINES = 9, MEMBERS = MEMBERSHIP_VOTERS_LARGE + MEMBERSHIP_SPARES };
    for (uint32_t round = 0; round < 5; round++) {
        for (uint32_t i = 0; i < MACHINES; i++) {
            char name[RAFT_NAME_MAX];
            snprintf(name, sizeof(name), "store-%u", 10 + i);
            request_join_as(NEW_NODE + 1 + i, 100 + i, name);
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

/* Gateways retransmit a request whose reply is late. */
START_TEST(retransmitted_request_is_proposed_once)
{
    sync_result = REPLICA_SYNC_BLOCKED;
    propose_document();
    uint64_t last = raft_last_index(&replica.groups[0].raft);
    request_again = true;
    propose_document();
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
    tcase_add_test(tests, new_member_is_kept);
    tcase_add_test(tests, rejoin_under_new_id_replaces_old_member);
    tcase_add_test(tests, blocked_disk_delays_replies);
    tcase_add_test(tests, retirement_below_member_minimum_is_refused);
    tcase_add_test(tests, machine_that_is_not_a_member_can_be_retired);
    tcase_add_test(tests, retransmitted_request_is_proposed_once);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
