/* Placement by cached prompt parts:
 *   servers COUNT SLOTS           COUNT servers in one service and zone, with empty caches
 *   at MS                         sets the time
 *   cost UNSHARED OUTPUT          records a request with these numbers of tokens
 *   request COUNT [ID:TOKENS,...] places COUNT concurrent requests with these shared parts; prints their number at the
 *                                 only server used, or the highest and the lowest number at a server
 *   uncached ID:TOKENS,...        prints the tokens that the first server has not cached
 *   fill COUNT                    sends COUNT prompts with different chains to the first server */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "script.h"
#include "server_fixture.h"

enum { PARTS_MAX_BYTES = 128 };

static struct server_table servers;
static prefix_cost_t cost;
static uint64_t now_ms = 1000;

static void read_chain(const script_command_t *command, int position, prefix_chain_t *chain)
{
    char text[PARTS_MAX_BYTES];
    char *rest = text;
    memset(chain, 0, sizeof(*chain));
    script_copy(command, position, text, sizeof(text));
    for (char *part = strsep(&rest, ","); part != NULL && part[0] != '\0'; part = strsep(&rest, ",")) {
        char *tokens = part;
        const char *id = strsep(&tokens, ":");
        prefix_chain_add(chain, view_of_string(id), (uint32_t)strtoul(tokens, NULL, 10));
    }
}

static void place_requests(const script_command_t *command)
{
    prefix_chain_t chain;
    read_chain(command, 2, &chain);
    for (uint64_t i = 0; i < script_number(command, 1, 0); i++) {
        struct server_criteria criteria = {.service = "service", .zone = "zone", .chain = &chain, .cost = &cost};
        struct server *server = server_table_choose(&servers, now_ms, &criteria);
        server_begin_request(server, now_ms);
        prefix_table_record(&server->prefixes, now_ms, &chain);
    }
    uint32_t used = 0;
    uint32_t most = 0;
    uint32_t least = UINT32_MAX;
    for (const struct server *server = servers.servers; server != NULL; server = server->hh.next) {
        used += server->in_flight > 0 ? 1 : 0;
        most = server->in_flight > most ? server->in_flight : most;
        least = server->in_flight < least ? server->in_flight : least;
    }
    if (used == 1) {
        script_print("one server %u\n", most);
    } else {
        script_print("most %u least %u\n", most, least);
    }
}

static void fill(uint64_t count)
{
    for (uint64_t i = 0; i < count; i++) {
        prefix_chain_t chain = {0};
        prefix_chain_add(&chain, view_of(&i, sizeof(i)), 1);
        prefix_table_record(&servers.servers->prefixes, now_ms, &chain);
    }
}

static void run(const script_command_t *command)
{
    prefix_chain_t chain;
    if (script_is(command, 0, "servers")) {
        server_fixture_start(&servers, script_number(command, 1, 1), script_number(command, 2, 1));
    } else if (script_is(command, 0, "at")) {
        now_ms = 1000 + script_number(command, 1, 0);
    } else if (script_is(command, 0, "cost")) {
        prefix_cost_record(&cost, script_number(command, 1, 0), script_number(command, 2, 0));
    } else if (script_is(command, 0, "request")) {
        place_requests(command);
    } else if (script_is(command, 0, "uncached")) {
        read_chain(command, 1, &chain);
        script_print("%u\n", prefix_table_uncached_tokens(&servers.servers->prefixes, now_ms, &chain));
    } else if (script_is(command, 0, "fill")) {
        fill(script_number(command, 1, 0));
    }
}

int main(int argc, char **argv)
{
    int status = argc > 1 ? script_main(argv[1], run) : 1;
    server_table_close(&servers);
    return status;
}
