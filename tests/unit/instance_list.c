/* Parsing of the platform's instance list: invalid entries are skipped, all others are kept. */
#include <stdio.h>
#include <string.h>

#include "base/message.h"
#include "platform.h"
#include "suite.h"

typedef struct test_entry_t {
    const char *name;
    const char *text;
    size_t length;
} test_entry_t;

#define ENTRY(name, text)                                                                                              \
    {                                                                                                                  \
        name, text, sizeof(text) - 1                                                                                   \
    }
/* A valid entry with the value of one field replaced by `text`. */
#define ID(text)                                                                                                       \
    "{\"id\":" text ",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"    \
    "\"state\":\"ready\",\"cold-remaining-ms\":0}"
#define SERVICE(text)                                                                                                  \
    "{\"id\":\"i9\",\"service\":" text ",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"   \
    "\"state\":\"ready\",\"cold-remaining-ms\":0}"
#define ADDRESS(text)                                                                                                  \
    "{\"id\":\"i9\",\"service\":\"s\",\"address\":" text ",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"             \
    "\"state\":\"ready\",\"cold-remaining-ms\":0}"
#define ZONE(text)                                                                                                     \
    "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":" text ",\"version\":\"v1\",\"slots\":4,"   \
    "\"state\":\"ready\",\"cold-remaining-ms\":0}"
#define VERSION(text)                                                                                                  \
    "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":" text ",\"slots\":4,"    \
    "\"state\":\"ready\",\"cold-remaining-ms\":0}"
#define SLOTS(text)                                                                                                    \
    "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" text   \
    ",\"state\":\"ready\",\"cold-remaining-ms\":0}"
#define STATE(text)                                                                                                    \
    "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"      \
    "\"state\":" text ",\"cold-remaining-ms\":0}"
#define COLD(text)                                                                                                     \
    "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"      \
    "\"state\":\"ready\",\"cold-remaining-ms\":" text "}"
/* A valid entry with an additional field. */
#define EXTRA(field)                                                                                                   \
    "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"      \
    "\"state\":\"ready\",\"cold-remaining-ms\":0," field "}"
#define NESTED_16 "[[[[[[[[[[[[[[[["
#define CLOSED_16 "]]]]]]]]]]]]]]]]"
#define NESTED_80 NESTED_16 NESTED_16 NESTED_16 NESTED_16 NESTED_16
#define CLOSED_80 CLOSED_16 CLOSED_16 CLOSED_16 CLOSED_16 CLOSED_16

static const char VALID_ENTRY[] =
    "{\"id\":\"%s\",\"service\":\"s\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
    "\"state\":\"ready\",\"cold-remaining-ms\":0,\"phase\":\"both\",\"models\":[{\"name\":\"m,{\\\"\",\"version\":1,"
    "\"adapters\":[]}],\"unknown\":[1]}";

