/* The load: programs and their calls, and configuration changes. */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/message.h"
#include "core/state_machine.h"
#include "operator.pb.h"
#include "scale/scale.h"

enum {
    GENERATE_CREATE_WINDOW = 64, /* creations under way a thread */
    GENERATE_PICKS = 8,          /* programs looked at to find an idle one */
    GENERATE_TEXT_BYTES = 1 << 16,
    GENERATE_PROMPT_BOUND = 1000,
    GENERATE_ANSWER_TOKENS = 350,
    GENERATE_TIMEOUT_MS = 60000
};

uint64_t scale_random(struct scale_thread *thread, uint64_t limit)
{
    thread->random = thread->random * 6364136223846793005U + 1442695040888963407U;
    return (thread->random >> 33) % limit;
}

static double generate_exponential(struct scale_thread *thread, double mean)
{
    double uniform = ((double)scale_random(thread, 1U << 30) + 0.5) / (double)(1U << 30);
    return -mean * log(uniform);
}

static struct hollow *generate_pick_gateway(struct scale_thread *thread)
{
    return &thread->hollows[scale_random(thread, thread->hollow_count)];
}

/* ---- Programs ----------------------------------------------------------------------- */

static void generate_create(struct scale_thread *thread, struct scale_program *program)
{
    snprintf(program->id, sizeof(program->id), "p%08x-%016" PRIx64, (uint32_t)scale_random(thread, 1U << 31),
             clock_wall_ms() * SCALE_MAX_THREADS + thread->number);
    program->call = 1;
    Entry entry = {0};
    entry.which_command = Entry_program_create_tag;
    entry.command.program_create.id = program->id;
    entry.command.program_create.tenant = (char *)(uintptr_t) "tenant-1";
    entry.command.program_create.policy = (char *)(uintptr_t) "policy";
    thread->creating++;
    hollow_propose(generate_pick_gateway(thread), state_machine_group_of(program->id, thread->scale->config.groups),
                   &entry, program);
}

/* Text of a drawn length; one buffer serves all, each thread only reads it. */
static char *generate_text(struct scale_thread *thread)
{
    double length = generate_exponential(thread, thread->scale->config.message_bytes);
    size_t bytes = length < GENERATE_TEXT_BYTES - 64 ? (size_t)length : GENERATE_TEXT_BYTES - 64;
    struct buffer text = {0};
    buffer_append_text(&text, "{\"role\":\"user\",\"content\":\"");
    while (text.length < bytes) {
        buffer_printf(&text, "%016" PRIx64 " ", thread->random + text.length);
    }
    buffer_append_text(&text, "\"}");
    return buffer_text(&text);
}

static void generate_begin(struct scale_thread *thread, struct scale_program *program, uint32_t gateway)
{
    struct hollow *hollow = &thread->hollows[gateway];
    char *messages = generate_text(thread);
    snprintf(program->attempt, sizeof(program->attempt), "%016" PRIx64 "%016" PRIx64, thread->random, clock_wall_ms());
    Entry entry = {0};
    entry.which_command = Entry_call_begin_tag;
    CallBegin *begin = &entry.command.call_begin;
    begin->program = program->id;
    begin->tenant = (char *)(uintptr_t) "tenant-1";
    begin->call = program->call;
    begin->attempt = program->attempt;
    begin->gateway = hollow->client.config.node;
    begin->gateway_epoch = hollow->client.epoch;
    begin->repeatable = true;
    begin->new_tokens_bound = GENERATE_PROMPT_BOUND;
    begin->max_tokens = GENERATE_ANSWER_TOKENS;
    begin->body_hash = program->call;
    begin->timeout_ms = GENERATE_TIMEOUT_MS;
    begin->messages = messages;
    program->gateway = gateway;
    program->finishing = false;
    program->sent_us = clock_monotonic_us();
    program->state = SCALE_PROGRAM_BUSY;
    hollow_propose(hollow, state_machine_group_of(program->id, thread->scale->config.groups), &entry, program);
    free(messages);
}

