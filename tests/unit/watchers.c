/* The list of servers on its way to hundreds of watchers: what is sent follows what changed. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "core/server_table.h"
#include "core/watch.h"
#include "suite.h"

enum {
    SERVERS = 3000,
    WATCHERS = 280,
    REPLICAS = 3,
    STEP_MS = 10,
    START_MS = 1000,
    SETTLE_MS = 9000,
    FRAME_BYTES = 64 /* what a frame without content takes, at most */
};

/* A site: replica 0 reads the platform's list, the others watch it, everyone else watches one of them. */
static struct watch_state replicas[REPLICAS];
static struct watch_server watched[REPLICAS];
static struct watch_state watchers[WATCHERS];
static struct watch_client clients[WATCHERS];
static uint64_t now_ms;
static uint64_t term;
static size_t sent_bytes;
static size_t step_most_bytes;
static uint32_t lost_of_100;
static uint64_t random_state;
static int watcher_count; /* those of the watchers that watch */

static uint32_t draw(uint32_t below)
{
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)((random_state >> 33) % below);
}

/* ---- The platform ------------------------------------------------------------------ */

typedef struct test_server_t {
    int incarnation;
    uint64_t born; /* 0: not told */
    bool draining;
    bool absent;
} test_server_t;

static test_server_t servers[SERVERS];

static void encode_servers(struct buffer *out)
{
    static ServerRecord records[SERVERS];
    static char ids[SERVERS][24];
    static char addresses[SERVERS][24];
    ServerList list = {.servers = records};
    for (int i = 0; i < SERVERS; i++) {
        if (servers[i].absent) {
            continue;
        }
        pb_size_t at = list.servers_count++;
        snprintf(ids[at], sizeof(ids[at]), "i-%08x-%d", (unsigned)i, servers[i].incarnation);
        snprintf(addresses[at], sizeof(addresses[at]), "10.1.%d.%d:8080", i / 200, i % 200);
        records[at] = (ServerRecord){.id = ids[at],
                                     .service = (char *)(uintptr_t) "engine",
                                     .address = addresses[at],
                                     .zone = (char *)(uintptr_t) "zone-1",
                                     .version = (char *)(uintptr_t) "v1",
                                     .slots = 8,
                                     .draining = servers[i].draining,
                                     .born = servers[i].born};
    }
    message_encode(out, ServerList_fields, &list);
}

/* The leader reads the list. */
static void read_servers(int leader)
{
    struct buffer encoded = {0};
    uint64_t number = replicas[leader].servers_term == term ? replicas[leader].servers_number + 1 : 1;
    encode_servers(&encoded);
    ck_assert(watch_state_put_servers(&replicas[leader], term, number, buffer_view(&encoded)));
    buffer_close(&encoded);
}

/* ---- Frames -------------------------------------------------------------------------- */

static void deliver(struct watch_client *client, struct watch_state *state, uint32_t from, const WatchUpdate *update)
{
    Frame frame = {.which_payload = Frame_watch_update_tag, .payload.watch_update = *update};
    struct buffer encoded = {0};
    ck_assert(message_encode(&encoded, Frame_fields, &frame));
    sent_bytes += encoded.length;
    if (draw(100) >= lost_of_100) {
        Frame received = {0};
        ck_assert(message_decode(buffer_view(&encoded), Frame_fields, &received));
        uint64_t before_term = state->servers_term;
        uint64_t before_number = state->servers_number;
        watch_client_receive(client, now_ms, from, &received.payload.watch_update, state);
        bool older = state->servers_term < before_term ||
                     (state->servers_term == before_term && state->servers_number < before_number);
        ck_assert(!older);
        message_free(Frame_fields, &received);
    }
    buffer_close(&encoded);
}

static void tell(int replica, struct watch_entry *entry, uint64_t sequence)
{
    static watch_told_t told;
    uint32_t watcher = entry->node - 1;
    memset(&told, 0, sizeof(told));
    told.update.sequence = sequence;
    told.update.fresh = true;
    watch_server_tell(&watched[replica], entry, now_ms, &replicas[replica], &told);
    deliver(&clients[watcher], &watchers[watcher], (uint32_t)replica + 1, &told.update);
    watch_told_close(&told);
}

