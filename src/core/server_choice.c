/* Selection of the server for a request. */
#include "core/server_table_internal.h"

#include <string.h>

#include <xxhash.h>

#include "base/buffer.h"

enum { SERVER_LOAD_FRACTION_BITS = 16 };

static bool server_region_is_allowed(const struct server *server, const struct server_criteria *criteria)
{
    bool allowed = true;
    for (int i = 0; i < SERVER_REGION_RULES; i++) {
        allowed = allowed &&
                  (criteria->region_rules[i] == NULL || route_regions_allow(criteria->region_rules[i], server->region));
    }
    return allowed;
}

bool server_table_all_excluded(const struct server_table *table, const struct server_criteria *criteria)
{
    bool excluded = false;
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (!text_equal(server->service, criteria->service) || server_is_leaving(server)) {
            continue;
        }
        if (!server->zone_drained && server_region_is_allowed(server, criteria)) {
            return false;
        }
        excluded = true;
    }
    return excluded;
}

static bool server_version_is_allowed(const struct server *server, const struct server_criteria *criteria)
{
    return criteria->version == NULL || text_equal(server->version, criteria->version);
}

/* A server that is draining but still serves. */
static bool server_continues_streams(const struct server *server, const struct server_criteria *criteria,
                                     uint64_t now_ms)
{
    bool serves = server->listed && server->draining && !server->address_reused && !server->not_listening &&
                  !reach_is_dead(&server->reach);
    return serves && criteria->version != NULL &&
           now_ms + SERVER_DRAIN_MARGIN_MS < server->draining_ms + criteria->drain_ms;
}

bool server_may_receive(const struct server *server, const struct server_criteria *criteria, uint64_t now_ms)
{
    bool serves = !server_is_leaving(server) || server_continues_streams(server, criteria, now_ms);
    return serves && !server->zone_drained && server_version_is_allowed(server, criteria);
}

static bool server_accepts_requests(const struct server *server, const struct server_criteria *criteria,
                                    uint64_t now_ms)
{
    bool in_rotation = !server_is_out_of_rotation(server) || criteria->allow_draining;
    return in_rotation && server_may_receive(server, criteria, now_ms) && now_ms >= server->full_until_ms;
}

bool server_table_has_version(const struct server_table *table, uint64_t now_ms, const struct server_criteria *criteria,
                              const struct server *except)
{
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (server != except && text_equal(server->service, criteria->service) && !reach_is_dead(&server->reach) &&
            server_may_receive(server, criteria, now_ms) && server_region_is_allowed(server, criteria)) {
            return true;
        }
    }
    return false;
}

static bool server_is_reachable(const struct server *server, const struct server_criteria *criteria)
{
    bool zone_unreachable = !criteria->ignore_zone_reach && zone_reach_is_unreachable(&server->zone_reach);
    return !server->reach.unreachable && !zone_unreachable;
}

static bool server_was_tried(const struct server *server, const struct server_criteria *criteria)
{
    for (uint32_t i = 0; i < criteria->tried_count; i++) {
        if (criteria->tried[i] == server) {
            return true;
        }
    }
    return false;
}

void server_criteria_add_tried(struct server_criteria *criteria, const struct server *server)
{
    if (!server_was_tried(server, criteria) && criteria->tried_count < SERVER_MAX_TRIED) {
        criteria->tried[criteria->tried_count++] = server;
    }
}

bool server_table_has_available(const struct server_table *table, uint64_t now_ms, const char *service,
                                const struct server_criteria *criteria)
{
    struct server_criteria any = *criteria;
    any.allow_draining = criteria->version != NULL;
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (text_equal(server->service, service) && server_accepts_requests(server, &any, now_ms) &&
            server_region_is_allowed(server, criteria)) {
            return true;
        }
    }
    return false;
}

/* For rendezvous hashing, and for breaking ties with a seed that changes with each choice. */
static uint64_t server_hash_rank(const struct server *server, uint64_t seed)
{
    uint64_t key[2] = {server->hash, seed};
    return XXH64(key, sizeof(key), 0);
}

