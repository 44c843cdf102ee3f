#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"

static json_t *report_results(struct bench_results *results)
{
    double wasted =
        results->reusable_tokens == 0 ? 0 : (double)results->wasted_tokens / (double)results->reusable_tokens;
    json_t *body = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f}", "programs_finished", (json_int_t)results->programs_finished,
        "programs_failed", (json_int_t)results->programs_failed, "turns", (json_int_t)results->turns, "refused",
        (json_int_t)results->refused, "unknown", (json_int_t)results->unknown, "wrong_answers",
        (json_int_t)results->wrong_answers, "prompt_tokens", (json_int_t)results->prompt_tokens, "completion_tokens",
        (json_int_t)results->completion_tokens, "reusable_tokens", (json_int_t)results->reusable_tokens,
        "wasted_tokens", (json_int_t)results->wasted_tokens, "wasted_share", wasted);
    json_object_set_new(body, "create_ms", samples_report(&results->create));
    json_object_set_new(body, "first_token_ms", samples_report(&results->first_token));
    json_object_set_new(body, "between_tokens_ms", samples_report(&results->inter_token));
    json_object_set_new(body, "turn_ms", samples_report(&results->turn));
    json_object_set_new(body, "program_ms", samples_report(&results->program));
    return body;
}

static json_t *report_daemons(const struct bench *bench)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < bench->config.gateway_count; i++) {
        json_array_append_new(list,
                              json_pack("{s:s,s:f,s:f,s:f,s:f,s:f}", "url", bench->config.gateways[i], "cpu_seconds",
                                        bench->cpu_seconds[i], "memory_before", bench->memory_before[i], "memory_peak",
                                        bench->memory_peak[i], "memory_after", bench->memory_after[i], "streams_peak",
                                        bench->streams_peak[i]));
    }
    return list;
}

bool bench_report(struct bench *bench, const char *path)
{
    const struct bench_config *config = &bench->config;
    json_t *body = json_pack("{s:s,s:s,s:f,s:f,s:f,s:I,s:I,s:I,s:f}", "mix", config->mix.name, "policy", config->policy,
                             "program_rate", config->program_rate, "plain_rate", config->plain_rate, "seconds",
                             config->seconds, "seed", (json_int_t)config->seed, "dropped", (json_int_t)bench->dropped,
                             "most_open", (json_int_t)bench->most_open, "wall_seconds", bench->wall_seconds);
    if (config->gateway_count > 0) {
        json_object_set_new(body, "gateway", report_results(&bench->results[BENCH_GATEWAY]));
        json_object_set_new(body, "daemons", report_daemons(bench));
    }
    if (config->engine_count > 0) {
        json_object_set_new(body, "direct", report_results(&bench->results[BENCH_DIRECT]));
    }
    if (config->plain_rate > 0) {
        json_t *plain = samples_report(&bench->plain);
        json_object_set_new(plain, "failed", json_integer((json_int_t)bench->plain_failed));
        json_object_set_new(body, "plain_ms", plain);
    }
    bool written = true;
    if (path == NULL) {
        json_dumpf(body, stdout, JSON_INDENT(2));
        printf("\n");
    } else {
        written = json_dump_file(body, path, JSON_INDENT(2)) == 0;
    }
    json_decref(body);
    return written;
}
