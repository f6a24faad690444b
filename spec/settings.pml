/*
 * The settings change inside one availability zone, as package coord/zone and
 * the services control.zone and control.settings do it. The other zones are
 * abstract: they acknowledge at some time, so that a round may be accepted at
 * any time after this zone has acknowledged it, or be withdrawn.
 *
 * Time is discrete and relative: every deadline is a count of ticks that are
 * left and every date is an age, so that the search needs no horizon. A frozen
 * daemon, a cut, an outage of the store and a lost answer are steps that are
 * not taken or come late; messages wait in their slot meanwhile.
 *
 * The head of the settings goes through the versions 0, 1, 2, ...: an odd
 * version 2r-1 has round r undecided, the even version 2r has it decided. What
 * a daemon knows is the version that it has seen. All changes touch the same
 * parameter.
 *
 * Sizes: DAEMONS, SPAN (T in ticks), TERMS and ROUNDS are preprocessor
 * symbols. LATE_READ lets a read of the head be delivered late. HORIZON bounds
 * the ticks, PROMPT_REPLY delivers a reply at once or never, and WARM begins
 * with a zone in which all follow daemon 0 and have a fresh grant. NO_RETURN
 * keeps a collector from giving the role up, so that it can only be frozen or
 * cut off.
 * Known-bad variants: BAD_WAIT_T, BAD_NO_MAJORITY, BAD_NO_COUNT,
 * BAD_EARLY_ACCEPT, BAD_DATED_AT_RECEIPT, BAD_GRANT_STRANGER,
 * BAD_GRANT_UNREAD, BAD_ACK_CUT.
 */
#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef SPAN
#define SPAN 1
#endif
#ifndef TERMS
#define TERMS 2
#endif
#ifndef ROUNDS
#define ROUNDS 2
#endif

#ifdef BAD_WAIT_T
#define SETTLED_AGE SPAN
#else
#define SETTLED_AGE (2 * SPAN)
#endif
#define OLDEST (2 * SPAN + 2) /* since stops here */
/* A span that begins now, as ticks left. It is valid at the last tick as well,
 * and what waits for its end waits for longer than it. */
#define LASTS (SPAN + 1)
#define NOBODY DAEMONS
#define NONE 0
#define ASK 1
#define REPLY 2
#define AT(c, m) ((c) * DAEMONS + (m))
#define ROUND(version) (((version) + 1) / 2)
#define UNDECIDED(version) ((version) & 1)

/* The store. The lease may lapse at any time. */
byte holder = NOBODY, last_term;
byte head, acked;
bit accepted[ROUNDS + 1];

/* Each daemon: what it knows, and its standing as a follower. */
byte known[DAEMONS], term[DAEMONS], echo_age[DAEMONS], grant[DAEMONS];

/* Each collector, and what it knows of each member. */
byte collects[DAEMONS]; /* the term, or zero */
bit read_head[DAEMONS];
#ifdef LATE_READ
byte reading[DAEMONS]; /* the version on its way, plus one */
#endif
byte since[DAEMONS * DAEMONS]; /* zero: not followed; else the age plus one */
byte confirmed[DAEMONS * DAEMONS];
byte granted[DAEMONS * DAEMONS], staged[DAEMONS * DAEMONS];

/* One slot for each follower and collector: an ask or its reply. */
byte kind[DAEMONS * DAEMONS], m_term[DAEMONS * DAEMONS], m_known[DAEMONS * DAEMONS];
byte m_stamp_age[DAEMONS * DAEMONS], m_asked_age[DAEMONS * DAEMONS];
bit m_granted[DAEMONS * DAEMONS];

/* Scratch, not part of the state. */
hidden byte i, j, count;
hidden byte ok, young;

inline older(age, limit) { if :: age < limit -> age++ :: else fi }
inline shorter(left) { if :: left > 0 -> left-- :: else fi }

/* No daemon may serve a touched request under a revision older than an
 * accepted one. One that knows of an undecided round refuses. */
inline check() {
  for (i : 0 .. DAEMONS - 1) {
    if
    :: grant[i] > 0 && !UNDECIDED(known[i]) ->
       for (j : 1 .. ROUNDS) {
         assert(!(accepted[j] && 2 * j > known[i]))
       }
    :: else
    fi
  }
}

inline clear_slot(s) {
  kind[s] = NONE; m_term[s] = 0; m_known[s] = 0;
  m_stamp_age[s] = 0; m_asked_age[s] = 0; m_granted[s] = 0
}

inline clear_standing(c) {
  read_head[c] = 0;
#ifdef LATE_READ
  reading[c] = 0;
#endif
  for (i : 0 .. DAEMONS - 1) {
    since[AT(c, i)] = 0; confirmed[AT(c, i)] = 0;
    granted[AT(c, i)] = 0; staged[AT(c, i)] = 0
  }
}

inline step_down(c) {
  collects[c] = 0;
  clear_standing(c);
  if :: holder == c -> holder = NOBODY :: else fi
}