/* In requests. Limited, because a failing server is still better than a long queue elsewhere. */
static uint64_t server_failure_penalty(const struct server_table *table, const struct server *server, uint64_t now_ms)
{
    uint64_t requests = health_penalty_requests(server_failure_share(table, server, now_ms));
    uint64_t max_requests = SERVER_FAILURE_MAX_FACTOR * server_slots(server);
    return requests < max_requests ? requests : max_requests;
}

/* Cost of processing the uncached shared parts of the prompt, or of a server that is not preferred for the affinity
 * key, in fixed-point requests. */
static uint64_t server_cache_miss_cost(const struct server *server, const struct server_criteria *criteria,
                                       uint64_t now_ms)
{
    if (criteria->chain == NULL) {
        return criteria->affinity_key == 0 ? 0 : (uint64_t)SERVER_AFFINITY_MISS_REQUESTS << SERVER_LOAD_FRACTION_BITS;
    }
    uint32_t uncached = prefix_table_uncached_tokens(&server->prefixes, now_ms, criteria->chain);
    return prefix_cost_in_requests(criteria->cost, uncached, 1 << SERVER_LOAD_FRACTION_BITS);
}

/* In requests: those in flight, the failure penalty and the amount counted for a server that has just started. */
static uint64_t server_occupied_slots(const struct server_table *table, const struct server *server,
                                      const struct server_criteria *criteria, uint64_t now_ms)
{
    bool starting = criteria->has_start_token != NULL && server_is_starting(server, now_ms);
    return server_total_in_flight(table, server, now_ms) + server_failure_penalty(table, server, now_ms) +
           (starting ? server_slots(server) : 0);
}

/* Fixed-point requests per slot; costs count as additional requests. */
static uint64_t server_load(const struct server_table *table, const struct server *server,
                            const struct server_criteria *criteria, uint64_t now_ms, bool preferred)
{
    bool remote = !text_equal(server->zone, criteria->zone);
    bool needs_connection =
        criteria->has_idle_connection != NULL && !criteria->has_idle_connection(criteria->context, server->address);
    uint64_t requests = server_occupied_slots(table, server, criteria, now_ms);
    requests += needs_connection ? SERVER_CONNECT_REQUESTS : 0;
    requests += remote ? SERVER_REMOTE_ZONE_REQUESTS : 0;
    uint64_t cache_miss_cost = preferred ? 0 : server_cache_miss_cost(server, criteria, now_ms);
    return ((requests << SERVER_LOAD_FRACTION_BITS) + cache_miss_cost) / server_slots(server);
}

typedef bool (*server_filter_t)(const struct server_table *table, const struct server *server,
                                const struct server_criteria *criteria, uint64_t now_ms);

/* All criteria but reachability and the start token. */
static bool server_meets_criteria(const struct server *server, const struct server_criteria *criteria, uint64_t now_ms)
{
    return text_equal(server->service, criteria->service) && server_accepts_requests(server, criteria, now_ms) &&
           !server_was_tried(server, criteria) && server_region_is_allowed(server, criteria);
}

/* Ignores reachability: an unreachable server is better than none. */
static bool server_is_eligible(const struct server_table *table, const struct server *server,
                               const struct server_criteria *criteria, uint64_t now_ms)
{
    (void)table;
    bool eligible = server_meets_criteria(server, criteria, now_ms);
    bool needs_token = eligible && criteria->has_start_token != NULL && server_is_starting(server, now_ms);
    return eligible && (!needs_token || criteria->has_start_token(criteria->context, server));
}

static bool server_is_eligible_and_reachable(const struct server_table *table, const struct server *server,
                                             const struct server_criteria *criteria, uint64_t now_ms)
{
    return server_is_reachable(server, criteria) && server_is_eligible(table, server, criteria, now_ms);
}