static void generate_finish(struct scale_thread *thread, struct scale_program *program)
{
    char *answer = generate_text(thread);
    char engine[48];
    snprintf(engine, sizeof(engine), "http://10.0.%u.%u:8000", program->gateway % 2, program->gateway % 250);
    Entry entry = {0};
    entry.which_command = Entry_call_finish_tag;
    CallFinish *finish = &entry.command.call_finish;
    finish->program = program->id;
    finish->call = program->call;
    finish->attempt = program->attempt;
    finish->answer = answer;
    finish->prompt_tokens = GENERATE_PROMPT_BOUND;
    finish->completion_tokens = GENERATE_ANSWER_TOKENS;
    finish->cached_tokens = GENERATE_PROMPT_BOUND / 2;
    finish->engine = engine;
    finish->finish_reason = (char *)(uintptr_t) "stop";
    program->finishing = true;
    program->sent_us = clock_monotonic_us();
    hollow_propose(&thread->hollows[program->gateway],
                   state_machine_group_of(program->id, thread->scale->config.groups), &entry, program);
    free(answer);
}

static void generate_call(struct scale_thread *thread)
{
    for (int pick = 0; pick < GENERATE_PICKS; pick++) {
        struct scale_program *program = &thread->programs[scale_random(thread, thread->program_count)];
        uint32_t gateway = (uint32_t)scale_random(thread, thread->hollow_count);
        if (program->state == SCALE_PROGRAM_IDLE &&
            control_client_has_lease(&thread->hollows[gateway].client, thread->now_ms)) {
            generate_begin(thread, program, gateway);
            return;
        }
    }
    thread->skipped++;
}

void scale_generate(struct scale_thread *thread)
{
    const struct scale_config *config = &thread->scale->config;
    while (thread->started < thread->program_count && thread->creating < GENERATE_CREATE_WINDOW) {
        generate_create(thread, &thread->programs[thread->started++]);
    }
    bool measuring = __atomic_load_n(&thread->scale->measuring, __ATOMIC_ACQUIRE);
    if (!measuring || config->calls_per_second <= 0 || thread->program_count == 0) {
        return;
    }
    double now_us = (double)clock_monotonic_us();
    double mean_us = 1e6 * config->threads / config->calls_per_second;
    if (thread->next_call_us == 0) {
        thread->next_call_us = now_us;
    }
    while (thread->next_call_us <= now_us) {
        generate_call(thread);
        thread->next_call_us += generate_exponential(thread, mean_us);
    }
}

static void generate_created(struct scale_thread *thread, struct scale_program *program, ResultCode code)
{
    thread->creating--;
    if (code != RESULT_OK && code != RESULT_ALREADY_EXISTS) {
        thread->refused++;
        generate_create(thread, program);
        return;
    }
    program->state = SCALE_PROGRAM_IDLE;
    __atomic_fetch_add(&thread->scale->created, 1, __ATOMIC_RELAXED);
}

static void generate_call_ended(struct scale_thread *thread, struct scale_program *program, ResultCode code)
{
    struct scale *scale = thread->scale;
    double took_ms = (double)(clock_monotonic_us() - program->sent_us) / 1000.0;
    if (code != RESULT_OK) {
        thread->refused++;
        program->state = SCALE_PROGRAM_IDLE;
        return;
    }
    samples_add(program->finishing ? &scale->finish : &scale->begin, took_ms);
    if (!program->finishing) {
        generate_finish(thread, program);
        return;
    }
    program->call++;
    program->state = SCALE_PROGRAM_IDLE;
    thread->calls++;
}

void scale_complete(struct hollow *hollow, struct scale_program *program, ResultCode code, uint64_t revision)
{
    struct scale *scale = hollow->thread->scale;
    if (__atomic_load_n(&scale->stopping, __ATOMIC_ACQUIRE)) {
        return;
    }
    if (program == NULL) {
        scale->changes[scale->change_count - 1].revision = code == RESULT_OK ? revision : 0;
        scale->change_waits = false;
        __atomic_fetch_add(&scale->configured, 1, __ATOMIC_RELEASE);
    } else if (program->state == SCALE_PROGRAM_NEW) {
        generate_created(hollow->thread, program, code);
    } else {
        generate_call_ended(hollow->thread, program, code);
    }
}

/* ---- Configuration -------------------------------------------------------------------- */

static void generate_put(struct scale *scale, ConfigOperation operation, ResourceKind kind, const char *name,
                         const pb_msgdesc_t *fields, const void *resource)
{
    struct buffer body = {0};
    char request_id[64];
    message_encode(&body, fields, resource);
    snprintf(request_id, sizeof(request_id), "scale-%u-%" PRIu64, scale->change_count, clock_wall_ms());
    Entry entry = {0};
    entry.which_command = Entry_config_change_tag;
    ConfigChange *change = &entry.command.config_change;
    change->request_id = request_id;
    change->operation = operation;
    change->kind = kind;
    change->name = (char *)(uintptr_t)name;
    change->body = buffer_view(&body);
    hollow_propose(&scale->threads[0].hollows[0], 0, &entry, NULL);
    buffer_close(&body);
}

