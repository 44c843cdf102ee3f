/* Turn trees, budgets, documents and snapshots of the state of a site. */
#include <string.h>

#include "base/message.h"
#include "core/turn_record.h"
#include "suite.h"
#include "support/streams.h"

static struct state_machine machine;

static void setup(void)
{
    struct history_io in_memory = {0};
    state_machine_init(&machine, STATE_CONFIG_GROUP, &in_memory);
}

static void teardown(void)
{
    state_machine_close(&machine);
}

static ResultCode finish(uint64_t now_ms, const char *turn, const char *parent, const char *text, uint64_t retention_ms)
{
    Entry entry = {0};
    EntryResult result = {0};
    entry.which_command = Entry_turn_finish_tag;
    entry.command.turn_finish.turn = (char *)turn;
    entry.command.turn_finish.parent = (char *)parent;
    entry.command.turn_finish.keep = true;
    entry.command.turn_finish.input = view_of_string(text);
    entry.command.turn_finish.output = view_of_string(">\n");
    entry.command.turn_finish.retention_ms = retention_ms;
    ck_assert(site_state_apply(&machine.site, now_ms, &entry, &result));
    return result.code;
}

static ResultCode begin(const char *turn, uint64_t reserve, uint64_t budget)
{
    Entry entry = {0};
    EntryResult result = {0};
    entry.which_command = Entry_turn_begin_tag;
    entry.command.turn_begin.turn = (char *)turn;
    entry.command.turn_begin.program = (char *)"p";
    entry.command.turn_begin.reserve_tokens = reserve;
    entry.command.turn_begin.budget_tokens = budget;
    ck_assert(site_state_apply(&machine.site, 1, &entry, &result));
    return result.code;
}

static void settle(const char *turn, uint64_t used)
{
    Entry entry = {0};
    EntryResult result = {0};
    entry.which_command = Entry_turn_finish_tag;
    entry.command.turn_finish.turn = (char *)turn;
    entry.command.turn_finish.program = (char *)"p";
    entry.command.turn_finish.used_tokens = used;
    ck_assert(site_state_apply(&machine.site, 1, &entry, &result));
}

static void check_chain(const char *turn, const char *expected)
{
    struct buffer text = {0};
    const struct turn *found = turn_store_find(&machine.site.turns, turn);
    ck_assert_ptr_nonnull(found);
    ck_assert(turn_chain_text(&machine.site.turns, found, &text));
    ck_assert_str_eq(buffer_text(&text), expected);
    buffer_close(&text);
}

START_TEST(branches_share_their_ancestors)
{
    ck_assert_int_eq(finish(1, "a", "", "A", 1000), RESULT_OK);
    ck_assert_int_eq(finish(2, "b", "a", "B", 1000), RESULT_OK);
    ck_assert_int_eq(finish(3, "c", "a", "C", 1000), RESULT_OK);
    check_chain("b", "A>\nB>\n");
    check_chain("c", "A>\nC>\n");
}
END_TEST

START_TEST(a_turn_is_stored_once)
{
    finish(1, "a", "", "A", 1000);
    ck_assert_int_eq(finish(2, "a", "", "other", 1000), RESULT_OK);
    check_chain("a", "A>\n");
}
END_TEST

START_TEST(a_turn_without_its_parent_is_refused)
{
    ck_assert_int_eq(finish(1, "b", "a", "B", 1000), RESULT_NOT_FOUND);
    ck_assert_ptr_null(turn_store_find(&machine.site.turns, "b"));
}
END_TEST

/* A new descendant restarts the retention period of its ancestors. */
START_TEST(a_chain_is_kept_until_its_last_turn_expires)
{
    uint64_t kept_ms = 1000 + SITE_TURN_SLACK_MS;
    finish(1, "a", "", "A", 1000);
    finish(1 + kept_ms / 2, "b", "a", "B", 1000);
    turn_store_expire(&machine.site.turns, kept_ms + 2);
    check_chain("b", "A>\nB>\n");
    turn_store_expire(&machine.site.turns, kept_ms * 2);
    ck_assert_ptr_null(turn_store_find(&machine.site.turns, "b"));
    turn_store_expire(&machine.site.turns, kept_ms * 2);
    ck_assert_ptr_null(turn_store_find(&machine.site.turns, "a"));
    ck_assert_uint_eq(machine.site.turns.bytes, 0);
}
END_TEST