/* Whether it is in the gateway's zone and has room (server_table.h). Full servers are left out, not only compared: one
 * that has the prompt cached may have the least load although another server of the zone has a free slot. Failing ones
 * are left out too: the penalty for failures is limited, so that a server with many slots would have room whatever its
 * failures. */
static bool server_has_room_in_zone(const struct server_table *table, const struct server *server,
                                    const struct server_criteria *criteria, uint64_t now_ms)
{
    return text_equal(server->zone, criteria->zone) &&
           server_is_eligible_and_reachable(table, server, criteria, now_ms) &&
           server_occupied_slots(table, server, criteria, now_ms) < server_slots(server) &&
           !health_is_bad(server_failure_share(table, server, now_ms));
}

/* Rendezvous hashing: all gateways prefer the same server for the same prompt parts or the same affinity key, and
 * assume that it has the data cached. */
static const struct server *server_preferred(const struct server_table *table, uint64_t now_ms,
                                             const struct server_criteria *criteria, server_filter_t filter)
{
    const struct server *preferred = NULL;
    uint64_t highest = 0;
    bool has_chain = criteria->chain != NULL && criteria->chain->count > 0;
    uint64_t key = has_chain ? criteria->chain->hashes[criteria->chain->count - 1] : criteria->affinity_key;
    if (key == 0) {
        return NULL;
    }
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        uint64_t rank = server_hash_rank(server, key);
        if (filter(table, server, criteria, now_ms) && (preferred == NULL || rank > highest)) {
            preferred = server;
            highest = rank;
        }
    }
    return preferred;
}

/* Among the servers that pass the filter; NULL: none does. */
static struct server *server_least_loaded(struct server_table *table, uint64_t now_ms,
                                          const struct server_criteria *criteria, server_filter_t filter)
{
    struct server *least_loaded = NULL;
    uint64_t least_load = 0;
    uint64_t highest_rank = 0;
    const struct server *preferred = server_preferred(table, now_ms, criteria, filter);
    table->rotation++;
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (!filter(table, server, criteria, now_ms)) {
            continue;
        }
        uint64_t load = server_load(table, server, criteria, now_ms, server == preferred);
        uint64_t rank = server_hash_rank(server, table->rotation);
        if (least_loaded == NULL || load < least_load || (load == least_load && rank > highest_rank)) {
            least_loaded = server;
            least_load = load;
            highest_rank = rank;
        }
    }
    return least_loaded;
}

/* True only if the other server has much less load or only the home fails: processing a prompt again delays all
 * requests on the new server. */
static bool server_should_leave_home(const struct server_table *table, const struct server *home,
                                     const struct server *other, uint64_t now_ms)
{
    if (health_is_bad(server_failure_share(table, home, now_ms)) &&
        !health_is_bad(server_failure_share(table, other, now_ms))) {
        return true;
    }
    uint32_t home_requests = server_total_in_flight(table, home, now_ms);
    uint32_t other_requests = server_total_in_flight(table, other, now_ms);
    return home_requests >= server_slots(home) + SERVER_HOME_MAX_QUEUE &&
           other_requests + SERVER_LEAVE_MARGIN_REQUESTS <= home_requests;
}

/* NULL: the program has no home that can take the request. */
static struct server *server_usable_home(const struct server_table *table, uint64_t now_ms,
                                         const struct server_criteria *criteria)
{
    struct server *home = server_table_find_incarnation(table, criteria->home);
    return home != NULL && server_is_eligible_and_reachable(table, home, criteria, now_ms) ? home : NULL;
}

/* Whether a program leaves its home is decided by comparing all zones: the servers of the gateway's zone may fail as
 * the home does. */
