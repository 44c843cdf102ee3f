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
    return others_allowed && stream->resumes >= RESUME_SAME_MAX ? RESUME_OTHER : RESUME_SAME;
}