inline tick() {
  for (i : 0 .. DAEMONS - 1) {
    shorter(grant[i]);
    if :: term[i] > 0 && collects[i] == 0 -> older(echo_age[i], LASTS) :: else fi
  }
  for (i : 0 .. DAEMONS * DAEMONS - 1) {
    if :: since[i] > 0 -> older(since[i], OLDEST) :: else fi;
    shorter(confirmed[i]); shorter(granted[i]);
    if
    :: kind[i] == ASK || (kind[i] == REPLY && m_granted[i]) -> older(m_asked_age[i], LASTS)
    :: else
    fi;
    if
    :: kind[i] != NONE -> older(m_stamp_age[i], LASTS)
    :: else
    fi
  }
}

#define STORE_LIVE(c) (holder == c)

/* ok = the collector may grant. */
inline authority(c) {
  ok = STORE_LIVE(c);
  count = 0;
  for (i : 0 .. DAEMONS - 1) {
    if :: i == c || confirmed[AT(c, i)] > 0 -> count++ :: else fi
  }
#ifdef BAD_NO_MAJORITY
  ok = 1;
#else
  ok = ok || 2 * count > DAEMONS;
#endif
#ifndef BAD_GRANT_UNREAD
  ok = ok && read_head[c]
#endif
}

inline follow(c, m) { if :: since[AT(c, m)] == 0 -> since[AT(c, m)] = 1 :: else fi }

inline confirm(c, m, age) {
  follow(c, m);
  if :: LASTS - age > confirmed[AT(c, m)] -> confirmed[AT(c, m)] = LASTS - age :: else fi
}

/* The collector asks itself. */
inline ask_self(c) {
  if :: term[c] < collects[c] -> term[c] = collects[c]; grant[c] = 0 :: else fi;
  follow(c, c);
  authority(c);
  if :: ok -> grant[c] = LASTS :: else fi;
  check()
}

inline ask(f, c) {
  kind[AT(f, c)] = ASK;
  m_term[AT(f, c)] = term[f];
  m_known[AT(f, c)] = ROUND(known[f]);
  m_stamp_age[AT(f, c)] = echo_age[f]
}

inline receive(f, c) {
  if
  :: collects[c] == 0 -> clear_slot(AT(f, c))
  :: collects[c] > 0 && m_term[AT(f, c)] > collects[c] -> clear_slot(AT(f, c)); step_down(c)
  :: else ->
     if
     :: m_known[AT(f, c)] > staged[AT(c, f)] -> staged[AT(c, f)] = m_known[AT(f, c)]
     :: else
     fi;
     m_granted[AT(f, c)] = 0;
     ok = 0;
     if
     :: m_term[AT(f, c)] == collects[c] ->
#ifdef BAD_DATED_AT_RECEIPT
        confirm(c, f, 0);
#else
        confirm(c, f, m_stamp_age[AT(f, c)]);
#endif
        authority(c)
     :: else
#ifdef BAD_GRANT_STRANGER
        -> authority(c)
#endif
     fi;
     if :: ok -> m_granted[AT(f, c)] = 1; granted[AT(c, f)] = LASTS :: else m_asked_age[AT(f, c)] = 0 fi;
     kind[AT(f, c)] = REPLY;
     m_term[AT(f, c)] = collects[c];
     m_known[AT(f, c)] = (read_head[c] -> known[c] : 0);
     m_stamp_age[AT(f, c)] = 0
  fi
}

/* With PROMPT_REPLY a reply is delivered at once or lost. */
#ifdef PROMPT_REPLY
#define DELIVERS(f, c) \
  :: d_step { kind[AT(f, c)] == ASK -> receive(f, c); if :: kind[AT(f, c)] == REPLY -> deliver(f, c) :: else fi; skip } \
  :: d_step { kind[AT(f, c)] == ASK -> receive(f, c); clear_slot(AT(f, c)); skip }
#else
#define DELIVERS(f, c) \
  :: d_step { kind[AT(f, c)] == ASK -> receive(f, c); skip } \
  :: d_step { kind[AT(f, c)] == REPLY -> deliver(f, c); skip }
#endif

inline deliver(f, c) {
  if
  :: collects[f] == 0 && m_term[AT(f, c)] >= term[f] ->
     if :: m_term[AT(f, c)] > term[f] -> term[f] = m_term[AT(f, c)]; grant[f] = 0 :: else fi;
     echo_age[f] = m_stamp_age[AT(f, c)];
     if :: m_known[AT(f, c)] > known[f] -> known[f] = m_known[AT(f, c)] :: else fi;
     if
     :: m_granted[AT(f, c)] && LASTS - m_asked_age[AT(f, c)] > grant[f] ->
        grant[f] = LASTS - m_asked_age[AT(f, c)]
     :: else
     fi
  :: else
  fi;
  clear_slot(AT(f, c));
  check()
}

