/*
 * Ownership and log of one batch job in the platform's store.
 *
 * Daemons accept the job, list results and take it over. The store applies a
 * write if its conditions hold, at once or later (an answer may be lost and the
 * write be applied afterwards), and the owner's lease may end at any moment,
 * also while the owner is frozen. Checked: the job is accepted once, a position
 * that was read keeps its result, no item is listed twice, and nothing is listed
 * after the job was ended.
 *
 * Bad variants: BAD_NO_OWNER lists without the owner's condition, BAD_NO_LOG
 * without the log's, BAD_EARLY_READ shows results before the store answered, and
 * BAD_BLIND_RETRY takes a refused repetition for a write that was not applied.
 */
#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define ITEMS 2
#define NONE 255

/* The store: who owns the job, its epoch, its log, and whether it was ended. */
byte owner = NONE;
byte ownerRev = 0;
byte logRev = 0;
byte length = 0;
byte entry[4] = NONE;
bool ended = false;

/* What was shown to readers at each position. */
byte shown[4] = NONE;

/* One write of each daemon that is under way, with its conditions. */
typedef Write { bool open; byte ownerRev; byte logRev; byte item; byte at }
Write sent[DAEMONS];

inline show() {
	d_step {
		byte p = 0;
		do
		:: p < length ->
			assert(shown[p] == NONE || shown[p] == entry[p]);
			shown[p] = entry[p];
			p++
		:: else -> break
		od;
		p = 0
	}
}

inline holds(w, ok) {
	ok = true;
#ifndef BAD_NO_OWNER
	if :: w.ownerRev != ownerRev -> ok = false :: else fi;
#endif
#ifndef BAD_NO_LOG
	if :: w.logRev != logRev -> ok = false :: else fi
#else
	if :: w.at > length -> ok = false :: else fi
#endif
}

/* The store applies an open write if it still may. */
inline apply(d, ok) {
	atomic {
		holds(sent[d], ok);
		if
		:: ok ->
			byte q = 0;
			do
			:: q < length -> assert(entry[q] != sent[d].item || q == sent[d].at); q++
			:: else -> break
			od;
			q = 0;
#ifndef BAD_NO_OWNER
			assert(!ended);
#endif
			entry[sent[d].at] = sent[d].item;
			if :: sent[d].at == length -> length++ :: else fi;
			logRev++
		:: else
		fi;
		sent[d].open = false
	}
}

proctype Daemon(byte me) {
	byte myOwner, myLog, myLength, item;
	bool mine = false, ok, wasOpen;
	do
	/* Accept the job, or take it over: one compare-and-swap. */
	:: !mine && ownerRev < EPOCHS && !ended ->
		byte before = ownerRev;
		atomic {
			if
			:: before == ownerRev ->
				owner = me; ownerRev++; mine = true
			:: else
			fi
		};
		/* Read the job and its log back. */
		if
		:: mine ->
			atomic { myOwner = ownerRev; myLog = logRev; myLength = length;
				if :: owner != me -> mine = false :: else fi }
		:: else
		fi
	/* List the next item that the known log lacks. */
	:: mine && myLength < ITEMS && !sent[me].open ->
		atomic {
			item = 0;
			byte r = 0;
			do
			:: r < myLength -> if :: entry[r] == item -> item++ :: else fi; r++
			:: else -> break
			od;
			r = 0;
			/* Which of two finished items is listed first is open. */
			if
			:: myLength == 0 -> if :: item = 0 :: item = 1 fi
			:: else -> item = 1 - entry[0]
			fi;
			sent[me].open = true; sent[me].ownerRev = myOwner; sent[me].logRev = myLog;
			sent[me].item = item; sent[me].at = myLength
		};
#ifdef BAD_EARLY_READ
		atomic { assert(shown[myLength] == NONE || shown[myLength] == item); shown[myLength] = item };
#endif
		if
		/* It is applied and answered. */
		:: sent[me].open ->
			apply(me, ok);
			if
			:: ok -> show(); myLog = logRev; myLength++
			:: else ->
				/* Refused: read back who owns the job and what is listed. */
				atomic { if :: owner != me || ownerRev != myOwner -> mine = false
					:: else -> myLog = logRev; myLength = length fi }
			fi
		/* No answer: it may be applied now or later, or never; the same write is
		   made again until it is answered. */
		:: true ->
			if :: apply(me, ok) :: skip fi;
			if
			:: sent[me].open -> apply(me, ok);
				if :: ok -> show(); myLog = logRev; myLength++
				:: else ->
#ifndef BAD_BLIND_RETRY
					atomic { if :: owner != me || ownerRev != myOwner -> mine = false
						:: else -> myLog = logRev; myLength = length fi }
#else
					skip
#endif
				fi
			:: else ->
#ifndef BAD_BLIND_RETRY
				atomic { if :: owner != me || ownerRev != myOwner -> mine = false
					:: else -> myLog = logRev; myLength = length; show() fi }
#else
				/* The repetition would be refused, and is written as a new result. */
				atomic { myLog = logRev; sent[me].open = true; sent[me].ownerRev = myOwner;
					sent[me].logRev = myLog; sent[me].item = item; sent[me].at = length };
				apply(me, ok)
#endif
			fi
		fi
	/* The lease ends while the daemon goes on as if it held it. */
	:: mine && ownerRev < EPOCHS -> skip
	:: length == ITEMS || ended -> break
	:: ownerRev >= EPOCHS && !mine -> break
	od
}

/* Whoever is asked to end the job swaps the owner's record. */
proctype Ender() {
	byte before = ownerRev;
	if
	:: before > 0 ->
		atomic { if :: before == ownerRev -> ended = true; ownerRev++ :: else fi }
	:: else
	fi
}

init {
	atomic {
		byte d = 0;
		do
		:: d < DAEMONS -> run Daemon(d); d++
		:: else -> break
		od;
		run Ender()
	}
}
