/* bankbank-bench: open-loop load generator. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "bench/bench.h"
#include "net/http_client.h"

enum {
    BENCH_EXIT_USAGE = 2,
    BENCH_DEFAULT_MAX_OPEN = 1000,
    BENCH_DEFAULT_MAX_TURNS = 200,
    BENCH_DEFAULT_TIMEOUT_MS = 60000
};

/* amortis: short interactive conversations; midlands: long ones; single: one turn per program. */
static const struct bench_mix bench_mixes[] = {
    {"amortis", 6, 200, 300, 48, 0.10},
    {"midlands", 14, 400, 500, 32, 0.05},
    {"single", 1, 0, 64, 24, 0.0},
};

struct bench_flags {
    struct arg_str *gateways;
    struct arg_str *engines;
    struct arg_str *mix;
    struct arg_str *model;
    struct arg_str *policy;
    struct arg_str *service;
    struct arg_dbl *rate;
    struct arg_dbl *plain_rate;
    struct arg_dbl *seconds;
    struct arg_dbl *turns;
    struct arg_dbl *pause_ms;
    struct arg_dbl *question_bytes;
    struct arg_int *max_tokens;
    struct arg_int *max_turns;
    struct arg_int *max_open;
    struct arg_int *seed;
    struct arg_lit *exact;
    struct arg_lit *keep;
    struct arg_str *output;
    struct arg_lit *help;
    struct arg_end *end;
};

static const char *flag_string(const struct arg_str *flag, const char *fallback)
{
    return flag->count > 0 ? flag->sval[0] : fallback;
}

static double flag_double(const struct arg_dbl *flag, double fallback)
{
    return flag->count > 0 ? flag->dval[0] : fallback;
}

static int flag_int(const struct arg_int *flag, int fallback)
{
    return flag->count > 0 ? flag->ival[0] : fallback;
}

static bool find_mix(const char *name, struct bench_mix *mix)
{
    for (size_t i = 0; i < sizeof(bench_mixes) / sizeof(bench_mixes[0]); i++) {
        if (strcmp(bench_mixes[i].name, name) == 0) {
            *mix = bench_mixes[i];
            return true;
        }
    }
    fprintf(stderr, "bankbank-bench: unknown mix '%s'\n", name);
    return false;
}

static bool bench_configure(const struct bench_flags *flags, struct bench_config *config)
{
    memset(config, 0, sizeof(*config));
    if (!find_mix(flag_string(flags->mix, "amortis"), &config->mix)) {
        return false;
    }
    for (int i = 0; i < flags->gateways->count; i++) {
        config->gateways[config->gateway_count++] = flags->gateways->sval[i];
    }
    for (int i = 0; i < flags->engines->count; i++) {
        config->engines[config->engine_count++] = flags->engines->sval[i];
    }
    if (config->gateway_count + config->engine_count == 0) {
        fprintf(stderr, "bankbank-bench: at least one --gateway or --engine is required\n");
        return false;
    }
    config->mix.mean_turns = flag_double(flags->turns, config->mix.mean_turns);
    config->mix.mean_pause_ms = flag_double(flags->pause_ms, config->mix.mean_pause_ms);
    config->mix.mean_question_bytes = flag_double(flags->question_bytes, config->mix.mean_question_bytes);
    config->mix.max_tokens = (uint64_t)flag_int(flags->max_tokens, (int)config->mix.max_tokens);
    config->model = flag_string(flags->model, "agent-model");
    config->policy = flag_string(flags->policy, "default");
    config->service = flag_string(flags->service, "calculator");
    config->program_rate = flag_double(flags->rate, 5);
    config->plain_rate = flag_double(flags->plain_rate, 0);
    config->seconds = flag_double(flags->seconds, 10);
    config->max_turns = (uint32_t)flag_int(flags->max_turns, BENCH_DEFAULT_MAX_TURNS);
    config->max_open = (uint32_t)flag_int(flags->max_open, BENCH_DEFAULT_MAX_OPEN);
    config->timeout_ms = BENCH_DEFAULT_TIMEOUT_MS;
    config->seed = (uint64_t)flag_int(flags->seed, 1);
    config->exact_length = flags->exact->count > 0;
    config->keep_programs = flags->keep->count > 0;
    return true;
}

static void bench_init(struct bench *bench)
{
    static const char *const names[] = {"gateway", "direct"};
    samples_init(&bench->plain);
    for (size_t i = 0; i < 2; i++) {
        bench->results[i].name = names[i];
        samples_init(&bench->results[i].create);
        samples_init(&bench->results[i].first_token);
        samples_init(&bench->results[i].inter_token);
        samples_init(&bench->results[i].turn);
        samples_init(&bench->results[i].program);
    }
}

