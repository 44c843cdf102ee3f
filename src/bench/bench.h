/**
 * @file bench.h
 * Open-loop load generator. Programs (conversations of several turns) and plain
 * requests (single requests to a service) arrive as Poisson processes; each
 * arrival runs on its own thread. Answers of the emulated engines are checked
 * against the whole conversation to detect lost, mixed-up or duplicated turns.
 */
#ifndef BANKBANK_BENCH_BENCH_H
#define BANKBANK_BENCH_BENCH_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "measure/samples.h"

enum { BENCH_MAX_TARGETS = 64 };

/** Distributions that programs are drawn from. */
struct bench_mix {
    const char *name;               /**< Value of --mix. */
    double mean_turns;              /**< Geometric distribution, at least 1. */
    double mean_pause_ms;           /**< Tool pause between turns; exponential distribution. */
    double mean_question_bytes;     /**< Exponential distribution above a fixed minimum. */
    uint64_t max_tokens;            /**< Per answer. */
    double sub_program_probability; /**< Per turn of a top-level program. */
};

struct bench_config {
    const char *gateways[BENCH_MAX_TARGETS]; /**< Base URLs of daemons. */
    uint32_t gateway_count;
    const char *engines[BENCH_MAX_TARGETS]; /**< Base URLs of engines called directly, for comparison. */
    uint32_t engine_count;                  /**< 0 for no direct calls. */
    const char *service;                    /**< Service of the plain requests. */
    const char *model;
    const char *policy;
    struct bench_mix mix;
    double program_rate; /**< Programs per second, through daemons and direct ones together. */
    double plain_rate;   /**< Plain requests per second. */
    double seconds;      /**< Time during which programs and plain requests arrive. */
    uint32_t max_open;   /**< Maximum concurrent arrivals; further ones are dropped and counted. */
    uint32_t timeout_ms; /**< Timeout of one HTTP request. */
    uint32_t max_turns;  /**< Per program. */
    bool exact_length;   /**< Request answers of exactly max_tokens. */
    bool keep_programs;  /**< Do not delete finished programs. */
    uint64_t seed;
};

/** Measurements of the programs that run through the daemons, or directly at the engines; counters are atomic. */
struct bench_results {
    const char *name;           /**< "gateway" or "direct". */
    struct samples create;      /**< Creation of a program, ms. */
    struct samples first_token; /**< Time to the first token of a turn, ms. */
    struct samples inter_token; /**< Time between two tokens, ms. */
    struct samples turn;        /**< Duration of a turn with its retries, ms. */
    struct samples program;     /**< Time that a program and its sub-programs spent in turns, ms. */
    uint64_t programs_finished;
    uint64_t programs_failed;
    uint64_t turns;             /**< Turns answered. */
    uint64_t refused;           /**< Refusals marked as not run; the turn was retried. */
    uint64_t unknown;           /**< Attempts with an unknown outcome; the turn was retried. */
    uint64_t wrong_answers;     /**< Answers that do not match the conversation. */
    uint64_t prompt_tokens;     /**< As reported by the engines. */
    uint64_t completion_tokens; /**< As reported by the engines. */
    uint64_t reusable_tokens;   /**< Prompt tokens that an earlier turn had computed already. */
    uint64_t wasted_tokens;     /**< Reusable tokens that were computed again. */
};

/** Arrays of BENCH_MAX_TARGETS are indexed like config.gateways. */
struct bench {
    struct bench_config config;
    struct bench_results results[2]; /**< Indexed by bench_path. */
    struct samples plain;            /**< Latency of plain requests, ms. */
    uint64_t plain_failed;
    uint64_t dropped;   /**< Arrivals dropped because of max_open, or because no thread could start. */
    uint64_t open;      /**< Running arrival threads (atomic). */
    uint64_t most_open; /**< Highest value of `open`. */
    double cpu_seconds[BENCH_MAX_TARGETS];   /**< CPU time used during the run. */
    double memory_before[BENCH_MAX_TARGETS]; /**< Resident memory before the load, bytes. */
    double memory_peak[BENCH_MAX_TARGETS];   /**< Highest sample during the load. */
    double memory_after[BENCH_MAX_TARGETS];
    double streams_peak[BENCH_MAX_TARGETS]; /**< Highest sampled number of requests in flight. */
    double wall_seconds;
    bool ended; /**< The load is over (atomic). */
};

/** Index into bench.results. */
enum bench_path { BENCH_GATEWAY, BENCH_DIRECT };

/** A running program; used by one thread. */
struct bench_program {
    struct bench *bench;
    struct bench_results *results;
    uint64_t seed;              /**< State of its random number generator. */
    char id[96];                /**< Id at the daemons. */
    uint32_t number;            /**< Arrival number; selects the first target. */
    uint32_t next_call;         /**< Number of the next turn (from 1); sent in X-Program-Call. */
    uint64_t conversation_hash; /**< See answer_extend_hash(). */
    uint64_t context_tokens;    /**< Tokens of prompt and answer of the last turn. */
    struct buffer history;      /**< JSON messages so far, comma-separated; only for direct calls. */
    double turn_time_ms;        /**< Time spent in turns, including those of sub-programs. */
};

/** Runs one turn; false if it failed or its answer was wrong, and the program must be aborted. */
bool bench_turn(struct bench_program *program);

/** Runs a program and its sub-programs; `parent` is the id of the parent program or NULL. True if it finished. */
bool bench_program_run(struct bench_program *program, const char *parent);

/** Sends one plain request and records its latency. */
void bench_send_plain_request(struct bench *bench, uint64_t seed);

/** Generates the load of bench.config, waits until all arrivals have ended or the drain timeout has passed, and takes
 * the measurements. */
void bench_run(struct bench *bench);

/** Writes the results as JSON to the file at `path`, or to standard output if NULL; false if the file cannot be
 * written. */
bool bench_report(struct bench *bench, const char *path);

/** Next number of a splitmix64 sequence. */
uint64_t bench_random(uint64_t *state);

/** Uniform number in (0, 1). */
double bench_uniform(uint64_t *state);

/** Exponentially distributed number with the given mean. */
double bench_exponential(uint64_t *state, double mean);

#endif
