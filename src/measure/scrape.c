#include "measure/scrape.h"

#include <stdlib.h>
#include <string.h>

#include "net/http_client.h"

enum { SCRAPE_TIMEOUT_MS = 2000 };

static bool scrape_append_body(void *context, int status, struct view data)
{
    (void)status;
    buffer_append(context, data.data, data.length);
    return true;
}

void scrape_fetch(const char *base_url, struct buffer *page)
{
    struct buffer url = {0};
    int status = 0;
    size_t length_before = page->length;
    buffer_printf(&url, "%s/metrics", base_url);
    struct http_request request = {
        .method = "GET",
        .url = buffer_text(&url),
        .timeout_ms = SCRAPE_TIMEOUT_MS,
        .connect_timeout_ms = SCRAPE_TIMEOUT_MS,
        .context = page,
        .on_data = scrape_append_body,
    };
    if (http_client_run(&request, &status) != HTTP_TRANSFER_DONE) {
        page->length = length_before;
    }
    buffer_close(&url);
}

double scrape_value(struct buffer *page, const char *name)
{
    struct buffer line = {0};
    buffer_printf(&line, "\n%s ", name);
    const char *match = strstr(buffer_text(page), buffer_text(&line));
    double value = match == NULL ? 0 : strtod(match + line.length, NULL);
    buffer_close(&line);
    return value;
}
