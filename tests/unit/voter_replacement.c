/* Tests the quorums of a group in which a voter is being replaced (core/raft.h). */
#include <string.h>

#include "core/raft.h"
#include "suite.h"

enum { MAX_VOTERS = 6 };

/* Voters 1 to `voters`, of which the last is leaving, and the joining member. */
static struct raft_members replacing(uint32_t voters)
{
    struct raft_members members = {.count = voters + 1};
    for (uint32_t i = 0; i < members.count; i++) {
        members.nodes[i] = i + 1;
    }
    members.leaving[voters - 1] = true;
    members.joining[voters] = true;
    return members;
}

static uint32_t count_present(const bool *present, uint32_t voters, uint32_t without)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i <= voters; i++) {
        count += present[i] && i != without ? 1 : 0;
    }
    return count;
}

/* Guards against a replacement during which the loss of the new voter's disk ends the quorum: every quorum is one of
 * the voters before and of those after, and the others suffice without both. */
START_TEST(quorums_are_those_of_both_sets_of_voters)
{
    for (uint32_t voters = 2; voters <= MAX_VOTERS; voters++) {
        struct raft_members members = replacing(voters);
        for (uint32_t subset = 0; subset < 1U << (voters + 1); subset++) {
            bool present[RAFT_MAX_MEMBERS] = {0};
            for (uint32_t i = 0; i <= voters; i++) {
                present[i] = (subset >> i & 1U) != 0;
            }
            bool before = count_present(present, voters, voters) > voters / 2;
            bool after = count_present(present, voters, voters - 1) > voters / 2;
            ck_assert_int_eq(raft_is_quorum(&members, present), before && after);
        }
    }
}
END_TEST

START_TEST(leaving_voter_is_not_counted)
{
    struct raft_members members = replacing(3);
    ck_assert(raft_is_replacing(&members));
    ck_assert_uint_eq(raft_voter_count(&members), 3);
    ck_assert(raft_is_voter(&members, 3));
    ck_assert(!raft_is_lasting_voter(&members, 3));
    ck_assert(raft_is_lasting_voter(&members, 4));
}
END_TEST

START_TEST(replacement_is_kept_by_the_encoding)
{
    struct raft_members members = replacing(3);
    struct raft_members decoded;
    struct buffer encoded = {0};
    raft_members_encode(&members, &encoded);
    ck_assert(raft_members_decode(buffer_view(&encoded), &decoded));
    ck_assert_mem_eq(decoded.leaving, members.leaving, sizeof(members.leaving));
    ck_assert_mem_eq(decoded.joining, members.joining, sizeof(members.joining));
    buffer_close(&encoded);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("voter replacement");
    TCase *tests = tcase_create("quorums");
    tcase_add_test(tests, quorums_are_those_of_both_sets_of_voters);
    tcase_add_test(tests, leaving_voter_is_not_counted);
    tcase_add_test(tests, replacement_is_kept_by_the_encoding);
    suite_add_tcase(suite, tests);
    return suite_run(suite);
}