/* Watchers 0 to REPLICAS - 1 stand for the replicas' own watches of the leader. */
static void follow_leader(int leader)
{
    for (int i = 0; i < REPLICAS; i++) {
        if (i == leader) {
            continue;
        }
        struct watch_state *state = &replicas[i];
        server_list_changes_t changes;
        bool older = state->servers_term < replicas[leader].servers_term ||
                     state->servers_number < replicas[leader].servers_number;
        if (!older) {
            continue;
        }
        WatchUpdate update = {.servers_told = true,
                              .servers_term = replicas[leader].servers_term,
                              .servers_number = replicas[leader].servers_number,
                              .servers_digest = replicas[leader].servers.digest};
        if (server_list_changes_to(&replicas[leader].servers, state->servers.digest, &changes)) {
            update.servers_base = state->servers.digest;
            update.servers = buffer_view(&changes.records);
            update.servers_gone = changes.gone;
            update.servers_gone_count = (pb_size_t)changes.gone_count;
        } else {
            update.servers = server_list_whole(&replicas[leader].servers);
        }
        struct watch_client client = {0};
        watch_client_receive(&client, now_ms, 1, &update, state);
        server_list_changes_close(&changes);
    }
}

static void step(void)
{
    size_t before = sent_bytes;
    for (int i = 0; i < watcher_count; i++) {
        Watch watch;
        if (!watch_client_tick(&clients[i], now_ms, &watchers[i], &watch)) {
            continue;
        }
        int replica = (int)clients[i].target - 1;
        struct watch_entry *entry = watch_server_note(&watched[replica], now_ms, (uint32_t)i + 1, &watch);
        ck_assert_ptr_ne(entry, NULL);
        tell(replica, entry, watch.sequence);
    }
    for (int r = 0; r < REPLICAS; r++) {
        for (uint32_t i = 0; i < watched[r].count; i++) {
            struct watch_entry *entry = &watched[r].entries[i];
            if (watch_server_owes(&watched[r], entry, now_ms, &replicas[r], true)) {
                tell(r, entry, 0);
            }
        }
    }
    size_t bytes = sent_bytes - before;
    step_most_bytes = bytes > step_most_bytes ? bytes : step_most_bytes;
    now_ms += STEP_MS;
}

static size_t run_for(uint64_t ms)
{
    size_t before = sent_bytes;
    step_most_bytes = 0;
    for (uint64_t end_ms = now_ms + ms; now_ms < end_ms;) {
        step();
    }
    return sent_bytes - before;
}

static void check_all_have(int leader)
{
    for (int i = 0; i < watcher_count; i++) {
        ck_assert_uint_eq(watchers[i].servers.digest, replicas[leader].servers.digest);
        ck_assert_uint_eq(HASH_COUNT(watchers[i].servers.entries), HASH_COUNT(replicas[leader].servers.entries));
        ck_assert_uint_eq(watchers[i].servers_term, replicas[leader].servers_term);
        ck_assert_uint_eq(watchers[i].servers_number, replicas[leader].servers_number);
    }
}

/* What a quiet site sends in that time: watches that are answered. */
static size_t quiet_bytes(uint64_t ms)
{
    return WATCHERS * (ms / WATCH_PERIOD_MS + 1) * FRAME_BYTES;
}

static void setup(void)
{
    memset(servers, 0, sizeof(servers));
    memset(replicas, 0, sizeof(replicas));
    memset(watched, 0, sizeof(watched));
    memset(watchers, 0, sizeof(watchers));
    memset(clients, 0, sizeof(clients));
    now_ms = START_MS;
    term = 1;
    sent_bytes = 0;
    lost_of_100 = 0;
    random_state = 1;
    watcher_count = WATCHERS;
    for (int i = 0; i < WATCHERS; i++) {
        struct watch_candidate candidates[REPLICAS];
        for (uint32_t r = 0; r < REPLICAS; r++) {
            candidates[r] = (struct watch_candidate){r + 1, r == (uint32_t)i % REPLICAS};
        }
        watch_client_set_candidates(&clients[i], candidates, REPLICAS);
    }
}

static void teardown(void)
{
    for (int r = 0; r < REPLICAS; r++) {
        watch_state_close(&replicas[r]);
    }
    for (int i = 0; i < WATCHERS; i++) {
        watch_state_close(&watchers[i]);
    }
}

/* All have the list at the end of a start. */
static void start(void)
{
    read_servers(0);
    follow_leader(0);
    run_for(SETTLE_MS);
    check_all_have(0);
}

