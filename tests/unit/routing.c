/* Routes, servers and watches. */
#include <string.h>

#include "base/buffer.h"
#include "base/message.h"
#include "core/route_table.h"
#include "core/server_table.h"
#include "core/watch.h"
#include "suite.h"

static struct route_table *table;

static struct route *add_route(const char *host, const char *prefix, const char *service)
{
    struct route *route = route_table_add_route(table);
    route->name = text_copy(prefix);
    route->host = text_copy(host);
    route->prefix = text_copy(prefix);
    route->timeout_ms = 1000;
    struct route_backend *backend = route_add_backend(route);
    backend->service = text_copy(service);
    backend->weight = 1;
    return route;
}

static void setup(void)
{
    table = route_table_new();
    table->version = 1;
    route_table_add_service(table)->name = text_copy("s1");
    route_table_add_service(table)->name = text_copy("s2");
}

static void teardown(void)
{
    route_table_release(table);
}

static size_t count_errors(void)
{
    struct findings findings = {0};
    route_table_check(table, &findings);
    size_t count = findings.count;
    findings_close(&findings);
    return count;
}

static const char *found(const char *host, const char *target)
{
    const struct route *route = route_table_find(table, view_of_string(host), view_of_string(target));
    return route == NULL ? "none" : route->prefix;
}

START_TEST(the_longest_prefix_of_the_host_wins)
{
    add_route("a.example", "/", "s1");
    add_route("a.example", "/x/", "s1");
    add_route("a.example", "/x/y/", "s1");
    ck_assert_uint_eq(count_errors(), 0);
    ck_assert_str_eq(found("a.example", "/x/y/z?q=/"), "/x/y/");
    ck_assert_str_eq(found("A.Example:80", "/x/yz"), "/x/");
    ck_assert_str_eq(found("a.example", "/x"), "/");
    ck_assert_str_eq(found("b.example", "/x/"), "none");
}
END_TEST

START_TEST(all_errors_are_reported)
{
    add_route("a.example", "/x/", "s1");
    add_route("A.EXAMPLE", "/x/", "none")->timeout_ms = 0;
    add_route("a.example", "no-slash", "s1")->backends[0].weight = 0;
    table->version = 0;
    ck_assert_uint_eq(count_errors(), 6);
}
END_TEST

static bool is_not_excluded(void *context, const char *service)
{
    (void)service;
    return context == NULL || strcmp(service, context) != 0;
}

START_TEST(backends_are_chosen_exactly_by_weight)
{
    struct route *route = add_route("a.example", "/", "s1");
    struct route_backend *backend = route_add_backend(route);
    backend->service = text_copy("s2");
    backend->weight = 1;
    route->backends[0].weight = 9;
    int first = 0;
    for (int i = 0; i < 100; i++) {
        first += strcmp(route_choose_backend(route, is_not_excluded, NULL)->service, "s1") == 0 ? 1 : 0;
    }
    ck_assert_int_eq(first, 90);
    ck_assert_str_eq(route_choose_backend(route, is_not_excluded, (void *)"s1")->service, "s2");
}
END_TEST

START_TEST(a_retained_table_outlives_its_replacement)
{
    struct route_table *retained = route_table_retain(table);
    route_table_release(table);
    table = retained;
    ck_assert_uint_eq(table->version, 1);
}
END_TEST

/* ---- Servers ------------------------------------------------------------------- */

static struct server_table servers;

static void set_servers(ServerRecord *records, pb_size_t count)
{
    ServerList list = {.servers_count = count, .servers = records};
    server_table_update(&servers, &list);
}

static void servers_setup(void)
{
    memset(&servers, 0, sizeof(servers));
}

static void servers_teardown(void)
{
    server_table_close(&servers);
}

static ServerRecord record(const char *id, bool draining)
{
    ServerRecord item = {.id = (char *)id, .service = (char *)"s", .address = (char *)"127.0.0.1:1", .slots = 6};
    item.zone = (char *)"z";
    item.draining = draining;
    return item;
}