static void bench_close(struct bench *bench)
{
    samples_close(&bench->plain);
    for (size_t i = 0; i < 2; i++) {
        samples_close(&bench->results[i].create);
        samples_close(&bench->results[i].first_token);
        samples_close(&bench->results[i].inter_token);
        samples_close(&bench->results[i].turn);
        samples_close(&bench->results[i].program);
    }
}

/* Fails if the report was not written, a program failed, an answer was wrong, nothing ran, or arrivals still run after
 * the drain timeout. */
static int bench_main(const struct bench_flags *flags)
{
    static struct bench bench;
    if (!bench_configure(flags, &bench.config)) {
        return BENCH_EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    http_client_init();
    bench_init(&bench);
    bench_run(&bench);
    bool written = bench_report(&bench, flags->output->count > 0 ? flags->output->sval[0] : NULL);
    uint64_t wrong = bench.results[0].wrong_answers + bench.results[1].wrong_answers;
    uint64_t failed = bench.results[0].programs_failed + bench.results[1].programs_failed;
    uint64_t finished = bench.results[0].programs_finished + bench.results[1].programs_finished;
    bool passed = written && wrong == 0 && failed == 0 && (finished > 0 || bench.plain.count > 0);
    bool drained = bench.open == 0;
    if (drained) {
        bench_close(&bench);
        http_client_close();
    }
    return passed && drained ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, char **argv)
{
    struct bench_flags flags = {
        .gateways = arg_strn(NULL, "gateway", "URL", 0, BENCH_MAX_TARGETS, "base URL of a daemon; may be repeated"),
        .engines = arg_strn(
            NULL, "engine", "URL", 0, BENCH_MAX_TARGETS,
            "base URL of an engine to call directly, for every other program (all without --gateway); may be repeated"),
        .mix = arg_str0(NULL, "mix", "NAME", "amortis, midlands or single (amortis)"),
        .model = arg_str0(NULL, "model", "NAME", "model (agent-model)"),
        .policy = arg_str0(NULL, "policy", "NAME", "policy of the programs (default)"),
        .service = arg_str0(NULL, "service", "NAME", "service of the plain requests (calculator)"),
        .rate = arg_dbl0(NULL, "rate", "N", "programs per second (5)"),
        .plain_rate = arg_dbl0(NULL, "plain-rate", "N", "plain requests per second (0)"),
        .seconds = arg_dbl0(NULL, "seconds", "S", "time during which programs arrive (10)"),
        .turns = arg_dbl0(NULL, "turns", "N", "mean turns of a program"),
        .pause_ms = arg_dbl0(NULL, "pause-ms", "MS", "mean tool pause"),
        .question_bytes = arg_dbl0(NULL, "question-bytes", "N", "mean length of a question"),
        .max_tokens = arg_int0(NULL, "max-tokens", "N", "maximum tokens of an answer"),
        .max_turns = arg_int0(NULL, "max-turns", "N", "maximum turns of a program (200)"),
        .max_open = arg_int0(NULL, "max-open", "N", "maximum concurrent programs and requests (1000)"),
        .seed = arg_int0(NULL, "seed", "N", "seed of all random draws (1)"),
        .exact = arg_lit0(NULL, "exact", "request answers of exactly max-tokens"),
        .keep = arg_lit0(NULL, "keep", "do not delete finished programs"),
        .output = arg_str0("o", "output", "FILE", "JSON report (standard output)"),
        .help = arg_lit0("h", "help", "show this text"),
        .end = arg_end(8),
    };
    void *table[] = {flags.gateways, flags.engines,        flags.mix,        flags.model,     flags.policy,
                     flags.service,  flags.rate,           flags.plain_rate, flags.seconds,   flags.turns,
                     flags.pause_ms, flags.question_bytes, flags.max_tokens, flags.max_turns, flags.max_open,
                     flags.seed,     flags.exact,          flags.keep,       flags.output,    flags.help,
                     flags.end};
    int status = EXIT_SUCCESS;
    int errors = arg_parse(argc, argv, table);
    if (flags.help->count > 0) {
        printf("Usage: bankbank-bench");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
    } else if (errors > 0) {
        arg_print_errors(stderr, flags.end, "bankbank-bench");
        status = BENCH_EXIT_USAGE;
    } else {
        status = bench_main(&flags);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