static const test_entry_t invalid_entries[] = {
    ENTRY("missing address", "{\"id\":\"i9\",\"service\":\"s\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
                             "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("missing id", "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
                        "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("missing service", "{\"id\":\"i9\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
                             "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("missing zone", "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"slots\":4,"
                          "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("missing version", "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":4,"
                             "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("missing slots",
          "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\","
          "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("missing state",
          "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\","
          "\"slots\":4,\"cold-remaining-ms\":0}"),
    ENTRY("missing cold-remaining-ms", "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
                                       "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\"}"),
    ENTRY("id is a number", ID("7")),
    ENTRY("id is null", ID("null")),
    ENTRY("id is true", ID("true")),
    ENTRY("id is a list", ID("[\"i9\"]")),
    ENTRY("id is an object", ID("{\"id\":\"i9\"}")),
    ENTRY("id is empty", ID("\"\"")),
    ENTRY("id with a line break", ID("\"i9\\r\\nX: y\"")),
    ENTRY("id with a zero byte", ID("\"i\\u00009\"")),
    ENTRY("service is a number", SERVICE("7")),
    ENTRY("service is null", SERVICE("null")),
    ENTRY("service is a list", SERVICE("[]")),
    ENTRY("service is empty", SERVICE("\"\"")),
    ENTRY("address is a number", ADDRESS("80")),
    ENTRY("address is null", ADDRESS("null")),
    ENTRY("address is an object", ADDRESS("{}")),
    ENTRY("address is empty", ADDRESS("\"\"")),
    ENTRY("address without port", ADDRESS("\"10.0.0.9\"")),
    ENTRY("address with an empty port", ADDRESS("\"10.0.0.9:\"")),
    ENTRY("address with port 0", ADDRESS("\"10.0.0.9:0\"")),
    ENTRY("address with a port over 16 bits", ADDRESS("\"10.0.0.9:65536\"")),
    ENTRY("address with a port over 32 bits", ADDRESS("\"10.0.0.9:4294967376\"")),
    ENTRY("address with a negative port", ADDRESS("\"10.0.0.9:-80\"")),
    ENTRY("address with a host name", ADDRESS("\"localhost:80\"")),
    ENTRY("address with an octet over 255", ADDRESS("\"10.0.0.999:80\"")),
    ENTRY("wildcard address", ADDRESS("\"0.0.0.0:80\"")),
    ENTRY("broadcast address", ADDRESS("\"255.255.255.255:80\"")),
    ENTRY("multicast address", ADDRESS("\"224.0.0.1:80\"")),
    ENTRY("address with trailing bytes", ADDRESS("\"10.0.0.9:80/x\"")),
    ENTRY("address is a URL", ADDRESS("\"http://10.0.0.9:80\"")),
    ENTRY("zone is a number", ZONE("7")),
    ENTRY("zone is null", ZONE("null")),
    ENTRY("zone is a list", ZONE("[]")),
    ENTRY("zone is empty", ZONE("\"\"")),
    ENTRY("version is a number", VERSION("1")),
    ENTRY("version is null", VERSION("null")),
    ENTRY("version is an object", VERSION("{}")),
    ENTRY("slots is a string", SLOTS("\"4\"")),
    ENTRY("slots is null", SLOTS("null")),
    ENTRY("slots is a fraction", SLOTS("4.5")),
    ENTRY("slots is true", SLOTS("true")),
    ENTRY("slots is a list", SLOTS("[4]")),
    ENTRY("slots is negative", SLOTS("-1")),
    ENTRY("slots over 32 bits", SLOTS("4294967296")),
    ENTRY("slots over 64 bits", SLOTS("99999999999999999999999999")),
    ENTRY("state is a number", STATE("1")),
    ENTRY("state is null", STATE("null")),
    ENTRY("state is false", STATE("false")),
    ENTRY("state is empty", STATE("\"\"")),
    ENTRY("state \"sleeping\"", STATE("\"sleeping\"")),
    ENTRY("state in upper case", STATE("\"READY\"")),
    ENTRY("cold-remaining-ms is a string", COLD("\"0\"")),
    ENTRY("cold-remaining-ms is null", COLD("null")),
    ENTRY("cold-remaining-ms is a list", COLD("[0]")),
    ENTRY("born is a string", EXTRA("\"born\":\"1700000000000\"")),
    ENTRY("born is null", EXTRA("\"born\":null")),
    ENTRY("born is a fraction", EXTRA("\"born\":1.5")),
    ENTRY("born is negative", EXTRA("\"born\":-1")),
    ENTRY("born over 64 bits", EXTRA("\"born\":99999999999999999999999999")),
    ENTRY("phase is a number", EXTRA("\"phase\":7")),
    ENTRY("models is an object", EXTRA("\"models\":{}")),
    ENTRY("duplicate key", EXTRA("\"id\":\"i8\"")),
    ENTRY("nested too deeply", EXTRA("\"x\":" NESTED_80 CLOSED_80)),
    ENTRY("nested too deeply and not closed", EXTRA("\"x\":" NESTED_80)),
    ENTRY("invalid UTF-8 in a value", ID("\"i\xff\x39\"")),
    ENTRY("invalid UTF-8 in a key", EXTRA("\"\xc3\x28\":1")),
    ENTRY("truncated UTF-8 sequence before the closing quote", ID("\"i9\xe2\x82\"")),
    ENTRY("a zero byte", ID("\"i\0009\"")),
    ENTRY("a control byte", ID("\"i\0019\"")),
    ENTRY("unpaired surrogate", ID("\"\\ud800\"")),
    ENTRY("a number", "7"),
    ENTRY("null", "null"),
    ENTRY("a string", "\"i9\""),
    ENTRY("a string with braces and commas", "\"a,{},b\""),
    ENTRY("a list", "[]"),
    ENTRY("a list that contains an entry", "[1," ID("\"i9\"") "]"),
    ENTRY("an empty object", "{}"),
    ENTRY("an entry inside another object", "{\"of\":[0," ID("\"i9\"") "],\"x\":\"\xff\"}"),
    ENTRY("empty text", ""),
    ENTRY("bytes", "\xff\xfe\x00\x01"),
    ENTRY("an unclosed object with the key of the list", "{\"instances\":[\""),
    ENTRY("bytes with the key of the list", "w\005:instances\014\377\376V^\014\""),
    ENTRY("plain text", "sorry, no such server"),
    ENTRY("an unclosed object", "{"),
    ENTRY("an unclosed list", "[["),
    ENTRY("a closing brace", "}"),
    ENTRY("a closing bracket", "]"),
    ENTRY("an unclosed string", "\""),
    ENTRY("an entry truncated in a string", "{\"id\":\"i9"),
    ENTRY("an entry truncated in an escape sequence", "{\"id\":\"i9\\"),
    ENTRY("an entry truncated after a key", "{\"id\":"),
    ENTRY("an entry with an extra brace", ID("\"i9\"") "}"),
    ENTRY("bytes with quotes and brackets", "\x9c\"{\x80]}\"\"[{\"\xf0"),
};

enum { INVALID_COUNT = sizeof(invalid_entries) / sizeof(invalid_entries[0]) };

static struct buffer page;
static struct buffer token;
static ServerList list;
static server_entries_skipped_t skipped;

static bool read_page(void)
{
    message_free(ServerList_fields, &list);
    memset(&list, 0, sizeof(list));
    buffer_clear(&token);
    memset(&skipped, 0, sizeof(skipped));
    return platform_read_servers(buffer_view(&page), &list, &skipped, &token);
}

static void append_valid(const char *id, int host)
{
    buffer_printf(&page, VALID_ENTRY, id, host);
}

static void begin_page(void)
{
    buffer_clear(&page);
    buffer_append_text(&page, "{\"instances\":[");
}

static void end_page(void)
{
    buffer_append_text(&page, "],\"next-token\":\"p-50\"}");
}

static bool is_valid(const ServerRecord *record, const char *id)
{
    return text_equal(record->id, id) && text_equal(record->service, "s") && text_equal(record->zone, "z") &&
           text_equal(record->version, "v1") && record->slots == 4 && !record->draining && record->born == 0;
}

static void check_valid_entries(const char *name, const char *where, bool read, int expected_count)
{
    static const char *const ids[] = {"a", "b"};
    bool valid = read && list.servers_count == (pb_size_t)expected_count && text_equal(buffer_text(&token), "p-50");
    for (int i = 0; valid && i < expected_count; i++) {
        valid = is_valid(&list.servers[i], ids[i]);
    }
    ck_assert_msg(valid, "%s, %s: page read: %d, %d of %d servers, next token \"%s\"", name, where, read,
                  (int)list.servers_count, expected_count, buffer_text(&token));
}

START_TEST(an_invalid_entry_is_skipped)
{
    const test_entry_t *invalid = &invalid_entries[_i];
    begin_page();
    buffer_append(&page, invalid->text, invalid->length);
    end_page();
    check_valid_entries(invalid->name, "alone", read_page(), 0);
    begin_page();
    append_valid("a", 1);
    buffer_append_text(&page, ", ");
    buffer_append(&page, invalid->text, invalid->length);
    end_page();
    check_valid_entries(invalid->name, "last", read_page(), 1);
    begin_page();
    buffer_append(&page, invalid->text, invalid->length);
    buffer_append_text(&page, ",\n");
    append_valid("a", 1);
    end_page();
    check_valid_entries(invalid->name, "first", read_page(), 1);
    begin_page();
    append_valid("a", 1);
    buffer_append_text(&page, ",");
    buffer_append(&page, invalid->text, invalid->length);
    buffer_append_text(&page, ",");
    buffer_append(&page, invalid->text, invalid->length);
    buffer_append_text(&page, ",");
    append_valid("b", 2);
    end_page();
    check_valid_entries(invalid->name, "twice between valid entries", read_page(), 2);
}
END_TEST

START_TEST(two_invalid_entries_are_skipped)
{
    for (int k = 0; k < INVALID_COUNT; k++) {
        begin_page();
        append_valid("a", 1);
        buffer_append_text(&page, ",");
        buffer_append(&page, invalid_entries[_i].text, invalid_entries[_i].length);
        buffer_append_text(&page, ",");
        buffer_append(&page, invalid_entries[k].text, invalid_entries[k].length);
        buffer_append_text(&page, ",");
        append_valid("b", 2);
        end_page();
        check_valid_entries(invalid_entries[_i].name, invalid_entries[k].name, read_page(), 2);
    }
}
END_TEST

START_TEST(valid_entries_are_read)
{
    begin_page();
    buffer_append_text(&page, EXTRA("\"born\":1764720000123,\"phase\":null,\"further\":{\"a\":[1,\"]}\"]}"));
    buffer_append_text(&page, "," SLOTS("0") "," SLOTS("4294967295") "," STATE("\"draining\"") "," VERSION("\"\""));
    buffer_append_text(&page, "," COLD("1250.5") "," ADDRESS("\"127.0.0.1:080\"") "," ID("\"\xc3\xa9\""));
    end_page();
    ck_assert(read_page());
    ck_assert_int_eq(list.servers_count, 8);
    ck_assert(list.servers[0].born == 1764720000123ULL);
    ck_assert_uint_eq(list.servers[1].slots, 0);
    ck_assert_uint_eq(list.servers[2].slots, UINT32_MAX);
    ck_assert(list.servers[3].draining && !list.servers[2].draining);
    ck_assert_str_eq(list.servers[6].address, "127.0.0.1:80");
    ck_assert_str_eq(list.servers[7].id, "\xc3\xa9");
}
END_TEST

START_TEST(unknown_page_fields_are_ignored)
{
    buffer_clear(&page);
    buffer_append_text(&page, " {\"x\":[{\"instances\":[1]},\"]\"], \"next-token\" : \"p-50\" ,\"instances\" :\n[ ");
    append_valid("a", 1);
    buffer_append_text(&page, " ] ,\"y\":{\"instances\":[2]},\"z\":[3]} ");
    check_valid_entries("unknown fields", "around the list", read_page(), 1);
    begin_page();
    append_valid("a", 1);
    buffer_append_text(&page, ",{\"id\":\"i9");
    buffer_append_text(&page, "],\"next-token\":\"p-50\",\"z\":[3]}");
    check_valid_entries("unknown fields", "after a truncated entry", read_page(), 1);
    begin_page();
    buffer_append_text(&page, "],\"next-token\":null}");
    ck_assert(read_page());
    ck_assert_int_eq(list.servers_count, 0);
    ck_assert_uint_eq(token.length, 0);
}
END_TEST

START_TEST(a_truncated_page_is_rejected)
{
    begin_page();
    append_valid("a", 1);
    buffer_append_text(&page, ",");
    append_valid("b", 2);
    end_page();
    size_t full_length = page.length;
    for (size_t length = 0; length < full_length; length++) {
        page.length = length;
        ck_assert_msg(!read_page(), "the first %zu of %zu bytes were accepted as a page", length, full_length);
    }
    page.length = full_length;
    check_valid_entries("no invalid entry", "complete page", read_page(), 2);
}
END_TEST

START_TEST(malformed_pages_are_rejected)
{
    static const char *const texts[] = {
        "",
        "null",
        "[]",
        "{}",
        "sorry",
        "{\"instances\":null,\"next-token\":null}",
        "{\"instances\":{},\"next-token\":null}",
        "{\"instances\":[],\"next-token\":7}",
        "{\"instances\":[],\"next-token\":\"p 50\\r\\n\"}",
        "{\"instances\":[],\"instances\":[],\"next-token\":null}",
        "{\"instances\":[{}],\"instances\":[{}],\"next-token\":null}",
        "{\"next-token\":null,\"instances\":[],\"next-token\":null}",
        "{\"instances\":[],\"next-token\":null}}",
        "{\"instances\":[],\"x\":\"\xff\",\"next-token\":null}",
        "{\"of\":{\"instances\":[],\"next-token\":null}}",
    };
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        buffer_clear(&page);
        buffer_append_text(&page, texts[i]);
        ck_assert_msg(!read_page(), "%s was accepted as a page", texts[i]);
    }
}
END_TEST