START_TEST(time_never_goes_backwards)
{
    finish(100000, "a", "", "A", 1000);
    finish(50, "b", "", "B", 1000);
    ck_assert_uint_eq(machine.site.time_ms, 100000);
}
END_TEST

START_TEST(a_cache_evicts_the_least_recently_used_turn)
{
    finish(1, "a", "", "AAAAAAAA", 1000);
    finish(2, "b", "", "BBBBBBBB", 1000);
    finish(3, "c", "a", "C", 1000);
    turn_store_shrink(&machine.site.turns, machine.site.turns.index_bytes * 2 / 3 + 15);
    ck_assert_ptr_null(turn_store_find(&machine.site.turns, "b"));
    check_chain("c", "AAAAAAAA>\nC>\n");
}
END_TEST

/* Earlier versions, which had no tenants, store a header of 40 bytes, followed by the ids. */
START_TEST(a_record_without_a_tenant_keeps_the_old_format)
{
    enum { OLD_HEADER_BYTES = 40 };
    turn_record_t record = {.id = view_of_string("t1"), .parent = view_of_string("t0"), .expires_ms = 77};
    turn_record_t read;
    struct buffer out = {0};
    record.text.kind = TURN_TEXT_IN_HISTORY;
    record.text.length = 5;
    turn_record_encode(&record, &out);
    ck_assert_uint_eq(out.length, OLD_HEADER_BYTES + 4);
    ck_assert(turn_record_decode(buffer_view(&out), &read));
    ck_assert_uint_eq(read.tenant, 0);
    buffer_clear(&out);
    record.tenant = 0x1234567890abcdefULL;
    turn_record_encode(&record, &out);
    ck_assert(turn_record_decode(buffer_view(&out), &read));
    ck_assert_uint_eq(read.tenant, record.tenant);
    ck_assert_int_eq(read.text.kind, TURN_TEXT_IN_HISTORY);
    ck_assert_uint_eq(read.id.length, 2);
    ck_assert_mem_eq(read.parent.data, "t0", 2);
    ck_assert(!turn_record_decode(view_of(out.data, out.length - 1), &read));
    buffer_close(&out);
}
END_TEST

START_TEST(a_turn_keeps_its_tenant_in_every_format)
{
    struct turn_store other = {0};
    struct buffer local = {0};
    struct buffer wire = {0};
    struct buffer back = {0};
    struct history_io in_memory = {0};
    struct turn_content content = {.id = "a", .retention_ms = 5, .tenant = 42, .input = view_of_string("x")};
    ck_assert(turn_store_add(&machine.site.turns, 1, &content));
    turn_export(turn_store_find(&machine.site.turns, "a"), &local);
    ck_assert(turn_record_to_wire(&in_memory, buffer_view(&local), &wire));
    ck_assert(turn_record_from_wire(&in_memory, buffer_view(&wire), &back));
    ck_assert(turn_store_import(&other, buffer_view(&back)));
    const struct turn *turn = turn_store_find(&other, "a");
    ck_assert(turn_is_visible_to(turn, 42));
    ck_assert(!turn_is_visible_to(turn, 43));
    ck_assert(!turn_is_visible_to(turn, 0));
    turn_store_close(&other);
    buffer_close(&local);
    buffer_close(&wire);
    buffer_close(&back);
}
END_TEST

START_TEST(a_budget_counts_reservations_and_settlements)
{
    ck_assert_int_eq(begin("t1", 60, 100), RESULT_OK);
    ck_assert_int_eq(begin("t2", 60, 100), RESULT_BUDGET);
    settle("t1", 20);
    ck_assert_int_eq(begin("t2", 60, 100), RESULT_OK);
    ck_assert_int_eq(begin("t3", 30, 100), RESULT_BUDGET);
}
END_TEST