START_TEST(a_start_is_paced_and_tells_each_list_once)
{
    struct buffer encoded = {0};
    encode_servers(&encoded);
    size_t whole = encoded.length;
    buffer_close(&encoded);
    read_servers(0);
    follow_leader(0);
    size_t bytes = run_for(SETTLE_MS);
    check_all_have(0);
    ck_assert_uint_le(bytes, WATCHERS * (whole + FRAME_BYTES) + quiet_bytes(SETTLE_MS));
    uint64_t wholes = 0;
    for (int r = 0; r < REPLICAS; r++) {
        wholes += watched[r].wholes;
    }
    ck_assert_uint_eq(wholes, WATCHERS);
    /* Of one replica at once: what its rate allows, and the list that crosses the bound. */
    size_t most = (size_t)WATCH_WHOLE_BYTES_A_S * (WATCH_WHOLE_BURST_MS + STEP_MS) / 1000 + 2 * whole;
    ck_assert_uint_le(step_most_bytes, REPLICAS * most + WATCHERS * FRAME_BYTES);
}
END_TEST

START_TEST(one_changed_server_costs_each_watcher_one_record)
{
    start();
    servers[17].draining = true;
    read_servers(0);
    follow_leader(0);
    size_t bytes = run_for(WATCH_PERIOD_MS);
    check_all_have(0);
    ck_assert_uint_le(bytes, WATCHERS * 3 * FRAME_BYTES + quiet_bytes(WATCH_PERIOD_MS));
}
END_TEST

START_TEST(a_tenth_that_is_replaced_costs_a_tenth)
{
    start();
    for (int i = 0; i < SERVERS / 10; i++) {
        servers[i].incarnation++;
    }
    read_servers(0);
    follow_leader(0);
    size_t bytes = run_for(WATCH_PERIOD_MS);
    check_all_have(0);
    /* A new record, and the id that it takes the place of. */
    ck_assert_uint_le(bytes, (size_t)WATCHERS * SERVERS / 10 * 2 * FRAME_BYTES + quiet_bytes(WATCH_PERIOD_MS));
}
END_TEST

/* Changes of half the list are paced as whole lists are: what goes out at once does not grow with the watchers. */
START_TEST(a_large_change_is_paced_whoever_watches)
{
    static const int counts[] = {WATCHERS / 2, WATCHERS};
    size_t whole;
    watcher_count = counts[_i];
    start();
    for (int i = 0; i < SERVERS / 2; i++) {
        servers[i].incarnation++;
    }
    read_servers(0);
    follow_leader(0);
    whole = server_list_whole(&replicas[0].servers).length;
    run_for(SETTLE_MS);
    check_all_have(0);
    size_t most = (size_t)WATCH_WHOLE_BYTES_A_S * (WATCH_WHOLE_BURST_MS + STEP_MS) / 1000 + 2 * whole;
    ck_assert_uint_le(step_most_bytes, REPLICAS * most + (size_t)watcher_count * FRAME_BYTES);
}
END_TEST

/* A watcher that lacks the whole list has its answer before it, and bears a longer silence while it is on its way. */
START_TEST(an_answer_does_not_wait_behind_a_list)
{
    Watch watch;
    watch_told_t told = {.answers = true};
    read_servers(0);
    ck_assert(watch_client_tick(&clients[0], now_ms, &watchers[0], &watch));
    struct watch_entry *entry = watch_server_note(&watched[0], now_ms, 1, &watch);
    told.update.sequence = watch.sequence;
    told.update.fresh = true;
    watch_server_tell(&watched[0], entry, now_ms, &replicas[0], &told);
    ck_assert_uint_eq(told.update.servers.length, 0);
    ck_assert(watch_server_owes(&watched[0], entry, now_ms, &replicas[0], true));
    watch_client_receive(&clients[0], now_ms, clients[0].target, &told.update, &watchers[0]);
    uint32_t target = clients[0].target;
    now_ms += WATCH_PERIOD_MS;
    ck_assert(watch_client_tick(&clients[0], now_ms, &watchers[0], &watch));
    watch_client_tick(&clients[0], now_ms + WATCH_LIST_ANSWER_MS - 1, &watchers[0], &watch);
    ck_assert_uint_eq(clients[0].target, target);
    watch_client_tick(&clients[0], now_ms + WATCH_LIST_ANSWER_MS, &watchers[0], &watch);
    ck_assert_uint_ne(clients[0].target, target);
    watch_told_close(&told);
}
END_TEST

