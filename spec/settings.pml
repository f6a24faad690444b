/*
 * A change of the settings inside one availability zone, as package coord/zone
 * and the services control.zone and control.settings implement it. The other
 * zones are not modelled: they may acknowledge at any time, so that a round may
 * be accepted at any time after this zone has acknowledged it, or be withdrawn.
 *
 * Time is discrete and relative: every deadline is the number of ticks left and
 * every past event has an age, so that the search needs no horizon. A paused
 * daemon, a partition, an outage of the store and a lost response are steps that
 * are not taken or are taken late; meanwhile messages stay in their slot.
 *
 * The head of the settings takes the versions 0, 1, 2, ...: an odd version 2r-1
 * has round r undecided, the even version 2r has it decided. The state of a
 * daemon is the version that it has read. All changes affect the same parameter.
 *
 * Sizes: DAEMONS, SPAN (T in ticks), TERMS and ROUNDS are preprocessor
 * symbols. LATE_READ lets a read of the head be delivered late. HORIZON bounds
 * the ticks, PROMPT_REPLY delivers a reply at once or never, and WARM starts
 * with a zone in which all daemons follow daemon 0 and have a new grant.
 * NO_RETURN prevents a collector from giving up its role, so that it can only be
 * paused or partitioned.
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
#define PREDECESSOR_EXPIRY_AGE SPAN
#else
#define PREDECESSOR_EXPIRY_AGE (2 * SPAN)
#endif
#define MAX_FOLLOWER_AGE (2 * SPAN + 2) /* ages of followers stop here */
/* A span that starts now, as ticks left. It is valid during the last tick as
 * well, and whoever waits for its end waits for longer than the span. */
#define FULL_SPAN (SPAN + 1)
#define NO_HOLDER DAEMONS
#define EMPTY 0
#define REQUEST 1
#define REPLY 2
#define AT(c, m) ((c) * DAEMONS + (m))
#define ROUND(version) (((version) + 1) / 2)
#define UNDECIDED(version) ((version) & 1)

/* The store. The lease may expire at any time. */
byte holder = NO_HOLDER, last_term;
byte head, acked_round;
bit accepted[ROUNDS + 1];

/* Each daemon: the version that it has read, and its state as a follower. */
byte known_version[DAEMONS], term[DAEMONS], echo_age[DAEMONS], grant_left[DAEMONS];

/* Each collector, and its state of each member. */
byte collector_term[DAEMONS]; /* the term as collector, or zero */
bit head_read[DAEMONS];
#ifdef LATE_READ
byte pending_read[DAEMONS]; /* the version of the read in flight, plus one */
#endif
byte follower_age[DAEMONS * DAEMONS]; /* zero: has not followed; else the age plus one */
byte confirmed_left[DAEMONS * DAEMONS];
byte granted_left[DAEMONS * DAEMONS], staged_round[DAEMONS * DAEMONS];

/* One slot for each follower and collector: a request or its reply.
 * message_version is a round in a request and a version in a reply. */
byte message_kind[DAEMONS * DAEMONS], message_term[DAEMONS * DAEMONS], message_version[DAEMONS * DAEMONS];
byte message_stamp_age[DAEMONS * DAEMONS], message_request_age[DAEMONS * DAEMONS];
bit message_granted[DAEMONS * DAEMONS];

/* Temporary variables, not part of the state. */
hidden byte i, j, count;
hidden byte ok, recent_follower;

inline count_up(age, limit) { if :: age < limit -> age++ :: else fi }
inline count_down(ticks_left) { if :: ticks_left > 0 -> ticks_left-- :: else fi }

/* No daemon may serve a request affected by a change under a revision older than
 * an accepted one. A daemon with an undecided round refuses such requests. */
inline check() {
  for (i : 0 .. DAEMONS - 1) {
    if
    :: grant_left[i] > 0 && !UNDECIDED(known_version[i]) ->
       for (j : 1 .. ROUNDS) {
         assert(!(accepted[j] && 2 * j > known_version[i]))
       }
    :: else
    fi
  }
}