START_TEST(a_begin_returns_the_last_server)
{
    Entry entry = {0};
    EntryResult result = {0};
    begin("t1", 10, 100);
    entry.which_command = Entry_turn_finish_tag;
    entry.command.turn_finish.turn = (char *)"t1";
    entry.command.turn_finish.program = (char *)"p";
    entry.command.turn_finish.server = (char *)"server-7";
    site_state_apply(&machine.site, 1, &entry, &result);
    memset(&entry, 0, sizeof(entry));
    memset(&result, 0, sizeof(result));
    entry.which_command = Entry_turn_begin_tag;
    entry.command.turn_begin.turn = (char *)"t2";
    entry.command.turn_begin.program = (char *)"p";
    entry.command.turn_begin.budget_tokens = 100;
    site_state_apply(&machine.site, 1, &entry, &result);
    ck_assert_str_eq(result.engine, "server-7");
}
END_TEST

START_TEST(a_repeated_begin_or_settlement_counts_once)
{
    begin("t1", 60, 100);
    ck_assert_int_eq(begin("t1", 60, 100), RESULT_OK);
    settle("t1", 50);
    settle("t1", 0);
    ck_assert_int_eq(begin("t1", 60, 100), RESULT_OK);
    ck_assert_int_eq(begin("t2", 50, 100), RESULT_OK);
    ck_assert_int_eq(begin("t3", 1, 100), RESULT_BUDGET);
}
END_TEST

/* A begin that arrives after its settlement must not leave a reservation. */
START_TEST(a_late_begin_reserves_nothing)
{
    settle("t1", 0);
    ck_assert_int_eq(begin("t1", 90, 100), RESULT_OK);
    ck_assert_int_eq(begin("t2", 100, 100), RESULT_OK);
}
END_TEST

static uint64_t put_document(uint64_t version, const char *text)
{
    Entry entry = {0};
    EntryResult result = {0};
    entry.which_command = Entry_document_put_tag;
    entry.command.document_put.version = version;
    entry.command.document_put.content = view_of_string(text);
    ck_assert(site_state_apply(&machine.site, 1, &entry, &result));
    ck_assert_int_eq(result.code, RESULT_OK);
    return result.revision;
}

START_TEST(the_highest_document_version_wins)
{
    ck_assert_uint_eq(put_document(7, "seven"), 7);
    ck_assert_uint_eq(put_document(3, "three"), 7);
    ck_assert_uint_eq(put_document(7, "other"), 7);
    ck_assert_int_eq(memcmp(machine.site.document.content.data, "seven", 5), 0);
    ck_assert_uint_eq(put_document(9, "nine"), 9);
}
END_TEST

START_TEST(a_snapshot_restores_everything)
{
    Entry retire = {0};
    EntryResult result = {0};
    retire.which_command = Entry_retire_start_tag;
    retire.command.retire_start.machine = (char *)"store-1";
    put_document(4, "four");
    finish(10, "a", "", "A", 1000);
    finish(20, "b", "a", "B", 1000);
    begin("t1", 60, 100);
    site_state_apply(&machine.site, 30, &retire, &result);
    struct buffer stream = {0};
    ck_assert(stream_write(&machine, &stream));
    teardown();
    setup();
    ck_assert(stream_read(&machine, &stream));
    buffer_close(&stream);
    check_chain("b", "A>\nB>\n");
    ck_assert_uint_eq(machine.site.document.version, 4);
    ck_assert_int_eq(begin("t2", 60, 100), RESULT_BUDGET);
    ck_assert(site_state_is_retiring(&machine.site, "store-1"));
    ck_assert_uint_eq(machine.site.time_ms, 30);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("turns");
    TCase *tests = tcase_create("site state");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, branches_share_their_ancestors);
    tcase_add_test(tests, a_turn_is_stored_once);
    tcase_add_test(tests, a_turn_without_its_parent_is_refused);
    tcase_add_test(tests, a_chain_is_kept_until_its_last_turn_expires);
    tcase_add_test(tests, time_never_goes_backwards);
    tcase_add_test(tests, a_cache_evicts_the_least_recently_used_turn);
    tcase_add_test(tests, a_record_without_a_tenant_keeps_the_old_format);
    tcase_add_test(tests, a_turn_keeps_its_tenant_in_every_format);
    tcase_add_test(tests, a_budget_counts_reservations_and_settlements);
    tcase_add_test(tests, a_begin_returns_the_last_server);
    tcase_add_test(tests, a_repeated_begin_or_settlement_counts_once);
    tcase_add_test(tests, a_late_begin_reserves_nothing);
    tcase_add_test(tests, the_highest_document_version_wins);
    tcase_add_test(tests, a_snapshot_restores_everything);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