static struct server *server_choose_reachable(struct server_table *table, uint64_t now_ms,
                                              const struct server_criteria *criteria)
{
    struct server *least_loaded = server_least_loaded(table, now_ms, criteria, server_is_eligible_and_reachable);
    if (least_loaded == NULL) {
        return NULL;
    }
    struct server *home = server_usable_home(table, now_ms, criteria);
    if (home != NULL && !server_should_leave_home(table, home, least_loaded, now_ms)) {
        return home;
    }
    struct server *in_zone =
        criteria->zone_first ? server_least_loaded(table, now_ms, criteria, server_has_room_in_zone) : NULL;
    bool prefer_zone = in_zone != NULL && (home == NULL || server_should_leave_home(table, home, in_zone, now_ms));
    return prefer_zone ? in_zone : least_loaded;
}

static bool server_table_has_unreachable_zone(const struct server_table *table)
{
    return table->zone_reach != NULL && zone_reach_count_unreachable(table->zone_reach) > 0;
}

static struct server_criteria server_criteria_for_all_zones(const struct server_criteria *criteria)
{
    struct server_criteria all_zones = *criteria;
    all_zones.ignore_zone_reach = true;
    return all_zones;
}

/* Whether a reachable server of the service is skipped only because it refused a request within SERVER_FULL_PAUSE_MS.
 */
static bool server_table_has_paused(const struct server_table *table, uint64_t now_ms,
                                    const struct server_criteria *criteria)
{
    for (const struct server *server = table->servers; server != NULL; server = server->hh.next) {
        if (text_equal(server->service, criteria->service) && !server_is_out_of_rotation(server) &&
            server_version_is_allowed(server, criteria) && now_ms < server->full_until_ms &&
            server_is_reachable(server, criteria) && server_region_is_allowed(server, criteria)) {
            return true;
        }
    }
    return false;
}

/* While a reachable server only pauses, the request is queued: sent to an unreachable zone it may be lost. */
static struct server *server_choose_in_rotation(struct server_table *table, uint64_t now_ms,
                                                const struct server_criteria *criteria)
{
    struct server *chosen = server_choose_reachable(table, now_ms, criteria);
    if (chosen == NULL && server_table_has_unreachable_zone(table)) {
        struct server_criteria all_zones = server_criteria_for_all_zones(criteria);
        if (server_table_has_paused(table, now_ms, criteria)) {
            return NULL;
        }
        chosen = server_choose_reachable(table, now_ms, &all_zones);
    }
    return chosen != NULL ? chosen : server_least_loaded(table, now_ms, criteria, server_is_eligible);
}

struct server *server_table_choose(struct server_table *table, uint64_t now_ms, const struct server_criteria *criteria)
{
    struct server *chosen = server_choose_in_rotation(table, now_ms, criteria);
    if (chosen == NULL && criteria->version != NULL) {
        struct server_criteria with_draining = *criteria;
        with_draining.allow_draining = true;
        chosen = server_choose_in_rotation(table, now_ms, &with_draining);
    }
    return chosen;
}

static struct server *server_choose_starting_reachable(struct server_table *table, uint64_t now_ms,
                                                       const struct server_criteria *criteria)
{
    struct server *chosen = NULL;
    uint64_t highest = 0;
    table->rotation++;
    for (struct server *server = table->servers; server != NULL; server = server->hh.next) {
        bool eligible = server_is_starting(server, now_ms) && server_is_reachable(server, criteria) &&
                        server_meets_criteria(server, criteria, now_ms);
        uint64_t rank = eligible ? server_hash_rank(server, table->rotation) : 0;
        if (eligible && (chosen == NULL || rank > highest)) {
            chosen = server;
            highest = rank;
        }
    }
    return chosen;
}

/* Repeated without regard to zones: a service whose only servers have just started in an unreachable zone would
 * otherwise never get a token, and no request without one. */
struct server *server_table_choose_starting(struct server_table *table, uint64_t now_ms,
                                            const struct server_criteria *criteria)
{
    struct server *chosen = server_choose_starting_reachable(table, now_ms, criteria);
    if (chosen == NULL && server_table_has_unreachable_zone(table)) {
        struct server_criteria all_zones = server_criteria_for_all_zones(criteria);
        chosen = server_choose_starting_reachable(table, now_ms, &all_zones);
    }
    return chosen;
}
