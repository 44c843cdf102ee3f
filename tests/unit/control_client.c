/* Tests the control client without a network: resends, leader changes and late replies. */
#include <string.h>

#include "base/message.h"
#include "core/control_client.h"
#include "suite.h"

enum { REPLICA = 1, OTHER_REPLICA = 2, NODE = 7, NOW_MS = 1000 };

static uint64_t last_request_id;
static uint32_t send_count;
static uint32_t last_target;
static uint32_t completed_count;

static bool record_send(void *context, uint32_t to, struct view bytes)
{
    Frame frame = {0};
    (void)context;
    last_target = to;
    if (message_decode(bytes, Frame_fields, &frame) && frame.which_payload == Frame_request_tag) {
        last_request_id = frame.payload.request.id;
        send_count++;
    }
    message_free(Frame_fields, &frame);
    return true;
}

static void record_completion(void *context, void *token, ResultCode code, struct view body)
{
    (void)context;
    (void)token;
    (void)code;
    (void)body;
    completed_count++;
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
    struct control_client_io io = {NULL, record_send, record_completion, ignore_config};
    control_client_init(client, &config, &io);
}

/* Starts a client that sends requests but no heartbeats. */
static void start_requests_only(struct control_client *client, uint64_t boot_id)
{
    start(client, boot_id);
    client->config.requests_only = true;
}

/* Otherwise a restarted gateway could run a call whose begin is not committed. */
START_TEST(reply_to_previous_process_is_ignored)
{
    struct control_client client;
    start(&client, 1);
    control_client_submit(&client, NOW_MS, 0, REQUEST_CONFIG, view_of_string("q"), NOW_MS + 5000, &client);
    uint64_t earlier_id = last_request_id;
    control_client_close(&client);
    completed_count = 0;
    start(&client, 2);
    control_client_submit(&client, NOW_MS, 0, REQUEST_CONFIG, view_of_string("q"), NOW_MS + 5000, &client);
    Frame frame = {0};
    frame.which_payload = Frame_reply_tag;
    frame.payload.reply.id = earlier_id;
    frame.payload.reply.code = RESULT_OK;
    control_client_receive(&client, NOW_MS + 1, REPLICA, &frame);
    ck_assert_uint_eq(completed_count, 0);
    frame.payload.reply.id = last_request_id;
    control_client_receive(&client, NOW_MS + 2, REPLICA, &frame);
    ck_assert_uint_eq(completed_count, 1);
    control_client_close(&client);
}
END_TEST

static void reply_not_leader(struct control_client *client, uint64_t now_ms, uint64_t request)
{
    Frame frame = {0};
    frame.which_payload = Frame_reply_tag;
    frame.payload.reply.id = request;
    frame.payload.reply.code = RESULT_NOT_LEADER;
    control_client_receive(client, now_ms, REPLICA, &frame);
}

/* Counts the sends while no replica is the leader. */
static uint32_t count_sends_in_one_second(struct control_client *client)
{
    send_count = 0;
    for (uint64_t now_ms = NOW_MS; now_ms < NOW_MS + 1000; now_ms++) {
        uint32_t before = send_count;
        control_client_tick(client, now_ms);
        if (send_count > before) {
            reply_not_leader(client, now_ms, last_request_id);
        }
    }
    return send_count;
}

START_TEST(background_request_retries_less_often)
{
    struct control_client client;
    start_requests_only(&client, 1);
    control_client_submit_background(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 60000, &client);
    reply_not_leader(&client, NOW_MS, last_request_id);
    ck_assert_uint_le(count_sends_in_one_second(&client), 4);
    control_client_close(&client);
    start_requests_only(&client, 2);
    control_client_submit(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 60000, &client);
    reply_not_leader(&client, NOW_MS, last_request_id);
    ck_assert_uint_ge(count_sends_in_one_second(&client), 40);
    control_client_close(&client);
}
END_TEST

/* A request that waits for its retry is sent as soon as a leader is known: until a turn is settled, the program's next
 * turn may be refused. */
START_TEST(waiting_request_is_sent_when_leader_is_known)
{
    struct control_client client;
    start_requests_only(&client, 1);
    control_client_submit_background(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 60000, &client);
    uint64_t waiting_id = last_request_id;
    reply_not_leader(&client, NOW_MS, waiting_id);
    control_client_submit(&client, NOW_MS + 10, 0, REQUEST_PROPOSE, view_of_string("r"), NOW_MS + 5000, &client);
    Frame frame = {0};
    frame.which_payload = Frame_reply_tag;
    frame.payload.reply.id = last_request_id;
    frame.payload.reply.code = RESULT_OK;
    frame.payload.reply.leader = OTHER_REPLICA;
    control_client_receive(&client, NOW_MS + 11, REPLICA, &frame);
    control_client_tick(&client, NOW_MS + 12);
    ck_assert_uint_eq(last_request_id, waiting_id);
    control_client_close(&client);
}
END_TEST

/* Requests to a slow leader are resent late, as resends add to its load; those to a silent leader after the usual
 * CONTROL_RESEND_MS. */
START_TEST(request_to_slow_leader_is_resent_late)
{
    struct control_client client;
    start_requests_only(&client, 1);
    client.leaders[0] = REPLICA;
    send_count = 0;
    control_client_submit(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 5000, &client);
    for (uint64_t now_ms = NOW_MS + 1; now_ms < NOW_MS + CONTROL_SLOW_LEADER_RESEND_MS; now_ms++) {
        control_client_record_received(&client, now_ms, REPLICA);
        control_client_tick(&client, now_ms);
    }
    ck_assert_uint_eq(send_count, 1);
    control_client_tick(&client, NOW_MS + CONTROL_SLOW_LEADER_RESEND_MS);
    ck_assert_uint_eq(send_count, 2);
    for (uint64_t after_ms = 1; after_ms <= CONTROL_RESEND_MS; after_ms++) {
        control_client_tick(&client, NOW_MS + CONTROL_SLOW_LEADER_RESEND_MS + after_ms);
    }
    ck_assert_uint_eq(send_count, 3);
    control_client_close(&client);
}
END_TEST

/* A hint is used while no leader is known and when the presumed leader is silent, but not against a live leader. */
START_TEST(hinted_leader_receives_requests)
{
    struct control_client client;
    start_requests_only(&client, 1);
    control_client_hint_leader(&client, NOW_MS, 0, OTHER_REPLICA);
    control_client_submit(&client, NOW_MS, 0, REQUEST_PROPOSE, view_of_string("q"), NOW_MS + 5000, &client);
    ck_assert_uint_eq(last_target, OTHER_REPLICA);
    control_client_record_received(&client, NOW_MS + 1, OTHER_REPLICA);
    control_client_hint_leader(&client, NOW_MS + 2, 0, REPLICA);
    control_client_tick(&client, NOW_MS + 3);
    ck_assert_uint_eq(last_target, OTHER_REPLICA);
    control_client_hint_leader(&client, NOW_MS + 1 + CONTROL_RESEND_MS, 0, REPLICA);
    control_client_tick(&client, NOW_MS + 2 + CONTROL_RESEND_MS);
    ck_assert_uint_eq(last_target, REPLICA);
    control_client_close(&client);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("control client");
    TCase *tests = tcase_create("requests");
    tcase_add_test(tests, reply_to_previous_process_is_ignored);
    tcase_add_test(tests, background_request_retries_less_often);
    tcase_add_test(tests, waiting_request_is_sent_when_leader_is_known);
    tcase_add_test(tests, request_to_slow_leader_is_resent_late);
    tcase_add_test(tests, hinted_leader_receives_requests);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