/* The parser bounds its search for the ends of broken entries. */
START_TEST(a_page_of_many_broken_entries_is_rejected)
{
    begin_page();
    for (int i = 0; i < 200000; i++) {
        buffer_append_text(&page, "\"x\",{\"a\":\"b,");
    }
    end_page();
    ck_assert(!read_page());
}
END_TEST

START_TEST(skipped_entries_are_counted_by_fault)
{
    static const struct {
        const char *text;
        server_entry_fault_t fault;
    } cases[] = {
        {"{\"id\":\"\xff\"}", SERVER_ENTRY_UNREADABLE},
        {"{\"id\":\"i9", SERVER_ENTRY_UNREADABLE},
        {"[]", SERVER_ENTRY_MISSING},
        {"{\"id\":\"i9\"}", SERVER_ENTRY_MISSING},
        {ID("7"), SERVER_ENTRY_TYPE},
        {SLOTS("\"4\""), SERVER_ENTRY_TYPE},
        {SLOTS("-1"), SERVER_ENTRY_VALUE},
        {ADDRESS("\"x\""), SERVER_ENTRY_VALUE},
        {STATE("\"sleeping\""), SERVER_ENTRY_STATE},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        begin_page();
        buffer_append_text(&page, cases[i].text);
        buffer_append_text(&page, ",");
        append_valid("a", 1);
        end_page();
        ck_assert(read_page());
        ck_assert_msg(skipped.counts[cases[i].fault] == 1 && server_entries_skipped_total(&skipped) == 1,
                      "%s: expected fault counted %u times, %d entries skipped", cases[i].text,
                      skipped.counts[cases[i].fault], (int)server_entries_skipped_total(&skipped));
    }
}
END_TEST

