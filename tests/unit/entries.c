/* The platform's list of servers: entries of another writer name no server, and all others hold. */
#include <stdio.h>
#include <string.h>

#include "base/message.h"
#include "platform.h"
#include "suite.h"

/* An entry of another writer. */
typedef struct test_entry_t {
    const char *name;
    const char *text;
    size_t length;
} test_entry_t;

#define ENTRY(name, text)                                                                                              \
    {                                                                                                                  \
        name, text, sizeof(text) - 1                                                                                   \
    }
/* A good entry with one field, `key`, written as `text`. */
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
/* A good entry with a further field. */
#define FURTHER(field)                                                                                                 \
    "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"      \
    "\"state\":\"ready\",\"cold-remaining-ms\":0," field "}"
#define NESTED_16 "[[[[[[[[[[[[[[[["
#define CLOSED_16 "]]]]]]]]]]]]]]]]"
#define NESTED_80 NESTED_16 NESTED_16 NESTED_16 NESTED_16 NESTED_16
#define CLOSED_80 CLOSED_16 CLOSED_16 CLOSED_16 CLOSED_16 CLOSED_16

/* What the platform itself writes, as the stand-ins of tests write it. */
static const char GOOD[] =
    "{\"id\":\"%s\",\"service\":\"s\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
    "\"state\":\"ready\",\"cold-remaining-ms\":0,\"phase\":\"both\",\"models\":[{\"name\":\"m,{\\\"\",\"version\":1,"
    "\"adapters\":[]}],\"unknown\":[1]}";