START_TEST(a_draining_server_never_gets_requests_again)
{
    ServerRecord first[] = {record("a", false), record("b", true)};
    ServerRecord second[] = {record("a", true), record("b", false)};
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    set_servers(first, 2);
    ck_assert_str_eq(server_table_choose(&servers, 1, &criteria)->id, "a");
    set_servers(second, 2);
    ck_assert_ptr_null(server_table_choose(&servers, 1, &criteria));
    ck_assert(!server_table_has_available(&servers, 1, "s", &(struct server_criteria){0}));
}
END_TEST

START_TEST(requests_spread_over_idle_servers)
{
    ServerRecord list[] = {record("a", false), record("b", false), record("c", false)};
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    set_servers(list, 3);
    for (int i = 0; i < 6; i++) {
        server_begin_request(server_table_choose(&servers, 1, &criteria), 1);
    }
    for (const struct server *server = servers.servers; server != NULL; server = server->hh.next) {
        ck_assert_uint_eq(server->in_flight, 2);
    }
}
END_TEST

START_TEST(an_affinity_key_goes_to_one_server_until_it_is_busy)
{
    ServerRecord list[] = {record("a", false), record("b", false), record("c", false)};
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    int first[3] = {0};
    set_servers(list, 3);
    for (uint64_t key = 1; key <= 60; key++) {
        criteria.affinity_key = key * 0x9e3779b97f4a7c15ULL;
        struct server *server = server_table_choose(&servers, 1, &criteria);
        ck_assert_ptr_eq(server_table_choose(&servers, 1, &criteria), server);
        first[server->id[0] - 'a']++;
    }
    ck_assert(first[0] > 9 && first[1] > 9 && first[2] > 9);
    struct server *preferred = server_table_choose(&servers, 1, &criteria);
    for (int i = 0; i < SERVER_AFFINITY_MISS_REQUESTS; i++) {
        ck_assert_ptr_eq(server_table_choose(&servers, 1, &criteria), preferred);
        server_begin_request(preferred, 1);
    }
    server_begin_request(preferred, 1);
    ck_assert_ptr_ne(server_table_choose(&servers, 1, &criteria), preferred);
    criteria.affinity_key = 0;
    ck_assert_ptr_ne(server_table_choose(&servers, 1, &criteria), preferred);
}
END_TEST

START_TEST(a_program_stays_at_its_home_until_it_is_busy)
{
    ServerRecord list[] = {record("a", false), record("b", false), record("c", false)};
    struct server_criteria criteria = {.service = "s", .zone = "z", .home = "b"};
    set_servers(list, 3);
    struct server *home = server_table_choose(&servers, 1, &criteria);
    ck_assert_str_eq(home->id, "b");
    for (int i = 0; i < 6 + SERVER_HOME_MAX_QUEUE; i++) {
        ck_assert_ptr_eq(server_table_choose(&servers, 1, &criteria), home);
        server_begin_request(home, 1);
    }
    ck_assert_ptr_ne(server_table_choose(&servers, 1, &criteria), home);
    /* It stays if all servers are equally busy. */
    for (int i = 0; i < 2 * (6 + SERVER_HOME_MAX_QUEUE - SERVER_LEAVE_MARGIN_REQUESTS + 1); i++) {
        criteria.home = NULL;
        server_begin_request(server_table_choose(&servers, 1, &criteria), 1);
    }
    criteria.home = "b";
    ck_assert_ptr_eq(server_table_choose(&servers, 1, &criteria), home);
    criteria.tried[criteria.tried_count++] = home;
    ck_assert_ptr_ne(server_table_choose(&servers, 1, &criteria), home);
}
END_TEST

static bool has_idle_connection_to_first(void *context, const char *address)
{
    (void)context;
    return strcmp(address, "127.0.0.1:1") == 0;
}

/* `preferred` is chosen while it has one request in flight and the other none, but not with three. */
static void expect_choices_by_load(const char *preferred, const char *other, const struct server_criteria *criteria)
{
    struct server *server = NULL;
    HASH_FIND_STR(servers.servers, preferred, server);
    server_begin_request(server, 1);
    ck_assert_str_eq(server_table_choose(&servers, 1, criteria)->id, preferred);
    server_begin_request(server, 1);
    server_begin_request(server, 1);
    ck_assert_str_eq(server_table_choose(&servers, 1, criteria)->id, other);
}