inline clear_slot(s) {
  message_kind[s] = EMPTY; message_term[s] = 0; message_version[s] = 0;
  message_stamp_age[s] = 0; message_request_age[s] = 0; message_granted[s] = 0
}

inline clear_collector(c) {
  head_read[c] = 0;
#ifdef LATE_READ
  pending_read[c] = 0;
#endif
  for (i : 0 .. DAEMONS - 1) {
    follower_age[AT(c, i)] = 0; confirmed_left[AT(c, i)] = 0;
    granted_left[AT(c, i)] = 0; staged_round[AT(c, i)] = 0
  }
}

inline step_down(c) {
  collector_term[c] = 0;
  clear_collector(c);
  if :: holder == c -> holder = NO_HOLDER :: else fi
}

inline tick() {
  for (i : 0 .. DAEMONS - 1) {
    count_down(grant_left[i]);
    if :: term[i] > 0 && collector_term[i] == 0 -> count_up(echo_age[i], FULL_SPAN) :: else fi
  }
  for (i : 0 .. DAEMONS * DAEMONS - 1) {
    if :: follower_age[i] > 0 -> count_up(follower_age[i], MAX_FOLLOWER_AGE) :: else fi;
    count_down(confirmed_left[i]); count_down(granted_left[i]);
    if
    :: message_kind[i] == REQUEST || (message_kind[i] == REPLY && message_granted[i]) -> count_up(message_request_age[i], FULL_SPAN)
    :: else
    fi;
    if
    :: message_kind[i] != EMPTY -> count_up(message_stamp_age[i], FULL_SPAN)
    :: else
    fi
  }
}

#define STORE_LEASE_LIVE(c) (holder == c)

/* ok = whether the collector may grant. */
inline may_grant(c) {
  ok = STORE_LEASE_LIVE(c);
  count = 0;
  for (i : 0 .. DAEMONS - 1) {
    if :: i == c || confirmed_left[AT(c, i)] > 0 -> count++ :: else fi
  }
#ifdef BAD_NO_MAJORITY
  ok = 1;
#else
  ok = ok || 2 * count > DAEMONS;
#endif
#ifndef BAD_GRANT_UNREAD
  ok = ok && head_read[c]
#endif
}

inline follow(c, m) { if :: follower_age[AT(c, m)] == 0 -> follower_age[AT(c, m)] = 1 :: else fi }

inline confirm(c, m, age) {
  follow(c, m);
  if :: FULL_SPAN - age > confirmed_left[AT(c, m)] -> confirmed_left[AT(c, m)] = FULL_SPAN - age :: else fi
}

/* The collector handles its own request. */
inline handle_own_request(c) {
  if :: term[c] < collector_term[c] -> term[c] = collector_term[c]; grant_left[c] = 0 :: else fi;
  follow(c, c);
  may_grant(c);
  if :: ok -> grant_left[c] = FULL_SPAN :: else fi;
  check()
}

inline send_request(f, c) {
  message_kind[AT(f, c)] = REQUEST;
  message_term[AT(f, c)] = term[f];
  message_version[AT(f, c)] = ROUND(known_version[f]);
  message_stamp_age[AT(f, c)] = echo_age[f]
}

inline handle_request(f, c) {
  if
  :: collector_term[c] == 0 -> clear_slot(AT(f, c))
  :: collector_term[c] > 0 && message_term[AT(f, c)] > collector_term[c] -> clear_slot(AT(f, c)); step_down(c)
  :: else ->
     if
     :: message_version[AT(f, c)] > staged_round[AT(c, f)] -> staged_round[AT(c, f)] = message_version[AT(f, c)]
     :: else
     fi;
     message_granted[AT(f, c)] = 0;
     ok = 0;
     if
     :: message_term[AT(f, c)] == collector_term[c] ->
#ifdef BAD_DATED_AT_RECEIPT
        confirm(c, f, 0);
#else
        confirm(c, f, message_stamp_age[AT(f, c)]);
#endif
        may_grant(c)
     :: else
#ifdef BAD_GRANT_STRANGER
        -> may_grant(c)
#endif
     fi;
     if :: ok -> message_granted[AT(f, c)] = 1; granted_left[AT(c, f)] = FULL_SPAN :: else message_request_age[AT(f, c)] = 0 fi;
     message_kind[AT(f, c)] = REPLY;
     message_term[AT(f, c)] = collector_term[c];
     message_version[AT(f, c)] = (head_read[c] -> known_version[c] : 0);
     message_stamp_age[AT(f, c)] = 0
  fi
}

