#include "core/resume.h"

resume_target_t resume_decide(const resume_stream_t *stream)
{
    if (!stream->resumable || stream->resumes >= RESUME_MAX || stream->left_ms < RESUME_MIN_REMAINING_MS) {
        return RESUME_NONE;
    }
    if (stream->server_gone) {
        return RESUME_OTHER;
    }
    bool others_allowed = stream->servers_used < stream->max_attempts;
    if (stream->server_zone_drained) {
        return others_allowed ? RESUME_OTHER : RESUME_NONE;
    }
    bool leaves = stream->stalled || stream->resumes >= RESUME_SAME_MAX;
    return others_allowed && leaves ? RESUME_OTHER : RESUME_SAME;
}

uint32_t resume_backoff_ms(const resume_stream_t *stream)
{
    uint32_t backoff_ms = RESUME_BACKOFF_MS;
    if (!stream->stalled) {
        return 0;
    }
    for (uint32_t i = 1; i < stream->resumes && backoff_ms < RESUME_BACKOFF_MAX_MS; i++) {
        backoff_ms *= 2;
    }
    return backoff_ms;
}
