/**
 * @file bench.h
 * Open-loop load: programs of several turns with tool pauses and sub-programs,
 * and plain requests, arrive by a Poisson process whether earlier ones have
 * ended or not. Each runs on a thread of its own. Answers of the emulated
 * engines are checked against the whole conversation, so a lost, mixed or
 * doubled turn counts as a wrong answer.
 */
#ifndef BANKBANK_BENCH_BENCH_H
#define BANKBANK_BENCH_BENCH_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "measure/samples.h"

enum { BENCH_MAX_TARGETS = 64 };

/** Shape of the programs. */
struct bench_mix {
    const char *name;      /**< Name on the command line. */
    double turns;          /**< Mean number of turns (geometric, at least 1). */
    double pause_ms;       /**< Mean tool pause between turns (exponential). */
    double question_bytes; /**< Mean length of a question (exponential, at least 16). */
    uint64_t max_tokens;   /**< Limit of an answer. */
    double sub_programs;   /**< Chance of a sub-program after a turn. */
};

/** Settings of a run. */
struct bench_config {
    const char *gateways[BENCH_MAX_TARGETS]; /**< Base URLs of daemons. */
    uint32_t gateway_count;                  /**< Daemons. */
    const char *engines[BENCH_MAX_TARGETS];  /**< Base URLs of engines called directly, for comparison. */
    uint32_t engine_count;                   /**< Engines; 0: no direct half. */
    const char *service;                     /**< Plain service, or NULL. */
    const char *model;                       /**< Model asked for. */
    const char *policy;                      /**< Policy of the programs. */
    struct bench_mix mix;                    /**< Shape of the programs. */
    double program_rate;                     /**< Programs a second, both halves together. */
    double plain_rate;                       /**< Plain requests a second. */
    double seconds;                          /**< Time during which programs arrive. */
    uint32_t max_open;                       /**< Most programs and requests open; more are dropped and counted. */
    uint32_t timeout_ms;                     /**< Limit of one call. */
    uint32_t max_turns;                      /**< Most turns of a program. */
    bool exact;                              /**< Answers of exactly max_tokens. */
    bool keep;                               /**< Leave the programs open at their end. */
    uint64_t seed;                           /**< Seed of everything drawn. */
};

/** Measurements of one half: through the daemons, or straight to the engines. */
struct bench_side {
    const char *name;           /**< "gateway" or "direct". */
    struct samples create;      /**< Creation of a program. */
    struct samples first_token; /**< Time to the first token of a turn. */
    struct samples between;     /**< Time between two tokens. */
    struct samples turn;        /**< Whole turn. */
    struct samples program;     /**< Whole program without its tool pauses. */
    uint64_t programs_finished; /**< Programs with every turn answered. */
    uint64_t programs_failed;   /**< Programs given up. */
    uint64_t turns;             /**< Turns answered. */
    uint64_t refused;           /**< Refusals as not run; the turn was tried again. */
    uint64_t unknown;           /**< Answers with an unknown outcome; the turn was asked again. */
    uint64_t wrong;             /**< Answers that do not fit the conversation. */
    uint64_t prompt_tokens;     /**< Prompt tokens as reported. */
    uint64_t completion_tokens; /**< Generated tokens as reported. */
    uint64_t reusable_tokens;   /**< Prompt tokens that an earlier turn had computed. */
    uint64_t wasted_tokens;     /**< Of these, computed again. */
};

/** A run. */
struct bench {
    struct bench_config config;              /**< Settings. */
    struct bench_side sides[2];              /**< Through daemons, and direct. */
    struct samples plain;                    /**< Latency of plain requests. */
    uint64_t plain_failed;                   /**< Plain requests that failed. */
    uint64_t dropped;                        /**< Arrivals beyond max_open. */
    uint64_t open;                           /**< Threads under way. */
    uint64_t most_open;                      /**< Most threads under way. */
    double cpu_seconds[BENCH_MAX_TARGETS];   /**< Processor time each daemon used. */
    double memory_before[BENCH_MAX_TARGETS]; /**< Resident bytes of each daemon before the load. */
    double memory_peak[BENCH_MAX_TARGETS];   /**< Most resident bytes seen during it. */
    double memory_after[BENCH_MAX_TARGETS];  /**< Resident bytes after it. */
    double streams_peak[BENCH_MAX_TARGETS];  /**< Most requests in flight seen. */
    double wall_seconds;                     /**< Time the run took. */
    bool ended;                              /**< The load is over (atomic). */
};

/** Names of the sides. */
enum bench_side_index { BENCH_GATEWAY, BENCH_DIRECT };

/** One conversation's state. */
struct bench_program {
    struct bench *bench;     /**< The run. */
    struct bench_side *side; /**< Where it is measured. */
    uint64_t seed;           /**< State of its random source. */
    char id[96];             /**< Program id at the daemons. */
    uint32_t number;         /**< Arrival number; picks the first target. */
    uint32_t call;           /**< Next call number. */
    uint64_t hash;           /**< Hash of the conversation so far. */
    uint64_t context_tokens; /**< Tokens of prompt and answer of the last turn. */
    struct buffer history;   /**< Messages so far, for direct calls. */
    double served_ms;        /**< Time spent in calls. */
};

/** Runs one turn; false: the program must be given up. */
bool bench_turn(struct bench_program *program);

/** Runs a program, and its sub-programs, to its end; true if it finished. */
bool bench_program_run(struct bench_program *program, const char *parent);

/** Runs one plain request. */
void bench_plain_run(struct bench *bench, uint64_t seed);

/** Runs the whole load. */
void bench_run(struct bench *bench);

/** Prints or writes the results as JSON. */
bool bench_report(struct bench *bench, const char *path);

/** Next number of a splitmix64 sequence; all draws of a program come from one. */
uint64_t bench_random(uint64_t *state);

/** Uniform number in (0, 1). */
double bench_uniform(uint64_t *state);

/** Exponential number of the given mean. */
double bench_exponential(uint64_t *state, double mean);

#endif