/* ok = the collector may acknowledge the round that it knows. */
inline may_acknowledge(c) {
  count = 0; young = 0;
#ifdef BAD_ACK_CUT
  ok = collects[c] > 0;
#else
  ok = STORE_LIVE(c);
#endif
  for (i : 0 .. DAEMONS - 1) {
    if
    :: i != c && since[AT(c, i)] == 0 && staged[AT(c, i)] < ROUND(known[c]) -> count++
    :: i != c && since[AT(c, i)] > 0 && staged[AT(c, i)] < ROUND(known[c]) && granted[AT(c, i)] > 0 -> ok = 0
    :: else
    fi
  }
  if
  :: count > 0 ->
     count = 0;
     for (i : 0 .. DAEMONS - 1) {
       if
       :: since[AT(c, i)] == 0 -> count++
       :: since[AT(c, i)] > 0 && since[AT(c, i)] - 1 <= SETTLED_AGE -> young = 1
       :: else
       fi
     }
#ifdef BAD_NO_COUNT
     ok = ok && !young
#else
     ok = ok && !young && 2 * count <= DAEMONS
#endif
  :: else
  fi
}

/* Daemons are numbered in the order in which they first take the role. */
#define MAY_TAKE(c) (collects[c] == 0 && holder == NOBODY && last_term < TERMS && c <= last_term)
inline take(c) {
  last_term++; holder = c; collects[c] = last_term; echo_age[c] = 0
}

#ifdef LATE_READ
#define READS(c) \
  :: d_step { collects[c] > 0 && reading[c] == 0 && (known[c] < head || !read_head[c]) -> reading[c] = head + 1; skip } \
  :: d_step { reading[c] > 0 -> \
       if :: reading[c] - 1 > known[c] -> known[c] = reading[c] - 1 :: else fi; \
       reading[c] = 0; read_head[c] = 1; check(); skip }
#else
#define READS(c) \
  :: d_step { collects[c] > 0 && (known[c] < head || !read_head[c]) -> known[c] = head; read_head[c] = 1; check(); skip }
#endif

/* A collector of the newest term that there can be gains nothing by giving the
 * role up, which to the others is like a freeze. */
#ifdef NO_RETURN
#define MAY_STEP_DOWN(c) false
#else
#define MAY_STEP_DOWN(c) (collects[c] > 0 && (collects[c] < last_term || last_term < TERMS))
#endif

/* A new ask takes the place of an older one and of its reply. An ask of a
 * higher term only makes the collector step down, which it may do anyway. */
#define MAY_ASK(f, c) (collects[f] == 0 && collects[c] > 0 && term[f] <= collects[c])

#define COLLECTOR(c) \
  :: d_step { MAY_TAKE(c) -> take(c); skip } \
  :: d_step { MAY_STEP_DOWN(c) -> step_down(c); skip } \
  :: d_step { collects[c] > 0 -> ask_self(c); skip } \
  READS(c) \
  :: d_step { collects[c] > 0 && read_head[c] && UNDECIDED(known[c]) && acked < ROUND(known[c]) -> \
       may_acknowledge(c); \
       if :: ok -> acked = ROUND(known[c]) :: else fi; skip }

#define PAIR(f, c) \
  :: d_step { MAY_ASK(f, c) -> clear_slot(AT(f, c)); ask(f, c); skip } \
  DELIVERS(f, c)

#ifdef BAD_EARLY_ACCEPT
#define MAY_ACCEPT UNDECIDED(head)
#else
#define MAY_ACCEPT (UNDECIDED(head) && acked == ROUND(head))
#endif

#ifdef WARM
inline warm() {
  last_term = 1; holder = 0; collects[0] = 1; read_head[0] = 1;
  for (i : 0 .. DAEMONS - 1) {
    term[i] = 1; grant[i] = LASTS; since[AT(0, i)] = OLDEST;
    if :: i > 0 -> confirmed[AT(0, i)] = LASTS; granted[AT(0, i)] = LASTS :: else fi
  }
}
#endif

#ifdef HORIZON
byte ticks;
#endif

active proctype system() {
#ifdef WARM
  d_step { warm(); skip };
#endif
  do
#ifdef HORIZON
  :: d_step { ticks < HORIZON -> ticks++; tick(); skip }
#else
  :: d_step { tick(); skip }
#endif
  :: d_step { holder != NOBODY && last_term < TERMS -> holder = NOBODY; skip }
  :: d_step { !UNDECIDED(head) && head < 2 * ROUNDS -> head++; skip }
  :: d_step { MAY_ACCEPT -> accepted[ROUND(head)] = 1; head++; check(); skip }
  :: d_step { UNDECIDED(head) && ROUND(head) < ROUNDS -> head++; skip } /* after the last round nothing can go wrong */
  COLLECTOR(0)
  COLLECTOR(1)
  PAIR(0, 1)
  PAIR(1, 0)
#if DAEMONS > 2
  COLLECTOR(2)
  PAIR(0, 2)
  PAIR(1, 2)
  PAIR(2, 0)
  PAIR(2, 1)
#endif
  od
}