START_TEST(an_idle_connection_is_worth_some_requests)
{
    ServerRecord list[] = {record("a", false), record("b", false)};
    struct server_criteria criteria = {
        .service = "s", .zone = "z", .has_idle_connection = has_idle_connection_to_first};
    list[1].address = (char *)"127.0.0.1:2";
    set_servers(list, 2);
    expect_choices_by_load("a", "b", &criteria);
}
END_TEST

START_TEST(the_local_zone_is_worth_some_requests)
{
    ServerRecord list[] = {record("near", false), record("far", false)};
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    list[1].zone = (char *)"other";
    set_servers(list, 2);
    expect_choices_by_load("near", "far", &criteria);
}
END_TEST

START_TEST(loads_of_other_gateways_count_until_they_expire)
{
    ServerRecord list[] = {record("a", false), record("b", false)};
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    set_servers(list, 2);
    struct server *first = server_table_choose(&servers, 1, &criteria);
    ServerLoad load = {.server = first->hash, .calls = 3};
    LoadTotals totals = {.loads_count = 1, .loads = &load};
    server_table_set_other_loads(&servers, 1000, &totals);
    for (int i = 0; i < 3; i++) {
        struct server *other = server_table_choose(&servers, 1001, &criteria);
        ck_assert_ptr_ne(other, first);
        server_begin_request(other, 1000);
    }
    server_table_set_other_loads(&servers, 1000, &(const LoadTotals){0});
    ck_assert_uint_eq(first->other_in_flight, 0);
    server_table_set_other_loads(&servers, 1000, &totals);
    server_begin_request(first, 1000);
    server_record_received(first, 1000 + SERVER_LOADS_VALID_MS);
    ck_assert_ptr_eq(server_table_choose(&servers, 1000 + SERVER_LOADS_VALID_MS, &criteria), first);
}
END_TEST

static void make_unreachable(struct server *server, uint64_t now_ms)
{
    for (int i = 0; i < REACH_UNREACHABLE_PROBES; i++) {
        reach_record_probe_start(&server->reach);
        reach_record_outcome(&server->reach, now_ms, false);
    }
}

START_TEST(an_unreachable_server_is_skipped)
{
    ServerRecord list[] = {record("a", false), record("b", false)};
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    set_servers(list, 2);
    struct server *unreachable = server_table_choose(&servers, 1000, &criteria);
    server_begin_request(unreachable, 1000);
    struct server *other = server_table_choose(&servers, 1000, &criteria);
    server_begin_request(other, 1000);
    server_begin_request(other, 1000);
    ck_assert_ptr_eq(server_table_choose(&servers, 1300, &criteria), unreachable);
    make_unreachable(unreachable, 1300);
    ck_assert_ptr_eq(server_table_choose(&servers, 1300, &criteria), other);
    server_record_received(unreachable, 1400);
    ck_assert_ptr_eq(server_table_choose(&servers, 1400, &criteria), unreachable);
}
END_TEST

START_TEST(if_none_is_reachable_an_unreachable_one_is_chosen)
{
    ServerRecord list[] = {record("a", false), record("b", true)};
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    set_servers(list, 2);
    struct server *server = server_table_choose(&servers, 1000, &criteria);
    make_unreachable(server, 1000);
    ck_assert_ptr_eq(server_table_choose(&servers, 1001, &criteria), server);
    server->full_until_ms = 1100;
    ck_assert_ptr_null(server_table_choose(&servers, 1001, &criteria));
}
END_TEST

START_TEST(an_unlisted_server_is_kept_until_its_requests_end)
{
    ServerRecord list[] = {record("a", false)};
    struct server_criteria criteria = {.service = "s", .zone = "z"};
    set_servers(list, 1);
    struct server *server = server_table_choose(&servers, 1, &criteria);
    server_begin_request(server, 1);
    set_servers(NULL, 0);
    ck_assert_ptr_null(server_table_choose(&servers, 1, &criteria));
    ck_assert_str_eq(server->id, "a");
    server_end_request(&servers, server);
    ck_assert_uint_eq(HASH_COUNT(servers.servers), 0);
}
END_TEST

