/*
 * Stateful fuzzing of a site's state against a simple oracle: turns as a table
 * of parents and bytes, budgets as sums, the document as its highest version.
 * Snapshots are taken and loaded in between; clocks jump both ways.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "support/streams.h"

enum { TURNS = 24, PROGRAMS = 3, BUDGET = 300, NONE = -1, NAME = 16, RETENTION_MS = 1 << 30 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What must be true. */
struct oracle {
    bool stored[TURNS];
    int parent[TURNS];
    uint8_t input[TURNS];
    bool known[PROGRAMS][TURNS];
    bool settled[PROGRAMS][TURNS];
    uint64_t tokens[PROGRAMS][TURNS];
    uint64_t version;
    uint8_t content;
};

/* Operations, in the order of their numbers in the input. */
enum operation { BEGIN, KEEP, SETTLE, DOCUMENT, SNAPSHOT, OPERATIONS };

static void require(bool held, const char *what)
{
    if (!held) {
        fprintf(stderr, "check %s failed\n", what);
        abort();
    }
}

static ResultCode apply(struct site_state *site, uint64_t now_ms, const Entry *entry)
{
    EntryResult result = {0};
    require(site_state_apply(site, now_ms, entry, &result), "entry is of this kind");
    return result.code;
}

static uint64_t committed(const struct oracle *oracle, int program)
{
    uint64_t sum = 0;
    for (int i = 0; i < TURNS; i++) {
        sum += oracle->known[program][i] ? oracle->tokens[program][i] : 0;
    }
    return sum;
}

static void run_begin(struct site_state *site, struct oracle *oracle, uint64_t now_ms, int turn, int program,
                      uint8_t amount)
{
    char turn_name[NAME];
    char program_name[NAME];
    Entry entry = {0};
    snprintf(turn_name, sizeof(turn_name), "t%d", turn);
    snprintf(program_name, sizeof(program_name), "p%d", program);
    entry.which_command = Entry_turn_begin_tag;
    entry.command.turn_begin.turn = turn_name;
    entry.command.turn_begin.program = program_name;
    entry.command.turn_begin.budget_tokens = BUDGET;
    entry.command.turn_begin.reserve_tokens = amount;
    bool known = oracle->known[program][turn];
    bool fits = known || committed(oracle, program) + amount <= BUDGET;
    ResultCode code = apply(site, now_ms, &entry);
    require(code == (fits ? RESULT_OK : RESULT_BUDGET), "a budget is never exceeded nor refused early");
    if (fits && !known) {
        oracle->known[program][turn] = true;
        oracle->tokens[program][turn] = amount;
    }
}

static void run_finish(struct site_state *site, struct oracle *oracle, uint64_t now_ms, int turn, int program,
                       uint8_t amount, bool keep, int parent)
{
    char turn_name[NAME];
    char program_name[NAME];
    char parent_name[NAME] = "";
    Entry entry = {0};
    snprintf(turn_name, sizeof(turn_name), "t%d", turn);
    snprintf(program_name, sizeof(program_name), "p%d", program);
    if (parent != NONE) {
        snprintf(parent_name, sizeof(parent_name), "t%d", parent);
    }
    entry.which_command = Entry_turn_finish_tag;
    TurnFinish *finish = &entry.command.turn_finish;
    finish->turn = turn_name;
    finish->program = program_name;
    finish->used_tokens = amount;
    finish->keep = keep;
    finish->parent = parent_name;
    finish->input = view_of(&amount, 1);
    finish->output = view_of_string("\n");
    finish->retention_ms = RETENTION_MS;
    ResultCode code = apply(site, now_ms, &entry);
    if (!oracle->settled[program][turn]) {
        oracle->known[program][turn] = true;
        oracle->settled[program][turn] = true;
        oracle->tokens[program][turn] = amount;
    }
    if (!keep) {
        return;
    }
    bool possible = oracle->stored[turn] || parent == NONE || oracle->stored[parent];
    require(code == (possible ? RESULT_OK : RESULT_NOT_FOUND), "a turn follows a stored one");
    if (possible && !oracle->stored[turn]) {
        oracle->stored[turn] = true;
        oracle->parent[turn] = parent;
        oracle->input[turn] = amount;
    }
}

static void run_document(struct site_state *site, struct oracle *oracle, uint64_t now_ms, uint8_t version,
                         uint8_t content)
{
    Entry entry = {0};
    entry.which_command = Entry_document_put_tag;
    entry.command.document_put.version = version;
    entry.command.document_put.content = view_of(&content, 1);
    require(apply(site, now_ms, &entry) == RESULT_OK, "every document is acknowledged");
    if (version > oracle->version) {
        oracle->version = version;
        oracle->content = content;
    }
}

static void start(struct state_machine *machine)
{
    struct history_io in_memory = {0};
    state_machine_init(machine, STATE_CONFIG_GROUP, &in_memory);
}

static void run_snapshot(struct state_machine *machine)
{
    struct buffer stream = {0};
    require(stream_write(machine, &stream), "a snapshot is written");
    state_machine_close(machine);
    start(machine);
    require(stream_read(machine, &stream), "a snapshot is read");
    buffer_close(&stream);
}

static void check_chain(const struct site_state *site, const struct oracle *oracle, int turn)
{
    char name[NAME];
    uint8_t expected[2 * TURNS];
    size_t length = 0;
    struct buffer text = {0};
    snprintf(name, sizeof(name), "t%d", turn);
    const struct turn *found = turn_store_find(&site->turns, name);
    require((found != NULL) == oracle->stored[turn], "exactly the stored turns are found");
    if (found == NULL) {
        return;
    }
    for (int at = turn; at != NONE; at = oracle->parent[at]) {
        expected[sizeof(expected) - ++length] = '\n';
        expected[sizeof(expected) - ++length] = oracle->input[at];
    }
    require(turn_chain_text(&site->turns, found, &text), "a text is there");
    require(text.length == length && memcmp(text.data, expected + sizeof(expected) - length, length) == 0,
            "a conversation is whole and its own");
    buffer_close(&text);
}

static void check(const struct site_state *site, const struct oracle *oracle)
{
    for (int turn = 0; turn < TURNS; turn++) {
        check_chain(site, oracle, turn);
    }
    require(site->document.version == oracle->version, "the highest version holds");
    require(oracle->version == 0 || site->document.content.data[0] == oracle->content, "its content never changes");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct state_machine machine;
    struct site_state *site = &machine.site;
    static struct oracle oracle;
    start(&machine);
    memset(&oracle, 0, sizeof(oracle));
    for (size_t at = 0; at + 5 <= size; at += 5) {
        const uint8_t *step = data + at;
        uint64_t now_ms = 1000000U + (uint64_t)step[4] * 7; /* back and forth, below every expiry */
        int turn = step[1] % TURNS;
        int program = step[2] % PROGRAMS;
        int parent = step[4] % (TURNS + 1) - 1;
        switch ((enum operation)(step[0] % OPERATIONS)) {
        case BEGIN: run_begin(site, &oracle, now_ms, turn, program, step[3]); break;
        case KEEP: run_finish(site, &oracle, now_ms, turn, program, step[3], true, parent); break;
        case SETTLE: run_finish(site, &oracle, now_ms, turn, program, step[3], false, NONE); break;
        case DOCUMENT: run_document(site, &oracle, now_ms, step[1], step[3]); break;
        default: run_snapshot(&machine); break;
        }
        check(site, &oracle);
    }
    state_machine_close(&machine);
    return 0;
}