static void generate_put_tenant(struct scale *scale, ConfigOperation operation, uint32_t number, uint32_t weight)
{
    char name[32];
    char key[64];
    snprintf(name, sizeof(name), "tenant-%u", number);
    snprintf(key, sizeof(key), "key-of-tenant-%u-%08x", number, number * 2654435761U);
    Tenant tenant = {0};
    tenant.name = name;
    tenant.api_key = key;
    tenant.weight = weight;
    generate_put(scale, operation, RESOURCE_TENANT, name, Tenant_fields, &tenant);
}

static void generate_put_pool(struct scale *scale, uint32_t number, uint32_t engines)
{
    char name[32];
    snprintf(name, sizeof(name), "pool-%u", number);
    Pool pool = {0};
    pool.name = name;
    pool.model = name;
    pool.engines = memory_new(engines * sizeof(*pool.engines));
    pool.engines_count = (pb_size_t)engines;
    for (uint32_t i = 0; i < engines; i++) {
        struct buffer text = {0};
        buffer_printf(&text, "engine-%u-%u", number, i);
        pool.engines[i].name = buffer_text(&text);
        struct buffer url = {0};
        buffer_printf(&url, "http://10.%u.%u.%u:8000", number, i / 250, i % 250);
        pool.engines[i].base_url = buffer_text(&url);
        pool.engines[i].zone = text_copy("zone-1");
    }
    generate_put(scale, CONFIG_CREATE, RESOURCE_POOL, name, Pool_fields, &pool);
    for (uint32_t i = 0; i < engines; i++) {
        free(pool.engines[i].name);
        free(pool.engines[i].base_url);
        free(pool.engines[i].zone);
    }
    free(pool.engines);
}

uint32_t scale_setup_changes(const struct scale_config *config)
{
    return config->tenants + (config->engines == 0 ? 0 : config->pools);
}

void scale_change_next(struct scale *scale)
{
    const struct scale_config *config = &scale->config;
    uint32_t number = scale->change_count;
    bool ready = control_client_has_lease(&scale->threads[0].hollows[0].client, scale->threads[0].now_ms);
    if (scale->change_waits || !ready || number == SCALE_MAX_CHANGES) {
        return;
    }
    scale->changes[number].submitted_us = clock_monotonic_us();
    scale->change_count++;
    scale->change_waits = true;
    if (number < config->tenants) {
        generate_put_tenant(scale, CONFIG_CREATE, number + 1, 1);
    } else if (number < scale_setup_changes(config)) {
        generate_put_pool(scale, number - config->tenants, config->engines / config->pools);
    } else {
        generate_put_tenant(scale, CONFIG_UPDATE, 1 + number % config->tenants, 2 + number % 7);
    }
}

void scale_note_revision(struct hollow *hollow, uint64_t revision)
{
    struct scale *scale = hollow->thread->scale;
    uint64_t now_us = clock_monotonic_us();
    if (__atomic_load_n(&scale->measuring, __ATOMIC_ACQUIRE)) {
        uint64_t advanced = revision - hollow->revision;
        pthread_mutex_lock(&scale->lock);
        scale->arrivals = memory_resize(scale->arrivals, (scale->arrival_count + advanced) * sizeof(*scale->arrivals));
        for (uint64_t known = hollow->revision + 1; known <= revision; known++) {
            scale->arrivals[scale->arrival_count++] = (struct scale_arrival){.revision = known, .time_us = now_us};
        }
        pthread_mutex_unlock(&scale->lock);
    }
    hollow->revision = revision;
}

void scale_join_changes(struct scale *scale)
{
    for (size_t i = 0; i < scale->arrival_count; i++) {
        const struct scale_arrival *arrival = &scale->arrivals[i];
        for (uint32_t j = scale_setup_changes(&scale->config); j < scale->change_count; j++) {
            const struct scale_change *change = &scale->changes[j];
            if (change->revision == arrival->revision) {
                samples_add(&scale->in_force, (double)(arrival->time_us - change->submitted_us) / 1000.0);
            }
        }
    }
}
