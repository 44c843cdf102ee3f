/*
 * Hand-over of programs from an old site to the new site, that of --server. "handover
 * run" runs all steps and can be repeated after any failure; prepare, commit and abort
 * run one step.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/message.h"
#include "ctl/ctl.h"

static const char *ctl_handover_state(HandoverState state)
{
    static const char *const names[] = {"prepared", "imported", "committed", "aborted"};
    return (size_t)state < sizeof(names) / sizeof(names[0]) ? names[state] : "unknown";
}

static json_t *ctl_old_site_step(const struct ctl_options *options, const char *program, const char *step)
{
    struct buffer url = {0};
    buffer_printf(&url, "%s/programs/%s/%s", options->old_site, program, step);
    json_t *body = json_pack("{s:I}", "epoch", (json_int_t)options->epoch);
    json_t *response = ctl_post_json(buffer_text(&url), body);
    json_decref(body);
    buffer_close(&url);
    return response;
}

static bool ctl_new_site_step(const struct ctl_options *options, const char *method, const Handover *handover)
{
    HandoverRequest request = HandoverRequest_init_zero;
    HandoverResponse response = HandoverResponse_init_zero;
    struct buffer reply = {0};
    request.has_handover = true;
    request.handover = *handover;
    bool done = ctl_call(options, method, HandoverRequest_fields, &request, &reply) &&
                message_decode(buffer_view(&reply), HandoverResponse_fields, &response);
    if (done) {
        printf("%s: %s, next call %u, %llu tokens spent\n", response.handover.program_id,
               ctl_handover_state(response.handover.state), response.handover.next_call,
               (unsigned long long)response.handover.spent_tokens);
        message_free(HandoverResponse_fields, &response);
    }
    buffer_close(&reply);
    return done;
}

/* Fills a hand-over from the old site's export, which may be NULL and keeps ownership of the strings.
 * Returns history_json, or NULL; the caller frees it. */
static char *ctl_fill_handover(const struct ctl_options *options, const char *program, const json_t *export,
                               Handover *handover)
{
    memset(handover, 0, sizeof(*handover));
    handover->program_id = (char *)(uintptr_t)program;
    handover->old_site = (char *)(uintptr_t)options->old_site_name;
    handover->old_epoch = options->epoch;
    handover->tenant = (char *)(uintptr_t)json_string_value(json_object_get(export, "tenant"));
    handover->policy = (char *)(uintptr_t)json_string_value(json_object_get(export, "policy"));
    handover->budget_tokens = (uint64_t)json_integer_value(json_object_get(export, "budget_tokens"));
    handover->spent_tokens = (uint64_t)json_integer_value(json_object_get(export, "spent_tokens"));
    handover->next_call = (uint32_t)json_integer_value(json_object_get(export, "next_call"));
    handover->context_tokens = (uint64_t)json_integer_value(json_object_get(export, "context_tokens"));
    const json_t *history = json_object_get(export, "history");
    handover->history_json = history == NULL ? NULL : json_dumps(history, JSON_COMPACT);
    return handover->history_json;
}

/* Prepares at the new site and at the old site, imports, then commits in the same order.
 * The commit at the new site transfers ownership: from then on calls may run only there. */
static bool ctl_handover_run(const struct ctl_options *options, const char *program)
{
    Handover handover;
    ctl_fill_handover(options, program, NULL, &handover);
    if (!ctl_new_site_step(options, "PrepareHandover", &handover)) {
        return false;
    }
    json_t *export = ctl_old_site_step(options, program, "prepare");
    if (export == NULL) {
        return false;
    }
    char *history = ctl_fill_handover(options, program, export, &handover);
    bool done = ctl_new_site_step(options, "ImportHandover", &handover) &&
                ctl_new_site_step(options, "CommitHandover", &handover);
    free(history);
    json_decref(export);
    if (!done) {
        return false;
    }
    json_t *committed = ctl_old_site_step(options, program, "commit");
    json_decref(committed);
    return committed != NULL;
}

static bool ctl_handover_step(const struct ctl_options *options, const char *step, const char *program)
{
    Handover handover;
    ctl_fill_handover(options, program, NULL, &handover);
    if (strcmp(step, "prepare") == 0) {
        return ctl_new_site_step(options, "PrepareHandover", &handover);
    }
    if (strcmp(step, "commit") == 0) {
        return ctl_new_site_step(options, "CommitHandover", &handover);
    }
    bool aborted = ctl_new_site_step(options, "AbortHandover", &handover);
    json_t *response = aborted && options->old_site != NULL ? ctl_old_site_step(options, program, "abort") : NULL;
    json_decref(response);
    return aborted;
}

int ctl_handover(const struct ctl_options *options, int count, char **arguments)
{
    static const char *const steps[] = {"run", "prepare", "commit", "abort"};
    bool known = false;
    for (size_t i = 0; count > 1 && i < sizeof(steps) / sizeof(steps[0]); i++) {
        known = known || strcmp(arguments[0], steps[i]) == 0;
    }
    if (!known) {
        fprintf(stderr, "bankbankctl: usage: handover run|prepare|commit|abort PROGRAM...\n");
        return CTL_EXIT_USAGE;
    }
    bool run = strcmp(arguments[0], "run") == 0;
    if (run && options->old_site == NULL) {
        fprintf(stderr, "bankbankctl: handover run requires --old-site URL\n");
        return CTL_EXIT_USAGE;
    }
    int failed = 0;
    for (int i = 1; i < count; i++) {
        bool done =
            run ? ctl_handover_run(options, arguments[i]) : ctl_handover_step(options, arguments[0], arguments[i]);
        failed += done ? 0 : 1;
    }
    return failed == 0 ? 0 : CTL_EXIT_FAILURE;
}