/* ---- Watches ---------------------------------------------------------------------- */

static struct watch_state state;
static struct watch_client client;

static void watch_setup(void)
{
    static const struct watch_candidate candidates[] = {{1, false}, {2, true}, {3, false}};
    memset(&state, 0, sizeof(state));
    memset(&client, 0, sizeof(client));
    watch_client_set_candidates(&client, candidates, 3);
}

static void watch_teardown(void)
{
    watch_state_close(&state);
}

START_TEST(a_replica_in_the_local_zone_is_watched_first_and_left_when_silent)
{
    Watch watch;
    ck_assert(watch_client_tick(&client, 1000, &state, &watch));
    ck_assert_uint_eq(client.target, 2);
    ck_assert(!watch_client_tick(&client, 1000 + WATCH_REPLY_TIMEOUT_MS, &state, &watch));
    ck_assert(watch_client_tick(&client, 1000 + WATCH_REPLY_TIMEOUT_MS + WATCH_RETRY_MS, &state, &watch));
    ck_assert_uint_ne(client.target, 2);
}
END_TEST

START_TEST(a_watch_returns_to_the_local_zone)
{
    static const struct watch_candidate far[] = {{1, false}};
    static const struct watch_candidate both[] = {{1, false}, {2, true}};
    Watch watch;
    watch_client_set_candidates(&client, far, 1);
    ck_assert(watch_client_tick(&client, 1000, &state, &watch));
    ck_assert_uint_eq(client.target, 1);
    WatchUpdate update = {.sequence = watch.sequence, .fresh = true};
    watch_client_receive(&client, 1001, 1, &update, &state);
    watch_client_set_candidates(&client, both, 2);
    uint64_t later_ms = 1000 + WATCH_SAME_ZONE_RETRY_MS;
    ck_assert(watch_client_tick(&client, later_ms, &state, &watch));
    ck_assert_uint_eq(client.target, 2);
    ck_assert(watch_client_tick(&client, later_ms + WATCH_REPLY_TIMEOUT_MS + WATCH_RETRY_MS, &state, &watch) == false);
    ck_assert(watch_client_tick(&client, later_ms + 2 * WATCH_REPLY_TIMEOUT_MS + WATCH_RETRY_MS, &state, &watch));
}
END_TEST

START_TEST(a_stale_replica_is_left)
{
    Watch watch;
    watch_client_tick(&client, 1000, &state, &watch);
    WatchUpdate update = {.sequence = watch.sequence, .fresh = true};
    watch_client_receive(&client, 1010, 2, &update, &state);
    ck_assert(watch_client_is_fresh(&client, 1010, 500));
    watch_client_tick(&client, 1500, &state, &watch);
    update.sequence = watch.sequence;
    update.fresh = false;
    watch_client_receive(&client, 1510, 2, &update, &state);
    ck_assert_uint_eq(client.target, RAFT_NO_NODE);
    ck_assert(!watch_client_is_fresh(&client, 1510, 500));
}
END_TEST

START_TEST(a_watcher_ignores_older_versions)
{
    WatchUpdate update = {.fresh = true, .document_version = 5, .document = view_of_string("five")};
    ck_assert(watch_client_receive(&client, 1, 1, &update, &state).document);
    update.document_version = 4;
    update.document = view_of_string("four");
    ck_assert(!watch_client_receive(&client, 1, 1, &update, &state).document);
    ck_assert_uint_eq(state.document_version, 5);
    ck_assert(watch_state_put_servers(&state, 2, 1, view_of(NULL, 0)));
    ck_assert(!watch_state_put_servers(&state, 1, 9, view_of(NULL, 0)));
    ck_assert(!watch_state_put_servers(&state, 2, 1, view_of(NULL, 0)));
    ck_assert(watch_state_put_servers(&state, 2, 2, view_of(NULL, 0)));
}
END_TEST