START_TEST(a_new_leader_with_the_same_list_tells_nothing_anew)
{
    start();
    term = 2;
    read_servers(1);
    follow_leader(1);
    size_t bytes = run_for(WATCH_PERIOD_MS);
    check_all_have(1);
    ck_assert_uint_le(bytes, 2 * quiet_bytes(WATCH_PERIOD_MS));
    for (int r = 0; r < REPLICAS; r++) {
        ck_assert_uint_le(watched[r].wholes, WATCHERS / REPLICAS + 1);
    }
}
END_TEST

START_TEST(a_watcher_that_follows_another_replica_is_told_changes)
{
    static const struct watch_candidate third[] = {{3, true}};
    start();
    servers[5].absent = true;
    servers[6].incarnation++;
    read_servers(0);
    follow_leader(0);
    uint64_t wholes = watched[2].wholes;
    for (int i = 0; i < WATCHERS; i++) {
        watch_client_set_candidates(&clients[i], third, 1);
    }
    run_for(2 * WATCH_PERIOD_MS);
    check_all_have(0);
    ck_assert_uint_eq(watched[2].wholes, wholes);
}
END_TEST

/* Lost frames, changes at every moment, leaders that come and go, watchers that turn to other replicas. */
START_TEST(whatever_is_lost_all_have_the_list_in_the_end)
{
    int leader = 0;
    random_state = (uint64_t)_i + 1;
    lost_of_100 = 30;
    for (int round = 0; round < 60; round++) {
        for (uint32_t k = draw(20); k > 0; k--) {
            test_server_t *server = &servers[draw(SERVERS)];
            server->incarnation += (int)draw(2);
            server->draining = draw(2) == 0;
            server->absent = draw(5) == 0;
        }
        if (draw(6) == 0) {
            term++;
            leader = (int)draw(REPLICAS);
        }
        read_servers(leader);
        if (draw(3) != 0) {
            follow_leader(leader);
        }
        run_for(draw(30) * STEP_MS);
    }
    lost_of_100 = 0;
    read_servers(leader);
    follow_leader(leader);
    run_for(SETTLE_MS);
    check_all_have(leader);
}
END_TEST

/* ---- Lives ---------------------------------------------------------------------------------- */

/* A gateway's table follows its list as the gateway does. */
static void follow_list(struct server_table *table, struct watch_state *state, uint64_t *change)
{
    server_list_changes_t changes;
    ServerList list = {0};
    if (server_list_changes_since(&state->servers, *change, &changes)) {
        ck_assert(message_decode(buffer_view(&changes.records), ServerList_fields, &list));
        server_table_change(table, changes.gone, changes.gone_count, &list);
    } else {
        ck_assert(message_decode(server_list_whole(&state->servers), ServerList_fields, &list));
        server_table_update(table, &list);
    }
    message_free(ServerList_fields, &list);
    server_list_changes_close(&changes);
    *change = state->servers.change;
}

/* Each server on the list is the life that the list tells, and no other one is listed. */
static void check_lives(const struct server_table *table, const struct watch_state *state)
{
    for (const server_list_entry_t *entry = state->servers.entries; entry != NULL; entry = entry->hh.next) {
        ServerRecord record = {0};
        struct server *server = NULL;
        ck_assert(message_decode(view_of(entry->record, entry->length), ServerRecord_fields, &record));
        HASH_FIND_STR(table->servers, entry->id, server);
        ck_assert_ptr_ne(server, NULL);
        ck_assert(server->listed);
        ck_assert(server->born == record.born);
        ck_assert(!record.draining || server->draining);
        message_free(ServerRecord_fields, &record);
    }
    ck_assert_uint_eq(HASH_COUNT(table->servers), HASH_COUNT(state->servers.entries));
}

