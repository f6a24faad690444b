/*
 * One bucket of the journal: a head in the store, changed only by
 * compare-and-swap on its revision, and two owners that take it over from each
 * other. An owner records the intent in the head before it sends the request to
 * a backend server, and the outcome afterwards. Records are pruned after the
 * window of their idempotency key; a request whose key has expired is refused as
 * too old and not run.
 *
 * Time is not modelled: a paused owner takes no step. A write may be in flight for
 * any time, even after its owner has abandoned it, and its response may be lost;
 * the owner then reads back by writer and operation number. The caller repeats
 * its only key without limit, at either owner.
 *
 * Known-bad variants: BAD_NO_FENCE (a write does not compare the revision) and
 * BAD_NUMBERED (each batch is created under its own number if that is absent,
 * and old numbers are pruned).
 */
#define OWNERS 2
#ifndef REVISIONS
#define REVISIONS 12 /* bound of the search */
#endif

/* States of the key's record. */
#define ABSENT 0
#define INTENT 1
#define DONE 2

/* Phases of an owner. */
#define IDLE 0
#define TAKEN_OVER 1  /* has taken the bucket over and found no record of the key */
#define INTENT_SENT 2 /* the write of the intent is in flight, or its response lost */
#define MAY_RUN 3     /* the intent is recorded; the request may be sent to the backend server */
#define RAN 4         /* the request has run; its outcome is not yet recorded */
#define RESPONDING 5  /* the response can be returned to the caller */

/* The store. */
byte revision = 1;
byte record, writer, outcome; /* writer: the owner plus one */
bool pruned;
#ifdef BAD_NUMBERED
bool batch_exists; /* the batch with the number that both owners write next exists */
#endif

/* The owners, and their writes in flight. */
byte phase[OWNERS], known_revision[OWNERS], response[OWNERS];
bool reported_not_run[OWNERS]; /* the last attempt returned not-run */
bool in_flight[OWNERS];
byte in_flight_revision[OWNERS];

byte run_count;
bool key_expired;

#define REVISION_MATCHES(at) (revision == (at))

/* The store applies the write of an intent, or refuses it. */
inline apply_intent(o) {
  in_flight[o] = false;
  if
#ifdef BAD_NUMBERED
  :: !batch_exists -> batch_exists = true; record = INTENT; writer = o + 1
#else
#ifdef BAD_NO_FENCE
  :: revision < REVISIONS ->
#else
  :: REVISION_MATCHES(in_flight_revision[o]) && revision < REVISIONS ->
#endif
     revision++; record = INTENT; writer = o + 1;
     if :: phase[o] == INTENT_SENT -> known_revision[o] = revision :: else fi
#endif
  :: else
  fi;
  in_flight_revision[o] = 0
}

inline take_over(o) {
  revision++; known_revision[o] = revision; reported_not_run[o] = false;
  if
  :: record == DONE -> assert(run_count == 1 && outcome == run_count)
  :: record == ABSENT && key_expired -> reported_not_run[o] = true
  :: record == ABSENT && !key_expired -> phase[o] = TAKEN_OVER
  :: else /* an intent without an outcome: the outcome stays unknown */
  fi
}

#define OWN_INTENT(o) (record == INTENT && writer == o + 1)

#define OWNER(o) \
  :: d_step { phase[o] == IDLE && !in_flight[o] && revision < REVISIONS -> take_over(o); skip } \
  :: d_step { phase[o] == TAKEN_OVER -> phase[o] = INTENT_SENT; in_flight[o] = true; in_flight_revision[o] = known_revision[o]; skip } \
  :: d_step { in_flight[o] -> apply_intent(o); skip } \
  :: d_step { phase[o] == INTENT_SENT && !in_flight[o] && OWN_INTENT(o) -> phase[o] = MAY_RUN; skip } \
  :: d_step { phase[o] == INTENT_SENT && !in_flight[o] && !OWN_INTENT(o) -> phase[o] = IDLE; reported_not_run[o] = true; skip } \
  :: d_step { phase[o] == INTENT_SENT -> phase[o] = IDLE; skip } /* returned outcome-unknown */ \
  :: d_step { phase[o] == TAKEN_OVER -> phase[o] = IDLE; reported_not_run[o] = true; skip } /* refused because of overload */ \
  :: d_step { phase[o] == MAY_RUN -> assert(!reported_not_run[o]); run_count++; assert(run_count <= 1); response[o] = run_count; phase[o] = RAN; skip } \
  :: d_step { phase[o] == RAN -> phase[o] = RESPONDING; \
       if \
       :: REVISION_MATCHES(known_revision[o]) && OWN_INTENT(o) && revision < REVISIONS -> revision++; known_revision[o] = revision; record = DONE; outcome = response[o] \
       :: else \
       fi; skip } \
  :: d_step { phase[o] == RESPONDING -> assert(response[o] == 1 && run_count == 1); phase[o] = IDLE; skip }

active proctype system() {
  do
  OWNER(0)
  OWNER(1)
  :: d_step { !key_expired -> key_expired = true; skip }
  :: d_step { key_expired && record != ABSENT && revision < REVISIONS ->
       pruned = true; record = ABSENT; writer = 0; outcome = 0; revision++;
#ifdef BAD_NUMBERED
       batch_exists = false;
#endif
       skip }
  od
}