/* ---- Several entries for one server -------------------------------------------------------- */

static void append_entry(const char *id, int host, uint64_t started_unix_ms)
{
    buffer_printf(&page,
                  "%s{\"id\":\"%s\",\"service\":\"s\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\",\"version\":\"v1\","
                  "\"slots\":4,\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":%llu}",
                  page.data[page.length - 1] == '[' ? "" : ",", id, host, (unsigned long long)started_unix_ms);
}

static void check_deduplicated(const char *expected, uint32_t duplicates)
{
    struct buffer text = {0};
    end_page();
    ck_assert(read_page());
    server_entries_deduplicate(&list, &skipped);
    for (pb_size_t i = 0; i < list.servers_count; i++) {
        buffer_printf(&text, "%s%s@%s", i == 0 ? "" : " ", list.servers[i].id, list.servers[i].address);
    }
    ck_assert_str_eq(buffer_text(&text), expected);
    ck_assert_uint_eq(skipped.counts[SERVER_ENTRY_DUPLICATE], duplicates);
    ck_assert_uint_eq(server_entries_skipped_total(&skipped), duplicates);
    buffer_close(&text);
}

START_TEST(the_later_started_duplicate_id_is_kept)
{
    begin_page();
    append_entry("b", 1, 1000);
    append_entry("a", 2, 2000);
    append_entry("a", 3, 3000);
    append_entry("a", 4, 0);
    check_deduplicated("a@10.0.0.3:80 b@10.0.0.1:80", 2);
    begin_page();
    append_entry("a", 3, 3000);
    append_entry("a", 2, 2000);
    check_deduplicated("a@10.0.0.3:80", 1);
}
END_TEST

