/*
 * One bucket of the journal: a head in the store, changed only by
 * compare-and-swap on its revision, and two owners that take it over from each
 * other. An owner records the intent in the head before the request is sent to
 * a backend server, and the outcome after. Records are pruned after the key's
 * window; a key whose window is over is refused as too old, not run.
 *
 * There is no time: a frozen owner takes no step. A write stays on its way for
 * any while, even after its owner has given it up, and its answer may be lost;
 * the owner then reads back by writer and operation number. The caller sends
 * its one key again and again, to either owner.
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

/* Steps of an owner. */
#define IDLE 0
#define TAKEN 1   /* took the bucket over and found no record of the key */
#define WAITING 2 /* the intent's write is on its way, or its answer lost */
#define MAY_RUN 3 /* the intent is recorded; the request may be sent */
#define RAN 4     /* the request has run; the outcome is not yet recorded */
#define REPORTS 5 /* the caller can be told the answer */

/* The store. */
byte revision = 1;
byte record, writer, outcome; /* writer: the owner plus one */
bool pruned;
#ifdef BAD_NUMBERED
bool batch; /* the batch of the number that both owners write next is there */
#endif

/* The owners, and their writes on the way. */
byte step[OWNERS], seen[OWNERS], answer[OWNERS];
bool refused[OWNERS]; /* the last attempt was answered with not run */
bool flying[OWNERS];
byte flying_seen[OWNERS];

byte runs;
bool too_old;

#define FENCED(at) (revision == (at))

/* An intent takes effect, or fails. */
inline land(o) {
  flying[o] = false;
  if
#ifdef BAD_NUMBERED
  :: !batch -> batch = true; record = INTENT; writer = o + 1
#else
#ifdef BAD_NO_FENCE
  :: revision < REVISIONS ->
#else
  :: FENCED(flying_seen[o]) && revision < REVISIONS ->
#endif
     revision++; record = INTENT; writer = o + 1;
     if :: step[o] == WAITING -> seen[o] = revision :: else fi
#endif
  :: else
  fi;
  flying_seen[o] = 0
}

inline take_over(o) {
  revision++; seen[o] = revision; refused[o] = false;
  if
  :: record == DONE -> assert(runs == 1 && outcome == runs)
  :: record == ABSENT && too_old -> refused[o] = true
  :: record == ABSENT && !too_old -> step[o] = TAKEN
  :: else /* an intent without an outcome: unknown for good */
  fi
}

#define MINE(o) (record == INTENT && writer == o + 1)

#define OWNER(o) \
  :: d_step { step[o] == IDLE && !flying[o] && revision < REVISIONS -> take_over(o); skip } \
  :: d_step { step[o] == TAKEN -> step[o] = WAITING; flying[o] = true; flying_seen[o] = seen[o]; skip } \
  :: d_step { flying[o] -> land(o); skip } \
  :: d_step { step[o] == WAITING && !flying[o] && MINE(o) -> step[o] = MAY_RUN; skip } \
  :: d_step { step[o] == WAITING && !flying[o] && !MINE(o) -> step[o] = IDLE; refused[o] = true; skip } \
  :: d_step { step[o] == WAITING -> step[o] = IDLE; skip } /* answered with unknown outcome */ \
  :: d_step { step[o] == TAKEN -> step[o] = IDLE; refused[o] = true; skip } /* refused under load */ \
  :: d_step { step[o] == MAY_RUN -> assert(!refused[o]); runs++; assert(runs <= 1); answer[o] = runs; step[o] = RAN; skip } \
  :: d_step { step[o] == RAN -> step[o] = REPORTS; \
       if \
       :: FENCED(seen[o]) && MINE(o) && revision < REVISIONS -> revision++; seen[o] = revision; record = DONE; outcome = answer[o] \
       :: else \
       fi; skip } \
  :: d_step { step[o] == REPORTS -> assert(answer[o] == 1 && runs == 1); step[o] = IDLE; skip }

active proctype system() {
  do
  OWNER(0)
  OWNER(1)
  :: d_step { !too_old -> too_old = true; skip }
  :: d_step { too_old && record != ABSENT && revision < REVISIONS ->
       pruned = true; record = ABSENT; writer = 0; outcome = 0; revision++;
#ifdef BAD_NUMBERED
       batch = false;
#endif
       skip }
  od
}
