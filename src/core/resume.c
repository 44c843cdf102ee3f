#include "core/resume.h"

resume_way_t resume_decide(const resume_view_t *view)
{
    if (!view->resumable || view->resumes >= RESUME_MAX || view->left_ms < RESUME_LEAST_MS) {
        return RESUME_NOT;
    }
    if (view->server_gone) {
        return RESUME_OTHER;
    }
    bool others_allowed = view->servers < view->max_attempts;
    if (view->server_closed) {
        return others_allowed ? RESUME_OTHER : RESUME_NOT;
    }
    return others_allowed && view->resumes >= RESUME_SAME_MAX ? RESUME_OTHER : RESUME_SAME;
}
