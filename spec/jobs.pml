/*
 * Ownership and result log of one batch job in the platform's store.
 *
 * Daemons accept the job or take it over by compare-and-swap, and append results
 * on the condition of the owner and log revisions that they have read. The store
 * may apply a write and lose the response, or apply the write later if its
 * conditions still hold. A lease may expire at any moment: any daemon may take
 * over at any time, and the former owner goes on as if it still owned the job.
 *
 * Checked: a log position that a reader has seen keeps its result, no item is
 * appended twice, and nothing is appended after the job has ended.
 *
 * Bad variants: BAD_NO_OWNER appends without the condition on the owner,
 * BAD_NO_LOG without the condition on the log, BAD_EARLY_READ lets a reader see a
 * result before the store has responded, BAD_BLIND_RETRY appends a result again
 * when the repetition of its write was refused.
 */
#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define ITEMS 2
#define POSITIONS 4
#define NONE 255

byte ownerRev = 0;
byte logRev = 0;
byte logLength = 0;
byte entry[POSITIONS] = NONE;
byte visible[POSITIONS] = NONE;
bool jobEnded = false;

/* One write whose response was lost before the store applied it. */
bool latePending = false;
byte lateOwner, lateLog, lateItem, latePosition;

#ifdef BAD_NO_OWNER
#define OWNER_MATCHES(rev) true
#else
#define OWNER_MATCHES(rev) (rev == ownerRev)
#endif
#ifdef BAD_NO_LOG
#define LOG_MATCHES(rev, at) (at <= logLength)
#else
#define LOG_MATCHES(rev, at) (rev == logRev)
#endif

/* The store applies a write in full or not at all. */
inline store_write(ownerCondition, logCondition, newItem, position, applied) {
	d_step {
		applied = false;
		if
		:: OWNER_MATCHES(ownerCondition) && LOG_MATCHES(logCondition, position) && position < POSITIONS ->
			assert(!jobEnded);
			k = 0;
			do
			:: k < logLength -> assert(entry[k] != newItem || k == position); k++
			:: else -> break
			od;
			k = 0;
			entry[position] = newItem;
			/* The write contains the complete head of the log. */
			assert(position + 1 >= logLength);
			logLength = position + 1;
			logRev++;
			/* A reader reads every position at once. */
			do
			:: k < logLength ->
				assert(visible[k] == NONE || visible[k] == entry[k]);
				visible[k] = entry[k];
				k++
			:: else -> break
			od;
			k = 0;
			applied = true
		:: else
		fi
	}
}

/* The owner reads owner and log back after a refused write. */
inline read_back() {
	d_step {
		if
		:: ownerRev != knownOwnerRev -> isOwner = false
		:: else -> knownLogRev = logRev; knownLength = logLength
		fi
	}
}

proctype Daemon(byte me) {
	byte readRev, knownOwnerRev, knownLogRev, knownLength, item, k;
	bool isOwner = false, applied;
	do
	:: ownerRev < EPOCHS && !jobEnded ->
		readRev = ownerRev;
		d_step {
			if
			:: readRev == ownerRev && !jobEnded -> ownerRev++; knownOwnerRev = ownerRev; isOwner = true
			:: else
			fi;
			readRev = 0
		};
		if
		:: isOwner -> read_back()
		:: else
		fi
	:: isOwner && knownLength < ITEMS ->
		/* The remaining items may finish in any order. */
		if
		:: knownLength == 0 -> item = 0
		:: knownLength == 0 -> item = 1
		:: knownLength == 1 -> item = 1 - entry[0]
		fi;
#ifdef BAD_EARLY_READ
		d_step {
			assert(visible[knownLength] == NONE || visible[knownLength] == item);
			visible[knownLength] = item
		};
#endif
		if
		:: store_write(knownOwnerRev, knownLogRev, item, knownLength, applied)
		:: /* The response is lost; the write is repeated. */
			store_write(knownOwnerRev, knownLogRev, item, knownLength, applied);
			store_write(knownOwnerRev, knownLogRev, item, knownLength, applied)
		:: d_step { !latePending ->
				latePending = true;
				lateOwner = knownOwnerRev;
				lateLog = knownLogRev;
				lateItem = item;
				latePosition = knownLength
			};
			store_write(knownOwnerRev, knownLogRev, item, knownLength, applied)
		fi;
		if
		:: applied -> d_step { knownLogRev = logRev; knownLength = knownLength + 1 }
		:: else ->
#ifdef BAD_BLIND_RETRY
			d_step { knownLogRev = logRev; knownLength = logLength };
			store_write(knownOwnerRev, knownLogRev, item, knownLength, applied);
#endif
			read_back()
		fi;
		d_step { item = 0; applied = false }
	:: jobEnded || logLength >= ITEMS -> break
	:: ownerRev >= EPOCHS && !isOwner -> break
	od
}

/* The store applies a late write at some time, or never. */
proctype LateWrite() {
	byte k;
	bool applied;
end:	do
	:: latePending ->
		store_write(lateOwner, lateLog, lateItem, latePosition, applied);
		d_step { latePending = false; applied = false; lateOwner = 0; lateLog = 0; lateItem = 0; latePosition = 0 }
	od
}

/* The daemon that ends the job replaces the owner record by compare-and-swap. */
proctype EndJob() {
	byte readRev;
end:	ownerRev > 0;
	readRev = ownerRev;
	d_step {
		if
		:: readRev == ownerRev -> jobEnded = true; ownerRev++
		:: else
		fi
	}
}

init {
	byte daemon;
	atomic {
		do
		:: daemon < DAEMONS -> run Daemon(daemon); daemon++
		:: else -> break
		od;
		run LateWrite();
		run EndJob()
	}
}