START_TEST(whatever_is_lost_a_gateway_and_the_leader_believe_one_life)
{
    struct server_table table = {0};
    uint64_t change = 0;
    uint64_t births = 0;
    int leader = 0;
    random_state = (uint64_t)_i + 100;
    lost_of_100 = 30;
    for (int round = 0; round < 60; round++) {
        for (uint32_t k = draw(20); k > 0; k--) {
            test_server_t *server = &servers[draw(SERVERS / 10)];
            /* Each start is told once, and may lie before the last one. */
            server->born = draw(2) == 0 ? draw(1000000) * 10000ULL + ++births : server->born;
            server->draining = draw(4) == 0;
            server->absent = draw(5) == 0;
        }
        if (draw(6) == 0) {
            term++;
            leader = (int)draw(REPLICAS);
        }
        read_servers(leader);
        follow_leader(leader);
        run_for(draw(30) * STEP_MS);
        if (watchers[9].servers.change != change) {
            follow_list(&table, &watchers[9], &change);
            check_lives(&table, &watchers[9]);
        }
    }
    lost_of_100 = 0;
    read_servers(leader);
    follow_leader(leader);
    run_for(SETTLE_MS);
    check_all_have(leader);
    follow_list(&table, &watchers[9], &change);
    check_lives(&table, &replicas[leader]);
    server_table_close(&table);
}
END_TEST

/* An id that left the list and is told again before it was looked at is the life that is told last. */
START_TEST(a_life_that_takes_the_place_of_one_that_left_is_told)
{
    struct server_table table = {0};
    uint64_t change = 0;
    servers[3].born = 2000;
    start();
    follow_list(&table, &watchers[9], &change);
    servers[3].absent = true;
    read_servers(0);
    follow_leader(0);
    run_for(2 * WATCH_PERIOD_MS);
    servers[3].absent = false;
    servers[3].born = 1000;
    read_servers(0);
    follow_leader(0);
    run_for(2 * WATCH_PERIOD_MS);
    follow_list(&table, &watchers[9], &change);
    check_lives(&table, &replicas[0]);
    server_table_close(&table);
}
END_TEST

/* More servers leave than are remembered: who has an old list gets it whole, and nobody keeps one that left. */
START_TEST(a_list_that_is_too_old_is_told_whole)
{
    static const struct watch_candidate nobody[1];
    static const struct watch_candidate first[] = {{1, true}};
    start();
    watch_client_set_candidates(&clients[7], nobody, 0);
    for (int i = 0; i < SERVERS; i++) {
        servers[i].incarnation++;
    }
    read_servers(0);
    follow_leader(0);
    run_for(SETTLE_MS);
    watch_client_set_candidates(&clients[7], first, 1);
    run_for(2 * WATCH_PERIOD_MS + WATCH_WHOLE_AGAIN_MS);
    check_all_have(0);
}
END_TEST

START_TEST(a_list_of_an_earlier_version_is_taken_whole)
{
    struct buffer encoded = {0};
    WatchUpdate update = {.servers_term = 1, .servers_number = 1};
    encode_servers(&encoded);
    update.servers = buffer_view(&encoded);
    ck_assert(watch_client_receive(&clients[0], now_ms, 1, &update, &watchers[0]).servers);
    ck_assert_uint_eq(HASH_COUNT(watchers[0].servers.entries), SERVERS);
    update.servers_number = 2;
    update.servers = view_of_string("not a list");
    ck_assert(!watch_client_receive(&clients[0], now_ms, 1, &update, &watchers[0]).servers);
    ck_assert_uint_eq(HASH_COUNT(watchers[0].servers.entries), SERVERS);
    buffer_close(&encoded);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("watchers");
    TCase *tests = tcase_create("servers");
    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, a_start_is_paced_and_tells_each_list_once);
    tcase_add_test(tests, one_changed_server_costs_each_watcher_one_record);
    tcase_add_test(tests, a_tenth_that_is_replaced_costs_a_tenth);
    tcase_add_loop_test(tests, a_large_change_is_paced_whoever_watches, 0, 2);
    tcase_add_test(tests, an_answer_does_not_wait_behind_a_list);
    tcase_add_test(tests, a_new_leader_with_the_same_list_tells_nothing_anew);
    tcase_add_test(tests, a_watcher_that_follows_another_replica_is_told_changes);
    tcase_add_loop_test(tests, whatever_is_lost_all_have_the_list_in_the_end, 0, 4);
    tcase_add_loop_test(tests, whatever_is_lost_a_gateway_and_the_leader_believe_one_life, 0, 4);
    tcase_add_test(tests, a_life_that_takes_the_place_of_one_that_left_is_told);
    tcase_add_test(tests, a_list_that_is_too_old_is_told_whole);
    tcase_add_test(tests, a_list_of_an_earlier_version_is_taken_whole);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
