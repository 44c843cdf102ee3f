#include "core/quorum_contact.h"

void quorum_contact_record_leader(quorum_contact_t *contact, uint64_t now_ms)
{
    contact->started = true;
    contact->leader_ms = now_ms;
    contact->state = QUORUM_CONTACT_IN_CONTACT;
}

void quorum_contact_record_remote(quorum_contact_t *contact, uint64_t now_ms)
{
    contact->remote_ms = now_ms;
}

void quorum_contact_reset(quorum_contact_t *contact, uint64_t now_ms)
{
    if (contact->started) {
        quorum_contact_record_leader(contact, now_ms);
    }
}

static uint64_t quorum_contact_max(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

/* Packets from other zones that were on their way when the cut began may arrive during the doubt, and a cut may follow
 * an election: a frame during the doubt restarts the measurement of the silence. */
static bool quorum_contact_remote_is_silent(const quorum_contact_t *contact, uint64_t now_ms)
{
    bool received = contact->remote_ms >= contact->doubt_ms;
    return now_ms >= (received ? contact->remote_ms + QUORUM_CONTACT_SILENCE_MS
                               : contact->doubt_ms + QUORUM_CONTACT_MIN_DOUBT_MS);
}

static void quorum_contact_update_doubt(quorum_contact_t *contact, uint64_t now_ms, uint64_t interval_ms)
{
    uint64_t limit_ms =
        quorum_contact_max(QUORUM_CONTACT_DOUBT_MS, interval_ms * QUORUM_CONTACT_DOUBT_HALF_INTERVALS / 2);
    if (contact->state == QUORUM_CONTACT_IN_CONTACT && now_ms >= contact->leader_ms + limit_ms) {
        contact->state = QUORUM_CONTACT_IN_DOUBT;
        contact->doubt_ms = now_ms;
        contact->probe_due_ms = now_ms;
    }
}

static void quorum_contact_update_cut_off(quorum_contact_t *contact, uint64_t now_ms, uint64_t interval_ms,
                                          uint32_t remote_members, uint32_t remote_connected)
{
    uint64_t limit_ms = quorum_contact_max(QUORUM_CONTACT_CUT_OFF_MS, interval_ms * QUORUM_CONTACT_CUT_OFF_INTERVALS);
    bool silent = remote_connected == 0 || quorum_contact_remote_is_silent(contact, now_ms);
    if (contact->state == QUORUM_CONTACT_IN_DOUBT && now_ms >= contact->leader_ms + limit_ms && remote_members > 0 &&
        silent) {
        contact->state = QUORUM_CONTACT_CUT_OFF;
        contact->cut_off_ms = now_ms;
    }
}

quorum_contact_change_t quorum_contact_tick(quorum_contact_t *contact, uint64_t now_ms, uint32_t interval_ms,
                                            uint32_t remote_members, uint32_t remote_connected)
{
    if (contact->started) {
        quorum_contact_update_doubt(contact, now_ms, interval_ms);
        quorum_contact_update_cut_off(contact, now_ms, interval_ms, remote_members, remote_connected);
    }
    bool cut_off = quorum_contact_is_cut_off(contact);
    if (cut_off == contact->reported_cut_off) {
        return QUORUM_CONTACT_UNCHANGED;
    }
    contact->reported_cut_off = cut_off;
    return cut_off ? QUORUM_CONTACT_LOST : QUORUM_CONTACT_RESTORED;
}

bool quorum_contact_take_probe(quorum_contact_t *contact, uint64_t now_ms)
{
    bool commits_wait = quorum_contact_is_cut_off(contact) && !quorum_contact_may_abort(contact, now_ms);
    bool needed = contact->state == QUORUM_CONTACT_IN_DOUBT || commits_wait;
    if (!needed || now_ms < contact->probe_due_ms) {
        return false;
    }
    contact->probe_due_ms = now_ms + QUORUM_CONTACT_PROBE_MS;
    return true;
}

bool quorum_contact_is_cut_off(const quorum_contact_t *contact)
{
    return contact->state == QUORUM_CONTACT_CUT_OFF;
}

bool quorum_contact_may_abort(const quorum_contact_t *contact, uint64_t now_ms)
{
    uint64_t since_ms = quorum_contact_max(contact->cut_off_ms, contact->remote_ms);
    return quorum_contact_is_cut_off(contact) && now_ms >= since_ms + QUORUM_CONTACT_ABORT_MS;
}

uint64_t quorum_contact_retry_after_ms(const quorum_contact_t *contact, uint64_t now_ms)
{
    uint64_t end_ms = contact->cut_off_ms + QUORUM_CONTACT_RETRY_MS;
    uint64_t left_ms = end_ms > now_ms ? end_ms - now_ms : 0;
    return quorum_contact_max(left_ms, QUORUM_CONTACT_MIN_RETRY_MS);
}
