#include "proxy/caller_headers.h"

const char CALLER_HEADERS_LAST_EVENT[] = "Last-Event-Id";

static bool caller_header_is_system(const struct dialect *dialect, struct view name)
{
    for (const char *const *system = dialect->system_headers; *system != NULL; system++) {
        if (http_name_equal(name, *system)) {
            return true;
        }
    }
    return false;
}

static bool caller_header_passes(const struct dialect *dialect, const struct http_reader *request,
                                 caller_headers_use_t use, struct view name)
{
    bool stale_event_id = use == CALLER_HEADERS_RESUMED && http_name_equal(name, CALLER_HEADERS_LAST_EVENT);
    return !stale_event_id && !http_reader_is_hop_by_hop(request, name) && !caller_header_is_system(dialect, name);
}

void caller_headers_write(const struct dialect *dialect, const struct http_reader *request, caller_headers_use_t use,
                          struct buffer *out)
{
    for (int i = 0; i < request->header_count; i++) {
        const struct http_header *header = &request->headers[i];
        if (caller_header_passes(dialect, request, use, header->name)) {
            buffer_append(out, header->name.data, header->name.length);
            buffer_append(out, ": ", 2);
            buffer_append(out, header->value.data, header->value.length);
            buffer_append(out, "\r\n", 2);
        }
    }
}