/* With PROMPT_REPLY, a reply is delivered at once or lost. */
#ifdef PROMPT_REPLY
#define MESSAGES(f, c) \
  :: d_step { message_kind[AT(f, c)] == REQUEST -> handle_request(f, c); if :: message_kind[AT(f, c)] == REPLY -> deliver_reply(f, c) :: else fi; skip } \
  :: d_step { message_kind[AT(f, c)] == REQUEST -> handle_request(f, c); clear_slot(AT(f, c)); skip }
#else
#define MESSAGES(f, c) \
  :: d_step { message_kind[AT(f, c)] == REQUEST -> handle_request(f, c); skip } \
  :: d_step { message_kind[AT(f, c)] == REPLY -> deliver_reply(f, c); skip }
#endif

inline deliver_reply(f, c) {
  if
  :: collector_term[f] == 0 && message_term[AT(f, c)] >= term[f] ->
     if :: message_term[AT(f, c)] > term[f] -> term[f] = message_term[AT(f, c)]; grant_left[f] = 0 :: else fi;
     echo_age[f] = message_stamp_age[AT(f, c)];
     if :: message_version[AT(f, c)] > known_version[f] -> known_version[f] = message_version[AT(f, c)] :: else fi;
     if
     :: message_granted[AT(f, c)] && FULL_SPAN - message_request_age[AT(f, c)] > grant_left[f] ->
        grant_left[f] = FULL_SPAN - message_request_age[AT(f, c)]
     :: else
     fi
  :: else
  fi;
  clear_slot(AT(f, c));
  check()
}

/* ok = whether the collector may acknowledge the round that it has read. */
inline may_acknowledge(c) {
  count = 0; recent_follower = 0;
#ifdef BAD_ACK_CUT
  ok = collector_term[c] > 0;
#else
  ok = STORE_LEASE_LIVE(c);
#endif
  for (i : 0 .. DAEMONS - 1) {
    if
    :: i != c && follower_age[AT(c, i)] == 0 && staged_round[AT(c, i)] < ROUND(known_version[c]) -> count++
    :: i != c && follower_age[AT(c, i)] > 0 && staged_round[AT(c, i)] < ROUND(known_version[c]) && granted_left[AT(c, i)] > 0 -> ok = 0
    :: else
    fi
  }
  if
  :: count > 0 ->
     count = 0;
     for (i : 0 .. DAEMONS - 1) {
       if
       :: follower_age[AT(c, i)] == 0 -> count++
       :: follower_age[AT(c, i)] > 0 && follower_age[AT(c, i)] - 1 <= PREDECESSOR_EXPIRY_AGE -> recent_follower = 1
       :: else
       fi
     }
#ifdef BAD_NO_COUNT
     ok = ok && !recent_follower
#else
     ok = ok && !recent_follower && 2 * count <= DAEMONS
#endif
  :: else
  fi
}

/* Daemons are numbered in the order in which they first take the role. */
#define MAY_TAKE_ROLE(c) (collector_term[c] == 0 && holder == NO_HOLDER && last_term < TERMS && c <= last_term)
inline take_role(c) {
  last_term++; holder = c; collector_term[c] = last_term; echo_age[c] = 0
}