START_TEST(the_first_duplicate_id_with_equal_start_is_kept)
{
    begin_page();
    append_entry("c", 1, 0);
    for (int host = 2; host < 60; host++) {
        append_entry("a", host, 7);
        append_entry("b", 100 + host, 0);
    }
    check_deduplicated("a@10.0.0.2:80 b@10.0.0.102:80 c@10.0.0.1:80", 114);
}
END_TEST

START_TEST(duplicate_addresses_are_kept)
{
    begin_page();
    append_entry("b", 1, 2000);
    append_entry("a", 1, 1000);
    check_deduplicated("a@10.0.0.1:80 b@10.0.0.1:80", 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("instance_list");
    TCase *tests = tcase_create("page");
    tcase_add_loop_test(tests, an_invalid_entry_is_skipped, 0, INVALID_COUNT);
    tcase_add_loop_test(tests, two_invalid_entries_are_skipped, 0, INVALID_COUNT);
    tcase_add_test(tests, valid_entries_are_read);
    tcase_add_test(tests, unknown_page_fields_are_ignored);
    tcase_add_test(tests, a_truncated_page_is_rejected);
    tcase_add_test(tests, malformed_pages_are_rejected);
    tcase_add_test(tests, a_page_of_many_broken_entries_is_rejected);
    tcase_add_test(tests, skipped_entries_are_counted_by_fault);
    tcase_add_test(tests, the_later_started_duplicate_id_is_kept);
    tcase_add_test(tests, the_first_duplicate_id_with_equal_start_is_kept);
    tcase_add_test(tests, duplicate_addresses_are_kept);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