/* A replica without contact with a quorum sends no configuration, and none from it is accepted. */
START_TEST(a_configuration_comes_only_from_a_fresh_replica)
{
    static struct watch_server server;
    static watch_outgoing_t outgoing;
    Watch watch = {.sequence = 1};
    memset(&server, 0, sizeof(server));
    memset(&outgoing, 0, sizeof(outgoing));
    watch_state_put_document(&state, 3, view_of_string("three"));
    struct watch_entry *entry = watch_server_record_watch(&server, 1000, 42, &watch);
    ck_assert(!watch_server_has_update(&server, entry, 1000, &state, false));
    watch_server_fill_update(&server, entry, 1000, &state, &outgoing);
    ck_assert_uint_eq(outgoing.update.document.length, 0);
    ck_assert(watch_server_has_update(&server, entry, 1000, &state, true));
    watch_outgoing_close(&outgoing);
    WatchUpdate update = {.fresh = false, .document_version = 5, .document = view_of_string("five")};
    ck_assert(!watch_client_receive(&client, 1, 1, &update, &state).document);
    ck_assert_uint_eq(state.document_version, 3);
}
END_TEST

START_TEST(a_watcher_receives_each_version_once)
{
    static struct watch_server server;
    memset(&server, 0, sizeof(server));
    Watch watch = {.sequence = 1};
    static watch_outgoing_t outgoing;
    memset(&outgoing, 0, sizeof(outgoing));
    state.document_version = 3;
    buffer_append_text(&state.document, "three");
    struct watch_entry *entry = watch_server_record_watch(&server, 1000, 42, &watch);
    ck_assert(watch_server_has_update(&server, entry, 1000, &state, true));
    outgoing.update.fresh = true;
    watch_server_fill_update(&server, entry, 1000, &state, &outgoing);
    ck_assert_uint_eq(outgoing.update.document.length, 5);
    watch_outgoing_close(&outgoing);
    ck_assert(!watch_server_has_update(&server, entry, 1000, &state, true));
    state.document_version = 4;
    ck_assert(watch_server_has_update(&server, entry, 1000, &state, true));
    ck_assert(!watch_server_has_update(&server, entry, 1000 + WATCH_EXPIRY_MS, &state, true));
    ck_assert_uint_eq(watch_server_count(&server, 1000), 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("routing");
    TCase *routes = tcase_create("routes");
    tcase_add_checked_fixture(routes, setup, teardown);
    tcase_add_test(routes, the_longest_prefix_of_the_host_wins);
    tcase_add_test(routes, all_errors_are_reported);
    tcase_add_test(routes, backends_are_chosen_exactly_by_weight);
    tcase_add_test(routes, a_retained_table_outlives_its_replacement);
    suite_add_tcase(suite, routes);
    TCase *placement = tcase_create("servers");
    tcase_add_checked_fixture(placement, servers_setup, servers_teardown);
    tcase_add_test(placement, a_draining_server_never_gets_requests_again);
    tcase_add_test(placement, requests_spread_over_idle_servers);
    tcase_add_test(placement, an_affinity_key_goes_to_one_server_until_it_is_busy);
    tcase_add_test(placement, a_program_stays_at_its_home_until_it_is_busy);
    tcase_add_test(placement, an_idle_connection_is_worth_some_requests);
    tcase_add_test(placement, the_local_zone_is_worth_some_requests);
    tcase_add_test(placement, loads_of_other_gateways_count_until_they_expire);
    tcase_add_test(placement, an_unreachable_server_is_skipped);
    tcase_add_test(placement, if_none_is_reachable_an_unreachable_one_is_chosen);
    tcase_add_test(placement, an_unlisted_server_is_kept_until_its_requests_end);
    suite_add_tcase(suite, placement);
    TCase *watches = tcase_create("watches");
    tcase_add_checked_fixture(watches, watch_setup, watch_teardown);
    tcase_add_test(watches, a_replica_in_the_local_zone_is_watched_first_and_left_when_silent);
    tcase_add_test(watches, a_watch_returns_to_the_local_zone);
    tcase_add_test(watches, a_stale_replica_is_left);
    tcase_add_test(watches, a_watcher_ignores_older_versions);
    tcase_add_test(watches, a_watcher_receives_each_version_once);
    tcase_add_test(watches, a_configuration_comes_only_from_a_fresh_replica);
    suite_add_tcase(suite, watches);
    return suite_run(suite);
}