#ifdef LATE_READ
#define HEAD_READS(c) \
  :: d_step { collector_term[c] > 0 && pending_read[c] == 0 && (known_version[c] < head || !head_read[c]) -> pending_read[c] = head + 1; skip } \
  :: d_step { pending_read[c] > 0 -> \
       if :: pending_read[c] - 1 > known_version[c] -> known_version[c] = pending_read[c] - 1 :: else fi; \
       pending_read[c] = 0; head_read[c] = 1; check(); skip }
#else
#define HEAD_READS(c) \
  :: d_step { collector_term[c] > 0 && (known_version[c] < head || !head_read[c]) -> known_version[c] = head; head_read[c] = 1; check(); skip }
#endif

/* A collector of the last term does not give up the role: to the other daemons
 * that would be the same as a pause. */
#ifdef NO_RETURN
#define MAY_STEP_DOWN(c) false
#else
#define MAY_STEP_DOWN(c) (collector_term[c] > 0 && (collector_term[c] < last_term || last_term < TERMS))
#endif

/* A new request replaces an older one and its reply. A request of a higher term
 * only makes the collector step down, which it may do at any time. */
#define MAY_REQUEST(f, c) (collector_term[f] == 0 && collector_term[c] > 0 && term[f] <= collector_term[c])

#define COLLECTOR(c) \
  :: d_step { MAY_TAKE_ROLE(c) -> take_role(c); skip } \
  :: d_step { MAY_STEP_DOWN(c) -> step_down(c); skip } \
  :: d_step { collector_term[c] > 0 -> handle_own_request(c); skip } \
  HEAD_READS(c) \
  :: d_step { collector_term[c] > 0 && head_read[c] && UNDECIDED(known_version[c]) && acked_round < ROUND(known_version[c]) -> \
       may_acknowledge(c); \
       if :: ok -> acked_round = ROUND(known_version[c]) :: else fi; skip }

#define FOLLOWER_PAIR(f, c) \
  :: d_step { MAY_REQUEST(f, c) -> clear_slot(AT(f, c)); send_request(f, c); skip } \
  MESSAGES(f, c)

#ifdef BAD_EARLY_ACCEPT
#define MAY_ACCEPT UNDECIDED(head)
#else
#define MAY_ACCEPT (UNDECIDED(head) && acked_round == ROUND(head))
#endif

#ifdef WARM
inline start_warm() {
  last_term = 1; holder = 0; collector_term[0] = 1; head_read[0] = 1;
  for (i : 0 .. DAEMONS - 1) {
    term[i] = 1; grant_left[i] = FULL_SPAN; follower_age[AT(0, i)] = MAX_FOLLOWER_AGE;
    if :: i > 0 -> confirmed_left[AT(0, i)] = FULL_SPAN; granted_left[AT(0, i)] = FULL_SPAN :: else fi
  }
}
#endif

#ifdef HORIZON
byte ticks;
#endif

active proctype system() {
#ifdef WARM
  d_step { start_warm(); skip };
#endif
  do
#ifdef HORIZON
  :: d_step { ticks < HORIZON -> ticks++; tick(); skip }
#else
  :: d_step { tick(); skip }
#endif
  :: d_step { holder != NO_HOLDER && last_term < TERMS -> holder = NO_HOLDER; skip }
  :: d_step { !UNDECIDED(head) && head < 2 * ROUNDS -> head++; skip }
  :: d_step { MAY_ACCEPT -> accepted[ROUND(head)] = 1; head++; check(); skip }
  :: d_step { UNDECIDED(head) && ROUND(head) < ROUNDS -> head++; skip } /* withdrawn; no violation is possible after the last round */
  COLLECTOR(0)
  COLLECTOR(1)
  FOLLOWER_PAIR(0, 1)
  FOLLOWER_PAIR(1, 0)
#if DAEMONS > 2
  COLLECTOR(2)
  FOLLOWER_PAIR(0, 2)
  FOLLOWER_PAIR(1, 2)
  FOLLOWER_PAIR(2, 0)
  FOLLOWER_PAIR(2, 1)
#endif
  od
}
