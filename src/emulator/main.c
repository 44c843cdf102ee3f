/* bankbank-emulator: emulates the engines, back ends and platform around bankbank. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "base/log.h"
#include "emulator/answer.h"
#include "emulator/emulator.h"

enum {
    DEFAULT_ENGINES = 10,
    DEFAULT_BACKENDS = 10,
    DEFAULT_THREADS = 128,
    DEFAULT_STEP_US = 3000,
    DEFAULT_SLOTS = 32,
    DEFAULT_PREFILL_TOKENS = 512,
    DEFAULT_CACHE_TOKENS = 200000,
    DEFAULT_BACKEND_DELAY_US = 1000,
    EXIT_USAGE = 2
};

static int flag_int(const struct arg_int *flag, int fallback)
{
    return flag->count > 0 ? flag->ival[0] : fallback;
}

static int emulator_run(const struct emulator_config *config)
{
    struct emulator emulator;
    sigset_t signals;
    int received = 0;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (!log_init(LOG_LEVEL_INFO)) {
        return EXIT_FAILURE;
    }
    if (!emulator_start(&emulator, config)) {
        log_error("emulator", "cannot start the engines or listen on %s", config->listen);
        return EXIT_FAILURE;
    }
    printf("listening on port %d\n", emulator.port);
    fflush(stdout);
    sigwait(&signals, &received);
    emulator_stop(&emulator);
    log_close();
    return EXIT_SUCCESS;
}

/* Reads a JSON array of messages from standard input. */
static int emulator_print_answer(uint64_t max_tokens)
{
    json_t *messages = json_loadf(stdin, 0, NULL);
    struct buffer text = {0};
    answer_generate(messages, max_tokens, false, &text);
    printf("%s\n", buffer_text(&text));
    buffer_close(&text);
    json_decref(messages);
    return EXIT_SUCCESS;
}

/* Reads a program's history, {"messages": [...]}, from standard input. */
static int emulator_verify_history(uint64_t max_tokens)
{
    json_t *history = json_loadf(stdin, 0, NULL);
    uint64_t answers = 0;
    size_t wrong = answer_verify(json_object_get(history, "messages"), max_tokens, &answers);
    bool verified = history != NULL && answers > 0 && wrong == 0;
    if (verified) {
        printf("%llu answers verified\n", (unsigned long long)answers);
    } else {
        printf("verification failed: %llu answers checked, first wrong message: %zu (0: none)\n",
               (unsigned long long)answers, wrong);
    }
    json_decref(history);
    return verified ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, char **argv)
{
    struct arg_str *listen =
        arg_str0(NULL, "listen", "IP:PORT", "listening address; port 0 for any free port (127.0.0.1:7000)");
    struct arg_int *engines = arg_int0(NULL, "engines", "N", "number of model engines (10)");
    struct arg_int *backends = arg_int0(NULL, "backends", "N", "number of plain back ends (10)");
    struct arg_int *threads = arg_int0(NULL, "threads", "N", "HTTP threads; each open request occupies one (128)");
    struct arg_int *step = arg_int0(NULL, "step-us", "US", "duration of an engine step (3000)");
    struct arg_int *slots = arg_int0(NULL, "slots", "N", "maximum sequences in a batch (32)");
    struct arg_int *prefill = arg_int0(NULL, "prefill-tokens", "N", "prompt tokens computed per step (512)");
    struct arg_int *cache = arg_int0(NULL, "cache-tokens", "N", "capacity of an engine's prompt cache (200000)");
    struct arg_int *delay = arg_int0(NULL, "backend-delay-us", "US", "processing time of a plain request (1000)");
    struct arg_int *answer =
        arg_int0(NULL, "answer", "MAX", "print the answer of at most MAX tokens to the messages on standard input");
    struct arg_int *verify = arg_int0(
        NULL, "verify", "MAX", "check the answers, each of at most MAX tokens, in the history on standard input");
    struct arg_lit *help = arg_lit0("h", "help", "show this text");
    struct arg_end *end = arg_end(8);
    void *table[] = {listen, engines, backends, threads, step, slots, prefill, cache, delay, answer, verify, help, end};
    int status = EXIT_SUCCESS;
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        printf("Usage: bankbank-emulator");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
    } else if (errors > 0) {
        arg_print_errors(stderr, end, "bankbank-emulator");
        status = EXIT_USAGE;
    } else if (answer->count > 0) {
        status = emulator_print_answer((uint64_t)answer->ival[0]);
    } else if (verify->count > 0) {
        status = emulator_verify_history((uint64_t)verify->ival[0]);
    } else {
        struct emulator_config config = {
            .listen = listen->count > 0 ? listen->sval[0] : "127.0.0.1:7000",
            .engine_count = (uint32_t)flag_int(engines, DEFAULT_ENGINES),
            .backend_count = (uint32_t)flag_int(backends, DEFAULT_BACKENDS),
            .threads = (uint32_t)flag_int(threads, DEFAULT_THREADS),
            .engine = {.step_us = (uint32_t)flag_int(step, DEFAULT_STEP_US),
                       .slots = (uint32_t)flag_int(slots, DEFAULT_SLOTS),
                       .prefill_tokens = (uint32_t)flag_int(prefill, DEFAULT_PREFILL_TOKENS),
                       .cache_tokens = (uint64_t)flag_int(cache, DEFAULT_CACHE_TOKENS)},
            .backend_delay_us = (uint64_t)flag_int(delay, DEFAULT_BACKEND_DELAY_US),
        };
        status = emulator_run(&config);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