static const test_entry_t foreign[] = {
    ENTRY("no address", "{\"id\":\"i9\",\"service\":\"s\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
                        "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("no id", "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
                   "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("no service", "{\"id\":\"i9\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
                        "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("no zone", "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"version\":\"v1\",\"slots\":4,"
                     "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("no version", "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":4,"
                        "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("no slots", "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\","
                      "\"state\":\"ready\",\"cold-remaining-ms\":0}"),
    ENTRY("no state", "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\","
                      "\"slots\":4,\"cold-remaining-ms\":0}"),
    ENTRY("no cold-remaining-ms", "{\"id\":\"i9\",\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
                                  "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\"}"),
    ENTRY("id a number", ID("7")),
    ENTRY("id null", ID("null")),
    ENTRY("id true", ID("true")),
    ENTRY("id a list", ID("[\"i9\"]")),
    ENTRY("id an object", ID("{\"id\":\"i9\"}")),
    ENTRY("id empty", ID("\"\"")),
    ENTRY("id with a line break", ID("\"i9\\r\\nX: y\"")),
    ENTRY("id with a zero byte", ID("\"i\\u00009\"")),
    ENTRY("service a number", SERVICE("7")),
    ENTRY("service null", SERVICE("null")),
    ENTRY("service a list", SERVICE("[]")),
    ENTRY("service empty", SERVICE("\"\"")),
    ENTRY("address a number", ADDRESS("80")),
    ENTRY("address null", ADDRESS("null")),
    ENTRY("address an object", ADDRESS("{}")),
    ENTRY("address empty", ADDRESS("\"\"")),
    ENTRY("address without port", ADDRESS("\"10.0.0.9\"")),
    ENTRY("address with an empty port", ADDRESS("\"10.0.0.9:\"")),
    ENTRY("address with port 0", ADDRESS("\"10.0.0.9:0\"")),
    ENTRY("address with a port beyond 16 bits", ADDRESS("\"10.0.0.9:65536\"")),
    ENTRY("address with a port beyond 32 bits", ADDRESS("\"10.0.0.9:4294967376\"")),
    ENTRY("address with a negative port", ADDRESS("\"10.0.0.9:-80\"")),
    ENTRY("address with a name", ADDRESS("\"localhost:80\"")),
    ENTRY("address with a number beyond 255", ADDRESS("\"10.0.0.999:80\"")),
    ENTRY("address of any machine", ADDRESS("\"0.0.0.0:80\"")),
    ENTRY("address of all machines", ADDRESS("\"255.255.255.255:80\"")),
    ENTRY("address of a group", ADDRESS("\"224.0.0.1:80\"")),
    ENTRY("address with more behind it", ADDRESS("\"10.0.0.9:80/x\"")),
    ENTRY("address of a URL", ADDRESS("\"http://10.0.0.9:80\"")),
    ENTRY("zone a number", ZONE("7")),
    ENTRY("zone null", ZONE("null")),
    ENTRY("zone a list", ZONE("[]")),
    ENTRY("zone empty", ZONE("\"\"")),
    ENTRY("version a number", VERSION("1")),
    ENTRY("version null", VERSION("null")),
    ENTRY("version an object", VERSION("{}")),
    ENTRY("slots a string", SLOTS("\"4\"")),
    ENTRY("slots null", SLOTS("null")),
    ENTRY("slots a fraction", SLOTS("4.5")),
    ENTRY("slots true", SLOTS("true")),
    ENTRY("slots a list", SLOTS("[4]")),
    ENTRY("slots negative", SLOTS("-1")),
    ENTRY("slots beyond 32 bits", SLOTS("4294967296")),
    ENTRY("slots beyond 64 bits", SLOTS("99999999999999999999999999")),
    ENTRY("state a number", STATE("1")),
    ENTRY("state null", STATE("null")),
    ENTRY("state false", STATE("false")),
    ENTRY("state empty", STATE("\"\"")),
    ENTRY("state \"sleeping\"", STATE("\"sleeping\"")),
    ENTRY("state in capitals", STATE("\"READY\"")),
    ENTRY("cold-remaining-ms a string", COLD("\"0\"")),
    ENTRY("cold-remaining-ms null", COLD("null")),
    ENTRY("cold-remaining-ms a list", COLD("[0]")),
    ENTRY("born a string", FURTHER("\"born\":\"1700000000000\"")),
    ENTRY("born null", FURTHER("\"born\":null")),
    ENTRY("born a fraction", FURTHER("\"born\":1.5")),
    ENTRY("born negative", FURTHER("\"born\":-1")),
    ENTRY("born beyond 64 bits", FURTHER("\"born\":99999999999999999999999999")),
    ENTRY("phase a number", FURTHER("\"phase\":7")),
    ENTRY("models an object", FURTHER("\"models\":{}")),
    ENTRY("a key twice", FURTHER("\"id\":\"i8\"")),
    ENTRY("nested too deep", FURTHER("\"x\":" NESTED_80 CLOSED_80)),
    ENTRY("nested too deep and not closed", FURTHER("\"x\":" NESTED_80)),
    ENTRY("not UTF-8 in a value", ID("\"i\xff\x39\"")),
    ENTRY("not UTF-8 in a key", FURTHER("\"\xc3\x28\":1")),
    ENTRY("a character cut off before the quote", ID("\"i9\xe2\x82\"")),
    ENTRY("a zero byte", ID("\"i\0009\"")),
    ENTRY("a control byte", ID("\"i\0019\"")),
    ENTRY("half of a pair", ID("\"\\ud800\"")),
    ENTRY("a number", "7"),
    ENTRY("null", "null"),
    ENTRY("a string", "\"i9\""),
    ENTRY("a string with what looks like an entry", "\"a,{},b\""),
    ENTRY("a list", "[]"),
    ENTRY("a list with an entry", "[1," ID("\"i9\"") "]"),
    ENTRY("an empty object", "{}"),
    ENTRY("an entry inside another one", "{\"of\":[0," ID("\"i9\"") "],\"x\":\"\xff\"}"),
    ENTRY("nothing", ""),
    ENTRY("bytes", "\xff\xfe\x00\x01"),
    ENTRY("a string not closed that names the list", "{\"instances\":[\""),
    ENTRY("what fuzzing found", "w\005:instances\014\377\376V^\014\""),
    ENTRY("words", "sorry, no such server"),
    ENTRY("an opened object", "{"),
    ENTRY("an opened list", "[["),
    ENTRY("a closed object", "}"),
    ENTRY("a closed list", "]"),
    ENTRY("an opened string", "\""),
    ENTRY("an entry cut off in a string", "{\"id\":\"i9"),
    ENTRY("an entry cut off in an escape", "{\"id\":\"i9\\"),
    ENTRY("an entry cut off after a key", "{\"id\":"),
    ENTRY("an entry with one bracket too many", ID("\"i9\"") "}"),
    ENTRY("bytes with quotes and brackets", "\x9c\"{\x80]}\"\"[{\"\xf0"),
};

enum { FOREIGN_COUNT = sizeof(foreign) / sizeof(foreign[0]) };

static struct buffer page;
static struct buffer token;
static ServerList list;
static server_entries_left_t left;

static bool read_page(void)
{
    message_free(ServerList_fields, &list);
    memset(&list, 0, sizeof(list));
    buffer_clear(&token);
    memset(&left, 0, sizeof(left));
    return platform_read_servers(buffer_view(&page), &list, &left, &token);
}

static void append_good(const char *id, int host)
{
    buffer_printf(&page, GOOD, id, host);
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

static bool is_good(const ServerRecord *record, const char *id)
{
    return text_equal(record->id, id) && text_equal(record->service, "s") && text_equal(record->zone, "z") &&
           text_equal(record->version, "v1") && record->slots == 4 && !record->draining && record->born == 0;
}

static void check_holds(const char *name, const char *where, bool read, int good)
{
    static const char *const ids[] = {"a", "b"};
    bool holds = read && list.servers_count == (pb_size_t)good && text_equal(buffer_text(&token), "p-50");
    for (int i = 0; holds && i < good; i++) {
        holds = is_good(&list.servers[i], ids[i]);
    }
    ck_assert_msg(holds, "%s, %s: read %d, servers %d of %d, next page \"%s\"", name, where, read,
                  (int)list.servers_count, good, buffer_text(&token));
}

START_TEST(an_entry_of_another_writer_names_no_server_and_the_others_hold)
{
    const test_entry_t *other = &foreign[_i];
    begin_page();
    buffer_append(&page, other->text, other->length);
    end_page();
    check_holds(other->name, "alone", read_page(), 0);
    begin_page();
    append_good("a", 1);
    buffer_append_text(&page, ", ");
    buffer_append(&page, other->text, other->length);
    end_page();
    check_holds(other->name, "last", read_page(), 1);
    begin_page();
    buffer_append(&page, other->text, other->length);
    buffer_append_text(&page, ",\n");
    append_good("a", 1);
    end_page();
    check_holds(other->name, "first", read_page(), 1);
    begin_page();
    append_good("a", 1);
    buffer_append_text(&page, ",");
    buffer_append(&page, other->text, other->length);
    buffer_append_text(&page, ",");
    buffer_append(&page, other->text, other->length);
    buffer_append_text(&page, ",");
    append_good("b", 2);
    end_page();
    check_holds(other->name, "twice between", read_page(), 2);
}
END_TEST

START_TEST(two_kinds_side_by_side_name_no_server)
{
    for (int k = 0; k < FOREIGN_COUNT; k++) {
        begin_page();
        append_good("a", 1);
        buffer_append_text(&page, ",");
        buffer_append(&page, foreign[_i].text, foreign[_i].length);
        buffer_append_text(&page, ",");
        buffer_append(&page, foreign[k].text, foreign[k].length);
        buffer_append_text(&page, ",");
        append_good("b", 2);
        end_page();
        check_holds(foreign[_i].name, foreign[k].name, read_page(), 2);
    }
}
END_TEST

START_TEST(what_the_platform_writes_is_read)
{
    begin_page();
    buffer_append_text(&page, FURTHER("\"born\":1764720000123,\"phase\":null,\"further\":{\"a\":[1,\"]}\"]}"));
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

START_TEST(further_fields_of_a_page_are_passed_over)
{
    buffer_clear(&page);
    buffer_append_text(&page, " {\"x\":[{\"instances\":[1]},\"]\"], \"next-token\" : \"p-50\" ,\"instances\" :\n[ ");
    append_good("a", 1);
    buffer_append_text(&page, " ] ,\"y\":{\"instances\":[2]},\"z\":[3]} ");
    check_holds("further fields", "around", read_page(), 1);
    begin_page();
    append_good("a", 1);
    buffer_append_text(&page, ",{\"id\":\"i9");
    buffer_append_text(&page, "],\"next-token\":\"p-50\",\"z\":[3]}");
    check_holds("further fields", "behind an entry cut off", read_page(), 1);
    begin_page();
    buffer_append_text(&page, "],\"next-token\":null}");
    ck_assert(read_page());
    ck_assert_int_eq(list.servers_count, 0);
    ck_assert_uint_eq(token.length, 0);
}
END_TEST

START_TEST(a_page_that_is_cut_off_is_not_read)
{
    begin_page();
    append_good("a", 1);
    buffer_append_text(&page, ",");
    append_good("b", 2);
    end_page();
    size_t whole = page.length;
    for (size_t length = 0; length < whole; length++) {
        page.length = length;
        ck_assert_msg(!read_page(), "%zu of %zu bytes were taken for a page", length, whole);
    }
    page.length = whole;
    check_holds("nothing", "whole", read_page(), 2);
}
END_TEST

START_TEST(what_is_no_page_is_not_read)
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
        ck_assert_msg(!read_page(), "%s was taken for a page", texts[i]);
    }
}
END_TEST

/* Broken text that would take long to search is given up. */
START_TEST(a_page_of_nothing_but_broken_entries_is_given_up)
{
    begin_page();
    for (int i = 0; i < 200000; i++) {
        buffer_append_text(&page, "\"x\",{\"a\":\"b,");
    }
    end_page();
    ck_assert(!read_page());
}
END_TEST

START_TEST(what_is_left_out_is_counted_by_its_kind)
{
    static const struct {
        const char *text;
        server_entry_fault_t fault;
    } kinds[] = {
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
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        begin_page();
        buffer_append_text(&page, kinds[i].text);
        buffer_append_text(&page, ",");
        append_good("a", 1);
        end_page();
        ck_assert(read_page());
        ck_assert_msg(left.counts[kinds[i].fault] == 1 && server_entries_sum(&left) == 1, "%s: %u of %d", kinds[i].text,
                      left.counts[kinds[i].fault], (int)server_entries_sum(&left));
    }
}
END_TEST

/* ---- Several entries for one server -------------------------------------------------------- */

static void append_life(const char *id, int host, uint64_t born)
{
    buffer_printf(&page,
                  "%s{\"id\":\"%s\",\"service\":\"s\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\",\"version\":\"v1\","
                  "\"slots\":4,\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":%llu}",
                  page.data[page.length - 1] == '[' ? "" : ",", id, host, (unsigned long long)born);
}

