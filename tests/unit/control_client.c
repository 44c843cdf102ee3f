/* A daemon's control client, by itself. */
#include <string.h>

#include "base/message.h"
#include "core/control_client.h"
#include "suite.h"

enum { REPLICA = 1, OTHER = 2, NODE = 7, NOW_MS = 1000 };

static uint64_t sent_request;
static uint32_t sends;
static uint32_t last_target;
static uint32_t completed;

static bool note_sent(void *context, uint32_t to, struct view bytes)
{
    Frame frame = {0};
    (void)context;
    last_target = to;
    if (message_decode(bytes, Frame_fields, &frame) && frame.which_payload == Frame_request_tag) {
        sent_request = frame.payload.request.id;
        sends++;
    }
    message_free(Frame_fields, &frame);
    return true;
}

static void note_completed(void *context, void *token, ResultCode code, struct view body)
{
    (void)context;
    (void)token;
    (void)code;
    (void)body;
    completed++;
}

static void ignore_config(void *context, const struct config_store *config)
{
    (void)context;
    (void)config;
}

static void start(struct control_client *client, uint64_t boot_id)
{
    struct control_client_config config = {
        .node = NODE, .boot_id = boot_id, .groups = 1, .replica_count = 1, .replicas = {REPLICA}};
    struct control_client_io io = {NULL, note_sent, note_completed, ignore_config};
    control_client_init(client, &config, &io);
}

/* A gateway of a site: it sends requests and no heartbeats. */
static void start_site(struct control_client *client, uint64_t boot_id)
{
    start(client, boot_id);
    client->config.requests_only = true;
}

/* Found by the simulator: a restarted gateway took the late answer to a request
 * of its earlier start for the answer to its own first request, and ran a call
 * whose begin was not committed. */
START_TEST(an_answer_to_an_earlier_start_is_ignored)
{
    struct control_client client;
    start(&client, 1);
    control_client_submit(&client, NOW_MS, 0, REQUEST_CONFIG, view_of_string("q"), NOW_MS + 5000, &client);
    uint64_t earlier = sent_request;
    control_client_close(&client);
    completed = 0;
    start(&client, 2);
    control_client_submit(&client, NOW_MS, 0, REQUEST_CONFIG, view_of_string("q"), NOW_MS + 5000, &client);
    Frame frame = {0};
    frame.which_payload = Frame_reply_tag;
    frame.payload.reply.id = earlier;
    frame.payload.reply.code = RESULT_OK;
    control_client_receive(&client, NOW_MS + 1, REPLICA, &frame);
    ck_assert_uint_eq(completed, 0);
    frame.payload.reply.id = sent_request;
    control_client_receive(&client, NOW_MS + 2, REPLICA, &frame);
    ck_assert_uint_eq(completed, 1);
    control_client_close(&client);
}
END_TEST

static void answer_not_leader(struct control_client *client, uint64_t now_ms, uint64_t request)
{
    Frame frame = {0};
    frame.which_payload = Frame_reply_tag;
    frame.payload.reply.id = request;
    frame.payload.reply.code = RESULT_NOT_LEADER;
    control_client_receive(client, now_ms, REPLICA, &frame);
}

/* Sends in a second without a leader. */
static uint32_t sends_in_a_second(struct control_client *client)
{
    sends = 0;
    for (uint64_t now_ms = NOW_MS; now_ms < NOW_MS + 1000; now_ms++) {
        uint32_t before = sends;
        control_client_tick(client, now_ms);
        if (sends > before) {
            answer_not_leader(client, now_ms, sent_request);
        }
    }
    return sends;
}

START_TEST(a_request_that_nobody_waits_for_pauses_longer)
{
    struct control_client client;
    start_site(&client, 1);
    control_client_post(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 60000, &client);
    answer_not_leader(&client, NOW_MS, sent_request);
    ck_assert_uint_le(sends_in_a_second(&client), 4);
    control_client_close(&client);
    start_site(&client, 2);
    control_client_submit(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 60000, &client);
    answer_not_leader(&client, NOW_MS, sent_request);
    ck_assert_uint_ge(sends_in_a_second(&client), 40);
    control_client_close(&client);
}
END_TEST

/* A turn's settlement must not come after the next turn of its program is refused. */
START_TEST(a_paused_request_goes_on_once_a_leader_is_known)
{
    struct control_client client;
    start_site(&client, 1);
    control_client_post(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 60000, &client);
    uint64_t paused = sent_request;
    answer_not_leader(&client, NOW_MS, paused);
    control_client_submit(&client, NOW_MS + 10, 0, REQUEST_PROPOSE, view_of_string("r"), NOW_MS + 5000, &client);
    Frame frame = {0};
    frame.which_payload = Frame_reply_tag;
    frame.payload.reply.id = sent_request;
    frame.payload.reply.code = RESULT_OK;
    frame.payload.reply.leader = OTHER;
    control_client_receive(&client, NOW_MS + 11, REPLICA, &frame);
    control_client_tick(&client, NOW_MS + 12);
    ck_assert_uint_eq(sent_request, paused);
    control_client_close(&client);
}
END_TEST

/* What asks a slow leader again makes it slower; one that has fallen silent is left. */
START_TEST(a_leader_that_is_heard_is_not_asked_again_soon)
{
    struct control_client client;
    start_site(&client, 1);
    client.leaders[0] = REPLICA;
    sends = 0;
    control_client_submit(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 5000, &client);
    for (uint64_t now_ms = NOW_MS + 1; now_ms < NOW_MS + CONTROL_SLOW_MS; now_ms++) {
        control_client_note_heard(&client, now_ms, REPLICA);
        control_client_tick(&client, now_ms);
    }
    ck_assert_uint_eq(sends, 1);
    control_client_tick(&client, NOW_MS + CONTROL_SLOW_MS);
    ck_assert_uint_eq(sends, 2);
    for (uint64_t after_ms = 1; after_ms <= CONTROL_RESEND_MS; after_ms++) {
        control_client_tick(&client, NOW_MS + CONTROL_SLOW_MS + after_ms);
    }
    ck_assert_uint_eq(sends, 3);
    control_client_close(&client);
}
END_TEST

/* A gateway need not guess where its watch has told it the leader, nor wait for one that is silent. */
START_TEST(a_leader_told_by_others_is_asked)
{
    struct control_client client;
    start_site(&client, 1);
    control_client_hint_leader(&client, NOW_MS, 0, OTHER);
    control_client_submit(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 5000, &client);
    ck_assert_uint_eq(last_target, OTHER);
    control_client_note_heard(&client, NOW_MS + 1, OTHER);
    control_client_hint_leader(&client, NOW_MS + 2, 0, REPLICA);
    control_client_tick(&client, NOW_MS + 3);
    ck_assert_uint_eq(last_target, OTHER);
    control_client_hint_leader(&client, NOW_MS + 1 + CONTROL_RESEND_MS, 0, REPLICA);
    control_client_tick(&client, NOW_MS + 2 + CONTROL_RESEND_MS);
    ck_assert_uint_eq(last_target, REPLICA);
    control_client_close(&client);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("control client");
    TCase *tests = tcase_create("pure");
    tcase_add_test(tests, an_answer_to_an_earlier_start_is_ignored);
    tcase_add_test(tests, a_request_that_nobody_waits_for_pauses_longer);
    tcase_add_test(tests, a_paused_request_goes_on_once_a_leader_is_known);
    tcase_add_test(tests, a_leader_that_is_heard_is_not_asked_again_soon);
    tcase_add_test(tests, a_leader_told_by_others_is_asked);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