static void check_settled(const char *expected, uint32_t twice)
{
    struct buffer text = {0};
    end_page();
    ck_assert(read_page());
    server_entries_settle(&list, &left);
    for (pb_size_t i = 0; i < list.servers_count; i++) {
        buffer_printf(&text, "%s%s@%s", i == 0 ? "" : " ", list.servers[i].id, list.servers[i].address);
    }
    ck_assert_str_eq(buffer_text(&text), expected);
    ck_assert_uint_eq(left.counts[SERVER_ENTRY_TWICE], twice);
    ck_assert_uint_eq(server_entries_sum(&left), twice);
    buffer_close(&text);
}

START_TEST(of_an_id_that_stands_twice_the_later_life_holds)
{
    begin_page();
    append_life("b", 1, 1000);
    append_life("a", 2, 2000);
    append_life("a", 3, 3000);
    append_life("a", 4, 0);
    check_settled("a@10.0.0.3:80 b@10.0.0.1:80", 2);
    begin_page();
    append_life("a", 3, 3000);
    append_life("a", 2, 2000);
    check_settled("a@10.0.0.3:80", 1);
}
END_TEST

START_TEST(of_an_id_that_stands_twice_in_one_life_the_first_holds)
{
    begin_page();
    append_life("c", 1, 0);
    for (int host = 2; host < 60; host++) {
        append_life("a", host, 7);
        append_life("b", 100 + host, 0);
    }
    check_settled("a@10.0.0.2:80 b@10.0.0.102:80 c@10.0.0.1:80", 114);
}
END_TEST

START_TEST(of_an_address_that_stands_twice_both_hold)
{
    begin_page();
    append_life("b", 1, 2000);
    append_life("a", 1, 1000);
    check_settled("a@10.0.0.1:80 b@10.0.0.1:80", 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("entries");
    TCase *tests = tcase_create("page");
    tcase_add_loop_test(tests, an_entry_of_another_writer_names_no_server_and_the_others_hold, 0, FOREIGN_COUNT);
    tcase_add_loop_test(tests, two_kinds_side_by_side_name_no_server, 0, FOREIGN_COUNT);
    tcase_add_test(tests, what_the_platform_writes_is_read);
    tcase_add_test(tests, further_fields_of_a_page_are_passed_over);
    tcase_add_test(tests, a_page_that_is_cut_off_is_not_read);
    tcase_add_test(tests, what_is_no_page_is_not_read);
    tcase_add_test(tests, a_page_of_nothing_but_broken_entries_is_given_up);
    tcase_add_test(tests, what_is_left_out_is_counted_by_its_kind);
    tcase_add_test(tests, of_an_id_that_stands_twice_the_later_life_holds);
    tcase_add_test(tests, of_an_id_that_stands_twice_in_one_life_the_first_holds);
    tcase_add_test(tests, of_an_address_that_stands_twice_both_hold);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
